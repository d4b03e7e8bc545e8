"""The generated part of docs/CAPACITY.md: its tables, and the sentences in which figures of the model
stand."""

from dataclasses import replace
from pathlib import Path

from calicopin.capacity import faults, model, options, ranking
from calicopin.capacity.figures import Figure, Unit, plain, said
from calicopin.capacity.ranking import Demand
from calicopin.capacity.size import Size
from calicopin.capacity.slope import Slope
from calicopin.capacity.slopes import all_slopes

DOCS = Path(__file__).resolve().parents[2] / "docs"
PAGE = DOCS / "CAPACITY.md"
NOTE = DOCS / "subscriptions-design.md"
BEGIN = "<!-- begin: python -m calicopin.capacity --write -->"
END = "<!-- end -->"


class NoMarkersError(ValueError):
    """The page lacks the markers between which the generated part stands."""


def table(heads: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    """One table in Markdown."""
    lines = [heads, tuple("---" for _ in heads), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def figure_row(figure: Figure) -> tuple[str, ...]:
    """A figure's name, formula, value and how it is known."""
    return figure.name, figure.formula, figure.said(), figure.basis()


FIGURE_HEADS = ("figure", "formula", "value", "how known")


def slope_row(slope: Slope) -> tuple[str, ...]:
    """A slope with where it comes from."""
    sizes = " / ".join(f"{size:,.0f}" for size in slope.sizes) or "-"
    residual = "-" if slope.residual is None else f"{slope.residual:.1%}"
    source = slope.why
    if slope.run:
        source = f"{slope.run.told()}, {slope.run.file}" + (f"; {slope.why}" if slope.why else "")
    return slope.name, value_of(slope), slope.basis.value, sizes, residual, source


def value_of(slope: Slope) -> str:
    """A slope's value and unit as people read them."""
    if slope.unit.startswith("s /"):
        return said(slope.value, Unit.SECONDS) + slope.unit.removeprefix("s")
    return f"{plain(slope.value)} {slope.unit}"


def demand_row(demand: Demand) -> tuple[str, ...]:
    """A budget with its demand and factor, today and with subscriptions."""
    subscribed = demand.subscribed
    after = "unchanged" if subscribed is None else f"{subscribed.said()} ({subscribed.basis()})"
    return (
        demand.name,
        f"{said(demand.budget, demand.unit)} ({demand.budget_source.value})",
        f"{demand.today.said()} ({demand.today.basis()})",
        f"**{plain(demand.factor)}**",
        after,
        plain(demand.factor_subscribed),
        demand.fails.value if demand.factor > 1.0 else "-",
    )


DEMAND_HEADS = ("what", "budget", "today", "factor", "subscribed", "factor", "fails")


def quotients_section(size: Size) -> str:
    """What follows from the users' numbers alone."""
    return "## Quotients\n\n" + table(FIGURE_HEADS, [figure_row(one) for one in model.quotients(size)])


SENDER_DEPENDENT_BUDGETS = (
    "a start has its list within the time to force, at the budget of bytes",
    "control memory of a courier",
    "control core of a courier",
)


def argument(size: Size) -> str:
    """Which budget fails first, in words."""
    first = ranking.first_to_fail(size)
    rows = {row.name: row for row in ranking.demands(size)}
    core, waiting = rows["control core of a courier"], rows[ranking.WAITING_MEMORY]
    return (
        f"**The first budget of the users in which the design fails: {first.name},"
        f" {plain(first.factor)} times.**"
        " The control core is"
        f" {plain(core.factor)} times over by the same cause, the whole list at each courier."
        " Waiting messages in memory are"
        f" {plain(waiting.factor)} times over if the control budget of {said(waiting.budget, waiting.unit)}"
        " is held against them,"
        " though the users state it for control; no memory is stated for the data path."
    )


def ranking_section(size: Size) -> str:
    """The ranking, the first that fails, and the mechanisms behind it."""
    demands = table(DEMAND_HEADS, [demand_row(one) for one in ranking.demands(size)])
    mechanisms = [
        (str(number), one.name, one.replaces, one.what, plain(one.factor), one.basis)
        for number, one in enumerate(ranking.next_mechanisms(size), 1)
    ]
    return (
        "## Ranking\n\nDemand over budget, worst factor today first."
        ' "borrowed": none is stated for it, the nearest stated one'
        f' stands in; "program": a constant, or the one thread, of the program.'
        f"\n\n{demands}\n\n{argument(size)}\n\n"
        "### Next mechanisms, in order\n\n"
        + table(("", "mechanism", "in place of", "what", "factor", "how known"), mechanisms)
    )


SENDERS = (1.0, 3.0, 10.0, 30.0)  # of one destination, for which the page tells the budgets


def senders_section(size: Size) -> str:
    """The users' budgets that a courier's set moves, with more senders for each destination."""
    rows = []
    for senders in SENDERS:
        other = replace(size, shape=replace(size.shape, senders_per_destination=senders))
        factors = {row.name: row.factor_subscribed for row in ranking.demands(other)}
        told = [plain(factors[name]) for name in SENDER_DEPENDENT_BUDGETS]
        rows.append((plain(senders), plain(other.destinations_per_courier), *told))
    return (
        "### With more senders for each destination\n\n"
        "Factors with subscriptions: demand over budget, as in the ranking.\n\n"
        + table(("senders", "destinations a courier", *SENDER_DEPENDENT_BUDGETS), rows)
    )


def roles_section(size: Size) -> str:
    """A table for each role."""
    parts = ["## Roles"]
    for role in model.roles(size):
        parts.append(f"### {role.name}\n\n" + table(FIGURE_HEADS, [figure_row(one) for one in role.figures]))
    return "\n\n".join(parts)


def faults_section(size: Size) -> str:
    """A table for each fault."""
    parts = ["## Faults in figures"]
    for fault in faults.faults(size):
        rows = [figure_row(one) for one in fault.figures]
        parts.append(f"### {fault.name} ({fault.frequency})\n\n" + table(FIGURE_HEADS, rows))
    return "\n\n".join(parts)


def options_section(size: Size) -> str:
    """A table for each mechanism that was weighed; it stands in the design note."""
    parts = []
    for option in options.options(size):
        rows = [figure_row(one) for one in option.figures]
        parts.append(f"**{option.name}**\n\n" + table(FIGURE_HEADS, rows))
    return "\n\n".join(parts) + "\n"


SLOPE_HEADS = ("slope", "value", "basis", "sizes", "residual / mean", "source")


def slopes_section() -> str:
    """Every slope with its source."""
    return "## Slopes\n\n" + table(SLOPE_HEADS, [slope_row(one) for one in all_slopes()])


def generated(size: Size) -> str:
    """All that stands between the markers."""
    parts = (
        ranking_section(size),
        senders_section(size),
        quotients_section(size),
        roles_section(size),
        faults_section(size),
        slopes_section(),
    )
    return "\n\n".join(parts) + "\n"


def with_generated(text: str, made: str) -> str:
    """A page's text with its generated part made anew; raises NoMarkersError."""
    before, begin, rest = text.partition(BEGIN)
    _, end, after = rest.partition(END)
    if not begin or not end:
        raise NoMarkersError(f"the page lacks {BEGIN!r} or {END!r}")
    return f"{before}{BEGIN}\n\n{made}\n{END}{after}"


def pages(size: Size) -> dict[Path, str]:
    """The text that belongs between the markers of each page."""
    return {PAGE: generated(size), NOTE: options_section(size)}
