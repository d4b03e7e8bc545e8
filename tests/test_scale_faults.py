"""Small runs of node and courier faults with real nodes on loopback. No test asserts times."""

import json
import os
import signal
import subprocess
import sys
import time
from dataclasses import replace

import pytest

from calicopin.scale.faults import Fault, FaultPlan, FaultRun, estimate
from calicopin.scale.nodes import ROOT
from calicopin.scale.simulated_couriers import SimulatedCourier, SimulatedFleet

SMALL = FaultPlan(
    Fault.NODE_KILLED,
    nodes=3,
    destinations=300,
    couriers=12,
    per_second=20.0,
    seed=2,
    lead=1.0,
    during=1.0,
    after=1.0,
    bound=float("inf"),
    endpoints_per_destination=2,
    min_gap_ms=1500.0,
    settle_timeout=60.0,
)

LOSING_NODE = """
import sys
from calicopin.discovery_node.catalogue import Catalogue

apply, count = Catalogue.apply, [0]

def losing(self, entry, data):
    count[0] += 1
    return set() if count[0] % 5 == 0 else apply(self, entry, data)

Catalogue.apply = losing
from calicopin.command.__main__ import main
main(["discovery-node", *sys.argv[1:]])
"""


def no_progress(_):
    """Discards progress lines."""


def figure(outcome, name):
    return next(one.value for one in outcome.figures if one.figure == name)


@pytest.mark.parametrize("fault", list(Fault))
def test_after_a_fault_every_courier_matches_the_source(fault):
    outcome = FaultRun(replace(SMALL, fault=fault), no_progress).run()
    assert outcome.faults == [] and outcome.holds
    assert outcome.differences.couriers == 12 and outcome.differences.none
    assert len(outcome.pairs) > 50 and all(pair.at is not None for pair in outcome.pairs)
    assert len({pair.change.revision for pair in outcome.pairs}) > 15
    assert figure(outcome, "never in force") == 0


def test_all_couriers_of_a_killed_node_move_to_other_nodes():
    outcome = FaultRun(SMALL, no_progress).run()
    lost, before = (
        figure(outcome, "couriers of the killed node"),
        figure(outcome, "couriers of the rest before"),
    )
    assert lost + before == 12 and outcome.holds


def test_a_node_fault_affects_its_couriers_and_all_of_them_move():
    """A courier that stays at the failed node is a fault of the run, so `holds` would be false."""
    plan = replace(SMALL, couriers=60)  # enough that each of the three nodes has some
    killed = FaultRun(plan, no_progress).run()
    lost = figure(killed, "couriers of the killed node")
    most = next(one for one in killed.figures if one.figure == "most of them at one of the rest")
    assert killed.holds and lost > 0
    assert sum(json.loads(most.note.removeprefix("all: "))) == lost
    suspended = FaultRun(replace(plan, fault=Fault.HALF_OPEN), no_progress).run()
    assert suspended.holds and figure(suspended, "couriers of the stopped node") > 0


class ForgettingCourier(SimulatedCourier):
    """Courier 0 drops the first entry of each incremental answer, so that it misses changes and leaves."""

    def __init__(self, loop, number, *others):
        super().__init__(loop, number, *others)
        if number == 0:
            learn = self.subscriber.session._learn
            self.subscriber.session._learn = lambda answer, places, released: learn(
                answer, places if answer.full else places[1:], released
            )


class ForgettingFleet(SimulatedFleet):
    """A fleet in which courier 0 loses incremental updates."""

    courier_class = ForgettingCourier


def test_a_courier_that_drops_an_incremental_update_is_detected():
    plan = replace(SMALL, fault=Fault.RESTART_TENTH, per_second=60.0, settle_timeout=2.0)
    outcome = FaultRun(plan, no_progress, ForgettingFleet).run()
    assert not outcome.holds and not outcome.differences.none
    assert outcome.differences.missing > 0


def test_a_node_that_loses_a_change_is_detected():
    losing = (sys.executable, "-c", LOSING_NODE)
    plan = replace(SMALL, fault=Fault.HALF_OPEN, nodes=2, per_second=30.0, settle_timeout=2.0)
    outcome = FaultRun(plan, no_progress, programs=(losing, losing)).run()
    assert not outcome.holds
    assert any("never came into force" in line for line in outcome.faults)
    assert not outcome.differences.none


def test_a_change_over_the_time_bound_is_detected():
    outcome = FaultRun(replace(SMALL, bound=0.0), no_progress).run()
    assert any("took over" in line for line in outcome.faults)


def test_the_estimate_grows_with_couriers_and_nodes():
    assert estimate(replace(SMALL, couriers=2000)).memory > estimate(SMALL).memory
    assert estimate(replace(SMALL, nodes=9)).processes == 11


def test_a_run_ended_by_sigterm_leaves_no_process_and_no_file(tmp_path):
    arguments = ["fault", "node-killed", "--nodes", "2", "--destinations", "100", "--couriers", "2"]
    command = [sys.executable, "-m", "calicopin.scale", *arguments]
    environment = {**os.environ, "TMPDIR": str(tmp_path)}
    process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True, env=environment, cwd=ROOT)
    while "couriers start" not in process.stderr.readline():
        assert process.poll() is None
    started = children(process.pid)
    nodes = [pid for pid in started if "discovery-node" in command_of(pid)]
    assert len(nodes) == 2 and os.listdir(tmp_path)
    process.send_signal(signal.SIGTERM)
    assert process.wait(60) == 128 + signal.SIGTERM
    process.stderr.close()
    assert not any(command_of(pid) for pid in nodes)
    while any(command_of(pid) for pid in started):  # the resource tracker ends after its parent
        time.sleep(0.05)
    assert not os.listdir(tmp_path)


def command_of(pid):
    """The command line of a process; empty if it has ended."""
    try:
        with open(f"/proc/{pid}/cmdline", encoding="utf-8") as file:
            return file.read()
    except OSError:
        return ""


def children(pid):
    """The ids of the child processes of `pid`."""
    found = []
    for entry in os.listdir("/proc"):
        try:
            with open(f"/proc/{entry}/stat", encoding="ascii") as file:
                if int(file.read().rpartition(")")[2].split()[1]) == pid:
                    found.append(entry)
        except (OSError, ValueError):
            continue
    return found
