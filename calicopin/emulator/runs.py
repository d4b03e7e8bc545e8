"""Many runs: seeds spread over processes, and a failing run reduced as long as the same rule is broken."""

import multiprocessing
import signal
import time
from dataclasses import dataclass, field

from loguru import logger

from calicopin.emulator import faults, list_faults  # noqa: F401  list_faults registers its faults
from calicopin.emulator.list_referee import judge
from calicopin.emulator.nodes import unsubscribe_after
from calicopin.emulator.referee import Referee
from calicopin.emulator.scenario import load
from calicopin.emulator.simulation import Simulation
from calicopin.lifecycle.start import serve

MAX_RUN_CPU_S = 300  # beyond it the program is taken to loop without system calls


@dataclass(slots=True)
class Result:
    """The result of one run; `cpu` is in seconds."""

    scenario: str
    seed: int
    digest: str
    simulated_s: float
    cpu: float
    violations: list = field(default_factory=list)
    figures: dict = field(default_factory=dict)
    events: int = 0
    kills: tuple = ()
    starts: int = 0  # processes of the first courier


class CpuLimitExceeded(BaseException):
    """The program loops without a system call."""


def with_cpu_limit(play):
    """Calls `play` under a limit of CPU time, where signals are available."""

    def on_alarm(*_):
        raise CpuLimitExceeded

    try:
        original = signal.signal(signal.SIGVTALRM, on_alarm)
    except ValueError:  # not in the main thread
        return play()
    signal.setitimer(signal.ITIMER_VIRTUAL, MAX_RUN_CPU_S)
    try:
        return play()
    finally:
        signal.setitimer(signal.ITIMER_VIRTUAL, 0)
        signal.signal(signal.SIGVTALRM, original)


def play(scenario, seed, fault=None, troubles=None, texts=None, kills=()):
    """Plays one run: (simulation, referee, CPU seconds)."""
    started = time.process_time()
    with faults.injected(fault), unsubscribe_after(scenario.nodes.given_up_s):
        simulation = Simulation(scenario, seed, serve, troubles, texts, kills)
        try:
            with_cpu_limit(simulation.play)
        except CpuLimitExceeded:
            simulation.world.record(
                "end", "a courier", "busy", f"{MAX_RUN_CPU_S} s of CPU without a system call"
            )
    return simulation, judge(simulation, Referee(simulation)), time.process_time() - started


def run_job(job):
    """Plays one job in a process of the pool."""
    name_or_path, seed, fault, kills = job
    logger.remove()
    scenario = load(name_or_path)
    simulation, referee, cpu = play(scenario, seed, fault, kills=kills)
    return Result(
        scenario.name,
        seed,
        simulation.world.digest(),
        simulation.world.now / 1000.0,
        cpu,
        referee.violations,
        referee.figures(),
        simulation.world.events_run,
        kills,
        simulation.couriers[0].start_count,
    )


def run_jobs(jobs, processes, on_result=lambda result: None):
    """Plays jobs of (scenario, seed, fault, kills) and passes each result to `on_result` as it comes."""
    if processes == 1:
        for job in jobs:
            on_result(run_job(job))
        return
    with multiprocessing.get_context("spawn").Pool(processes, _ignore_interrupt) as pool:
        for result in pool.imap_unordered(run_job, jobs):
            on_result(result)


def _ignore_interrupt():
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def shrink(scenario, seed, fault=None, on_progress=lambda line: None, max_runs=200):
    """The smallest run found that breaks the same rule: (troubles, texts, violation); None if no rule is
    broken.

    First troubles, then texts are left out, in ever smaller parts; at most `max_runs` runs are played.
    """
    simulation, referee, _ = play(scenario, seed, fault)
    if not referee.violations:
        return None
    rule = referee.violations[0].rule
    troubles, texts, found, runs_left = (
        list(simulation.troubles),
        list(simulation.texts),
        referee.violations[0],
        [max_runs],
    )

    def breaks(some_troubles, some_texts):
        nonlocal found
        if runs_left[0] <= 0:
            return False
        runs_left[0] -= 1
        _, judged, _ = play(scenario, seed, fault, some_troubles, some_texts)
        same = [one for one in judged.violations if one.rule == rule]
        if same:
            found = same[0]
        return bool(same)

    def reduce(items, still_breaks):
        size = max(1, len(items) // 2)
        while items and runs_left[0] > 0:
            start, any_left_out = 0, False
            while start < len(items):
                rest = items[:start] + items[start + size :]
                if still_breaks(rest):
                    items, any_left_out = rest, True
                else:
                    start += size
            on_progress(f"{len(items)} left, in parts of {size}, {runs_left[0]} runs remaining")
            if size == 1 and not any_left_out:
                break
            size = max(1, size // 2)
        return items

    troubles = reduce(troubles, lambda some: breaks(some, texts))
    texts = reduce(texts, lambda some: breaks(troubles, some))
    return troubles, texts, found
