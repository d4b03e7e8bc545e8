"""The generated part of docs/CAPACITY.md: its tables, and the sentences in which figures of the model stand."""

from pathlib import Path

from calicopin.capacity import faults, model, ranking
from calicopin.capacity.figures import Figure, Unit, plain, said
from calicopin.capacity.ranking import Demand
from calicopin.capacity.size import Size
from calicopin.capacity.slopes import Slope, all_slopes

PAGE = Path(__file__).resolve().parents[2] / "docs" / "CAPACITY.md"
BEGIN = "<!-- begin: python -m calicopin.capacity --write -->"
END = "<!-- end -->"


class NoMarkers(ValueError):
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
        source = f"`{slope.run.command}`, {slope.run.file}" + (f"; {slope.why}" if slope.why else "")
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
        f"{said(demand.budget, demand.unit)} ({demand.set_by.value})",
        f"{demand.today.said()} ({demand.today.basis()})",
        f"**{plain(demand.factor)}**",
        after,
        plain(demand.factor_subscribed),
        demand.fails.value if demand.factor > 1.0 else "-",
    )


DEMAND_HEADS = ("what", "budget", "today", "factor", "subscribed", "factor", "fails")


def quotients_part(size: Size) -> str:
    """What follows from the users' numbers alone."""
    return "## Quotients\n\n" + table(FIGURE_HEADS, [figure_row(one) for one in model.quotients(size)])


def ranking_part(size: Size) -> str:
    """The ranking and the first that fails."""
    first = ranking.first_to_fail(size)
    text = table(DEMAND_HEADS, [demand_row(one) for one in ranking.demands(size)])
    return (
        '## Ranking\n\nDemand over budget, worst factor today first. "borrowed": none is stated for it, the nearest'
        f" stated one stands in.\n\n{text}\n\nThe first budget of the users in which the design fails:"
        f" **{first.name}**, {plain(first.factor)} times."
    )


def roles_part(size: Size) -> str:
    """A table for each role."""
    parts = ["## Roles"]
    for role in model.roles(size):
        parts.append(f"### {role.name}\n\n" + table(FIGURE_HEADS, [figure_row(one) for one in role.figures]))
    return "\n\n".join(parts)


def faults_part(size: Size) -> str:
    """A table for each fault."""
    parts = ["## Faults in figures"]
    for fault in faults.faults(size):
        rows = [figure_row(one) for one in fault.figures]
        parts.append(f"### {fault.name} ({fault.how_often})\n\n" + table(FIGURE_HEADS, rows))
    return "\n\n".join(parts)


SLOPE_HEADS = ("slope", "value", "basis", "sizes", "residual / mean", "source")


def slopes_part() -> str:
    """Every slope with its source."""
    return "## Slopes\n\n" + table(SLOPE_HEADS, [slope_row(one) for one in all_slopes()])


def generated(size: Size) -> str:
    """All that stands between the markers."""
    parts = (
        ranking_part(size),
        quotients_part(size),
        roles_part(size),
        faults_part(size),
        slopes_part(),
    )
    return "\n\n".join(parts) + "\n"


def with_generated(text: str, size: Size) -> str:
    """The page's text with its generated part made anew; raises NoMarkers."""
    before, begin, rest = text.partition(BEGIN)
    _, end, after = rest.partition(END)
    if not begin or not end:
        raise NoMarkers(f"the page lacks {BEGIN!r} or {END!r}")
    return f"{before}{BEGIN}\n\n{generated(size)}\n{END}{after}"
