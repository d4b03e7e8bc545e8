"""A text as it is kept from its 202 to its end. Times are the module's, in milliseconds."""

from collections import deque
from dataclasses import dataclass
from itertools import islice


@dataclass(slots=True)
class Text:
    """One message that was accepted, with what a restart must know of its submits. Times are ms."""

    ident: str
    dest: int
    product: int
    reference: str | None
    key: str | None
    until: float
    body: bytes
    number: int = -1
    tries: int = 0
    ran_at: float | None = None  # when the first submit that may have run was sent
    ran_zone: str | None = None
    out_at: float | None = None  # when the submit that is out now was sent
    out_zone: str | None = None
    verdict: str | None = None  # given up: the notice that is still owed
    wait: float = 0.0

    def went_out(self, at, zone):
        """A submit goes out to the zone; `at` in ms."""
        self.tries, self.out_at, self.out_zone = self.tries + 1, at, zone

    def came_back(self, may_have_run):
        """The submit that was out has ended; the first that may have run is remembered."""
        if may_have_run and self.ran_at is None:
            self.ran_at, self.ran_zone = self.out_at, self.out_zone
        self.out_at = self.out_zone = None


class Past:
    """Ids of texts that are over, for as long as a text may live.

    Guards against a second text under the id of one that has just ended: its submits would be copies.
    """

    def __init__(self, span):
        self.span, self.idents, self.order = span, {}, deque()

    def add(self, ident, now):
        """Remembers an id that is over at `now`, in ms, and forgets those whose time is up."""
        if ident not in self.idents:
            self.idents[ident] = now + self.span
            self.order.append((now + self.span, ident))
        while self.order and self.order[0][0] <= now:
            self.idents.pop(self.order.popleft()[1], None)

    def newest(self, count):
        """(id, when it was over) of as many as are given, oldest first."""
        return [
            (ident, until - self.span)
            for until, ident in islice(self.order, max(0, len(self.order) - count), None)
        ]

    def when(self, ident, count):
        """When it was over, if it is among so many newest; else None."""
        until = self.idents.get(ident)
        known = until is not None and (len(self.order) <= count or until >= self.order[-count][0])
        return until - self.span if known else None

    def __contains__(self, ident):
        return ident in self.idents
