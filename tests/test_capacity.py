"""Tests of the capacity model: quotients, slopes against their result files, and the generated pages."""

import json
from dataclasses import replace
from importlib.util import find_spec
from pathlib import Path
from statistics import median

import pytest

from calicopin.capacity import backlog, courier, encoded, faults, model, node, page, ranking, records, slopes
from calicopin.capacity.figures import Figure, Unit, Use, format_number, format_value
from calicopin.capacity.size import PLANNED_SIZE, Shape, Size
from calicopin.capacity.slope import SIGNIFICANT_DIGITS, Basis, Kind, Slope
from calicopin.capacity.slopes import all_slopes
from calicopin.scale.__main__ import main as scale_commands
from calicopin.subscription import messages

ROOT = Path(__file__).resolve().parents[1]


@pytest.mark.parametrize("path", [page.PAGE, page.DESIGN_NOTE], ids=lambda path: path.name)
def test_generated_part_of_the_page_is_up_to_date(path):
    text = path.read_text(encoding="utf-8")
    assert page.with_generated(text, page.pages(PLANNED_SIZE)[path]) == text


def test_page_changes_with_the_size():
    assert page.generated(replace(PLANNED_SIZE, destinations=1.8e6)) != page.generated(PLANNED_SIZE)


def test_page_without_markers_is_rejected():
    with pytest.raises(page.NoMarkersError):
        page.with_generated("# Capacity\n", "made\n")


def test_text_outside_the_markers_is_kept():
    text = f"before\n{page.BEGIN}\nSTALE LINE\n{page.END}\nafter\n"
    new = page.with_generated(text, "made\n")
    assert new.startswith("before\n") and new.endswith("\nafter\n") and "STALE LINE" not in new


def test_simple_quotients():
    size = PLANNED_SIZE
    assert round(size.events_per_courier) == 132
    assert round(size.waiting_per_courier / 1e6, 2) == 2.05
    assert round(size.destinations_down) == 62_900
    assert round(size.seconds_per_change, 1) == 7.9
    assert round(size.couriers_per_node) == 613
    assert round(size.couriers_per_zone) == 1_118
    assert round(size.nodes_per_zone) == 2
    assert round(size.backlog_intake_s / 3600.0, 1) == 4.3
    assert round(size.destinations_per_courier) in (89, 90)
    assert round(size.couriers / (size.control_machines - 1)) == 633


def recorded_value(slope: Slope) -> float:
    """Returns the value of a slope's figure in its result file."""
    result = json.loads((ROOT / slope.run.file).read_text(encoding="utf-8"))
    if slope.run.kind == Kind.ROW:
        key = (slope.run.row.couriers, slope.run.row.load)
        (row,) = [entry for entry in result["rows"] if (entry["couriers"], entry["load"]) == key]
        return row[slope.run.figure]
    if slope.run.kind == Kind.VALUE:
        return next(entry["value"] for entry in result["figures"] if entry["figure"] == slope.run.figure)
    figure = next(entry for entry in result["slopes"] if entry["figure"] == slope.run.figure)
    if slope.run.kind == Kind.SLOPE:
        return figure["line"]["slope"]
    if slope.run.kind == Kind.INTERCEPT:
        return figure["line"]["intercept"]
    values = [sample["value"] for sample in figure["samples"] if sample["size"] == slope.run.at_size]
    return median(values)


def recorded_residual(slope: Slope) -> float:
    """Returns the residual of the fitted line in the result file, as a share of the mean."""
    result = json.loads((ROOT / slope.run.file).read_text(encoding="utf-8"))
    return next(
        entry["line"]["residual_share"] for entry in result["slopes"] if entry["figure"] == slope.run.figure
    )


def recorded_sizes(slope: Slope) -> set[float]:
    """Returns the sizes at which the result file has samples of the slope's figure."""
    result = json.loads((ROOT / slope.run.file).read_text(encoding="utf-8"))
    figure = next(entry for entry in result["slopes"] if entry["figure"] == slope.run.figure)
    return {sample["size"] for sample in figure["samples"]}


def command_exists(command: str) -> bool:
    """Returns whether the program still has the command."""
    module, *words = command.removeprefix("python -m ").split()
    return words[0] in scale_commands.commands if module == "calicopin.scale" else bool(find_spec(module))


@pytest.mark.parametrize("slope", all_slopes(), ids=lambda slope: slope.name)
def test_slope_matches_its_source(slope):
    assert slope.note or slope.run
    assert (slope.basis == Basis.RUN) == (slope.run is not None)
    if slope.run:
        result = json.loads((ROOT / slope.run.file).read_text(encoding="utf-8"))
        assert slope.run.file.startswith("docs/scale/") and slope.sizes
        assert slope.run.command.startswith(result["command"])
        assert slope.run.revision == ("" if command_exists(slope.run.command) else result["revision"])
        assert slope.value == pytest.approx(
            recorded_value(slope) * slope.run.factor, rel=10.0 ** (1 - SIGNIFICANT_DIGITS) / 2
        )
        if slope.run.kind in (Kind.SLOPE, Kind.INTERCEPT):
            assert set(slope.sizes) == recorded_sizes(slope)
            assert slope.residual == pytest.approx(recorded_residual(slope), abs=0.0001)
        elif slope.run.kind == Kind.MEDIAN:
            assert slope.sizes == (slope.run.at_size,)
        assert not result.get("void")


