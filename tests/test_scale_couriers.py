"""Real couriers with traffic under faults, in small; and that the verdict sees what it is there for."""

import json

import pytest
from click.testing import CliRunner

from calicopin.scale import couriers
from calicopin.scale.__main__ import main
from calicopin.scale.couriers import LEAVE_DEADLINE_S, CouriersRun, Plan
from calicopin.scale.standin import Arrival

PLAN = Plan(couriers=0, nodes=2, destinations=10, used=1, rate=1.0, seconds=1.0, seed=1)


@pytest.fixture
def judged(tmp_path, monkeypatch):
    """A function that judges a run without processes: its accepted messages, calls and announced leaves."""
    monkeypatch.setattr(couriers, "END_TIMEOUT_S", 0.0)
    couriers_run = CouriersRun(PLAN, tmp_path)

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
        couriers_run.clients, couriers_run.couriers = [StubClient(set(accepted))], [StubCourier()]
        couriers_run.first_server.arrivals, couriers_run.announced_leaves = (
            list(arrivals),
            dict(announced_leaves),
        )
        couriers_run.notices.ended = dict.fromkeys(ended, "dead")
        return couriers_run._evaluate(1.0)

    yield evaluate
    couriers_run.close()


def test_a_message_without_an_end_is_a_fault(judged):
    assert judged(["a-1"], [Arrival("a-1", 1, 5.0)]).faults == []
    assert judged(["a-1"], [], ended=["a-1"]).faults == []
    assert judged(["a-1"], []).faults == ["a-1 was taken on and has no end"]


def test_a_message_that_was_called_twice_is_a_fault(judged):
    calls = [Arrival("a-1", 1, 5.0), Arrival("a-1", 1, 6.0)]
    assert judged(["a-1"], calls).faults == ["a-1 was called 2 times"]


def test_a_call_to_an_endpoint_that_left_longer_ago_than_is_allowed_is_a_fault(judged):
    late = LEAVE_DEADLINE_S + couriers.CALL_TIME_ALLOWANCE_S
    assert judged(["a-1"], [Arrival("a-1", 1, 10.0 + late - 0.01)], {1: 10.0}).faults == []
    (fault,) = judged(["a-1"], [Arrival("a-1", 1, 10.0 + late + 0.01)], {1: 10.0}).faults
    assert "went to an endpoint that left" in fault
    assert judged(["a-2"], [Arrival("a-2", 2, 100.0)], {1: 10.0}).faults == []


def test_couriers_with_traffic_lose_and_double_nothing_while_a_node_and_a_courier_are_killed(tmp_path):
    path = tmp_path / "record.json"
    arguments = "couriers --couriers 2 --nodes 2 --destinations 60 --used 10 --rate 5 --seconds 6"
    done = CliRunner().invoke(main, [*arguments.split(), "--json", str(path)])
    record = json.loads(path.read_text())
    assert done.exit_code == 0 and record["faults"] == [], done.output
    (row,) = record["rows"]
    assert row["leaves"] > 0 and row["delivered"] + row["told_undelivered"] >= row["accepted"] > 30


def test_runs_over_the_bounds_are_refused_before_they_begin():
    done = CliRunner().invoke(main, ["couriers", "--processes", "5"])
    assert done.exit_code == 2 and "refused" in done.output
    done = CliRunner().invoke(main, ["couriers", "--destinations", "10", "--used", "11"])
    assert done.exit_code == 2 and done.output.startswith("--used")
