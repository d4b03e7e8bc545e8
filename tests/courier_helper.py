"""Helpers for tests of a courier: endpoints and texts for the facade, and a whole courier on loopback."""

import json

from helper import Clock, Listener, Rebooted, answer, client, free_address, spin, terms

from calicopin.facade import Facade, Place
from calicopin.lifecycle.signals import SignalReader
from calicopin.lifecycle.start import CourierConfiguration, build
from calicopin.state.texts import Text
from calicopin.wire.loop import Loop


def make_place(ident="s-1", address="127.0.0.1:9", dest=7, kind="one", zone="a", ready=True, left=False):
    return Place(ident, address, dest, kind, zone, ready, 1.0, left)


def make_facade(now=0.0, places=None, **other):
    decisions = Facade(7, terms(**other), 8, now)
    decisions.update_list([make_place()] if places is None else list(places), True)
    decisions.tick(now)
    return decisions


def make_text(ident, product=0, dest=7, until=20000.0, **other):
    return Text(ident, dest, product, None, other.pop("key", None), until, b"", **other)


def take_calls(decisions):
    calls = []
    while call := decisions.next_call():
        calls.append(call)
        for sent in call.texts:
            sent.mark_sent(0.0, call.place.zone)
    return calls


def take_endings(decisions):
    ends = []
    while end := decisions.next_final_answer():
        ends.append((end.text.ident, end.verdict))
    return ends


class CourierFixture:
    """A courier on loopback with stand-ins for an endpoint and for the platform. After `kill`, only its
    folder is left.
    """

    def __init__(
        self,
        folder,
        clock=None,
        endpoint=None,
        disk=3_000_000,
        list_answered=True,
        system=None,
        store="file",
        **settings,
    ):
        self.loop = Loop(now=clock or Clock(), system=system or Rebooted())
        self.endpoint, self.platform = endpoint or Listener(self.loop), Listener(self.loop)
        self.endpoint.loop = self.loop
        self.listen = free_address()
        self.known = {
            "version": 4,
            "full": True,
            "servers": [
                {
                    "id": "s-1",
                    "addr": self.endpoint.address,
                    "zone": "a",
                    "kind": "one",
                    "cell": 7,
                    "state": "active",
                }
            ],
        }
        self.configurations = [
            CourierConfiguration(
                "n0",
                self.listen,
                self.platform.address,
                str(folder),
                5,
                256,
                disk,
                self.known,
                terms(**settings),
                store=store,
            )
        ]
        self.runtime = build(self.configurations[0], self.loop, SignalReader(), lambda: self.again())
        if list_answered:
            self.answer_list_request(self.known)

    def answer_list_request(self, known):
        """Lets the platform's agent answer the first request for the list."""
        self.list_client = self.platform.meet()
        assert b"GET /api/targets HTTP" in self.list_client.wait(b"\r\n\r\n"), (
            "the first request is for the whole list"
        )
        self.list_client.say(answer(200, json.dumps(known).encode()))
        assert b"index=4&wait=2000" in self.list_client.wait(b"\r\n\r\n")

    def again(self):
        return self.configurations[-1]

    def post(self, ident, product="notice", size=3, left=20.0, dest=7, reference=None):
        peer = client(self.loop, self.listen)
        key = f"Idempotency-Key: {reference}\r\n" if reference else ""
        peer.say(
            (
                f"POST /{product} HTTP/1.1\r\nHost: x\r\nX-Request-ID: {ident}\r\n{key}X-Timeout: "
                f"{left}\r\nX-Envelope: dest={dest}\r\nContent-Length: {size}\r\n\r\n"
            ).encode()
            + b"\xfe" * size
        )
        return peer.wait(b"\r\n\r\n").split()[1]

    def request(self, ident="a", product="notice", left=20.0, body=b""):
        """A client that has sent a message and not got the answer yet."""
        peer = client(self.loop, self.listen)
        peer.say(
            (
                f"POST /{product} HTTP/1.1\r\nHost: x\r\nX-Request-ID: {ident}\r\nX-Timeout: "
                f"{left}\r\nX-Envelope: dest=7\r\nContent-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body
        )
        return peer

    def pass_time(self, span, step=50.0):
        """Moves the clock by `span` ms in small steps, with passes of the loop in each."""
        clock, until = self.loop.now, self.loop.now() + span
        while clock.now < until:
            clock.now = min(until, clock.now + step)
            for _ in range(3):
                self.loop.once(clock.now)

    def kill(self):
        """Ends the courier without a stop: nothing of it runs or writes any more."""
        self.loop.once = self.loop.turn = None

    def notice(self):
        """The notices in the next request to the platform; requests for the list are skipped."""
        while True:
            peer = self.platform.meet()
            spin(self.loop, lambda peer=peer: b"\r\n\r\n" in peer.hear())
            if peer.heard.startswith(b"POST"):
                peer.say(answer(204))
                return [json.loads(line) for line in peer.heard.split(b"\r\n\r\n")[1].splitlines()]
