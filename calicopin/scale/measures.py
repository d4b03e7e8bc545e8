"""Measurements of the decisions and the journal alone; each is meant to run in a fresh process.

Each returns its figures by name. Time is processor time of this process; memory is the growth of its resident
set.
"""

import gc
import os
import statistics
import tempfile
import time
from collections import deque

from calicopin import deployment_settings
from calicopin.decisions import Courier
from calicopin.facade import Call, CallProgress, CallResult, Facade, Place
from calicopin.interface import Entry, Listed, Taken
from calicopin.scale.list_source import ListSize, encode, entries
from calicopin.state.journal import Journal
from calicopin.state.texts import Text
from calicopin.wire.discovery import decode_list

TIMED_CHANGES = 15  # single changes timed in one process
WARM_UP_CHANGES = 3  # additional changes at the start, not counted
VALIDITY_S = 24 * 3600.0  # validity period of a waiting message
BODY_BYTES = 256
ANSWER_DELAY_MS = 150.0  # from a call to its response
USED_DESTINATIONS = 90  # by one courier
JOURNAL_LIMIT_BYTES = 8 << 30  # high enough that the journal is not rewritten during a measurement


def resident_bytes() -> int:
    """Resident set size of this process in bytes, after a garbage collection."""
    gc.collect()
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def settings(room: int, slots: int = 400) -> dict:
    """Deployment settings for one courier with one product."""
    return {
        "slotNo": 0,
        "groupSize": 19_000,
        "tick": 0.005,
        "kinds": ["partner-api", "store-hook", "billing"],
        "grades": [
            {"name": "event", "idempotency": "read_like", "aim": VALIDITY_S / 2, "giveUp": VALIDITY_S}
        ],
        "familyInfo": {"workers": slots},
        "ceilings": {"mostHeld": room, "tryLimit": 12},
        "rules": {"coldFrom": 0.2, "cold": 10.0, "tipMultiple": 2.0, "fall": 3.0},
        "weights": "nominal",
    }


def places(destinations: int, seed: int) -> list[Place]:
    """A whole list of this many destinations, as parsed by the discovery reader."""
    servers = list(entries(ListSize(destinations), seed))
    return decode_list({"full": True, "version": 1, "servers": servers})[2]


def copy_places(originals: list[Place]) -> list[Place]:
    """New objects with the same content, as if the list had been read again."""
    return [
        Place(place.ident, place.address, place.dest, place.kind, place.zone, place.ready, place.agreed)
        for place in originals
    ]


