"""One real courier process of a soak: starting, signalling and killing it, and reading its log."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from datetime import datetime
from pathlib import Path

from calicopin.scale.nodes import ROOT, free_port, process_resident, reserve_port
from calicopin.soak.rules import Failure

MEMORY_LIMIT_MB = 32
SHUTDOWN_TIMEOUT_SECONDS = 3.7  # from the stop signal to SIGKILL, the least that the protocol allows
EXIT_POLL_SECONDS = 0.01
FAULTS_VARIABLE = "LB_SOAK_FAULTS"  # read by `calicopin.soak.faulty_courier`
FAULT_EVENTS = (
    "turn.fault",
    "decision.fault",
    "call.fault",
    "request.fault",
    "coroutine.fault",
    "coroutine.again",
)


class CourierProcess:
    """One courier with its folder and its log; `wall_offset` is wall time minus monotonic time, in s."""

    def __init__(self, name: str, folder: Path, settings: dict, discovery: str, known: dict, seed: int):
        self.name, self.folder, self.port = name, folder, free_port()
        self.reservation = reserve_port(self.port)  # for the time between two processes
        folder.mkdir(parents=True, exist_ok=True)
        self.config_path = folder / "courier.json"
        self.base_config = dict(
            name=name,
            listen=f"127.0.0.1:{self.port}",
            discovery=discovery,
            seed=f"{seed:x}",
            state=str(folder / "state"),
            limits=dict(sockets=256, disk_mb=3, memory_mb=MEMORY_LIMIT_MB),
            settings=settings,
            log="json",
            status=True,
        )
        (folder / "state").mkdir(exist_ok=True)
        self.configure(known)
        self.log_path = folder / "courier.log"
        self.wall_offset = time.time() - time.monotonic()
        self.process: subprocess.Popen | None = None
        self.ready = False  # whether the running process has answered that it is ready
        self.faults: list[dict] = []  # of system calls, with the fields of `faulty_system.Fault`

    @property
    def address(self) -> tuple[str, int]:
        """Where clients reach it."""
        return "127.0.0.1", self.port

    def configure(self, known: dict) -> None:
        """Writes the configuration of its next process; `known` is the endpoint list known at its start."""
        self.config_path.write_text(json.dumps(self.base_config | dict(known=known)), "utf-8")

    def start(self) -> None:
        """Starts a new process over the existing folder."""
        self.ready = False
        command = [sys.executable, "-m", "calicopin.soak.faulty_courier"]
        environment = os.environ | {
            "LB_CONFIG": str(self.config_path),
            FAULTS_VARIABLE: json.dumps(self.faults),
        }
        with open(self.log_path, "ab") as log_file:
            self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stderr=log_file)

    def kill(self) -> None:
        """Kills it (SIGKILL) and waits for its exit."""
        self.process.kill()
        self.process.wait()

    async def terminate(self, signals: tuple[str, ...] = ("SIGTERM",)) -> int | None:
        """Ends it by signals, or SIGKILL after a time-out; the exit code, or None if it was killed."""
        deadline = time.monotonic() + SHUTDOWN_TIMEOUT_SECONDS
        for name in signals:
            self.signal(signal.Signals[name])
        while self.is_running():
            if time.monotonic() >= deadline:
                self.kill()
                return None
            await asyncio.sleep(EXIT_POLL_SECONDS)
        return self.process.returncode

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal if it is running."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def is_running(self) -> bool:
        """Whether its process was started and has not exited."""
        return self.process is not None and self.process.poll() is None

    def resident_bytes(self) -> int:
        """Resident memory of its process."""
        return process_resident(self.process.pid)

    def peak_memory_mb(self) -> float:
        """The most memory that its process ever held at once; 0 if it has ended."""
        status = Path(f"/proc/{self.process.pid}/status").read_text("ascii")
        return next((int(line.split()[1]) / 1024 for line in status.splitlines() if "VmHWM" in line), 0.0)

    def records(self) -> Iterator[dict]:
        """The complete lines of its log as objects; lines that are no JSON as events named `plain`."""
        for line in self.log_path.read_text(errors="replace").splitlines():
            try:
                yield json.loads(line)
            except ValueError:
                yield {"event": "plain", "message": line}

    def failures(self) -> list[Failure]:
        """The failed calls in its log."""
        failures = []
        for entry in self.records():
            if entry.get("event") == "call.failed":
                at = datetime.fromisoformat(entry["time"]).timestamp() - self.wall_offset
                failures.append(Failure(at, self.name, entry["destination"]))
        return failures

    def logged_faults(self) -> list[str]:
        """Log lines about faults in its own code, without turns that ended because a disk write failed."""
        return [
            f"{self.name}: {entry['message']}: {entry.get('exception', '')}"
            for entry in self.records()
            if entry.get("event") in FAULT_EVENTS and not is_disk_write_failure(entry)
        ]

    def broken_invariants(self) -> list[str]:
        """The violations that its own run-time checks logged."""
        return [
            f"{self.name}: {entry['message']}"
            for entry in self.records()
            if entry.get("event") == "invariant.broken"
        ]


def is_disk_write_failure(entry: dict) -> bool:
    """Whether a log line reports a turn that ended because a write failed."""
    return entry["event"] == "turn.fault" and entry.get("exception", "").startswith("OSError(")
