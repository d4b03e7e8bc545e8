"""Processor time and memory of one real courier by the events that it takes a second, on loopback.

`python -m calicopin.capacity.traffic --json docs/scale/traffic.json` runs it: a courier process, stand-in
destinations and one client in this process. Every event is delivered at its first call. Figures are of this
machine.
"""

import argparse
import http.client
import os
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass

from calicopin.capacity.records import Measure, fit_line, record
from calicopin.command.demo import Desk, Notices, ask, configuration
from calicopin.scale.nodes import free_port, process_cpu, process_resident

RATES = (33, 66, 132)  # events a second
REPEATS = 3
SECONDS = 10.0
SETTLE_S = 1.0  # behind a courier's start, and behind the last event of a run
READY_TRIES, READY_PAUSE_S = 200, 0.05
BODY = b"x" * 300


class NotMeasuredError(RuntimeError):
    """The courier did not come up, or an event was refused or not delivered."""


@dataclass(frozen=True, slots=True)
class Spent:
    """What a courier took in one run."""

    core_ms_per_second: float
    resident_bytes: int


class Client:
    """One client on one connection, on a schedule."""

    def __init__(self, address: str):
        host, port = address.split(":")
        self.line = http.client.HTTPConnection(host, int(port), timeout=5.0)
        self.number = 0

    def hand_in(self) -> None:
        """One event; raises NotMeasuredError where it is not taken on."""
        self.number += 1
        ident = f"event-{self.number}"
        headers = {
            "X-Request-ID": ident,
            "X-Timeout": "6",
            "Idempotency-Key": ident,
            "X-Envelope": f"dest={self.number % 3}",
        }
        self.line.request("POST", "/order-confirm", BODY, headers)
        answer = self.line.getresponse()
        answer.read()
        if answer.status != 202:
            raise NotMeasuredError(f"event {self.number} was answered {answer.status}")

    def play(self, rate: float, seconds: float) -> None:
        """So many events a second, evenly."""
        began = time.monotonic()
        for position in range(int(rate * seconds)):
            time.sleep(max(0.0, began + position / rate - time.monotonic()))
            self.hand_in()
        time.sleep(max(0.0, began + seconds - time.monotonic()))


def wait_ready(address: str) -> None:
    """Until the courier serves."""
    for _ in range(READY_TRIES):
        try:
            if ask(address, "GET", "/-/ready")[0] == 200:
                return
        except OSError:
            pass
        time.sleep(READY_PAUSE_S)
    raise NotMeasuredError("the courier did not become ready")


def measure(rate: float, address: str, desks: list[Desk], process: int) -> Spent:
    """One run against a courier that serves."""
    wait_ready(address)
    client = Client(address)
    client.play(rate, SETTLE_S)  # its first connections and code paths
    before, began = process_cpu(process), time.monotonic()
    client.play(rate, SECONDS)
    spent = process_cpu(process) - before
    passed = time.monotonic() - began
    time.sleep(SETTLE_S)
    if (delivered := sum(len(desk.delivered) for desk in desks)) != client.number:
        raise NotMeasuredError(f"{delivered} of {client.number} events were delivered")
    return Spent(spent * 1000.0 / passed, process_resident(process))


def run_once(rate: float) -> Spent:
    """A courier, its destinations and a client, from start to end."""
    desks, notices, address = (
        [Desk(str(number)) for number in range(3)],
        Notices(),
        f"127.0.0.1:{free_port()}",
    )
    servers = (*desks, notices)
    for server in servers:
        threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()
    with tempfile.TemporaryDirectory(prefix="calicopin-traffic-") as folder:
        path = os.path.join(folder, "courier.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(configuration(address, f"127.0.0.1:{notices.server_address[1]}", desks))
        with open(os.path.join(folder, "log"), "wb") as log:
            courier = subprocess.Popen([sys.executable, "-m", "calicopin", "run", path], stderr=log)
        try:
            return measure(rate, address, desks, courier.pid)
        finally:
            courier.terminate()
            courier.wait(10)
            for server in servers:
                server.shutdown()
                server.server_close()


TIME = Measure("processor time of a courier a second", "ms", "event a second")
MEMORY = Measure("resident memory of a courier", "bytes", "event a second")


def main() -> int:
    """Exit code 0; 1 where a run was void."""
    parser = argparse.ArgumentParser(prog="python -m calicopin.capacity.traffic", description=__doc__)
    parser.add_argument("--json", metavar="FILE", help="keep the record here")
    parser.add_argument("--repeats", type=int, default=REPEATS)
    parser.add_argument("--rate", type=int, action="append", help="other rates, three or more")
    asked = parser.parse_args()
    rates, samples = tuple(asked.rate or RATES), {TIME: [], MEMORY: []}
    kept = record("traffic", {"rates": rates, "repeats": asked.repeats, "seconds": SECONDS})
    try:
        for repeat in range(asked.repeats):
            for rate in rates:
                print(f"{rate} events a second, repeat {repeat + 1} of {asked.repeats}", file=sys.stderr)
                spent = run_once(rate)
                samples[TIME].append((rate, spent.core_ms_per_second))
                samples[MEMORY].append((rate, spent.resident_bytes))
    except NotMeasuredError as fault:
        print(f"void: {fault}", file=sys.stderr)
        return 1
    kept.end([fit_line(one, samples[one]) for one in (TIME, MEMORY)], asked.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
