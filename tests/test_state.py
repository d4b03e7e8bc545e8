"""The journal is read back at every length that a kill may leave it with; connections and descriptors are
kept within their limits.
"""

import os
import random
from dataclasses import replace
from functools import partial

import pytest

from calicopin.connection_reuse import DISTRUST_MS, SETTLE_MS
from calicopin.facade import Place
from calicopin.state.connections import Budget, ConnectionPool
from calicopin.state.journal import Journal, allocated_bytes
from calicopin.state.texts import EndedIds, Text
from calicopin.system import REAL_SYSTEM, System

OFFSET = 5e11


def open_journal(folder, disk=3_000_000, offset=OFFSET):
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


def disk_bytes(folder):
    return sum(allocated_bytes(entry.stat().st_size) for entry in os.scandir(folder))


def text_states(journal):
    return {
        t.ident: (t.tries, t.ran_at, t.ran_zone, t.verdict, t.wait, t.body) for t in journal.texts.values()
    }


def test_a_restart_reads_back_accepted_submitted_and_ended_texts(tmp_path):
    journal = open_journal(tmp_path)
    for ident in "abcdef":
        journal.accepted(text(ident))
    for ident in "bcdef":
        journal.sent(journal.texts[ident], 2000.0, "a")
    journal.submit_ended(journal.texts["c"], False)
    journal.submit_ended(journal.texts["d"], True)
    journal.sent(journal.texts["d"], 2500.0, "b")
    journal.submit_ended(journal.texts["d"], False)
    journal.given_up(journal.texts["e"], "bounced", 700.0)
    journal.ended(journal.texts["f"], 0.0)
    journal.flush()
    read_back = {
        ident: (t.tries, t.ran_at, t.ran_zone, t.verdict, t.wait)
        for ident, t in open_journal(tmp_path).texts.items()
    }
    assert read_back == {
        "a": (0, None, None, None, 0.0),
        "b": (1, 2000.0, "a", None, 0.0),
        "c": (1, None, None, None, 0.0),
        "d": (2, 2000.0, "a", None, 0.0),
        "e": (1, 2000.0, "a", "bounced", 700.0),
    }


def test_validity_is_stored_as_wall_time(tmp_path):
    """The monotonic clock starts anew with the machine, while a text's validity goes on."""
    journal = open_journal(tmp_path)
    journal.accepted(text("a"))
    journal.sent(journal.texts["a"], 2000.0, "a")
    journal.flush()
    back = open_journal(tmp_path, offset=OFFSET + 4000.0).texts["a"]
    assert (back.until, back.ran_at) == (5000.0, -2000.0)


def test_a_torn_record_loses_only_itself(tmp_path):
    """A kill may cut the file at any byte: each length reads as the state after its last complete record."""
    journal, path, states_by_size = open_journal(tmp_path), tmp_path / "journal", {0: {}}
    for operation in (
        lambda: journal.accepted(text("a")),
        lambda: journal.sent(journal.texts["a"], 1.0, "a"),
        lambda: journal.accepted(text("b")),
        lambda: journal.ended(journal.texts["a"], 0.0),
    ):
        operation()
        journal.flush()
        states_by_size[path.stat().st_size] = {ident: kept.tries for ident, kept in journal.texts.items()}
    complete = path.read_bytes()
    for size in range(len(complete) + 1):
        path.write_bytes(complete[:size])
        read_back = {ident: kept.tries for ident, kept in open_journal(tmp_path).texts.items()}
        assert read_back == states_by_size[max(at for at in states_by_size if at <= size)], size
    path.write_bytes(complete[:-3] + b"\x00\x00\x00")
    assert set(open_journal(tmp_path).texts) == {"a", "b"}


def test_records_appended_after_a_torn_record_are_read(tmp_path):
    """Guards against records that are appended behind a torn one after a restart and never read."""
    journal = open_journal(tmp_path)
    journal.accepted(text("a"))
    journal.flush()
    with open(tmp_path / "journal", "ab") as file:
        file.write(b"\x40\x00\x00\x00torn")
    journal = open_journal(tmp_path)
    journal.accepted(text("b"))
    journal.flush()
    assert set(open_journal(tmp_path).texts) == {"a", "b"}


