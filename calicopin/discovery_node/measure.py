"""Measures a node's components in one process without sockets: `python -m calicopin.discovery_node.measure`.

A generated list is loaded, couriers subscribe to disjoint sets, and destinations change one by one.
Processor time is that of this process; memory is the growth of its resident size.
"""

import json
import os
import random
import tempfile
import time
from collections.abc import Iterator
from dataclasses import asdict, dataclass

import click

from calicopin.discovery_node.catalogue import Catalogue
from calicopin.discovery_node.entry import decode_entry
from calicopin.discovery_node.source import open_source
from calicopin.discovery_node.status import resident_bytes
from calicopin.subscription.leases import LeaseBounds, LeaseTable, LeaseUpdate
from calicopin.subscription.messages import (
    Grant,
    SubscribeRequest,
    decode_request,
    encode_answer,
    encode_request,
)

FLEET = "measured"
MICROSECONDS = 1e6


@dataclass(frozen=True, slots=True)
class Cost:
    """The results of one run."""

    destinations: int
    couriers: int
    subscriptions: int
    source_bytes: int
    load_cpu_s: float
    load_resident_bytes: int
    open_cpu_us: float
    lease_bytes_per_subscription: float
    full_answer_bytes: int
    change_cpu_us: float
    change_resident_bytes: float
    change_leases_looked_at: float
    change_rows_looked_at: float


@dataclass(frozen=True, slots=True)
class LeaseOpeningCost:
    """The cost of granting all leases."""

    cpu_s: float
    resident_bytes: int
    largest_answer: int


def make_entry(number: int, state: str = "active") -> bytes:
    """An entry of an endpoint for the destination of the same number."""
    fields = {
        "id": f"s-{number}",
        "addr": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8080",
        "cell": number,
        "kind": "web",
        "zone": f"z{number % 17}",
        "state": state,
        "weight": 1.0,
    }
    return json.dumps(fields, separators=(",", ":")).encode()


def write_source(path: str, destinations: int) -> None:
    """Writes a source file with one endpoint for each destination."""
    with open(path, "wb") as file:
        file.write(json.dumps({"form": 1, "fleet": FLEET}).encode() + b"\n")
        for number in range(destinations):
            file.write(make_entry(number) + b"\n")


def load(path: str) -> Catalogue:
    """Loads the file as a node does."""
    file = open_source(path, FLEET)
    catalogue = Catalogue(file.size_at_open)
    for _ in catalogue.load(file.lines(file.size_at_open)):
        pass
    file.close()
    return catalogue


def disjoint_sets(destinations: int, couriers: int, each: int, seed: int) -> Iterator[tuple[int, ...]]:
    """Random disjoint sets of destinations."""
    numbers = random.Random(seed).sample(range(destinations), couriers * each)
    for at in range(0, len(numbers), each):
        yield tuple(numbers[at : at + each])


def answer(catalogue: Catalogue, update: LeaseUpdate) -> bytes:
    """The encoded body of the answer."""
    servers = [entry for destination in update.destinations for entry in catalogue.entries(destination)]
    grant = Grant(FLEET, "n1", update.lease, update.sequence, 30_000.0, update.destinations)
    return encode_answer(update.full, update.version, servers, grant)


def change_one(catalogue: Catalogue, table: LeaseTable, number: int) -> None:
    """Marks one destination's endpoint as leaving and answers every lease that subscribes to it."""
    data = make_entry(number, "leaving")
    for name in table.change(catalogue.apply(decode_entry(data), data)):
        answer(catalogue, table.answer_waiting(name))


def measure(destinations: int, couriers: int, each: int, changes: int, seed: int) -> Cost:
    """Runs one measurement."""
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "list.log")
        write_source(path, destinations)
        size, resident_before, started_at = os.path.getsize(path), resident_bytes(), time.process_time()
        catalogue = load(path)
        load_cpu, load_resident = time.process_time() - started_at, resident_bytes() - resident_before
    table = LeaseTable(FLEET, "n1", "run", LeaseBounds(leases=max(couriers, 1024)))
    requests = [
        encode_request(SubscribeRequest(FLEET, f"c-{number}", subscribe=wanted))
        for number, wanted in enumerate(disjoint_sets(destinations, couriers, each, seed))
    ]
    opening = open_all(catalogue, table, requests)
    subscribed = table.subscribed()
    changed = random.Random(seed).sample(subscribed, min(changes, len(subscribed)))
    leases, rows = table.examined_leases, catalogue.examined_rows
    resident_before, started_at = resident_bytes(), time.process_time()
    for number in changed:
        change_one(catalogue, table, number)
    change_cpu, change_resident = time.process_time() - started_at, resident_bytes() - resident_before
    return Cost(
        destinations=destinations,
        couriers=couriers,
        subscriptions=table.subscriptions,
        source_bytes=size,
        load_cpu_s=round(load_cpu, 2),
        load_resident_bytes=load_resident,
        open_cpu_us=round(opening.cpu_s * MICROSECONDS / couriers, 1),
        lease_bytes_per_subscription=round(opening.resident_bytes / table.subscriptions, 1),
        full_answer_bytes=opening.largest_answer,
        change_cpu_us=round(change_cpu * MICROSECONDS / len(changed), 1),
        change_resident_bytes=round(change_resident / len(changed), 1),
        change_leases_looked_at=round((table.examined_leases - leases) / len(changed), 3),
        change_rows_looked_at=round((catalogue.examined_rows - rows) / len(changed), 3),
    )


def open_all(catalogue: Catalogue, table: LeaseTable, requests: list[bytes]) -> LeaseOpeningCost:
    """Grants a lease for each request."""
    resident_before, started_at, largest = resident_bytes(), time.process_time(), 0
    for body in requests:
        update = table.request(0.0, decode_request(body), None)
        largest = max(largest, len(answer(catalogue, update)))
    return LeaseOpeningCost(time.process_time() - started_at, resident_bytes() - resident_before, largest)


@click.command(context_settings={"help_option_names": ["-h", "--help"]})
@click.option("--destinations", type=click.IntRange(min=100), default=1_700_000, show_default=True)
@click.option("--couriers", type=click.IntRange(min=1), default=613, show_default=True)
@click.option(
    "--each", type=click.IntRange(min=1), default=90, show_default=True, help="Destinations of a courier."
)
@click.option("--changes", type=click.IntRange(min=1), default=11_000, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def main(destinations, couriers, each, changes, seed):
    """Prints the costs of a node's parts as JSON; takes some 200 bytes of memory for each destination."""
    if couriers * each > destinations:
        raise click.UsageError("--couriers times --each must not pass --destinations: the sets are disjoint")
    click.echo(json.dumps(asdict(measure(destinations, couriers, each, changes, seed)), indent=1))


if __name__ == "__main__":
    main()
