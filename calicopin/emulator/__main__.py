"""`python -m calicopin.emulator`: runs scenarios and judges them; replays a failing run in words, or
reduces it.
"""

import json
import os
import sys
import time
from collections import Counter

import click
from loguru import logger
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

from calicopin.emulator import fleet, runs
from calicopin.emulator.faults import FAULTS
from calicopin.emulator.scenario import ScenarioError, dump, load, scenario_names
from calicopin.emulator.trace_report import describe_trace

TABLE_FIGURES = ("revenue", "of_best", "in_sla", "p50_ms", "p99_ms", "refused", "waste", "fairness")


class Seeds(click.ParamType):
    """`7`, `1..200` or `3,9,12..20`."""

    name = "seeds"

    def convert(self, value, param, ctx):
        """The numbers that the text names."""
        out = []
        try:
            for part in str(value).split(","):
                first, dots, last = part.partition("..")
                out += range(int(first), int(last if dots else first) + 1)
        except ValueError:
            self.fail(f"{value!r} is neither a seed nor a range such as 1..200", param, ctx)
        if not out or len(out) > 1_000_000:
            self.fail(f"{value!r} names no seed, or more than a million", param, ctx)
        return out


def read(name_or_path):
    """Loads a scenario; exits with code 2 if it cannot be used."""
    try:
        return load(name_or_path)
    except ScenarioError as error:
        click.echo(str(error), err=True)
        sys.exit(2)


def make_console():
    """A console that doesn't wrap tables when the output is no terminal."""
    return Console() if sys.stdout.isatty() else Console(width=200)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main():
    """Simulates whole couriers in virtual time with seeded faults, and judges the runs by the delivery rules.

    \b
    python -m calicopin.emulator list
    python -m calicopin.emulator run mixed --seeds 1..200 --jobs 8
    python -m calicopin.emulator play kills --seed 7 --text 2a.1
    python -m calicopin.emulator shrink mixed --seed 1234

    Exit codes: 0 all rules kept, 1 a rule broken, 2 invalid arguments or scenario.
    """
    logger.remove()


@main.command("list")
def list_():
    """The scenarios that come with the emulator."""
    table = Table("scenario", "what happens", box=None)
    for name in scenario_names():
        table.add_row(name, read(name).about)
    make_console().print(table)


@main.command()
@click.argument("scenarios", nargs=-1, required=True)
@click.option(
    "--seeds", type=Seeds(), default="1..10", show_default=True, help="A seed, a range or a list of them."
)
@click.option("--jobs", type=click.IntRange(1, 64), default=min(8, os.cpu_count() or 1), show_default=True)
@click.option(
    "--fault", type=click.Choice(sorted(FAULTS)), help="Inject one of the known faults into the program."
)
@click.option(
    "--json",
    "path",
    type=click.Path(dir_okay=False, writable=True),
    help="Write the figures of each run to this file.",
)
def run(scenarios, seeds, jobs, fault, path):
    """Plays SCENARIOS (names or files; `all` for all that come with it) and judges them."""
    selected = [name for word in scenarios for name in (scenario_names() if word == "all" else [word])]
    loaded = {word: read(word) for word in selected}
    console, results, started = make_console(), [], time.monotonic()
    jobs_to_run = [(word, seed, fault, ()) for seed in seeds for word in selected]
    progress = Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
        console=Console(stderr=True),
        transient=True,
    )
    with progress:
        task = progress.add_task("playing", total=len(jobs_to_run))

        def on_result(result):
            results.append(result)
            if result.violations:
                word = next(word for word, scenario in loaded.items() if scenario.name == result.scenario)
                extra = f" --fault {fault}" if fault else ""
                console.print(
                    f"[bold]{result.violations[0]}[/bold] (+{len(result.violations) - 1} more)\n  replay: "
                    f"python -m calicopin.emulator play {word} --seed {result.seed}{extra}",
                    highlight=False,
                    soft_wrap=True,
                )
            progress.advance(task)

        try:
            runs.run_jobs(jobs_to_run, min(jobs, len(jobs_to_run)), on_result)
        except KeyboardInterrupt:
            console.print(f"stopped after {len(results)} of {len(jobs_to_run)} runs")
    summary(console, results, time.monotonic() - started)
    if path:
        with open(path, "w", encoding="utf-8") as file:
            for result in sorted(results, key=lambda one: (one.scenario, one.seed)):
                file.write(
                    json.dumps(
                        dict(
                            scenario=result.scenario,
                            seed=result.seed,
                            digest=result.digest,
                            breaks=list(map(str, result.violations)),
                            **result.figures,
                        )
                    )
                    + "\n"
                )
    sys.exit(1 if any(result.violations for result in results) else 0)


