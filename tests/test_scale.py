"""Parts of the scale tests: fits, limits, list source and small measurements. No test asserts times."""

import io
import json
from dataclasses import replace

import pytest
from click.testing import CliRunner

from calicopin.scale import fit, guard, measures, sender_count
from calicopin.scale.__main__ import main
from calicopin.scale.list_source import ChangeSource, ListSize, entries, head, write


def test_fit_line_returns_slope_intercept_and_residual():
    samples = [fit.Sample(size, 3.0 * size + 7.0) for size in (1, 10, 100)]
    line = fit.fit_line(samples)
    assert line.slope == pytest.approx(3.0) and line.intercept == pytest.approx(7.0)
    assert line.residual == pytest.approx(0.0, abs=1e-9)


def test_quadratic_samples_have_a_large_residual():
    line = fit.fit_line([fit.Sample(size, size * size) for size in (1.0, 10.0, 100.0)])
    assert line.residual_share > 0.05


def test_a_fit_needs_three_sizes():
    with pytest.raises(ValueError, match="3 sizes"):
        fit.fit_line([fit.Sample(1, 1), fit.Sample(2, 2), fit.Sample(2, 3)])


def test_spreads_and_percentiles():
    rows = fit.spreads([fit.Sample(2, 5.0), fit.Sample(1, 3.0), fit.Sample(1, 1.0), fit.Sample(1, 2.0)])
    assert [(row.size, row.repeats, row.median, row.least, row.most) for row in rows] == [
        (1, 3, 2.0, 1.0, 3.0),
        (2, 1, 5.0, 5.0, 5.0),
    ]
    values = [float(number) for number in range(1, 101)]
    assert [fit.percentile(values, share) for share in (0.0, 0.5, 0.99, 1.0)] == [1.0, 50.0, 99.0, 100.0]
    assert fit.percentile([4.0], 0.99) == 4.0


def test_a_run_over_its_limits_is_refused():
    allowed = guard.Bounds(memory=1000, processes=10)
    guard.check(guard.Estimate(1000, 10), allowed)
    with pytest.raises(guard.RunRefusedError, match="memory"):
        guard.check(guard.Estimate(1001, 1), allowed)
    with pytest.raises(guard.RunRefusedError, match="processes"):
        guard.check(guard.Estimate(1, 11), allowed)


def test_limits_are_capped_at_half_of_the_machine_memory():
    most = guard.bounds(10**9, 10**9)
    assert most.memory == int(guard.machine_memory() * 0.5)
    assert most.processes == guard.MAX_PROCESSES


def test_a_command_over_its_limits_prints_one_line_and_exits_with_2():
    done = CliRunner().invoke(main, ["slopes", "list", "--size", "100000000"])
    assert done.exit_code == 2
    assert done.stderr.startswith("refused: the run would take some") and done.stderr.count("\n") == 1


def test_the_same_seed_generates_the_same_list():
    size = ListSize(200, endpoints_per_destination=2, down_share=0.1)
    first, second, other = io.StringIO(), io.StringIO(), io.StringIO()
    write(first, "lahore", size, 7)
    write(second, "lahore", size, 7)
    write(other, "lahore", size, 8)
    assert first.getvalue() == second.getvalue() != other.getvalue()
    lines = first.getvalue().splitlines()
    assert json.loads(lines[0]) == {"form": 1, "fleet": "lahore"} == json.loads(head("lahore"))
    listed = [json.loads(line) for line in lines[1:]]
    assert len(listed) == 400 and len({entry["id"] for entry in listed}) == 400
    assert 0 < sum(entry["state"] == "left" for entry in listed) < 80


def test_each_change_differs_from_the_initial_entry_and_no_destination_changes_twice():
    size = ListSize(100, down_share=0.2)
    known = {entry["cell"]: entry for entry in entries(size, 1)}
    source, seen = ChangeSource(size, 1, draw_seed=3, preferred=range(40), preferred_share=0.5), set()
    for _ in range(50):
        change = source.next()
        entry = json.loads(change.line)
        assert (entry["cell"], entry["state"]) == (change.destination, change.state)
        assert entry != known[change.destination]
        assert known[change.destination]["state"] == "active" or change.state == "active"
        assert change.destination not in seen
        seen.add(change.destination)
    assert sum(destination < 40 for destination in seen) > 20
    with pytest.raises(LookupError, match="fewer changes"):
        for _ in range(100):
            source.next()


def test_rate_cost_delivers_all_messages():
    figures = measures.rate_cost(33, seed=1, seconds=2.0)
    assert figures["delivered"] == figures["offered"] == 66


def test_journal_bytes_are_proportional_to_the_messages():
    few, many = measures.journal_bytes(50, 1), measures.journal_bytes(100, 1)
    assert few["delivered"] == 50 and many["delivered"] == 100
    assert 1.9 < many["bytes"] / few["bytes"] < 2.1


def test_an_overstated_sender_count_reduces_deliveries():
    scenario = sender_count.Scenario(reported_senders=20, seconds=10.0)
    exact = sender_count.simulate(scenario, seed=1)
    overstated = sender_count.simulate(replace(scenario, reported_senders=19_000), seed=1)
    assert exact.offered == overstated.offered
    assert exact.delivered + exact.undelivered == pytest.approx(1.0)
    assert overstated.delivered + overstated.undelivered == pytest.approx(1.0)
    assert exact.revenue > overstated.revenue
    assert exact == sender_count.simulate(scenario, seed=1)
