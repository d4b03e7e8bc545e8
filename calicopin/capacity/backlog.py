"""Measures the processor time of the decisions by the number of messages that wait at one destination.

`python -m calicopin.capacity.backlog --json docs/scale/backlog.json` runs it in virtual time on one core. The
figures hold for the machine that runs it.
"""

import argparse
import sys
import time
from collections import deque

from calicopin.capacity.records import Measure, fit_line, start_record
from calicopin.facade import Call, CallProgress, CallResult, Facade, Place
from calicopin.state.texts import Text

SIZES = (10_000, 30_000, 100_000)
REPEATS = 3
SEED = 1
DESTINATION = 7
VALIDITY_S = 86_400.0
ANSWER_TIME_MS = 150.0  # from a call to its answer or failure
SETTLE_MS = 20_000.0  # from the first failed call, long enough for the destination to be marked as down
MEASURED_DOWN_MS = 5_000.0
EVENT_INTERVAL_MS = 680.0  # of one destination: 2.5 million events per second over 1.7 million destinations
MEASURED_DELIVERIES = 100
CALL_SLOTS = 40
RATE_LIMIT = 50.0  # calls per second, as listed for the endpoint


def settings(max_messages: int) -> dict:
    """Returns settings of a deployment for one courier of 19,000 with one message class."""
    return {
        "slotNo": 0,
        "groupSize": 19_000,
        "tick": 0.005,
        "kinds": ["partner"],
        "grades": [
            {"name": "event", "idempotency": "read_like", "aim": VALIDITY_S / 2, "giveUp": VALIDITY_S}
        ],
        "familyInfo": {"workers": CALL_SLOTS},
        "ceilings": {"mostHeld": max_messages, "tryLimit": 1_000_000},
        "rules": {"coldFrom": 0.2, "cold": 10.0, "tipMultiple": 2.0, "fall": 3.0},
        "weights": "nominal",
    }


def place(ready: bool) -> Place:
    """Returns the destination's only endpoint."""
    return Place("e7.0", "10.0.0.7:80", DESTINATION, "partner", "zone1", ready, RATE_LIMIT)


class BacklogSimulation:
    """A courier's decisions in virtual time, with `waiting` messages for one destination."""

    def __init__(self, waiting: int):
        self.now, self.next_tick_at, self.message_count = 0.0, float("inf"), 0
        self.calls_in_flight: deque[tuple[float, Call]] = deque()
        self.answer, self.delivered = CallResult(CallProgress.SENT, timed_out=True), 0
        self.facade = Facade(SEED, settings(2 * waiting + 1_000), CALL_SLOTS, self.now)
        # Without a ready endpoint nothing is decided while the backlog builds up.
        self.facade.update_list([place(False)], True)
        for _ in range(waiting):
            self.add_message()
        self.run_decisions()
        self.facade.update_list([place(True)], False)

    def add_message(self) -> None:
        """Submits one more message for the destination."""
        expires_at, self.message_count = self.now + VALIDITY_S * 1000.0, self.message_count + 1
        self.facade.add_text(
            Text(
                f"{self.message_count:024x}", DESTINATION, 0, f"r{self.message_count}", None, expires_at, b""
            )
        )

    def run_decisions(self) -> None:
        """Runs the decisions on all pending input and starts the resulting calls."""
        self.next_tick_at = self.facade.tick(self.now)
        while call := self.facade.next_call():
            self.calls_in_flight.append((self.now + ANSWER_TIME_MS, call))
        while end := self.facade.next_final_answer():
            self.delivered += end.delivered
        while (
            self.facade.next_returned_text()
            or self.facade.next_log_line()
            or self.facade.next_endpoint_to_close()
        ):
            pass

    def next_event_at(self) -> float:
        """Returns the time (ms) of the next tick or answer."""
        return min(self.next_tick_at, self.calls_in_flight[0][0] if self.calls_in_flight else float("inf"))

    def step(self) -> None:
        """Advances to the next tick or answer."""
        self.now = max(self.now, self.next_event_at())
        while self.calls_in_flight and self.calls_in_flight[0][0] <= self.now:
            self.facade.report(self.calls_in_flight.popleft()[1], self.answer, ANSWER_TIME_MS)
        self.run_decisions()

    def run_until(self, until: float) -> None:
        """Advances to that time (ms)."""
        while self.next_event_at() <= until:
            self.step()
        self.now = until

    def mode(self) -> str:
        """Returns the destination's mode in the decisions."""
        return self.facade.state()[0]["mode"]


class NotMeasuredError(RuntimeError):
    """The destination was not in the state to be measured."""


def measure_down(waiting: int) -> float:
    """Returns ms of processor time per second while the destination is down and receives new events.

    Raises NotMeasuredError if the destination did not go down.
    """
    simulation = BacklogSimulation(waiting)
    simulation.run_decisions()
    simulation.run_until(SETTLE_MS)
    if simulation.mode() != "out":
        raise NotMeasuredError(f"destination is not down, its mode is {simulation.mode()}")
    end, began = simulation.now + MEASURED_DOWN_MS, time.process_time()
    while simulation.now < end:
        simulation.run_until(simulation.now + EVENT_INTERVAL_MS)
        simulation.add_message()
        simulation.run_decisions()
    spent = time.process_time() - began
    return spent * 1000.0 / ((simulation.now - SETTLE_MS) / 1000.0)


def measure_delivery(waiting: int) -> float:
    """Returns ms of processor time per delivery from the backlog while the destination is up."""
    simulation = BacklogSimulation(waiting)
    simulation.answer = CallResult(CallProgress.ANSWERED, status=200)
    began = time.process_time()
    simulation.run_decisions()
    while simulation.delivered < MEASURED_DELIVERIES:
        simulation.step()
    return (time.process_time() - began) * 1000.0 / simulation.delivered


MEASURES = {
    Measure("processor time a second, the destination down", "ms", "waiting message"): measure_down,
    Measure("processor time of one delivery", "ms", "waiting message"): measure_delivery,
}


def main() -> int:
    """Runs the measurement and returns exit code 0."""
    parser = argparse.ArgumentParser(prog="python -m calicopin.capacity.backlog", description=__doc__)
    parser.add_argument("--json", metavar="FILE", help="write the record to this file")
    parser.add_argument("--repeats", type=int, default=REPEATS)
    parser.add_argument("--size", type=int, action="append", help="other sizes, three or more")
    arguments = parser.parse_args()
    sizes, samples = tuple(arguments.size or SIZES), {measure: [] for measure in MEASURES}
    record = start_record("backlog", {"sizes": sizes, "repeats": arguments.repeats, "seed": SEED})
    for repeat in range(arguments.repeats):  # interleaves sizes so that load on the machine affects all alike
        for size in sizes:
            print(f"{size:,} messages, repeat {repeat + 1} of {arguments.repeats}", file=sys.stderr)
            for measure, run in MEASURES.items():
                samples[measure].append((size, run(size)))
    record.finish([fit_line(measure, samples[measure]) for measure in MEASURES], arguments.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
