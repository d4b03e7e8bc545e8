"""The command line `calicopin`, also `python -m calicopin` with arguments."""

import http.client
import json
import os
import socket
import sys
import tempfile

import click

from calicopin.command.discovery_node import discovery_node
from calicopin.configuration import check as checks
from calicopin.configuration import compare, convert, pages, partners, write
from calicopin.configuration.read import UnusableError, read


def fail(lines, code=2):
    """Writes lines to standard error and exits."""
    for line in lines:
        click.echo(str(line), err=True)
    sys.exit(code)


def load_configuration(path, overrides=()):
    """Reads a configuration; exits with its faults if it cannot be read."""
    try:
        return read(path, os.environ, overrides)
    except UnusableError as fault:
        fail(fault.findings)


def parse_overrides(_, __, values):
    """The values of --set as (key, value) pairs; raises click's BadParameter for one of another form."""
    overrides = []
    for value in values:
        key, sign, new_value = value.partition("=")
        if not sign or not key:
            raise click.BadParameter(f"{value!r} is not of the form courier.slots=30")
        overrides.append((key.strip(), new_value.strip()))
    return overrides


SET_OPTION = click.option(
    "--set",
    "overrides",
    multiple=True,
    callback=parse_overrides,
    metavar="KEY=VALUE",
    help="Overrides one key of the file and the variables.",
)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="calicopin", message="%(version)s")
def main():
    """A courier that sends webhooks and other calls to many outside destinations.

    \b
    calicopin demo                               a whole setup on this machine, for 20 s
    calicopin write desk.toml -o courier.toml    a configuration from a short description
    calicopin check courier.toml                 what is wrong with it, before the start
    calicopin run courier.toml                   a courier, until SIGTERM
    calicopin status courier.toml                what a running courier does
    calicopin discovery-node --help              serves couriers the parts of the list that they use

    Values come from the file, what it includes before it, CALICOPIN_* variables over it
    (CALICOPIN_COURIER__SLOTS=30), and --set over those. Exit codes: 0 done, 1 something found, 2 something
    that cannot be read.
    """


@main.command()
@click.option("--seconds", type=click.FloatRange(1.0, 3600.0), default=20.0, show_default=True)
@click.option(
    "--rate", type=click.FloatRange(0.5, 200.0), default=30.0, show_default=True, help="Messages a second."
)
def demo(seconds, rate):
    """Runs a courier, partners and a client on loopback with live figures; one partner has an outage.

    Ends by itself.
    """
    try:
        from rich.console import Console

        from calicopin.command.demo import run_demo
    except ImportError as fault:
        fail(
            [
                f"the demo needs a library that is not installed ({fault.name}): pip install -r "
                "requirements-emulator.txt"
            ]
        )
    sys.exit(0 if run_demo(seconds, rate, Console()) else 1)


@main.command()
@click.argument("file", type=click.Path())
@click.argument("application", nargs=-1, type=click.UNPROCESSED)
def run(file, application):
    """Starts a courier from the operator's FILE and stays in the foreground; SIGHUP reads FILE again.

    With `-- APPLICATION WORDS...` it starts that application once the courier listens (CALICOPIN_LISTEN tells
    it where), restarts the courier if it fails, and stops it after the application; the exit code is the
    application's.
    """
    if application:
        from calicopin.command.sidecar import Sidecar

        configuration = load_configuration(file)
        faults, _ = checks.examine(configuration)
        if faults:
            fail(faults)
        sys.exit(
            Sidecar(
                file,
                configuration.configuration.courier.listen,
                list(application),
                lambda line: click.echo(line, err=True),
            ).run()
        )
    if not file.endswith(".toml"):
        fail([f"{file}: not a .toml file; `calicopin convert` makes one from the platform's JSON"])
    # replaces this process, so that the courier doesn't keep the command line's modules in memory
    os.execve(
        sys.executable, [sys.executable, "-m", "calicopin"], os.environ | {"LB_CONFIG": os.path.abspath(file)}
    )


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Findings as JSON.")
@SET_OPTION
def check(files, as_json, overrides):
    """Checks FILES: lists everything that is wrong, where, and what to do. Starts and changes nothing."""
    has_faults, findings = False, []
    for file in files:
        try:
            faults, doubts = checks.examine(read(file, os.environ, overrides))
        except UnusableError as fault:
            faults, doubts = fault.findings, []
        has_faults = has_faults or bool(faults)
        for kind, group in (("fault", faults), ("doubt", doubts)):
            for finding in group:
                findings.append(
                    dict(file=file, kind=kind, place=finding.place, why=finding.reason, do=finding.remedy)
                )
                if not as_json:
                    click.echo(f"{kind}: {finding}")
        if not faults and not as_json:
            click.echo(f"{file}: sound" + (f", {len(doubts)} doubts" if doubts else ""))
    if as_json:
        click.echo(json.dumps(findings, indent=1))
    sys.exit(1 if has_faults else 0)


