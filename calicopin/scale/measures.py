"""Measurements of the decisions and the journal alone, each meant for a process of its own, on one core.

Each returns plain numbers by the name of the figure. Time is processor time of this process; memory is what
the process holds resident, before and after.
"""

import gc
import os
import statistics
import tempfile
import time
from collections import deque

from calicopin import deployment_settings
from calicopin.decisions import Courier
from calicopin.facade import Answer, Call, Facade, Far, Place
from calicopin.interface import Entry, Listed, Taken
from calicopin.scale.list_source import ListSize, encode, entries
from calicopin.state.journal import Journal
from calicopin.state.texts import Text
from calicopin.wire.discovery import decode_list

CHANGES = 15  # single changes that are timed in one process
WARM_UP = 3  # of them, not counted
VALIDITY = 24 * 3600.0  # seconds that a waiting message stays valid
BODY = 256  # bytes of a message's body
ANSWERED = 150.0  # milliseconds from a call to its answer
USED = 90  # destinations that one courier sends to
DISK = 8 << 30  # bytes that the journal may take: no rewrite is wanted within a measurement


def resident() -> int:
    """Bytes that this process holds resident."""
    gc.collect()
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def settings(room: int, slots: int = 400) -> dict:
    """A deployment's settings for one courier with one kind of message."""
    return {
        "slotNo": 0,
        "groupSize": 19_000,
        "tick": 0.005,
        "kinds": ["partner-api", "store-hook", "billing"],
        "grades": [{"name": "event", "idempotency": "read_like", "aim": VALIDITY / 2, "giveUp": VALIDITY}],
        "familyInfo": {"workers": slots},
        "ceilings": {"mostHeld": room, "tryLimit": 12},
        "rules": {"coldFrom": 0.2, "cold": 10.0, "tipMultiple": 2.0, "fall": 3.0},
        "weights": "nominal",
    }


def places(destinations: int, seed: int) -> list[Place]:
    """A whole list of so many destinations as the list's reader gives it."""
    servers = list(entries(ListSize(destinations), seed))
    return decode_list({"full": True, "version": 1, "servers": servers})[2]


def copies(some: list[Place]) -> list[Place]:
    """The same list as it would be read anew."""
    return [
        Place(one.ident, one.address, one.dest, one.kind, one.zone, one.ready, one.agreed) for one in some
    ]


