"""Changes appended to the source by an open-loop schedule: late ones are told, never left out."""

import os
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from calicopin.scale.bench.hollow import state_of
from calicopin.scale.bench.in_force import Announced
from calicopin.scale.list_source import Change, ChangeSource

LATE = 500.0  # milliseconds behind its schedule at which a change voids the run


def now() -> float:
    """Milliseconds of the machine's monotonic clock, the same in every process."""
    return time.monotonic() * 1000.0


@dataclass(frozen=True, slots=True)
class Lateness:
    """How far the generator ran behind its own schedule, in milliseconds."""

    worst: float
    late: int


def lateness(changes: list[Announced]) -> Lateness:
    """Of these changes."""
    behind = [one.written - one.due for one in changes]
    return Lateness(max(behind, default=0.0), sum(late > LATE for late in behind))


class ChangeWriter:
    """Appends to the source; one change is one write of one line."""

    def __init__(self, path: str, source: ChangeSource):
        self.file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        self.source = source
        self.announced: list[Announced] = []

    def append(self, due: float) -> Change:
        """The next change, due at that time."""
        change = self.source.next()
        os.write(self.file, change.line.encode() + b"\n")
        state = state_of(change.state, change.weight)
        self.announced.append(Announced(change.destination, change.ident, state, due, now()))
        return change

    def close(self) -> None:
        """Nothing more is appended."""
        os.close(self.file)


class Generator(threading.Thread):
    """Appends `rate` changes a second for so many seconds, evenly, whatever becomes of them."""

    def __init__(self, writer: ChangeWriter, rate: float, seconds: float, tell: Callable[[str], None]):
        super().__init__(daemon=True)
        self.writer, self.rate, self.seconds, self.tell = writer, rate, seconds, tell
        self.fault = ""

    def run(self) -> None:
        """Until the last change is written."""
        began, count = now(), int(self.rate * self.seconds)
        try:
            for number in range(count):
                due = began + (number + 1) * 1000.0 / self.rate
                time.sleep(max(0.0, due - now()) / 1000.0)
                self.writer.append(due)
                self.tell(f"change {number + 1:,} of {count:,}")
        except (LookupError, OSError) as fault:
            self.fault = str(fault)
