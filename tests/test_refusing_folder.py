"""A state folder that refuses writes for a while: accepted texts are still owed, and texts that cannot be
written are not accepted.
"""

import errno
import os

import pytest
from courier_helper import CourierFixture
from helper import Clock, Rebooted, answer, spin
from loguru import logger

from calicopin.lifecycle.runtime import JOURNAL_RETRY_WINDOW_MS, REFUSAL_LEAD_MS, TURN_RETRY_DELAY_MS
from calicopin.system import System

ERRORS = ("ENOSPC", "EIO", "EDQUOT", "EFBIG", "EROFS")


class RefusingFolder(Rebooted):
    """While `error` is set, writes fail with it after `bytes_before_error` bytes; `cut` fails too if
    `cut_fails` is set.
    """

    error, bytes_before_error, cut_fails = None, 0, False

    def fail(self):
        raise OSError(getattr(errno, self.error), os.strerror(getattr(errno, self.error)))

    def write(self, file, data):
        if self.error is None:
            return System.write(file, data)
        if self.bytes_before_error > 0:
            taken = data[: self.bytes_before_error]
            self.bytes_before_error -= len(taken)
            return System.write(file, taken)
        return self.fail()

    def create(self, path):
        return System.create(path) if self.error is None else self.fail()

    def truncate(self, file, size):
        return self.fail() if self.error and self.cut_fails else System.truncate(file, size)


@pytest.fixture
def system():
    return RefusingFolder()


@pytest.fixture
def courier(tmp_path, system):
    return CourierFixture(tmp_path, system=system)


def response_status(connection):
    return connection.hear().split(b"\r\n")[0].split(b" ")[1:2]


@pytest.mark.parametrize("error", ERRORS)
def test_a_message_that_cannot_be_written_is_refused_with_a_retry_time(courier, system, tmp_path, error):
    system.error, system.bytes_before_error = error, 5
    connection = courier.request("a")
    spin(courier.loop, lambda: courier.runtime.failed_turns)
    assert not connection.hear(), "the next tries may succeed"
    courier.pass_time(JOURNAL_RETRY_WINDOW_MS + TURN_RETRY_DELAY_MS)
    head = connection.wait(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503") and b"Retry-After: 0.2" in head
    assert courier.post("b") == b"503", "the next message is refused at once"
    system.error = None
    courier.pass_time(2.0 * TURN_RETRY_DELAY_MS)
    assert not courier.runtime.failed_turns and courier.post("c") == b"202"
    courier.kill()
    assert set(CourierFixture(tmp_path, list_answered=False).runtime.journal.texts) == {"c"}


def test_an_error_that_is_over_at_the_next_try_refuses_nothing(courier, system):
    system.error = "EIO"
    connection = courier.request("a")
    spin(courier.loop, lambda: courier.runtime.failed_turns)
    courier.pass_time(TURN_RETRY_DELAY_MS)
    system.error = None
    courier.pass_time(TURN_RETRY_DELAY_MS)
    assert connection.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 202")


def test_a_message_that_a_restart_might_read_is_refused_only_when_nearly_expired(courier, system):
    """A part of its record is in the file and cannot be cut off. If the complete record were there, a message
    refused at once could be handed in elsewhere and also be submitted from here after a kill.
    """
    system.error, system.bytes_before_error, system.cut_fails = "EIO", 20, True
    connection = courier.request("a", left=4.0)
    spin(courier.loop, lambda: courier.runtime.failed_turns)
    courier.pass_time(3500.0)
    assert not connection.hear()
    courier.pass_time(500.0 - REFUSAL_LEAD_MS + TURN_RETRY_DELAY_MS)
    assert connection.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 503")


def nacked_while_folder_refuses(courier, system, error, left):
    """Accepts and submits a message; then the folder refuses writes and the endpoint nacks the submit."""
    assert courier.post("a", left=left) == b"202"
    connection = courier.endpoint.meet()
    connection.wait(b"\r\n\r\n")
    system.error = error
    connection.say(answer(503))
    spin(courier.loop, lambda: courier.runtime.failed_turns)
    return connection


def test_the_notice_of_an_expired_message_is_sent_in_time(courier, system):
    _connection = nacked_while_folder_refuses(courier, system, "ENOSPC", left=3.0)  # kept open
    began = courier.loop.now()
    courier.pass_time(2800.0)
    assert not courier.runtime.notices.owed, "a restart might still submit it"
    courier.pass_time(200.0 + TURN_RETRY_DELAY_MS)
    assert courier.notice() == [{"ref": "a", "result": "bounced"}] and courier.runtime.failed_turns
    assert courier.loop.now() <= began + 3000.0 + 500.0


def test_no_submit_is_counted_while_nothing_can_be_written(courier, system):
    connection = nacked_while_folder_refuses(courier, system, "EIO", left=20.0)
    courier.pass_time(8000.0)
    assert not courier.runtime.calls_in_progress and not courier.runtime.pending_notices
    system.error = None
    courier.pass_time(3000.0)
    assert b"X-Request-ID: a" in connection.wait(b"\r\n\r\n"), (
        "the text is submitted again on the same connection"
    )
    assert courier.runtime.journal.texts["a"].tries == 2


def test_a_lasting_refusal_is_logged_once_a_second_without_a_traceback(courier, system):
    records = []
    sink = logger.add(lambda message: records.append(message.record), level="INFO")
    try:
        system.error, system.bytes_before_error = "EFBIG", 5
        connection = courier.request("a")
        spin(courier.loop, lambda: courier.runtime.failed_turns)
        courier.pass_time(10_000.0)
        assert response_status(connection) == [b"503"]
    finally:
        logger.remove(sink)
    refusals = [record for record in records if record["extra"].get("event") == "journal.refused"]
    assert 9 <= len(refusals) <= 11 and not any(record["exception"] for record in records)
    assert "File too large" in refusals[0]["message"]


@pytest.mark.parametrize("at", [0.0, 2500.0])
def test_a_kill_while_the_folder_refuses_loses_no_accepted_message(tmp_path, system, at):
    courier = CourierFixture(tmp_path, system=system)
    assert courier.post("a", left=60.0) == b"202"
    courier.endpoint.meet().wait(b"\r\n\r\n")
    system.error, system.bytes_before_error = "EIO", 3
    connection = courier.request("b")
    spin(courier.loop, lambda: courier.runtime.failed_turns)
    courier.pass_time(at)
    status_seen = response_status(connection)
    courier.kill()
    restarted = CourierFixture(tmp_path, clock=Clock(courier.loop.now()), endpoint=courier.endpoint)
    assert set(restarted.runtime.journal.texts) == {"a"} and status_seen in ([], [b"503"])
