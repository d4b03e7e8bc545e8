"""Many runs: seeds spread over processes, and one that fails made smaller for as long as the same rule
breaks.
"""

import multiprocessing
import signal
import time
from dataclasses import dataclass, field

from loguru import logger

from calicopin.emulator import faults, list_faults  # noqa: F401  the latter adds its faults to the others
from calicopin.emulator.day import Simulation
from calicopin.emulator.list_referee import judge
from calicopin.emulator.nodes import given_up_after
from calicopin.emulator.referee import Referee
from calicopin.emulator.scenario import load
from calicopin.lifecycle.start import serve

CPU_MOST = 300  # seconds of CPU for one run: beyond that a loop that asks for nothing never ends


@dataclass(slots=True)
class Result:
    """What one run came to. `cpu` is in seconds."""

    scenario: str
    seed: int
    digest: str
    simulated_s: float
    cpu: float
    breaks: list = field(default_factory=list)
    figures: dict = field(default_factory=dict)
    events: int = 0
    kills: tuple = ()
    starts: int = 0  # of the first courier's processes


class Endless(BaseException):
    """A loop without a single system call."""


def guarded(play):
    """Calls `play` under a limit of CPU time, where signals can be had."""

    def late(*_):
        raise Endless

    try:
        before = signal.signal(signal.SIGVTALRM, late)
    except ValueError:  # not in the main thread
        return play()
    signal.setitimer(signal.ITIMER_VIRTUAL, CPU_MOST)
    try:
        return play()
    finally:
        signal.setitimer(signal.ITIMER_VIRTUAL, 0)
        signal.signal(signal.SIGVTALRM, before)


def play(scenario, seed, fault=None, troubles=None, texts=None, kills=()):
    """One run: (the day, its referee, the CPU it took)."""
    began = time.process_time()
    with faults.put_in(fault), given_up_after(scenario.nodes.given_up_s):
        simulation = Simulation(scenario, seed, serve, troubles, texts, kills)
        try:
            guarded(simulation.play)
        except Endless:
            simulation.world.record(
                "end", "a courier", "busy", f"{CPU_MOST} s of CPU at one moment, without a system call"
            )
    return simulation, judge(simulation, Referee(simulation)), time.process_time() - began


def once(job):
    """One run as a process of the pool plays it."""
    word, seed, fault, kills = job
    logger.remove()
    scenario = load(word)
    simulation, referee, cpu = play(scenario, seed, fault, kills=kills)
    return Result(
        scenario.name,
        seed,
        simulation.world.digest(),
        simulation.world.now / 1000.0,
        cpu,
        referee.breaks,
        referee.figures(),
        simulation.world.events_run,
        kills,
        simulation.couriers[0].start_count,
    )


def many(jobs, processes, told=lambda result: None):
    """Results as they come; `jobs` are (scenario, seed, fault, kills)."""
    if processes == 1:
        for job in jobs:
            told(once(job))
        return
    with multiprocessing.get_context("spawn").Pool(processes, _quiet) as pool:
        for result in pool.imap_unordered(once, jobs):
            told(result)


def _quiet():
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def shrink(scenario, seed, fault=None, told=lambda line: None, most=200):
    """The smallest run found in which the same rule breaks: (troubles, texts, the break).

    First troubles are left out, then texts, in ever smaller parts; `most` runs are played."""
    simulation, referee, _ = play(scenario, seed, fault)
    if not referee.breaks:
        return None
    rule = referee.breaks[0].rule
    troubles, texts, found, left = (
        list(simulation.troubles),
        list(simulation.texts),
        referee.breaks[0],
        [most],
    )

    def breaks(some_troubles, some_texts):
        nonlocal found
        if left[0] <= 0:
            return False
        left[0] -= 1
        _, judged, _ = play(scenario, seed, fault, some_troubles, some_texts)
        same = [one for one in judged.breaks if one.rule == rule]
        if same:
            found = same[0]
        return bool(same)

    def smaller(whole, still):
        size = max(1, len(whole) // 2)
        while whole and left[0] > 0:
            at, any_left_out = 0, False
            while at < len(whole):
                rest = whole[:at] + whole[at + size :]
                if still(rest):
                    whole, any_left_out = rest, True
                else:
                    at += size
            told(f"{len(whole)} left, parts of {size}, {left[0]} runs to go")
            if size == 1 and not any_left_out:
                break
            size = max(1, size // 2)
        return whole

    troubles = smaller(troubles, lambda some: breaks(some, texts))
    texts = smaller(texts, lambda some: breaks(troubles, some))
    return troubles, texts, found
