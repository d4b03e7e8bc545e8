"""`python -m calicopin.scale fault`: faults of discovery nodes and couriers, with a verdict on each."""

import time

import click

from calicopin.scale import faults, results, simulated_couriers
from calicopin.scale.faults import Fault, FaultPlan, FaultRun
from calicopin.scale.nodes import NodeError
from calicopin.scale.options import (
    LATE_BOUND,
    MEMORY,
    OUTPUT,
    PROCESSES,
    SEED,
    Progress,
    allowed,
    end_on_sigterm,
    finish_load,
    stop,
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
@LATE_BOUND
@MEMORY
@PROCESSES
@OUTPUT
def fault(names, nodes, destinations, couriers, rate, during, seed, late_bound, memory_mib, processes, path):
    """A node killed, all gone and back, a tenth of the couriers restarted, a half-open node; all of them, or
    NAMES.

    Changes go on meanwhile. Each has to be in force within 12 s of a node's reach, and at the end every
    courier has to know exactly what the source has; else the exit code is 1. Exit code 3: the run is void,
    its generator was late.
    """
    plans = [
        FaultPlan(Fault(name), nodes, destinations, couriers, rate, seed, during=during)
        for name in names or [each.value for each in Fault]
    ]
    allowed(faults.estimate(plans[0]), memory_mib, processes)
    try:
        simulated_couriers.check_descriptors(couriers)
    except simulated_couriers.DescriptorsError as refusal:
        stop(str(refusal))
    arguments = {
        "names": [plan.fault.value for plan in plans],
        "nodes": nodes,
        "destinations": destinations,
        "couriers": couriers,
        "rate": rate,
        "during_s": during,
        "late_bound_ms": late_bound,
    }
    run, began, most_late = results.begin("fault", arguments, seed), time.monotonic(), 0.0
    end_on_sigterm()
    with Progress() as progress:
        for plan in plans:
            try:
                outcome = FaultRun(plan, progress).run()
            except NodeError as failure:
                stop(f"{plan.fault}: {failure}")
            most_late = max(most_late, outcome.most_late)
            run.faults += [f"{plan.fault}: {line}" for line in outcome.faults]
            for one in outcome.figures:
                named = f"{plan.fault}: {one.figure}"
                run.figures.append(results.Figure(named, one.unit, one.value, one.bound, one.note))
    finish_load(run, began, path, most_late, late_bound)
