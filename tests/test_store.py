"""The segmented store: cut or flipped anywhere, cleaned under load, killed at any call."""

import json
import os
import random
from dataclasses import replace

import pytest
from click.testing import CliRunner

from calicopin.emulator import runs
from calicopin.emulator.scenario import load
from calicopin.state.texts import Text
from calicopin.store import plan
from calicopin.store.__main__ import main
from calicopin.store.measure import SIDES
from calicopin.store.measure import one as side
from calicopin.store.segments import NewerFormError, Segments, frames
from calicopin.system import HERE, System

OFFSET, LASTING = 5e11, 60000.0


def book(folder, disk=200_000, system=HERE):
    return Segments(str(folder), disk, OFFSET, system, LASTING, "b")


def text(ident, size=100, **other):
    return Text(ident, 3, 0, f"ref{ident}", None, HERE.now() + 50000.0, bytes([len(ident)]) * size, **other)


def near(at):
    """Equal to any time within a hundredth of a millisecond: so far wall time keeps them. Rounded to tenths,
    two that lie so close differed where one of them fell over the edge, in one run of some thirty.
    """
    return None if at is None else pytest.approx(at, abs=0.01, rel=0.0)


def state(store, time=lambda at: at):
    """What of each text must outlast a restart."""
    return {
        t.ident: (
            t.tries,
            time(t.ran_at),
            None,
            t.verdict,
            t.wait,
            t.body,
            time(t.until),
        )
        for t in store.texts.values()
    }


def drive(store, rng, count, first=0):
    """Random traffic: texts that end soon and some that stay."""
    for number in range(first, first + count):
        ident = f"t{number}"
        while not store.room(400):  # as the courier does: none is taken on that has no room
            store.over(rng.choice(list(store.texts.values())), HERE.now())
        store.taken(text(ident, rng.randrange(400)))
        for one in rng.sample(list(store.texts.values()), min(3, len(store.texts))):
            if one.verdict is not None:
                continue
            what = rng.randrange(6)
            if what < 2 and one.out_at is None:
                store.sent(one, 1000.0 + number, "a")
            elif what == 2 and one.out_at is not None:
                store.back(one, rng.random() < 0.5)
            elif what == 3:
                store.given_up(one, "bounced", 300.0)
            elif what >= 4 and (len(store.texts) > 60 or rng.random() < 0.3):
                store.over(one, HERE.now())
        store.flush()


