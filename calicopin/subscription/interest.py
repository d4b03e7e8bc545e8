"""The destinations that a courier subscribes to: those used lately or still needed. No I/O and no clock.

Times are milliseconds. A use costs the same however many destinations there are, a sweep costs by what is due
in it.
"""

import heapq
import zlib
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

IDLE = 600000.0  # after its last use a destination is given up, where nothing is held for it
IDLE_JITTER_FRACTION = (
    0.5  # the part of that by which it is longer by chance: sets don't shrink all in one request
)
RECHECK_INTERVAL_MS = 30000.0  # after which one that was idle and still needed is looked at again
MOST = 100_000  # destinations of one courier
FULL_RECHECK_INTERVAL_MS = (
    1000.0  # as long a set found full of needed destinations counts as full: no walk at each use
)


class InterestFullError(Exception):
    """A further destination was refused: the set is as large as it may be, and all of it is needed."""

    def __init__(self, most: int):
        super().__init__(f"all {most} destinations that may be subscribed to are needed")
        self.most = most


@dataclass(frozen=True, slots=True)
class Use:
    """What one use did: whether the destination is new in the set, and which one made room for it."""

    fresh: bool
    given_up: int | None = None


ALREADY_TRACKED = Use(fresh=False)


class Interest:
    """`in_use` tells whether something is held for a destination: such a one is never given up."""

    def __init__(self, seed: int, in_use: Callable[[int], bool], idle: float = IDLE, most: int = MOST):
        self.seed, self.in_use, self.idle, self.most = seed, in_use, idle, most
        self._last_used: OrderedDict[int, float] = (
            OrderedDict()
        )  # last use by destination, the latest at the end
        self._schedule_heap: list[tuple[float, int]] = []  # a heap: one live entry for each destination
        self._scheduled_at: dict[int, float] = {}  # the time of its live entry
        self._full_until = -float("inf")
        self.destinations_checked = (
            0  # destinations looked at in sweeps and for room: work, for tests and figures
        )

    def __len__(self) -> int:
        return len(self._last_used)

    def __contains__(self, destination: int) -> bool:
        return destination in self._last_used

    def use(self, destination: int, now: float) -> Use:
        """Notes a use; raises InterestFullError where there is no room for a new destination."""
        if destination in self._last_used:
            self._last_used[destination] = now
            self._last_used.move_to_end(destination)
            return ALREADY_TRACKED
        given_up = self._evict_least_recently_used(now) if len(self._last_used) >= self.most else None
        self._last_used[destination] = now
        self._schedule(destination, now + self._idle_timeout(destination, now))
        return Use(True, given_up)

    def sweep(self, now: float) -> list[int]:
        """Gives up what is due, and says what that was."""
        given_up = []
        while self._schedule_heap and self._schedule_heap[0][0] <= now:
            at, destination = heapq.heappop(self._schedule_heap)
            if self._scheduled_at.get(destination) != at:
                continue  # given up meanwhile
            self.destinations_checked += 1
            until = self._last_used[destination] + self._idle_timeout(
                destination, self._last_used[destination]
            )
            if until > now:
                self._schedule(destination, until)
            elif self.in_use(destination):
                self._schedule(destination, now + RECHECK_INTERVAL_MS)
            else:
                self._remove(destination)
                given_up.append(destination)
        return given_up

    def next_due(self) -> float:
        """When a sweep has something to look at; infinity where nothing is in the set."""
        return self._schedule_heap[0][0] if self._schedule_heap else float("inf")

    def _idle_timeout(self, destination: int, used: float) -> float:
        """How long an idle destination stays: longer by chance, drawn anew after each use."""
        random_fraction = zlib.crc32(f"{self.seed}:{destination}:{used}".encode()) / 2**32
        return self.idle * (1.0 + IDLE_JITTER_FRACTION * random_fraction)

    def _schedule(self, destination: int, at: float) -> None:
        self._scheduled_at[destination] = at
        heapq.heappush(self._schedule_heap, (at, destination))

    def _evict_least_recently_used(self, now: float) -> int:
        """Gives up the least recently used that is not needed."""
        if now >= self._full_until:
            for _ in range(len(self._last_used)):
                destination = next(iter(self._last_used))
                self.destinations_checked += 1
                if not self.in_use(destination):
                    self._remove(destination)
                    return destination
                self._last_used.move_to_end(destination)
            self._full_until = now + FULL_RECHECK_INTERVAL_MS
        raise InterestFullError(self.most)

    def _remove(self, destination: int) -> None:
        del self._last_used[destination], self._scheduled_at[destination]
        if len(self._schedule_heap) > 64 + 2 * len(
            self._scheduled_at
        ):  # mostly entries of those given up to make room
            self._schedule_heap = [(at, kept) for kept, at in self._scheduled_at.items()]
            heapq.heapify(self._schedule_heap)
