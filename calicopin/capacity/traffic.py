"""Measures processor time and memory of a courier process by its rate of events, over loopback.

`python -m calicopin.capacity.traffic --json docs/scale/traffic.json` runs it: a courier process, with demo
destinations and one client in this process. Every event is delivered at its first call. The figures hold for
the machine that runs it.
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

from calicopin.capacity.records import Measure, fit_line, start_record
from calicopin.command.demo import DemoPartner, Notices, configuration, send_request
from calicopin.scale.nodes import free_port, process_cpu, process_resident

RATES = (33, 66, 132)  # events per second
REPEATS = 3
SECONDS = 10.0
SETTLE_S = 1.0  # after a courier's start, and after the last event of a run
READY_TRIES, READY_PAUSE_S = 200, 0.05
BODY = b"x" * 300


class NotMeasuredError(RuntimeError):
    """The courier did not become ready, or an event was refused or not delivered."""


@dataclass(frozen=True, slots=True)
class ResourceUsage:
    """The resources that a courier used in one run."""

    core_ms_per_second: float
    resident_bytes: int


class Client:
    """A client that submits events on one connection at a constant rate."""

    def __init__(self, address: str):
        host, port = address.split(":")
        self.connection = http.client.HTTPConnection(host, int(port), timeout=5.0)
        self.event_count = 0

    def submit(self) -> None:
        """Submits one event; raises NotMeasuredError if it is not accepted."""
        self.event_count += 1
        event_id = f"event-{self.event_count}"
        headers = {
            "X-Request-ID": event_id,
            "X-Timeout": "6",
            "Idempotency-Key": event_id,
            "X-Envelope": f"dest={self.event_count % 3}",
        }
        self.connection.request("POST", "/order-confirm", BODY, headers)
        answer = self.connection.getresponse()
        answer.read()
        if answer.status != 202:
            raise NotMeasuredError(f"event {self.event_count} was refused with status {answer.status}")

    def run(self, rate: float, seconds: float) -> None:
        """Submits `rate` events per second, evenly spaced."""
        began = time.monotonic()
        for position in range(int(rate * seconds)):
            time.sleep(max(0.0, began + position / rate - time.monotonic()))
            self.submit()
        time.sleep(max(0.0, began + seconds - time.monotonic()))


def wait_ready(address: str) -> None:
    """Waits until the courier is ready; raises NotMeasuredError if it does not become ready."""
    for _ in range(READY_TRIES):
        try:
            if send_request(address, "GET", "/-/ready")[0] == 200:
                return
        except OSError:
            pass
        time.sleep(READY_PAUSE_S)
    raise NotMeasuredError("courier did not become ready")


def measure_usage(
    rate: float, address: str, destinations: list[DemoPartner], process_id: int
) -> ResourceUsage:
    """Measures one run against the courier at that address."""
    wait_ready(address)
    client = Client(address)
    client.run(rate, SETTLE_S)  # warm-up: first connections and code paths
    cpu_before, began = process_cpu(process_id), time.monotonic()
    client.run(rate, SECONDS)
    cpu_seconds = process_cpu(process_id) - cpu_before
    elapsed = time.monotonic() - began
    time.sleep(SETTLE_S)
    if (delivered := sum(len(destination.delivered) for destination in destinations)) != client.event_count:
        raise NotMeasuredError(f"{delivered} of {client.event_count} events were delivered")
    return ResourceUsage(cpu_seconds * 1000.0 / elapsed, process_resident(process_id))


def run_once(rate: float) -> ResourceUsage:
    """Starts a courier, its destinations and a client, measures one run and stops them."""
    destinations, notices, address = (
        [DemoPartner(str(number)) for number in range(3)],
        Notices(),
        f"127.0.0.1:{free_port()}",
    )
    servers = (*destinations, notices)
    for server in servers:
        threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()
    with tempfile.TemporaryDirectory(prefix="calicopin-traffic-") as folder:
        path = os.path.join(folder, "courier.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(configuration(address, f"127.0.0.1:{notices.server_address[1]}", destinations))
        with open(os.path.join(folder, "log"), "wb") as log:
            courier = subprocess.Popen([sys.executable, "-m", "calicopin", "run", path], stderr=log)
        try:
            return measure_usage(rate, address, destinations, courier.pid)
        finally:
            courier.terminate()
            courier.wait(10)
            for server in servers:
                server.shutdown()
                server.server_close()


TIME = Measure("processor time of a courier a second", "ms", "event a second")
MEMORY = Measure("resident memory of a courier", "bytes", "event a second")


def main() -> int:
    """Runs the measurement; returns exit code 0, or 1 if a run is void."""
    parser = argparse.ArgumentParser(prog="python -m calicopin.capacity.traffic", description=__doc__)
    parser.add_argument("--json", metavar="FILE", help="write the record to this file")
    parser.add_argument("--repeats", type=int, default=REPEATS)
    parser.add_argument("--rate", type=int, action="append", help="other rates, three or more")
    arguments = parser.parse_args()
    rates, samples = tuple(arguments.rate or RATES), {TIME: [], MEMORY: []}
    record = start_record("traffic", {"rates": rates, "repeats": arguments.repeats, "seconds": SECONDS})
    try:
        for repeat in range(arguments.repeats):
            for rate in rates:
                print(f"{rate} events a second, repeat {repeat + 1} of {arguments.repeats}", file=sys.stderr)
                usage = run_once(rate)
                samples[TIME].append((rate, usage.core_ms_per_second))
                samples[MEMORY].append((rate, usage.resident_bytes))
    except NotMeasuredError as error:
        print(f"void: {error}", file=sys.stderr)
        return 1
    record.finish([fit_line(measure, samples[measure]) for measure in (TIME, MEMORY)], arguments.json)
    return 0


if __name__ == "__main__":
    sys.exit(main())
