"""The subscriber, on loopback, against stand-in and real discovery nodes."""

import json
import socket

import pytest
from helper import Clock, Listener, Peer, answer, spin
from loguru import logger

from calicopin.discovery_node.server import NodeServer, ServerBounds
from calicopin.discovery_node.source import POLL_INTERVAL_MS, Source
from calicopin.facade import Place
from calicopin.subscription.interest import InterestFullError
from calicopin.subscription.leases import LeaseBounds, LeaseTable
from calicopin.subscription.messages import Grant, Reason, Refusal, encode_answer, encode_refusal
from calicopin.subscription.nodes import NEXT_NODE_JITTER_MS, ranking
from calicopin.subscription.session import DestinationState
from calicopin.system import REAL_SYSTEM
from calicopin.wire.loop import Event, Loop, Until
from calicopin.wire.poll_schedule import TOLD
from calicopin.wire.subscriber import AGAIN, MAX_WAIT_MS, PROMPT_TIMEOUT_MS, STARTUP_LIMIT_MS, Subscriber

FLEET, COURIER, SEED = "lahore", "c-17", 5


@pytest.fixture
def loop():
    return Loop(now=Clock())


@pytest.fixture
def log_lines():
    messages = []
    sink = logger.add(messages.append, format="{message}", level="INFO")
    yield messages
    logger.remove(sink)


def entry(ident, destination, state="active"):
    return {"id": ident, "addr": "127.0.0.1:9", "cell": destination, "kind": "", "zone": "a", "state": state}


def place(ident, destination):
    return Place(ident, "127.0.0.1:9", destination, "", "a", True, 0.0)


class Node(Listener):
    """A stand-in discovery node whose answers the test gives."""

    def __init__(self, loop, name="n1", lease="n1-1"):
        super().__init__(loop)
        self.name, self.lease, self.peer = name, lease, None

    def next_request(self):
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

    def body(self, request, version, servers=(), full=False, complete=None, unknown=(), **other):
        if complete is None:
            complete = sorted({each["cell"] for each in servers})
        grant = dict(
            fleet=FLEET, node=self.name, lease=self.lease, sequence=request["sequence"], lease_ms=30000.0
        )
        grant |= dict(complete=tuple(complete), unknown=tuple(unknown)) | other
        return encode_answer(full, version, [json.dumps(one).encode() for one in servers], Grant(**grant))

    def respond(self, request, version, servers=(), **other):
        self.peer.say(answer(200, self.body(request, version, servers, **other)))

    def refuse(self, reason, retry_ms=0.0):
        refusal = Refusal(reason, "for the test", retry_ms)
        self.peer.say(answer(refusal.status, encode_refusal(refusal)))

    def hang_up(self):
        self.peer.sock.close()
        self.peer = None


class Updates(list):
    """The updates received, and which destinations were released and are in use."""

    def __init__(self):
        super().__init__()
        self.released, self.in_use = [], set()

    def __call__(self, places, whole):
        self.append((sorted((each.ident, each.ready, each.left) for each in places), whole))


def make_subscriber(loop, nodes, updates, restored=None, **other):
    addresses = [getattr(node, "address", node) for node in nodes]
    subscriber = Subscriber(
        loop,
        addresses,
        FLEET,
        COURIER,
        MAX_WAIT_MS,
        updates,
        SEED,
        restored,
        updates.in_use.__contains__,
        updates.released.append,
        **other,
    )
    loop.once(loop.now())
    loop.now.now += 100.0  # the first request has a random delay
    return subscriber


def advance(loop, milliseconds=AGAIN):
    """Lets the loop handle pending data, then moves the clock."""
    for _ in range(3):
        loop.once(loop.now())
    loop.now.now += milliseconds


def ranked(loop, number):
    """Nodes in the order in which the courier prefers them."""
    nodes = {node.address: node for node in (Node(loop, f"n{i}", f"n{i}-1") for i in range(number))}
    return [nodes[address] for address in ranking(COURIER, list(nodes))]


