"""The process that is to follow another: waits for the folder, takes over all that the other one holds,
and only then serves.
"""

import base64
import socket
import time

import h11
from loguru import logger

from calicopin.handover.meeting import HandoverError, Talk
from calicopin.handover.state import FORM, read
from calicopin.wire.clients import Visit
from calicopin.wire.endpoints import Flight
from calicopin.wire.http import Line

PATIENCE = 3.0  # seconds: the other one stands still for less
STEP = 0.05
TELL = 5.0  # between two lines while it waits


class StoppedError(Exception):
    """A signal came before there was anything to stop."""


class Taker:
    """`told` is what the other process said; nothing of it counts before `take`."""

    def __init__(self, talk, told):
        self.talk, self.told = talk, told

    @property
    def flying(self):
        """Ids of texts whose calls are out."""
        return {ident for call in self.told["calls"] for ident in call["open"]}

    def read(self, facade, journal, now):
        """The decisions as they were, and the texts that wait for a notice only."""
        live = [text for text in journal.texts.values() if text.verdict is None]
        self.calls = read(facade, self.told, live, now)
        return [text for text in journal.texts.values() if text.verdict is not None]

    def take(self, loop, runtime, clients):
        """From here on this process decides.

        Returns the folder's lock. HandoverError where it does not come to that.
        """
        self.talk.say({"ready": True})
        go, fds = self.talk.hear()
        if go.get("go") is not True or len(fds) != 1:
            raise HandoverError("it was not told to go on")
        lock, kinds = fds[0], {"call": self.call, "client": self.client, "idle": self.idle}
        self.flights = dict(enumerate(self.calls))
        try:
            while True:
                what, fds = self.talk.hear()
                if what.get("end"):
                    break
                for one, fd in zip(what["connections"], fds, strict=False):
                    kinds[one["kind"]](loop, runtime, clients, one, socket.socket(fileno=fd))
        except HandoverError as fault:  # it died on the way: what did not come is broken, as after a crash
            logger.warning("the old process broke off: {fault}", event="handover.broken", fault=fault)
        for call in self.flights.values():
            runtime.lost(call)
        return lock

    def call(self, loop, runtime, clients, one, sock):
        """Goes on with a call that was out: its connection and what was heard on it."""
        number, call = one["call"], self.flights.pop(one["call"])
        # an older version lets each text of a shared call end for itself: here the first of them ends it
        ends = [at for at, shared, _ in self.told.get("due", ()) if shared == number]
        flight = Flight(call, min([self.told["until"][number], *ends]))
        flight.began = self.told["began"][number]
        runtime.go_on(flight, Line(loop, sock, h11.CLIENT), base64.b64decode(one["heard"]))

    def client(self, loop, runtime, clients, one, sock):
        """Serves a client's connection on, with what was heard of its request."""
        line = Line(loop, sock, h11.SERVER)
        if one["heard"]:
            line.hear(base64.b64decode(one["heard"]))
        visit = Visit(line, loop.now())
        visit.fresh, visit.since, visit.until = one["fresh"], one["since"], one["until"]
        clients.receive(visit)

    def idle(self, loop, runtime, clients, one, sock):
        """Keeps an idle connection to an endpoint, idle since when it was."""
        runtime.lines.idle.setdefault(tuple(one["shelf"]), []).append(
            (Line(loop, sock, h11.CLIENT), one["since"])
        )


def begin(place, folder, signal_reader, system):
    """(the folder's lock, None) where no other process holds it, else (None, a Taker) once the other has
    told all. StoppedError where a signal comes first.
    """
    said = -TELL
    while True:
        try:
            return system.lock(folder), None
        except BlockingIOError:
            pass
        taker = ask(place)
        if taker:
            return None, taker
        if time.monotonic() >= said + TELL:
            logger.info(
                "another process holds the folder and gives nothing yet; waiting", event="handover.waiting"
            )
            said = time.monotonic()
        if signal_reader.heard().intersection(signal_reader.STOPS):
            raise StoppedError
        time.sleep(STEP)


def ask(place):
    """A Taker, or None where nobody is there, or gives nothing now."""
    try:
        sock = place.visit()
    except OSError:
        return None
    talk = Talk(sock, PATIENCE)
    try:
        sock.sendall(b"calicopin %d\n" % FORM)
        told, _ = talk.hear()
        if told.get("form") != FORM:
            raise HandoverError(f"it speaks form {told.get('form')!r}, this process {FORM}")
        return Taker(talk, told)
    except OSError as fault:
        logger.warning("no handover: {fault}", event="handover.refused", fault=fault)
        talk.close()
        return None
