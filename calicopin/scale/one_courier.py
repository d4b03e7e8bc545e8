"""One real courier process that holds the whole list, or subscribes to the destinations that it uses.

One run measures both: resident memory, control traffic and processor time under changes of the list, and the
time until a change is in force. All addresses are on loopback; the figures apply to this machine.
"""

import http.client
import json
import random
import statistics
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path

from calicopin.command.demo import DemoPartner
from calicopin.scale import list_source
from calicopin.scale.list_agent import ListAgent
from calicopin.scale.nodes import ROOT, NodeProcess, free_port, process_cpu, process_resident

FLEET = "one-courier"
KIND = "any"
BODY = b"x" * 300
READY_TIMEOUT_S = 60.0  # until a courier serves, and until its messages are delivered
NODE_READY_TIMEOUT_S = 300.0
POLL_INTERVAL_S = 0.005  # of the check whether a change is in force
IN_FORCE_TIMEOUT_S = 12.0  # after which a change counts as lost
PAUSE_S = 1.0  # without load, between the messages and the measurement

COURIER_SETTINGS = """version = 1

[courier]
name = "{name}"
listen = "127.0.0.1:{listen}"
admin = "127.0.0.1:{admin}"
state = "{folder}/state"
status = true
slots = 30
held = 500
disk = "50MB"
{source}

[[product]]
name = "order-confirm"
repeat = "{repeat}"
sla = "5s"
validity = "20s"
{memory}

[[kind]]
name = "any"
answers = "100ms"
"""


class MeasureError(RuntimeError):
    """A courier did not start, refused a message or did not receive a change."""


@dataclass(frozen=True, slots=True)
class Plan:
    """What is measured: a courier that uses `used` of `destinations`, under `changes` a second."""

    destinations: int
    used: int
    changes: float
    seconds: float
    timed_changes: int  # measured one after the other
    seed: int


@dataclass(frozen=True, slots=True)
class CourierFigures:
    """Figures of one courier. Bytes count HTTP with headers, both ways; shares are of one core."""

    list_held: str
    destinations: int
    used: int
    endpoints_known: int
    resident_mb: float
    control_bytes_a_second: float
    core_share: float
    in_force_ms_median: float
    in_force_ms_worst: float


class Courier:
    """One courier process, with its client and admin requests."""

    def __init__(self, folder: Path, source: str, name: str = "courier", repeat: str = "referenced"):
        self.listen, self.admin = free_port(), free_port()
        self.path = folder / "courier.toml"
        config = COURIER_SETTINGS.format(
            name=name,
            listen=self.listen,
            admin=self.admin,
            folder=folder,
            source=source,
            repeat=repeat,
            memory='memory = "5s"' if repeat == "referenced" else "",
        )
        self.path.write_text(config, "utf-8")
        self.log = folder / "courier.log"
        self.process = self._start_process()

    def _start_process(self) -> subprocess.Popen:
        command = [sys.executable, "-m", "calicopin", "run", str(self.path)]
        with open(self.log, "ab") as log:
            return subprocess.Popen(command, cwd=ROOT, stderr=log)

    def restart(self) -> None:
        """Sends SIGKILL and starts a new process with the same state folder."""
        self.process.kill()
        self.process.wait()
        self.process = self._start_process()

    def resident_bytes(self) -> int:
        """Resident set size of the process in bytes."""
        return process_resident(self.process.pid)

    def send_request(self, port: int, method: str, path: str, body: bytes = b"", headers: dict | None = None):
        """(status, body) of one request; raises OSError."""
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=READY_TIMEOUT_S)
        try:
            connection.request(method, path, body, headers or {})
            answer = connection.getresponse()
            return answer.status, answer.read()
        finally:
            connection.close()

    def wait_ready(self) -> None:
        """Waits until it serves; raises MeasureError on time-out."""
        self.wait(lambda: self.send_request(self.listen, "GET", "/-/ready")[0] == 200, "ready")

    def wait(self, done: Callable[[], bool], what: str) -> None:
        """Waits until `done()` is true; raises MeasureError after `READY_TIMEOUT_S`."""
        until = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < until:
            try:
                if done():
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise MeasureError(
            f"courier was not {what} within {READY_TIMEOUT_S:g} s:"
            f" {self.log.read_text(errors='replace')[-400:]}"
        )

    def submit(self, destination: int) -> None:
        """Submits one message; raises MeasureError if it is refused."""
        headers = {
            "X-Request-ID": f"m-{destination}",
            "Idempotency-Key": f"m-{destination}",
            "X-Timeout": "20",
            "X-Envelope": f"dest={destination}",
        }
        status, _ = self.send_request(self.listen, "POST", "/order-confirm", BODY, headers)
        if status != 202:
            raise MeasureError(f"the message for destination {destination} was refused with status {status}")

    def known(self) -> int:
        """The number of endpoints that it knows."""
        return json.loads(self.send_request(self.admin, "GET", "/admin/stats")[1])["discovered"]

    def subscription(self) -> dict:
        """The `subscription` part of its status."""
        return json.loads(self.send_request(self.listen, "GET", "/-/status")[1])["subscription"]

    def end(self) -> None:
        """Sends SIGTERM, then SIGKILL if the process has not ended after 10 s."""
        self.process.terminate()
        try:
            self.process.wait(10)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def entry(destination: int, port: int, number: int = 0, weight: float = 50.0) -> dict:
    """One endpoint of a destination; all endpoints share one loopback port."""
    return {
        "id": f"e{destination}.{number}",
        "addr": f"127.0.0.1:{port}",
        "cell": destination,
        "kind": KIND,
        "zone": "",
        "state": "active",
        "weight": weight,
    }


