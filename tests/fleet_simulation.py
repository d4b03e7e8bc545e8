"""Many instances of the decisions and one destination whose calls fail for a while, in virtual time.

The destination fails a share of its calls during an outage, returns cold, and warms up. `play` returns what
was called; `Play.excess` says how far the couriers that had met the outage exceeded the budget of the return,
and `Play.revenue_share` what the messages earned.
"""

import heapq
import random
from bisect import bisect_left
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import count

from calicopin.decisions import Courier
from calicopin.interface import (
    CourierSettings,
    Entry,
    FailBack,
    How,
    Listed,
    Log,
    Outcome,
    Partner,
    Product,
    Repeat,
    Submit,
    Taken,
    Wake,
    Woken,
)

SECOND_MS = 1000.0
DELIVERY_S, FAILURE_S, REFUSAL_S = 0.1, 0.02, 0.005  # from a call to its outcome
FLAP_PERIOD_S = 1.5
# A referenced, a resendable and a once-only product, and their shares of the messages.
PRODUCTS = [
    Product(Repeat.REFERENCED, 4000.0, 20000.0, 1.0, 0.5, memory=5000.0, late_halves=True),
    Product(Repeat.RESENDABLE, 800.0, 6000.0, 1.0, 0.0, late_halves=True),
    Product(Repeat.ONCE_ONLY, 4000.0, 28000.0, 3.0, 0.5, late_halves=True),
]
PRODUCT_SHARES = [0.57, 0.23, 0.20]


class Failure(StrEnum):
    """How the failing calls of an outage end."""

    ERROR = "error"
    RESET = "reset"
    REFUSED = "refused"  # no connection
    FULL = "full"
    SILENT = "silent"
    FLAPPING = "flapping"  # all calls fail for the share of each period, and none in the rest of it


@dataclass(frozen=True)
class Scenario:
    """One destination and its senders. Times are seconds, rates calls per second.

    `load` is the rate of messages as a share of `capacity`. `failing` of the calls fail from `begin` for
    `length`; before and after that, `usual_loss` of them do. `warm_up` 0 means a destination that is never
    cold: its failures are losses and no outage.
    """

    senders: int = 2
    capacity: float = 30.0
    load: float = 0.8
    failure: Failure = Failure.ERROR
    failing: float = 0.65
    usual_loss: float = 0.0
    begin: float = 15.0
    length: float = 14.0
    cold_from: float = 0.24
    warm_up: float = 9.5
    multiple: float = 1.5
    span: float = 3.0
    seed: int = 1

    @property
    def returns_at(self):
        return self.begin + self.length

    @property
    def end(self):
        return self.returns_at + 11.0

    def capacity_at(self, at):
        if not self.warm_up or at < self.returns_at:
            return self.capacity
        warm = min(1.0, (at - self.returns_at) / self.warm_up)
        return self.capacity * (self.cold_from + (1.0 - self.cold_from) * warm)

    def budget(self, since):
        """The calls that the destination bears in the span from a time after its return on, as the integral
        of the multiple of its capacity.
        """
        steps = 30
        step = self.span / steps
        times = (since + (index + 0.5) * step for index in range(steps))
        return self.multiple * step * sum(self.capacity_at(at) for at in times)


def allowance(budget):
    """With a budget of N calls, how many fell no destination: N and a part that makes room for chance."""
    return budget + 2.0 * budget**0.5 + 2.0 if budget >= 30.0 else budget + 3.0 * budget**0.5 + 3.0


@dataclass
class Play:
    """What was seen: each call as (time in s, number of its sender, whether that sender had met the outage),
    and what the messages earned of what they could.
    """

    scenario: Scenario
    calls: list = field(default_factory=list)
    earned: float = 0.0
    asked: float = 0.0
    logs: list = field(default_factory=list)

    @property
    def revenue_share(self):
        return self.earned / self.asked

    def excess(self):
        """The worst excess over the allowance, in calls, of a span after the return in which over two thirds
        of the calls came from couriers that had met the outage. Under 0 the destination was not pushed over.
        """
        scenario, worst = self.scenario, float("-inf")
        times = [at for at, _, _ in self.calls]
        first = bisect_left(times, scenario.returns_at)
        for index in range(first, len(times)):
            if times[index] >= scenario.returns_at + scenario.warm_up:
                break
            since = max(scenario.returns_at, times[index] - scenario.span)
            begin = bisect_left(times, since)
            made = index + 1 - begin
            met = sum(met for _, _, met in self.calls[begin : index + 1])
            if 3 * met > 2 * made:
                worst = max(worst, made - allowance(scenario.budget(since)))
        return worst


