"""Runs one plan: traffic and scheduled faults, then the verdict."""

import asyncio
import random
import signal
import time
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

from calicopin.soak.fleet import KEYS_PER_COURIER, ORDERED_PRODUCTS, PRODUCTS, Fleet
from calicopin.soak.hostile import attack
from calicopin.soak.plan import Plan, SystemFault
from calicopin.soak.rules import Violation, worst_window

PRODUCT_SHARES = (0.5, 0.25, 0.1, 0.15)  # of the traffic, in the order of PRODUCTS
# A courier whose calls of these kinds fail may not learn of a drain.
DISCOVERY_CALLS = ("socket", "connect", "send", "recv", "epoll_ctl")
MAX_DISCOVERY_SILENCE_SECONDS = 8.0  # a drain may be announced so much later than planned
DISCOVERY_RECOVERY_SECONDS = 2.0  # after such faults until a courier certainly learns of a drain
START_SECONDS, START_SECONDS_PER_COURIER = 3.0, 0.15  # time reserved for starting the whole fleet
TRAFFIC_AFTER_FAULTS_SECONDS = 2.0  # for which traffic goes on after the plan's end


@dataclass(slots=True)
class Verdict:
    """The result of one soak."""

    seed: int
    plan: str
    messages: int = 0
    arrivals: int = 0
    refused: int = 0
    copies: int = 0  # answers that peers sent once more
    delivered: int = 0
    tightest: float = float("-inf")  # excess calls in the worst window of all recoveries; negative: none
    violations: list[Violation] = field(default_factory=list)


async def run_soak(plan: Plan, folder: Path) -> Verdict:
    """Runs one plan; raises NotReadyError if a courier does not start."""
    fleet = Fleet(folder, plan.couriers, plan.destinations, plan.rule, plan.seed)
    try:
        return await Soak(plan, fleet).run()
    finally:
        await fleet.close()


