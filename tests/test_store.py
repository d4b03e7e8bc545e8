"""The segmented store: cut or corrupted at any byte, cleaned under load, killed at any system call."""

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
from calicopin.store.__main__ import ReadOnlySystem, main
from calicopin.store.measure import STORES, measure_store
from calicopin.store.segments import NewerFormatError, Segments, scan_records
from calicopin.system import REAL_SYSTEM, System

OFFSET, MAX_VALIDITY_MS = 5e11, 60000.0


def open_store(folder, disk=200_000, system=REAL_SYSTEM):
    return Segments(str(folder), disk, OFFSET, system, MAX_VALIDITY_MS, "b")


def text(ident, size=100, **other):
    return Text(
        ident, 3, 0, f"ref{ident}", None, REAL_SYSTEM.now() + 50000.0, bytes([len(ident)]) * size, **other
    )


def approximately(at):
    """Equal to any time within 0.01 ms, the precision with which wall times are stored. Rounding to tenths
    instead fails now and then: two times this close may be rounded to different tenths.
    """
    return None if at is None else pytest.approx(at, abs=0.01, rel=0.0)


def text_states(store, convert_time=lambda at: at):
    """The properties of each text that a restart has to keep."""
    return {
        t.ident: (t.tries, convert_time(t.ran_at), None, t.verdict, t.wait, t.body, convert_time(t.until))
        for t in store.texts.values()
    }


def run_traffic(store, rng, count, first=0):
    """Random traffic: some texts end soon, others stay live."""
    for number in range(first, first + count):
        ident = f"t{number}"
        while not store.room(400):  # as the courier does: it accepts no text without room
            store.ended(rng.choice(list(store.texts.values())), REAL_SYSTEM.now())
        store.accepted(text(ident, rng.randrange(400)))
        for one in rng.sample(list(store.texts.values()), min(3, len(store.texts))):
            if one.verdict is not None:
                continue
            choice = rng.randrange(6)
            if choice < 2 and one.out_at is None:
                store.sent(one, 1000.0 + number, "a")
            elif choice == 2 and one.out_at is not None:
                store.submit_ended(one, rng.random() < 0.5)
            elif choice == 3:
                store.given_up(one, "bounced", 300.0)
            elif choice >= 4 and (len(store.texts) > 60 or rng.random() < 0.3):
                store.ended(one, REAL_SYSTEM.now())
        store.flush()


