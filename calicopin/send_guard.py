"""The one guard that every call passes, whatever led to it: a first attempt, a repeat, a message that a
restart found. It checks what has to hold, counts what does not, and has such a call not made. Decisions only,
no I/O. Times are float milliseconds of the monotonic clock.

It does not decide when a call may go; that is `decisions.py` and `slow_start.py`. What it checks follows from
the rules alone, so that a fault in those shows here and not at a destination.
"""

from collections import Counter
from enum import StrEnum

from calicopin.slow_start import OUT, WELL


class Invariant(StrEnum):
    """What holds for every call and every process."""

    LISTED = "a call goes to an endpoint that is listed and ready"
    WAIT_OVER = "no call goes before a told wait is over"
    JOURNALLED = "a call is journalled before it goes"
    OUTAGE_KNOWN = "an outage that the journal holds is known to the decisions"
    OUTAGE_ENDS = "an outage ends with a delivery and the time behind it, not otherwise"
    SLOW_START = "a held sender makes no more calls than its part"
    ENDED = "every message of a call that has ended has its outcome"
    RESTORED = "a start knows all that the journal holds"
    ANSWERED = "a request that was read gets its answer unless its client has left"


class SendGuard:
    """Counts broken invariants; `broken` hears each with a plain sentence. `cold` is the time (ms) that a
    destination takes to warm up: so long behind the last failure an outage binds whatever the decisions say.
    """

    def __init__(self, cold: float, broken):
        self.counts: Counter[Invariant] = Counter()
        self.cold, self.broken = cold, broken

    def _check(self, holds: bool, invariant: Invariant, what: str) -> bool:
        if not holds:
            self.counts[invariant] += 1
            self.broken(invariant, what)
        return holds

    def may_call(self, call, endpoint, kept: dict | None, now: float) -> bool:
        """Whether a call may be made: `endpoint` is what the decisions know of its target (None: nothing),
        `kept` the state of its route that the journal holds, or None.
        """
        name = call.place.ident
        listed = endpoint is not None and endpoint.ident in endpoint.dest.endpoints
        if not self._check(listed, Invariant.LISTED, name):
            return False
        route, slow_start = endpoint.route, endpoint.route.slow_start
        outage = kept is not None and kept["mode"] != WELL and now < kept["failed_at"] + self.cold
        unwritten = [text.ident for text in call.texts if text.out_at is None]
        holds = all(
            [
                self._check(now >= route.pause, Invariant.WAIT_OVER, name),
                self._check(not unwritten, Invariant.JOURNALLED, " ".join(unwritten)),
                self._check(not outage or slow_start.mode != WELL, Invariant.OUTAGE_KNOWN, name),
            ]
        )
        in_time = all(now < text.until for text in call.texts)  # a slow disk may have taken what was left
        return holds and in_time

    def may_change(self, name: str, before: dict | None, after: dict | None, now: float) -> bool:
        """Whether what the journal holds of a route may be replaced: an outage ends as `cold`, and that with
        its time. A state of None binds nothing.
        """
        mode = WELL if before is None else before["mode"]
        if mode == WELL or (after is not None and after["mode"] != WELL):
            return True
        ended = now >= before["failed_at"] + self.cold if mode == OUT else now >= before["warm_at"]
        return self._check(ended, Invariant.OUTAGE_ENDS, name)

    def overran(self, name: str) -> None:
        """A held sender made more calls than its part."""
        self._check(False, Invariant.SLOW_START, name)

    def call_ended(self, call) -> None:
        """A call has ended and its outcome was reported."""
        self._check(not call.open, Invariant.ENDED, call.place.ident)

    def started(self, unknown: list[str]) -> None:
        """A start has handed in what was journalled; the names of what the decisions do not know of it."""
        self._check(not unknown, Invariant.RESTORED, " ".join(unknown))

    def unanswered(self, request: str) -> None:
        """The courier closed a client's connection behind a request that it had read and not answered."""
        self._check(False, Invariant.ANSWERED, request)

    def told(self) -> dict[str, int]:
        """The counts by invariant, for operators."""
        return {invariant.name.lower(): self.counts[invariant] for invariant in Invariant}
