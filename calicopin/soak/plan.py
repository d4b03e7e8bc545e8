"""The plan of a soak, drawn from its seed. No I/O; times are seconds from the start of the traffic."""

import random
from dataclasses import dataclass, replace

from calicopin.soak.destination import OUTAGE_MODES
from calicopin.soak.fleet import DestinationPlan
from calicopin.soak.hostile import PAYLOADS
from calicopin.soak.rules import SlowStart

SLOW_START_RULES = (
    SlowStart(cold_from=0.16, cold=8.0, multiple=2.5, span=3.0),
    SlowStart(cold_from=0.2, cold=6.0, multiple=2.0, span=2.0),
    SlowStart(cold_from=0.3, cold=8.0, multiple=1.5, span=3.0),
)
MIN_COURIERS, MAX_COURIERS = 10, 40
FILE_WRITE_CALLS = ("write", "create", "replace")  # a full or failing disk fails every one of them
MAX_FILE_FAULT_SECONDS = 12.0
STOP_SIGNALS = (
    ("SIGTERM",),
    ("SIGTERM", "SIGTERM"),
    ("SIGHUP", "SIGTERM"),
    ("SIGTERM", "SIGHUP", "SIGINT"),
    ("SIGINT", "SIGTERM", "SIGTERM", "SIGHUP"),
)
BUSY_CAPACITY = (60.0, 150.0)  # calls per second: connections are reused soon
REPEATING_PEERS = 0.4  # share of the peers that send answers twice
COPY_DELAYS_SECONDS = (0.0, 0.012, 0.05, 0.09)
CUT_COPIES = 0.3  # share of them that send cut copies
LOAD_RANGE = (0.5, 1.1)  # share of a destination's capacity
SYSTEM_ERRORS = {  # documented by Linux for the call and possible in a courier; `short`: partial transfer
    "accept": (
        "EINTR",
        "ECONNABORTED",
        "EMFILE",
        "ENFILE",
        "ENOBUFS",
        "ENOMEM",
        "EPERM",
        "EPROTO",
        "EHOSTUNREACH",
    ),
    "socket": ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"),
    "connect": (
        "EINTR",
        "EADDRNOTAVAIL",
        "ENETUNREACH",
        "EAGAIN",
        "ENOBUFS",
        "ENETDOWN",
        "ETIMEDOUT",
        "ECONNREFUSED",
    ),
    "send": ("short", "EINTR", "ENOBUFS", "ENOMEM", "ECONNRESET", "EPIPE", "ETIMEDOUT", "EHOSTUNREACH"),
    "recv": ("short", "EINTR", "ENOBUFS", "ENOMEM", "ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH"),
    "epoll_ctl": ("ENOMEM", "ENOSPC"),
    "read": ("ENFILE", "EIO"),
    "write": ("ENOSPC", "EIO", "EDQUOT", "EFBIG", "short"),
    "cut": ("EIO",),
    "create": ("ENOSPC", "EIO", "EMFILE"),
    "replace": ("ENOSPC", "EIO"),
}


@dataclass(frozen=True, slots=True)
class OutageStep:
    """One destination fails in the mode `how` for `length` seconds."""

    at: float
    length: float
    destination: int
    how: str


@dataclass(frozen=True, slots=True)
class RestartStep:
    """A share of the couriers is stopped at once and started again after `down` seconds.

    `gently`: by `signals`, sent one right after the other, and by SIGKILL only once their time is over.
    """

    at: float
    share: float
    down: float
    gently: bool
    signals: tuple[str, ...] = ("SIGTERM",)


@dataclass(frozen=True, slots=True)
class StallStep:
    """A share of the couriers is suspended (SIGSTOP) for `length` seconds."""

    at: float
    share: float
    length: float


@dataclass(frozen=True, slots=True)
class SilenceStep:
    """Discovery answers no request for the endpoint list for `length` seconds."""

    at: float
    length: float


@dataclass(frozen=True, slots=True)
class DrainStep:
    """One endpoint of a destination is replaced: it is marked leaving and removed `stays` seconds later."""

    at: float
    stays: float
    destination: int


@dataclass(frozen=True, slots=True)
class SignalStep:
    """A share of the couriers gets `count` SIGHUP, `gap` seconds apart."""

    at: float
    share: float
    count: int
    gap: float


@dataclass(frozen=True, slots=True)
class CrowdStep:
    """Idle clients hold `connections` connections at each of a share of the couriers."""

    at: float
    length: float
    share: float
    connections: int


