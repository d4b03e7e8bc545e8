"""What a told sender count costs where only few of the senders send: the decisions alone, in virtual time.

One destination with a limit that its answers tell. Twenty couriers send to it; each is told how many senders
there are, and takes its share of the limit by that number.
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

SECOND = 1000.0
ANSWERED = 150.0  # milliseconds from a call to the answer that it was delivered
REFUSED = 40.0  # and to the answer that the limit is reached
AIM = 4.0 * SECOND
VALIDITY = 24.0 * SECOND
PRODUCT = Product(Repeat.RESENDABLE, AIM, VALIDITY, 1.0, 0.3)
FAIL_BACK = FailBack(cold_from=0.2, cold=10.0 * SECOND, multiple=2.0, span=3.0 * SECOND)


@dataclass(frozen=True, slots=True)
class SenderCount:
    """One run's sizes; rates are calls or messages a second."""

    told: int
    senders: int = 20
    limit: float = 50.0
    offered: float = 40.0
    seconds: float = 60.0
    in_list: bool = True  # the list tells the limit
    in_answers: bool = True  # each answer tells the limit and what is left of it


@dataclass(frozen=True, slots=True)
class Served:
    """What became of the messages, as shares of those offered; `served` counts a late one by what it still
    earns."""

    offered: int
    served: float
    delivered: float
    by_end: float  # delivered before the last message was offered
    in_aim: float
    given_up: float
    refused_calls: int


FIGURES = {  # on the page, by the field
    "served, late ones by what they earn": "served",
    "delivered": "delivered",
    "delivered before the last was offered": "by_end",
    "delivered within 4 s": "in_aim",
    "given up": "given_up",
}


class LimitedDestination:
    """Takes `limit` calls in any second; where it `tells`, each answer has the limit and what is left of
    it."""

    def __init__(self, limit: float, tells: bool):
        self.limit, self.tells = limit, tells
        self.taken: list[float] = []

    def answer(self, submit: Submit, now: float) -> Outcome:
        """The outcome of a call that begins now."""
        used = sum(at > now - SECOND for at in self.taken[-int(self.limit) - 1 :])
        full = used >= self.limit
        if not full:
            self.taken.append(now)
        left = max(0.0, 1.0 - (used + (not full)) / self.limit)
        how, elapsed = (How.FULL, REFUSED) if full else (How.DELIVERED, ANSWERED)
        outcome = Outcome(submit.text, submit.endpoint, how, 0.0, elapsed, not full)
        if self.tells:
            outcome.left, outcome.limit = left, self.limit
        return outcome


def earned(late: float) -> float:
    """The share of its worth that a message earns so long after it was handed in."""
    if late <= AIM:
        return 1.0
    return 1.0 - (1.0 - PRODUCT.late_revenue) * (late - AIM) / (VALIDITY - AIM)


def settings(run: SenderCount, number: int, seed: int) -> CourierSettings:
    """Those of one of the senders."""
    return CourierSettings(
        seed=seed * 1000 + number,
        number=number,
        senders=run.told,
        tick=5.0,
        slots=40,
        room=400,
        tries=12,
        products=[PRODUCT],
        partners=[Partner()],
        fail_back=FAIL_BACK,
    )


class _Play:
    """One run: couriers, the destination, and what is due."""

    def __init__(self, run: SenderCount, seed: int):
        self.run, self.draw, self.order = run, random.Random(f"senders/{seed}"), count()
        self.destination = LimitedDestination(run.limit, run.in_answers)
        self.couriers = [Courier(settings(run, number, seed)) for number in range(run.senders)]
        self.due: list[tuple] = []
        self.taken_at: dict[int, float] = {}
        self.ends: dict[int, float] = {}
        self.given_up: set[int] = set()
        self.refused = 0

    def later(self, at: float, courier: int, event) -> None:
        heapq.heappush(self.due, (at, next(self.order), courier, event))

    def begin(self) -> None:
        """The list at each courier, and the arrivals of all messages, each at a courier by chance."""
        for number in range(self.run.senders):
            listed = Listed([Entry(0, 0, agreed=self.run.limit if self.run.in_list else None)], whole=True)
            self.later(0.0, number, listed)
        now = 0.0
        while True:
            now += self.draw.expovariate(self.run.offered / SECOND)
            if now >= self.run.seconds * SECOND:
                return
            ident = len(self.taken_at)
            self.taken_at[ident] = now
            self.later(now, self.draw.randrange(self.run.senders), Taken(ident, 0, 0, now + VALIDITY))

    def play(self) -> None:
        """Until the last message is over."""
        while self.due and len(self.ends) + len(self.given_up) < len(self.taken_at):
            now, _, number, event = heapq.heappop(self.due)
            if isinstance(event, Outcome) and event.how == How.DELIVERED:
                self.ends[event.text] = now
            for action in self.couriers[number].handle(now, [event]):
                self.carry_out(now, number, action)

    def carry_out(self, now: float, number: int, action) -> None:
        """One action of a courier's."""
        if isinstance(action, Wake):
            self.later(now + action.after, number, Woken(action.token))
        elif isinstance(action, Submit):
            outcome = self.destination.answer(action, now)
            self.refused += outcome.how == How.FULL
            self.later(now + outcome.elapsed, number, outcome)
        elif isinstance(action, (Nack, Undeliverable)):
            self.given_up.add(action.text)


def play(run: SenderCount, seed: int) -> Served:
    """One run; the same seed offers the same messages whatever is told."""
    one = _Play(run, seed)
    one.begin()
    one.play()
    offered = len(one.taken_at)
    waits = [at - one.taken_at[ident] for ident, at in one.ends.items()]
    return Served(
        offered=offered,
        served=sum(map(earned, waits)) / offered,
        delivered=len(waits) / offered,
        by_end=sum(at < run.seconds * SECOND for at in one.ends.values()) / offered,
        in_aim=sum(wait <= AIM for wait in waits) / offered,
        given_up=len(one.given_up) / offered,
        refused_calls=one.refused,
    )