@main.command("write")
@click.argument("application", type=click.Path(), required=False)
@click.option(
    "-o", "--output", type=click.Path(dir_okay=False), help="The file to write; standard output without it."
)
@click.option("--example", is_flag=True, help="Prints a description to start from.")
def write_(application, output, example):
    """Writes a configuration from the short description in APPLICATION, with the reason for each value."""
    if example:
        click.echo(write.EXAMPLE, nl=False)
        return
    if application is None:
        raise click.UsageError("give a description, or --example to see one")
    try:
        text = write.compose(write.read_description(application), application)
    except UnusableError as fault:
        fail(fault.findings)
    if output is None:
        click.echo(text, nl=False)
        return
    replace_file(output, text.encode())
    try:
        faults, doubts = checks.examine(read(output))
    except UnusableError as fault:
        faults, doubts = fault.findings, []
    for finding in [*faults, *doubts]:
        click.echo(str(finding), err=True)
    click.echo(f"{output} written" + (", but it is not sound: correct the description" if faults else ""))
    sys.exit(1 if faults else 0)


def replace_file(path, data):
    """Replaces a file atomically, by renaming a temporary file in its folder; exits on failure."""
    try:
        temporary = tempfile.NamedTemporaryFile(dir=os.path.dirname(os.path.abspath(path)), delete=False)
        with temporary as file:
            file.write(data)
        os.replace(temporary.name, path)
    except OSError as fault:
        fail([f"{path}: {fault.strerror}"])


def describe_change(key, before, after):
    """The line for a key that differs between two files."""
    return (
        f"{key}: {'-' if before is None else json.dumps(before)} -> "
        f"{'-' if after is None else json.dumps(after)}"
    )


@main.command()
@click.argument("old", type=click.Path())
@click.argument("new", type=click.Path())
def diff(old, new):
    """Lists what changes from OLD to NEW, and whether SIGHUP is enough or a restart is needed."""
    differences = compare.changes(
        load_configuration(old).configuration, load_configuration(new).configuration
    )
    for key, before, after, when in differences:
        click.echo(f"{when:8} {describe_change(key, before, after)}")
    if not differences:
        click.echo("no difference")
    sys.exit(1 if differences else 0)


@main.command()
@click.argument("file", type=click.Path())
@SET_OPTION
def show(file, overrides):
    """Lists every value in force and where it came from."""
    configuration = load_configuration(file, overrides)
    file_names = {}
    for table in ("product", "kind", "partner"):
        for number, entry in enumerate(getattr(configuration.configuration, table)):
            file_names[f"{table}[{entry.name}]"] = f"{table}[{number}]"
    for key, value in compare.all_values(configuration.configuration).items():
        file_key = key
        for name, number in file_names.items():
            file_key = file_key.replace(name, number) if file_key.startswith(name) else file_key
        click.echo(
            f"{key} = {json.dumps(value, ensure_ascii=False)}"
            f"  # {configuration.origin.get(file_key, 'default')}"
        )


@main.command()
def schema():
    """Prints the JSON Schema of a configuration, for editors."""
    click.echo(json.dumps(pages.schema(), indent=1))


@main.command("convert")
@click.argument("file", type=click.Path())
def convert_(file):
    """Converts an operator's .toml to the platform's JSON, or the platform's JSON to an operator's file."""
    if file.endswith(".toml"):
        configuration = load_configuration(file)
        faults, _ = checks.examine(configuration)
        if faults:
            fail(faults, 1)
        click.echo(json.dumps(convert.to_platform(configuration), indent=1))
        return
    try:
        with open(file, "rb") as source:
            sheet = convert.from_platform(json.load(source))
    except OSError as fault:
        fail([f"{file}: {fault.strerror}"])
    except ValueError as fault:
        fail([f"{file}: {fault}"])
    click.echo(convert.as_toml(sheet), nl=False)