@dataclass(frozen=True, slots=True)
class HostileStep:
    """A hostile client at each of a share of the couriers sends requests of the kind `how`."""

    at: float
    length: float
    share: float
    how: str


@dataclass(frozen=True, slots=True)
class RepeatStep:
    """A peer sends a share of its answers once more, up to `delay` seconds later.

    `destination` is None for the platform; `cut`: each copy breaks off.
    """

    at: float
    length: float
    destination: int | None
    share: float
    delay: float
    cut: bool


@dataclass(frozen=True, slots=True)
class SystemFault:
    """A share of one kind of system call fails at a share of the couriers.

    `step` is the offset of the wall clock in seconds (call `wall`).
    """

    at: float
    length: float
    couriers: float
    call: str
    share: float
    error: str
    step: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """The parameters and scheduled faults of one soak."""

    seed: int
    couriers: int
    seconds: float
    rule: SlowStart
    destinations: tuple[DestinationPlan, ...]
    load: float
    skew: float  # exponent of the Pareto distribution of traffic over the couriers
    outages: tuple[OutageStep, ...]
    restarts: tuple[RestartStep, ...]
    stalls: tuple[StallStep, ...]
    silences: tuple[SilenceStep, ...]
    system: tuple[SystemFault, ...]
    drains: tuple[DrainStep, ...] = ()
    signals: tuple[SignalStep, ...] = ()
    crowds: tuple[CrowdStep, ...] = ()
    hostiles: tuple[HostileStep, ...] = ()
    repeats: tuple[RepeatStep, ...] = ()

    def summary(self) -> str:
        """The plan in one line."""
        outages = ", ".join(f"{o.destination} {o.how} {o.at:.1f}+{o.length:.1f}" for o in self.outages)
        restarts = ", ".join(
            f"{r.share:.0%} {'+'.join(r.signals) if r.gently else 'SIGKILL'} {r.at:.1f}+{r.down:.1f}"
            for r in self.restarts
        )
        drains = ", ".join(f"{d.destination} {d.at:.1f}" for d in self.drains)
        faults = ", ".join(f"{f.call} {f.error or f.step} {f.at:.1f}+{f.length:.1f}" for f in self.system)
        signals = ", ".join(f"{s.count} SIGHUP {s.at:.1f}" for s in self.signals)
        hostiles = ", ".join(f"{h.how} {h.at:.1f}+{h.length:.1f}" for h in self.hostiles)
        crowds = ", ".join(f"{c.connections} clients {c.at:.1f}+{c.length:.1f}" for c in self.crowds)
        repeats = ", ".join(
            f"{'platform' if r.destination is None else r.destination} {r.share:.0%} within {r.delay:.3f} s"
            f"{' cut' if r.cut else ''} {r.at:.1f}+{r.length:.1f}"
            for r in self.repeats
        )
        return (
            f"{self.couriers} couriers; outages {outages}; restarts {restarts}; drains {drains}; "
            f"system calls {faults}; signals {signals}; crowds {crowds}; "
            f"hostile clients {hostiles}; repeated answers {repeats}"
        )


