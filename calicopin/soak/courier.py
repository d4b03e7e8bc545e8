"""One real courier process of a soak: started, killed, ended, held up, and read by its log."""

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from datetime import datetime
from pathlib import Path

from calicopin.scale.nodes import ROOT, free_port, process_resident
from calicopin.soak.rules import Failure

SHUTDOWN_TIMEOUT_SECONDS = 5.0  # seconds that a process has behind SIGTERM
FAULTS_VARIABLE = "LB_SOAK_FAULTS"  # the faults of system calls, for `calicopin.soak.faulty_courier`
FAULT_EVENTS = ("turn.fault", "call.fault", "request.fault", "coroutine.fault", "coroutine.again")


class CourierProcess:
    """One courier with its folder and its log; `wall_offset` is wall time less monotonic time, in s."""

    def __init__(self, name: str, folder: Path, settings: dict, discovery: str, known: dict, seed: int):
        self.name, self.folder, self.port = name, folder, free_port()
        folder.mkdir(parents=True, exist_ok=True)
        self.config_path = folder / "courier.json"
        self.base_config = dict(
            name=name,
            listen=f"127.0.0.1:{self.port}",
            discovery=discovery,
            seed=f"{seed:x}",
            state=str(folder / "state"),
            limits=dict(sockets=256, disk_mb=3),
            settings=settings,
            log="json",
            status=True,
        )
        (folder / "state").mkdir(exist_ok=True)
        self.configure(known)
        self.log_path = folder / "courier.log"
        self.wall_offset = time.time() - time.monotonic()
        self.process: subprocess.Popen | None = None
        self.faults: list[dict] = []  # of system calls, as `faulty_system.Fault` has them

    @property
    def address(self) -> tuple[str, int]:
        """Where clients reach it."""
        return "127.0.0.1", self.port

    def configure(self, known: dict) -> None:
        """What its next process is told, with the list as it is known by then."""
        self.config_path.write_text(json.dumps(self.base_config | dict(known=known)), "utf-8")

    def start(self) -> None:
        """A new process with the folder as it is."""
        command = [sys.executable, "-m", "calicopin.soak.faulty_courier"]
        environment = os.environ | {
            "LB_CONFIG": str(self.config_path),
            FAULTS_VARIABLE: json.dumps(self.faults),
        }
        with open(self.log_path, "ab") as log_file:
            self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stderr=log_file)

    def kill(self) -> None:
        """SIGKILL."""
        self.process.kill()
        self.process.wait()

    def terminate(self) -> int | None:
        """SIGTERM, and SIGKILL where it has not ended in time; its exit code, None where it was killed."""
        self.process.terminate()
        try:
            return self.process.wait(SHUTDOWN_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def signal(self, number: signal.Signals) -> None:
        """Any other signal, while it runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def is_running(self) -> bool:
        """Whether its process has not ended."""
        return self.process is not None and self.process.poll() is None

    def resident_bytes(self) -> int:
        """Bytes that it holds resident."""
        return process_resident(self.process.pid)

    def records(self) -> Iterator[dict]:
        """The lines of its log that are whole, as objects; other lines as events of the name `plain`."""
        for line in self.log_path.read_text(errors="replace").splitlines():
            try:
                yield json.loads(line)
            except ValueError:
                yield {"event": "plain", "message": line}

    def failures(self) -> list[Failure]:
        """The calls that it saw fail, by its log."""
        failures = []
        for entry in self.records():
            if entry.get("event") == "call.failed":
                at = datetime.fromisoformat(entry["time"]).timestamp() - self.wall_offset
                failures.append(Failure(at, self.name, entry["destination"]))
        return failures

    def logged_faults(self) -> list[str]:
        """Lines on faults of its own; a turn that the disk refuses is none."""
        return [
            f"{self.name}: {entry['message']}: {entry.get('exception', '')}"
            for entry in self.records()
            if entry.get("event") in FAULT_EVENTS and not is_disk_write_failure(entry)
        ]

    def broken_invariants(self) -> list[str]:
        """What its own run-time checks counted."""
        return [
            f"{self.name}: {entry['message']}"
            for entry in self.records()
            if entry.get("event") == "invariant.broken"
        ]


def is_disk_write_failure(entry: dict) -> bool:
    """Whether a line tells of a turn that ended since a write failed."""
    return entry["event"] == "turn.fault" and entry.get("exception", "").startswith("OSError(")
