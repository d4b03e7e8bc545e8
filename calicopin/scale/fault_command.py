"""`python -m calicopin.scale fault`: faults of discovery nodes and couriers, with a verdict on each."""

import time

import click

from calicopin.scale import faults, results, simulated_couriers
from calicopin.scale.faults import Fault, FaultPlan, FaultRun
from calicopin.scale.nodes import NodeError
from calicopin.scale.options import (
    LATENESS_BOUND,
    MEMORY,
    OUTPUT,
    PROCESSES,
    SEED,
    Progress,
    check_limits,
    end_on_sigterm,
    exit_with_error,
    finish_load,
)


@click.command("fault")
@click.argument("names", nargs=-1, type=click.Choice([fault.value for fault in Fault]))
@click.option("--nodes", type=click.IntRange(2, 100), default=4, show_default=True)
@click.option("--destinations", type=click.IntRange(min=100), default=20_000, show_default=True)
@click.option("--couriers", type=click.IntRange(min=1), default=200, show_default=True)
@click.option(
    "--rate", type=click.FloatRange(min=0.1), default=10.0, show_default=True, help="Changes a second."
)
@click.option(
    "--during",
    type=click.FloatRange(min=1.0),
    default=12.0,
    show_default=True,
    help="Seconds that a fault lasts.",
)
@SEED
@LATENESS_BOUND
@MEMORY
@PROCESSES
@OUTPUT
def fault(names, nodes, destinations, couriers, rate, during, seed, late_bound, memory_mib, processes, path):
    """Kill a node, kill and restart all nodes, restart a tenth of the couriers, suspend a node; or NAMES.

    The list keeps changing. Each change must be in force 12 s after a node is reachable, and at the end every
    courier must know exactly the endpoints of the source; otherwise the exit code is 1. Exit code 3: the run
    is void because the load generator was late.
    """
    plans = [
        FaultPlan(Fault(name), nodes, destinations, couriers, rate, seed, during=during)
        for name in names or [each.value for each in Fault]
    ]
    check_limits(faults.estimate(plans[0]), memory_mib, processes)
    try:
        simulated_couriers.check_descriptors(couriers)
    except simulated_couriers.DescriptorsError as refusal:
        exit_with_error(str(refusal))
    arguments = {
        "names": [plan.fault.value for plan in plans],
        "nodes": nodes,
        "destinations": destinations,
        "couriers": couriers,
        "rate": rate,
        "during_s": during,
        "late_bound_ms": late_bound,
    }
    run, began, max_lateness_ms = results.begin("fault", arguments, seed), time.monotonic(), 0.0
    end_on_sigterm()
    with Progress() as progress:
        for plan in plans:
            try:
                outcome = FaultRun(plan, progress).run()
            except NodeError as failure:
                exit_with_error(f"{plan.fault}: {failure}")
            max_lateness_ms = max(max_lateness_ms, outcome.max_lateness_ms)
            run.faults += [f"{plan.fault}: {line}" for line in outcome.faults]
            for measured in outcome.figures:
                full_name = f"{plan.fault}: {measured.figure}"
                run.figures.append(
                    results.Figure(full_name, measured.unit, measured.value, measured.bound, measured.note)
                )
    finish_load(run, began, path, max_lateness_ms, late_bound)
