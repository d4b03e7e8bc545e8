"""Whether most of the calls of one route fail at present. Decisions only, no I/O.

The calls are looked at in the order in which they were sent, and those of one burst together: of calls that
are out at the same time, those that fail often end sooner than those that are delivered, or later. `excess`
is how many more calls failed than were delivered since it was last 0; it never falls below that (a CUSUM
test). Where under a half of the calls fail it stays small, where more do it grows without end. Times are
float milliseconds of the monotonic clock, rates calls per millisecond.
"""

from collections import deque
from math import log

# The failures for each delivery up to which losses may be usual: 45% of the calls.
USUAL_LOSS_ODDS = 0.45 / 0.55
# At that loss, an excess that is called an outage comes by chance once in this time.
CHANCE_INTERVAL_MS = 120_000.0
MIN_OUTAGE_EXCESS = 8  # calls
# Where failures are usual, an excess means an outage if its chance is below e to the power of minus this.
RARE_EXCESS_EXPONENT = 12.0
USUAL_FAILURES_WEIGHT = 0.1  # of one delivery in the average
RECOVERY_EXCESS = 8  # calls: how far deliveries have to make up for the failures of an outage
# An answer may take this many times as long as usual before its call stops counting as a likely delivery.
LATE_ANSWER_FACTOR = 2.0
MAX_BURSTS = 512
# The evidence that at least a half of the calls fail is the log-likelihood ratio of these two shares. Refused
# connections are none, since a crowded endpoint refuses them too.
LOSS_SHARE = 0.36
OUTAGE_SHARE = 0.55
FAILURE_EVIDENCE = log(OUTAGE_SHARE / LOSS_SHARE)
DELIVERY_EVIDENCE = log((1.0 - OUTAGE_SHARE) / (1.0 - LOSS_SHARE))
MIN_EVIDENCE = 2.0
# The fields that are journalled and handed over, in their stored order, with the attribute that holds each.
STATE = {
    "excess": "known_excess",
    "failing": "mostly_failing",
    "losses": "usual_failures",
    "evidence": "settled_evidence",
    "half": "half_failing",
    "presumed": "return_presumed",
}


class Burst:
    """Calls that were sent at nearly the same time, from `sent_at` (ms) on: how many of them are `out`,
    `failed` (of them `unreached`, without a connection) or were `delivered`. `settled` says that the tracker
    does not hold it any more.
    """

    __slots__ = ("sent_at", "out", "failed", "unreached", "delivered", "settled")

    def __init__(self, sent_at: float):
        self.sent_at, self.out, self.failed, self.delivered, self.settled = sent_at, 0, 0, 0, False
        self.unreached = 0

    @property
    def change(self) -> int:
        """By how many calls the failures exceed the deliveries so far."""
        return self.failed - self.delivered