def started(loop, updates, *destinations, **other):
    """A subscriber with a lease at one node, its second request parked there."""
    node = Node(loop)
    subscriber = make_subscriber(loop, [node], updates, **other)
    for destination in destinations:
        subscriber.use(destination)
    target, request = node.next_request()
    assert target == "/api/targets" and request["lease"] is None and request["subscribe"] == [*destinations]
    servers = [entry(f"e-{destination}", destination) for destination in destinations]
    node.respond(request, 1, servers, full=True)
    spin(loop, lambda: updates)
    advance(loop)
    target, request = node.next_request()
    assert target == "/api/targets?index=1&wait=2000" and request["lease"] == node.lease
    return subscriber, node, request


def test_first_answer_then_increments(loop):
    updates = Updates()
    subscriber, node, request = started(loop, updates, 41, 7)
    assert updates == [([("e-41", True, False), ("e-7", True, False)], True)] and subscriber.tried
    assert subscriber.use(41) is DestinationState.KNOWN and subscriber.version == 1
    node.respond(request, 2, [entry("e-41", 41, "leaving"), entry("f-41", 41)])
    spin(loop, lambda: len(updates) == 2)
    assert updates[1] == ([("e-41", False, False), ("f-41", True, False)], False)
    advance(loop)
    target, request = node.next_request()
    assert target == "/api/targets?index=2&wait=2000"
    node.respond(request, 3, [entry("f-41", 41)], complete=[41], unknown=[7])
    spin(loop, lambda: len(updates) == 3)
    assert updates[2] == ([("e-41", False, True), ("e-7", False, True), ("f-41", True, False)], False)
    assert subscriber.use(7) is DestinationState.UNKNOWN
    assert {key: [each.ident for each in value] for key, value in subscriber.subscribed().items()} == {
        41: ["f-41"]
    }


@pytest.mark.parametrize("delay", [0.0, 8.0, 1500.0])
def test_a_copy_of_an_answer_is_not_taken_for_the_next_one(loop, delay):
    updates = Updates()
    subscriber, node, request = started(loop, updates, 41)
    second = answer(200, node.body(request, 2, [entry("e-41", 41, "leaving")]))
    node.peer.say(second)
    spin(loop, lambda: len(updates) == 2)
    advance(loop)
    target, _ = node.next_request()
    assert target == "/api/targets?index=2&wait=2000"
    loop.now.now += delay
    first = node.peer
    first.say(second)
    first.wait_end()
    assert len(updates) == 2 and subscriber.use(41) is DestinationState.KNOWN
    advance(loop, 5000.0)
    _, request = node.next_request()
    assert node.peer is not first and request["subscribe"] == [41]
    node.respond(request, 3, [entry("f-41", 41)], full=True)
    spin(loop, lambda: len(updates) == 3)
    assert updates[-1] == ([("f-41", True, False)], True)


def test_a_copy_of_an_older_answer_is_never_applied_over_a_newer_one(loop):
    """Behind it the lease is taken anew, and the whole state is told."""
    updates = Updates()
    subscriber, node, request = started(loop, updates, 41)
    active = answer(200, node.body(request, 2, [entry("e-41", 41)]))
    node.peer.say(active)
    spin(loop, lambda: len(updates) == 2)
    advance(loop)
    _, request = node.next_request()
    node.respond(request, 3, [entry("e-41", 41, "leaving")])
    spin(loop, lambda: len(updates) == 3)
    advance(loop)
    node.next_request()
    node.peer.say(active)
    for _ in range(20):
        loop.once(loop.now())
    assert updates[-1] == ([("e-41", False, False)], False) and len(updates) == 3
    advance(loop, 5000.0)
    _, request = node.next_request()
    node.respond(request, 3, [entry("e-41", 41, "leaving")], full=True)
    spin(loop, lambda: len(updates) == 4)
    assert updates[-1] == ([("e-41", False, False)], True) and subscriber.version == 3