@pytest.mark.parametrize("seed", range(3))
def test_the_folder_stays_within_its_limit(tmp_path, seed):
    rng, limit = random.Random(seed), 300_000
    journal, number, peak = open_journal(tmp_path, limit), 0, 0
    for _ in range(3000):
        size = rng.choice([0, 200, 2000, 20000])
        if rng.random() < 0.5 and journal.room(size):
            journal.accepted(text(f"t{number}", size))
            number += 1
        elif journal.texts:
            one = rng.choice(list(journal.texts.values()))
            end, submit = partial(journal.ended, one, 0.0), partial(journal.sent, one, 1.0, "a")
            rng.choice([end, submit, partial(journal.submit_ended, one, True)])()
        journal.flush()
        # a rewrite adds a second file with the live records
        peak = max(peak, disk_bytes(tmp_path) + allocated_bytes(journal.live_bytes))
    assert number > 100 and peak < limit and not journal.room(limit)
    for one in journal.texts.values():
        one.mark_ended(True) if one.out_at is not None else None
    assert text_states(open_journal(tmp_path, limit)) == text_states(journal)


def test_a_write_that_fails_leaves_no_torn_record_behind(tmp_path):
    """Guards against a short write before an error that leaves a torn record and hides all later ones."""

    class ShortWrites(System):
        def write(self, file, data):
            calls.append(1)
            if len(calls) == 2:
                raise OSError(28, "no space")
            return os.write(file, data[:5])

    journal = open_journal(tmp_path)
    journal.accepted(text("a"))
    calls, journal.system = [], ShortWrites()
    with pytest.raises(OSError):
        journal.flush()
    journal.system = System()
    journal.accepted(text("b"))
    journal.flush()
    assert set(open_journal(tmp_path).texts) == {"a", "b"}


def place(ident, address="x"):
    return Place(ident, address, 7, "one", "a", True, 0.0)


class FakeConnection:
    """An idle connection that the test can close, or make readable by clearing `is_quiet`.

    `data` is what can be read then; b"" stands for the end of the stream.
    """

    def __init__(self, data=b""):
        self.closed, self.is_quiet, self.data = False, True, data

    def open_without_data(self):
        return self.is_quiet

    def pending_data(self):
        return self.data

    def close(self):
        self.closed = True


def test_a_connection_is_reused_only_within_the_idle_limit():
    pool, old, recent = ConnectionPool(5, 1000.0), FakeConnection(), FakeConnection()
    for at, connection in ((0.0, old), (500.0, recent)):
        pool.take(place("y"), at)
        pool.keep(place("x"), connection, at)
    assert pool.take(place("x"), 1100.0) is recent and pool.take(place("x"), 1100.0) is None and old.closed


def test_a_connection_closed_by_the_endpoint_is_not_used():
    pool, connection = ConnectionPool(5, 1000.0), FakeConnection()
    pool.keep(place("x"), connection, 0.0)
    connection.is_quiet = False
    assert pool.take(place("x"), SETTLE_MS) is None and connection.closed and pool.count == 0
    assert pool.reuse.may_keep(7, SETTLE_MS), "an endpoint may close what is idle"


def test_a_connection_that_was_just_answered_rests_before_the_next_call():
    pool, old, new = ConnectionPool(5, 1000.0), FakeConnection(), FakeConnection()
    for at, connection in ((0.0, old), (SETTLE_MS / 2.0, new)):
        assert pool.take(place("x"), at) is None
        pool.keep(place("x"), connection, at)
    assert pool.take(place("x"), SETTLE_MS - 1.0) is None
    assert pool.take(place("x"), SETTLE_MS) is old and pool.take(place("x"), SETTLE_MS) is None
    assert pool.take(place("x"), 1.5 * SETTLE_MS) is new and not (old.closed or new.closed)


