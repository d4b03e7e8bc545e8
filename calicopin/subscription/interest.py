"""The destinations that a courier subscribes to: those used recently or still in use. No I/O and no clock.

Times are milliseconds. The cost of a use does not depend on the number of destinations; the cost of a sweep
depends only on the number of destinations due in it.
"""

import heapq
import zlib
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

IDLE_TIMEOUT_MS = 600000.0  # ms after its last use until a destination that is not in use is removed
# random extension, as a fraction of IDLE_TIMEOUT_MS: spreads removals over many requests
IDLE_JITTER_FRACTION = 0.5
RECHECK_INTERVAL_MS = 30000.0  # between two checks of an idle destination that is still in use
MAX_DESTINATIONS = 100_000  # maximum number of destinations of one courier
# after the set was found full of destinations in use, it is not searched for room again within this time
FULL_RECHECK_INTERVAL_MS = 1000.0


class InterestFullError(Exception):
    """A destination was refused: the set has reached its maximum size and all of it is in use."""

    def __init__(self, max_destinations: int):
        super().__init__(f"all {max_destinations} destinations that may be subscribed to are in use")
        self.max_destinations = max_destinations


@dataclass(frozen=True, slots=True)
class UseResult:
    """The effect of one use: whether the destination is new in the set, and which one was evicted for it."""

    is_new: bool
    evicted: int | None = None


ALREADY_TRACKED = UseResult(is_new=False)


class Interest:
    """A bounded set of destinations; those for which `in_use` returns True are never removed."""

    def __init__(
        self,
        seed: int,
        in_use: Callable[[int], bool],
        idle: float = IDLE_TIMEOUT_MS,
        max_destinations: int = MAX_DESTINATIONS,
    ):
        self.seed, self.in_use, self.idle, self.max_destinations = seed, in_use, idle, max_destinations
        # time of last use by destination, most recent last
        self._last_used: OrderedDict[int, float] = OrderedDict()
        # heap of (time, destination); one valid entry per destination
        self._schedule_heap: list[tuple[float, int]] = []
        self._scheduled_at: dict[int, float] = {}  # time of the valid heap entry of each destination
        self._full_until = -float("inf")
        self.destinations_checked = 0  # destinations examined by sweeps and evictions, as a measure of work

    def __len__(self) -> int:
        return len(self._last_used)

    def __contains__(self, destination: int) -> bool:
        return destination in self._last_used

    def use(self, destination: int, now: float) -> UseResult:
        """Records a use. Raises InterestFullError if there is no room for a new destination."""
        if destination in self._last_used:
            self._last_used[destination] = now
            self._last_used.move_to_end(destination)
            return ALREADY_TRACKED
        evicted = (
            self._evict_least_recently_used(now) if len(self._last_used) >= self.max_destinations else None
        )
        self._last_used[destination] = now
        self._schedule(destination, now + self._idle_timeout(destination, now))
        return UseResult(True, evicted)

    def sweep(self, now: float) -> list[int]:
        """Removes destinations whose idle time has passed, and returns them."""
        removed = []
        while self._schedule_heap and self._schedule_heap[0][0] <= now:
            at, destination = heapq.heappop(self._schedule_heap)
            if self._scheduled_at.get(destination) != at:
                continue  # rescheduled or removed since
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
                removed.append(destination)
        return removed

    def next_due(self) -> float:
        """When the next sweep has something to examine; infinity if the set is empty."""
        return self._schedule_heap[0][0] if self._schedule_heap else float("inf")

    def _idle_timeout(self, destination: int, used: float) -> float:
        """How long an idle destination stays (ms), with a random extension drawn per use."""
        random_fraction = zlib.crc32(f"{self.seed}:{destination}:{used}".encode()) / 2**32
        return self.idle * (1.0 + IDLE_JITTER_FRACTION * random_fraction)

    def _schedule(self, destination: int, at: float) -> None:
        self._scheduled_at[destination] = at
        heapq.heappush(self._schedule_heap, (at, destination))

    def _evict_least_recently_used(self, now: float) -> int:
        """Removes and returns the least recently used destination that is not in use."""
        if now >= self._full_until:
            for _ in range(len(self._last_used)):
                destination = next(iter(self._last_used))
                self.destinations_checked += 1
                if not self.in_use(destination):
                    self._remove(destination)
                    return destination
                self._last_used.move_to_end(destination)
            self._full_until = now + FULL_RECHECK_INTERVAL_MS
        raise InterestFullError(self.max_destinations)

    def _remove(self, destination: int) -> None:
        del self._last_used[destination], self._scheduled_at[destination]
        # mostly stale entries of evicted destinations
        if len(self._schedule_heap) > 64 + 2 * len(self._scheduled_at):
            self._schedule_heap = [(at, kept) for kept, at in self._scheduled_at.items()]
            heapq.heapify(self._schedule_heap)
