"""Cost of an overstated sender count: the decisions alone, in virtual time.

One destination reports its rate limit in its answers. Twenty couriers send to it; each is given a number of
senders and takes that fraction of the limit.
"""

import heapq
import random
from dataclasses import dataclass
from itertools import count

from calicopin.decisions import Courier
from calicopin.interface import (
    CourierSettings,
    Entry,
    FailBack,
    How,
    Listed,
    Nack,
    Outcome,
    Partner,
    Product,
    Repeat,
    Submit,
    Taken,
    Undeliverable,
    Wake,
    Woken,
)

MS_PER_SECOND = 1000.0
ANSWER_DELAY_MS = 150.0  # from a call to its delivery
REFUSAL_DELAY_MS = 40.0  # from a call to the answer that the limit is reached
SLA_TIME_MS = 4.0 * MS_PER_SECOND
VALIDITY_MS = 24.0 * MS_PER_SECOND
PRODUCT = Product(Repeat.RESENDABLE, SLA_TIME_MS, VALIDITY_MS, 1.0, 0.3)
FAIL_BACK = FailBack(cold_from=0.2, cold=10.0 * MS_PER_SECOND, multiple=2.0, span=3.0 * MS_PER_SECOND)


@dataclass(frozen=True, slots=True)
class Scenario:
    """Parameters of one run; `limit` in calls and `offered` in messages a second."""

    reported_senders: int
    senders: int = 20
    limit: float = 50.0
    offered: float = 40.0
    seconds: float = 60.0
    in_list: bool = True  # the list has the limit
    in_answers: bool = True  # each answer reports the limit and the remaining share


@dataclass(frozen=True, slots=True)
class Result:
    """Outcome as shares of the messages offered; `revenue` counts late ones by their remaining revenue."""

    offered: int
    revenue: float
    delivered: float
    delivered_by_end: float  # delivered before the last message was offered
    within_sla_time: float
    undelivered: float
    refused_calls: int


FIGURES = {  # names in the report -> fields of Result
    "served, late ones by what they earn": "revenue",
    "delivered": "delivered",
    "delivered before the last was offered": "delivered_by_end",
    "delivered within 4 s": "within_sla_time",
    "given up": "undelivered",
}


class LimitedDestination:
    """Accepts `limit` calls in any second; with `reports_limit` answers have the limit and what is left."""

    def __init__(self, limit: float, reports_limit: bool):
        self.limit, self.reports_limit = limit, reports_limit
        self.accepted_at: list[float] = []

    def answer(self, submit: Submit, now: float) -> Outcome:
        """The outcome of a call that starts at `now` (ms)."""
        used = sum(at > now - MS_PER_SECOND for at in self.accepted_at[-int(self.limit) - 1 :])
        full = used >= self.limit
        if not full:
            self.accepted_at.append(now)
        left = max(0.0, 1.0 - (used + (not full)) / self.limit)
        how, elapsed = (How.FULL, REFUSAL_DELAY_MS) if full else (How.DELIVERED, ANSWER_DELAY_MS)
        outcome = Outcome(submit.text, submit.endpoint, how, 0.0, elapsed, not full)
        if self.reports_limit:
            outcome.left, outcome.limit = left, self.limit
        return outcome


def revenue_share(delay_ms: float) -> float:
    """The share of its revenue that a message earns when delivered `delay_ms` after its submission."""
    if delay_ms <= SLA_TIME_MS:
        return 1.0
    return 1.0 - (1.0 - PRODUCT.late_revenue) * (delay_ms - SLA_TIME_MS) / (VALIDITY_MS - SLA_TIME_MS)


def settings(scenario: Scenario, number: int, seed: int) -> CourierSettings:
    """Settings of one sender."""
    return CourierSettings(
        seed=seed * 1000 + number,
        number=number,
        senders=scenario.reported_senders,
        tick=5.0,
        slots=40,
        room=400,
        tries=12,
        products=[PRODUCT],
        partners=[Partner()],
        fail_back=FAIL_BACK,
    )


class _Simulation:
    """One run: the couriers, the destination and a heap of scheduled events."""

    def __init__(self, scenario: Scenario, seed: int):
        self.scenario, self.draw, self.sequence = scenario, random.Random(f"senders/{seed}"), count()
        self.destination = LimitedDestination(scenario.limit, scenario.in_answers)
        self.couriers = [Courier(settings(scenario, number, seed)) for number in range(scenario.senders)]
        self.events: list[tuple] = []
        self.submitted_at: dict[int, float] = {}
        self.delivered_at: dict[int, float] = {}
        self.undelivered: set[int] = set()
        self.refused = 0

    def schedule(self, at: float, courier: int, event) -> None:
        heapq.heappush(self.events, (at, next(self.sequence), courier, event))

    def schedule_arrivals(self) -> None:
        """Schedules the list at each courier, and all messages, each at a random courier."""
        for number in range(self.scenario.senders):
            listed = Listed(
                [Entry(0, 0, agreed=self.scenario.limit if self.scenario.in_list else None)], whole=True
            )
            self.schedule(0.0, number, listed)
        now = 0.0
        while True:
            now += self.draw.expovariate(self.scenario.offered / MS_PER_SECOND)
            if now >= self.scenario.seconds * MS_PER_SECOND:
                return
            ident = len(self.submitted_at)
            self.submitted_at[ident] = now
            self.schedule(
                now, self.draw.randrange(self.scenario.senders), Taken(ident, 0, 0, now + VALIDITY_MS)
            )

    def process_events(self) -> None:
        """Processes events until every message is delivered or given up."""
        while self.events and len(self.delivered_at) + len(self.undelivered) < len(self.submitted_at):
            now, _, number, event = heapq.heappop(self.events)
            if isinstance(event, Outcome) and event.how == How.DELIVERED:
                self.delivered_at[event.text] = now
            for action in self.couriers[number].handle(now, [event]):
                self.apply(now, number, action)

    def apply(self, now: float, number: int, action) -> None:
        """Applies one action of a courier."""
        if isinstance(action, Wake):
            self.schedule(now + action.after, number, Woken(action.token))
        elif isinstance(action, Submit):
            outcome = self.destination.answer(action, now)
            self.refused += outcome.how == How.FULL
            self.schedule(now + outcome.elapsed, number, outcome)
        elif isinstance(action, (Nack, Undeliverable)):
            self.undelivered.add(action.text)


def simulate(scenario: Scenario, seed: int) -> Result:
    """Runs a scenario; the same seed offers the same messages for any `reported_senders`."""
    simulation = _Simulation(scenario, seed)
    simulation.schedule_arrivals()
    simulation.process_events()
    offered = len(simulation.submitted_at)
    delays = [at - simulation.submitted_at[ident] for ident, at in simulation.delivered_at.items()]
    return Result(
        offered=offered,
        revenue=sum(map(revenue_share, delays)) / offered,
        delivered=len(delays) / offered,
        delivered_by_end=sum(at < scenario.seconds * MS_PER_SECOND for at in simulation.delivered_at.values())
        / offered,
        within_sla_time=sum(wait <= SLA_TIME_MS for wait in delays) / offered,
        undelivered=len(simulation.undelivered) / offered,
        refused_calls=simulation.refused,
    )