class _Destination:
    def __init__(self, scenario, rng):
        self.scenario, self.rng, self.accepted_at = scenario, rng, []

    def _fails(self, at):
        scenario = self.scenario
        if not scenario.begin <= at < scenario.returns_at:
            return self.rng.random() < scenario.usual_loss
        if scenario.failure == Failure.FLAPPING:
            return (at - scenario.begin) % FLAP_PERIOD_S < scenario.failing * FLAP_PERIOD_S
        return self.rng.random() < scenario.failing

    def answer(self, submit, at):
        """The outcome of a call, and after how many seconds it comes."""
        if self._fails(at):
            return {
                Failure.ERROR: (How.ERROR, FAILURE_S),
                Failure.FLAPPING: (How.ERROR, FAILURE_S),
                Failure.RESET: (How.BROKEN, FAILURE_S),
                Failure.REFUSED: (How.UNREACHED, REFUSAL_S),
                Failure.FULL: (How.FULL, REFUSAL_S),
                Failure.SILENT: (How.TIMEOUT, submit.timeout / SECOND_MS),
            }[self.scenario.failure]
        self.accepted_at = [accepted for accepted in self.accepted_at if accepted > at - 1.0]
        if len(self.accepted_at) >= self.scenario.capacity_at(at):
            return How.FULL, REFUSAL_S
        self.accepted_at.append(at)
        return How.DELIVERED, DELIVERY_S * self.rng.uniform(0.7, 1.4)


def _courier(scenario, number):
    fail_back = FailBack(
        scenario.cold_from,
        (scenario.warm_up or 9.5) * SECOND_MS,
        scenario.multiple,
        scenario.span * SECOND_MS,
    )
    return Courier(
        CourierSettings(
            seed=scenario.seed * 1000 + number,
            number=number,
            senders=scenario.senders,
            tick=5.0,
            slots=110,
            room=400,
            tries=8,
            products=PRODUCTS,
            partners=[Partner()],
            fail_back=fail_back,
            closes_idle=False,
        )
    )


def play(scenario):
    """Plays a scenario; the same one always plays the same."""
    rng, order, idents = random.Random(scenario.seed), count(), count()
    couriers = [_courier(scenario, number) for number in range(scenario.senders)]
    destination, result, queue, messages, met = _Destination(scenario, rng), Play(scenario), [], {}, set()

    def schedule(at, number, event):
        heapq.heappush(queue, (at, next(order), number, event))

    def hand_in():
        at, weights = 0.0, [rng.uniform(0.5, 1.5) for _ in couriers]
        while (at := at + rng.expovariate(scenario.capacity * scenario.load)) < scenario.end:
            number = rng.choices(range(scenario.senders), weights)[0]
            product = rng.choices(range(len(PRODUCTS)), PRODUCT_SHARES)[0]
            ident, now = next(idents), at * SECOND_MS
            messages[ident] = product, now
            result.asked += PRODUCTS[product].revenue
            schedule(now, number, Taken(ident, 0, product, now + PRODUCTS[product].validity))

    for number in range(scenario.senders):
        schedule(0.0, number, Listed([Entry(0, 0), Entry(1, 0)], whole=True))
    hand_in()
    while queue and queue[0][0] <= (scenario.end + 30.0) * SECOND_MS:
        now, _, number, event = heapq.heappop(queue)
        failed = isinstance(event, Outcome) and event.how != How.DELIVERED
        if failed and scenario.begin * SECOND_MS <= now < scenario.returns_at * SECOND_MS:
            met.add(number)
        if isinstance(event, Outcome) and event.how == How.DELIVERED:
            product, taken_at = messages[event.text]
            result.earned += PRODUCTS[product].revenue * _worth(PRODUCTS[product], now - taken_at)
        for action in couriers[number].handle(now, [event]):
            if isinstance(action, Wake):
                schedule(now + action.after, number, Woken(action.token))
            elif isinstance(action, Submit):
                how, elapsed = destination.answer(action, now / SECOND_MS)
                result.calls.append((now / SECOND_MS, number, number in met))
                elapsed *= SECOND_MS
                schedule(
                    now + elapsed,
                    number,
                    Outcome(action.text, action.endpoint, how, 0.0, elapsed, how == How.DELIVERED),
                )
            elif isinstance(action, Log):
                result.logs.append((now / SECOND_MS, number, action.line))
    return result


def _worth(product, age):
    """The share of its revenue that a delivery earns at an age (ms)."""
    if age <= product.sla:
        return 1.0
    if age >= product.validity:
        return 0.0
    return max(product.late_revenue, 0.5 ** ((age - product.sla) / product.sla))
