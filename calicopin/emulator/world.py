"""Virtual time, chance and the trace of one run: one seed gives one run, byte for byte.

Times are float milliseconds since the run began. Everything that happens is a due time in one heap; equal
times keep the order in which they were asked for.
"""

import hashlib
import heapq
import random
import zlib

WALL_CLOCK_START_MS = 1.7e12  # the wall clock when a run begins
MONOTONIC_START_MS = 5.0e6  # the machines' monotonic clock then


class World:
    """`note` keeps what passed between the parties; `digest` tells whether two runs were the same."""

    def __init__(self, seed):
        self.seed, self.now, self.event_queue, self.next_serial = seed, 0.0, [], 0
        self.trace, self.payload_crc, self.bytes_carried, self.events_run = [], 0, 0, 0
        self.wall_clock_offset = 0.0  # what the wall clock was set forward or back by

    def random_stream(self, name):
        """A stream of random numbers of its own, so that one party's draws do not runtime another's."""
        return random.Random(f"{self.seed}/{name}")

    def call_at(self, when, callback, *args):
        self.next_serial += 1
        heapq.heappush(self.event_queue, (max(when, self.now), self.next_serial, callback, args))

    def call_later(self, delay, callback, *args):
        self.call_at(self.now + delay, callback, *args)

    def record(self, kind, *details):
        self.trace.append((self.now, kind, *details))

    def record_payload(self, data):
        """Bytes that arrived somewhere: their order and time are part of the digest."""
        self.bytes_carried += len(data)
        self.payload_crc = zlib.crc32(data, zlib.crc32(b"%r" % self.now, self.payload_crc))

    def run(self, until):
        """Plays everything that is due up to that time."""
        event_queue = self.event_queue
        while event_queue and event_queue[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(event_queue)
            self.events_run += 1
            callback(*args)
        self.now = until

    def digest(self):
        """A hash over the trace and every byte carried."""
        hasher = hashlib.blake2b(digest_size=12)
        for entry in self.trace:
            hasher.update(repr(entry).encode())
        hasher.update(b"%d" % self.payload_crc)
        return hasher.hexdigest()