@main.command("migrate")
@click.argument("old", type=click.Path(dir_okay=False))
@click.option("-o", "--output", type=click.Path(dir_okay=False), help="The new file; it must not exist yet.")
@click.option(
    "--senders",
    type=click.IntRange(min=1),
    required=True,
    help="How many couriers send to the same partners from now on.",
)
@click.option(
    "--reports/--no-reports",
    default=None,
    help="Whether partners' answers report their limits from now on; unchanged if not given.",
)
@click.option(
    "--once-only", multiple=True, metavar="PRODUCT", help="A product that must not run twice from now on."
)
@click.option("--dry-run", is_flag=True, help="Shows what would be written and changes nothing.")
def migrate_(old, output, senders, reports, once_only, dry_run):
    """Reads OLD, a file for few couriers, and writes its counterpart for many; lists what could not be
    carried over.

    OLD is never changed. Exit codes: 0 written, 1 the counterpart would not be sound, 2 something cannot be
    read or written.
    """
    from calicopin.configuration import migrate

    if not dry_run and output is None:
        raise click.UsageError("give the new file with -o, or --dry-run to print it")
    try:
        configuration = read(old, {}, ())
        sheet, lost = migrate.migrate(configuration, senders, reports, once_only)
    except UnusableError as fault:
        fail(fault.findings)
    for key, before, after, _ in compare.changes(configuration.configuration, sheet):
        click.echo(f"changed: {describe_change(key, before, after)}")
    for place, why in lost:
        click.echo(f"not carried over: {place}: {why}")
    if errors := migrate.check_migrated(sheet, configuration):
        fail([*errors, f"nothing written: the counterpart of {old} would not be sound"], 1)
    if dry_run:
        click.echo(migrate.render(sheet), nl=False)
        return
    if os.path.exists(output):
        fail([f"{output}: already exists; nothing written, give another name or move the file"])
    replace_file(output, migrate.render(sheet).encode())
    click.echo(f"{output} written")


@main.command("seal")
@click.argument("file", type=click.Path())
def seal(file):
    """Appends the count and checksum to a watched list of partners, which mark it as complete."""
    try:
        with open(file, "rb") as source:
            sealed = partners.seal(source.read())
    except OSError as fault:
        fail([f"{file}: {fault.strerror}"])
    except ValueError as fault:
        fail([f"{file}: {str(fault).lower()}"])
    replace_file(file, sealed)
    try:
        listed, _ = partners.load(file)
    except UnusableError as fault:
        fail(fault.findings, 1)
    click.echo(f"{file}: {len(listed)} partners sealed")


class UnixSocketConnection(http.client.HTTPConnection):
    """An HTTP connection to a Unix socket."""

    def __init__(self, path):
        super().__init__("courier", timeout=2.0)
        self.path = path

    def connect(self):
        """Opens the connection; raises OSError if nothing listens on the socket."""
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.sock.settimeout(self.timeout)
        self.sock.connect(self.path)


@main.command()
@click.argument("where")
@click.option("--json", "as_json", is_flag=True)
def status(where, as_json):
    """Shows the status of a running courier; WHERE is its configuration or its address."""
    address = load_configuration(where).configuration.courier.listen if where.endswith(".toml") else where
    host, _, port = address.rpartition(":")
    try:
        connection = (
            UnixSocketConnection(port)
            if host == "unix"
            else http.client.HTTPConnection(host, int(port), timeout=2.0)
        )
        connection.request("GET", "/-/status")
        answer = connection.getresponse()
        body = answer.read()
    except (OSError, ValueError, http.client.HTTPException) as fault:
        fail([f"{address}: no answer from a courier: {fault}"], 1)
    if answer.status != 200:
        fail([f"{address}: the courier tells no status; set courier.status = true and restart it"], 1)
    if as_json:
        click.echo(body.decode())
        return
    figures = json.loads(body)
    click.echo(
        "  ".join(
            f"{key.replace('_', ' ')} {value}" for key, value in figures.items() if key != "destinations"
        )
    )
    columns = ("destination", "mode", "waiting", "out", "endpoints", "pace", "usual_ms", "wait_ms")
    rows = [
        columns,
        *(
            [str("-" if destination[key] is None else destination[key]) for key in columns]
            for destination in figures["destinations"]
        ),
    ]
    widths = [max(len(row[column]) for row in rows) for column in range(len(columns))]
    for row in rows:
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


main.add_command(discovery_node)


if __name__ == "__main__":
    main(prog_name="calicopin")