def test_every_slope_is_used_by_a_figure():
    figures = [figure for role in model.roles(PLANNED_SIZE) for figure in role.figures]
    figures += [figure for fault in faults.faults(PLANNED_SIZE) for figure in fault.figures]
    for row in ranking.demands(PLANNED_SIZE):
        figures += [row.today] + ([row.subscribed] if row.subscribed else [])
    used = {use.slope.name for figure in figures for use in figure.uses}
    assert {slope.name for slope in all_slopes()} == used


def test_names_of_slopes_are_unique():
    names = [slope.name for slope in all_slopes()]
    assert len(set(names)) == len(names)


def test_message_sizes_follow_the_program_s_encoding():
    entries = [
        encoded.entry(number) for number in range(encoded.FIRST_DESTINATION, encoded.FIRST_DESTINATION + 2)
    ]
    grant = messages.Grant("f", "n", "l", 0, 30_000.0, (1, 2))
    answer = messages.decode_answer(messages.encode_answer(True, 1, entries, grant))
    assert [entry["cell"] for entry in answer.servers] == [
        encoded.FIRST_DESTINATION,
        encoded.FIRST_DESTINATION + 1,
    ]
    assert encoded.new_lease_bytes(90) > 90 * len(entries[0])
    assert encoded.renewal_bytes() < encoded.new_lease_bytes(1)


def measured_slope(*sizes: float) -> Slope:
    return Slope("a", 2.0, "B / thing", Basis.RUN, "", sizes)


@pytest.mark.parametrize(
    ("uses", "assumes", "basis"),
    [
        ((), (), "given"),
        ((), ("machines_per_rack",), "assumed"),
        ((Use(measured_slope(10, 100), 100),), (), "measured"),
        ((Use(measured_slope(10, 100), 250),), (), "extrapolated 2.5 times"),
        (
            (Use(measured_slope(10, 100), 250),),
            ("machines_per_rack",),
            "extrapolated 2.5 times; shape assumed",
        ),
        ((Use(Slope("b", 1.0, "", Basis.ASSUMED, "guess")), Use(measured_slope(10), 5)), (), "assumed"),
        ((Use(Slope("b", 1.0, "", Basis.ENCODED, "bytes")),), (), "counted"),
        ((Use(Slope("b", 1.0, "", Basis.PAGE, "a page", (10,)), 20),), (), "extrapolated 2 times"),
        ((Use(Slope("b", 1.0, "", Basis.ENCODED, "bytes")), Use(measured_slope(10), 5)), (), "measured"),
    ],
)
def test_basis_of_a_figure_is_that_of_its_weakest_slope(uses, assumes, basis):
    assert Figure("x", "y", 1.0, Unit.COUNT, uses, assumes).basis() == basis


@pytest.mark.parametrize(
    ("value", "unit", "text"),
    [
        (10.88e9, Unit.BYTES, "10.9 GB"),
        (613.4, Unit.COUNT, "613"),
        (1117.6, Unit.COUNT, "1,118"),
        (2.0526e6, Unit.COUNT, "2.05 million"),
        (39e9, Unit.COUNT, "39 billion"),
        (0.000476, Unit.CORES, "0.000476 core"),
        (15_600.0, Unit.SECONDS, "4.33 h"),
        (1_174_500.0, Unit.SECONDS, "13.6 days"),
        (0.0034, Unit.SECONDS, "3.4 ms"),
        (0.037, Unit.SHARE, "3.7 %"),
        (292.1, Unit.A_SECOND, "292/s"),
        (0.0, Unit.COUNT, "0"),
    ],
)
def test_values_are_formatted_in_a_readable_magnitude(value, unit, text):
    assert format_value(value, unit) == text


def test_small_numbers_keep_three_significant_digits():
    assert format_number(0.0179) == "0.0179" and format_number(0.00526) == "0.00526"


def values(size: Size) -> dict[str, float]:
    """Returns the values of all figures by role or fault and name."""
    figures = {
        (role.name, figure.name): figure.value for role in model.roles(size) for figure in role.figures
    }
    figures |= {
        (fault.name, figure.name): figure.value for fault in faults.faults(size) for figure in fault.figures
    }
    return figures


def test_names_of_figures_are_unique_in_a_table():
    count = sum(len(role.figures) for role in model.roles(PLANNED_SIZE))
    count += sum(len(fault.figures) for fault in faults.faults(PLANNED_SIZE))
    assert len(values(PLANNED_SIZE)) == count


