"""The command `calicopin discovery-node`: runs a discovery node or checks its source."""

import sys

import click

from calicopin.configuration.units import address, milliseconds
from calicopin.subscription.leases import MAX_NODE_NAME_LENGTH, MIN_LEASE_LIMIT, LeaseBounds
from calicopin.subscription.messages import MAX_NAME_LENGTH

DEFAULT_BOUNDS = LeaseBounds()


class Duration(click.ParamType):
    """A click type: a time with its unit."""

    name = "time"

    def convert(self, value, param, ctx):
        """The time in milliseconds."""
        if isinstance(value, float):
            return value
        try:
            return milliseconds(value)
        except ValueError as fault:
            self.fail(str(fault), param, ctx)


class Address(click.ParamType):
    """A click type: an IPv4 address and a port."""

    name = "address"

    def convert(self, value, param, ctx):
        """The address as (host, port)."""
        try:
            return address(value)
        except ValueError as fault:
            self.fail(str(fault), param, ctx)


def bounded_name(max_length):
    """An option callback that accepts a name of 1 to `max_length` characters."""

    def check(_, param, value):
        if value is not None and not 0 < len(value) <= max_length:
            raise click.BadParameter(f"is not a word of 1 to {max_length} characters")
        return value

    return check


def fail(reason):
    """Writes a line to standard error and exits with code 2."""
    click.echo(str(reason), err=True)
    sys.exit(2)


@click.command("discovery-node")
@click.option("--source", required=True, type=click.Path(), metavar="FILE", help="The list log.")
@click.option(
    "--fleet",
    required=True,
    callback=bounded_name(MAX_NAME_LENGTH),
    help="The name of the fleet whose list it is.",
)
@click.option("--listen", type=Address(), metavar="HOST:PORT", help="The address for couriers.")
@click.option(
    "--node",
    callback=bounded_name(MAX_NODE_NAME_LENGTH),
    help="The name of this node, unique among the nodes.",
)
@click.option(
    "--upstream",
    type=Address(),
    metavar="HOST:PORT",
    help="Another node whose list is copied to FILE and followed; FILE is served until it answers.",
)
@click.option("--lease", type=Duration(), default="30s", show_default=True, help="How long a lease lasts.")
@click.option(
    "--leases",
    type=click.IntRange(min=MIN_LEASE_LIMIT),
    default=DEFAULT_BOUNDS.leases,
    show_default=True,
    help="Leases at most: one for each courier.",
)
@click.option(
    "--destinations",
    type=click.IntRange(min=1),
    default=DEFAULT_BOUNDS.destinations,
    show_default=True,
    help="Destinations of one lease, at most.",
)
@click.option(
    "--rate",
    type=click.FloatRange(min=1.0),
    default=DEFAULT_BOUNDS.requests_per_second,
    show_default=True,
    help="Requests a second of one courier, at most.",
)
@click.option(
    "--burst",
    type=click.FloatRange(min=1.0),
    default=DEFAULT_BOUNDS.burst,
    show_default=True,
    help="Requests of one courier at once, at most.",
)
@click.option("--connections", type=click.IntRange(min=16), default=8192, show_default=True, help="At most.")
@click.option(
    "--parked",
    type=click.IntRange(min=1),
    default=4096,
    show_default=True,
    help="Waiting requests, at most.",
)
@click.option(
    "--idle", type=Duration(), default="60s", show_default=True, help="How long a silent connection is kept."
)
@click.option(
    "--check", is_flag=True, help="Reads the whole source, reports what is in it and serves nothing."
)
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
        fail(f"a discovery node needs a library that is not installed ({fault.name}): pip install calicopin")
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
    """Prints what is in the source and exits."""
    from calicopin.discovery_node.node import check_source

    try:
        found = check_source(source, fleet)
    except (ValueError, OSError) as fault:
        fail(fault)
    for line in found.faults:
        click.echo(f"{source}:{line.number}: {line.fault}")
    figures = found.stats
    click.echo(
        f"{source}: {found.lines} lines, {figures.destinations} destinations, {figures.endpoints} endpoints, "
        f"{len(found.faults)} lines that cannot be read"
        + (", and an incomplete line at the end" if found.partial_last_line else "")
    )
    sys.exit(1 if found.faults else 0)
