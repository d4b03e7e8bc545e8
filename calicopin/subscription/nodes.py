"""Which discovery node a courier asks next, and when. No I/O, no clock, chance from a seed; milliseconds.

Each courier ranks the nodes by rendezvous hashing (highest random weight of the pair of courier and node) and
keeps to the first that answers. So the couriers of a lost node spread evenly over the rest, and nobody else
moves. The next answer is heard within 6 s of the last one's failure where at most two nodes in a row take
requests and never answer them; each further such node costs the time until it counts as silent.
"""

import hashlib
import zlib
from dataclasses import dataclass
from itertools import count

# longest wait before the next node is tried: a lost node's couriers don't arrive in one instant
TRY_JITTER = 300.0
START_JITTER_MS = 100.0  # the same before the first request of all
ROUND_JITTER = 1500.0  # longest sum of these waits in one round over all nodes
INITIAL_BACKOFF_MS = 250.0  # behind a round in which no node answered; doubled for each further one
# of that: with a round's waits the next answer is heard within 6 s of a node's return
MAX_BACKOFF_MS = 3500.0
# a refusal of at most so long is waited for at the node that the courier keeps to
MAX_SAME_NODE_RETRY_MS = 1000.0
MAX_RETRY_MS = 60000.0  # a longer told time counts as this: guards couriers against a garbled one
FAILBACK_WINDOW_MS = 300000.0  # within which couriers go back to a node that they would rather ask
FAILBACK_MIN_FRACTION = 0.2  # part of it that passes in any case


class NoNodesError(ValueError):
    """A list of discovery nodes without an entry."""


@dataclass(frozen=True, slots=True)
class NextRequest:
    """The next node to ask, not before `at`."""

    node: str
    at: float


def weight(courier: str, node: str) -> int:
    """The rendezvous weight of a node for a courier: evenly spread, the same in every process."""
    return int.from_bytes(hashlib.blake2b(f"{courier}\0{node}".encode(), digest_size=8).digest(), "big")


def ranking(courier: str, nodes: list[str]) -> list[str]:
    """The nodes in the order in which this courier prefers them, each once."""
    return sorted(set(nodes), key=lambda node: (weight(courier, node), node), reverse=True)


class NodeChoice:
    """Told how each request ended, says whom to ask next.

    `turn` is asked before each request; `answered`, `failed` or `refused` follow it, about the node it named.
    """

    def __init__(self, courier: str, nodes: list[str], seed: int, now: float):
        self.courier, self.seed, self._draws = courier, seed, count()
        self._not_before: dict[str, float] = {}  # by node, as it told with a refusal
        self._tried: set[str] = set()  # in this round
        self._failed_rounds = 0  # in a row
        self._failback_at = float("inf")  # when a node that is preferred to the current one is tried
        self.current: str | None = None  # the node that the courier keeps to; None while it looks for one
        self._last_current: str | None = None
        self.asked: str | None = None  # the node of the last turn
        self.changes = 0  # how often another node than before answered
        self._ranked = self._ranking(nodes)
        self._at = now + START_JITTER_MS * self._random_fraction()

    def _ranking(self, nodes: list[str]) -> list[str]:
        if not nodes:
            raise NoNodesError("there is no discovery node in the list")
        return ranking(self.courier, nodes)

    def _random_fraction(self) -> float:
        return zlib.crc32(f"{self.seed}:{self.courier}:node:{next(self._draws)}".encode()) / 2**32

    @property
    def nodes(self) -> list[str]:
        """All nodes, the most preferred first."""
        return list(self._ranked)

    @property
    def exhausted(self) -> bool:
        """Whether all nodes were asked in vain since one answered last."""
        return self._failed_rounds > 0

    def turn(self, now: float) -> NextRequest:
        """The next request's node and earliest time."""
        if self.current is None:
            self.asked, at = self._next_untried(now)
        else:
            self.asked, at = self._failback_node(now) or self.current, self._at
        return NextRequest(self.asked, max(at, now))

    def _next_untried(self, now: float) -> tuple[str, float]:
        """The most preferred node that was not tried in this round; where all asked for time, the one whose
        time is up first."""
        earliest = max(now, self._at)
        ready = [node for node in self._ranked if self._not_before.get(node, 0.0) <= earliest]
        if not ready:
            first = min(self._ranked, key=lambda node: self._not_before[node])
            return first, self._not_before[first]
        return next((node for node in ready if node not in self._tried), ready[0]), earliest

    def _failback_node(self, now: float) -> str | None:
        """The node to return to, once that is due: the best that is not bound to be left alone."""
        if now < max(self._failback_at, self._at):
            return None
        preferred = self._ranked[: self._ranked.index(self.current)]
        available = [node for node in preferred if self._not_before.get(node, 0.0) <= now]
        if not available:
            self._schedule_failback(now)
        return available[0] if available else None

    def _schedule_failback(self, now: float) -> None:
        """Each courier goes back at a time of its own: guards a node that has just come back."""
        if self.current is None or self.current == self._ranked[0]:
            self._failback_at = float("inf")
        else:
            fraction = FAILBACK_MIN_FRACTION + (1.0 - FAILBACK_MIN_FRACTION) * self._random_fraction()
            self._failback_at = now + FAILBACK_WINDOW_MS * fraction

    def answered(self, now: float) -> None:
        """The node that was asked has answered: it is kept to."""
        self._tried.clear()
        self._not_before.pop(self.asked, None)
        self._failed_rounds, self._at = 0, now
        if self.asked != self.current:
            self.changes += self._last_current not in (None, self.asked)
            self.current = self._last_current = self.asked
            self._schedule_failback(now)

    def failed(self, now: float) -> None:
        """The node that was asked did not answer, or not so that it could be used."""
        if self.current is not None and self.asked != self.current:
            self._at = now  # a try to return: the current node serves on
            self._schedule_failback(now)
            return
        self.current = None
        self._tried.add(self.asked)
        at = now + self._random_fraction() * min(TRY_JITTER, ROUND_JITTER / len(self._ranked))
        if any(node not in self._tried and self._not_before.get(node, 0.0) <= at for node in self._ranked):
            self._at = at
        else:
            self._end_round(now)

    def _end_round(self, now: float) -> None:
        self._tried.clear()
        pause = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2.0 ** min(self._failed_rounds, 16))
        self._failed_rounds += 1
        self._at = now + pause * (0.5 + 0.5 * self._random_fraction())

    def refused(self, now: float, retry_ms: float) -> None:
        """The node that was asked refused: it is not asked before the time that it told."""
        until = now + min(retry_ms, MAX_RETRY_MS) + TRY_JITTER * self._random_fraction()
        self._not_before[self.asked] = until
        if self.asked == self.current and 0.0 < retry_ms <= MAX_SAME_NODE_RETRY_MS:
            self._at = until
        else:
            self.failed(now)

    def move(self, nodes: list[str], now: float) -> None:
        """Another list of nodes; what is known of those that stay in it is kept."""
        self._ranked = self._ranking(nodes)
        self._tried.intersection_update(self._ranked)
        self._not_before = {node: at for node, at in self._not_before.items() if node in self._ranked}
        if self.current is not None and self.current not in self._ranked:
            self.current = None
            self._at = now + TRY_JITTER * self._random_fraction()
        if self.current == self._ranked[0] or self._failback_at == float("inf"):
            self._schedule_failback(now)
