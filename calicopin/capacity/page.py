"""Generates the tables, and the sentences with figures of the model, of the pages under docs/."""

from dataclasses import replace
from pathlib import Path

from calicopin.capacity import faults, model, options, ranking
from calicopin.capacity.figures import Figure, Unit, format_number, format_value
from calicopin.capacity.ranking import Demand
from calicopin.capacity.size import Size
from calicopin.capacity.slope import Slope
from calicopin.capacity.slopes import all_slopes

DOCS = Path(__file__).resolve().parents[2] / "docs"
PAGE = DOCS / "CAPACITY.md"
DESIGN_NOTE = DOCS / "subscriptions-design.md"
BEGIN = "<!-- begin: python -m calicopin.capacity --write -->"
END = "<!-- end -->"


class NoMarkersError(ValueError):
    """The page lacks the markers around its generated part."""


def table(headers: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    """Formats a table in Markdown."""
    lines = [headers, tuple("---" for _ in headers), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def figure_row(figure: Figure) -> tuple[str, ...]:
    """Returns a figure's name, formula, value and how it is known."""
    return figure.name, figure.formula, figure.formatted(), figure.basis()


FIGURE_HEADERS = ("figure", "formula", "value", "how known")


def slope_row(slope: Slope) -> tuple[str, ...]:
    """Returns a slope's row with its source."""
    sizes = " / ".join(f"{size:,.0f}" for size in slope.sizes) or "-"
    residual = "-" if slope.residual is None else f"{slope.residual:.1%}"
    source = slope.note
    if slope.run:
        source = f"{slope.run.described_command()}, {slope.run.file}" + (
            f"; {slope.note}" if slope.note else ""
        )
    return slope.name, formatted_value(slope), slope.basis.value, sizes, residual, source


def formatted_value(slope: Slope) -> str:
    """Formats a slope's value and unit in a readable magnitude."""
    if slope.unit.startswith("s /"):
        return format_value(slope.value, Unit.SECONDS) + slope.unit.removeprefix("s")
    return f"{format_number(slope.value)} {slope.unit}"


def demand_row(demand: Demand) -> tuple[str, ...]:
    """Returns a budget's row with demand and factor, today and with subscriptions."""
    subscribed = demand.subscribed
    with_subscriptions = (
        "unchanged" if subscribed is None else f"{subscribed.formatted()} ({subscribed.basis()})"
    )
    return (
        demand.name,
        f"{format_value(demand.budget, demand.unit)} ({demand.budget_source.value})",
        f"{demand.today.formatted()} ({demand.today.basis()})",
        f"**{format_number(demand.factor)}**",
        with_subscriptions,
        format_number(demand.factor_subscribed),
        demand.shortfall.value if demand.factor > 1.0 else "-",
    )


DEMAND_HEADERS = ("what", "budget", "today", "factor", "subscribed", "factor", "fails")


def quotients_section(size: Size) -> str:
    """Returns the table of figures that follow from the users' numbers alone."""
    return "## Quotients\n\n" + table(
        FIGURE_HEADERS, [figure_row(figure) for figure in model.quotients(size)]
    )


SENDER_DEPENDENT_BUDGETS = (
    "a start has its list within the time to force, at the budget of bytes",
    "control memory of a courier",
    "control core of a courier",
)


def ranking_summary(size: Size) -> str:
    """Says in words which budget fails first."""
    first = ranking.first_to_fail(size)
    rows = {row.name: row for row in ranking.demands(size)}
    core, waiting = rows["control core of a courier"], rows[ranking.WAITING_MEMORY]
    return (
        f"**The first budget of the users in which the design fails: {first.name},"
        f" {format_number(first.factor)} times.**"
        " The control core is"
        f" {format_number(core.factor)} times over by the same cause, the whole list at each courier."
        " Waiting messages in memory are"
        f" {format_number(waiting.factor)} times over if the control budget of"
        f" {format_value(waiting.budget, waiting.unit)}"
        " is held against them,"
        " though the users state it for control; no memory is stated for the data path."
    )


def ranking_section(size: Size) -> str:
    """Returns the table of budgets, the first that fails, and the next mechanisms."""
    demands = table(DEMAND_HEADERS, [demand_row(demand) for demand in ranking.demands(size)])
    mechanisms = [
        (
            str(number),
            mechanism.name,
            mechanism.replaces,
            mechanism.measure,
            format_number(mechanism.factor),
            mechanism.basis,
        )
        for number, mechanism in enumerate(ranking.next_mechanisms(size), 1)
    ]
    return (
        "## Ranking\n\nDemand over budget, worst factor today first."
        ' "borrowed": none is stated for it, the nearest stated one'
        f' stands in; "program": a constant, or the one thread, of the program.'
        f"\n\n{demands}\n\n{ranking_summary(size)}\n\n"
        "### Next mechanisms, in order\n\n"
        + table(("", "mechanism", "in place of", "what", "factor", "how known"), mechanisms)
    )


SENDER_COUNTS = (1.0, 3.0, 10.0, 30.0)  # senders of one destination, one row each


def senders_section(size: Size) -> str:
    """Returns the table of budgets that depend on a courier's set, by the senders of each destination."""
    rows = []
    for senders in SENDER_COUNTS:
        scaled = replace(size, shape=replace(size.shape, senders_per_destination=senders))
        factors = {row.name: row.factor_subscribed for row in ranking.demands(scaled)}
        formatted = [format_number(factors[name]) for name in SENDER_DEPENDENT_BUDGETS]
        rows.append((format_number(senders), format_number(scaled.destinations_per_courier), *formatted))
    return (
        "### With more senders for each destination\n\n"
        "Factors with subscriptions: demand over budget, as in the ranking.\n\n"
        + table(("senders", "destinations a courier", *SENDER_DEPENDENT_BUDGETS), rows)
    )


def roles_section(size: Size) -> str:
    """Returns a table for each role."""
    parts = ["## Roles"]
    for role in model.roles(size):
        parts.append(
            f"### {role.name}\n\n" + table(FIGURE_HEADERS, [figure_row(figure) for figure in role.figures])
        )
    return "\n\n".join(parts)


def faults_section(size: Size) -> str:
    """Returns a table for each fault."""
    parts = ["## Faults in figures"]
    for fault in faults.faults(size):
        rows = [figure_row(figure) for figure in fault.figures]
        parts.append(f"### {fault.name} ({fault.frequency})\n\n" + table(FIGURE_HEADERS, rows))
    return "\n\n".join(parts)


def options_section(size: Size) -> str:
    """Returns a table for each alternative mechanism, for docs/subscriptions-design.md."""
    parts = []
    for option in options.options(size):
        rows = [figure_row(figure) for figure in option.figures]
        parts.append(f"**{option.name}**\n\n" + table(FIGURE_HEADERS, rows))
    return "\n\n".join(parts) + "\n"


SLOPE_HEADERS = ("slope", "value", "basis", "sizes", "residual / mean", "source")


def slopes_section() -> str:
    """Returns the table of all slopes with their sources."""
    return "## Slopes\n\n" + table(SLOPE_HEADERS, [slope_row(slope) for slope in all_slopes()])


def generated(size: Size) -> str:
    """Returns the generated part of docs/CAPACITY.md."""
    parts = (
        ranking_section(size),
        senders_section(size),
        quotients_section(size),
        roles_section(size),
        faults_section(size),
        slopes_section(),
    )
    return "\n\n".join(parts) + "\n"


def with_generated(text: str, generated_text: str) -> str:
    """Returns a page's text with its generated part replaced.

    Raises NoMarkersError if the markers are missing.
    """
    before, begin, rest = text.partition(BEGIN)
    _, end, after = rest.partition(END)
    if not begin or not end:
        raise NoMarkersError(f"the page lacks {BEGIN!r} or {END!r}")
    return f"{before}{BEGIN}\n\n{generated_text}\n{END}{after}"


def pages(size: Size) -> dict[Path, str]:
    """Returns the generated part of each page, by path."""
    return {PAGE: generated(size), DESIGN_NOTE: options_section(size)}
