"""Rate-limited logging of exceptions: per kind one line per second with a count, one traceback per minute."""

import pytest
from helper import Clock, client
from loguru import logger
from wire_helper import clients, request

from calicopin.fault_log import LINE_INTERVAL_MS, MAX_KINDS, TRACEBACK_INTERVAL_MS, FaultLog
from calicopin.wire.loop import RETRY_DELAY_MS, Loop, Until


@pytest.fixture
def records():
    records = []
    sink = logger.add(lambda message: records.append(message.record), level="ERROR")
    yield records
    logger.remove(sink)


def test_a_kind_has_one_line_per_second_with_a_count_and_one_traceback_per_minute(records):
    clock = Clock()
    faults = FaultLog(clock)
    for _ in range(100):
        faults.log_exception("call.fault", "a call to {endpoint} ended", ValueError("odd"), endpoint="s-1")
    assert len(records) == 1 and records[0]["exception"] is not None
    clock.now += LINE_INTERVAL_MS
    faults.log_exception("call.fault", "a call to {endpoint} ended", ValueError("odd"), endpoint="s-1")
    assert records[1]["message"] == "a call to s-1 ended: ValueError('odd') (99 more since the last line)"
    assert records[1]["exception"] is None and records[1]["extra"]["event"] == "call.fault"
    clock.now += TRACEBACK_INTERVAL_MS
    faults.log_exception("call.fault", "a call to {endpoint} ended", ValueError("odd"), endpoint="s-1")
    assert records[2]["exception"] is not None and records[2]["extra"]["left_out"] == 0


def test_an_expected_system_error_has_one_line_per_second_and_no_traceback(records):
    clock = Clock()
    faults = FaultLog(clock)
    for _ in range(3 * int(TRACEBACK_INTERVAL_MS / LINE_INTERVAL_MS)):
        faults.log_system_error("journal.refused", "{turns} turns", OSError(28, "full"), turns=3)
        clock.now += LINE_INTERVAL_MS / 2.0
    assert len(records) == 1.5 * TRACEBACK_INTERVAL_MS / LINE_INTERVAL_MS
    assert all(record["exception"] is None for record in records)
    assert records[0]["message"] == "3 turns: [Errno 28] full"
    assert records[1]["message"] == "3 turns: [Errno 28] full (1 more since the last line)"


def test_kinds_differ_by_event_type_and_errno_and_their_number_is_bounded(records):
    faults = FaultLog(Clock())
    for fault in (ValueError("a"), KeyError("a"), OSError(5, "io"), OSError(28, "full"), OSError(5, "other")):
        faults.log_exception("turn.fault", "a turn ended", fault)
    faults.log_exception("call.fault", "a call ended", ValueError("a"))
    assert len(records) == 5
    for number in range(3 * MAX_KINDS):
        faults.log_exception(f"event {number}", "odd", ValueError())
    assert len(faults.kinds) <= MAX_KINDS


def test_coroutines_that_fail_repeatedly_do_not_fill_the_log(records):
    loop = Loop(now=Clock())

    def failing():
        yield Until(loop.now())
        raise RuntimeError("odd")

    for _ in range(50):
        loop.spawn(failing())
    loop.spawn_restarting(failing)
    for _ in range(20):
        loop.now.now += RETRY_DELAY_MS
        for _ in range(3):
            loop.once(loop.now())
    assert 2 <= len(records) <= 5
    assert sum(record["exception"] is not None for record in records) == 2, "one for each kind"


def test_requests_that_raise_are_each_answered_with_500_and_logged_once(loop, records):
    server, address = clients(loop)
    server.acceptor.accept = lambda text: 1 / 0
    for _ in range(5):
        peer = client(loop, address)
        peer.say(request())
        assert peer.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 500")
    assert len(records) == 1 and records[0]["extra"]["event"] == "request.fault"
