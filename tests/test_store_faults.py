"""The journal and the segmented store on a file system that fails: at every call, for a moment and for long,
with a kill at any of them. What was flushed is owed, what ended does not come back.
"""

import os
import random
import shutil

import pytest
from forced_faults import ForcedFaults
from test_state import text

from calicopin.state.journal import Journal
from calicopin.store.segments import ENDING, Segments
from calicopin.system import System

OFFSET, LASTING = 1e6, 60000.0
ERRORS = ("ENOSPC", "EIO", "EDQUOT", "EFBIG", "EROFS")
CALLS = ("write", "cut", "replace", "remove", "create", "sync", "sync_folder")


def journal(folder, system, disk=120_000):
    return Journal(str(folder), disk, OFFSET, system, LASTING, "b")


def segments(folder, system, disk=120_000):
    return Segments(str(folder), disk, OFFSET, system, LASTING, "b", durable=True)


STORES = {"file": journal, "segments": segments}


class FailingAt(ForcedFaults):
    """Numbers its calls that write; those in `failing` fail with an error drawn, writes behind a part."""

    def __init__(self, failing=frozenset(), seed=0):
        super().__init__()
        self.failing, self.number, self.draw = failing, 0, random.Random(seed)

    def fails(self):
        self.number += 1
        return self.number - 1 in self.failing

    def meet(self, name):
        if name in CALLS and self.fails():
            self.told[name].append(self.draw.choice(ERRORS))
        return super().meet(name)

    def write(self, file, data):
        if self.number in self.failing and len(data) > 1:
            System.write(file, data[: self.draw.randrange(len(data))])
        return super().write(file, data)


class Owner:
    """Works a store: takes messages on, sends and ends some, and knows what was flushed."""

    def __init__(self, store, seed):
        self.store, self.draw, self.next = store, random.Random(seed), 0
        self.owed, self.ended, self.now = set(), set(), store.system.now()
        self.taking, self.ending = set(), set()  # since the last flush that succeeded

    def turn(self):
        """One turn of a courier: some events, and a flush; whether it succeeded."""
        for _ in range(self.draw.randrange(1, 4)):
            ident = f"m{self.next}"
            self.next += 1
            self.store.taken(text(ident, self.draw.randrange(10, 900)))
            self.taking.add(ident)
        for ident in self.draw.sample(sorted(self.store.texts), k=min(2, len(self.store.texts))):
            self.store.sent(self.store.texts[ident], self.now, "a")
            if self.draw.random() < 0.7 or len(self.store.texts) > 40:
                self.store.over(self.store.texts[ident], self.now)
                self.ending.add(ident)
        try:
            self.store.flush()
        except OSError:
            return False
        self.owed |= self.taking
        self.owed -= self.ending
        self.ended |= self.ending
        self.taking, self.ending = set(), set()
        return True


def check(form, folder, owner):
    """A start on a copy of the folder, as behind a kill."""
    copy = str(folder) + ".copy"
    shutil.rmtree(copy, ignore_errors=True)
    shutil.copytree(folder, copy)
    back = STORES[form](copy, System())
    held = set(back.texts)
    assert owner.owed - owner.ending <= held, "what was flushed is owed"
    assert held <= owner.owed | owner.taking, "what ended does not come back"
    assert not getattr(back, "damage", 0)


@pytest.mark.parametrize("form", STORES)
@pytest.mark.parametrize("seed", range(6))
def test_faults_at_random_and_a_kill_behind_any_turn_lose_and_bring_back_nothing(tmp_path, form, seed):
    draw = random.Random(seed)
    failing = frozenset(number for number in range(5000) if draw.random() < 0.15)
    system = FailingAt(failing, seed)
    os.makedirs(tmp_path / "s")
    owner = Owner(STORES[form](tmp_path / "s", system), seed)
    succeeded = 0
    for number in range(150):
        succeeded += owner.turn()
        if number % 5 == 0:
            check(form, tmp_path / "s", owner)
    assert 20 < succeeded < 150
    system.failing = frozenset()
    assert owner.turn()
    check(form, tmp_path / "s", owner)


@pytest.mark.parametrize("form", STORES)
def test_a_fault_at_each_call_of_a_run_loses_and_brings_back_nothing(tmp_path, form):
    """Every call that writes, one after the other, compaction and rewriting included."""
    system = FailingAt()
    os.makedirs(tmp_path / "count")
    owner = Owner(STORES[form](tmp_path / "count", system), 1)
    for _ in range(60):
        assert owner.turn()
    for at in range(1, system.number):
        folder = tmp_path / str(at)
        os.makedirs(folder)
        owner = Owner(STORES[form](folder, FailingAt(frozenset((at, at + 1)), at)), 1)
        for _ in range(60):
            if not owner.turn():
                check(form, folder, owner)
        check(form, folder, owner)
        shutil.rmtree(folder)