def list_costs(destinations: int, seed: int) -> dict[str, float]:
    """Memory of a list, and time for the first whole list, the same list again and one changed entry."""
    all_places = places(destinations, seed)
    facade, empty = Facade(seed, settings(400), 400, 0.0), resident_bytes()
    # The places exist already: memory that the decisions share with them is not counted, see list_memory.
    first = _time_list_update(facade, 100.0, all_places, True)
    memory = resident_bytes() - empty
    again = _time_list_update(facade, 200.0, copy_places(all_places), True)
    changes = []
    for turn in range(WARM_UP_CHANGES + TIMED_CHANGES):
        changed_place = copy_places(
            [all_places[turn * (len(all_places) // (WARM_UP_CHANGES + TIMED_CHANGES))]]
        )
        changed_place[0].agreed += 1.0
        changes.append(_time_list_update(facade, 300.0 + turn * 250.0, changed_place, False))
    return {
        "memory": memory,
        "first": first,
        "again": again,
        "change": statistics.median(changes[WARM_UP_CHANGES:]),
        "change_worst": max(changes[WARM_UP_CHANGES:]),
    }


def _time_list_update(facade: Facade, now: float, changed_places: list[Place], whole: bool) -> float:
    """Processor time (ms) to take one update of the list and run the next tick."""
    began = time.process_time()
    facade.update_list(changed_places, whole)
    facade.tick(now)
    return (time.process_time() - began) * 1000.0


def list_memory(destinations: int, seed: int) -> dict[str, float]:
    """Memory of a list including its parsed form, not only what the decisions add."""
    facade, empty = Facade(seed, settings(400), 400, 0.0), resident_bytes()
    facade.update_list(places(destinations, seed), True)
    facade.tick(100.0)
    return {"whole": resident_bytes() - empty}


def decision_memory(count: int, seed: int) -> dict[str, float]:
    """Memory of waiting messages in the decisions alone; they wait because no endpoint is ready."""
    courier, empty = (
        deployment_settings.courier(seed, settings(2 * count), requests_list=False),
        resident_bytes(),
    )
    list_unavailable_destinations(courier)
    for number in range(count):
        courier.handle(
            number * 0.01, [Taken(number, number % USED_DESTINATIONS, 0, VALIDITY_S * 1000.0 + number * 0.01)]
        )
    return {"decisions": resident_bytes() - empty}


def list_unavailable_destinations(courier: Courier) -> None:
    """Lists the used destinations with endpoints that are not ready, so that messages wait."""
    courier.handle(
        0.0, [Listed([Entry(number, number, ready=False) for number in range(USED_DESTINATIONS)], True)]
    )


def make_text(number: int, now: float) -> Text:
    """One message as a courier stores it; shares no objects with other messages."""
    return Text(
        f"{number:024x}",
        number % USED_DESTINATIONS,
        0,
        f"r-{number:020x}",
        None,
        now + VALIDITY_S * 1000.0,
        os.urandom(BODY_BYTES),
    )


def message_memory(count: int, seed: int) -> dict[str, float]:
    """Memory of waiting messages in a courier: text with body, facade, decisions and journal."""
    with tempfile.TemporaryDirectory() as folder:
        journal = Journal(folder, JOURNAL_LIMIT_BYTES, 0.0)
        facade, empty = Facade(seed, settings(2 * count), 400, 0.0), resident_bytes()
        for number in range(count):
            now = number * 0.01
            text = make_text(number, now)
            journal.accepted(text)
            facade.add_text(text)
            facade.tick(now)
            if number % 100 == 99:
                journal.flush()
        journal.flush()
        return {"kept": resident_bytes() - empty, "disk": journal.size}


def rate_cost(
    per_second: int, seed: int, seconds: float = 20.0, journal: Journal | None = None
) -> dict[str, float]:
    """Processor time of the decisions for evenly spaced messages that are all delivered at the first call.

    Runs in virtual time; each message causes one tick when it arrives and one when its call is answered.
    """
    facade = Facade(seed, settings(100_000), 400, 0.0)
    facade.update_list(places(USED_DESTINATIONS, seed), True)
    facade.tick(0.0)
    traffic = _TrafficRun(facade, journal)
    texts = [make_text(number, 0.0) for number in range(int(per_second * seconds))]
    began = time.process_time()
    traffic.play(texts, 1000.0 / per_second)
    cpu = time.process_time() - began
    return {"cpu": cpu / seconds * 1000.0, "delivered": traffic.delivered, "offered": len(texts)}


class _TrafficRun:
    """Messages through the decisions in virtual time; every call is answered after `ANSWER_DELAY_MS`."""

    def __init__(self, facade: Facade, journal: Journal | None):
        self.facade, self.journal = facade, journal
        self.answers: deque[tuple[float, Call]] = deque()
        self.next_wake, self.delivered = float("inf"), 0

    def play(self, texts: list[Text], interval_ms: float) -> None:
        """Submits one text every `interval_ms` and runs until the last response."""
        arrivals = deque((number * interval_ms, text) for number, text in enumerate(texts))
        while True:
            if not arrivals and not self.answers:
                return
            now = min(
                self.next_wake,
                arrivals[0][0] if arrivals else float("inf"),
                self.answers[0][0] if self.answers else float("inf"),
            )
            while self.answers and self.answers[0][0] <= now:
                self.facade.report(
                    self.answers.popleft()[1], CallResult(CallProgress.ANSWERED, status=200), ANSWER_DELAY_MS
                )
            while arrivals and arrivals[0][0] <= now:
                self._submit(arrivals.popleft()[1], now)
            self._tick(now)

    def _submit(self, text: Text, now: float) -> None:
        text.until = now + VALIDITY_S * 1000.0
        if self.journal:
            self.journal.accepted(text)
        self.facade.add_text(text)

    def _tick(self, now: float) -> None:
        self.next_wake = self.facade.tick(now)
        while call := self.facade.next_call():
            if self.journal:
                for text in call.texts:
                    self.journal.sent(text, now, call.place.zone)
            self.answers.append((now + ANSWER_DELAY_MS, call))
        while end := self.facade.next_final_answer():
            self.delivered += end.delivered
            if self.journal:
                self.journal.ended(end.text, now)
        while self.facade.next_log_line():
            pass
        if self.journal:
            self.journal.flush()


def journal_bytes(count: int, seed: int) -> dict[str, float]:
    """Journal bytes and processor time of messages that are taken on, sent once and delivered."""
    with tempfile.TemporaryDirectory() as folder:
        journal = Journal(folder, JOURNAL_LIMIT_BYTES, 0.0)
        before = journal.size
        traffic = rate_cost(132, seed, count / 132.0, journal)
        return {
            "bytes": journal.size - before,
            "cpu": traffic["cpu"] * count / 132.0,
            "delivered": traffic["delivered"],
        }


def list_bytes(destinations: int, seed: int) -> dict[str, float]:
    """Size of a whole list as JSON lines."""
    return {"bytes": sum(len(encode(list_entry)) + 1 for list_entry in entries(ListSize(destinations), seed))}