@pytest.mark.parametrize(
    "data,trusted",
    [(b"HTTP/1.1 200 OK\r\n", False), (b"H", False), (b"\r\n", False), (b"HTTP/1.1 408 Request", True)],
)
def test_a_destination_that_sends_data_unasked_gets_one_call_for_each_connection(data, trusted):
    pool, now = ConnectionPool(5, 1e9), 0.0
    for period in (DISTRUST_MS, 2.0 * DISTRUST_MS, 4.0 * DISTRUST_MS):
        assert pool.take(place("x"), now) is None
        pool.keep(place("x"), connection := FakeConnection(data), now)
        connection.is_quiet = False
        pool.sweep(now)
        assert connection.closed and pool.count == 0
        for at, kept in ((now, trusted), (now + period - 1.0, trusted), (now + period, True)):
            assert pool.take(place("y"), at) is None
            pool.keep(place("y"), other := FakeConnection(), at)
            assert other.closed != kept
            pool.close_idle(place("y"))
        now += period
    assert pool.used == 0 and pool.reuse.unsolicited_count == (0 if trusted else 3)


def test_the_oldest_idle_connection_is_closed_to_make_room():
    pool, connections = ConnectionPool(3, 1000.0), [FakeConnection() for _ in range(3)]
    for at, connection in enumerate(connections):
        assert pool.take(place("new"), float(at)) is None
        pool.keep(place(str(at)), connection, float(at))
    assert pool.take(place("new"), 3.0) is None and [connection.closed for connection in connections] == [
        True,
        False,
        False,
    ]
    assert (
        pool.take(place("2"), 2.0 + SETTLE_MS) is connections[2]
        and not connections[1].closed
        and (pool.used, pool.count) == (2, 1)
    )
    pool.drop(connections[2])
    pool.drop(None)
    pool.sweep(1001.5)
    assert connections[1].closed and (pool.used, pool.count) == (0, 0)


def test_a_connection_is_not_used_for_another_endpoint_at_the_same_address():
    """Guards against idle connections kept by address alone: after an address has passed to another endpoint,
    that endpoint's calls would go to the former one.
    """
    pool, idle, in_use = ConnectionPool(5, 1000.0), FakeConnection(), FakeConnection()
    assert pool.take(place("s-1"), 0.0) is pool.take(place("s-1"), 0.0) is None
    pool.keep(place("s-1"), idle, 0.0)
    assert pool.take(place("s-2"), 1.0) is None
    pool.set_listed([place("s-2")])
    pool.keep(place("s-1"), in_use, 2.0)
    pool.keep(place("s-2"), kept := FakeConnection(), 2.0)
    assert idle.closed and in_use.closed and not kept.closed and (pool.used, pool.count) == (0, 1)
    pool.set_listed([place("s-2", "y")])
    assert kept.closed


def test_the_trusted_idle_time_falls_at_once_and_recovers_with_time():
    pool, connection = ConnectionPool(5, 8000.0), FakeConnection()
    pool.answered(place("s-1"), 40.0)
    connection.idle_ms = 200.0
    assert (
        not pool.was_closed_before(place("s-1"), connection, 41.0)
        and not pool.was_closed_before(place("s-2"), connection, 1.0)
        and pool.trusted_idle_ms == 8000.0
    )
    assert pool.was_closed_before(place("s-1"), connection, 1.0) and pool.trusted_idle_ms == 100.0
    pool.take(place("s-1"), 0.0)
    pool.keep(place("s-1"), connection, 0.0)
    assert pool.take(place("s-1"), 101.0) is None and connection.closed
    for _ in range(8):
        pool.sweep(0.0)
    assert pool.trusted_idle_ms == 8000.0
    connection.idle_ms = 0.0
    assert (
        pool.was_closed_before(place("s-1"), connection, 1.0)
        and pool.trusted_idle_ms == ConnectionPool.MIN_TRUSTED_IDLE_MS
    )
    pool.set_listed([place("s-2")])
    assert not pool.fastest_answer_ms


def test_ids_of_ended_texts_are_kept_for_the_retention_period():
    ended_ids = EndedIds(1000.0)
    for number in range(5000):
        ended_ids.add(str(number), float(number))
    assert (
        "4500" in ended_ids
        and "3000" not in ended_ids
        and len(ended_ids.idents) == len(ended_ids.by_expiry) <= 1000
    )