def test_fresh_subscription_does_not_wait_for_the_parked_poll(loop):
    updates, event, ended = Updates(), Event(loop), []
    subscriber, node, _ = started(loop, updates, 41)
    assert subscriber.use(9) is DestinationState.WAITING

    def client():
        ended.append((yield Until(event=event)))

    subscriber.settled(9, event)
    loop.spawn(client())
    target, request = node.next_request()
    assert (
        target == "/api/targets?index=1&wait=0" and request["subscribe"] == [9] and request["sequence"] == 1
    )
    subscriber.use(10)
    subscriber.use(11)
    node.respond(request, 2, [entry("e-9", 9)])
    spin(loop, lambda: ended)
    assert updates[1] == ([("e-9", True, False)], False) and subscriber.use(9) is DestinationState.KNOWN
    advance(loop)
    target, request = node.next_request()
    assert target == "/api/targets?index=2&wait=0" and request["subscribe"] == [10, 11], (
        "they share a request"
    )
    assert subscriber.figures().interrupted == 1
    each = []
    subscriber.settled(9, each)
    subscriber.settled(99, each)
    assert each == [True, True], "destinations answered or not subscribed to are settled"
    late = Event(loop)
    subscriber.settled(10, late)
    subscriber.unsettled(10, late)
    node.respond(request, 3, [entry("e-10", 10)], unknown=[11])
    spin(loop, lambda: subscriber.use(10) is DestinationState.KNOWN)
    assert not late.is_set, "its wait was dropped"


def test_a_request_whose_answer_was_lost_is_sent_again_unchanged(loop):
    updates = Updates()
    subscriber, node, _ = started(loop, updates, 41)
    subscriber.use(9)
    _, request = node.next_request()
    node.hang_up()
    _, again = _advance_until_request(loop, node)
    assert again == request and again["sequence"] == 1 and again["subscribe"] == [9]
    node.respond(again, 2, [entry("e-9", 9)])
    spin(loop, lambda: len(updates) == 2)
    assert subscriber.use(9) is DestinationState.KNOWN


def _advance_until_request(loop, node, milliseconds=AGAIN, most=200):
    """Moves the clock until the node has a request, and returns it."""
    for _ in range(most):
        if _has_request(loop, node):
            return node.next_request()
        advance(loop, milliseconds)
    raise AssertionError("no request arrived")


def _has_request(loop, node):
    """Whether unread data or a new connection is pending at the node."""
    for _ in range(3):
        loop.once(loop.now())
    if node.peer is not None and node.peer.hear():
        return True
    try:
        sock = node.sock.accept()[0]
    except BlockingIOError:
        return False
    node.peer = Peer(loop, sock)
    return True


def test_a_truncated_answer_leaves_the_last_state_in_use_and_is_requested_again(loop, log_lines):
    updates = Updates()
    subscriber, node, request = started(loop, updates, 41)
    whole = answer(200, node.body(request, 2, [entry("f-41", 41)]))
    node.peer.say(whole[:-20])
    node.hang_up()
    target, again = _advance_until_request(loop, node)
    assert target.startswith("/api/targets?index=1&") and again == request and len(updates) == 1
    node.respond(again, 2, [entry("f-41", 41)])
    spin(loop, lambda: len(updates) == 2)
    assert updates[1] == ([("e-41", False, True), ("f-41", True, False)], False)


def test_an_expired_lease_is_renewed_at_once_with_all_destinations_at_the_same_node(loop):
    updates = Updates()
    subscriber, node, _ = started(loop, updates, 41, 7)
    node.refuse(Reason.LEASE_OVER)
    target, request = node.next_request()
    assert target == "/api/targets" and request["lease"] is None and request["subscribe"] == [41, 7]
    node.lease = "n1-2"
    node.respond(request, 9, [entry("f-41", 41)], full=True, unknown=[7])
    spin(loop, lambda: len(updates) == 2)
    assert updates[1] == ([("f-41", True, False)], True) and subscriber.figures().node_changes == 0