def summary(console, results, elapsed_s):
    """Prints a row for each scenario: means over its runs, and how many broke which rule."""
    table = Table("scenario", "runs", "broken", "rules", "texts", *TABLE_FIGURES, "times real", box=None)
    for name in sorted({result.scenario for result in results}):
        of_scenario = [result for result in results if result.scenario == name]
        broken = [result for result in of_scenario if result.violations]
        rules = Counter(rule for result in broken for rule in {one.rule for one in result.violations})
        means = [
            sum(result.figures[key] for result in of_scenario) / len(of_scenario) for key in TABLE_FIGURES
        ]
        table.add_row(
            name,
            str(len(of_scenario)),
            str(len(broken)),
            ", ".join(f"{r} {n}" for r, n in rules.most_common()),
            str(sum(result.figures["texts"] for result in of_scenario)),
            *(f"{mean:.3g}" for mean in means),
            f"{sum(r.simulated_s for r in of_scenario) / max(1e-9, sum(r.cpu for r in of_scenario)):.1f}",
        )
    console.print(table)
    console.print(
        f"{len(results)} runs, {sum(r.simulated_s for r in results):.0f} simulated seconds in "
        f"{elapsed_s:.0f} s; a search without a violation is no proof"
    )


@main.command()
@click.argument("scenario")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--calls", type=Seeds(), default="1..400", show_default=True, help="System calls in which it is killed."
)
@click.option("--again", type=Seeds(), help="Calls of the next process in which that one is killed too.")
@click.option("--jobs", type=click.IntRange(1, 64), default=min(8, os.cpu_count() or 1), show_default=True)
def sweep(scenario, seed, calls, again, jobs):
    """Repeats one run, with its first courier killed in each of the system calls in turn."""
    read(scenario)
    jobs_to_run = [
        (scenario, seed, None, (call, *next_kills))
        for call in calls
        for next_kills in ([(second_call,) for second_call in again] if again else [()])
    ]
    broken, killed, done = 0, 0, 0

    def on_result(result):
        nonlocal broken, killed, done
        done, killed = done + 1, killed + (result.starts > len(result.kills))
        if result.violations:
            broken += 1
            click.echo(f"killed at {result.kills}: {result.violations[0]}")

    runs.run_jobs(jobs_to_run, min(jobs, len(jobs_to_run)), on_result)
    click.echo(f"{done} runs, {killed} of them with every kill carried out, {broken} broken")
    sys.exit(1 if broken else 0)


@main.command()
@click.argument("scenario")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--fault", type=click.Choice(sorted(FAULTS)))
@click.option(
    "--kills",
    type=Seeds(),
    default=None,
    help="System calls in which the first courier's processes are killed.",
)
@click.option("--text", "ident", help="Only what concerns this text.")
@click.option("--log/--no-log", default=False, help="The couriers' log lines too.")
def play(scenario, seed, fault, kills, ident, log):
    """Plays one run and prints its events in words, then the referee's reasons."""
    simulation, referee, cpu = runs.play(read(scenario), seed, fault, kills=tuple(kills or ()))
    lines = describe_trace(simulation.world.trace, ident)
    if log:
        lines += [f"{at:12.1f} ms  {party} {level} {line}" for at, party, level, line in simulation.log_lines]
        lines.sort(key=lambda line: float(line.split(" ms", 1)[0]))
    for line in lines:
        click.echo(line)
    for one in referee.violations:
        click.echo(f"BROKEN {one}")
    click.echo(json.dumps(referee.figures()))
    click.echo(f"digest {simulation.world.digest()}, {simulation.world.now / 1000.0:.1f} s in {cpu:.2f} s")
    sys.exit(1 if referee.violations else 0)


@main.command()
@click.argument("scenario")
@click.option("--seed", type=int, required=True)
@click.option("--fault", type=click.Choice(sorted(FAULTS)))
@click.option(
    "--most", type=click.IntRange(1, 10000), default=200, show_default=True, help="Most runs to play."
)
def shrink(scenario, seed, fault, most):
    """Reduces a failing run: fewer troubles and texts, as long as the same rule is broken."""
    result = runs.shrink(read(scenario), seed, fault, lambda line: click.echo(line, err=True), most)
    if result is None:
        click.echo("no rule is broken in that run")
        sys.exit(0)
    troubles, texts, violation = result
    click.echo(
        f"{len(troubles)} troubles and {len(texts)} texts are left: {[text['number'] for text in texts][:40]}"
    )
    for trouble in troubles:
        click.echo(
            f"  {trouble.kind} at {trouble.at_s:g} s for {trouble.for_s:g} s, {trouble.whom}, "
            f"size {trouble.size:g}"
        )
    click.echo(f"BROKEN {violation}")
    sys.exit(1)


@main.command("fleet")
@click.argument("scenario")
@click.option("--seeds", type=Seeds(), default="1", show_default=True)
@click.option(
    "--couriers", type=click.IntRange(1, 10000), help="Number of couriers, in place of the scenario's."
)
@click.option("--texts", type=click.FloatRange(min=0.01), help="Texts a second, in place of the scenario's.")
def fleet_(scenario, seeds, couriers, texts):
    """The decision logic alone, without sockets, for hundreds of couriers."""
    broken = False
    for seed in seeds:
        result = fleet.play(read(scenario), seed, couriers, texts)
        broken = broken or bool(result.violations)
        for one in result.violations[:5]:
            click.echo(f"BROKEN {one}")
        click.echo(
            json.dumps(
                dict(
                    seed=seed,
                    digest=result.digest,
                    times_real=round(result.simulated_s / result.cpu, 1),
                    **result.figures,
                )
            )
        )
    sys.exit(1 if broken else 0)


@main.command()
@click.argument("scenario")
def show(scenario):
    """Prints the scenario with every default."""
    click.echo(dump(read(scenario)))


if __name__ == "__main__":
    main()
