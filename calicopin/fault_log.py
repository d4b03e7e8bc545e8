"""Rate-limited logging of exceptions: per kind one line per second, one traceback per minute.

Suppressed lines are counted in the next one. Times are float milliseconds of the monotonic clock.
"""

from dataclasses import dataclass, field

from loguru import logger

TRACEBACK_INTERVAL_MS = 60_000.0  # between two tracebacks of one kind
LINE_INTERVAL_MS = 1000.0  # between two lines of one kind
MAX_KINDS = 256  # bounds memory; the kinds come from the code, so only generated event names reach it


@dataclass(slots=True)
class KindState:
    """When exceptions of one kind were last logged, and how many were suppressed since then."""

    traceback_at: float = float("-inf")
    line_at: float = float("-inf")
    left_out: int = field(default=0)


class FaultLog:
    """Logs exceptions. A kind is an event, the exception type and its errno."""

    def __init__(self, now):
        self.now, self.kinds = now, {}

    def log_exception(self, event: str, message: str, fault: BaseException, **fields) -> None:
        """Logs an unexpected exception at ERROR, or counts it; `message` names `fields` in braces."""
        kind = self._state_of(event, fault)
        with_traceback = self.now() >= kind.traceback_at + TRACEBACK_INTERVAL_MS
        if (
            self._write_line(kind, event, message + ": {fault!r}", fault, with_traceback, fields)
            and with_traceback
        ):
            kind.traceback_at = self.now()

    def log_system_error(self, event: str, message: str, fault: OSError, **fields) -> None:
        """Logs an expected system error that the courier handles, without a traceback."""
        self._write_line(self._state_of(event, fault), event, message + ": {fault}", fault, False, fields)

    def _write_line(
        self, kind: KindState, event: str, message: str, fault, with_traceback: bool, fields: dict
    ) -> bool:
        """Writes a line, or counts it as suppressed; returns whether it was written."""
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
