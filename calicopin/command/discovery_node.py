"""`calicopin discovery-node`: a discovery node from the command line, or a check of its source."""

import sys

import click

from calicopin.configuration.units import address, milliseconds
from calicopin.subscription.leases import LEAST_LEASE_BOUND, MOST_NODE_WORD, LeaseBounds
from calicopin.subscription.messages import MOST_WORD

DEFAULT_BOUNDS = LeaseBounds()


class Duration(click.ParamType):
    """A time with its unit."""

    name = "time"

    def convert(self, value, param, ctx):
        """Milliseconds."""
        if isinstance(value, float):
            return value
        try:
            return milliseconds(value)
        except ValueError as fault:
            self.fail(str(fault), param, ctx)


class Address(click.ParamType):
    """An IPv4 address and a port."""

    name = "address"

    def convert(self, value, param, ctx):
        """(host, port)."""
        try:
            return address(value)
        except ValueError as fault:
            self.fail(str(fault), param, ctx)


def bounded_name(max_length):
    """A check that a name is a word of bounded length."""

    def check(_, param, value):
        if value is not None and not 0 < len(value) <= max_length:
            raise click.BadParameter(f"is no word of 1 to {max_length} characters")
        return value

    return check


def fail(reason):
    """A plain line on standard error, and the end."""
    click.echo(str(reason), err=True)
    sys.exit(2)


@click.command("discovery-node")
@click.option("--source", required=True, type=click.Path(), metavar="FILE", help="The list log.")
@click.option("--fleet", required=True, callback=bounded_name(MOST_WORD), help="Whose list it is.")
@click.option("--listen", type=Address(), metavar="HOST:PORT", help="Where couriers call.")
@click.option("--node", callback=bounded_name(MOST_NODE_WORD), help="Its name, one of its own for each node.")
@click.option(
    "--upstream",
    type=Address(),
    metavar="HOST:PORT",
    help="Another node whose list is copied to FILE and followed; FILE serves until it is heard.",
)
@click.option("--lease", type=Duration(), default="30s", show_default=True, help="How long a lease lasts.")
@click.option(
    "--leases",
    type=click.IntRange(min=LEAST_LEASE_BOUND),
    default=DEFAULT_BOUNDS.leases,
    show_default=True,
    help="Leases at most: one for each courier.",
)
@click.option(
    "--destinations",
    type=click.IntRange(min=1),
    default=DEFAULT_BOUNDS.destinations,
    show_default=True,
    help="Destinations of one lease at most.",
)
@click.option(
    "--rate",
    type=click.FloatRange(min=1.0),
    default=DEFAULT_BOUNDS.requests_per_second,
    show_default=True,
    help="Requests a second of one courier.",
)
@click.option(
    "--burst",
    type=click.FloatRange(min=1.0),
    default=DEFAULT_BOUNDS.burst,
    show_default=True,
    help="Requests of one courier at once.",
)
@click.option("--connections", type=click.IntRange(min=16), default=8192, show_default=True, help="At most.")
@click.option(
    "--parked",
    type=click.IntRange(min=1),
    default=4096,
    show_default=True,
    help="Requests that wait, at most.",
)
@click.option("--idle", type=Duration(), default="60s", show_default=True, help="A silent connection's time.")
@click.option("--check", is_flag=True, help="Reads the source whole, tells what is in it and serves nothing.")
def discovery_node(
    source,
    fleet,
    listen,
    node,
    upstream,
    lease,
    leases,
    destinations,
    rate,
    burst,
    connections,
    parked,
    idle,
    check,
):
    """Serves couriers the parts of the list to which they subscribe (docs/discovery-node.md); ends on
    SIGTERM.

    Exit codes: 0 done, 1 --check found lines that cannot be read, 2 something that cannot be read or served.
    """
    try:
        from calicopin.discovery_node.node import NodeSettings, serve
    except ImportError as fault:
        fail(f"a discovery node wants a library that is not here ({fault.name}): pip install calicopin")
    if check:
        report_source(source, fleet)
    if listen is None or node is None:
        raise click.UsageError("give --listen HOST:PORT and --node NAME, or --check to read the source alone")
    from calicopin.discovery_node.server import ServerBounds
    from calicopin.lifecycle.signals import SignalReader

    settings = NodeSettings(
        source=source,
        host=listen[0],
        port=listen[1],
        fleet=fleet,
        node=node,
        upstream=f"{upstream[0]}:{upstream[1]}" if upstream else "",
        leases=LeaseBounds(lease, leases, destinations, rate, burst),
        server=ServerBounds(connections, parked, idle),
    )
    try:
        serve(settings, SignalReader())
    except (ValueError, OSError) as fault:
        fail(fault)


def report_source(source, fleet):
    """What is in the source; ends the command."""
    from calicopin.discovery_node.node import check_source

    try:
        found = check_source(source, fleet)
    except (ValueError, OSError) as fault:
        fail(fault)
    for line in found.faults:
        click.echo(f"{source}:{line.number}: {line.fault}")
    figures = found.figures
    click.echo(
        f"{source}: {found.lines} lines, {figures.destinations} destinations, {figures.endpoints} endpoints, "
        f"{len(found.faults)} lines that cannot be read"
        + (", and a half line at the end" if found.half_line else "")
    )
    sys.exit(1 if found.faults else 0)
