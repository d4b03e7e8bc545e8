"""Virtual time, chance and the trace of one run: one seed gives one run, byte for byte.

Times are float milliseconds since the run began. Everything that happens is a due time in one heap; equal
times keep the order in which they were asked for.
"""

import hashlib
import heapq
import random
import zlib

START = 1.7e12  # the wall clock when a run begins
UPTIME = 5.0e6  # the machines' monotonic clock then


class World:
    """`note` keeps what passed between the parties; `digest` tells whether two runs were the same."""

    def __init__(self, seed):
        self.seed, self.now, self.due, self.serial = seed, 0.0, [], 0
        self.trace, self.carried, self.bytes, self.events = [], 0, 0, 0
        self.wall_step = 0.0  # what the wall clock was set forward or back by

    def chance(self, name):
        """A stream of random numbers of its own, so that one party's draws do not runtime another's."""
        return random.Random(f"{self.seed}/{name}")

    def at(self, when, act, *args):
        self.serial += 1
        heapq.heappush(self.due, (max(when, self.now), self.serial, act, args))

    def after(self, delay, act, *args):
        self.at(self.now + delay, act, *args)

    def note(self, kind, *told):
        self.trace.append((self.now, kind, *told))

    def carry(self, data):
        """Bytes that arrived somewhere: their order and time are part of the digest."""
        self.bytes += len(data)
        self.carried = zlib.crc32(data, zlib.crc32(b"%r" % self.now, self.carried))

    def run(self, until):
        """Plays everything that is due up to that time."""
        due = self.due
        while due and due[0][0] <= until:
            self.now, _, act, args = heapq.heappop(due)
            self.events += 1
            act(*args)
        self.now = until

    def digest(self):
        """A hash over the trace and every byte carried."""
        whole = hashlib.blake2b(digest_size=12)
        for entry in self.trace:
            whole.update(repr(entry).encode())
        whole.update(b"%d" % self.carried)
        return whole.hexdigest()