class WholeList:
    """The courier fetches the whole list from a stub agent."""

    name = "whole list"

    def __init__(self, plan: Plan, folder: Path, port: int):
        entries = (entry(destination, port) for destination in range(plan.destinations))
        self.agent = ListAgent({each["id"]: each for each in entries})
        self.source = f'agent = "{self.agent.address}"'

    def change(self, changed: dict) -> None:
        """One entry changes."""
        self.agent.change(changed)

    def control_bytes(self, _: Courier) -> int:
        """So far, both ways."""
        return self.agent.byte_counts.received + self.agent.byte_counts.sent

    def close(self) -> None:
        """Stops the agent."""
        self.agent.close()


class Subscription:
    """The courier subscribes to the destinations that it uses at a real discovery node."""

    name = "subscribed"

    def __init__(self, plan: Plan, folder: Path, port: int):
        self.path = folder / "list.log"
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(list_source.head(FLEET) + "\n")
            for destination in range(plan.destinations):
                file.write(list_source.encode(entry(destination, port)) + "\n")
        self.node = NodeProcess("node", str(self.path), FLEET, 1, str(folder))
        self.node.start()
        try:
            self.node.wait_ready(NODE_READY_TIMEOUT_S)
        except BaseException:
            self.node.end()
            raise
        self.source = f'nodes = ["{self.node.address}"]\nfleet = "{FLEET}"'

    def change(self, changed: dict) -> None:
        """One entry changes."""
        with open(self.path, "a", encoding="utf-8") as file:
            file.write(list_source.encode(changed) + "\n")

    def control_bytes(self, courier: Courier) -> int:
        """So far, both ways."""
        counts = courier.subscription()
        return counts["bytes_sent"] + counts["bytes_received"]

    def close(self) -> None:
        """Stops the node."""
        self.node.end()


def measure(plan: Plan, provider_class: type[WholeList] | type[Subscription], folder: Path) -> CourierFigures:
    """Starts, measures and stops one courier; raises MeasureError."""
    partner = DemoPartner("destination")
    threading.Thread(target=partner.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()
    folder.mkdir()
    try:
        provider = provider_class(plan, folder, partner.server_address[1])
        try:
            courier = Courier(folder, provider.source)
            try:
                return _measure_courier(plan, provider, courier, partner)
            finally:
                courier.end()
        finally:
            provider.close()
    finally:
        partner.shutdown()
        partner.server_close()


def _measure_courier(
    plan: Plan, provider: WholeList | Subscription, courier: Courier, partner: DemoPartner
) -> CourierFigures:
    draw, port = random.Random(plan.seed), partner.server_address[1]
    used = draw.sample(range(plan.destinations), plan.used)
    courier.wait_ready()
    if isinstance(provider, WholeList):
        courier.wait(lambda: courier.known() == plan.destinations, "given the whole list")
    for destination in used:
        courier.submit(destination)
    courier.wait(lambda: len(partner.delivered) == plan.used, "delivered")
    time.sleep(PAUSE_S)
    resident_bytes = process_resident(courier.process.pid)
    bytes_a_second, core_share = _control_load(plan, provider, courier, draw, port)
    times = [
        _time_to_in_force_ms(provider, courier, entry(changed, port, 1))
        for changed in used[: plan.timed_changes]
    ]
    return CourierFigures(
        provider.name,
        plan.destinations,
        plan.used,
        courier.known() - len(times),
        resident_bytes / 1e6,
        bytes_a_second,
        core_share,
        statistics.median(times),
        max(times),
    )


def _control_load(
    plan: Plan, provider, courier: Courier, draw: random.Random, port: int
) -> tuple[float, float]:
    """Control bytes a second and share of a core, under changes of random destinations."""
    pid, sent = courier.process.pid, provider.control_bytes(courier)
    cpu, began = process_cpu(pid), time.monotonic()
    for number in range(int(plan.changes * plan.seconds)):
        time.sleep(max(0.0, began + number / plan.changes - time.monotonic()))
        provider.change(entry(draw.randrange(plan.destinations), port, weight=40.0 + number % 7))
    time.sleep(max(0.0, began + plan.seconds - time.monotonic()))
    passed = time.monotonic() - began
    core_share = (process_cpu(pid) - cpu) / passed
    return (provider.control_bytes(courier) - sent) / passed, core_share


def _time_to_in_force_ms(provider, courier: Courier, changed: dict) -> float:
    """Milliseconds from adding an endpoint of a used destination until the courier knows it."""
    before = courier.known()
    began = time.monotonic()
    provider.change(changed)
    while courier.known() == before:
        if time.monotonic() > began + IN_FORCE_TIMEOUT_S:
            raise MeasureError(f"{changed['id']} was not in force after {IN_FORCE_TIMEOUT_S:g} s")
        time.sleep(POLL_INTERVAL_S)
    return (time.monotonic() - began) * 1000.0


def rows(figures: list[CourierFigures]) -> list[dict]:
    """The figures as rows of a record."""
    return [asdict(courier_figures) for courier_figures in figures]
