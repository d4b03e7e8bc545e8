"""Appends changes of the list, on an open-loop schedule, to the file that discovery nodes read.

Open loop: a change does not wait until the previous one is in force. The weight of an entry encodes its
revision, which shows whether a courier received the change. Times are milliseconds of the monotonic clock.
"""

import random
import threading
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from calicopin.scale.list_source import encode, entry

REVISION_BASE = 1_000_000.0  # weights of unchanged entries are lower
MIN_GAP_MS = 15_000.0  # between changes of one destination: longer than a change may take to be in force
MAX_DRAWS = 200  # attempts to find a destination that may change again
LEAVING_SHARE = 0.3  # share of changes of an active endpoint that set the state `leaving`
WEIGHT_SHARE = 0.3  # share that changes only the weight; the rest set the state `left`


@dataclass(frozen=True, slots=True)
class FeedPlan:
    """Rate (changes a second), duration and candidate destinations of a feed.

    `down` are the candidates whose endpoints have left. With `churn` an endpoint leaves for each one that
    returns, so that the number of left endpoints stays about constant.
    """

    per_second: float
    seconds: float
    candidates: Sequence[int]
    seed: int
    churn: bool = False
    down: frozenset[int] = frozenset()
    endpoints_per_destination: int = 1
    min_gap_ms: float = MIN_GAP_MS


@dataclass(frozen=True, slots=True)
class Change:
    """One change; `due` is its scheduled time, `appended` the time just before it was written (ms)."""

    due: float
    appended: float
    destination: int
    ident: str
    state: str
    revision: int


def now() -> float:
    """Milliseconds of the monotonic clock, which all processes of a run share."""
    return time.monotonic() * 1000.0


def ident_of(destination: int, number: int) -> str:
    """The id of an endpoint in the generated list."""
    return f"e{destination}.{number}"


def revision_of(weight: float) -> int:
    """The revision encoded in an entry's weight; 0 if the entry has not changed."""
    return int(weight - REVISION_BASE) if weight > REVISION_BASE else 0


def line_of(destination: int, number: int, state: str, revision: int) -> str:
    """The entry with its revision as a line of the source file."""
    changed = entry(destination, number, state)
    changed["weight"] = REVISION_BASE + revision
    return encode(changed)


class ChangeGenerator:
    """Draws changes: at least `min_gap_ms` apart for each destination, and each different from the last."""

    def __init__(self, plan: FeedPlan):
        self.plan, self.draw = plan, random.Random(f"feed/{plan.seed}")
        self.states = {
            (destination, number): "left"
            for destination in plan.candidates
            if destination in plan.down
            for number in range(plan.endpoints_per_destination)
        }
        self.left_endpoints = list(self.states)
        self.initial_left = len(self.left_endpoints)  # kept about constant with churn
        self.changed_at: dict[int, float] = {}

    def __call__(self, at: float) -> tuple[int, int, str] | None:
        """(destination, number, state), or None if all drawn candidates changed within `min_gap_ms`."""
        chosen = None
        if self.plan.churn and len(self.left_endpoints) > self.initial_left:
            chosen = self._draw_from(self._draw_left, at)
        chosen = chosen or self._draw_from(self._draw_any, at)
        return None if chosen is None else (*chosen, self._next_state(chosen, at))

    def _draw_from(self, draw: Callable[[], tuple[int, int]], at: float) -> tuple[int, int] | None:
        """An endpoint whose destination may change again; with churn, `_draw_any` skips left endpoints."""
        skip_left = self.plan.churn and draw == self._draw_any
        for _ in range(MAX_DRAWS):
            chosen = draw()
            if skip_left and chosen in self.states and self.states[chosen] == "left":
                continue
            if self.changed_at.get(chosen[0], -self.plan.min_gap_ms) + self.plan.min_gap_ms <= at:
                return chosen
        return None

    def _draw_left(self) -> tuple[int, int]:
        return self.draw.choice(self.left_endpoints)

    def _draw_any(self) -> tuple[int, int]:
        return self.draw.choice(self.plan.candidates), self.draw.randrange(
            self.plan.endpoints_per_destination
        )

    def _next_state(self, chosen: tuple[int, int], at: float) -> str:
        """Draws and records the next state of the endpoint."""
        before = self.states.get(chosen, "active")
        if before != "active":
            state = "active"
        else:
            sample = 1.0 if self.plan.churn else self.draw.random()
            state = "leaving" if sample < LEAVING_SHARE else "active"
            if sample >= LEAVING_SHARE + WEIGHT_SHARE:
                state = "left"
        self.states[chosen] = state
        self.changed_at[chosen[0]] = at
        if before == "left":
            self.left_endpoints.remove(chosen)
        if state == "left":
            self.left_endpoints.append(chosen)
        return state


class ChangeFeed:
    """Appends the changes from a background thread. Revisions are numbered from `first_revision`."""

    def __init__(self, path: str, plan: FeedPlan, first_revision: int = 1):
        self.path, self.plan, self.revision = path, plan, first_revision
        self.changes: list[Change] = []
        self.max_lateness_ms = 0.0  # largest delay of an append after its scheduled time
        self.skipped = 0  # changes dropped because no destination could change again yet
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def schedule(self, begin: float) -> deque[float]:
        """The times of all changes: exponential gaps with the planned mean rate, drawn from the seed."""
        draw, at, times = random.Random(f"times/{self.plan.seed}"), begin, deque()
        while True:
            at += draw.expovariate(self.plan.per_second) * 1000.0
            if at >= begin + self.plan.seconds * 1000.0:
                return times
            times.append(at)

    def start(self) -> "ChangeFeed":
        """Starts the thread."""
        self._thread.start()
        return self

    def join(self, timeout: float | None = None) -> bool:
        """Waits at most `timeout` seconds for the feed to end; returns whether it has ended."""
        self._thread.join(timeout)
        return not self._thread.is_alive()

    def stop(self) -> None:
        """Stops the thread."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        begin, next_change = now(), ChangeGenerator(self.plan)
        with open(self.path, "a", encoding="ascii") as file:
            for due in self.schedule(begin):
                if self._stop.wait(max(0.0, due - now()) / 1000.0):
                    return
                self._append(file, due, next_change(due))
        self._stop.wait(max(0.0, begin + self.plan.seconds * 1000.0 - now()) / 1000.0)

    def _append(self, file, due: float, drawn: tuple[int, int, str] | None) -> None:
        if drawn is None:
            self.skipped += 1
            return
        destination, number, state = drawn
        appended = now()  # taken before the write: a courier may receive the change at once
        file.write(line_of(destination, number, state, self.revision) + "\n")
        file.flush()
        self.max_lateness_ms = max(self.max_lateness_ms, now() - due)
        ident = ident_of(destination, number)
        self.changes.append(Change(due, appended, destination, ident, state, self.revision))
        self.revision += 1
