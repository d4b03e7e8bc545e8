"""`python -m calicopin.scale courier`: one real courier with the whole list, and with a subscription."""

import tempfile
import time
from pathlib import Path

import click

from calicopin.scale import guard, one_courier, results
from calicopin.scale.one_courier import MeasureError, Plan, Subscription, WholeList
from calicopin.scale.options import (
    MEMORY,
    OUTPUT,
    PROCESSES,
    SEED,
    Progress,
    check_limits,
    end_on_sigterm,
    exit_with_error,
    finish,
)

MAX_WHOLE_LIST = 55_000  # destinations; a courier reads at most 8 MiB of list
LIST_BYTES_PER_DESTINATION = 10_000  # memory of the courier and the stub agent
NODE_BYTES_PER_DESTINATION = 400  # memory of a node
CONCURRENT_PROCESSES = 3


@click.command("courier")
@click.option("--destinations", type=click.IntRange(100, MAX_WHOLE_LIST), default=50_000, show_default=True)
@click.option(
    "--all-destinations",
    type=click.IntRange(min=0),
    default=1_700_000,
    show_default=True,
    help="List size of one more subscribing courier; 0 for none.",
)
@click.option("--used", type=click.IntRange(min=1), default=90, show_default=True)
@click.option("--changes", type=click.FloatRange(min=0.01), default=1.27, show_default=True, help="A second.")
@click.option("--seconds", type=click.FloatRange(min=1.0), default=30.0, show_default=True)
@click.option("--in-force", type=click.IntRange(min=1), default=20, show_default=True, help="Changes timed.")
@SEED
@MEMORY
@PROCESSES
@OUTPUT
def courier(
    destinations, all_destinations, used, changes, seconds, in_force, seed, memory_mib, processes, path
):
    """One real courier: the whole list, a subscription to part of it, and one to part of a larger list."""
    if used > destinations or in_force > used:
        exit_with_error("--used is at most --destinations, --in-force at most --used")
    needed = max(destinations * LIST_BYTES_PER_DESTINATION, all_destinations * NODE_BYTES_PER_DESTINATION)
    check_limits(guard.Estimate(needed, CONCURRENT_PROCESSES), memory_mib, processes)
    end_on_sigterm()
    arguments = {
        "destinations": destinations,
        "all_destinations": all_destinations,
        "used": used,
        "changes": changes,
        "seconds": seconds,
        "in_force": in_force,
    }
    run, began = results.begin("courier", arguments, seed), time.monotonic()
    cases = [(WholeList, destinations), (Subscription, destinations)]
    if all_destinations:
        cases.append((Subscription, all_destinations))
    figures = []
    with Progress() as progress, tempfile.TemporaryDirectory(prefix="calicopin-scale-") as folder:
        for number, (provider_class, size) in enumerate(cases):
            progress(f"{provider_class.name} of {size} destinations")
            plan = Plan(size, used, changes, seconds, in_force, seed)
            try:
                figures.append(one_courier.measure(plan, provider_class, Path(folder) / str(number)))
            except MeasureError as fault:
                run.void = str(fault)
                break
    run.rows = one_courier.rows(figures)
    finish(run, began, path)