@pytest.mark.parametrize("descriptors", [24, 64, 256, 1024, 4096])
def test_the_descriptor_budget_is_not_exceeded(descriptors):
    budget = Budget(descriptors, 40)
    assert budget.endpoints + budget.clients + budget.other_clients + Budget.RESERVED <= descriptors
    assert budget.clients <= max(1, descriptors // 3) and budget.calls <= budget.endpoints
    assert min(budget.calls, budget.clients) >= 1


def test_ids_of_ended_texts_survive_restarts_for_the_longest_validity_period(tmp_path):
    now = REAL_SYSTEM.now()

    def restart(boot="b", offset=OFFSET, max_validity=60000.0):
        return Journal(str(tmp_path), 3_000_000, offset, REAL_SYSTEM, max_validity, boot)

    journal = restart()
    for ident in "abc":
        journal.accepted(text(ident))
    journal.ended(journal.texts["a"], now - 70000.0)
    journal.ended(journal.texts["b"], now)
    journal.flush()
    for _ in range(2):  # first from the appended records, then from the rewritten file
        journal = restart()
        assert [journal.knows(ident) for ident in "bcd"] == [True, True, False]
    journal.ended_ids.add("e", now + 1.0)
    assert not journal.knows("a")


def test_a_wall_clock_change_within_one_boot_does_not_move_a_validity(tmp_path):
    journal = Journal(str(tmp_path), 3_000_000, OFFSET, REAL_SYSTEM, 60000.0, "b")
    until = REAL_SYSTEM.now() + 5000.0
    journal.accepted(replace(text("a"), until=until))
    journal.flush()
    for step in (300_000.0, -300_000.0):
        assert Journal(str(tmp_path), 3_000_000, OFFSET + step, REAL_SYSTEM, 60000.0, "b").texts[
            "a"
        ].until == pytest.approx(until)
    after = (
        Journal(str(tmp_path), 3_000_000, OFFSET - 300_000.0, REAL_SYSTEM, 60000.0, "another")
        .texts["a"]
        .until
    )
    assert (
        after <= REAL_SYSTEM.now() + 60000.0
    )  # the wall clock was set back while the courier was down; the longest validity is the limit


def test_ended_ids_take_a_bounded_share_of_the_disk(tmp_path):
    journal = Journal(str(tmp_path), 100_000, OFFSET, REAL_SYSTEM, 60000.0, "b")
    for number in range(5000):
        one = text(f"{number:016x}", 0)
        journal.accepted(one)
        journal.ended(one, 1e6 + number / 100.0)
        journal.flush()
        assert disk_bytes(tmp_path) <= 100_000
    kept = Journal(str(tmp_path), 100_000, OFFSET, REAL_SYSTEM, 60000.0, "b")
    assert kept.knows(f"{4999:016x}") and len(kept.ended_ids.idents) < 1500


def test_a_start_on_a_failing_disk_writes_once_the_disk_recovers(tmp_path):
    class RefusingSystem(System):
        refuses = True

        def create(self, path):
            if self.refuses:
                raise OSError(5, "input/output error")
            return System.create(path)

    first = open_journal(tmp_path)
    first.accepted(text("a"))
    first.flush()
    system = RefusingSystem()
    journal = Journal(str(tmp_path), 3_000_000, OFFSET, system)
    journal.accepted(text("b"))
    with pytest.raises(OSError):
        journal.flush()
    assert set(open_journal(tmp_path).texts) == {"a"}
    system.refuses = False
    journal.flush()
    assert set(open_journal(tmp_path).texts) == {"a", "b"}


def test_giving_back_closes_the_connections_of_that_endpoint_only():
    pool, closed_early, other = ConnectionPool(5, 1000.0), FakeConnection(), FakeConnection()
    for name, connection in (("a", closed_early), ("b", other)):
        assert pool.take(place(name), 0.0) is None
        pool.keep(place(name), connection, 0.0)
    pool.close_idle(place("a"))
    pool.close_idle(place("never called"))
    assert closed_early.closed and not other.closed and pool.count == 1