def test_the_retry_time_of_a_refusal_is_heeded(loop, log_lines):
    updates = Updates()
    subscriber, node, request = started(loop, updates, 41)
    node.refuse(Reason.TOO_MANY, 800.0)
    spin(loop, lambda: log_lines)
    refused_at = loop.now()
    target, again = _advance_until_request(loop, node, 20.0)
    assert refused_at + 800.0 <= loop.now() <= refused_at + 800.0 + NEXT_NODE_JITTER_MS + 40.0
    assert again == request and target == "/api/targets?index=1&wait=2000", "under the same lease"
    assert len(log_lines) == 1 and "too_many: for the test" in log_lines[0]


@pytest.mark.parametrize(
    "fault, damage",
    [
        ("subscription.fleet: 'karachi' is another fleet", lambda body: body.replace(b"lahore", b"karachi")),
        ("subscription.form: 2 is not form 1", lambda body: body.replace(b'"form":1', b'"form":2')),
        (
            "subscription.colour: is an unknown field",
            lambda body: body.replace(b'"lease_ms"', b'"colour":1,"lease_ms"'),
        ),
        ("answer: is no JSON", lambda body: body[:-9]),
        ("'resting' is not an endpoint state", lambda body: body.replace(b"active", b"resting")),
        ("version: 0 is lower than 1", lambda body: body.replace(b'"version":2', b'"version":0')),
    ],
)
def test_an_invalid_answer_is_logged_once_and_the_last_state_stays_in_use(loop, log_lines, fault, damage):
    updates = Updates()
    subscriber, node, request = started(loop, updates, 41)
    body = damage(node.body(request, 2, [entry("f-41", 41)]))
    for _ in range(3):
        node.peer.say(answer(200, body))
        advance(loop)
        _, request = _advance_until_request(loop, node)
        assert request["lease"] is None and request["subscribe"] == [41]
    assert len(updates) == 1 and subscriber.use(41) is DestinationState.KNOWN
    assert sum(fault in line for line in log_lines) == 1 and "the known list stays in use" in log_lines[0]
    node.respond(request, 1, [entry("f-41", 41)], full=True)
    spin(loop, lambda: len(updates) == 2)
    assert updates[1] == ([("f-41", True, False)], True) and "answers again" in log_lines[-1]


def test_a_status_without_a_reason_is_logged_by_its_number(loop, log_lines):
    updates = Updates()
    _, node, _ = started(loop, updates, 41)
    node.peer.say(answer(500, b"oops"))
    _advance_until_request(loop, node)
    assert len(log_lines) == 1 and "(status 500)" in log_lines[0] and len(updates) == 1


def test_a_half_open_node_is_left_for_the_next_one_within_6_s(loop):
    """The node and the one after it accept connections and never answer."""
    nodes, updates = ranked(loop, 3), Updates()
    subscriber = make_subscriber(loop, nodes, updates)
    subscriber.use(41)
    first, second, third = nodes
    _, request = first.next_request()
    first.respond(request, 1, [entry("e-41", 41)], full=True)
    spin(loop, lambda: updates)
    advance(loop)
    first.next_request()
    silent_since = loop.now()
    for _ in range(600):
        advance(loop, 10.0)
        if _has_request(loop, third):
            break
    target, request = third.next_request()
    assert target == "/api/targets" and request["subscribe"] == [41]
    third.respond(request, 1, [entry("f-41", 41)], full=True)
    spin(loop, lambda: len(updates) == 2)
    assert loop.now() - silent_since < TOLD and subscriber.figures().node_changes == 1
    assert _has_request(loop, second), "it was tried in between"


