"""The journal and the segmented store on a failing file system: errors at every call, single or lasting, with
a kill at any of them. Flushed texts are still owed after a restart, and ended texts do not reappear.
"""

import os
import random
import shutil

import pytest
from forced_faults import ForcedFaults
from test_state import text

from calicopin.state.journal import Journal
from calicopin.store.segments import SEGMENT_SUFFIX, Segments
from calicopin.system import System

OFFSET, MAX_VALIDITY_MS = 1e6, 60000.0
ERRORS = ("ENOSPC", "EIO", "EDQUOT", "EFBIG", "EROFS")
FAILING_CALLS = ("write", "cut", "replace", "remove", "create", "sync", "sync_folder")


def open_journal(folder, system, disk=120_000):
    return Journal(str(folder), disk, OFFSET, system, MAX_VALIDITY_MS, "b")


def open_segments(folder, system, disk=120_000):
    return Segments(str(folder), disk, OFFSET, system, MAX_VALIDITY_MS, "b", durable=True)


OPENERS = {"file": open_journal, "segments": open_segments}


class FailingAt(ForcedFaults):
    """Numbers the calls that write. Those in `failing_calls` fail with a random error; a write may write a
    part first.
    """

    def __init__(self, failing_calls=frozenset(), seed=0):
        super().__init__()
        self.failing_calls, self.call_number, self.rng = failing_calls, 0, random.Random(seed)

    def next_call_fails(self):
        self.call_number += 1
        return self.call_number - 1 in self.failing_calls

    def fail_if_scheduled(self, name):
        if name in FAILING_CALLS and self.next_call_fails():
            self.scheduled[name].append(self.rng.choice(ERRORS))
        return super().fail_if_scheduled(name)

    def write(self, file, data):
        if self.call_number in self.failing_calls and len(data) > 1:
            System.write(file, data[: self.rng.randrange(len(data))])
        return super().write(file, data)


class StoreDriver:
    """Uses a store as a courier does: accepts, submits and ends texts, and tracks what was flushed."""

    def __init__(self, store, seed):
        self.store, self.rng, self.next_number = store, random.Random(seed), 0
        self.flushed, self.ended, self.now = set(), set(), store.system.now()
        self.unflushed, self.unflushed_ends = set(), set()  # since the last successful flush

    def run_turn(self):
        """One turn of a courier: some events and a flush; returns whether the flush succeeded."""
        for _ in range(self.rng.randrange(1, 4)):
            ident = f"m{self.next_number}"
            self.next_number += 1
            self.store.accepted(text(ident, self.rng.randrange(10, 900)))
            self.unflushed.add(ident)
        for ident in self.rng.sample(sorted(self.store.texts), k=min(2, len(self.store.texts))):
            self.store.sent(self.store.texts[ident], self.now, "a")
            if self.rng.random() < 0.7 or len(self.store.texts) > 40:
                self.store.ended(self.store.texts[ident], self.now)
                self.unflushed_ends.add(ident)
        try:
            self.store.flush()
        except OSError:
            return False
        self.flushed |= self.unflushed
        self.flushed -= self.unflushed_ends
        self.ended |= self.unflushed_ends
        self.unflushed, self.unflushed_ends = set(), set()
        return True


def check_restart(kind, folder, driver):
    """A restart on a copy of the folder, as after a kill."""
    copy = str(folder) + ".copy"
    shutil.rmtree(copy, ignore_errors=True)
    shutil.copytree(folder, copy)
    reopened = OPENERS[kind](copy, System())
    read_back = set(reopened.texts)
    assert driver.flushed - driver.unflushed_ends <= read_back, "flushed texts are still owed"
    assert read_back <= driver.flushed | driver.unflushed, "ended texts do not reappear"
    assert not getattr(reopened, "damage_count", 0)


@pytest.mark.parametrize("kind", OPENERS)
@pytest.mark.parametrize("seed", range(6))
def test_random_faults_and_a_kill_after_any_flush_lose_and_revive_no_text(tmp_path, kind, seed):
    rng = random.Random(seed)
    failing_calls = frozenset(number for number in range(5000) if rng.random() < 0.15)
    system = FailingAt(failing_calls, seed)
    os.makedirs(tmp_path / "s")
    driver = StoreDriver(OPENERS[kind](tmp_path / "s", system), seed)
    succeeded = 0
    for number in range(150):
        succeeded += driver.run_turn()
        if number % 5 == 0:
            check_restart(kind, tmp_path / "s", driver)
    assert 20 < succeeded < 150
    system.failing_calls = frozenset()
    assert driver.run_turn()
    check_restart(kind, tmp_path / "s", driver)


@pytest.mark.parametrize("kind", OPENERS)
def test_a_fault_at_any_call_of_a_run_loses_and_revives_no_text(tmp_path, kind):
    """Fails each call that writes in turn, including those of compaction and rewriting."""
    system = FailingAt()
    os.makedirs(tmp_path / "count")
    driver = StoreDriver(OPENERS[kind](tmp_path / "count", system), 1)
    for _ in range(60):
        assert driver.run_turn()
    for at in range(1, system.call_number):
        folder = tmp_path / str(at)
        os.makedirs(folder)
        driver = StoreDriver(OPENERS[kind](folder, FailingAt(frozenset((at, at + 1)), at)), 1)
        for _ in range(60):
            if not driver.run_turn():
                check_restart(kind, folder, driver)
        check_restart(kind, folder, driver)
        shutil.rmtree(folder)


