"""Transient errors (no free descriptor, a disk error) are retried by a start, a reload and a watched file."""

import errno
import os
import select
import signal
from dataclasses import replace

import pytest
from courier_helper import CourierFixture
from forced_faults import ForcedFaults
from helper import Clock, spin

from calicopin.discovery_node.source import POLL_INTERVAL_MS as SOURCE_POLL_INTERVAL_MS
from calicopin.discovery_node.source import Source
from calicopin.lifecycle.reload import RELOAD_RETRY_WINDOW_MS
from calicopin.lifecycle.signals import SignalReader
from calicopin.state.journal import Journal
from calicopin.system import RETRY_LIMIT_MS, System, call_with_retries
from calicopin.system_errors import TRANSIENT_FILE_ERRORS
from calicopin.wire.listfile import CHECK_INTERVAL_MS, ListFile
from calicopin.wire.loop import RETRY_DELAY_MS, Loop

TRANSIENT = [errno.errorcode[code] for code in sorted(TRANSIENT_FILE_ERRORS)]


def fault(name):
    return OSError(getattr(errno, name), os.strerror(getattr(errno, name)))


class PausedSystem(ForcedFaults):
    """A system whose clock advances only by its pauses."""

    def __init__(self):
        super().__init__()
        self.clock = 0.0

    def now(self):
        return self.clock

    def sleep(self, span):
        self.clock += span


@pytest.mark.parametrize("error", TRANSIENT)
def test_a_start_retries_after_transient_errors(tmp_path, error):
    system = PausedSystem()
    system.scheduled["read"].extend([error] * 5)
    (tmp_path / "one").write_bytes(b"told")
    assert call_with_retries(system, system.read, str(tmp_path / "one")) == b"told" and system.clock > 0.0


def test_a_start_fails_after_the_retry_limit_and_at_once_for_permanent_errors(tmp_path):
    system = PausedSystem()
    with pytest.raises(FileNotFoundError):
        call_with_retries(system, system.read, str(tmp_path / "none"))
    assert system.clock == 0.0
    system.permanent["read"] = "EIO"
    with pytest.raises(OSError) as raised:
        call_with_retries(system, system.read, str(tmp_path / "none"))
    assert raised.value.errno == errno.EIO and RETRY_LIMIT_MS <= system.clock < RETRY_LIMIT_MS + 100.0


class SteppedWallClock(ForcedFaults):
    """A system without a reboot, whose wall clock the test steps by an hour."""

    step = 0.0

    def boot_id(self):
        self.fail_if_scheduled("boot")
        return "b"

    def wall_clock_ms(self):
        return System.wall_clock_ms() + self.step

    def sleep(self, span):
        pass


@pytest.mark.parametrize("step", [3.6e6, -3.6e6])
def test_a_start_retries_the_boot_id_and_is_not_misled_by_a_stepped_clock(tmp_path, step):
    """Without the boot id, deadlines followed the wall clock, and a message ended an hour early."""
    system = SteppedWallClock()
    courier = CourierFixture(tmp_path, system=system)
    assert courier.post("a", left=30.0) == b"202"
    until = courier.runtime.journal.texts["a"].until
    courier.kill()
    system.step = step
    system.scheduled["boot"].append("ENFILE")
    restarted = CourierFixture(
        tmp_path, clock=Clock(courier.loop.now()), endpoint=courier.endpoint, system=system
    )
    assert restarted.runtime.journal.texts["a"].until == pytest.approx(until, abs=100.0)


def test_a_journal_with_a_transient_read_error_is_not_taken_as_empty(tmp_path):
    courier = CourierFixture(tmp_path)
    assert courier.post("a", left=60.0) == b"202"
    courier.kill()
    system = ForcedFaults()
    system.sleep = lambda span: None
    system.scheduled["read"].extend(["EIO", "ENFILE"])
    restarted = CourierFixture(
        tmp_path, clock=Clock(courier.loop.now()), endpoint=courier.endpoint, system=system
    )
    assert set(restarted.runtime.journal.texts) == {"a"}
    assert isinstance(restarted.runtime.journal, Journal) and system.failed["read"] == 2


