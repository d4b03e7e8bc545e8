"""Real courier processes with traffic and real discovery nodes, under faults, with a verdict.

Destinations are two stub servers on loopback: the first endpoint of every destination is on the first server;
when it is announced as leaving, an endpoint on the second server replaces it. All messages are once-only, so
that a second call counts as a fault. A node is killed and some couriers are killed and restarted under load.
"""

import http.client
import random
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from calicopin.command.demo import Notices
from calicopin.scale import list_source
from calicopin.scale.nodes import NodeProcess
from calicopin.scale.one_courier import BODY, FLEET, NODE_READY_TIMEOUT_S, Courier, entry
from calicopin.scale.standin import Arrival, DestinationServer

LEAVE_DEADLINE_S = 6.0  # from an announced leave to the last call there, with a node reachable
CALL_TIME_ALLOWANCE_S = 0.3  # from the start of a call until the stub has read it, on a busy machine
END_TIMEOUT_S = 30.0  # for the last messages to be called or reported as undeliverable
MAX_REPORTED_FAULTS = 5  # of one kind
RESTARTED_SHARE = 0.1
LEAVING_SHARE = 0.25  # of the used destinations
NODE_KILLED_AT_SHARE, RESTART_AT_SHARE, LEAVES_FROM_SHARE = 0.25, 0.5, 0.3  # of the run's length


@dataclass(frozen=True, slots=True)
class Plan:
    """Sizes of a run; each courier uses `used` destinations and gets `rate` messages a second."""

    couriers: int
    nodes: int
    destinations: int
    used: int
    rate: float
    seconds: float
    seed: int


@dataclass(slots=True)
class Verdict:
    """Outcome of all messages; `faults` lists messages lost, sent twice or sent to an endpoint that left."""

    accepted: int = 0
    delivered: int = 0
    told_undelivered: int = 0
    refused: int = 0
    unanswered: int = 0  # the courier was killed during the request
    leaves: int = 0
    latest_call_after_leave_ms: float = 0.0
    resident_mb_most: float = 0.0
    control_bytes_a_second: float = 0.0  # mean of a courier
    faults: list[str] = field(default_factory=list)


class Client:
    """Submits messages to one courier on a schedule, each with a unique id."""

    def __init__(self, number: int, courier: Courier, used: list[int], plan: Plan):
        self.number, self.courier, self.used, self.plan = number, courier, used, plan
        self.accepted: set[str] = set()
        self.refused = self.unanswered = 0
        self.draw = random.Random(f"{plan.seed}/client/{number}")
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        began, connection = time.monotonic(), None
        for message in range(int(self.plan.rate * self.plan.seconds)):
            time.sleep(max(0.0, began + message / self.plan.rate - time.monotonic()))
            connection = self._submit(connection, f"{self.number}-{message}", self.draw.choice(self.used))

    def _submit(self, connection, ident: str, destination: int):
        """Submits one message; returns the connection for the next one, or None if it broke."""
        connection = connection or http.client.HTTPConnection("127.0.0.1", self.courier.listen, timeout=20.0)
        headers = {
            "X-Request-ID": f"{ident}-{destination}",
            "X-Timeout": "15",
            "X-Envelope": f"dest={destination}",
        }
        try:
            connection.request("POST", "/order-confirm", BODY, headers)
            answer = connection.getresponse()
            answer.read()
        except (OSError, http.client.HTTPException):
            self.unanswered += 1
            connection.close()
            return None
        if answer.status == 202:
            self.accepted.add(headers["X-Request-ID"])
        else:
            self.refused += 1
        return connection


