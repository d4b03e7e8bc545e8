"""A small run of real couriers with traffic under faults, and the faults that the verdict detects."""

import json

import pytest
from click.testing import CliRunner

from calicopin.scale import couriers
from calicopin.scale.__main__ import main
from calicopin.scale.couriers import LEAVE_DEADLINE_S, CouriersRun, Plan
from calicopin.scale.standin import Arrival

PLAN = Plan(couriers=0, nodes=2, destinations=10, used=1, rate=1.0, seconds=1.0, seed=1)


@pytest.fixture
def evaluate_run(tmp_path, monkeypatch):
    """A function that evaluates a run without processes: accepted messages, calls and announced leaves."""
    monkeypatch.setattr(couriers, "END_TIMEOUT_S", 0.0)
    courier_run = CouriersRun(PLAN, tmp_path)

    class StubClient:
        refused = unanswered = 0

        def __init__(self, accepted):
            self.accepted = accepted

    class StubCourier:
        def resident_bytes(self):
            return 0

        def subscription(self):
            return {"bytes_sent": 0, "bytes_received": 0}

        def end(self):
            pass

    def evaluate(accepted, arrivals, announced_leaves=(), ended=()):
        courier_run.clients, courier_run.couriers = [StubClient(set(accepted))], [StubCourier()]
        courier_run.first_server.arrivals, courier_run.announced_leaves = (
            list(arrivals),
            dict(announced_leaves),
        )
        courier_run.notices.ended = dict.fromkeys(ended, "dead")
        return courier_run._evaluate(1.0)

    yield evaluate
    courier_run.close()


def test_a_message_without_a_final_outcome_is_a_fault(evaluate_run):
    assert evaluate_run(["a-1"], [Arrival("a-1", 1, 5.0)]).faults == []
    assert evaluate_run(["a-1"], [], ended=["a-1"]).faults == []
    assert evaluate_run(["a-1"], []).faults == ["a-1 was taken on and has no end"]


def test_a_second_call_of_a_message_is_a_fault(evaluate_run):
    calls = [Arrival("a-1", 1, 5.0), Arrival("a-1", 1, 6.0)]
    assert evaluate_run(["a-1"], calls).faults == ["a-1 was called 2 times"]


def test_a_call_to_a_left_endpoint_after_the_deadline_is_a_fault(evaluate_run):
    late = LEAVE_DEADLINE_S + couriers.CALL_TIME_ALLOWANCE_S
    assert evaluate_run(["a-1"], [Arrival("a-1", 1, 10.0 + late - 0.01)], {1: 10.0}).faults == []
    (fault,) = evaluate_run(["a-1"], [Arrival("a-1", 1, 10.0 + late + 0.01)], {1: 10.0}).faults
    assert "went to an endpoint that left" in fault
    assert evaluate_run(["a-2"], [Arrival("a-2", 2, 100.0)], {1: 10.0}).faults == []


def test_no_message_is_lost_or_sent_twice_while_a_node_and_a_courier_are_killed(tmp_path):
    path = tmp_path / "record.json"
    arguments = "couriers --couriers 2 --nodes 2 --destinations 60 --used 10 --rate 5 --seconds 6"
    done = CliRunner().invoke(main, [*arguments.split(), "--json", str(path)])
    record = json.loads(path.read_text())
    assert done.exit_code == 0 and record["faults"] == [], done.output
    (row,) = record["rows"]
    assert row["leaves"] > 0 and row["delivered"] + row["told_undelivered"] >= row["accepted"] > 30


def test_runs_over_the_limits_are_refused_before_they_start():
    done = CliRunner().invoke(main, ["couriers", "--processes", "5"])
    assert done.exit_code == 2 and "refused" in done.output
    done = CliRunner().invoke(main, ["couriers", "--destinations", "10", "--used", "11"])
    assert done.exit_code == 2 and done.output.startswith("--used")
