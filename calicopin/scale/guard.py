"""Limits on memory and processes; a run that would exceed them is refused before it starts."""

import os
from dataclasses import dataclass

MIB = 1 << 20
MAX_MEMORY_SHARE = 0.5  # of the machine's memory; arguments cannot raise it
MAX_PROCESSES = 300

# For the estimate of a run; docs/scale.md names the run that measured it.
PROCESS_BYTES = 40 * MIB  # an interpreter with the program and its libraries


class RunRefusedError(Exception):
    """The run would exceed its limits; the message is a single line."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits of a run: memory in bytes, and number of processes."""

    memory: int
    processes: int


@dataclass(frozen=True, slots=True)
class Estimate:
    """Expected use of a run: memory in bytes, and number of processes."""

    memory: float
    processes: int


def machine_memory() -> int:
    """Physical memory of the machine in bytes."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")


def bounds(memory_mib: int | None, processes: int | None) -> Bounds:
    """The requested limits, capped at half of the machine's memory and `MAX_PROCESSES` (the defaults)."""
    half = int(machine_memory() * MAX_MEMORY_SHARE)
    memory = half if memory_mib is None else memory_mib * MIB
    count = MAX_PROCESSES if processes is None else processes
    return Bounds(min(memory, half), min(count, MAX_PROCESSES))


def check(estimate: Estimate, allowed: Bounds) -> None:
    """Raises RunRefusedError if the run would exceed a limit."""
    if estimate.memory > allowed.memory:
        raise RunRefusedError(
            f"refused: the run would take some {estimate.memory / MIB:,.0f} MiB of memory,"
            f" and {allowed.memory / MIB:,.0f} MiB is the limit; use smaller sizes"
        )
    if estimate.processes > allowed.processes:
        raise RunRefusedError(
            f"refused: the run would take {estimate.processes} processes,"
            f" and {allowed.processes} is the limit; use fewer"
        )
