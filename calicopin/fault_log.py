"""Faults in the log: one traceback for each kind in a while, else one line, and no more
than one a second, which counts what was left out. Times are float milliseconds of the monotonic clock.
"""

from dataclasses import dataclass, field

from loguru import logger

TRACEBACK_INTERVAL_MS = 60_000.0  # ms until a kind of fault is told with its traceback again
LINE_INTERVAL_MS = 1000.0  # ms between two lines on faults of one kind
MAX_KINDS = 256  # that are told apart: kinds come from the code, so that only a loop of names reaches it


@dataclass(slots=True)
class KindState:
    """What was told of one kind of fault: when, and how many there were since the last line."""

    traceback_at: float = float("-inf")
    line_at: float = float("-inf")
    left_out: int = field(default=0)


class FaultLog:
    """Tells faults that no one foresaw. A kind is the event, the type of the fault and its errno."""

    def __init__(self, now):
        self.now, self.kinds = now, {}

    def tell(self, event: str, message: str, fault: BaseException, **fields) -> None:
        """One line at ERROR, with `event` and `fields`, or only a count; `message` names fields in braces."""
        kind = self._state_of(event, fault)
        with_traceback = self.now() >= kind.traceback_at + TRACEBACK_INTERVAL_MS
        if (
            self._write_line(kind, event, message + ": {fault!r}", fault, with_traceback, fields)
            and with_traceback
        ):
            kind.traceback_at = self.now()

    def tell_refusal(self, event: str, message: str, fault: OSError, **fields) -> None:
        """The same for what the system refuses and the courier is made to meet: never with a traceback."""
        self._write_line(self._state_of(event, fault), event, message + ": {fault}", fault, False, fields)

    def _write_line(
        self, kind: KindState, event: str, message: str, fault, with_traceback: bool, fields: dict
    ) -> bool:
        """Whether the line was written; else it is counted."""
        now = self.now()
        if now < kind.line_at + LINE_INTERVAL_MS:
            kind.left_out += 1
            return False
        logger.opt(exception=fault if with_traceback else None).error(
            message + (" ({left_out} more since the last line)" if kind.left_out else ""),
            event=event,
            fault=fault,
            left_out=kind.left_out,
            **fields,
        )
        kind.line_at, kind.left_out = now, 0
        return True

    def _state_of(self, event, fault):
        key = event, type(fault), getattr(fault, "errno", None)
        if key not in self.kinds and len(self.kinds) >= MAX_KINDS:
            self.kinds.clear()
        return self.kinds.setdefault(key, KindState())
