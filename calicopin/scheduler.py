"""The scheduler of the decisions: messages, timers and random draws. It decides nothing and has no I/O.

Times are float milliseconds.
"""

import heapq
import zlib
from collections import deque
from itertools import count

from calicopin.interface import Log


class Scheduler:
    """A cooperative event loop: each actor has an inbox of messages, and timers are kept in one heap.

    `now` is the time of the current batch, and `lag` how far the batches lag behind their timers. `actions`
    collects the actions of the batch, `faults` the exceptions in it, `changed_routes` the routes whose state
    has to be journalled again, and `over_budget` the names of routes that got more calls than slow start
    allows. `number` and `seed` make the random draws of each sender its own.
    """

    def __init__(self, number, seed):
        self.now, self.lag, self.actions = 0.0, 0.0, []
        self.pending, self.timers, self.sequence, self.wake_at = deque(), [], count(), float("inf")
        self.wake_token, self.number, self.draw_counter = 0, number, count(seed & 0xFFFFFFFF)
        self.changed_routes, self.over_budget, self.faults = {}, [], []

    def post(self, actor, message, *args):
        """Puts a message into the actor's inbox: its method `on_MESSAGE` is called with these arguments."""
        actor.inbox.append((message, args))
        self.pending.append(actor)

    def schedule(self, when, actor, message, *args):
        """Posts the message at the time `when` (ms)."""
        heapq.heappush(self.timers, (when, next(self.sequence), actor, message, args))

    def drop_timers(self, message, is_obsolete):
        """Drops the timers of a message for whose arguments `is_obsolete` holds."""
        self.timers = [timer for timer in self.timers if not (timer[3] == message and is_obsolete(*timer[4]))]
        heapq.heapify(self.timers)

    def run(self):
        """Delivers all messages. Timers that are due post theirs whenever the inboxes are empty."""
        while self.pending or self.timers and self.timers[0][0] <= self.now:
            if not self.pending:
                _, _, actor, message, args = heapq.heappop(self.timers)
                self.post(actor, message, *args)
            actor = self.pending.popleft()
            message, args = actor.inbox.popleft()
            self.contain(getattr(actor, "on_" + message), *args)

    def contain(self, handler, *args):
        """Calls a handler. An exception in it is noted; what the batch has decided stands."""
        try:
            handler(*args)
        except Exception as fault:
            self.faults.append(fault)

    def draw(self, ident):
        """A pseudorandom number from 0 up to, but not including, 1. It depends on number, seed, `ident` and
        how many were drawn before.
        """
        return zlib.crc32(f"{self.number}:{ident}:{next(self.draw_counter)}".encode()) / 2**32

    def log(self, line):
        """Adds a line for operators to the actions."""
        self.actions.append(Log(line))
