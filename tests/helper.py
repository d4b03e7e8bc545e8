"""Fixtures for tests: one courier's decisions with a clock, and stand-ins for the courier on sockets."""

import os
import socket
import time
from itertools import count

from calicopin.decisions import Courier
from calicopin.interface import (
    CourierSettings,
    Entry,
    FailBack,
    How,
    Listed,
    Outcome,
    Partner,
    Product,
    Repeat,
    Submit,
    Taken,
    Wake,
    Woken,
)
from calicopin.system import System

PRODUCT = Product(
    Repeat.REFERENCED, sla=4000.0, validity=24000.0, revenue=1.0, late_revenue=0.3, memory=15000.0
)


class DecisionsFixture:
    """One courier's decisions and their clock (ms). By default, destination 0 has endpoints 0 and 1. `done`
    collects all actions.
    """

    def __init__(self, products=(PRODUCT,), entries=None, **terms):
        settings = dict(
            seed=7,
            number=0,
            senders=2,
            tick=5.0,
            slots=40,
            room=200,
            tries=8,
            products=list(products),
            partners=[Partner()],
            fail_back=FailBack(0.2, 10000.0, 2.0, 3000.0),
        )
        self.courier = Courier(CourierSettings(**(settings | terms)))
        self.now, self.wake, self.done, self.next = 0.0, None, [], 0
        self.step([Listed(entries or [Entry(0, 0), Entry(1, 0)], whole=True)])

    def step(self, events=(), after=0.0):
        """Moves the clock by `after` ms, wakes the courier at the times it asks for, then hands over the
        events. Returns all actions.
        """
        until, out = self.now + after, []
        while self.wake and self.wake[0] <= until:
            out += self.hand(max(self.wake[0], self.now), self.woken(until))
        self.now = until
        return out + (self.hand(until, list(events)) if events else [])

    def woken(self, now):
        """The requested wake-up as events, if it is due."""
        if not self.wake or self.wake[0] > now:
            return []
        token, self.wake = self.wake[1], None
        return [Woken(token)]

    def hand(self, now, events):
        """Handles one batch."""
        self.now = now
        out = self.courier.handle(now, events)
        for action in out:
            if isinstance(action, Wake):
                self.wake = (now + action.after, action.token)
        self.done += out
        return out

    def take(self, number=1, dest=0, product=0, validity=24000.0, key=None):
        """Hands in texts; returns the actions."""
        events = [Taken(self.next + i, dest, product, self.now + validity, key) for i in range(number)]
        self.next += number
        return self.step(events)

    def outcome(self, submit, how=How.DELIVERED, wait=0.0, elapsed=200.0, ended=None, limit=None, left=None):
        """Reports the outcome of a submit; returns the actions."""
        ended = how == How.DELIVERED if ended is None else ended
        return self.step([Outcome(submit.text, submit.endpoint, how, wait, elapsed, ended, left, limit)])


def submits(actions):
    return [action for action in actions if isinstance(action, Submit)]


# For the courier on sockets: a clock that the test moves, passes of the loop, and stand-ins on loopback.


class Clock:
    """A clock (ms) that only the test moves."""

    def __init__(self, now=1000.0):
        self.now = now

    def __call__(self):
        return self.now


class Rebooted(System):
    """A system after a reboot: the test's clock began anew, so that only the wall clock tells how long ago
    something was.
    """

    @staticmethod
    def boot_id():
        return ""


def spin(loop, done, passes=4000):
    """Runs passes of the loop, none of which waits, until `done` holds."""
    for _ in range(passes):
        loop.once(loop.now())
        if done():
            return
        time.sleep(0.0005)
    raise AssertionError("the condition did not hold in time")


class Peer:
    """The other side of one connection: sends and receives bytes while the loop runs."""

    def __init__(self, loop, sock):
        self.loop, self.sock, self.heard, self.ended, self.reset = loop, sock, b"", False, False
        sock.setblocking(False)

    def say(self, data):
        self.sock.sendall(data)

    def hear(self):
        try:
            while data := self.sock.recv(65536):
                self.heard += data
            self.ended = True
        except BlockingIOError:
            pass
        except OSError:
            self.ended = self.reset = True
        return self.heard

    def wait(self, what):
        """Runs the loop until `what` was received; returns all that was received, and clears it."""
        spin(self.loop, lambda: what in self.hear())
        heard, self.heard = self.heard, b""
        return heard

    def wait_end(self):
        spin(self.loop, lambda: self.hear() is not None and self.ended)
        return self.heard


class Listener:
    """A listening socket of the test; `meet` accepts the next connection."""

    def __init__(self, loop):
        self.loop, self.sock = loop, socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.address = "127.0.0.1:%d" % self.sock.getsockname()[1]

    def meet(self):
        accepted = []

        def try_to():
            try:
                accepted.append(self.sock.accept()[0])
            except BlockingIOError:
                pass
            return accepted

        spin(self.loop, try_to)
        return Peer(self.loop, accepted[0])


def client(loop, address):
    host, _, port = address.rpartition(":")
    return Peer(loop, socket.create_connection((host, int(port))))


PORTS = count(20000 + os.getpid() * 499 % 10000)  # below the range of ephemeral ports


def free_address():
    """An address on which nobody listens, and that no other fleet of processes has reserved."""
    while True:
        port = 20000 + next(PORTS) % 10000
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return "127.0.0.1:%d" % port


def answer(status=200, body=b"", **headers):
    lines = [f"HTTP/1.1 {status} X"] + [
        f"{name.replace('_', '-')}: {value}" for name, value in headers.items()
    ]
    return ("\r\n".join(lines) + f"\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body


def terms(**other):
    """The settings of a small deployment: two products, one kind that takes several texts a call."""
    grades = [
        dict(name="notice", idempotency="read_like", aim=2.0, giveUp=20.0, points=1.0, lateWorth=0.5),
        dict(name="order", idempotency="idempotency_key", keyTtl=15.0, aim=2.0, giveUp=20.0),
        dict(name="once", idempotency="non_idempotent", aim=2.0, giveUp=20.0, inOrder=True),
    ]
    settings = dict(
        slotNo=0,
        groupSize=2,
        tick=0.005,
        kinds=["one", "many"],
        zones=["a", "b"],
        grades=grades,
        familyInfo=dict(workers=8, bundleMax=[1, 3], ownLimits=[False, False], fades="linear"),
        ceilings=dict(
            mostHeld=40, tryLimit=4, connectTimeout=1.5, idleClose=10.0, retryAfter=True, maxRetryAfter=2.0
        ),
        rules=dict(coldFrom=0.2, cold=10.0, tipMultiple=2.0, fall=3.0, orderSettle=0.7, askWithin=10.0),
        loadInfo=dict(columns=["x0", "x1"], source="piggyback"),
        weights="silent",
        discovery="push",
    )
    return settings | other