def listed(destinations: int, seed: int) -> dict[str, float]:
    """What a list costs: its memory, a whole one at first and again, and one changed entry of it."""
    some = places(destinations, seed)
    facade, empty = Facade(seed, settings(400), 400, 0.0), resident()
    # the places were read before: what the decisions hold of them in common is not counted, see list_memory
    first = _timed(facade, 100.0, some, True)
    memory = resident() - empty
    again = _timed(facade, 200.0, copies(some), True)
    changes = []
    for turn in range(WARM_UP + CHANGES):
        one = copies([some[turn * (len(some) // (WARM_UP + CHANGES))]])
        one[0].agreed += 1.0
        changes.append(_timed(facade, 300.0 + turn * 250.0, one, False))
    return {
        "memory": memory,
        "first": first,
        "again": again,
        "change": statistics.median(changes[WARM_UP:]),
        "change_worst": max(changes[WARM_UP:]),
    }


def _timed(facade: Facade, now: float, some: list[Place], whole: bool) -> float:
    """Milliseconds of this process' time for one piece of news of the list."""
    began = time.process_time()
    facade.listed(some, whole)
    facade.tick(now)
    return (time.process_time() - began) * 1000.0


def list_memory(destinations: int, seed: int) -> dict[str, float]:
    """The memory of a list from its JSON on: what is read, and what the decisions hold of it."""
    facade, empty = Facade(seed, settings(400), 400, 0.0), resident()
    facade.listed(places(destinations, seed), True)
    facade.tick(100.0)
    return {"whole": resident() - empty}


def messages(count: int, seed: int) -> dict[str, float]:
    """The memory of waiting messages in the decisions alone: their destination has no endpoint."""
    courier, empty = deployment_settings.courier(seed, settings(2 * count), asks=False), resident()
    listed_first(courier)
    for number in range(count):
        courier.handle(number * 0.01, [Taken(number, number % USED, 0, VALIDITY * 1000.0 + number * 0.01)])
    return {"decisions": resident() - empty}


def listed_first(courier: Courier) -> None:
    """The destinations of the measurement, each with an endpoint that has left: messages wait."""
    courier.handle(0.0, [Listed([Entry(one, one, ready=False) for one in range(USED)], True)])


def text_of(number: int, now: float) -> Text:
    """One message as a courier keeps it; nothing of it is shared with another."""
    return Text(
        f"{number:024x}",
        number % USED,
        0,
        f"r-{number:020x}",
        None,
        now + VALIDITY * 1000.0,
        os.urandom(BODY),
    )


def kept_messages(count: int, seed: int) -> dict[str, float]:
    """The memory of waiting messages as a courier holds them: text with body, facade, decisions, journal."""
    with tempfile.TemporaryDirectory() as folder:
        journal = Journal(folder, DISK, 0.0)
        facade, empty = Facade(seed, settings(2 * count), 400, 0.0), resident()
        for number in range(count):
            now = number * 0.01
            text = text_of(number, now)
            journal.taken(text)
            facade.hand_in(text)
            facade.tick(now)
            if number % 100 == 99:
                journal.flush()
        journal.flush()
        return {"kept": resident() - empty, "disk": journal.size}


def rate(
    per_second: int, seed: int, seconds: float = 20.0, journal: Journal | None = None
) -> dict[str, float]:
    """Processor time of the decisions for messages that arrive evenly and are all delivered at once.

    Virtual time; every message is a turn of its own when it arrives and another one when it is answered.
    """
    facade = Facade(seed, settings(100_000), 400, 0.0)
    facade.listed(places(USED, seed), True)
    facade.tick(0.0)
    run = _Traffic(facade, journal)
    made = [text_of(number, 0.0) for number in range(int(per_second * seconds))]
    began = time.process_time()
    run.play(made, 1000.0 / per_second)
    cpu = time.process_time() - began
    return {"cpu": cpu / seconds * 1000.0, "delivered": run.delivered, "offered": len(made)}


class _Traffic:
    """Messages through the decisions in virtual time, with every call answered after the same while."""

    def __init__(self, facade: Facade, journal: Journal | None):
        self.facade, self.journal = facade, journal
        self.answers: deque[tuple[float, Call]] = deque()
        self.due, self.delivered = float("inf"), 0

    def play(self, texts: list[Text], step: float) -> None:
        """Hands in one text each `step` milliseconds, and goes on until the last answer."""
        arrivals = deque((number * step, text) for number, text in enumerate(texts))
        while True:
            if not arrivals and not self.answers:
                return
            now = min(
                self.due,
                arrivals[0][0] if arrivals else float("inf"),
                self.answers[0][0] if self.answers else float("inf"),
            )
            while self.answers and self.answers[0][0] <= now:
                self.facade.report(self.answers.popleft()[1], Answer(Far.ANSWERED, status=200), ANSWERED)
            while arrivals and arrivals[0][0] <= now:
                self._take(arrivals.popleft()[1], now)
            self._turn(now)

    def _take(self, text: Text, now: float) -> None:
        text.until = now + VALIDITY * 1000.0
        if self.journal:
            self.journal.taken(text)
        self.facade.hand_in(text)

    def _turn(self, now: float) -> None:
        self.due = self.facade.tick(now)
        while call := self.facade.pick():
            if self.journal:
                for text in call.texts:
                    self.journal.sent(text, now, call.place.zone)
            self.answers.append((now + ANSWERED, call))
        while end := self.facade.ended():
            self.delivered += end.delivered
            if self.journal:
                self.journal.over(end.text, now)
        while self.facade.said():
            pass
        if self.journal:
            self.journal.flush()


def journal_bytes(count: int, seed: int) -> dict[str, float]:
    """Bytes of the journal for messages that are taken on, sent once and delivered, and its share of time."""
    with tempfile.TemporaryDirectory() as folder:
        journal = Journal(folder, DISK, 0.0)
        before = journal.size
        told = rate(132, seed, count / 132.0, journal)
        return {
            "bytes": journal.size - before,
            "cpu": told["cpu"] * count / 132.0,
            "delivered": told["delivered"],
        }


def entry_bytes(destinations: int, seed: int) -> dict[str, float]:
    """Bytes of a whole list as JSON."""
    return {"bytes": sum(len(encode(one)) + 1 for one in entries(ListSize(destinations), seed))}
