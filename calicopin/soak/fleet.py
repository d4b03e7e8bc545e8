"""The parts of one soak together: destinations, the platform, courier processes and their clients."""

import asyncio
import random
import time
from dataclasses import dataclass
from pathlib import Path

from calicopin.soak.client import UNANSWERED, Clients, Request
from calicopin.soak.courier import MEMORY_LIMIT_MB, CourierProcess
from calicopin.soak.destination import AnswerCopies, Destination, Endpoint
from calicopin.soak.platform import LEFT, Platform
from calicopin.soak.rules import (
    Drain,
    Failure,
    Outage,
    Record,
    SlowStart,
    TimeLimits,
    Violation,
    find_violations,
)

ENDPOINTS_PER_DESTINATION = 2
CROWD_GONE_SECONDS = 0.5  # until a courier has noticed that a crowd has gone
STOPPING_TRAFFIC_SECONDS = 0.1  # between two messages to a courier that was told to stop
READY_TIMEOUT_SECONDS = 60.0  # generous, for a busy machine
PRODUCTS = (
    dict(name="status", idempotency="read_like", aim=1.5, giveUp=5.0, points=2.0, lateWorth=0.0),
    dict(name="order", idempotency="idempotency_key", keyTtl=15.0, aim=4.0, giveUp=24.0, lateWorth=0.3),
    dict(name="once", idempotency="non_idempotent", aim=4.0, giveUp=24.0, lateWorth=0.3),
    dict(name="series", idempotency="read_like", aim=4.0, giveUp=24.0, lateWorth=0.3, inOrder=True),
)
ONCE_ONLY_PRODUCTS, ORDERED_PRODUCTS = {"once"}, {"series"}
KEYS_PER_COURIER = 2  # order keys
TIME_LIMITS = TimeLimits(drain_grace=0.5, settle=0.7)


@dataclass(frozen=True, slots=True)
class DestinationPlan:
    """One destination: `capacity` in calls per second, `answer_after` in seconds."""

    capacity: float
    answer_after: float = 0.1
    bundle: int = 1  # maximum messages per call
    wait: float = 0.0  # seconds that its refusals ask couriers to wait; 0: none


def endpoint_entry(destination: Destination, endpoint: Endpoint, state: str) -> dict:
    """The discovery entry of an endpoint."""
    return {
        "id": endpoint.ident,
        "addr": f"127.0.0.1:{endpoint.port}",
        "zone": "a",
        "kind": f"kind{destination.number}",
        "cell": destination.number,
        "state": state,
        "weight": 1.0,
        "started_ms": 0,
    }


class NotReadyError(RuntimeError):
    """A courier was not ready in time; the message has the end of its log."""


def courier_settings(number: int, couriers: int, rule: SlowStart, plans: tuple[DestinationPlan, ...]) -> dict:
    """The deployment settings of one courier of this fleet."""
    return dict(
        slotNo=number,
        groupSize=couriers,
        tick=0.005,
        kinds=[f"kind{kind}" for kind in range(len(plans))],
        zones=["a"],
        grades=list(PRODUCTS),
        familyInfo=dict(
            workers=40,
            bundleMax=[plan.bundle for plan in plans],
            ownLimits=[False] * len(plans),
            fades="halving",
        ),
        ceilings=dict(
            mostHeld=200, tryLimit=12, connectTimeout=1.5, idleClose=10.0, retryAfter=True, maxRetryAfter=2.0
        ),
        rules=dict(
            coldFrom=rule.cold_from,
            cold=rule.cold,
            tipMultiple=rule.multiple,
            fall=rule.span,
            orderSettle=TIME_LIMITS.settle,
            askWithin=10.0,
            stopSendingWithin=TIME_LIMITS.drain_grace,
        ),
        loadInfo=None,
        weights="none",
        discovery="push",
    )


