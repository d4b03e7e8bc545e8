"""Virtual clock, event queue, seeded random streams and trace of one run.

Times are float milliseconds since the run began. Events run in order of time; events of the same time run in
the order in which they were scheduled. The same seed gives the same run, byte for byte.
"""

import hashlib
import heapq
import random
import zlib

WALL_CLOCK_START_MS = 1.7e12
MONOTONIC_START_MS = 5.0e6


class World:
    """Virtual time and the record of one run.

    `record` appends to the trace; `digest` tells whether two runs were identical.
    """

    def __init__(self, seed):
        self.seed, self.now, self.event_queue, self.next_serial = seed, 0.0, [], 0
        self.trace, self.payload_crc, self.bytes_carried, self.events_run = [], 0, 0, 0
        self.wall_clock_offset = 0.0  # ms, by which troubles have shifted the wall clock

    def random_stream(self, name):
        """A random number generator of its own for each name, so that the draws of one party do not affect
        another's.
        """
        return random.Random(f"{self.seed}/{name}")

    def call_at(self, when, callback, *args):
        """Schedules a callback at that time, or now if the time has passed."""
        self.next_serial += 1
        heapq.heappush(self.event_queue, (max(when, self.now), self.next_serial, callback, args))

    def call_later(self, delay, callback, *args):
        """Schedules a callback after `delay` ms."""
        self.call_at(self.now + delay, callback, *args)

    def record(self, kind, *details):
        """Appends an entry to the trace: the time, its kind and its details."""
        self.trace.append((self.now, kind, *details))

    def record_payload(self, data):
        """Adds delivered bytes to the digest, with their order and time."""
        self.bytes_carried += len(data)
        self.payload_crc = zlib.crc32(data, zlib.crc32(b"%r" % self.now, self.payload_crc))

    def run(self, until):
        """Runs all events that are due up to that time."""
        event_queue = self.event_queue
        while event_queue and event_queue[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(event_queue)
            self.events_run += 1
            callback(*args)
        self.now = until

    def digest(self):
        """A hash over the trace and all bytes delivered."""
        hasher = hashlib.blake2b(digest_size=12)
        for entry in self.trace:
            hasher.update(repr(entry).encode())
        hasher.update(b"%d" % self.payload_crc)
        return hasher.hexdigest()