class LossTracker:
    """The recent calls of one route and by how many of them the failures exceed the deliveries.

    `mostly_failing` is set in an outage, until deliveries have made up for its failures. `settled_excess` is
    the excess up to the oldest burst that may still change, `bursts` are that one and all later ones.
    `half_failing` says that at least a half of the calls may fail, `settled_evidence` how much speaks for it,
    like `settled_excess`; `evidence_since` is when it was last 0, `evident_at` when it was last enough (ms).
    `return_presumed` says that the route is cold only because of deliveries in a row after that.
    `usual_failures` is the average number of failures for each delivery. It counts the failures and
    deliveries since the excess was last 0 (`stretch_failures`, `stretch_deliveries`) only once it is 0 again,
    so that an outage is not taken for usual.
    """

    def __init__(self):
        self.settled_excess, self.mostly_failing = 0, False
        self.settled_evidence, self.half_failing, self.evidence_since = 0.0, False, 0.0
        self.evident_at, self.return_presumed = 0.0, False
        self.usual_failures, self.stretch_failures, self.stretch_deliveries = 0.0, 0, 0
        self.bursts: deque[Burst] = deque()

    @property
    def known_excess(self) -> int:
        """The excess by the calls that have ended."""
        excess = self.settled_excess
        for burst in self.bursts:
            excess = self._limited(excess + burst.change)
        return excess

    @known_excess.setter
    def known_excess(self, excess: int) -> None:
        self.settled_excess = self.stretch_failures = excess

    def sent(self, now: float, usual_latency: float = 0.0) -> Burst:
        """Records a call that goes now, and returns its burst: of calls that are out together, and were sent
        within the time of a usual answer (ms).
        """
        last = self.bursts[-1] if self.bursts else None
        if not last or not last.out or now >= last.sent_at + usual_latency:
            self.bursts.append(Burst(now))
            self._settle_ended_bursts()
        self.bursts[-1].out += 1
        return self.bursts[-1]

    def ended(
        self,
        burst: Burst,
        failed: bool = False,
        delivered: bool = False,
        first: bool = True,
        unreached: bool = False,
    ) -> None:
        """A call of a burst has ended; neither `failed` nor `delivered` where that says nothing. A call whose
        texts end in several ways is reported once for each, `first` only once.
        """
        burst.out -= first
        burst.failed += failed
        burst.unreached += unreached
        burst.delivered += delivered
        if burst.settled:
            self._add(int(failed), int(delivered), int(unreached))
        self._settle_ended_bursts()

    def interrupted(self) -> None:
        """A call whose outcome is unknown counts as failed."""
        self._add(1, 0)

    def _settle_ended_bursts(self) -> None:
        """Settles all bursts but the last, which may still grow, up to the first with a call that is out."""
        while len(self.bursts) > 1 and (not self.bursts[0].out or len(self.bursts) > MAX_BURSTS):
            burst = self.bursts.popleft()
            burst.settled = True
            self._add(burst.failed, burst.delivered, burst.unreached)

    def _add(self, failed: int, delivered: int, unreached: int = 0) -> None:
        self.settled_evidence = _added(self.settled_evidence, failed - unreached, delivered)
        self.settled_excess = self._limited(self.settled_excess + failed - delivered)
        self.stretch_failures += failed
        self.stretch_deliveries += delivered
        if not self.settled_excess and self.stretch_deliveries:
            self._learn_usual_failures()

    def _learn_usual_failures(self) -> None:
        if not self.mostly_failing:
            weight = 1.0 - (1.0 - USUAL_FAILURES_WEIGHT) ** self.stretch_deliveries
            average = min(1.0, self.stretch_failures / self.stretch_deliveries)
            self.usual_failures += weight * (average - self.usual_failures)
        self.stretch_failures = self.stretch_deliveries = 0

    def _limited(self, excess: int) -> int:
        return max(0, min(excess, RECOVERY_EXCESS) if self.mostly_failing else excess)

    def excess(self, now: float, usual_latency: float) -> int:
        """By how many calls the failures exceed the deliveries. A call that is out, but not yet late by the
        usual latency (ms), counts as delivered.
        """
        excess = self.settled_excess
        late = now - LATE_ANSWER_FACTOR * usual_latency
        for burst in self.bursts:
            expected_deliveries = burst.out if burst.sent_at > late else 0
            excess = self._limited(excess + burst.change - expected_deliveries)
        return excess

    def evidence(self, now: float, usual_latency: float) -> float:
        """The evidence that most calls fail; calls that are out count as in `excess`."""
        evidence, late = self.settled_evidence, now - LATE_ANSWER_FACTOR * usual_latency
        for burst in self.bursts:
            expected_deliveries = burst.out if burst.sent_at > late else 0
            failed = burst.failed - burst.unreached
            evidence = _added(evidence, failed, burst.delivered + expected_deliveries)
        return evidence

    def is_outage(self, now: float, usual_latency: float, usual_rate: float) -> bool:
        """Whether more calls fail than usual losses would bring by chance. The more calls there are, as by
        the usual rate, the larger an excess chance brings.
        """
        chances = usual_rate * CHANCE_INTERVAL_MS * (1.0 - USUAL_LOSS_ODDS) ** 2
        needed = max(
            MIN_OUTAGE_EXCESS,
            RARE_EXCESS_EXPONENT / log(1.0 + 1.0 / max(1e-9, self.usual_failures)),
            log(max(1.0, chances)) / -log(USUAL_LOSS_ODDS),
        )
        return self.excess(now, usual_latency) >= needed

    def note_evidence(self, now: float, usual_latency: float, least_duration: float, hold: float) -> None:
        """Notes whether at least a half of the calls may fail, which they do for `least_duration` (ms): one
        crash breaks many calls at once. It holds until nothing speaks for it any more, and for `hold` (ms) at
        the least: by chance, a half that fails looks like few for a while.
        """
        evidence = self.evidence(now, usual_latency)
        if evidence >= MIN_EVIDENCE and now - self.evidence_since >= least_duration:
            self.half_failing, self.evident_at = True, now
        if not evidence:
            self.evidence_since = now
            self.half_failing = self.half_failing and now - self.evident_at < hold

    def returns_to_outage(self, now: float, usual_latency: float) -> bool:
        """Whether most calls fail again after a recovery from an outage."""
        return self.excess(now, usual_latency) >= RECOVERY_EXCESS

    def begin_outage(self) -> None:
        """The route is in an outage. Deliveries have to make up for its failures, the later ones included,
        but for `RECOVERY_EXCESS` at the most.
        """
        excess = min(RECOVERY_EXCESS, self.known_excess)
        self._forget_calls()
        self.settled_excess, self.mostly_failing = excess, True

    def check_recovery(self, now: float, usual_latency: float) -> None:
        """Notes that deliveries have made up for the failures of the outage, if they have."""
        if self.mostly_failing and not self.excess(now, usual_latency):
            self.mostly_failing = False

    def end_outage(self) -> None:
        """The warm-up after an outage is over."""
        self._forget_calls()
        self.mostly_failing = False

    def _forget_calls(self) -> None:
        for burst in self.bursts:
            burst.settled = True
        self.bursts.clear()
        self.settled_excess = self.stretch_failures = self.stretch_deliveries = 0
        self.settled_evidence, self.half_failing, self.return_presumed = 0.0, False, False


def _added(evidence: float, failed: int, delivered: int) -> float:
    """The evidence with further outcomes; like the excess it never falls below 0."""
    return max(0.0, evidence + failed * FAILURE_EVIDENCE + delivered * DELIVERY_EVIDENCE)
