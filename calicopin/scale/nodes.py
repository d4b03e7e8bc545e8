"""Real discovery nodes as child processes: start, kill, suspend, and read their status."""

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path

LISTENING_PORTS = (15000, 32000)  # below the ports that Linux gives to outgoing connections
ROOT = Path(__file__).resolve().parents[2]
PROGRAM = (sys.executable, "-m", "calicopin", "discovery-node")
SPARE_LEASES = 512  # beyond one per courier: leases of restarted couriers remain until they expire
LEAST_LEASES = 1024
STATUS_TIMEOUT_S = 30.0
READY_POLL_INTERVAL_S = 0.05
TERMINATE_TIMEOUT_S = 5.0


class NodeError(RuntimeError):
    """A node did not start; the message has the end of its log."""


@dataclass(frozen=True, slots=True)
class NodeSample:
    """Resource use of a node's process."""

    at: float  # seconds, monotonic
    cpu_seconds: float
    resident_bytes: int


def free_port() -> int:
    """A free TCP port on loopback, which no outgoing connection takes before it is used."""
    while True:
        port = random.randrange(*LISTENING_PORTS)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def reserve_port(port: int) -> socket.socket:
    """A bound socket that keeps others from choosing a port while its server is down; it does not listen."""
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind(("127.0.0.1", port))
    return reservation


def process_cpu(pid: int) -> float:
    """Processor time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def process_resident(pid: int) -> int:
    """Resident set size of a process in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


class NodeProcess:
    """One discovery node on its own address; it can be restarted on the same address."""

    def __init__(
        self,
        name: str,
        source: str,
        fleet: str,
        couriers: int,
        folder: str,
        program: tuple[str, ...] = PROGRAM,
    ):
        self.name, self.port = name, free_port()
        self.log = os.path.join(folder, f"{name}.log")
        leases = max(LEAST_LEASES, couriers + SPARE_LEASES)
        self.command = [
            *program,
            "--source",
            source,
            "--fleet",
            fleet,
            "--listen",
            self.address,
            "--node",
            name,
        ]
        self.command += ["--leases", str(leases), "--parked", str(leases), "--connections", str(2 * leases)]
        self.process: subprocess.Popen | None = None
        self.is_suspended = False

    @property
    def address(self) -> str:
        """Host and port that couriers connect to."""
        return f"127.0.0.1:{self.port}"

    def start(self) -> None:
        """Starts the process; use `wait_ready` to wait until it serves."""
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, stdin=subprocess.DEVNULL, stderr=log)

    def wait_ready(self, seconds: float) -> float:
        """Waits until it serves and returns the seconds; raises NodeError on time-out or if it ends."""
        began = time.monotonic()
        while time.monotonic() < began + seconds:
            if self.process.poll() is not None:
                raise NodeError(
                    f"{self.name} ended with exit code {self.process.returncode}: {self.log_tail()}"
                )
            if self.is_ready():
                return time.monotonic() - began
            time.sleep(READY_POLL_INTERVAL_S)
        raise NodeError(f"{self.name} was not ready within {seconds:g} s: {self.log_tail()}")

    def is_ready(self) -> bool:
        """Whether it serves subscriptions."""
        try:
            return self._get("/-/ready")[0] == 200
        except OSError:
            return False

    def status(self) -> dict:
        """The figures of its status endpoint."""
        return json.loads(self._get("/-/status")[1])

    def _get(self, path: str) -> tuple[int, bytes]:
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=STATUS_TIMEOUT_S)
        try:
            connection.request("GET", path)
            answer = connection.getresponse()
            return answer.status, answer.read()
        finally:
            connection.close()

    def sample(self) -> NodeSample:
        """Current resource use of the process."""
        pid = self.process.pid
        return NodeSample(time.monotonic(), process_cpu(pid), process_resident(pid))

    def log_tail(self) -> str:
        """The last 400 characters of its log."""
        return Path(self.log).read_text(errors="replace")[-400:].strip()

    def kill(self) -> None:
        """Sends SIGKILL and waits for the end of the process."""
        self.process.kill()
        self.process.wait()

    def suspend(self) -> None:
        """Sends SIGSTOP: its connections stay open, but nothing is answered."""
        self.process.send_signal(signal.SIGSTOP)
        self.is_suspended = True

    def resume(self) -> None:
        """Sends SIGCONT."""
        self.process.send_signal(signal.SIGCONT)
        self.is_suspended = False

    def end(self) -> None:
        """Sends SIGTERM, then SIGKILL if it has not ended after `TERMINATE_TIMEOUT_S`."""
        if self.process is None or self.process.poll() is not None:
            return
        if self.is_suspended:
            self.resume()
        self.process.terminate()
        try:
            self.process.wait(TERMINATE_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, *_):
        self.end()