class CouriersRun:
    """One run with its processes, clients and list."""

    def __init__(self, plan: Plan, folder: Path):
        self.plan, self.folder = plan, folder
        self.draw = random.Random(plan.seed)
        self.first_server, self.second_server, self.notices = (
            DestinationServer(),
            DestinationServer(),
            Notices(),
        )
        threading.Thread(
            target=self.notices.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True
        ).start()
        self.source = folder / "list.log"
        # when the first endpoint of a destination was announced as leaving (s, monotonic)
        self.announced_leaves: dict[int, float] = {}
        self.nodes: list[NodeProcess] = []
        self.couriers: list[Courier] = []
        self.clients: list[Client] = []

    def run(self) -> Verdict:
        """Runs everything and returns the verdict; raises MeasureError or NodeError."""
        self._start()
        began = time.monotonic()
        for client in self.clients:
            client.thread.start()
        self._inject_faults(began)
        for client in self.clients:
            client.thread.join()
        return self._evaluate(time.monotonic() - began)

    def _start(self) -> None:
        plan = self.plan
        with open(self.source, "w", encoding="utf-8") as file:
            file.write(list_source.head(FLEET) + "\n")
            for destination in range(plan.destinations):
                file.write(list_source.encode(entry(destination, self.first_server.port)) + "\n")
        for number in range(plan.nodes):
            node = NodeProcess(f"node{number}", str(self.source), FLEET, plan.couriers, str(self.folder))
            self.nodes.append(node)
            node.start()
        for node in self.nodes:
            node.wait_ready(NODE_READY_TIMEOUT_S)
        addresses = ", ".join(f'"{node.address}"' for node in self.nodes)
        notices_address = f"127.0.0.1:{self.notices.server_address[1]}"
        source = f'nodes = [{addresses}]\nfleet = "{FLEET}"\nnotices = "{notices_address}"'
        for number in range(plan.couriers):
            courier_folder = self.folder / f"courier{number}"
            courier_folder.mkdir()
            courier = Courier(courier_folder, source, f"courier{number}", "once-only")
            self.couriers.append(courier)
            used = self.draw.sample(range(plan.destinations), plan.used)
            self.clients.append(Client(number, courier, used, plan))
        for courier in self.couriers:
            courier.wait_ready()

    def _inject_faults(self, began: float) -> None:
        """Kills a node, kills and restarts couriers, and announces leaves, each at its scheduled time."""
        seconds, count = self.plan.seconds, max(1, round(self.plan.couriers * RESTARTED_SHARE))
        steps = [(NODE_KILLED_AT_SHARE * seconds, self.nodes[0].kill)]
        steps += [(RESTART_AT_SHARE * seconds, courier.restart) for courier in self.couriers[:count]]
        used = sorted({each for client in self.clients for each in client.used})
        leaving = self.draw.sample(used, max(1, round(len(used) * LEAVING_SHARE)))
        for number, destination in enumerate(leaving):
            at = (LEAVES_FROM_SHARE + 0.4 * number / len(leaving)) * seconds
            steps.append((at, lambda destination=destination: self._announce_leave(destination)))
        for at, action in sorted(steps, key=lambda step: step[0]):
            time.sleep(max(0.0, began + at - time.monotonic()))
            action()

    def _announce_leave(self, destination: int) -> None:
        """Announces the first endpoint as leaving and adds its replacement."""
        changed_entries = [
            entry(destination, self.second_server.port, 1),
            entry(destination, self.first_server.port) | {"state": "leaving"},
        ]
        with open(self.source, "a", encoding="utf-8") as file:
            file.write("".join(list_source.encode(changed) + "\n" for changed in changed_entries))
        self.announced_leaves[destination] = time.monotonic()

    def _evaluate(self, seconds: float) -> Verdict:
        accepted = set().union(*(client.accepted for client in self.clients))
        self._wait_for_ends(accepted)
        arrivals = self.first_server.arrivals + self.second_server.arrivals
        undeliverable = self.undeliverable()
        calls = Counter(arrival.ident for arrival in arrivals)
        verdict = Verdict(
            accepted=len(accepted),
            delivered=len(accepted.intersection(calls)),
            told_undelivered=len(accepted.intersection(undeliverable)),
            refused=sum(client.refused for client in self.clients),
            unanswered=sum(client.unanswered for client in self.clients),
            leaves=len(self.announced_leaves),
            resident_mb_most=max(courier.resident_bytes() for courier in self.couriers) / 1e6,
            control_bytes_a_second=self._control_bytes() / seconds,
        )
        lost = accepted.difference(calls, undeliverable)
        verdict.faults += [
            f"{ident} was taken on and has no end" for ident in sorted(lost)[:MAX_REPORTED_FAULTS]
        ]
        verdict.faults += [
            f"{ident} was called {times} times" for ident, times in calls.items() if times > 1
        ][:MAX_REPORTED_FAULTS]
        self._evaluate_leaves(verdict, self.first_server.arrivals)
        return verdict

    def _evaluate_leaves(self, verdict: Verdict, arrivals: list[Arrival]) -> None:
        for arrival in arrivals:
            left_at = self.announced_leaves.get(arrival.destination)
            if left_at is None or arrival.at <= left_at:
                continue
            delay = arrival.at - left_at
            verdict.latest_call_after_leave_ms = max(verdict.latest_call_after_leave_ms, delay * 1000.0)
            if delay > LEAVE_DEADLINE_S + CALL_TIME_ALLOWANCE_S:
                verdict.faults.append(f"{arrival.ident} went to an endpoint that left {delay:.2f} s before")

    def _wait_for_ends(self, accepted: set[str]) -> None:
        """Waits until every accepted message was called or has ended, at most `END_TIMEOUT_S`."""
        until = time.monotonic() + END_TIMEOUT_S
        while time.monotonic() < until:
            called = {arrival.ident for arrival in self.first_server.arrivals + self.second_server.arrivals}
            if not accepted.difference(called, self.undeliverable()):
                return
            time.sleep(0.1)

    def undeliverable(self) -> set[str]:
        """The messages that couriers reported as undeliverable."""
        return set(self.notices.ended)

    def _control_bytes(self) -> float:
        """Mean control bytes of the couriers that were not restarted."""
        count = max(1, round(self.plan.couriers * RESTARTED_SHARE))
        subscriptions = [courier.subscription() for courier in self.couriers[count:] or self.couriers]
        return sum(each["bytes_sent"] + each["bytes_received"] for each in subscriptions) / len(subscriptions)

    def close(self) -> None:
        """Stops all processes and servers."""
        for courier in self.couriers:
            courier.end()
        for node in self.nodes:
            node.end()
        for server in (self.first_server, self.second_server, self.notices):
            server.shutdown()
            server.server_close()


def run_couriers(plan: Plan, folder: Path) -> Verdict:
    """Runs a plan and stops its processes."""
    run = CouriersRun(plan, folder)
    try:
        return run.run()
    finally:
        run.close()
