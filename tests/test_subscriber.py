"""The subscription's part of the loop against a discovery node that the test plays, on loopback."""

import json

import pytest
from helper import Clock, Door, answer, spin
from loguru import logger

from calicopin.facade import Place
from calicopin.subscription.messages import Grant, Refusal, encode_answer, encode_refusal
from calicopin.subscription.nodes import ranking
from calicopin.subscription.session import Standing
from calicopin.wire.loop import Event, Loop, Until
from calicopin.wire.subscriber import AGAIN, WAIT, Subscriber

FLEET, COURIER, SEED = "lahore", "c-17", 5


@pytest.fixture
def loop():
    return Loop(now=Clock())


@pytest.fixture
def lines():
    told = []
    sink = logger.add(told.append, format="{message}", level="INFO")
    yield told
    logger.remove(sink)


def entry(ident, destination, state="active"):
    return {"id": ident, "addr": "127.0.0.1:9", "cell": destination, "kind": "", "zone": "a", "state": state}


def place(ident, destination):
    return Place(ident, "127.0.0.1:9", destination, "", "a", True, 0.0)


class Node(Door):
    """A discovery node of which the test says each answer."""

    def __init__(self, loop, name="n1", lease="n1-1"):
        super().__init__(loop)
        self.name, self.lease, self.peer = name, lease, None

    def hear(self):
        """The next request, on the open connection or on a new one: its target and its subscription."""
        while True:
            if self.peer is None:
                self.peer = self.meet()
            data = b""
            while b"\r\n\r\n" not in data:
                spin(self.loop, lambda: self.peer.hear() or self.peer.ended)
                data, self.peer.heard = data + self.peer.heard, b""
                if self.peer.ended and b"\r\n\r\n" not in data:
                    break
            if b"\r\n\r\n" in data:
                break
            self.peer = None
        head, body = data.split(b"\r\n\r\n", 1)
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        while len(body) < length:
            spin(self.loop, lambda: self.peer.hear())
            body, self.peer.heard = body + self.peer.heard, b""
        return head.split(b" ")[1].decode(), json.loads(body)["subscription"]

    def body(self, asked, version, servers=(), full=False, complete=None, unknown=(), **other):
        if complete is None:
            complete = sorted({told["cell"] for told in servers})
        told = dict(
            fleet=FLEET, node=self.name, lease=self.lease, sequence=asked["sequence"], lease_ms=30000.0
        )
        told |= dict(complete=tuple(complete), unknown=tuple(unknown)) | other
        return encode_answer(full, version, [json.dumps(one).encode() for one in servers], Grant(**told))

    def tell(self, asked, version, servers=(), **other):
        self.peer.say(answer(200, self.body(asked, version, servers, **other)))

    def refuse(self, reason, retry_ms=0.0):
        refusal = Refusal(reason, "for the test", retry_ms)
        self.peer.say(answer(refusal.status, encode_refusal(refusal)))

    def hang_up(self):
        self.peer.sock.close()
        self.peer = None


class Heard(list):
    """What the subscriber told, and what was released and is held."""

    def __init__(self):
        super().__init__()
        self.released, self.held = [], set()

    def __call__(self, places, whole):
        self.append((sorted((told.ident, told.ready, told.left) for told in places), whole))


def subscriber(loop, nodes, heard, restored=None, **other):
    addresses = [getattr(node, "address", node) for node in nodes]
    watch = Subscriber(
        loop,
        addresses,
        FLEET,
        COURIER,
        WAIT,
        heard,
        SEED,
        restored,
        heard.held.__contains__,
        heard.released.append,
        **other,
    )
    loop.once(loop.now())
    loop.now.now += 100.0  # its first request is spread by chance
    return watch


def go_on(loop, milliseconds=AGAIN):
    """The clock moves, once all that lies there has been read."""
    for _ in range(3):
        loop.once(loop.now())
    loop.now.now += milliseconds


def ranked(loop, number):
    """Nodes in the order in which the courier prefers them."""
    nodes = {node.address: node for node in (Node(loop, f"n{i}", f"n{i}-1") for i in range(number))}
    return [nodes[address] for address in ranking(COURIER, list(nodes))]


def started(loop, heard, *destinations, **other):
    """A subscriber with a lease at one node, its second request parked there."""
    node = Node(loop)
    watch = subscriber(loop, [node], heard, **other)
    for destination in destinations:
        watch.use(destination)
    target, asked = node.hear()
    assert target == "/api/targets" and asked["lease"] is None and asked["subscribe"] == [*destinations]
    servers = [entry(f"e-{destination}", destination) for destination in destinations]
    node.tell(asked, 1, servers, full=True)
    spin(loop, lambda: heard)
    go_on(loop)
    target, asked = node.hear()
    assert target == "/api/targets?index=1&wait=2000" and asked["lease"] == node.lease
    return watch, node, asked


def test_first_answer_then_increments(loop):
    heard = Heard()
    watch, node, asked = started(loop, heard, 41, 7)
    assert heard == [([("e-41", True, False), ("e-7", True, False)], True)] and watch.tried
    assert watch.use(41) is Standing.KNOWN and watch.version == 1
    node.tell(asked, 2, [entry("e-41", 41, "leaving"), entry("f-41", 41)])
    spin(loop, lambda: len(heard) == 2)
    assert heard[1] == ([("e-41", False, False), ("f-41", True, False)], False)
    go_on(loop)
    target, asked = node.hear()
    assert target == "/api/targets?index=2&wait=2000"
    node.tell(asked, 3, [entry("f-41", 41)], complete=[41], unknown=[7])
    spin(loop, lambda: len(heard) == 3)
    assert heard[2] == ([("e-41", False, True), ("e-7", False, True), ("f-41", True, False)], False)
    assert watch.use(7) is Standing.UNKNOWN
    assert {key: [told.ident for told in value] for key, value in watch.subscribed().items()} == {
        41: ["f-41"]
    }


def test_fresh_subscription_does_not_wait_for_the_parked_poll(loop):
    heard, event, ended = Heard(), Event(loop), []
    watch, node, _ = started(loop, heard, 41)
    assert watch.use(9) is Standing.WAITING

    def client():
        ended.append((yield Until(event=event)))

    watch.settled(9, event)
    loop.spawn(client())
    target, asked = node.hear()
    assert target == "/api/targets?index=1&wait=0" and asked["subscribe"] == [9] and asked["sequence"] == 1
    watch.use(10)
    watch.use(11)
    node.tell(asked, 2, [entry("e-9", 9)])
    spin(loop, lambda: ended)
    assert heard[1] == ([("e-9", True, False)], False) and watch.use(9) is Standing.KNOWN
    go_on(loop)
    target, asked = node.hear()
    assert target == "/api/targets?index=2&wait=0" and asked["subscribe"] == [10, 11], "those share a request"
    assert watch.figures().interrupted == 1
    told = []
    watch.settled(9, told)
    watch.settled(99, told)
    assert told == [True, True], "what is answered, or not subscribed at all, is waited for by nobody"
