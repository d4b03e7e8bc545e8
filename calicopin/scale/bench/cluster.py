"""Real discovery nodes as processes on loopback, and what they take of the machine."""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass

FLEET = "scale"
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
ASK = 2.0  # seconds for one call of ours
POLL = 0.1  # seconds between two looks at a node that starts


class NodeFailedError(Exception):
    """A node that did not come up; the message is one plain line."""


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor seconds since its start, and bytes resident, of one process."""

    cpu: float
    resident: int


def usage(pid: int) -> Usage:
    """As the system counts it."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return Usage((int(fields[11]) + int(fields[12])) / TICKS, pages * PAGE)


def free_port() -> int:
    """A port of loopback that was free just now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class NodeProcess:
    """One `python -m calicopin discovery-node`; a restart keeps its address and name."""

    def __init__(self, name: str, source: str, log: str):
        self.name, self.source, self.log = name, source, log
        self.address = f"127.0.0.1:{free_port()}"
        self.process: subprocess.Popen | None = None
        self.load_seconds = 0.0

    def start(self) -> None:
        """Begins the process; `wait_ready` follows."""
        command = [sys.executable, "-m", "calicopin", "discovery-node"]
        command += ["--source", self.source, "--fleet", FLEET, "--listen", self.address, "--node", self.name]
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(command, stdout=log, stderr=log)
        self.began = time.monotonic()

    def wait_ready(self, seconds: float = 600.0) -> None:
        """Until it serves; NodeFailedError where it ends or takes too long."""
        while time.monotonic() < self.began + seconds:
            if self.process.poll() is not None:
                raise NodeFailedError(
                    f"node {self.name} ended with {self.process.returncode}: {self._last_line()}"
                )
            if self.is_ready():
                self.load_seconds = time.monotonic() - self.began
                return
            time.sleep(POLL)
        raise NodeFailedError(f"node {self.name} was not ready within {seconds:.0f} s")

    def is_ready(self) -> bool:
        """Whether it serves subscriptions."""
        return self._ask("/-/ready") is not None

    def _last_line(self) -> str:
        with open(self.log, encoding="utf-8", errors="replace") as file:
            return (file.read().strip().splitlines() or ["no word"])[-1]

    def _ask(self, path: str) -> bytes | None:
        """The body of a 200, or None."""
        host, _, port = self.address.partition(":")
        line = http.client.HTTPConnection(host, int(port), timeout=ASK)
        try:
            line.request("GET", path)
            answer = line.getresponse()
            body = answer.read()
            return body if answer.status == 200 else None
        except (OSError, http.client.HTTPException):
            return None
        finally:
            line.close()

    def status(self) -> dict:
        """The node's own figures; empty where it does not answer."""
        body = self._ask("/-/status")
        return json.loads(body) if body else {}

    def usage(self) -> Usage:
        """What the process takes."""
        return usage(self.process.pid)

    def send(self, number: signal.Signals) -> None:
        """A signal to this process alone."""
        self.process.send_signal(number)

    def kill(self) -> None:
        """Ends it without a word."""
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def stop(self) -> None:
        """Ends it in order, and for certain."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()
            try:
                self.process.wait(5.0)
            except subprocess.TimeoutExpired:
                self.kill()
