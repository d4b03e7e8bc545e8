"""Real courier processes with traffic before real discovery nodes, under faults, with a verdict.

Destinations are two stand-in servers on loopback: every destination has its first endpoint at one of them;
when that is announced as leaving, the second one takes its place. Every message may go once only, so that any
second call is seen. A node is killed and some couriers are killed and started again while messages flow.
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
from calicopin.scale.one_courier import BODY, FLEET, NODE_READY, Courier, entry
from calicopin.scale.standin import Arrival, Destinations

TOLD = 6.0  # seconds after which an announced leave counts as told, once a node could be reached
CALL_BEGUN = 0.3  # seconds that a call takes from its begin to its being read here, on a busy machine
QUIET = 30.0  # seconds that the last messages have to come to their ends
MOST_TOLD = 5  # faults of one kind that are told
SHARE_RESTARTED = 0.1
SHARE_LEAVING = 0.25  # of the used destinations
NODE_KILLED_AT, RESTART_AT, LEAVES_FROM = 0.25, 0.5, 0.3  # shares of the run's length


@dataclass(frozen=True, slots=True)
class Plan:
    """So many couriers that use `used` destinations each, with so many messages a second each."""

    couriers: int
    nodes: int
    destinations: int
    used: int
    rate: float
    seconds: float
    seed: int


@dataclass(slots=True)
class Verdict:
    """What became of all messages; `faults` is empty where nothing was lost, doubled or sent to one that
    left."""

    accepted: int = 0
    delivered: int = 0
    told_undelivered: int = 0
    refused: int = 0
    unanswered: int = 0  # the courier was killed under the request
    leaves: int = 0
    latest_call_after_leave_ms: float = 0.0
    resident_mb_most: float = 0.0
    control_bytes_a_second: float = 0.0  # of a courier, mean
    faults: list[str] = field(default_factory=list)


class Client:
    """Hands messages in at one courier on a schedule; each under an id of its own."""

    def __init__(self, number: int, courier: Courier, used: list[int], plan: Plan):
        self.number, self.courier, self.used, self.plan = number, courier, used, plan
        self.accepted: set[str] = set()
        self.refused = self.unanswered = 0
        self.draw = random.Random(f"{plan.seed}/client/{number}")
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self) -> None:
        began, line = time.monotonic(), None
        for turn in range(int(self.plan.rate * self.plan.seconds)):
            time.sleep(max(0.0, began + turn / self.plan.rate - time.monotonic()))
            line = self._hand_in(line, f"{self.number}-{turn}", self.draw.choice(self.used))

    def _hand_in(self, line, ident: str, destination: int):
        """One message; the connection for the next one, None where it broke."""
        line = line or http.client.HTTPConnection("127.0.0.1", self.courier.listen, timeout=20.0)
        headers = {
            "X-Request-ID": f"{ident}-{destination}",
            "X-Timeout": "15",
            "X-Envelope": f"dest={destination}",
        }
        try:
            line.request("POST", "/order-confirm", BODY, headers)
            answer = line.getresponse()
            answer.read()
        except (OSError, http.client.HTTPException):
            self.unanswered += 1
            line.close()
            return None
        if answer.status == 202:
            self.accepted.add(headers["X-Request-ID"])
        else:
            self.refused += 1
        return line


class Play:
    """One run: its processes, its clients and its list."""

    def __init__(self, plan: Plan, folder: Path):
        self.plan, self.folder = plan, folder
        self.draw = random.Random(plan.seed)
        self.old, self.new, self.notices = Destinations(), Destinations(), Notices()
        threading.Thread(
            target=self.notices.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True
        ).start()
        self.source = folder / "list.log"
        # destinations whose first endpoint was announced as leaving, and when
        self.left: dict[int, float] = {}
        self.nodes: list[NodeProcess] = []
        self.couriers: list[Courier] = []
        self.clients: list[Client] = []

    def run(self) -> Verdict:
        """From the start to the verdict; raises MeasureError or NodeError."""
        self._start()
        began = time.monotonic()
        for client in self.clients:
            client.thread.start()
        self._trouble(began)
        for client in self.clients:
            client.thread.join()
        return self._judge(time.monotonic() - began)

    def _start(self) -> None:
        plan = self.plan
        with open(self.source, "w", encoding="utf-8") as file:
            file.write(list_source.head(FLEET) + "\n")
            for destination in range(plan.destinations):
                file.write(list_source.encode(entry(destination, self.old.port)) + "\n")
        for number in range(plan.nodes):
            node = NodeProcess(f"node{number}", str(self.source), FLEET, plan.couriers, str(self.folder))
            self.nodes.append(node)
            node.start()
        for node in self.nodes:
            node.wait_ready(NODE_READY)
        addresses = ", ".join(f'"{node.address}"' for node in self.nodes)
        told = f"127.0.0.1:{self.notices.server_address[1]}"
        source = f'nodes = [{addresses}]\nfleet = "{FLEET}"\nnotices = "{told}"'
        for number in range(plan.couriers):
            home = self.folder / f"courier{number}"
            home.mkdir()
            courier = Courier(home, source, f"courier{number}", "once-only")
            self.couriers.append(courier)
            used = self.draw.sample(range(plan.destinations), plan.used)
            self.clients.append(Client(number, courier, used, plan))
        for courier in self.couriers:
            courier.wait_ready()

    def _trouble(self, began: float) -> None:
        """A node is killed, couriers are killed and started again, and endpoints leave, each at its time."""
        seconds, count = self.plan.seconds, max(1, round(self.plan.couriers * SHARE_RESTARTED))
        steps = [(NODE_KILLED_AT * seconds, self.nodes[0].kill)]
        steps += [(RESTART_AT * seconds, courier.restart) for courier in self.couriers[:count]]
        used = sorted({each for client in self.clients for each in client.used})
        leaving = self.draw.sample(used, max(1, round(len(used) * SHARE_LEAVING)))
        for number, destination in enumerate(leaving):
            at = (LEAVES_FROM + 0.4 * number / len(leaving)) * seconds
            steps.append((at, lambda destination=destination: self._leave(destination)))
        for at, act in sorted(steps, key=lambda step: step[0]):
            time.sleep(max(0.0, began + at - time.monotonic()))
            act()

    def _leave(self, destination: int) -> None:
        """The first endpoint is announced as leaving, the second one takes its place."""
        lines = [
            entry(destination, self.new.port, 1),
            entry(destination, self.old.port) | {"state": "leaving"},
        ]
        with open(self.source, "a", encoding="utf-8") as file:
            file.write("".join(list_source.encode(line) + "\n" for line in lines))
        self.left[destination] = time.monotonic()

    def _judge(self, seconds: float) -> Verdict:
        accepted = set().union(*(client.accepted for client in self.clients))
        self._wait_for_ends(accepted)
        arrivals = self.old.arrivals + self.new.arrivals
        ended = self.ended()
        calls = Counter(arrival.ident for arrival in arrivals)
        verdict = Verdict(
            accepted=len(accepted),
            delivered=len(accepted.intersection(calls)),
            told_undelivered=len(accepted.intersection(ended)),
            refused=sum(client.refused for client in self.clients),
            unanswered=sum(client.unanswered for client in self.clients),
            leaves=len(self.left),
            resident_mb_most=max(courier.resident() for courier in self.couriers) / 1e6,
            control_bytes_a_second=self._control_bytes() / seconds,
        )
        lost = accepted.difference(calls, ended)
        verdict.faults += [f"{ident} was taken on and has no end" for ident in sorted(lost)[:MOST_TOLD]]
        verdict.faults += [
            f"{ident} was called {times} times" for ident, times in calls.items() if times > 1
        ][:MOST_TOLD]
        self._judge_leaves(verdict, self.old.arrivals)
        return verdict

    def _judge_leaves(self, verdict: Verdict, arrivals: list[Arrival]) -> None:
        for arrival in arrivals:
            left = self.left.get(arrival.destination)
            if left is None or arrival.at <= left:
                continue
            late = arrival.at - left
            verdict.latest_call_after_leave_ms = max(verdict.latest_call_after_leave_ms, late * 1000.0)
            if late > TOLD + CALL_BEGUN:
                verdict.faults.append(f"{arrival.ident} went to an endpoint that left {late:.2f} s before")

    def _wait_for_ends(self, accepted: set[str]) -> None:
        """Until all that was taken on has its end, or so long."""
        until = time.monotonic() + QUIET
        while time.monotonic() < until:
            done = {arrival.ident for arrival in self.old.arrivals + self.new.arrivals}
            if not accepted.difference(done, self.ended()):
                return
            time.sleep(0.1)

    def ended(self) -> set[str]:
        """The messages that ended undelivered, as couriers told."""
        return set(self.notices.ended)

    def _control_bytes(self) -> float:
        """Of the couriers that were not restarted, mean."""
        count = max(1, round(self.plan.couriers * SHARE_RESTARTED))
        told = [courier.subscription() for courier in self.couriers[count:] or self.couriers]
        return sum(each["bytes_sent"] + each["bytes_received"] for each in told) / len(told)

    def close(self) -> None:
        """Ends all processes and servers."""
        for courier in self.couriers:
            courier.end()
        for node in self.nodes:
            node.end()
        for server in (self.old, self.new, self.notices):
            server.shutdown()
            server.server_close()


def play(plan: Plan, folder: Path) -> Verdict:
    """One run with its processes ended behind it."""
    run = Play(plan, folder)
    try:
        return run.run()
    finally:
        run.close()
