"""The scheduler of the decisions: inboxes, due times and draws. It decides nothing and has no I/O.

Times are float milliseconds.
"""

import heapq
import zlib
from collections import deque
from itertools import count

from calicopin.interface import Log


class Scheduler:
    """One cooperative event loop: messages lie in the inboxes of the parts, due times in one heap.

    `now` is the time of the current batch, `late` how far the batches run behind their due times, `out`
    collects the actions of the batch, `touched` the routes whose state a restart has to know anew, `overran`
    the names of those that were sent more than slow start allows; `number` and `seed` make the draws of one
    sender its own.
    """

    def __init__(self, number, seed):
        self.now, self.late, self.actions = 0.0, 0.0, []
        self.pending, self.timers, self.sequence, self.wake_at = deque(), [], count(), float("inf")
        self.wake_token, self.number, self.draw_counter = 0, number, count(seed & 0xFFFFFFFF)
        self.touched, self.overran = {}, []

    def post(self, actor, message, *args):
        """Puts a note into the part's inbox: its `on_NAME` is called with these arguments."""
        actor.inbox.append((message, args))
        self.pending.append(actor)

    def later(self, when, actor, message, *args):
        """Posts a note once `when` has come, in ms."""
        heapq.heappush(self.timers, (when, next(self.sequence), actor, message, args))

    def run(self):
        """Empties the inboxes; what is due posts its note whenever they are empty."""
        while self.pending or self.timers and self.timers[0][0] <= self.now:
            if not self.pending:
                _, _, actor, message, args = heapq.heappop(self.timers)
                self.post(actor, message, *args)
            actor = self.pending.popleft()
            message, args = actor.inbox.popleft()
            getattr(actor, "on_" + message)(*args)

    def draw(self, ident):
        """A draw, at least 0 and under 1, that follows from number, seed, `ident` and the draws before."""
        return zlib.crc32(f"{self.number}:{ident}:{next(self.draw_counter)}".encode()) / 2**32

    def log(self, line):
        """Adds a line for operators to what the decisions give out."""
        self.actions.append(Log(line))
