"""Couriers that subscribe to parts of the list at real discovery nodes, in virtual time: the delivery
rules, the further rules on such couriers, and reproducible runs.
"""

import os
import subprocess
import sys
from functools import cache
from itertools import pairwise

import pytest
from loguru import logger

from calicopin.emulator import runs
from calicopin.emulator.faults import SHOWN_BY
from calicopin.emulator.list_referee import (
    INFINITE,
    KnownDestinations,
    ListReferee,
    Party,
    Reachability,
    Span,
)
from calicopin.emulator.nodes import SOURCE, encode
from calicopin.emulator.referee import Referee
from calicopin.emulator.scenario import ScenarioError, load, parse, scenario_names

SCENARIOS = [name for name in scenario_names() if name.startswith("subscriptions")]
FAULTS = [name for name, (scenario, _, _) in SHOWN_BY.items() if scenario in SCENARIOS]


@pytest.fixture(autouse=True)
def no_log_output():
    """Couriers' log lines go to their run only, not to the output of the tests."""
    logger.remove()
    yield
    logger.add(sys.stderr)


@cache
def play_once(name, seed):
    """The simulation and its referee; run once for all tests."""
    return runs.play(load(name), seed)[:2]


def play_without_violation(name, seed):
    """The same, with a check that no rule is broken."""
    simulation, referee = play_once(name, seed)
    assert not referee.violations, list(map(str, referee.violations[:5]))
    return simulation, referee


def recorded(simulation, *kinds):
    """The trace entries of these kinds."""
    return [entry for entry in simulation.world.trace if entry[1] in kinds]


def test_new_and_unsubscribed_and_unknown_destinations():
    simulation, referee = play_without_violation("subscriptions", 1)
    answered, statuses = recorded(simulation, "answered"), [status for _, status in referee.answers.values()]
    assert recorded(simulation, "gives-up"), "destinations are unsubscribed"
    assert any(unknown for *_, unknown in answered) and 404 in statuses, "unknown destinations are requested"
    answer_counts = {}
    for _, _, courier, _, complete, _ in answered:
        for destination in complete:
            answer_counts[courier, destination] = answer_counts.get((courier, destination), 0) + 1
    given_up = {
        (courier, destination)
        for *_, courier, destinations in recorded(simulation, "gives-up")
        for destination in destinations
    }
    assert any(answer_counts.get(one, 0) > 1 for one in given_up), (
        "unsubscribed destinations are subscribed again"
    )
    assert sum(status == 202 for status in statuses) > 400


def test_couriers_keep_sending_by_their_list_while_no_node_runs():
    simulation, referee = play_without_violation("subscriptions-nodes-killed", 1)
    down = max(
        at for at, _, name, *_ in recorded(simulation, "end") if name.startswith("node") and at < 20000.0
    )
    back = min(at for at, _, name in recorded(simulation, "start") if name.startswith("node") and at > down)
    calls_meanwhile = [call for call in referee.calls.values() if down < call.started_at < back]
    restarted = [
        at for at, _, name in recorded(simulation, "start") if name.startswith("courier") and down < at < back
    ]
    assert not [entry for entry in recorded(simulation, "answered") if down + 100.0 < entry[0] < back]
    assert restarted and any(call.started_at > restarted[-1] for call in calls_meanwhile), (
        "by the list in the folder"
    )
    assert len(calls_meanwhile) > 30


def test_a_courier_cut_off_from_its_node_switches_to_another_within_six_seconds():
    simulation, referee = play_without_violation("subscriptions-partition", 1)
    (at, _, courier, node, _), *_ = recorded(simulation, "cut-off")
    served = [
        entry for entry in recorded(simulation, "answered") if entry[2] == courier and entry[0] > at + 100.0
    ]
    assert served[0][3] != node and served[0][0] < at + 6000.0
    assert len({entry[3] for entry in recorded(simulation, "answered")}) == 3


def test_couriers_restarted_together_call_nobody_before_their_first_answers():
    simulation, referee = play_without_violation("subscriptions-herd", 1)
    starts = [at for at, _, name in recorded(simulation, "start") if name.startswith("courier")]
    most_at_once = max(sum(other == at for other in starts) for at in starts)
    assert most_at_once >= 4, "half of the couriers start at the same time"


def test_a_courier_restarted_while_its_node_is_down_asks_the_next_node_first():
    simulation, _ = play_without_violation("subscriptions-node-down", 1)
    failed = [line for *_, line in simulation.log_lines if "cannot be connected to" in line]
    assert failed, "no courier's first node was down"


def test_a_list_that_is_too_old_is_not_used():
    simulation, referee = play_without_violation("subscriptions-old-list", 1)
    back = min(
        at for at, _, name in recorded(simulation, "start") if name.startswith("node") and at > 10000.0
    )
    late_starts = [(at, name) for at, _, name in recorded(simulation, "start") if 12500.0 < at < back]
    assert late_starts
    for at, name in late_starts:
        assert not [c for c in referee.calls.values() if c.courier == name and at < c.started_at < back]
        assert [c for c in referee.calls.values() if c.courier == name and c.started_at > back]


@pytest.mark.parametrize("name", SCENARIOS)
def test_another_seed_causes_no_violation_and_each_list_is_compared_at_the_end(name):
    simulation, _ = play_without_violation(name, 2)
    judged = ListReferee(simulation, Referee(simulation))
    assert not judged.referee.violations
    assert judged.destinations_compared > 3 * len(simulation.couriers)
    assert judged.leaves_judged > 0


