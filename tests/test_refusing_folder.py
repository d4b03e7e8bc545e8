"""A folder that refuses writes for a while: what was taken on is still owed, and what cannot be written is
not taken on.
"""

import errno
import os

import pytest
from courier_helper import CourierFixture
from helper import Clock, Rebooted, answer, spin
from loguru import logger

from calicopin.lifecycle.runtime import AGAIN, HOLD, LAST_WORD
from calicopin.system import System

ERRORS = ("ENOSPC", "EIO", "EDQUOT", "EFBIG", "EROFS")


class RefusingFolder(Rebooted):
    """Writes fail with `error` while that is told, behind `partly` bytes of each; then `cut` fails too where
    `cut_fails`."""

    error, partly, cut_fails = None, 0, False

    def fail(self):
        raise OSError(getattr(errno, self.error), os.strerror(getattr(errno, self.error)))

    def write(self, file, data):
        if self.error is None:
            return System.write(file, data)
        if self.partly > 0:
            taken = data[: self.partly]
            self.partly -= len(taken)
            return System.write(file, taken)
        return self.fail()

    def create(self, path):
        return System.create(path) if self.error is None else self.fail()

    def cut(self, file, size):
        return self.fail() if self.error and self.cut_fails else System.cut(file, size)


@pytest.fixture
def system():
    return RefusingFolder()


@pytest.fixture
def house(tmp_path, system):
    return CourierFixture(tmp_path, system=system)


def status(peer):
    return peer.hear().split(b"\r\n")[0].split(b" ")[1:2]


@pytest.mark.parametrize("error", ERRORS)
def test_a_message_that_cannot_be_written_is_refused_with_when_to_come_back(house, system, tmp_path, error):
    system.error, system.partly = error, 5
    peer = house.request("a")
    spin(house.loop, lambda: house.runtime.stuck)
    assert not peer.hear(), "the next tries may succeed"
    house.pass_time(HOLD + AGAIN)
    head = peer.wait(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503") and b"Retry-After: 0.2" in head
    assert house.post("b") == b"503", "and the next one at once"
    system.error = None
    house.pass_time(2.0 * AGAIN)
    assert not house.runtime.stuck and house.post("c") == b"202"
    house.kill()
    assert set(CourierFixture(tmp_path, asked=False).runtime.journal.texts) == {"c"}


def test_a_fault_that_is_over_with_the_next_try_refuses_nothing(house, system):
    system.error = "EIO"
    peer = house.request("a")
    spin(house.loop, lambda: house.runtime.stuck)
    house.pass_time(AGAIN)
    system.error = None
    house.pass_time(AGAIN)
    assert peer.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 202")


def test_what_a_restart_might_read_is_not_refused_before_its_time_is_nearly_up(house, system):
    """Part of its record stands in the file and cannot be cut off: where more of it did, and it were refused
    at once, it could be handed in elsewhere and be sent from here after a kill as well."""
    system.error, system.partly, system.cut_fails = "EIO", 20, True
    peer = house.request("a", left=4.0)
    spin(house.loop, lambda: house.runtime.stuck)
    house.pass_time(3500.0)
    assert not peer.hear()
    house.pass_time(500.0 - LAST_WORD + AGAIN)
    assert peer.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 503")


def called_back_into_a_refusing_folder(house, system, error, left):
    """A message is taken on and called; then the folder refuses, and the endpoint turns the call away."""
    assert house.post("a", left=left) == b"202"
    peer = house.endpoint.meet()
    peer.wait(b"\r\n\r\n")
    system.error = error
    peer.say(answer(503))
    spin(house.loop, lambda: house.runtime.stuck)
    return peer


def test_a_message_whose_time_is_up_meanwhile_is_told_its_end_in_time(house, system):
    _peer = called_back_into_a_refusing_folder(house, system, "ENOSPC", left=3.0)  # its connection stays open
    began = house.loop.now()
    house.pass_time(2800.0)
    assert not house.runtime.notices.owed, "a restart might still send it"
    house.pass_time(200.0 + AGAIN)
    assert house.notice() == [{"ref": "a", "result": "bounced"}] and house.runtime.stuck
    assert house.loop.now() <= began + 3000.0 + 500.0


def test_no_attempt_is_used_up_while_nothing_can_be_written(house, system):
    peer = called_back_into_a_refusing_folder(house, system, "EIO", left=20.0)
    house.pass_time(8000.0)
    assert not house.runtime.out and not house.runtime.given_up
    system.error = None
    house.pass_time(3000.0)
    assert b"X-Request-ID: a" in peer.wait(b"\r\n\r\n"), "on the same connection"
    assert house.runtime.journal.texts["a"].tries == 2


def test_a_folder_that_refuses_for_long_takes_one_line_a_second_and_no_traceback(house, system):
    records = []
    sink = logger.add(lambda message: records.append(message.record), level="INFO")
    try:
        system.error, system.partly = "EFBIG", 5
        peer = house.request("a")
        spin(house.loop, lambda: house.runtime.stuck)
        house.pass_time(10_000.0)
        assert status(peer) == [b"503"]
    finally:
        logger.remove(sink)
    told = [record for record in records if record["extra"].get("event") == "journal.refused"]
    assert 9 <= len(told) <= 11 and not any(record["exception"] for record in records)
    assert "File too large" in told[0]["message"]


@pytest.mark.parametrize("at", [0.0, 2500.0])
def test_a_kill_while_the_folder_refuses_loses_nothing_that_was_taken_on(tmp_path, system, at):
    house = CourierFixture(tmp_path, system=system)
    assert house.post("a", left=60.0) == b"202"
    house.endpoint.meet().wait(b"\r\n\r\n")
    system.error, system.partly = "EIO", 3
    peer = house.request("b")
    spin(house.loop, lambda: house.runtime.stuck)
    house.pass_time(at)
    told = status(peer)
    house.kill()
    back = CourierFixture(tmp_path, clock=Clock(house.loop.now()), endpoint=house.endpoint)
    assert set(back.runtime.journal.texts) == {"a"} and told in ([], [b"503"])
