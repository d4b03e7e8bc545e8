"""What is kept: the journal is read back at every length that a kill may leave it with."""

import os
import random
from dataclasses import replace
from functools import partial

import pytest

from calicopin.facade import Place
from calicopin.state.connections import Budget, Lines
from calicopin.state.journal import Journal, blocks
from calicopin.state.texts import Past, Text
from calicopin.system import HERE, System

OFFSET = 5e11


def journal(folder, disk=3_000_000, offset=OFFSET):
    return Journal(str(folder), disk, offset)


def text(ident, size=10, **other):
    return Text(
        ident,
        3,
        0,
        "ref\u00e9",
        None,
        9000.0,
        bytes(range(256)) * (size // 256) + b"x" * (size % 256),
        **other,
    )


def on_disk(folder):
    return sum(blocks(entry.stat().st_size) for entry in os.scandir(folder))


def state(book):
    return {t.ident: (t.tries, t.ran_at, t.ran_zone, t.verdict, t.wait, t.body) for t in book.texts.values()}


def test_a_restart_knows_what_was_taken_sent_and_ended(tmp_path):
    book = journal(tmp_path)
    for ident in "abcdef":
        book.taken(text(ident))
    for ident in "bcdef":
        book.sent(book.texts[ident], 2000.0, "a")
    book.back(book.texts["c"], False)
    book.back(book.texts["d"], True)
    book.sent(book.texts["d"], 2500.0, "b")
    book.back(book.texts["d"], False)
    book.given_up(book.texts["e"], "bounced", 700.0)
    book.over(book.texts["f"], 0.0)
    book.flush()
    told = {
        ident: (t.tries, t.ran_at, t.ran_zone, t.verdict, t.wait)
        for ident, t in journal(tmp_path).texts.items()
    }
    assert told == {
        "a": (0, None, None, None, 0.0),
        "b": (1, 2000.0, "a", None, 0.0),
        "c": (1, None, None, None, 0.0),
        "d": (2, 2000.0, "a", None, 0.0),
        "e": (1, 2000.0, "a", "bounced", 700.0),
    }


def test_validity_is_kept_as_wall_time(tmp_path):
    """The module's clock starts anew with the machine; a text's time goes on."""
    book = journal(tmp_path)
    book.taken(text("a"))
    book.sent(book.texts["a"], 2000.0, "a")
    book.flush()
    back = journal(tmp_path, offset=OFFSET + 4000.0).texts["a"]
    assert (back.until, back.ran_at) == (5000.0, -2000.0)


def test_a_torn_record_costs_only_itself(tmp_path):
    """A kill may end the file anywhere: each length reads as the state after its last whole record."""
    book, path, after = journal(tmp_path), tmp_path / "journal", {0: {}}
    for act in (
        lambda: book.taken(text("a")),
        lambda: book.sent(book.texts["a"], 1.0, "a"),
        lambda: book.taken(text("b")),
        lambda: book.over(book.texts["a"], 0.0),
    ):
        act()
        book.flush()
        after[path.stat().st_size] = {ident: kept.tries for ident, kept in book.texts.items()}
    whole = path.read_bytes()
    for size in range(len(whole) + 1):
        path.write_bytes(whole[:size])
        told = {ident: kept.tries for ident, kept in journal(tmp_path).texts.items()}
        assert told == after[max(at for at in after if at <= size)], size
    path.write_bytes(whole[:-3] + b"\x00\x00\x00")
    assert set(journal(tmp_path).texts) == {"a", "b"}


def test_what_follows_a_torn_record_is_read(tmp_path):
    """Records written after a restart once lay behind the torn one."""
    book = journal(tmp_path)
    book.taken(text("a"))
    book.flush()
    with open(tmp_path / "journal", "ab") as file:
        file.write(b"\x40\x00\x00\x00torn")
    book = journal(tmp_path)
    book.taken(text("b"))
    book.flush()
    assert set(journal(tmp_path).texts) == {"a", "b"}


@pytest.mark.parametrize("seed", range(3))
def test_the_folder_stays_under_its_limit(tmp_path, seed):
    rng, disk = random.Random(seed), 300_000
    book, number, most = journal(tmp_path, disk), 0, 0
    for _ in range(3000):
        size = rng.choice([0, 200, 2000, 20000])
        if rng.random() < 0.5 and book.room(size):
            book.taken(text(f"t{number}", size))
            number += 1
        elif book.texts:
            one = rng.choice(list(book.texts.values()))
            over, sent = partial(book.over, one, 0.0), partial(book.sent, one, 1.0, "a")
            rng.choice([over, sent, partial(book.back, one, True)])()
        book.flush()
        most = max(most, on_disk(tmp_path) + blocks(book.live))  # the successor beside it while it is written
    assert number > 100 and most < disk and not book.room(disk)
    for one in book.texts.values():
        one.came_back(True) if one.out_at is not None else None
    assert state(journal(tmp_path, disk)) == state(book)


def test_a_write_that_fails_leaves_no_torn_record_behind(tmp_path):
    """A short write before a fault would have hidden every later record."""

    class Short(System):
        def write(self, file, data):
            calls.append(1)
            if len(calls) == 2:
                raise OSError(28, "no space")
            return os.write(file, data[:5])

    book = journal(tmp_path)
    book.taken(text("a"))
    calls, book.system = [], Short()
    with pytest.raises(OSError):
        book.flush()
    book.system = System()
    book.taken(text("b"))
    book.flush()
    assert set(journal(tmp_path).texts) == {"a", "b"}


def place(ident, address="x"):
    return Place(ident, address, 7, "one", "a", True, 0.0)


class FakeLine:
    """An idle connection that the test closes or makes speak."""

    def __init__(self):
        self.closed, self.silent = False, True

    def quiet(self):
        return self.silent

    def close(self):
        self.closed = True


def test_a_connection_is_used_again_only_clear_of_the_idle_limit():
    lines, old, young = Lines(5, 1000.0), FakeLine(), FakeLine()
    for at, line in ((0.0, old), (500.0, young)):
        lines.take(place("y"), at)
        lines.keep(place("x"), line, at)
    assert lines.take(place("x"), 1100.0) is young and lines.take(place("x"), 1100.0) is None and old.closed


def test_a_connection_that_the_other_side_closed_is_not_used():
    lines, line = Lines(5, 1000.0), FakeLine()
    lines.keep(place("x"), line, 0.0)
    line.silent = False
    assert lines.take(place("x"), 1.0) is None and line.closed and lines.count == 0


def test_the_oldest_idle_connection_makes_room():
    lines, kept = Lines(3, 1000.0), [FakeLine() for _ in range(3)]
    for at, line in enumerate(kept):
        assert lines.take(place("new"), float(at)) is None
        lines.keep(place(str(at)), line, float(at))
    assert lines.take(place("new"), 3.0) is None and [line.closed for line in kept] == [True, False, False]
    assert (
        lines.take(place("2"), 3.0) is kept[2] and not kept[1].closed and (lines.used, lines.count) == (2, 1)
    )
    lines.drop(kept[2])
    lines.drop(None)
    lines.sweep(1001.5)
    assert kept[1].closed and (lines.used, lines.count) == (0, 0)


def test_a_connection_does_not_pass_to_the_next_endpoint_at_an_address():
    """Idle connections once lay by address; the call of one endpoint went to another that had its address
    before.
    """
    lines, idle, out = Lines(5, 1000.0), FakeLine(), FakeLine()
    assert lines.take(place("s-1"), 0.0) is lines.take(place("s-1"), 0.0) is None
    lines.keep(place("s-1"), idle, 0.0)
    assert lines.take(place("s-2"), 1.0) is None
    lines.list([place("s-2")])
    lines.keep(place("s-1"), out, 2.0)
    lines.keep(place("s-2"), kept := FakeLine(), 2.0)
    assert idle.closed and out.closed and not kept.closed and (lines.used, lines.count) == (0, 1)
    lines.list([place("s-2", "y")])
    assert kept.closed


def test_trust_in_idle_connections_falls_at_once_and_comes_back_with_time():
    lines, line = Lines(5, 8000.0), FakeLine()
    lines.answered(place("s-1"), 40.0)
    line.stood = 200.0
    assert (
        not lines.gone(place("s-1"), line, 41.0)
        and not lines.gone(place("s-2"), line, 1.0)
        and lines.trust == 8000.0
    )
    assert lines.gone(place("s-1"), line, 1.0) and lines.trust == 100.0
    lines.take(place("s-1"), 0.0)
    lines.keep(place("s-1"), line, 0.0)
    assert lines.take(place("s-1"), 101.0) is None and line.closed
    for _ in range(8):
        lines.sweep(0.0)
    assert lines.trust == 8000.0
    line.stood = 0.0
    assert lines.gone(place("s-1"), line, 1.0) and lines.trust == Lines.LEAST
    lines.list([place("s-2")])
    assert not lines.fastest


def test_ids_of_ended_texts_are_known_for_a_while_and_no_longer():
    past = Past(1000.0)
    for number in range(5000):
        past.add(str(number), float(number))
    assert "4500" in past and "3000" not in past and len(past.idents) == len(past.order) <= 1000


@pytest.mark.parametrize("descriptors", [24, 64, 256, 1024, 4096])
def test_descriptors_are_shared_out_without_going_over(descriptors):
    budget = Budget(descriptors, 40)
    assert budget.endpoints + budget.clients + budget.porch + Budget.OWN <= descriptors
    assert budget.clients <= max(1, descriptors // 3) and budget.calls <= budget.endpoints
    assert min(budget.calls, budget.clients) >= 1


def test_ids_of_ended_texts_outlast_a_restart_for_as_long_as_a_text_may_live(tmp_path):
    now = HERE.now()

    def begin(boot="b", offset=OFFSET, lasting=60000.0):
        return Journal(str(tmp_path), 3_000_000, offset, HERE, lasting, boot)

    book = begin()
    for ident in "abc":
        book.taken(text(ident))
    book.over(book.texts["a"], now - 70000.0)
    book.over(book.texts["b"], now)
    book.flush()
    for _ in range(2):  # read from the records, then from what was written anew
        book = begin()
        assert [book.knows(ident) for ident in "bcd"] == [True, True, False]
    book.past.add("e", now + 1.0)
    assert not book.knows("a")


def test_within_one_boot_a_wall_clock_that_was_set_matters_to_nobody(tmp_path):
    book = Journal(str(tmp_path), 3_000_000, OFFSET, HERE, 60000.0, "b")
    until = HERE.now() + 5000.0
    book.taken(replace(text("a"), until=until))
    book.flush()
    for step in (300_000.0, -300_000.0):
        assert Journal(str(tmp_path), 3_000_000, OFFSET + step, HERE, 60000.0, "b").texts[
            "a"
        ].until == pytest.approx(until)
    after = Journal(str(tmp_path), 3_000_000, OFFSET - 300_000.0, HERE, 60000.0, "another").texts["a"].until
    assert (
        after <= HERE.now() + 60000.0
    )  # the wall clock went back while it was down: no text is valid for so long


def test_ended_ids_take_a_bounded_part_of_the_disk(tmp_path):
    book = Journal(str(tmp_path), 100_000, OFFSET, HERE, 60000.0, "b")
    for number in range(5000):
        one = text(f"{number:016x}", 0)
        book.taken(one)
        book.over(one, 1e6 + number / 100.0)
        book.flush()
        assert on_disk(tmp_path) <= 100_000
    kept = Journal(str(tmp_path), 100_000, OFFSET, HERE, 60000.0, "b")
    assert kept.knows(f"{4999:016x}") and len(kept.past.idents) < 1500


def test_a_start_on_a_disk_that_refuses_waits_for_it(tmp_path):
    class Broken(System):
        refuses = True

        def create(self, path):
            if self.refuses:
                raise OSError(5, "input/output error")
            return System.create(path)

    first = journal(tmp_path)
    first.taken(text("a"))
    first.flush()
    system = Broken()
    book = Journal(str(tmp_path), 3_000_000, OFFSET, system)
    book.taken(text("b"))
    with pytest.raises(OSError):
        book.flush()
    assert set(journal(tmp_path).texts) == {"a"}
    system.refuses = False
    book.flush()
    assert set(journal(tmp_path).texts) == {"a", "b"}


def test_connections_that_are_given_back_are_closed_and_others_kept():
    lines, here, there = Lines(5, 1000.0), FakeLine(), FakeLine()
    for name, line in (("a", here), ("b", there)):
        assert lines.take(place(name), 0.0) is None
        lines.keep(place(name), line, 0.0)
    lines.give_back(place("a"))
    lines.give_back(place("never called"))
    assert here.closed and not there.closed and lines.count == 1