@pytest.mark.parametrize("kind", OPENERS)
def test_a_folder_that_refuses_for_minutes_uses_no_more_files_or_memory(tmp_path, kind):
    system = FailingAt()
    os.makedirs(tmp_path / "s")
    driver = StoreDriver(OPENERS[kind](tmp_path / "s", system), 1)
    assert driver.run_turn()
    system.permanent = dict.fromkeys(("write", "cut", "create", "sync"), "EIO")
    driver.store.accepted(text("pending", 100))
    sizes = []
    for _ in range(1200):
        with pytest.raises(OSError):
            driver.store.flush()
        sizes.append(len(driver.store.buffer) + len(getattr(driver.store, "segment_head", b"")))
    assert max(sizes) < 20_000 and len(os.listdir(tmp_path / "s")) <= 3
    system.permanent = dict.fromkeys(("write", "cut", "sync"), "EIO")
    for _ in range(1200):
        with pytest.raises(OSError):
            driver.store.flush()
    assert len(os.listdir(tmp_path / "s")) <= 4
    system.permanent = {}
    driver.store.flush()
    assert "pending" in OPENERS[kind](tmp_path / "s", System()).texts


def test_a_rename_that_succeeds_but_reports_an_error_loses_no_later_record(tmp_path):
    class FailingRename(System):
        reports_error = False

        def replace(self, old, new):
            System.replace(old, new)
            if self.reports_error:
                raise OSError(5, "input/output error")

    system = FailingRename()
    journal = open_journal(tmp_path, system, 20_000)
    system.reports_error = True
    number = 0
    while True:
        journal.accepted(text(f"m{number}", 400))
        number += 1
        try:
            journal.flush()
        except OSError:
            break
        journal.ended(journal.texts[f"m{number - 1}"], system.now())
    assert journal.may_hold_unflushed
    system.reports_error = False
    journal.accepted(text("later", 10))
    journal.flush()
    assert "later" in open_journal(tmp_path, System(), 20_000).texts


def test_a_failure_to_clean_does_not_fail_the_flush(tmp_path):
    """Guards against texts that are refused because cleaning failed in their turn: their records are in the
    log, so a restart would still submit them.
    """
    system = ForcedFaults()
    store = open_segments(tmp_path, system)
    system.permanent["remove"] = "EBUSY"
    for number in range(400):
        store.accepted(text(f"m{number}", 900))
        store.ended(store.texts[f"m{number}"], system.now())
        store.flush()
    assert system.failed["remove"]
    file_count = len([name for name in os.listdir(tmp_path) if name.endswith(SEGMENT_SUFFIX)])
    system.permanent.clear()
    store.accepted(text("last", 10))
    store.flush()
    assert len([name for name in os.listdir(tmp_path) if name.endswith(SEGMENT_SUFFIX)]) < file_count


def test_after_a_failed_sync_live_texts_are_written_to_another_segment(tmp_path):
    system = ForcedFaults()
    store = open_segments(tmp_path, system)
    store.accepted(text("a", 100))
    store.flush()
    system.scheduled["sync"].append("EIO")
    store.accepted(text("b", 100))
    with pytest.raises(OSError):
        store.flush()
    first = max(name for name in os.listdir(tmp_path) if name.endswith(SEGMENT_SUFFIX))
    store.flush()
    last = max(name for name in os.listdir(tmp_path) if name.endswith(SEGMENT_SUFFIX))
    assert last > first
    with open(tmp_path / last, "rb") as file:
        data = file.read()
    assert b'"ident": "a"' in data and b'"ident": "b"' in data


def test_with_machine_durability_a_segment_is_used_only_after_its_name_is_synced(tmp_path):
    class RecordingSystem(ForcedFaults):
        def __init__(self):
            super().__init__()
            self.order = []

        def create(self, path):
            self.order.append("create")
            return super().create(path)

        def sync_folder(self, path):
            self.order.append("sync_folder")
            return super().sync_folder(path)

        def write(self, file, data):
            self.order.append("write")
            return super().write(file, data)

    system = RecordingSystem()
    store = open_segments(tmp_path, system)
    assert system.order == ["create", "sync_folder", "write"]
    system.scheduled["sync_folder"].append("EIO")
    for number in range(200):
        store.accepted(text(f"m{number}", 900))
        store.ended(store.texts[f"m{number}"], system.now())
        store.flush()
    refused = next(
        position for position, operation in enumerate(system.order[2:], 2) if operation == "sync_folder"
    )
    assert not system.scheduled["sync_folder"] and system.order[refused + 1] == "create"
    assert system.order[refused + 2 : refused + 4] == ["sync_folder", "write"]
