"""The capacity model: its quotients, its slopes and their runs, and that docs/CAPACITY.md says the same."""

import json
from dataclasses import replace
from importlib.util import find_spec
from pathlib import Path
from statistics import median

import pytest

from calicopin.capacity import backlog, courier, encoded, faults, model, node, page, ranking, records, slopes
from calicopin.capacity.figures import Figure, Unit, Use, plain, said
from calicopin.capacity.size import PLANNED_SIZE, Shape, Size
from calicopin.capacity.slope import SIGNIFICANT_DIGITS, Basis, Kind, Slope
from calicopin.capacity.slopes import all_slopes
from calicopin.scale.__main__ import main as scale_commands
from calicopin.subscription import messages

ROOT = Path(__file__).resolve().parents[1]


@pytest.mark.parametrize("path", [page.PAGE, page.NOTE], ids=lambda path: path.name)
def test_page_and_model_agree(path):
    text = path.read_text(encoding="utf-8")
    assert page.with_generated(text, page.pages(PLANNED_SIZE)[path]) == text


def test_another_size_gives_another_page():
    assert page.generated(replace(PLANNED_SIZE, destinations=1.8e6)) != page.generated(PLANNED_SIZE)


def test_a_page_without_markers_is_refused():
    with pytest.raises(page.NoMarkersError):
        page.with_generated("# Capacity\n", "made\n")


def test_what_stands_around_the_markers_stays():
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
    """The value of a slope's figure in the result file that it names."""
    told = json.loads((ROOT / slope.run.file).read_text(encoding="utf-8"))
    if slope.run.kind == Kind.ROW:
        where = (slope.run.row.couriers, slope.run.row.load)
        (row,) = [one for one in told["rows"] if (one["couriers"], one["load"]) == where]
        return row[slope.run.figure]
    if slope.run.kind == Kind.VALUE:
        return next(one["value"] for one in told["figures"] if one["figure"] == slope.run.figure)
    figure = next(one for one in told["slopes"] if one["figure"] == slope.run.figure)
    if slope.run.kind == Kind.SLOPE:
        return figure["line"]["slope"]
    if slope.run.kind == Kind.INTERCEPT:
        return figure["line"]["intercept"]
    values = [one["value"] for one in figure["samples"] if one["size"] == slope.run.at_size]
    return median(values)


def recorded_residual(slope: Slope) -> float:
    """The residual of the line in the result file, as a share of the mean."""
    told = json.loads((ROOT / slope.run.file).read_text(encoding="utf-8"))
    return next(one["line"]["residual_share"] for one in told["slopes"] if one["figure"] == slope.run.figure)


def recorded_sizes(slope: Slope) -> set[float]:
    """The sizes at which the result file has the slope's figure."""
    told = json.loads((ROOT / slope.run.file).read_text(encoding="utf-8"))
    figure = next(one for one in told["slopes"] if one["figure"] == slope.run.figure)
    return {one["size"] for one in figure["samples"]}


def command_exists(command: str) -> bool:
    """Whether the program still has the command."""
    module, *words = command.removeprefix("python -m ").split()
    return words[0] in scale_commands.commands if module == "calicopin.scale" else bool(find_spec(module))


@pytest.mark.parametrize("slope", all_slopes(), ids=lambda slope: slope.name)
def test_each_slope_has_its_source(slope):
    assert slope.why or slope.run
    assert (slope.basis == Basis.RUN) == (slope.run is not None)
    if slope.run:
        told = json.loads((ROOT / slope.run.file).read_text(encoding="utf-8"))
        assert slope.run.file.startswith("docs/scale/") and slope.sizes
        assert slope.run.command.startswith(told["command"])
        assert slope.run.revision == ("" if command_exists(slope.run.command) else told["revision"])
        assert slope.value == pytest.approx(
            recorded_value(slope) * slope.run.factor, rel=10.0 ** (1 - SIGNIFICANT_DIGITS) / 2
        )
        if slope.run.kind in (Kind.SLOPE, Kind.INTERCEPT):
            assert set(slope.sizes) == recorded_sizes(slope)
            assert slope.residual == pytest.approx(recorded_residual(slope), abs=0.0001)
        elif slope.run.kind == Kind.MEDIAN:
            assert slope.sizes == (slope.run.at_size,)
        assert not told.get("void")


def test_each_slope_stands_behind_a_figure():
    figures = [one for role in model.roles(PLANNED_SIZE) for one in role.figures]
    figures += [one for fault in faults.faults(PLANNED_SIZE) for one in fault.figures]
    for row in ranking.demands(PLANNED_SIZE):
        figures += [row.today] + ([row.subscribed] if row.subscribed else [])
    used = {use.slope.name for one in figures for use in one.uses}
    assert {slope.name for slope in all_slopes()} == used


def test_no_two_slopes_share_a_name():
    names = [slope.name for slope in all_slopes()]
    assert len(set(names)) == len(names)


def test_what_the_messages_take_is_counted_from_the_program():
    entries = [encoded.entry(number) for number in range(encoded.FIRST, encoded.FIRST + 2)]
    grant = messages.Grant("f", "n", "l", 0, 30_000.0, (1, 2))
    answer = messages.decode_answer(messages.encode_answer(True, 1, entries, grant))
    assert [entry["cell"] for entry in answer.servers] == [encoded.FIRST, encoded.FIRST + 1]
    assert encoded.new_lease_bytes(90) > 90 * len(entries[0])
    assert encoded.renewal_bytes() < encoded.new_lease_bytes(1)