def test_a_start_without_a_descriptor_for_signals_retries_and_keeps_pending_signals(monkeypatch):
    """An error of os.pipe2 ended the process with a traceback."""
    pipe, refused = os.pipe2, ["ENFILE", "EMFILE"]

    def refuse(flags):
        if refused:
            os.kill(os.getpid(), signal.SIGHUP)
            raise fault(refused.pop())
        return pipe(flags)

    monkeypatch.setattr(os, "pipe2", refuse)
    reader = SignalReader()
    poller = select.poll()  # unlike `select`, works for any descriptor number
    poller.register(reader.fd, select.POLLIN)
    assert not refused and poller.poll(0) == [(reader.fd, select.POLLIN)]
    assert reader.take_signals() == {signal.SIGHUP}


def test_a_reload_is_retried_after_transient_errors(tmp_path):
    courier = CourierFixture(tmp_path)
    configuration, refused = replace(courier.configurations[0], disk=6_000_000), ["ENFILE", "EIO"]
    read = courier.again
    courier.again = lambda: (_ for _ in ()).throw(fault(refused.pop())) if refused else read()
    courier.configurations.append(configuration)
    limit = courier.runtime.journal.max_bytes
    os.kill(os.getpid(), signal.SIGHUP)
    spin(courier.loop, lambda: len(refused) == 1)
    for _ in range(3):
        courier.loop.now.now += RETRY_DELAY_MS
        for _ in range(3):
            courier.loop.once(courier.loop.now())
    assert not refused and courier.runtime.journal.max_bytes == 2 * limit


def test_a_reload_ends_after_its_retry_limit_and_the_next_signal_starts_another(tmp_path):
    courier = CourierFixture(tmp_path)
    attempts = []

    def refuse():
        attempts.append(courier.loop.now())
        raise fault("EIO")

    courier.again = refuse
    os.kill(os.getpid(), signal.SIGHUP)
    spin(courier.loop, lambda: attempts)
    for _ in range(100):
        courier.loop.now.now += RETRY_DELAY_MS
        courier.loop.once(courier.loop.now())
    assert (
        RELOAD_RETRY_WINDOW_MS - RETRY_DELAY_MS
        <= attempts[-1] - attempts[0]
        <= RELOAD_RETRY_WINDOW_MS + RETRY_DELAY_MS
    )
    before = len(attempts)
    os.kill(os.getpid(), signal.SIGHUP)
    spin(courier.loop, lambda: len(attempts) > before)


def test_a_list_file_with_a_transient_error_is_read_at_the_next_check(tmp_path):
    path, lists, faults = tmp_path / "list", [], ["ENFILE"]
    path.write_text("old")

    def load(_):
        if faults:
            raise fault(faults.pop())
        return [path.read_text()]

    loop = Loop(now=Clock())
    ListFile(loop, str(path), load, lambda places, whole: lists.append(places))
    loop.once(loop.now())
    path.unlink()
    path.write_text("newer")
    for _ in range(2):
        loop.now.now += CHECK_INTERVAL_MS
        loop.once(loop.now())
    assert lists == [["newer"]]


def test_a_source_of_a_node_with_a_transient_error_is_read_at_the_next_check(tmp_path):
    class Refusing(System):
        refusals = 0

        def open_to_read(self, path):
            if self.refusals:
                self.refusals -= 1
                raise fault("ENFILE")
            return System.open_to_read(path)

    def line(ident):
        return (
            b'{"id":"%s","addr":"10.0.0.1:80","cell":1,"kind":"web","zone":"a","state":"active","weight":1.0}\n'
            % ident
        )

    path, system = tmp_path / "log", Refusing()
    path.write_bytes(b'{"form":1,"fleet":"fleet"}\n' + line(b"a"))
    loop = Loop(now=Clock(), system=system)
    source = Source(loop, str(path), "fleet", lambda changed: None, lambda: [1])
    spin(loop, lambda: source.catalogue is not None)
    (tmp_path / "next").write_bytes(b'{"form":1,"fleet":"fleet"}\n' + line(b"a") + line(b"b"))
    os.replace(tmp_path / "next", path)
    system.refusals = 1
    for _ in range(3):
        loop.now.now += SOURCE_POLL_INTERVAL_MS
        for _ in range(5):
            loop.once(loop.now())
    assert source.catalogue.endpoints == 2