@pytest.mark.parametrize("form", STORES)
def test_a_folder_that_refuses_for_minutes_takes_no_files_and_no_memory(tmp_path, form):
    system = FailingAt()
    os.makedirs(tmp_path / "s")
    owner = Owner(STORES[form](tmp_path / "s", system), 1)
    assert owner.turn()
    system.always = dict.fromkeys(("write", "cut", "create", "sync"), "EIO")
    owner.store.taken(text("late", 100))
    sizes = []
    for _ in range(1200):
        with pytest.raises(OSError):
            owner.store.flush()
        sizes.append(len(owner.store.buffer) + len(getattr(owner.store, "head", b"")))
    assert max(sizes) < 20_000 and len(os.listdir(tmp_path / "s")) <= 3
    system.always = dict.fromkeys(("write", "cut", "sync"), "EIO")
    for _ in range(1200):
        with pytest.raises(OSError):
            owner.store.flush()
    assert len(os.listdir(tmp_path / "s")) <= 4
    system.always = {}
    owner.store.flush()
    assert "late" in STORES[form](tmp_path / "s", System()).texts


def test_a_rename_that_took_place_and_reports_a_fault_loses_nothing_behind_it(tmp_path):
    class Renamed(System):
        lies = False

        def replace(self, old, new):
            System.replace(old, new)
            if self.lies:
                raise OSError(5, "input/output error")

    system = Renamed()
    book = journal(tmp_path, system, 20_000)
    system.lies = True
    number = 0
    while True:
        book.taken(text(f"m{number}", 400))
        number += 1
        try:
            book.flush()
        except OSError:
            break
        book.over(book.texts[f"m{number - 1}"], system.now())
    assert book.torn
    system.lies = False
    book.taken(text("behind", 10))
    book.flush()
    assert "behind" in journal(tmp_path, System(), 20_000).texts


def test_cleaning_that_is_refused_holds_up_no_message(tmp_path):
    """The messages of that turn stand in the log: refused now, they would still be sent after a kill."""
    system = ForcedFaults()
    store = segments(tmp_path, system)
    system.always["remove"] = "EBUSY"
    for number in range(400):
        store.taken(text(f"m{number}", 900))
        store.over(store.texts[f"m{number}"], system.now())
        store.flush()
    assert system.met["remove"]
    files = len([name for name in os.listdir(tmp_path) if name.endswith(ENDING)])
    system.always.clear()
    store.taken(text("last", 10))
    store.flush()
    assert len([name for name in os.listdir(tmp_path) if name.endswith(ENDING)]) < files


def test_behind_a_sync_that_failed_what_lives_is_written_anew_to_another_segment(tmp_path):
    system = ForcedFaults()
    store = segments(tmp_path, system)
    store.taken(text("a", 100))
    store.flush()
    system.told["sync"].append("EIO")
    store.taken(text("b", 100))
    with pytest.raises(OSError):
        store.flush()
    first = max(name for name in os.listdir(tmp_path) if name.endswith(ENDING))
    store.flush()
    last = max(name for name in os.listdir(tmp_path) if name.endswith(ENDING))
    assert last > first
    with open(tmp_path / last, "rb") as file:
        data = file.read()
    assert b'"ident": "a"' in data and b'"ident": "b"' in data


def test_with_machine_durability_a_segment_is_written_to_only_once_its_name_is_on_the_disk(tmp_path):
    class Ordered(ForcedFaults):
        def __init__(self):
            super().__init__()
            self.order = []

        def create(self, path):
            self.order.append("create")
            return super().create(path)

        def sync_folder(self, path):
            self.order.append("name")
            return super().sync_folder(path)

        def write(self, file, data):
            self.order.append("write")
            return super().write(file, data)

    system = Ordered()
    store = segments(tmp_path, system)
    assert system.order == ["create", "name", "write"]
    system.told["sync_folder"].append("EIO")
    for number in range(200):
        store.taken(text(f"m{number}", 900))
        store.over(store.texts[f"m{number}"], system.now())
        store.flush()
    refused = next(place for place, what in enumerate(system.order[2:], 2) if what == "name")
    assert not system.told["sync_folder"] and system.order[refused + 1] == "create"
    assert system.order[refused + 2 : refused + 4] == ["name", "write"]