def test_what_was_flushed_is_there_after_a_restart_and_the_disk_is_bounded(tmp_path):
    rng, store, most = random.Random(1), book(tmp_path, 100_000), 0
    drive(store, rng, 1500)
    for number in range(300):
        drive(store, rng, 1, 1500 + number)
        most = max(most, sum(entry.stat().st_size for entry in tmp_path.iterdir()))
    before, past = state(store, near), set(store.past.idents)
    for one in store.texts.values():
        if one.out_at is not None:
            ran_at = one.ran_at if one.ran_at is not None else one.out_at
            before[one.ident] = (one.tries, near(ran_at), None, *before[one.ident][3:])
    again = book(tmp_path, 100_000)
    assert state(again) == before and most <= 100_000 and len(again.sizes) > 2
    assert (
        len(past & set(again.past.idents)) >= min(len(past), again.most_past // 48) * 0.9 and not again.damage
    )
    assert store.moved < 3 * store.written


def test_cut_at_any_byte_no_record_before_the_cut_is_lost(tmp_path):
    """The newest segment as a kill may leave it: every text whose record lies whole before the cut is
    there.
    """
    store = book(tmp_path)
    drive(store, random.Random(2), 25)
    path = store._path(store.number)
    with open(path, "rb") as file:
        data = file.read()
    for size in range(len(data)):
        expected = set()
        for _, kind, rest in frames(data[:size], store._check):
            if kind == b"T":
                expected.add(rest.split(b'"ident": "')[1].split(b'"')[0].decode())
            elif kind == b"O":
                expected.discard(rest.split(b'"')[1].decode())
        folder = tmp_path / "copy"
        folder.mkdir()
        (folder / "00000001.segment").write_bytes(data[:size])
        again = book(folder)
        assert set(again.texts) == expected and not again.damage
        for entry in folder.iterdir():
            entry.unlink()
        folder.rmdir()


def test_a_flipped_bit_costs_its_record_alone_and_nothing_may_go_twice(tmp_path):
    rng, store = random.Random(3), book(tmp_path, 400_000)
    drive(store, rng, 300)
    sealed = sorted(tmp_path.iterdir())[0]
    data = sealed.read_bytes()
    whole = {one.ident for one in store.texts.values()}
    for _ in range(150):
        damaged = bytearray(data)
        damaged[rng.randrange(len(damaged))] ^= 1 << rng.randrange(8)
        sealed.unlink()  # written over, some file systems would write it through to the disk each time
        sealed.write_bytes(damaged)
        again = book(tmp_path, 400_000)
        assert again.damage and len(whole - set(again.texts)) <= 1
        assert all(one.ran_at is not None for ident, one in again.texts.items() if again.home[ident] == 1)
        again.system.remove(again._path(again.number))
        sealed.unlink()
        sealed.write_bytes(data)


def test_a_missing_segment_and_a_newer_form_are_told(tmp_path):
    store = book(tmp_path, 400_000)
    drive(store, random.Random(4), 300)
    names = sorted(tmp_path.iterdir())
    names[1].unlink()
    assert book(tmp_path, 400_000).damage
    sealed = sorted(tmp_path.iterdir())[0]
    sealed.write_bytes(store._record(b"H", b'["b", 1.0, 2]'))
    with pytest.raises(NewerFormError):
        book(tmp_path, 400_000)


def test_the_single_file_of_before_is_carried_over_once(tmp_path):
    from calicopin.state.journal import Journal

    old = Journal(str(tmp_path), 200_000, OFFSET, HERE, LASTING, "b")
    for ident in "abc":
        old.taken(text(ident))
    old.sent(old.texts["b"], 1234.0, "z")
    old.over(old.texts["c"], HERE.now())
    old.flush()
    store = book(tmp_path)
    assert set(store.texts) == {"a", "b"} and store.texts["b"].ran_at == 1234.0 and store.knows("c")
    assert not (tmp_path / "journal").exists() and set(book(tmp_path).texts) == {"a", "b"}


def test_a_write_that_fails_leaves_no_damage_and_is_tried_again(tmp_path):
    class Short(System):
        calls = 0

        def write(self, file, data):
            Short.calls += 1
            if Short.calls % 7 == 0:
                raise OSError(28, "no space")
            return System.write(file, data[: max(1, len(data) // 2)])

    store, rng, failed = book(tmp_path, 100_000, Short()), random.Random(5), 0
    for number in range(400):
        try:
            drive(store, rng, 1, number)
        except OSError:
            failed += 1
    store.system = HERE
    store.taken(text("last"))
    store.flush()
    again = book(tmp_path, 100_000)
    assert failed > 20 and not again.damage and set(again.texts) == set(store.texts) and "last" in again.texts


def test_texts_that_live_for_long_among_many_that_end_are_moved_and_kept(tmp_path):
    store = book(tmp_path, 100_000)
    old = [replace(text(f"old{number}", 50)) for number in range(20)]
    for one in old:
        store.taken(one)
    store.flush()
    for number in range(4000):
        one = text(f"n{number}", 80)
        store.taken(one)
        store.flush()
        store.over(one, HERE.now())
        store.flush()
    assert min(store.sizes) > 10 and {one.ident for one in old} == set(book(tmp_path, 100_000).texts)


@pytest.mark.parametrize(
    "total,live,oldest,most,expected",
    [
        (10_000, 5_000, 900, 200_000, 0),
        (120_000, 30_000, 900, 200_000, 4000),
        (199_000, 90_000, 7000, 200_000, 7000),
    ],
)
def test_how_much_is_cleaned_follows_from_sizes(total, live, oldest, most, expected):
    assert plan.step(total, live, most, plan.segment_size(most), 2000, oldest) == expected


@pytest.mark.parametrize("seed,call", [(1, call) for call in range(20, 1500, 37)])
def test_killed_at_a_system_call_each_text_keeps_its_one_end(seed, call):
    _, referee, _ = runs.play(load("crash-segments"), seed, kills=(call, 1 + call % 23))
    assert not referee.breaks, list(map(str, referee.breaks[:3]))


def command(*words):
    return CliRunner().invoke(main, [str(word) for word in words])


def test_the_commands_tell_damage_and_save_the_rest(tmp_path):
    folder = tmp_path / "state"
    folder.mkdir()
    store = book(folder, 400_000)
    drive(store, random.Random(3), 300)
    names = sorted(entry.name for entry in folder.iterdir())
    assert (
        command("verify", folder).exit_code == 0
        and f"{len(store.texts)} texts live" in command("stat", folder).output
    )
    lines = [json.loads(line) for line in command("dump", folder).output.splitlines()]
    assert {line["kind"] for line in lines} >= {
        "begun",
        "taken",
        "sent",
        "back",
        "given up",
        "over",
        "sealed",
    }
    first = folder / names[0]
    data = bytearray(first.read_bytes())
    data[3000] ^= 1
    first.write_bytes(data)
    assert command("verify", folder).exit_code == 1
    assert (
        command("salvage", folder, tmp_path / "new").exit_code == 1
        and command("verify", tmp_path / "new").exit_code == 0
    )
    assert (
        command("salvage", folder, tmp_path / "new").exit_code == 2
    )  # not into a folder with something in it
    assert (
        sorted(entry.name for entry in folder.iterdir() if entry.name != "lock") == names
        and first.read_bytes() == data
    )


def test_a_folder_in_use_is_left_alone(tmp_path):
    held = HERE.lock(str(tmp_path))
    assert (
        command("verify", tmp_path).exit_code == 2 and command("verify", tmp_path / "nowhere").exit_code == 2
    )
    os.close(held)


def test_with_machine_durability_each_turn_is_synced_before_it_counts(tmp_path):
    class Synced(System):
        syncs, refuses = 0, False

        def sync(self, file):
            if Synced.refuses:
                raise OSError(5, "input/output error")
            Synced.syncs += 1

    store = Segments(str(tmp_path), 200_000, OFFSET, Synced(), LASTING, "b", True)
    before = Synced.syncs
    store.taken(text("a"))
    store.flush()
    assert Synced.syncs == before + 1
    Synced.refuses = True
    store.taken(text("b"))
    with pytest.raises(OSError):
        store.flush()
    assert set(book(tmp_path).texts) == {"a"}  # what was not proved to be there is not there
    Synced.refuses = False
    store.flush()
    assert "b" in book(tmp_path).texts


def test_the_measure_counts_what_each_side_holds():
    rows = [side(name, 50, 120) for name in SIDES]
    assert [row["side"] for row in rows] == list(SIDES) and all(
        row["live"] == 50 and row["disk_mb"] >= 0 for row in rows
    )
