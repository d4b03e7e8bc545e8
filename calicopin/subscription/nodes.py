"""Selects the discovery node that a courier asks next, and when. No I/O, no clock, seeded randomness; times
are milliseconds.

Each courier ranks the nodes by rendezvous hashing (highest random weight of the pair of courier and node) and
stays with the first that answers. The couriers of a failed node therefore spread evenly over the other nodes,
and no other courier moves. After a node's failure the next answer arrives within 6 s if at most two nodes in
a row accept requests without answering; each further such node adds one request time-out.
"""

import hashlib
import zlib
from dataclasses import dataclass
from itertools import count

# maximum wait before the next node is tried, so that a failed node's couriers do not arrive all at once
NEXT_NODE_JITTER_MS = 300.0
START_JITTER_MS = 100.0  # maximum wait before the first request
ROUND_JITTER_MS = 1500.0  # maximum sum of the NEXT_NODE_JITTER_MS waits in one round over all nodes
INITIAL_BACKOFF_MS = 250.0  # after a round in which no node answered; doubled after each further one
# upper bound of the back-off: with the waits of one round, an answer arrives within 6 s of a node's return
MAX_BACKOFF_MS = 3500.0
# after a refusal with at most this retry time the courier stays with its current node
MAX_SAME_NODE_RETRY_MS = 1000.0
MAX_RETRY_MS = 60000.0  # limit for the retry time of a refusal, in case of a corrupt value
FAILBACK_WINDOW_MS = 300000.0  # couriers return to a preferred node within this time
FAILBACK_MIN_FRACTION = 0.2  # share of the window that always passes before the return


class NoNodesError(ValueError):
    """The list of discovery nodes is empty."""


@dataclass(frozen=True, slots=True)
class NextRequest:
    """The next node to ask, not before the time `at`."""

    node: str
    at: float


def weight(courier: str, node: str) -> int:
    """The rendezvous weight of a node for a courier: uniformly distributed, identical in every process."""
    return int.from_bytes(hashlib.blake2b(f"{courier}\0{node}".encode(), digest_size=8).digest(), "big")


def ranking(courier: str, nodes: list[str]) -> list[str]:
    """The distinct nodes, ordered by this courier's preference."""
    return sorted(set(nodes), key=lambda node: (weight(courier, node), node), reverse=True)


class NodeChoice:
    """Selects the next node from the outcomes of the previous requests.

    Call `next_request` before each request, then `answered`, `failed` or `refused` with the outcome.
    """

    def __init__(self, courier: str, nodes: list[str], seed: int, now: float):
        self.courier, self.seed, self._draws = courier, seed, count()
        self._not_before: dict[str, float] = {}  # by node, from the retry time of its refusal
        self._tried: set[str] = set()  # nodes tried in this round
        self._failed_rounds = 0  # consecutive rounds without an answer
        self._failback_at = float("inf")  # when to try a node that is preferred to the current one
        self.current: str | None = None  # the node in use; None while searching for one
        self._last_current: str | None = None
        self.selected: str | None = None  # the node selected by the last `next_request`
        self.switches = 0  # number of switches to another node
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
        """All nodes, most preferred first."""
        return list(self._ranked)

    @property
    def all_nodes_failed(self) -> bool:
        """Whether all nodes were tried without success since the last answer."""
        return self._failed_rounds > 0

    def next_request(self, now: float) -> NextRequest:
        """The node and the earliest time of the next request."""
        if self.current is None:
            self.selected, at = self._next_untried(now)
        else:
            self.selected, at = self._failback_node(now) or self.current, self._at
        return NextRequest(self.selected, max(at, now))

    def _next_untried(self, now: float) -> tuple[str, float]:
        """The most preferred node not yet tried in this round; if all nodes refused with a retry time, the
        one whose time ends first."""
        earliest = max(now, self._at)
        ready = [node for node in self._ranked if self._not_before.get(node, 0.0) <= earliest]
        if not ready:
            first = min(self._ranked, key=lambda node: self._not_before[node])
            return first, self._not_before[first]
        return next((node for node in ready if node not in self._tried), ready[0]), earliest

    def _failback_node(self, now: float) -> str | None:
        """The best preferred node without a pending retry time, once the return is due; else None."""
        if now < max(self._failback_at, self._at):
            return None
        preferred = self._ranked[: self._ranked.index(self.current)]
        available = [node for node in preferred if self._not_before.get(node, 0.0) <= now]
        if not available:
            self._schedule_failback(now)
        return available[0] if available else None

    def _schedule_failback(self, now: float) -> None:
        """Each courier returns at a random time: a restarted node does not get all couriers at once."""
        if self.current is None or self.current == self._ranked[0]:
            self._failback_at = float("inf")
        else:
            fraction = FAILBACK_MIN_FRACTION + (1.0 - FAILBACK_MIN_FRACTION) * self._random_fraction()
            self._failback_at = now + FAILBACK_WINDOW_MS * fraction

    def answered(self, now: float) -> None:
        """The node has answered: it becomes or stays the current node."""
        self._tried.clear()
        self._not_before.pop(self.selected, None)
        self._failed_rounds, self._at = 0, now
        if self.selected != self.current:
            self.switches += self._last_current not in (None, self.selected)
            self.current = self._last_current = self.selected
            self._schedule_failback(now)

    def failed(self, now: float) -> None:
        """The node did not answer, or its answer was invalid."""
        if self.current is not None and self.selected != self.current:
            self._at = now  # a failed return: the current node stays in use
            self._schedule_failback(now)
            return
        self.current = None
        self._tried.add(self.selected)
        at = now + self._random_fraction() * min(NEXT_NODE_JITTER_MS, ROUND_JITTER_MS / len(self._ranked))
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
        """The node refused: it is not asked again before its retry time (ms) has passed."""
        until = now + min(retry_ms, MAX_RETRY_MS) + NEXT_NODE_JITTER_MS * self._random_fraction()
        self._not_before[self.selected] = until
        if self.selected == self.current and 0.0 < retry_ms <= MAX_SAME_NODE_RETRY_MS:
            self._at = until
        else:
            self.failed(now)

    def replace_nodes(self, nodes: list[str], now: float) -> None:
        """Replaces the list of nodes; the state of nodes that remain in it is kept."""
        self._ranked = self._ranking(nodes)
        self._tried.intersection_update(self._ranked)
        self._not_before = {node: at for node, at in self._not_before.items() if node in self._ranked}
        if self.current is not None and self.current not in self._ranked:
            self.current = None
            self._at = now + NEXT_NODE_JITTER_MS * self._random_fraction()
        if self.current == self._ranked[0] or self._failback_at == float("inf"):
            self._schedule_failback(now)