def measured(*sizes: float) -> Slope:
    return Slope("a", 2.0, "B / thing", Basis.RUN, "", sizes)


@pytest.mark.parametrize(
    ("uses", "assumes", "basis"),
    [
        ((), (), "given"),
        ((), ("machines_per_rack",), "assumed"),
        ((Use(measured(10, 100), 100),), (), "measured"),
        ((Use(measured(10, 100), 250),), (), "extrapolated 2.5 times"),
        ((Use(measured(10, 100), 250),), ("machines_per_rack",), "extrapolated 2.5 times; shape assumed"),
        ((Use(Slope("b", 1.0, "", Basis.ASSUMED, "guess")), Use(measured(10), 5)), (), "assumed"),
        ((Use(Slope("b", 1.0, "", Basis.ENCODED, "bytes")),), (), "counted"),
        ((Use(Slope("b", 1.0, "", Basis.PAGE, "a page", (10,)), 20),), (), "extrapolated 2 times"),
        ((Use(Slope("b", 1.0, "", Basis.ENCODED, "bytes")), Use(measured(10), 5)), (), "measured"),
    ],
)
def test_how_a_figure_is_known_follows_from_its_weakest_part(uses, assumes, basis):
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
        (292.1, Unit.PER_SECOND, "292/s"),
        (0.0, Unit.COUNT, "0"),
    ],
)
def test_figures_as_people_read_them(value, unit, text):
    assert said(value, unit) == text


def test_small_numbers_keep_three_digits():
    assert plain(0.0179) == "0.0179" and plain(0.00526) == "0.00526"


def values(size: Size) -> dict[str, float]:
    """All figures of the roles and faults, by role and name."""
    figures = {(role.name, one.name): one.value for role in model.roles(size) for one in role.figures}
    figures |= {(fault.name, one.name): one.value for fault in faults.faults(size) for one in fault.figures}
    return figures


def test_no_two_figures_of_a_table_share_a_name():
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
        (node.news, {"changes_per_day": 22_000.0}),
    ],
)
def test_twice_the_size_is_twice_the_figure(figure, twice):
    before, after = figure(PLANNED_SIZE), figure(replace(PLANNED_SIZE, **twice))
    assert after.value == pytest.approx(2.0 * before.value)


@pytest.mark.parametrize(
    "twice",
    [{"destinations": 3.4e6}, {"shape": Shape(senders_per_destination=2.0)}],
    ids=lambda twice: min(twice),
)
def test_memory_of_the_set_grows_by_its_destinations_alone(twice):
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
def test_each_number_of_the_users_moves_some_figure(field):
    other = replace(PLANNED_SIZE, **{field: getattr(PLANNED_SIZE, field) * 1.5})
    assert values(other) != values(PLANNED_SIZE)


def test_a_courier_s_set_does_not_grow_with_the_destinations_of_others():
    grown = replace(PLANNED_SIZE, destinations=3.4e6, couriers=38_000.0)
    for figure in (courier.subscription_memory, courier.lease_bytes, courier.subscription_processing_time):
        assert figure(grown).value == pytest.approx(figure(PLANNED_SIZE).value)


def test_a_zone_s_couriers_are_spread_over_what_is_left():
    zone = {one.name: one.value for one in faults.zone_lost(PLANNED_SIZE).figures}
    assert zone["couriers a node meanwhile"] == pytest.approx(PLANNED_SIZE.couriers_per_node)
    assert zone["couriers gone"] == pytest.approx(PLANNED_SIZE.couriers_per_zone)


def test_the_ranking_is_worst_first_and_names_the_list():
    rows = ranking.demands(PLANNED_SIZE)
    assert [row.factor for row in rows] == sorted((row.factor for row in rows), reverse=True)
    assert ranking.first_to_fail(PLANNED_SIZE).name == "control memory of a courier"


def test_the_next_mechanisms_stand_in_the_order_of_their_factors_but_for_the_last_two():
    factors = [one.factor for one in ranking.next_mechanisms(PLANNED_SIZE)][:4]
    assert factors == sorted(factors, reverse=True) and min(factors) > 1.0


def test_what_is_over_its_budget_says_what_fails():
    for row in ranking.demands(PLANNED_SIZE):
        assert row.factor <= 1.0 or row.fails != ranking.Fails.NOTHING


def test_subscriptions_bring_each_of_the_users_budgets_under_one():
    for row in ranking.demands(PLANNED_SIZE):
        assert row.budget_source != ranking.Budget.USERS or row.factor_subscribed < 1.0


def test_a_backlog_that_is_measured_stands_in_the_state_that_is_meant():
    play = backlog.Backlog(50)
    play.turn()
    play.go(backlog.SETTLE_MS)
    assert play.mode() == "out" and len(play.facade.texts) == 50
    assert backlog.down(50) > 0.0 and backlog.delivering(backlog.CALLS + 50) > 0.0


def test_a_record_has_a_line_with_its_residual():
    told = records.fit_line(records.Measure("x", "ms", "thing"), [(10, 21.0), (20, 41.0), (30, 61.0)])
    assert told["line"] == pytest.approx(
        {"slope": 2.0, "intercept": 1.0, "residual": 0.0, "residual_share": 0.0}
    )