def draw_plan(seed: int, seconds: float = 30.0, couriers: int | None = None) -> Plan:
    """The plan of a seed.

    Each destination has one outage, except for a busy one at the end, which repeats answers. Restarts are
    placed so that they overlap with outages and recoveries; other faults come at any time.
    """
    rng = random.Random(f"soak/{seed}")
    client_rng = random.Random(f"soak/{seed}/clients")
    hostile_rng = random.Random(f"soak/{seed}/hostile")
    peer_rng = random.Random(f"soak/{seed}/peers")
    rule = rng.choice(SLOW_START_RULES)
    destinations = tuple(
        DestinationPlan(
            capacity=rng.uniform(3.0, 12.0),
            answer_after=rng.uniform(0.05, 0.25),
            bundle=rng.choice((1, 1, 10)),
            wait=rng.choice((0.0, 0.5)),
        )
        for _ in range(rng.randint(2, 4))
    )
    outages = tuple(_draw_outage(rng, number, seconds) for number in range(len(destinations)))
    busy = DestinationPlan(
        capacity=peer_rng.uniform(*BUSY_CAPACITY),
        answer_after=peer_rng.uniform(0.01, 0.1),
        bundle=peer_rng.choice((1, 1, 10)),
    )
    return Plan(
        seed=seed,
        couriers=couriers or rng.randint(MIN_COURIERS, MAX_COURIERS),
        seconds=seconds,
        rule=rule,
        destinations=(*destinations, busy),
        load=rng.uniform(*LOAD_RANGE),
        skew=rng.uniform(1.2, 3.0),
        outages=outages,
        restarts=tuple(
            replace(step, signals=client_rng.choice(STOP_SIGNALS))
            for step in sorted(_draw_restarts(rng, outages, seconds), key=lambda step: step.at)
        ),
        stalls=tuple(
            StallStep(rng.uniform(0.0, seconds), rng.uniform(0.1, 0.5), rng.uniform(0.05, 0.15))
            for _ in range(rng.randint(0, 6))
        ),
        silences=tuple(
            SilenceStep(rng.uniform(0.0, seconds * 0.6), rng.uniform(2.0, 8.0))
            for _ in range(rng.randint(0, 1))
        ),
        system=tuple(_draw_system_fault(rng, seconds) for _ in range(rng.randint(0, 5))),
        drains=tuple(
            DrainStep(rng.uniform(1.0, seconds), rng.uniform(0.2, 4.0), rng.randrange(len(destinations)))
            for _ in range(rng.randint(0, 4))
        ),
        signals=tuple(
            SignalStep(
                client_rng.uniform(0.0, seconds),
                client_rng.uniform(0.1, 1.0),
                client_rng.randint(1, 5),
                client_rng.choice((0.0, 0.02, 0.2)),
            )
            for _ in range(client_rng.randint(0, 3))
        ),
        crowds=tuple(
            CrowdStep(
                client_rng.uniform(0.0, seconds * 0.7),
                client_rng.uniform(2.0, 8.0),
                client_rng.uniform(0.1, 0.3),
                client_rng.randint(60, 300),
            )
            for _ in range(client_rng.choice((0, 0, 1)))
        ),
        hostiles=tuple(
            HostileStep(
                hostile_rng.uniform(0.0, seconds * 0.7),
                hostile_rng.uniform(1.0, 5.0),
                hostile_rng.uniform(0.1, 0.3),
                hostile_rng.choice(tuple(PAYLOADS)),
            )
            for _ in range(hostile_rng.randint(0, 2))
        ),
        repeats=tuple(
            _draw_repeats(peer_rng, destination, seconds)
            for destination in (None, *range(len(destinations) + 1))
            if destination == len(destinations) or peer_rng.random() < REPEATING_PEERS
        ),
    )


def _draw_repeats(rng: random.Random, destination: int | None, seconds: float) -> RepeatStep:
    at = rng.uniform(0.0, seconds * 0.6)
    return RepeatStep(
        at,
        rng.uniform(2.0, seconds - at),
        destination,
        rng.uniform(0.05, 1.0),
        rng.choice(COPY_DELAYS_SECONDS),
        rng.random() < CUT_COPIES,
    )


def _draw_outage(rng: random.Random, destination: int, seconds: float) -> OutageStep:
    length = rng.uniform(1.5, seconds * 0.4)
    return OutageStep(
        rng.uniform(seconds * 0.1, seconds * 0.9 - length), length, destination, rng.choice(OUTAGE_MODES)
    )


def _draw_restarts(rng: random.Random, outages: tuple[OutageStep, ...], seconds: float):
    """Yields restarts near the end of an outage, from 3 s before it to 2 s after it."""
    for _ in range(rng.randint(1, 3)):
        outage = rng.choice(outages)
        at = outage.at + outage.length + rng.uniform(-3.0, 2.0)
        yield RestartStep(
            min(max(1.0, at), seconds - 1.0),
            rng.choice((0.1, 0.3, 0.7, 1.0)),
            rng.uniform(0.0, 3.0),
            rng.random() < 0.3,
        )


def _draw_system_fault(rng: random.Random, seconds: float) -> SystemFault:
    at, length, couriers = rng.uniform(0.0, seconds * 0.8), rng.uniform(0.5, 4.0), rng.uniform(0.2, 1.0)
    if rng.random() < 0.25:
        step = rng.choice((-3600.0, -5.0, 5.0, 3600.0))
        return SystemFault(at, seconds, couriers, "wall", 1.0, "", step)
    call = rng.choice(tuple(SYSTEM_ERRORS))
    error = rng.choice(SYSTEM_ERRORS[call])
    share = rng.uniform(0.02, 0.1) if call in ("send", "recv") and error != "short" else rng.uniform(0.1, 0.9)
    if call in FILE_WRITE_CALLS:
        share, length = 1.0, rng.uniform(0.5, MAX_FILE_FAULT_SECONDS)
    return SystemFault(at, length, couriers, call, share, error)