class Soak:
    """One running plan."""

    def __init__(self, plan: Plan, fleet: Fleet):
        self.plan, self.fleet = plan, fleet
        self.rng = random.Random(f"soak/{plan.seed}/traffic")
        self.traffic_start, self.down, self.refused = 0.0, set(), 0
        self.tasks: list[asyncio.Task] = []
        self.key_locks: dict[tuple[str, str], asyncio.Lock] = defaultdict(asyncio.Lock)  # by courier, key

    async def run(self) -> Verdict:
        """Starts the fleet, runs the traffic under faults, waits for all messages and returns the verdict."""
        plan, fleet = self.plan, self.fleet
        self.traffic_start = time.monotonic() + START_SECONDS + START_SECONDS_PER_COURIER * plan.couriers
        await fleet.start(lambda number: courier_faults(plan, self.traffic_start, number))
        self.traffic_start = max(self.traffic_start, time.monotonic())
        steps = [self._outage(step) for step in plan.outages]
        steps += [self._stall(step) for step in plan.stalls]
        steps += [self._silence(step) for step in plan.silences]
        steps += [self._drain(step) for step in plan.drains]
        steps += [self._signal(step) for step in plan.signals]
        steps += [self._crowd(step) for step in plan.crowds]
        steps += [self._hostile(step) for step in plan.hostiles]
        for step in plan.repeats:
            fleet.repeat_answers(step, self.traffic_start)
        steps.append(self._restarts())
        steps += [self._traffic(number) for number in range(len(plan.destinations))]
        await asyncio.gather(*steps)
        await asyncio.gather(*self.tasks)
        await fleet.wait_for_completion()
        return self._verdict()

    def _verdict(self) -> Verdict:
        plan, fleet = self.plan, self.fleet
        violations = fleet.find_violations()
        windows = [
            worst_window(fleet.record, outage, plan.destinations[outage.destination].capacity, plan.rule)
            for outage in fleet.record.outages
        ]
        return Verdict(
            seed=plan.seed,
            plan=plan.summary(),
            messages=len(fleet.record.messages),
            arrivals=len(fleet.record.arrivals),
            refused=self.refused,
            copies=fleet.record.copies,
            delivered=sum(arrival.outcome == "delivered" for arrival in fleet.record.arrivals),
            tightest=max((window.excess for window in windows if window), default=float("-inf")),
            violations=violations,
        )

    async def _sleep_until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, self.traffic_start + at - time.monotonic()))

    def _sample_couriers(self, share: float, salt: str) -> list:
        """A random share of the couriers, the same in each run of a seed and `salt`."""
        rng = random.Random(f"soak/{self.plan.seed}/{salt}")
        return rng.sample(self.fleet.couriers, max(1, round(share * len(self.fleet.couriers))))

    # Traffic.

    async def _traffic(self, destination: int) -> None:
        """Sends a Poisson stream of messages for one destination, distributed unevenly over the couriers."""
        plan, fleet = self.plan, self.fleet
        rng = random.Random(f"soak/{plan.seed}/traffic/{destination}")
        shares = [rng.paretovariate(plan.skew) for _ in fleet.couriers]
        rate, at = plan.destinations[destination].capacity * plan.load, 0.0
        while (at := at + rng.expovariate(rate)) < plan.seconds + TRAFFIC_AFTER_FAULTS_SECONDS:
            courier = rng.choices(fleet.couriers, shares)[0]
            product = rng.choices(PRODUCTS, PRODUCT_SHARES)[0]
            await self._sleep_until(at)
            self.tasks.append(asyncio.create_task(self._send_message(courier, destination, product)))

    async def _send_message(self, courier, destination: int, product: dict) -> None:
        """Sends one message; a message of an order key only after the one before it was answered."""
        name, validity = product["name"], product["giveUp"]
        if name in ORDERED_PRODUCTS:
            key = f"k{self.rng.randrange(KEYS_PER_COURIER)}"
            async with self.key_locks[courier.name, key]:
                status = await self.fleet.send_message(courier, destination, name, validity, key)
        else:
            status = await self.fleet.send_message(courier, destination, name, validity)
        self.refused += status in (429, 503)
        if status == 404:
            self.fleet.record.crashes.append(f"{courier.name} does not know destination {destination}")

    # Faults.

    async def _outage(self, step) -> None:
        await self._sleep_until(step.at)
        await self.fleet.begin_outage(step.destination, step.how)
        await self._sleep_until(step.at + step.length)
        await self.fleet.end_outage(step.destination)

    async def _restarts(self) -> None:
        """Runs the restarts one after the other, so that no courier is stopped while it starts."""
        for number, step in enumerate(self.plan.restarts):
            await self._sleep_until(step.at)
            affected = self._sample_couriers(step.share, f"restart/{number}")
            await self.fleet.restart(affected, step.down, step.gently, step.signals)

    async def _stall(self, step) -> None:
        await self._sleep_until(step.at)
        affected = self._sample_couriers(step.share, f"stall/{step.at}")
        for courier in affected:
            courier.signal(signal.SIGSTOP)
        await asyncio.sleep(step.length)
        for courier in affected:
            courier.signal(signal.SIGCONT)

    async def _signal(self, step) -> None:
        await self._sleep_until(step.at)
        affected = self._sample_couriers(step.share, f"signal/{step.at}")
        for _ in range(step.count):
            for courier in affected:
                if courier.ready:  # before, the signal would end the process
                    courier.signal(signal.SIGHUP)
            await asyncio.sleep(step.gap)

    async def _crowd(self, step) -> None:
        await self._sleep_until(step.at)
        affected = self._sample_couriers(step.share, f"crowd/{step.at}")
        crowds = (self.fleet.crowd(courier, step.connections, step.length) for courier in affected)
        await asyncio.gather(*crowds)

    async def _hostile(self, step) -> None:
        await self._sleep_until(step.at)
        rng = random.Random(f"soak/{self.plan.seed}/hostile/{step.at}")
        affected = self._sample_couriers(step.share, f"hostile/{step.at}")
        await asyncio.gather(*(attack(courier.address, step.how, step.length, rng) for courier in affected))

    async def _drain(self, step) -> None:
        await self._sleep_until(step.at)
        excused = {
            courier.name
            for number, courier in enumerate(self.fleet.couriers)
            for position, fault in enumerate(self.plan.system)
            if fault.call in DISCOVERY_CALLS
            and is_affected(self.plan, position, number)
            and fault.at < step.at + MAX_DISCOVERY_SILENCE_SECONDS
            and fault.at + fault.length > step.at - DISCOVERY_RECOVERY_SECONDS
        }
        await self.fleet.replace_endpoint(step.destination, step.stays, frozenset(excused))

    async def _silence(self, step) -> None:
        await self._sleep_until(step.at)
        self.fleet.platform.silent = True
        await self._sleep_until(step.at + step.length)
        self.fleet.platform.silent = False


def courier_faults(plan: Plan, traffic_start: float, courier: int) -> list[dict]:
    """The system call faults of one courier as JSON values for its process.

    `traffic_start` is in seconds of the monotonic clock.
    """
    return [
        _fault_json(fault, traffic_start)
        for position, fault in enumerate(plan.system)
        if is_affected(plan, position, courier)
    ]


def is_affected(plan: Plan, position: int, courier: int) -> bool:
    """Whether a courier is among those that the fault at this position of the plan affects."""
    rng = random.Random(f"soak/{plan.seed}/system/{position}/{courier}")
    return rng.random() < plan.system[position].couriers


def _fault_json(fault: SystemFault, traffic_start: float) -> dict:
    return dict(
        call=fault.call,
        begin=traffic_start + fault.at,
        end=traffic_start + fault.at + fault.length,
        share=fault.share,
        error=fault.error,
        step=fault.step,
    )