@pytest.mark.parametrize(
    ("figure", "twice"),
    [
        (courier.list_memory, {"destinations": 3.4e6}),
        (courier.list_start_time, {"destinations": 3.4e6}),
        (courier.change_time, {"destinations": 3.4e6}),
        (courier.change_processing_core, {"changes_per_day": 22_000.0}),
        (courier.waiting_memory, {"waiting_events": 78e9}),
        (courier.waiting_down_core, {"waiting_events": 78e9}),
        (courier.subscription_processing_time, {"destinations": 3.4e6}),
        (courier.subscription_processing_time, {"shape": Shape(senders_per_destination=2.0)}),
        (node.list_memory, {"destinations": 3.4e6}),
        (node.renewals, {"couriers": 38_000.0}),
        (node.update_answers, {"changes_per_day": 22_000.0}),
    ],
)
def test_doubling_the_size_doubles_the_figure(figure, twice):
    before, after = figure(PLANNED_SIZE), figure(replace(PLANNED_SIZE, **twice))
    assert after.value == pytest.approx(2.0 * before.value)


@pytest.mark.parametrize(
    "twice",
    [{"destinations": 3.4e6}, {"shape": Shape(senders_per_destination=2.0)}],
    ids=lambda twice: min(twice),
)
def test_subscription_memory_grows_with_its_destinations_only(twice):
    grown = (
        courier.subscription_memory(replace(PLANNED_SIZE, **twice)).value
        - courier.subscription_memory(PLANNED_SIZE).value
    )
    assert grown == pytest.approx(PLANNED_SIZE.destinations_per_courier * slopes.SUBSCRIBED_MEMORY.value)


@pytest.mark.parametrize(
    "field",
    [
        "couriers",
        "events_per_second",
        "destinations",
        "down_share",
        "waiting_events",
        "regions",
        "zones",
        "changes_per_day",
        "control_machines",
        "machine_failures_per_day",
        "restarts_per_day",
        "region_split_s",
    ],
)
def test_every_number_of_the_users_affects_a_figure(field):
    changed = replace(PLANNED_SIZE, **{field: getattr(PLANNED_SIZE, field) * 1.5})
    assert values(changed) != values(PLANNED_SIZE)


def test_subscription_of_a_courier_does_not_grow_with_the_whole_deployment():
    grown = replace(PLANNED_SIZE, destinations=3.4e6, couriers=38_000.0)
    for figure in (courier.subscription_memory, courier.lease_bytes, courier.subscription_processing_time):
        assert figure(grown).value == pytest.approx(figure(PLANNED_SIZE).value)


def test_couriers_of_a_lost_zone_are_spread_over_the_remaining_nodes():
    zone = {figure.name: figure.value for figure in faults.zone_lost(PLANNED_SIZE).figures}
    assert zone["couriers a node meanwhile"] == pytest.approx(PLANNED_SIZE.couriers_per_node)
    assert zone["couriers gone"] == pytest.approx(PLANNED_SIZE.couriers_per_zone)


def test_ranking_has_the_highest_factor_first_and_control_memory_fails_first():
    rows = ranking.demands(PLANNED_SIZE)
    assert [row.factor for row in rows] == sorted((row.factor for row in rows), reverse=True)
    assert ranking.first_to_fail(PLANNED_SIZE).name == "control memory of a courier"


def test_next_mechanisms_but_the_last_two_are_ordered_by_factor():
    factors = [mechanism.factor for mechanism in ranking.next_mechanisms(PLANNED_SIZE)][:4]
    assert factors == sorted(factors, reverse=True) and min(factors) > 1.0


def test_demand_over_budget_names_what_has_to_change():
    for row in ranking.demands(PLANNED_SIZE):
        assert row.factor <= 1.0 or row.shortfall != ranking.Shortfall.NOTHING


def test_subscriptions_meet_every_budget_of_the_users():
    for row in ranking.demands(PLANNED_SIZE):
        assert row.budget_source != ranking.BudgetSource.USERS or row.factor_subscribed < 1.0


def test_backlog_simulation_reaches_the_measured_states():
    simulation = backlog.BacklogSimulation(50)
    simulation.run_decisions()
    simulation.run_until(backlog.SETTLE_MS)
    assert simulation.mode() == "out" and len(simulation.facade.texts) == 50
    assert backlog.measure_down(50) > 0.0 and backlog.measure_delivery(backlog.MEASURED_DELIVERIES + 50) > 0.0


def test_fitted_line_has_its_residual():
    result = records.fit_line(records.Measure("x", "ms", "thing"), [(10, 21.0), (20, 41.0), (30, 61.0)])
    assert result["line"] == pytest.approx(
        {"slope": 2.0, "intercept": 1.0, "residual": 0.0, "residual_share": 0.0}
    )