@pytest.mark.parametrize("seed", range(4, 9))
def test_random_troubles_cause_no_violation(seed):
    play_without_violation("subscriptions-mixed", seed)


def test_the_faults_of_subscriptions_are_registered():
    """tests/test_emulator.py checks that each is detected by its scenario."""
    assert {SHOWN_BY[name][0] for name in FAULTS} == set(SCENARIOS) - {
        "subscriptions-mixed",
        "subscriptions-nodes-killed",
    }
    assert len(FAULTS) == 10


def test_the_same_seed_gives_the_same_run_in_any_process():
    seeds = [4, 5]
    script = (
        "import sys; from loguru import logger; logger.remove(); from calicopin.emulator import runs;"
        "from calicopin.emulator.scenario import load;"
        "days = [runs.play(load('subscriptions-mixed'), int(seed))[0] for seed in sys.argv[1:]];"
        "print(*[day.world.digest() for day in days])"
    )
    digests = [play_without_violation("subscriptions-mixed", seed)[0].world.digest() for seed in seeds]
    other_digests = subprocess.run(
        [sys.executable, "-c", script, *map(str, reversed(seeds))],
        capture_output=True,
        text=True,
        env=os.environ | {"PYTHONHASHSEED": "77"},
        check=True,
    ).stdout.split()
    assert digests == other_digests[::-1] and len(set(digests)) == len(seeds)


MINIMAL_SCENARIO = (
    b'version = 1\nname = "a"\nabout = ""\n'
    b'product = [{name = "x", repeat = "resendable"}]\npartner = [{name = "p"}]\n'
)
SCENARIO_WITH_NODES = MINIMAL_SCENARIO + b"[nodes]\ncount = 2\n"


@pytest.mark.parametrize(
    "data,message",
    [
        (MINIMAL_SCENARIO + b"[[trouble]]\nkind = 'node-kill'\nat_s = 9.0\n", "only where nodes.count"),
        (MINIMAL_SCENARIO + b"[nodes]\ncount = 99\n", "$.nodes.count"),
        (
            SCENARIO_WITH_NODES + b"[[trouble]]\nkind = 'node-kill'\nat_s = 9.0\nwhom = 'node:2'\n",
            "there is no node 2",
        ),
        (
            SCENARIO_WITH_NODES + b"[[trouble]]\nkind = 'node-kill'\nat_s = 9.0\nwhom = 'courier:0'\n",
            "affects a node",
        ),
        (
            SCENARIO_WITH_NODES + b"[[trouble]]\nkind = 'withdraw'\nat_s = 9.0\nwhom = 'node:0'\n",
            "affects a destination",
        ),
        (SCENARIO_WITH_NODES + b"[[trouble]]\nkind = 'publish'\nat_s = 9.0\n", "named by its number"),
        (SCENARIO_WITH_NODES + b"[[trouble]]\nkind = 'courier-herd'\nat_s = 9.0\nsize = 2.0\n", "is a share"),
    ],
)
def test_an_invalid_scenario_is_reported_with_file_and_place(data, message):
    with pytest.raises(ScenarioError) as error:
        parse(data, "f.toml")
    assert message in str(error.value) and "\n" not in str(error.value)


def test_a_leave_is_due_after_six_seconds_of_reach_to_one_node():
    assert Reachability([[]]).update_due(100.0) == 6100.0
    assert Reachability([[Span(0.0, 500.0)]]).update_due(100.0) == 6500.0
    assert Reachability([[Span(3000.0, 4000.0)]]).update_due(100.0) == 10000.0
    assert Reachability([[Span(3000.0, 4000.0)], [Span(0.0, 2000.0)]]).update_due(100.0) == 8000.0
    assert Reachability([[Span(50.0, INFINITE)]]).update_due(100.0) == INFINITE


def test_a_party_is_silent_before_its_start_between_processes_and_while_suspended():
    party = Party([10.0, 50.0], [40.0, 90.0], [Span(20.0, 25.0)])
    assert party.silent() == [Span(0.0, 10.0), Span(40.0, 50.0), Span(90.0, INFINITE), Span(20.0, 25.0)]
    assert party.process_start(45.0) == 10.0 and party.process_start(50.0) == 50.0


def test_an_unsubscribed_destination_counts_as_unknown():
    known = KnownDestinations()
    assert not known.is_known(7, 10.0)
    known.known_at[7] += [5.0, 30.0]
    known.unsubscribed_at[7].append(20.0)
    assert known.is_known(7, 10.0)
    assert not known.is_known(7, 25.0)
    assert known.is_known(7, 31.0)


def test_sources_hold_the_changes_in_order_and_a_replaced_one_is_short():
    simulation, _ = play_without_violation("subscriptions", 1)
    for node in simulation.nodes.processes:
        serials = [entry[2] for entry in recorded(simulation, "source") if entry[3] == node.name]
        assert all(one < other for one, other in pairwise(serials))
        lines = bytes(node.disk.files[SOURCE]).splitlines()
        assert lines[0] + b"\n" == encode({"form": 1, "fleet": "emulated"})
        assert len(lines) < 1 + len(simulation.nodes.initial_entries) + len(serials), (
            "the source was replaced"
        )
