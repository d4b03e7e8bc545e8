"""Runs a courier as the sidecar of an application: starts it before, stops it after, restarts it on failure.

The courier is a process of its own; the application gets its address in `CALICOPIN_LISTEN`. SIGTERM and
SIGINT are passed to the application first; once that has ended the courier drains and stops. Its folder is
kept.
"""

import os
import signal
import socket
import subprocess
import sys
import time

POLL_INTERVAL_S = 0.05  # seconds between two checks of the processes
READY_TIMEOUT_S = 30.0  # seconds for the courier to start listening
RESTART_DELAY_S = (0.2, 5.0)  # seconds before a restart: at first, and at most
STABLE_RUN_S = 30.0  # seconds after which a failure no longer counts as consecutive
STOP_TIMEOUT_S = 10.0  # seconds for the courier to stop; its own limit is under 4 s


def restart_delay(failures):
    """Seconds to wait before the next start after this number of consecutive failures."""
    return min(RESTART_DELAY_S[1], RESTART_DELAY_S[0] * 2.0 ** max(0, failures - 1))


def is_listening(address):
    """Whether something accepts connections at the address."""
    host, _, port = address.rpartition(":")
    family, where = (socket.AF_UNIX, port) if host == "unix" else (socket.AF_INET, (host, int(port)))
    with socket.socket(family, socket.SOCK_STREAM) as probe:
        probe.settimeout(1.0)
        return probe.connect_ex(where) == 0


class Sidecar:
    """The processes of the courier and the application. `report` is called with lines for the operator."""

    def __init__(self, file, listen, command, report):
        self.file, self.listen, self.command, self.report = file, listen, command, report
        self.courier = self.application = None
        self.failures, self.started_at, self.restart_at = 0, 0.0, 0.0
        self.received_signal = None

    def start_courier(self):
        """Starts the process of the courier."""
        self.courier, self.started_at = (
            subprocess.Popen([sys.executable, "-m", "calicopin", "run", self.file]),
            time.monotonic(),
        )

    def await_ready(self):
        """Waits until the courier listens; False after `READY_TIMEOUT_S`, a failure or a signal."""
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until and self.courier.poll() is None and self.received_signal is None:
            if is_listening(self.listen):
                return True
            time.sleep(POLL_INTERVAL_S)
        return False

    def on_signal(self, signal_number, _):
        """Records a signal for `run`."""
        self.received_signal = signal_number

    def restart_if_ended(self):
        """Restarts a courier that ended while the application runs."""
        now = time.monotonic()
        if self.courier is not None and self.courier.poll() is not None:
            self.failures = 1 if now - self.started_at >= STABLE_RUN_S else self.failures + 1
            self.restart_at = now + restart_delay(self.failures)
            self.report(
                f"the courier ended with {self.courier.returncode}; "
                f"restarting it in {restart_delay(self.failures):.1f} s"
            )
            self.courier = None
        if self.courier is None and now >= self.restart_at:
            self.start_courier()

    def run(self):
        """Runs both; returns the application's exit code, or 2 if one of them did not start."""
        previous_handlers = {
            signal_number: signal.signal(signal_number, self.on_signal)
            for signal_number in (signal.SIGTERM, signal.SIGINT)
        }
        previous_hangup_handler = signal.signal(
            signal.SIGHUP, lambda *_: self.courier and self.courier.send_signal(signal.SIGHUP)
        )
        try:
            self.start_courier()
            if not self.await_ready():
                self.report("the courier did not start, so the application was not started")
                return 2
            self.application = subprocess.Popen(
                self.command, env=os.environ | {"CALICOPIN_LISTEN": self.listen}
            )
            while self.application.poll() is None:
                if self.received_signal is not None:
                    self.application.send_signal(self.received_signal)
                    self.received_signal = None
                self.restart_if_ended()
                time.sleep(POLL_INTERVAL_S)
            code = self.application.returncode
            return code if code >= 0 else 128 - code
        except OSError as fault:
            self.report(f"{self.command[0]}: {fault.strerror}")
            return 2
        finally:
            self.stop()
            for signal_number, handler in (
                *previous_handlers.items(),
                (signal.SIGHUP, previous_hangup_handler),
            ):
                signal.signal(signal_number, handler)

    def stop(self):
        """Stops the courier after the application: it sends what it can and keeps the rest in its folder."""
        if self.courier is not None and self.courier.poll() is None:
            self.courier.terminate()
            try:
                self.courier.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self.report("the courier did not stop and is killed; its messages are kept in its folder")
                self.courier.kill()
                self.courier.wait()
