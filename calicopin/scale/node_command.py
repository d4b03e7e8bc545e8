"""`python -m calicopin.scale node` and `node-slopes`: one discovery node at full size."""

import time

import click

from calicopin.scale import node_run, node_slopes, results, simulated_couriers
from calicopin.scale.node_run import SECONDS_PER_DAY, Group, Load, NodePlan, NodeRun
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

COURIERS_PER_MACHINE = 613  # one control machine
COURIERS_FROM_LOST_MACHINE = 20  # additional ones if one of 31 machines fails
COURIERS_PER_ZONE = 1_118  # all reconnect at once
CHANGES_A_DAY = 11_000


@click.command("node")
@click.option("--destinations", type=click.IntRange(min=100), default=1_700_000, show_default=True)
@click.option(
    "--couriers",
    type=click.IntRange(min=1),
    default=COURIERS_PER_MACHINE,
    show_default=True,
    help="First group.",
)
@click.option(
    "--neighbour",
    type=click.IntRange(min=0),
    default=COURIERS_FROM_LOST_MACHINE,
    show_default=True,
    help="Second group.",
)
@click.option(
    "--zone", type=click.IntRange(min=0), default=COURIERS_PER_ZONE, show_default=True, help="Third group."
)
@click.option("--changes-a-day", type=click.FloatRange(min=1.0), default=CHANGES_A_DAY, show_default=True)
@click.option(
    "--down",
    type=click.FloatRange(0.0, 0.5),
    default=0.037,
    show_default=True,
    help="Share of destinations down.",
)
@click.option(
    "--mean-down",
    type=click.FloatRange(min=1.0),
    default=3600.0,
    show_default=True,
    help="Seconds that a destination is down.",
)
@click.option("--seconds", type=click.FloatRange(min=1.0), default=60.0, show_default=True, help="Each load.")
@SEED
@LATENESS_BOUND
@MEMORY
@PROCESSES
@OUTPUT
def node(
    destinations,
    couriers,
    neighbour,
    zone,
    changes_a_day,
    down,
    mean_down,
    seconds,
    seed,
    late_bound,
    memory_mib,
    processes,
    path,
):
    """One real discovery node with simulated couriers: memory, processor time, bytes, and time until changes
    are in force.

    Three groups of couriers start in turn, each group at once. Each group gets three loads: the changes of a
    day, ten times as many, and those of destinations that go down and return. Every change is of a
    destination that some courier of the run uses, which is more than a node gets of the day's changes. Exit
    code 3: the run is void because the load generator was late.
    """
    groups = [Group(f"{couriers} couriers", couriers)]
    if neighbour:
        groups.append(Group(f"{couriers} + {neighbour} couriers", neighbour))
    if zone:
        groups.append(Group(f"{couriers} + {zone} couriers", zone, end=neighbour))
    day = changes_a_day / SECONDS_PER_DAY
    loads = [Load("changes of a day", day, 2 * seconds), Load("ten times", 10 * day, seconds)]
    if down:
        down_changes = 2.0 * down * destinations / mean_down
        loads.append(Load("down and back", down_changes, seconds, churn=True))
    plan = NodePlan(destinations, tuple(groups), tuple(loads), down, seed)
    check_limits(node_run.estimate(plan), memory_mib, processes)
    try:
        simulated_couriers.check_descriptors(node_run.max_couriers(plan) + neighbour)
    except simulated_couriers.DescriptorsError as fault:
        exit_with_error(str(fault))
    arguments = {
        "destinations": destinations,
        "couriers": couriers,
        "neighbour": neighbour,
        "zone": zone,
        "changes_a_day": changes_a_day,
        "down": down,
        "mean_down_s": mean_down,
        "seconds": seconds,
        "late_bound_ms": late_bound,
    }
    run, began = results.begin("node", arguments, seed), time.monotonic()
    end_on_sigterm()
    try:
        with Progress() as progress:
            outcome = NodeRun(plan, progress).run()
    except NodeError as fault:
        exit_with_error(str(fault))
    run.figures, run.rows, run.faults = outcome.figures, outcome.rows, outcome.faults
    finish_load(run, began, path, outcome.max_lateness_ms, late_bound)


@click.command("node-slopes")
@click.argument("names", nargs=-1, type=click.Choice(list(node_slopes.MEASUREMENTS)))
@click.option(
    "--size", "sizes", type=click.IntRange(min=1), multiple=True, help="Other sizes, three or more."
)
@click.option("--repeats", type=click.IntRange(1, 100), default=3, show_default=True)
@SEED
@MEMORY
@PROCESSES
@OUTPUT
def node_slopes_(names, sizes, repeats, seed, memory_mib, processes, path):
    """A node's memory over destinations, processor time over couriers, cost of a change over list size."""
    chosen = names or tuple(node_slopes.MEASUREMENTS)
    check_limits(node_slopes.estimate(chosen, tuple(sizes)), memory_mib, processes)
    arguments = {"names": list(chosen), "sizes": list(sizes), "repeats": repeats}
    run, began = results.begin("node-slopes", arguments, seed), time.monotonic()
    end_on_sigterm()
    with Progress() as progress:
        for name in chosen:
            other = (tuple(sizes),) if sizes else ()
            run.slopes += node_slopes.MEASUREMENTS[name](repeats, seed, progress, *other)
    finish_load(run, began, path)