def test_fresh_subscription_at_a_half_open_node_is_answered_by_the_next_one(loop):
    nodes, updates = ranked(loop, 2), Updates()
    subscriber = make_subscriber(loop, nodes, updates)
    _, request = nodes[0].next_request()
    nodes[0].respond(request, 1, full=True)
    spin(loop, lambda: updates)
    advance(loop)
    nodes[0].next_request()
    subscriber.use(9)
    began = loop.now()
    nodes[0].next_request()
    _, request = _advance_until_request(loop, nodes[1], 10.0)
    assert (
        request["subscribe"] == [9] and loop.now() - began <= PROMPT_TIMEOUT_MS + NEXT_NODE_JITTER_MS + 30.0
    )
    nodes[1].respond(request, 1, [entry("e-9", 9)], full=True)
    spin(loop, lambda: subscriber.use(9) is DestinationState.KNOWN)


def test_refused_connection_leads_to_the_next_node(loop):
    nodes, updates = ranked(loop, 2), Updates()
    nodes[0].sock.close()
    subscriber = make_subscriber(loop, nodes, updates)
    began = loop.now()
    _, request = _advance_until_request(loop, nodes[1], 10.0)
    assert loop.now() - began <= NEXT_NODE_JITTER_MS + 30.0
    assert not subscriber.tried, "another node may know of leaves that were announced meanwhile"
    nodes[1].respond(request, 1, full=True)
    spin(loop, lambda: updates)
    assert subscriber.tried


def test_the_stored_list_is_used_once_all_nodes_have_failed(loop):
    nodes, updates = ranked(loop, 3), Updates()
    for node in nodes:
        node.sock.close()
    subscriber, began = make_subscriber(loop, nodes, updates, {41: [place("old", 41)]}), loop.now()
    while not subscriber.tried:
        assert loop.now() < began + STARTUP_LIMIT_MS
        advance(loop, 10.0)
    assert subscriber.nodes.all_nodes_failed and not updates


def test_the_stored_list_is_used_after_the_startup_limit_without_an_answer(loop):
    nodes, updates, began = ranked(loop, 3), Updates(), loop.now()
    subscriber = make_subscriber(loop, nodes, updates, {41: [place("old", 41)]})
    nodes[0].next_request()
    while loop.now() < began + STARTUP_LIMIT_MS:
        assert not subscriber.tried
        advance(loop, 50.0)
    assert subscriber.tried and not subscriber.nodes.all_nodes_failed and not updates


def test_all_nodes_down_then_back(loop, log_lines):
    """The known list stays in use; a node that is back is used within 6 s."""
    updates = Updates()
    subscriber, node, _ = started(loop, updates, 41)
    address, name = node.address, node.name
    node.sock.close()
    node.hang_up()
    for _ in range(200):
        advance(loop)
    assert subscriber.use(41) is DestinationState.KNOWN and len(updates) == 1
    assert subscriber.use(9) is DestinationState.WAITING
    back, began = Node.__new__(Node), loop.now()
    back.loop, back.address, back.name, back.lease, back.peer = loop, address, name, "n1-9", None
    host, port = address.split(":")
    back.sock = socket.create_server((host, int(port)))
    back.sock.setblocking(False)
    target, request = _advance_until_request(loop, back, 20.0, 400)
    assert request["lease"] == "n1-1", "it may be the same process of the node"
    back.refuse(Reason.LEASE_OVER)
    _, request = _advance_until_request(loop, back, 20.0)
    back.respond(request, 1, [entry("f-41", 41), entry("e-9", 9)], full=True)
    spin(loop, lambda: len(updates) == 2)
    assert loop.now() - began < TOLD and subscriber.use(9) is DestinationState.KNOWN
    assert 2 <= len(log_lines) <= 4, "one line for each kind of fault, not for each try"


