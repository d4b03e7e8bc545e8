"""A partner fails 53% of its calls for 8.6 s and comes back cold: do couriers that saw it push it over?"""

import asyncio
import sys
from collections import deque
from itertools import cycle
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stage2 import (  # noqa: E402
    Client,
    Courier,
    Endpoint,
    Platform,
    UnusableError,
    grade,
    response,
    run_case,
    settings,
    trouble,
)

CAPACITY, LOAD, SHARE = 20.0, 0.89, 0.45  # calls a second; of it in use; of all messages
OUTAGE_AT_S, OUTAGE_S = 15.0, 8.6
COLD_FROM, WARM_S, MULTIPLE, SPAN_S = 0.24, 9.5, 1.5, 3.0
FAILS = (1, 0, 1, 0, 1, 0, 1, 0, 1, 1, 0, 1, 0, 1, 0)  # 8 of 15 calls fail, 53%
END_S = OUTAGE_AT_S + OUTAGE_S + 5.0


class Partner(Endpoint):
    """Counts the calls of each span of `SPAN_S` after its return, and falls over by the rule."""

    def __init__(self, *args, **others):
        super().__init__(*args, **others)
        self.fails_from = self.returns_at = float("inf")
        self.patterns, self.served, self.since_return = {}, deque(), deque()
        self.failed, self.called, self.fallen, self.met = 0, 0, None, set()

    def capacity_at(self, at):
        """The calls a second that it can do at that time."""
        passed = at - self.returns_at
        if not 0.0 <= passed < WARM_S:
            return CAPACITY
        return CAPACITY * (COLD_FROM + (1.0 - COLD_FROM) * passed / WARM_S)

    def allowance(self, since):
        """The calls that bring it down in the span that begins then."""
        steps = 30
        times = [since + (step + 0.5) * SPAN_S / steps for step in range(steps)]
        budget = MULTIPLE * SPAN_S / steps * sum(self.capacity_at(at) for at in times)
        root = budget**0.5
        return budget + (2.0 * root + 2.0 if budget >= 30.0 else 3.0 * root + 3.0)

    def count_after_return(self, at, ident):
        """Counts a call; whether the partner falls with it."""
        self.since_return.append((at, ident.split(".")[0]))
        while self.since_return[0][0] <= at - SPAN_S:
            self.since_return.popleft()
        since = max(self.returns_at, at - SPAN_S)
        if self.fallen or at >= self.returns_at + WARM_S or len(self.since_return) <= self.allowance(since):
            return
        met = sum(courier in self.met for _, courier in self.since_return)
        self.fallen = at - self.returns_at, len(self.since_return), self.allowance(since), met
        self.record.note(
            "fallen", after=f"{self.fallen[0]:.2f}", calls=self.fallen[1], of_couriers_that_knew=met
        )

    async def answer(self, idents, single, headers, body, reader, writer):
        """Fails some calls in the outage; later refuses what is over its capacity."""
        at = self.record.now()
        if at >= self.returns_at:
            self.count_after_return(at, idents[0])
            if self.fallen:
                writer.transport.abort()
                return False
        elif at >= self.fails_from:
            self.called += 1
            courier = idents[0].split(".")[0]
            if next(self.patterns.setdefault(courier, cycle(FAILS))):
                self.failed += 1
                self.met.add(courier)
                await asyncio.sleep(0.02)
                self.record.note("failed", ids=",".join(idents))
                writer.write(response(500))
                await writer.drain()
                return True
        while self.served and self.served[0] <= at - 1.0:
            self.served.popleft()
        if len(self.served) >= self.capacity_at(at):
            self.record.note("refused", ids=",".join(idents))
            writer.write(response(503))
            await writer.drain()
            return True
        self.served.append(at)
        return await super().answer(idents, single, headers, body, reader, writer)


async def hand_in_all(record, client, name, began):
    """One client's messages, evenly over the time."""
    rate, number, hand_ins = CAPACITY * LOAD / SHARE / 2.0, 0, []
    products = cycle(["handoff"] * 6 + ["status"] * 2 + ["capture"] * 2)
    validity = {"handoff": 20.0, "status": 6.0, "capture": 28.0}
    while record.now() - began < END_S:
        dest = 1 if number % 20 < 20 * SHARE else 2
        product, ident = next(products), f"{name}.{number:04d}"
        key = f"k-{ident}" if product == "handoff" else None
        hand_ins.append(asyncio.create_task(client.hand_in(product, ident, dest, validity[product], key=key)))
        number += 1
        await asyncio.sleep(max(0.0, began + number / rate - record.now()))
    await asyncio.gather(*hand_ins)


async def play(record, folder, couriers):
    """Returns the fall of the partner."""
    partner = await Partner(record, "s-1", 1, work=0.08).start()
    other = await Endpoint(record, "s-2", 2, work=0.08).start()
    platform = await Platform(record, [partner, other]).start()
    clients = []
    for number in range(2):
        terms = settings(
            [
                grade("handoff", "idempotency_key", 20.0, keyTtl=5.0),
                grade("status", "read_like", 6.0, aim=0.8),
                grade("capture", "non_idempotent", 28.0),
            ],
            ceilings={"tryLimit": 8},
            rules={"cold": WARM_S, "coldFrom": COLD_FROM, "fall": SPAN_S, "tipMultiple": MULTIPLE},
            loadInfo={"columns": [], "source": "silent"},
        ) | {"slotNo": number}
        courier = Courier(record, terms, platform, folder, name=f"n{number}")
        couriers.append(courier)
        await courier.start()
        clients.append(Client(record, courier.port))
    for client in clients:
        if not await client.ready():
            raise UnusableError("a courier did not become ready")
    began = record.now()
    if trouble():
        partner.fails_from = began + OUTAGE_AT_S
        partner.returns_at = partner.fails_from + OUTAGE_S
    await asyncio.gather(*(hand_in_all(record, client, f"n{i}", began) for i, client in enumerate(clients)))
    record.note("count", failed=partner.failed, called_in_the_outage=partner.called, met=sorted(partner.met))
    if len(partner.arrivals) < 200:
        raise UnusableError("the partner got too few calls")
    if not partner.fallen or 3 * partner.fallen[3] <= 2 * partner.fallen[1]:
        return []
    after, calls, allowed, met = partner.fallen
    return [
        f"fell {after:.2f} s behind its return: {calls} calls in {SPAN_S:.0f} s, {allowed:.1f} allowed, "
        f"{met} from couriers that had seen calls fail ({partner.failed} of {partner.called} failed)"
    ]


if __name__ == "__main__":
    run_case(HERE, play)
