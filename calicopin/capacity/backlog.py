"""What a backlog at one destination costs the decisions, by messages that wait there. Virtual time, one core.

`python -m calicopin.capacity.backlog --json docs/scale/backlog.json` runs it; figures are of this machine.
"""

import argparse
import sys
import time
from collections import deque

from calicopin.capacity.records import Measure, fit_line, record
from calicopin.facade import Answer, Call, Facade, Far, Place
from calicopin.state.texts import Text

SIZES = (10_000, 30_000, 100_000)
REPEATS = 3
SEED = 1
DESTINATION = 7
VALIDITY_S = 86_400.0
ANSWER_TIME_MS = 150.0  # from a call to its answer or its end
SETTLE_MS = 20_000.0  # from the first failed call; the destination is known to be down well before
MEASURED_DOWN_MS = 5_000.0  # that are measured
EVENT_INTERVAL_MS = (
    680.0  # between two events for the destination: 2.5 million a second over 1.7 million destinations
)
CALLS = 100  # deliveries that are measured
SLOTS = 40
LIMIT = 50.0  # calls a second, listed


def settings(room: int) -> dict:
    """A deployment's settings for one courier of 19,000 with one kind of message."""
    return {
        "slotNo": 0,
        "groupSize": 19_000,
        "tick": 0.005,
        "kinds": ["partner"],
        "grades": [
            {"name": "event", "idempotency": "read_like", "aim": VALIDITY_S / 2, "giveUp": VALIDITY_S}
        ],
        "familyInfo": {"workers": SLOTS},
        "ceilings": {"mostHeld": room, "tryLimit": 1_000_000},
        "rules": {"coldFrom": 0.2, "cold": 10.0, "tipMultiple": 2.0, "fall": 3.0},
        "weights": "nominal",
    }


def place(ready: bool) -> Place:
    """The destination's one endpoint."""
    return Place("e7.0", "10.0.0.7:80", DESTINATION, "partner", "zone1", ready, LIMIT)


class Backlog:
    """A courier's decisions with so many messages waiting at one destination, and virtual time."""

    def __init__(self, waiting: int):
        self.now, self.due, self.number = 0.0, float("inf"), 0
        self.out: deque[tuple[float, Call]] = deque()
        self.answer, self.delivered = Answer(Far.SENT, late=True), 0
        self.facade = Facade(SEED, settings(2 * waiting + 1_000), SLOTS, self.now)
        self.facade.listed([place(False)], True)  # with no endpoint nothing is looked at while they gather
        for _ in range(waiting):
            self.take()
        self.turn()
        self.facade.listed([place(True)], False)

    def take(self) -> None:
        """One more message for the destination."""
        until, self.number = self.now + VALIDITY_S * 1000.0, self.number + 1
        self.facade.hand_in(Text(f"{self.number:024x}", DESTINATION, 0, f"r{self.number}", None, until, b""))

    def turn(self) -> None:
        """Decides on all that has come, begins what calls follow."""
        self.due = self.facade.tick(self.now)
        while call := self.facade.pick():
            self.out.append((self.now + ANSWER_TIME_MS, call))
        while end := self.facade.ended():
            self.delivered += end.delivered
        while self.facade.back() or self.facade.said() or self.facade.given_back():
            pass

    def next_event_at(self) -> float:
        """When something happens next."""
        return min(self.due, self.out[0][0] if self.out else float("inf"))

    def step(self) -> None:
        """Goes on to what happens next."""
        self.now = max(self.now, self.next_event_at())
        while self.out and self.out[0][0] <= self.now:
            self.facade.report(self.out.popleft()[1], self.answer, ANSWER_TIME_MS)
        self.turn()

    def go(self, until: float) -> None:
        """Goes on to that time."""
        while self.next_event_at() <= until:
            self.step()
        self.now = until

    def mode(self) -> str:
        """What the decisions hold of the destination."""
        return self.facade.state()[0]["mode"]


class NotMeasuredError(RuntimeError):
    """The destination was not in the state that is to be measured."""


def down(waiting: int) -> float:
    """Milliseconds of a core a second while the destination is down and events come for it."""
    play = Backlog(waiting)
    play.turn()
    play.go(SETTLE_MS)
    if play.mode() != "out":
        raise NotMeasuredError(f"the destination is {play.mode()}")
    end, began = play.now + MEASURED_DOWN_MS, time.process_time()
    while play.now < end:
        play.go(play.now + EVENT_INTERVAL_MS)
        play.take()
        play.turn()
    spent = time.process_time() - began
    return spent * 1000.0 / ((play.now - SETTLE_MS) / 1000.0)


def delivering(waiting: int) -> float:
    """Milliseconds of a core for each delivery from the backlog, the destination well."""
    play = Backlog(waiting)
    play.answer = Answer(Far.ANSWERED, status=200)
    began = time.process_time()
    play.turn()
    while play.delivered < CALLS:
        play.step()
    return (time.process_time() - began) * 1000.0 / play.delivered


MEASURES = {
    Measure("processor time a second, the destination down", "ms", "waiting message"): down,
    Measure("processor time of one delivery", "ms", "waiting message"): delivering,
}


def main() -> int:
    """Exit code 0."""
    parser = argparse.ArgumentParser(prog="python -m calicopin.capacity.backlog", description=__doc__)
    parser.add_argument("--json", metavar="FILE", help="keep the record here")
    parser.add_argument("--repeats", type=int, default=REPEATS)
    parser.add_argument("--size", type=int, action="append", help="other sizes, three or more")
    asked = parser.parse_args()
    sizes, samples = tuple(asked.size or SIZES), {one: [] for one in MEASURES}
    kept = record("backlog", {"sizes": sizes, "repeats": asked.repeats, "seed": SEED})
    for repeat in range(asked.repeats):  # sizes in turn: a change of the machine's load meets all alike
        for size in sizes:
            print(f"{size:,} messages, repeat {repeat + 1} of {asked.repeats}", file=sys.stderr)
            for one, of in MEASURES.items():
                samples[one].append((size, of(size)))
    kept.end([fit_line(one, samples[one]) for one in MEASURES], asked.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