class Fleet:
    """Real courier processes and simulated destinations in this process; all addresses are on loopback."""

    def __init__(
        self, folder: Path, couriers: int, plans: tuple[DestinationPlan, ...], rule: SlowStart, seed: int
    ):
        self.folder, self.plans, self.rule, self.record = folder, plans, rule, Record()
        self.platform, self.clients = Platform(self.record), Clients(self.record)
        self.destinations = []
        for number, plan in enumerate(plans):
            destination = Destination(number, plan.capacity, rule, self.record, plan.answer_after)
            destination.refusal_wait = plan.wait
            self.destinations.append(destination)
        self.courier_count, self.seed, self.message_count = couriers, seed, 0
        self.couriers: list[CourierProcess] = []
        self.crowded: set[str] = set()  # couriers that may close new connections unread
        # By destination: when the outage began, and its mode.
        self.active_outages: dict[int, tuple[float, str]] = {}

    # Start and end.

    async def start(self, faults=lambda number: []) -> None:
        """Starts everything and waits until each courier is ready; raises NotReadyError.

        `faults` returns the system call faults for the courier of a number.
        """
        await self.platform.start()
        for destination in self.destinations:
            for _ in range(ENDPOINTS_PER_DESTINATION):
                self.platform.put_endpoint(
                    endpoint_entry(destination, await destination.add_endpoint(), "active")
                )
        for number in range(self.courier_count):
            settings = courier_settings(number, self.courier_count, self.rule, self.plans)
            name = f"c{number}"
            known, seed = self.platform.snapshot(), self.seed * 1000 + number
            courier = CourierProcess(name, self.folder / name, settings, self.platform.address, known, seed)
            courier.faults = faults(number)
            self.couriers.append(courier)
            courier.start()
        await self.wait_ready(self.couriers)

    async def wait_ready(self, couriers: list[CourierProcess]) -> None:
        """Waits until each of them is ready; raises NotReadyError."""
        await asyncio.gather(*(self._wait_ready(courier) for courier in couriers))

    async def _wait_ready(self, courier: CourierProcess) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while time.monotonic() < deadline:
            if not courier.is_running():
                break
            if await is_ready(courier.address):
                courier.ready = True
                return
            await asyncio.sleep(0.02)
        lines = courier.log_path.read_text(errors="replace")[-600:]
        raise NotReadyError(f"{courier.name} was not ready within {READY_TIMEOUT_SECONDS:g} s: {lines}")

    async def close(self) -> None:
        """Ends all processes and servers, also if a process has already exited."""
        for courier in self.couriers:
            if courier.is_running():
                courier.kill()
        self.clients.close()
        for destination in self.destinations:
            await destination.close()
        self.platform.close()

    # Faults.

    async def begin_outage(self, destination: int, mode: str) -> None:
        """The destination fails in that mode from now on."""
        self.active_outages[destination] = time.monotonic(), mode
        await self.destinations[destination].set_mode(mode)

    async def end_outage(self, destination: int) -> Outage:
        """The destination recovers, with reduced capacity at first."""
        began_at, mode = self.active_outages.pop(destination)
        await self.destinations[destination].set_mode("well")
        outage = Outage(destination, began_at, self.destinations[destination].recovered_at, mode)
        self.record.outages.append(outage)
        return outage

    async def replace_endpoint(self, number: int, drain_seconds: float, excused: frozenset[str]) -> None:
        """Adds an endpoint and drains the oldest listed one, which is removed `drain_seconds` later."""
        destination = self.destinations[number]
        listed = [endpoint for endpoint in destination.endpoints if endpoint.ident in self.platform.endpoints]
        self.platform.put_endpoint(endpoint_entry(destination, await destination.add_endpoint(), "active"))
        self.platform.put_endpoint(endpoint_entry(destination, listed[0], "leaving"))
        await self.platform.wait_while_silent()  # couriers cannot learn of it before
        self.record.drains.append(Drain(listed[0].ident, time.monotonic(), excused))
        await asyncio.sleep(drain_seconds)
        self.platform.put_endpoint(endpoint_entry(destination, listed[0], LEFT))

    def repeat_answers(self, step, begin: float) -> None:
        """The peer that a `plan.RepeatStep` names sends answers twice.

        `begin` (s, monotonic) is the step's time 0.
        """
        rng = random.Random(f"soak/{self.seed}/copies/{step.destination}")
        peer = self.platform if step.destination is None else self.destinations[step.destination]
        at = begin + step.at
        peer.copies = AnswerCopies(rng, self.record, step.share, step.delay, step.cut, at, at + step.length)

    async def crowd(self, courier: CourierProcess, connections: int, seconds: float) -> None:
        """Idle clients hold connections at a courier; new ones may then be closed unread."""
        began_at = time.monotonic()
        self.crowded.add(courier.name)
        await self.clients.gather_crowd(courier.address, connections)
        await asyncio.sleep(max(0.0, began_at + seconds - time.monotonic()))
        self.clients.dissolve_crowd(courier.address)
        await asyncio.sleep(CROWD_GONE_SECONDS)
        self.crowded.discard(courier.name)

    async def _send_until_exit(self, courier: CourierProcess, destination: int) -> None:
        """Sends messages on every connection that stays open until the process has ended."""
        process = courier.process
        while process.poll() is None:
            product = PRODUCTS[self.message_count % len(PRODUCTS)]
            if product["name"] in ORDERED_PRODUCTS:
                product = PRODUCTS[0]
            sent = self.send_message(courier, destination, product["name"], product["giveUp"], only_open=True)
            await asyncio.gather(sent, asyncio.sleep(STOPPING_TRAFFIC_SECONDS))

    async def restart(
        self,
        couriers: list[CourierProcess],
        down: float = 0.0,
        graceful: bool = False,
        signals: tuple[str, ...] = ("SIGTERM",),
    ) -> None:
        """Stops couriers by SIGKILL (`graceful`: by signals) and starts new processes after `down` seconds.

        The new processes use the same folders and are configured with the endpoint list that was last sent to
        their predecessors.
        """
        ended_at, known = time.monotonic(), self.platform.last_sent
        if graceful:
            traffic = [
                asyncio.create_task(self._send_until_exit(courier, number % len(self.destinations)))
                for number, courier in enumerate(couriers)
            ]
            codes = await asyncio.gather(*(each.terminate(signals) for each in couriers))
            await asyncio.gather(*traffic)
            for courier, code in zip(couriers, codes, strict=True):
                if code != 0:
                    what = "did not exit in time" if code is None else f"exited with {code}"
                    self.record.crashes.append(f"{courier.name} {what} after {'+'.join(signals)}")
        else:
            for courier in couriers:
                courier.ready = False
                courier.process.kill()
            for courier in couriers:
                courier.process.wait()
        await asyncio.sleep(down)
        for courier in couriers:
            courier.configure(known)
            courier.start()
        await self.wait_ready(couriers)
        for courier in couriers:
            self.record.restarts[courier.name].append((ended_at, time.monotonic()))

    # Traffic.

    async def send_message(
        self,
        courier: CourierProcess,
        destination: int,
        product: str,
        validity: float,
        key: str | None = None,
        only_open: bool = False,
    ) -> int:
        """Sends one message with an id of its own; returns the status as `Clients.send` does."""
        self.message_count += 1
        request = Request(
            f"{courier.name}.{self.message_count}", courier.name, destination, product, validity, key
        )
        process, crowded = courier.process, courier.name in self.crowded
        status = await self.clients.send(request, courier.address, only_open)
        excused = crowded or courier.name in self.crowded
        if status == UNANSWERED and not excused and courier.process is process and courier.is_running():
            self.record.unanswered.append(request.ident)
        return status

    # Verdict.

    def failures(self) -> list[Failure]:
        """The failed calls in the couriers' logs."""
        return [failure for courier in self.couriers for failure in courier.failures()]

    async def wait_for_completion(self) -> None:
        """Waits until every message has its final result, or the last deadline has passed."""
        deadline = max((message.deadline for message in self.record.messages), default=0.0) + 1.0
        while time.monotonic() < deadline:
            completed = set(self.record.notices)
            for arrival in self.record.arrivals:
                if arrival.outcome == "delivered":
                    completed.update(arrival.messages)
            if all(message.ident in completed for message in self.record.messages):
                return
            await asyncio.sleep(0.05)

    def find_violations(self) -> list[Violation]:
        """All violated invariants, with those that the couriers' own run-time checks logged."""
        self.record.failures = self.failures()
        for courier in self.couriers:
            self.record.crashes += courier.logged_faults()
            self.record.invariants += courier.broken_invariants()
            if not courier.is_running():
                self.record.crashes.append(f"{courier.name} exited unexpectedly")
            elif (peak := courier.peak_memory_mb()) > MEMORY_LIMIT_MB:
                self.record.crashes.append(f"{courier.name} held {peak:.1f} MB of memory")
        capacities = {each.number: each.capacity for each in self.destinations}
        return find_violations(self.record, capacities, self.rule, ONCE_ONLY_PRODUCTS, TIME_LIMITS)


async def is_ready(address: tuple[str, int]) -> bool:
    """Whether a courier answers that it is ready."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    try:
        writer.write(b"GET /-/ready HTTP/1.1\r\nHost: courier\r\nConnection: close\r\n\r\n")
        return (await asyncio.wait_for(reader.readline(), 2.0)).startswith(b"HTTP/1.1 200")
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()