def test_another_list_of_nodes(loop):
    updates = Updates()
    subscriber, node, request = started(loop, updates, 41)
    other = Node(loop, "n2", "n2-1")
    subscriber.change_address([other.address, node.address])
    node.respond(request, 2, [entry("f-41", 41)])
    spin(loop, lambda: len(updates) == 2)
    assert updates[1][1] is False, "a node that stays in the list is kept"
    advance(loop)
    node.next_request()
    subscriber.change_address([other.address])
    node.peer.wait_end()
    _, request = _advance_until_request(loop, other)
    assert request["lease"] is None and request["subscribe"] == [41]
    other.respond(request, 1, [entry("f-41", 41)], full=True)
    spin(loop, lambda: len(updates) == 3)
    assert updates[2] == ([("f-41", True, False)], True) and subscriber.figures().node_changes == 1


def test_restored_destinations_are_subscribed_to_with_the_first_request(loop):
    updates, notified = Updates(), []
    node = Node(loop)
    subscriber = make_subscriber(loop, [node], updates, {41: [place("old", 41)], 7: []})
    assert (
        subscriber.use(41) is DestinationState.KNOWN
        and subscriber.use(7) is DestinationState.WAITING
        and not subscriber.tried
    )
    assert list(subscriber.subscribed()) == [41]
    subscriber.settled(41, notified)
    _, request = node.next_request()
    assert request["subscribe"] == [41, 7] and notified == []
    node.respond(request, 1, [entry("new", 41)], full=True, unknown=[7])
    spin(loop, lambda: updates)
    assert updates == [([("new", True, False)], True)] and notified == [True]
    assert subscriber.use(7) is DestinationState.UNKNOWN


def test_an_idle_destination_is_unsubscribed_with_the_next_request_and_subscribed_to_anew_when_used(loop):
    updates = Updates()
    subscriber, node, request = started(loop, updates, 41, 7, idle=5000.0)
    updates.in_use.add(7)
    loop.now.now += 7501.0
    node.respond(request, 1)
    spin(loop, lambda: len(updates) == 2)
    _, request = node.next_request()
    assert (request["sequence"], request["unsubscribe"]) == (1, [41]) and updates.released == [41]
    assert subscriber.use(41) is DestinationState.WAITING
    node.respond(request, 1)
    spin(loop, lambda: len(updates) == 3)
    advance(loop)
    _, request = node.next_request()
    assert (request["sequence"], request["subscribe"]) == (2, [41])


def test_a_destination_over_the_limit_raises_an_error(loop):
    updates = Updates()
    updates.in_use.update((41, 7))
    subscriber, node, _ = started(loop, updates, 41, 7, max_destinations=2)
    with pytest.raises(InterestFullError):
        subscriber.use(9)
    updates.in_use.clear()
    loop.now.now += 1000.0
    assert subscriber.use(9) is DestinationState.WAITING
    _, request = node.next_request()
    assert (request["subscribe"], request["unsubscribe"]) == ([9], [41]) and updates.released == [41]


def test_a_new_subscription_that_coincides_with_an_answer_is_not_lost(loop):
    """Race: the answer of the parked poll is unread when a new subscription is made."""
    updates = Updates()
    subscriber, node, request = started(loop, updates, 41)
    node.respond(request, 2, [entry("f-41", 41)])
    subscriber.use(9)
    target, request = node.next_request()
    assert (
        request["subscribe"] == [9] and request["sequence"] == 1 and target == "/api/targets?index=2&wait=0"
    )
    assert len(updates) == 2 and subscriber.figures().interrupted == 0
    node.respond(request, 3, [entry("f-41", 41), entry("e-9", 9)])
    spin(loop, lambda: subscriber.use(9) is DestinationState.KNOWN)
    assert [one.ident for one in subscriber.subscribed()[41]] == ["f-41"]


def test_after_an_exception_in_the_courier_the_complete_state_is_requested(loop):
    updates, faults = Updates(), [True]
    node = Node(loop)
    subscriber = make_subscriber(loop, [node], updates)
    subscriber.use(41)
    subscriber.heard = lambda places, whole: updates(places, whole) if not faults.pop() else 1 / 0
    faults[:] = [False, True]
    _, request = node.next_request()
    node.respond(request, 1, [entry("e-41", 41)], full=True)
    _, request = _advance_until_request(loop, node)
    assert request["lease"] is None
    node.respond(request, 2, [entry("e-41", 41)], full=True)
    spin(loop, lambda: updates)
    assert updates == [([("e-41", True, False)], True)]