def test_flushed_records_survive_a_restart_within_the_disk_limit(tmp_path):
    rng, store, peak = random.Random(1), open_store(tmp_path, 100_000), 0
    run_traffic(store, rng, 1500)
    for number in range(300):
        run_traffic(store, rng, 1, 1500 + number)
        peak = max(peak, sum(entry.stat().st_size for entry in tmp_path.iterdir()))
    before, ended_ids = text_states(store, approximately), set(store.ended_ids.idents)
    for one in store.texts.values():
        if one.out_at is not None:
            ran_at = one.ran_at if one.ran_at is not None else one.out_at
            before[one.ident] = (one.tries, approximately(ran_at), None, *before[one.ident][3:])
    reopened = open_store(tmp_path, 100_000)
    assert text_states(reopened) == before and peak <= 100_000 and len(reopened.sizes) > 2
    assert (
        len(ended_ids & set(reopened.ended_ids.idents))
        >= min(len(ended_ids), reopened.max_ended_id_bytes // 48) * 0.9
        and not reopened.damage_count
    )
    assert store.moved_bytes < 3 * store.written_bytes


def test_a_segment_cut_at_any_byte_keeps_all_records_before_the_cut(tmp_path):
    """A kill may cut the newest segment at any byte: every text whose record is complete before the cut is
    read.
    """
    store = open_store(tmp_path)
    run_traffic(store, random.Random(2), 25)
    path = store._path(store.number)
    with open(path, "rb") as file:
        data = file.read()
    for size in range(len(data)):
        expected = set()
        for _, kind, payload in scan_records(data[:size], store._checksum):
            if kind == b"T":
                expected.add(payload.split(b'"ident": "')[1].split(b'"')[0].decode())
            elif kind == b"O":
                expected.discard(payload.split(b'"')[1].decode())
        folder = tmp_path / "copy"
        folder.mkdir()
        (folder / "00000001.segment").write_bytes(data[:size])
        reopened = open_store(folder)
        assert set(reopened.texts) == expected and not reopened.damage_count
        for entry in folder.iterdir():
            entry.unlink()
        folder.rmdir()


def test_a_flipped_bit_loses_one_record_and_live_texts_count_as_possibly_executed(tmp_path):
    rng, store = random.Random(3), open_store(tmp_path, 400_000)
    run_traffic(store, rng, 300)
    sealed = sorted(tmp_path.iterdir())[0]
    data = sealed.read_bytes()
    live_idents = {one.ident for one in store.texts.values()}
    for _ in range(150):
        damaged = bytearray(data)
        damaged[rng.randrange(len(damaged))] ^= 1 << rng.randrange(8)
        sealed.unlink()  # some file systems sync a file that is overwritten, which would slow the test down
        sealed.write_bytes(damaged)
        reopened = open_store(tmp_path, 400_000)
        assert reopened.damage_count and len(live_idents - set(reopened.texts)) <= 1
        assert all(
            one.ran_at is not None for ident, one in reopened.texts.items() if reopened.segment_of[ident] == 1
        )
        reopened.system.remove(reopened._path(reopened.number))
        sealed.unlink()
        sealed.write_bytes(data)


def test_a_missing_segment_and_a_newer_format_are_reported(tmp_path):
    store = open_store(tmp_path, 400_000)
    run_traffic(store, random.Random(4), 300)
    names = sorted(tmp_path.iterdir())
    names[1].unlink()
    assert open_store(tmp_path, 400_000).damage_count
    sealed = sorted(tmp_path.iterdir())[0]
    sealed.write_bytes(store._record(b"H", b'["b", 1.0, 2]'))
    with pytest.raises(NewerFormatError):
        open_store(tmp_path, 400_000)


def test_a_single_file_journal_is_converted_once(tmp_path):
    from calicopin.state.journal import Journal

    old = Journal(str(tmp_path), 200_000, OFFSET, REAL_SYSTEM, MAX_VALIDITY_MS, "b")
    for ident in "abc":
        old.accepted(text(ident))
    old.sent(old.texts["b"], 1234.0, "z")
    old.ended(old.texts["c"], REAL_SYSTEM.now())
    old.flush()
    store = open_store(tmp_path)
    assert set(store.texts) == {"a", "b"} and store.texts["b"].ran_at == 1234.0 and store.knows("c")
    assert not (tmp_path / "journal").exists() and set(open_store(tmp_path).texts) == {"a", "b"}


def test_a_failed_write_leaves_no_damage_and_is_retried(tmp_path):
    class ShortWrites(System):
        calls = 0

        def write(self, file, data):
            ShortWrites.calls += 1
            if ShortWrites.calls % 7 == 0:
                raise OSError(28, "no space")
            return System.write(file, data[: max(1, len(data) // 2)])

    store, rng, failed = open_store(tmp_path, 100_000, ShortWrites()), random.Random(5), 0
    for number in range(400):
        try:
            run_traffic(store, rng, 1, number)
        except OSError:
            failed += 1
    store.system = REAL_SYSTEM
    store.accepted(text("last"))
    store.flush()
    reopened = open_store(tmp_path, 100_000)
    assert (
        failed > 20
        and not reopened.damage_count
        and set(reopened.texts) == set(store.texts)
        and "last" in reopened.texts
    )


def test_long_lived_texts_are_moved_and_kept_while_many_others_end(tmp_path):
    store = open_store(tmp_path, 100_000)
    long_lived = [replace(text(f"old{number}", 50)) for number in range(20)]
    for one in long_lived:
        store.accepted(one)
    store.flush()
    for number in range(4000):
        one = text(f"n{number}", 80)
        store.accepted(one)
        store.flush()
        store.ended(one, REAL_SYSTEM.now())
        store.flush()
    assert min(store.sizes) > 10 and {one.ident for one in long_lived} == set(
        open_store(tmp_path, 100_000).texts
    )


@pytest.mark.parametrize(
    "total,live,oldest,most,expected",
    [
        (10_000, 5_000, 900, 200_000, 0),
        (120_000, 30_000, 900, 200_000, 4000),
        (199_000, 90_000, 7000, 200_000, 7000),
    ],
)
def test_the_amount_that_is_cleaned_depends_on_sizes(total, live, oldest, most, expected):
    assert plan.bytes_to_move(total, live, most, plan.segment_size(most), 2000, oldest) == expected


@pytest.mark.parametrize("seed,call", [(1, call) for call in range(20, 1500, 37)])
def test_each_text_has_exactly_one_end_after_a_kill_at_any_system_call(seed, call):
    _, referee, _ = runs.play(load("crash-segments"), seed, kills=(call, 1 + call % 23))
    assert not referee.violations, list(map(str, referee.violations[:3]))


def run_command(*words):
    return CliRunner().invoke(main, [str(word) for word in words])


def test_the_commands_report_damage_and_salvage_the_rest(tmp_path):
    folder = tmp_path / "state"
    folder.mkdir()
    store = open_store(folder, 400_000)
    run_traffic(store, random.Random(3), 300)
    names = sorted(entry.name for entry in folder.iterdir())
    assert (
        run_command("verify", folder).exit_code == 0
        and f"{len(store.texts)} texts live" in run_command("stat", folder).output
    )
    lines = [json.loads(line) for line in run_command("dump", folder).output.splitlines()]
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
    assert run_command("verify", folder).exit_code == 1
    salvaged = run_command("salvage", folder, tmp_path / "new")
    readable = Segments(str(folder), 1 << 50, 0.0, ReadOnlySystem(), 8.64e7).texts
    kept = Segments(str(tmp_path / "new"), 1 << 50, 0.0, ReadOnlySystem(), 8.64e7).texts
    assert salvaged.exit_code == 1 and f"{len(readable)} texts saved" in salvaged.output
    assert readable and {ident: text.body for ident, text in kept.items()} == {
        ident: text.body for ident, text in readable.items()
    }
    assert run_command("verify", tmp_path / "new").exit_code == 0
    assert (
        run_command("salvage", folder, tmp_path / "new").exit_code == 2
    )  # not into a folder that is not empty
    assert (
        sorted(entry.name for entry in folder.iterdir() if entry.name != "lock") == names
        and first.read_bytes() == data
    )


def test_a_folder_in_use_is_left_alone(tmp_path):
    lock = REAL_SYSTEM.lock(str(tmp_path))
    assert (
        run_command("verify", tmp_path).exit_code == 2
        and run_command("verify", tmp_path / "nowhere").exit_code == 2
    )
    os.close(lock)


def test_with_machine_durability_each_flush_is_synced(tmp_path):
    class CountingSyncs(System):
        syncs, refuses = 0, False

        def sync(self, file):
            if CountingSyncs.refuses:
                raise OSError(5, "input/output error")
            CountingSyncs.syncs += 1

    store = Segments(str(tmp_path), 200_000, OFFSET, CountingSyncs(), MAX_VALIDITY_MS, "b", True)
    before = CountingSyncs.syncs
    store.accepted(text("a"))
    store.flush()
    assert CountingSyncs.syncs == before + 1
    CountingSyncs.refuses = True
    store.accepted(text("b"))
    with pytest.raises(OSError):
        store.flush()
    assert set(open_store(tmp_path).texts) == {"a"}  # what was not synced is not read
    CountingSyncs.refuses = False
    store.flush()
    assert "b" in open_store(tmp_path).texts


def test_the_measurement_covers_each_store():
    rows = [measure_store(name, 50, 120) for name in STORES]
    assert [row["side"] for row in rows] == list(STORES) and all(
        row["live"] == 50 and row["disk_mb"] >= 0 for row in rows
    )
