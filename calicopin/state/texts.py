"""The texts that the courier owns, from their acceptance (202) to their final answer. Times are milliseconds
of the monotonic clock.
"""

from collections import deque
from dataclasses import dataclass
from itertools import islice


@dataclass(slots=True)
class Text:
    """One accepted message, with what a restart has to know of its submits. Times are in ms."""

    ident: str
    dest: int
    product: int
    reference: str | None
    key: str | None
    until: float
    body: bytes
    number: int = -1
    tries: int = 0
    ran_at: float | None = None  # when the first submit that may have been executed was sent
    ran_zone: str | None = None
    out_at: float | None = None  # when the submit in flight was sent
    out_zone: str | None = None
    verdict: str | None = None  # set once the text is given up: the notice that is still owed
    wait: float = 0.0

    def mark_sent(self, sent_at, zone):
        """Records that a submit is sent to `zone`; `sent_at` in ms."""
        self.tries, self.out_at, self.out_zone = self.tries + 1, sent_at, zone

    def mark_ended(self, may_have_run):
        """Records the end of the submit that was in flight, and the first one that may have been executed."""
        if may_have_run and self.ran_at is None:
            self.ran_at, self.ran_zone = self.out_at, self.out_zone
        self.out_at = self.out_zone = None

    def limit_first_run(self, ran_at, zone):
        """Records that a submit of that time (ms) may have been executed, unless an earlier one may have."""
        if self.ran_at is None or ran_at < self.ran_at:
            self.ran_at, self.ran_zone = ran_at, zone

    def first_run(self):
        """(time, zone) of the first submit that may have run, the one in flight included; (None, None) if
        there is none.
        """
        if self.ran_at is None:
            return self.out_at, self.out_zone
        return self.ran_at, self.ran_zone


class EndedIds:
    """Ids of texts that have ended, kept as long as a text may be valid.

    A second text under the id of one that has just ended would be submitted as a duplicate; it is recognized
    by these ids.
    """

    def __init__(self, retention_ms):
        # idents: when each is dropped (ms); by_expiry: the same ids, the first to be dropped at the front
        self.retention_ms, self.idents, self.by_expiry = retention_ms, {}, deque()

    def add(self, ident, now):
        """Records an id that ended at `now` (ms) and drops the ids whose retention period is over."""
        if ident not in self.idents:
            self.idents[ident] = now + self.retention_ms
            self.by_expiry.append(ident)
        self.forget_expired(now)

    def forget_expired(self, now):
        """Drops the ids whose retention period is over at `now` (ms)."""
        while self.by_expiry and self.idents[self.by_expiry[0]] <= now:
            del self.idents[self.by_expiry.popleft()]

    def newest(self, count):
        """(id, time of its end in ms) of the newest `count` ids, oldest first."""
        return [
            (ident, self.idents[ident] - self.retention_ms)
            for ident in islice(self.by_expiry, max(0, len(self.by_expiry) - count), None)
        ]

    def ended_at(self, ident, count):
        """When the id ended, in ms, if it is among the newest `count`; else None."""
        expires_at = self.idents.get(ident)
        among_newest = expires_at is not None and (
            len(self.by_expiry) <= count or expires_at >= self.idents[self.by_expiry[-count]]
        )
        return expires_at - self.retention_ms if among_newest else None

    def __contains__(self, ident):
        return ident in self.idents