def test_a_retired_subscriber_sends_nothing_and_bytes_are_counted(loop):
    updates = Updates()
    subscriber, node, _ = started(loop, updates, 41)
    figures = subscriber.figures()
    assert figures.calls == 2 and 400 < figures.bytes_sent < 1000 and 200 < figures.bytes_received < 800
    subscriber.stop()
    node.peer.wait_end()
    subscriber.use(9)
    advance(loop, 10000.0)
    assert subscriber.figures().calls == 2


def test_an_answer_over_the_size_limit_is_refused(loop, log_lines, monkeypatch):
    monkeypatch.setattr("calicopin.wire.subscriber.MAX_ANSWER_BYTES", 2048)
    updates = Updates()
    _, node, request = started(loop, updates, 41)
    node.respond(request, 2, [entry("x" * 4096, 41)])
    spin(loop, lambda: log_lines)
    assert "answer: is over" in log_lines[0] and len(updates) == 1


def test_two_nodes_that_fail_in_different_ways_are_logged_once_each(loop, log_lines):
    nodes, updates = ranked(loop, 2), Updates()
    nodes[0].sock.close()
    make_subscriber(loop, nodes, updates)
    for _ in range(400):
        advance(loop)
    assert len(log_lines) == 2
    assert sum("cannot be connected to" in line for line in log_lines) == 1
    assert sum("does not answer" in line for line in log_lines) == 1


def test_the_answer_for_many_destinations_has_a_longer_time_out(loop):
    nodes, updates = ranked(loop, 2), Updates()
    subscriber = make_subscriber(loop, nodes, updates)
    for destination in range(20000):
        subscriber.use(destination)
    _, request = nodes[0].next_request()
    assert len(request["subscribe"]) == 20000
    advance(loop, PROMPT_TIMEOUT_MS + 900.0)
    assert not _has_request(loop, nodes[1])
    nodes[0].respond(request, 1, full=True, unknown=range(20000))
    spin(loop, lambda: updates)
    assert subscriber.use(7) is DestinationState.UNKNOWN


class RealNode:
    """A real discovery node on the loop of the test; `log` is its source."""

    def __init__(self, loop, log, run="1", address="127.0.0.1:0"):
        host, port = address.split(":")
        self.loop, self.log = loop, log
        listener = REAL_SYSTEM.listen(host, int(port))
        self.address = "127.0.0.1:%d" % listener.getsockname()[1]
        self.table = LeaseTable(FLEET, "n1", run, LeaseBounds())
        self.server = NodeServer(loop, listener, self.table, ServerBounds())
        self.source = Source(loop, str(log), FLEET, self.server.change, self.table.subscribed)
        self.server.source = self.source

    def write(self, *entries):
        """Appends to the source, which the node reads at its next check."""
        with open(self.log, "a", encoding="ascii") as file:
            file.writelines(json.dumps(each) + "\n" for each in entries)
        self.loop.now.now += POLL_INTERVAL_MS

    def kill(self):
        """Ends the node without notifying anyone."""
        self.loop.cancel(self.server.accepting)
        self.loop.cancel(self.source.task)
        self.loop.close(self.server.listener)
        for connection in list(self.server.connections):
            self.server._close_connection(connection)


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "list.log"
    first = [{"form": 1, "fleet": FLEET}, entry("e-41", 41), entry("e-7", 7)]
    path.write_text("".join(json.dumps(each) + "\n" for each in first), encoding="ascii")
    return path


def run_until(loop, done, step=20.0, most=600):
    """Moves the clock until `done`, while both sides work."""
    for _ in range(most):
        for _ in range(4):
            loop.once(loop.now())
        if done():
            return
        loop.now.now += step
    raise AssertionError("the condition did not come true")


