"""A courier beside one application: up before it, down after it, started again if it falls.

The courier is a process of its own; the application is told where it listens by `CALICOPIN_LISTEN`. SIGTERM
and SIGINT go to the application first; once that has ended the courier drains and stops. Its folder outlasts
both.
"""

import os
import signal
import socket
import subprocess
import sys
import time

POLL_INTERVAL_S = 0.05  # seconds between two looks
READY_TIMEOUT_S = 30.0  # for the courier to listen
RESTART_DELAY_S = (0.2, 5.0)  # after which a courier that fell is started again: the first time, and at most
STABLE_RUN_S = 30.0  # a courier that ran so long has not fallen in a row
STOP_TIMEOUT_S = 10.0  # for the courier to stop: its own limit is under 4 s


def restart_delay(failures):
    """Seconds to wait before the next start, after so many failures in a row."""
    return min(RESTART_DELAY_S[1], RESTART_DELAY_S[0] * 2.0 ** max(0, failures - 1))


def is_listening(address):
    """Whether something accepts connections there."""
    host, _, port = address.rpartition(":")
    family, where = (socket.AF_UNIX, port) if host == "unix" else (socket.AF_INET, (host, int(port)))
    with socket.socket(family, socket.SOCK_STREAM) as probe:
        probe.settimeout(1.0)
        return probe.connect_ex(where) == 0


class Sidecar:
    """The two processes. `report` takes a line for the operator."""

    def __init__(self, file, listen, command, report):
        self.file, self.listen, self.command, self.report = file, listen, command, report
        self.courier = self.application = None
        self.failures, self.started_at, self.restart_at = 0, 0.0, 0.0
        self.received_signal = None

    def start_courier(self):
        """Starts the courier's process."""
        self.courier, self.started_at = (
            subprocess.Popen([sys.executable, "-m", "calicopin", "run", self.file]),
            time.monotonic(),
        )

    def await_ready(self):
        """Whether the courier listens within `READY_TIMEOUT_S` seconds; it may fall or a signal come before."""
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until and self.courier.poll() is None and self.received_signal is None:
            if is_listening(self.listen):
                return True
            time.sleep(POLL_INTERVAL_S)
        return False

    def on_signal(self, signal_number, _):
        """Notes a signal for the loop that waits."""
        self.received_signal = signal_number

    def restart_if_ended(self):
        """Starts a courier again that fell while its application runs."""
        now = time.monotonic()
        if self.courier is not None and self.courier.poll() is not None:
            self.failures = 1 if now - self.started_at >= STABLE_RUN_S else self.failures + 1
            self.restart_at = now + restart_delay(self.failures)
            self.report(
                f"the courier ended with {self.courier.returncode}; "
                f"the next start in {restart_delay(self.failures):.1f} s"
            )
            self.courier = None
        if self.courier is None and now >= self.restart_at:
            self.start_courier()

    def run(self):
        """The application's exit code; 2 where the courier never came up."""
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
                self.report("the courier did not come up, so the application was not started")
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
        """The application is gone: the courier drains what it can and keeps the rest in its folder."""
        if self.courier is not None and self.courier.poll() is None:
            self.courier.terminate()
            try:
                self.courier.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self.report("the courier did not stop and is killed; its folder keeps what it held")
                self.courier.kill()
                self.courier.wait()
