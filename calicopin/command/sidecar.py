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

STEP = 0.05  # seconds between two looks
READY = 30.0  # for the courier to listen
AGAIN = (0.2, 5.0)  # after which a courier that fell is started again: the first time, and at most
CALM = 30.0  # a courier that ran so long has not fallen in a row
DRAIN = 10.0  # for the courier to stop: its own limit is under 4 s


def back_off(falls):
    """Seconds to wait before the next start, after so many falls in a row."""
    return min(AGAIN[1], AGAIN[0] * 2.0 ** max(0, falls - 1))


def listens(address):
    """Whether something accepts connections there."""
    host, _, port = address.rpartition(":")
    family, where = (socket.AF_UNIX, port) if host == "unix" else (socket.AF_INET, (host, int(port)))
    with socket.socket(family, socket.SOCK_STREAM) as knock:
        knock.settimeout(1.0)
        return knock.connect_ex(where) == 0


class Pair:
    """The two processes. `say` takes a line for the operator."""

    def __init__(self, file, listen, words, say):
        self.file, self.listen, self.words, self.say = file, listen, words, say
        self.courier = self.application = None
        self.falls, self.since, self.next = 0, 0.0, 0.0
        self.asked = None

    def start_courier(self):
        """Starts the courier's process."""
        self.courier, self.since = (
            subprocess.Popen([sys.executable, "-m", "calicopin", "run", self.file]),
            time.monotonic(),
        )

    def await_ready(self):
        """Whether the courier listens within `READY` seconds; it may fall or a signal come before."""
        until = time.monotonic() + READY
        while time.monotonic() < until and self.courier.poll() is None and self.asked is None:
            if listens(self.listen):
                return True
            time.sleep(STEP)
        return False

    def hear(self, sign, _):
        """Notes a signal for the loop that waits."""
        self.asked = sign

    def look_after(self):
        """Starts a courier again that fell while its application runs."""
        now = time.monotonic()
        if self.courier is not None and self.courier.poll() is not None:
            self.falls = 1 if now - self.since >= CALM else self.falls + 1
            self.next = now + back_off(self.falls)
            self.say(
                f"the courier ended with {self.courier.returncode}; "
                f"the next start in {back_off(self.falls):.1f} s"
            )
            self.courier = None
        if self.courier is None and now >= self.next:
            self.start_courier()

    def run(self):
        """The application's exit code; 2 where the courier never came up."""
        before = {sign: signal.signal(sign, self.hear) for sign in (signal.SIGTERM, signal.SIGINT)}
        hup = signal.signal(
            signal.SIGHUP, lambda *_: self.courier and self.courier.send_signal(signal.SIGHUP)
        )
        try:
            self.start_courier()
            if not self.await_ready():
                self.say("the courier did not come up, so the application was not started")
                return 2
            self.application = subprocess.Popen(
                self.words, env=os.environ | {"CALICOPIN_LISTEN": self.listen}
            )
            while self.application.poll() is None:
                if self.asked is not None:
                    self.application.send_signal(self.asked)
                    self.asked = None
                self.look_after()
                time.sleep(STEP)
            code = self.application.returncode
            return code if code >= 0 else 128 - code
        except OSError as fault:
            self.say(f"{self.words[0]}: {fault.strerror}")
            return 2
        finally:
            self.stop()
            for sign, handler in (*before.items(), (signal.SIGHUP, hup)):
                signal.signal(sign, handler)

    def stop(self):
        """The application is gone: the courier drains what it can and keeps the rest in its folder."""
        if self.courier is not None and self.courier.poll() is None:
            self.courier.terminate()
            try:
                self.courier.wait(DRAIN)
            except subprocess.TimeoutExpired:
                self.say("the courier did not stop and is killed; its folder keeps what it held")
                self.courier.kill()
                self.courier.wait()