def listed(subscriber):
    return {
        destination: sorted((each.ident, each.ready) for each in places)
        for destination, places in subscriber.subscribed().items()
    }


def test_subscriber_and_discovery_node_agree(loop, log):
    """A first answer, an announced leave, a leave, a new subscription and two dropped ones."""
    node, updates = RealNode(loop, log), Updates()
    subscriber = make_subscriber(loop, [node], updates, idle=60000.0)
    subscriber.use(41)
    subscriber.use(99)
    run_until(loop, lambda: subscriber.use(99) is DestinationState.UNKNOWN)
    assert listed(subscriber) == {41: [("e-41", True)]}
    node.write(entry("e-41", 41, "leaving"), entry("f-41", 41), entry("e-99", 99))
    run_until(loop, lambda: subscriber.use(99) is DestinationState.KNOWN)
    assert listed(subscriber) == {41: [("e-41", False), ("f-41", True)], 99: [("e-99", True)]}
    node.write(entry("e-41", 41, "left"))
    run_until(loop, lambda: listed(subscriber)[41] == [("f-41", True)])
    assert ("e-41", False, True) in updates[-1][0]
    run_until(
        loop, lambda: subscriber.session.longest_wait(subscriber.address, MAX_WAIT_MS) and node.server.parked
    )
    notified = []
    assert subscriber.use(7) is DestinationState.WAITING
    subscriber.settled(7, notified)
    began = loop.now()
    run_until(loop, lambda: notified, step=0.0)
    assert loop.now() == began and subscriber.figures().interrupted == 1, (
        "it did not wait for the parked poll"
    )
    assert set(node.table.subscribed()) == {41, 99, 7}
    until = loop.now() + 60000.0 * 2.0
    while loop.now() < until:
        subscriber.use(41)
        run_until(loop, lambda: True)
        loop.now.now += 500.0
    assert set(node.table.subscribed()) == {41} and sorted(updates.released) == [7, 99]
    assert subscriber.figures().resyncs == 0 and not node.server.refused


def test_a_restarted_discovery_node_is_subscribed_to_anew(loop, log):
    node, updates = RealNode(loop, log), Updates()
    subscriber = make_subscriber(loop, [node], updates)
    subscriber.use(41)
    run_until(loop, lambda: subscriber.use(41) is DestinationState.KNOWN)
    node.kill()
    loop.now.now += POLL_INTERVAL_MS
    with open(log, "a", encoding="ascii") as file:
        file.write(json.dumps(entry("e-41", 41, "left")) + "\n" + json.dumps(entry("g-41", 41)) + "\n")
    run_until(loop, lambda: subscriber.nodes.current is None)
    assert subscriber.use(41) is DestinationState.KNOWN and subscriber.use(7) is DestinationState.WAITING
    began = loop.now()
    back = RealNode(loop, log, "2", node.address)
    run_until(loop, lambda: subscriber.use(7) is DestinationState.KNOWN)
    assert listed(subscriber) == {41: [("g-41", True)], 7: [("e-7", True)]}
    assert loop.now() - began <= TOLD and back.server.refused[Reason.LEASE_OVER] == 1


def test_a_lease_that_expired_unnoticed_is_renewed(loop, log):
    """The process was suspended for longer than its lease."""
    node, updates = RealNode(loop, log), Updates()
    subscriber = make_subscriber(loop, [node], updates)
    subscriber.use(41)
    run_until(loop, lambda: subscriber.use(41) is DestinationState.KNOWN and node.server.parked)
    node.table.expire(loop.now() + 31000.0)
    node.write(entry("e-41", 41, "left"), entry("g-41", 41))
    run_until(loop, lambda: listed(subscriber) == {41: [("g-41", True)]})
    assert node.server.refused[Reason.LEASE_OVER] >= 1 and subscriber.figures().node_changes == 0
