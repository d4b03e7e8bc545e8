"""The watched list of partners is loaded completely or not at all, also under traffic."""

import random

import pytest
from configuration_helper import base_with, start
from helper import Clock, Rebooted, client, free_address, spin

from calicopin.configuration import partners
from calicopin.configuration.read import read
from calicopin.configuration.startup import partner_list_loader
from calicopin.lifecycle.reload import ConfigurationReload
from calicopin.lifecycle.start import load_configuration
from calicopin.wire.listfile import CHECK_INTERVAL_MS, ListFile
from calicopin.wire.loop import Loop


def rewrite(path, data):
    """Replaces the file; some file systems sync each overwrite to disk, which is slow."""
    path.unlink(missing_ok=True)
    path.write_bytes(bytes(data))


def partner_list(count, first=6101):
    entries = []
    for number in range(count):
        entries.append(
            f'[[partner]]\nname = "p{number}"\ndestination = {number}\nkind = "gateway"\n\n'
            "[[partner.endpoint]]\n"
            f'address = "127.0.0.1:{first + number}"\n'
        )
    return partners.seal("\n".join(entries).encode())


def watched(tmp_path):
    (tmp_path / "list.toml").write_bytes(partner_list(5))
    text = base_with("zones =", 'partners_file = "list.toml"\nzones =').split("[[partner]]")[0]
    (tmp_path / "c.toml").write_text(text)
    return read(str(tmp_path / "c.toml")).configuration


def test_a_list_truncated_at_any_byte_is_refused(tmp_path):
    sheet, whole = watched(tmp_path), partner_list(5)
    load, path = partner_list_loader(sheet), tmp_path / "list.toml"
    for size in range(len(whole) - 1):
        rewrite(path, whole[:size])
        with pytest.raises(ValueError):
            load(str(path))
    path.write_bytes(whole)
    assert len(load(str(path))) == 5


def test_only_complete_lists_are_used_during_a_thousand_damaged_rewrites(tmp_path):
    sheet, rng, lists = watched(tmp_path), random.Random(8), []
    loop, path = Loop(now=Clock(), system=Rebooted()), tmp_path / "list.toml"
    file = ListFile(
        loop,
        str(path),
        partner_list_loader(sheet),
        lambda places, whole: lists.append(sorted(one.address for one in places)),
    )
    valid, accepted = [partner_list(number, 7000 + 10 * number) for number in range(1, 6)], 0
    addresses = [sorted(f"127.0.0.1:{7000 + 10 * n + i}" for i in range(n)) for n in range(1, 6)]
    for number in range(1000):
        data = bytearray(rng.choice(valid))
        damage = rng.choice(["none", "cut", "flip", "doubled", "swap"]) if number % 10 else "none"
        if damage == "cut":
            del data[rng.randrange(len(data)) :]
        elif damage == "flip":
            at = rng.randrange(len(data))
            data[at] ^= 1 << rng.randrange(8)
        elif damage == "doubled":
            data += data[rng.randrange(len(data)) :]
        elif damage == "swap":
            at, other = sorted(rng.sample(range(len(data)), 2))
            data[at:other] = data[at:other][::-1]
        rewrite(path, data)
        before = len(lists)
        file.take()
        accepted += len(lists) > before
        assert not lists or lists[-1] in addresses, damage
    assert accepted > 50


def test_every_text_is_answered_while_the_list_is_rewritten_with_damage(tmp_path):
    """Partners are added and removed under traffic; none listens, so each text ends in a notice."""
    sheet, rng, listen = watched(tmp_path), random.Random(9), free_address()
    (tmp_path / "c.toml").write_text((tmp_path / "c.toml").read_text().replace("127.0.0.1:5000", listen))
    runtime, loop, signal_reader = start(tmp_path / "c.toml")
    peer, path, accepted, refused = client(loop, listen), tmp_path / "list.toml", 0, 0
    whole = [partner_list(number) for number in range(1, 6)]
    for number in range(300):
        data = bytearray(rng.choice(whole))
        if number % 3:
            data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
        rewrite(path, data)
        peer.say(
            (
                f"POST /stock HTTP/1.1\r\nHost: x\r\nX-Request-ID: t{number}\r\nX-Timeout: 2\r\n"
                f"X-Envelope: dest={rng.randrange(5)}\r\nContent-Length: 0\r\n\r\n"
            ).encode()
        )
        received = peer.wait(b"\r\n\r\n")
        accepted, refused = (
            accepted + received.startswith(b"HTTP/1.1 202"),
            refused + received.startswith(b"HTTP/1.1 503"),
        )
        loop.now.now += 50.0
        loop.once(loop.now())
        assert sorted(place.address for place in runtime.facade.places.values()) in [
            sorted(f"127.0.0.1:{6101 + i}" for i in range(n)) for n in range(1, 6)
        ]
    for _ in range(300):
        loop.now.now += 20.0
        loop.once(loop.now())
    assert (
        accepted + refused == 300
        and accepted > 100
        and runtime.counters.notices_heard == accepted
        and not runtime.journal.texts
        and sheet
    )
    signal_reader.close()


def test_a_list_without_a_partner_is_loaded_while_texts_to_it_are_under_way(tmp_path):
    (tmp_path / "list.toml").write_bytes(partner_list(2))
    listen = free_address()
    text = (
        base_with("127.0.0.1:5000", listen)
        .replace("zones =", 'partners_file = "list.toml"\nzones =')
        .split("[[partner]]")[0]
    )
    (tmp_path / "c.toml").write_text(text)
    runtime, loop, signal_reader = start(tmp_path / "c.toml")
    assert len(runtime.facade.places) == 2
    peer = client(loop, listen)
    for ident, dest in (("a", 0), ("b", 1)):
        peer.say(
            (
                f"POST /stock HTTP/1.1\r\nHost: x\r\nX-Request-ID: {ident}\r\nX-Timeout: 3\r\n"
                f"X-Envelope: dest={dest}\r\nContent-Length: 0\r\n\r\n"
            ).encode()
        )
        assert peer.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 202")
    (tmp_path / "list.toml").write_bytes(partner_list(1))
    loop.now.now += CHECK_INTERVAL_MS + 1.0
    spin(loop, lambda: len(runtime.facade.places) == 1)
    for _ in range(200):
        loop.now.now += 20.0
        loop.once(loop.now())
    assert not runtime.facade.texts and not runtime.journal.texts and runtime.counters.notices_heard == 2
    signal_reader.close()


def test_a_sighup_loads_a_valid_file_and_ignores_an_invalid_one(tmp_path):
    path, listen = tmp_path / "c.toml", free_address()
    path.write_text(base_with("127.0.0.1:5000", listen))
    runtime, loop, signal_reader = start(path)
    environ = {"LB_CONFIG": str(path)}
    configuration_reload = ConfigurationReload(
        loop,
        signal_reader,
        load_configuration(environ),
        lambda: load_configuration(environ, reloaded=True),
        None,
        None,
        None,
        runtime,
    )

    def addresses():
        return sorted(place.address[-4:] for place in runtime.facade.places.values())

    assert addresses() == ["6001", "6002", "6003"]
    for text, after in (
        (path.read_text().replace("6003", "6001"), ["6001", "6002", "6003"]),
        ("version = ", ["6001", "6002", "6003"]),
        (path.read_text().replace("6003", "6009"), ["6001", "6002", "6009"]),
    ):
        path.write_text(text)
        configuration_reload.reload()
        assert addresses() == after
    signal_reader.close()
