"""The last check before every call, whatever led to it: a first attempt, a repeat, or a message restored
after a restart. It counts broken invariants and has such a call not made. Decisions only, no I/O. Times
are float milliseconds of the monotonic clock.

It does not decide when a call may go; `decisions.py` and `slow_start.py` do. It checks against the rules
alone, so that a fault in those shows here and not at a destination.
"""

from collections import Counter
from enum import StrEnum

from calicopin.slow_start import COLD, OUT, WELL


class Invariant(StrEnum):
    """What holds for every call and every process; the value is the sentence for the log."""

    DESTINATION = "a message goes to its own destination"
    LISTED = "a call goes to an endpoint that is listed and ready"
    WAIT_OVER = "no call goes before a requested wait is over"
    JOURNALLED = "a call is journalled before it goes"
    OUTAGE_KNOWN = "an outage that the journal holds is known to the decisions"
    OUTAGE_ENDS = "an outage ends only with a delivery and the warm-up after it"
    SLOW_START = "a throttled sender makes no more calls than its part"
    ENDED = "every message of a call that has ended has its outcome"
    RESTORED = "a start knows all that the journal holds"
    ANSWERED = "a request that was read gets its answer unless its client has left"


class SendGuard:
    """Counts broken invariants and passes each to `report` with a plain sentence. `cold` is the time (ms)
    that a destination takes to warm up: for so long after the last failure an outage restricts calls,
    whatever the decisions say.
    """

    def __init__(self, cold: float, report):
        self.counts: Counter[Invariant] = Counter()
        self.cold, self.report = cold, report

    def _check(self, holds: bool, invariant: Invariant, what: str) -> bool:
        if not holds:
            self.counts[invariant] += 1
            self.report(invariant, what)
        return holds

    def may_call(self, call, endpoint, kept: dict | None, now: float) -> bool:
        """Whether a call may be made. `endpoint` is the endpoint as the decisions know it (None: unknown),
        and `kept` the state of its route in the journal, or None.
        """
        name = call.place.ident
        others = [text.ident for text in call.texts if text.dest != call.place.dest]
        if not self._check(not others, Invariant.DESTINATION, " ".join(others)):
            return False
        listed = endpoint is not None and endpoint.ident in endpoint.dest.endpoints
        if not self._check(listed, Invariant.LISTED, name):
            return False
        route, slow_start = endpoint.route, endpoint.route.slow_start
        outage = kept is not None and kept["mode"] != WELL and now < kept["failed_at"] + self.cold
        unwritten = [text.ident for text in call.texts if text.out_at is None]
        holds = all(
            [
                self._check(now >= route.blocked_until, Invariant.WAIT_OVER, name),
                self._check(not unwritten, Invariant.JOURNALLED, " ".join(unwritten)),
                self._check(not outage or slow_start.mode != WELL, Invariant.OUTAGE_KNOWN, name),
            ]
        )
        in_time = all(now < text.until for text in call.texts)  # a slow disk may have used up the rest
        return holds and in_time

    def may_change(self, name: str, before: dict | None, after: dict | None, now: float) -> bool:
        """Whether the state of a route in the journal may be replaced: an outage has to become cold, and cold
        has to last for the warm-up. A state of None restricts nothing. A return that was only presumed may be
        taken back as long as it is remembered that a half of the calls failed.
        """
        mode = WELL if before is None else before["mode"]
        if mode == WELL or (after is not None and after["mode"] != WELL):
            return True
        if mode == COLD and before.get("presumed") and after is not None and after.get("half"):
            return True
        ended = now >= before["failed_at"] + self.cold if mode == OUT else now >= before["warm_at"]
        return self._check(ended, Invariant.OUTAGE_ENDS, name)

    def over_budget(self, name: str) -> None:
        """A throttled sender made more calls than its part."""
        self._check(False, Invariant.SLOW_START, name)

    def call_ended(self, call) -> None:
        """A call has ended and its outcome was reported."""
        self._check(not call.open, Invariant.ENDED, call.place.ident)

    def started(self, unknown: list[str]) -> None:
        """A start has restored the journal; `unknown` names what the decisions do not know of it."""
        self._check(not unknown, Invariant.RESTORED, " ".join(unknown))

    def unanswered(self, request: str) -> None:
        """The courier closed a client's connection without an answer to a request that it had read."""
        self._check(False, Invariant.ANSWERED, request)

    def counts_by_name(self) -> dict[str, int]:
        """The counts by invariant, for operators."""
        return {invariant.name.lower(): self.counts[invariant] for invariant in Invariant}
