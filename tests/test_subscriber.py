"""The subscription's part of the loop against a discovery node that the test plays, on loopback."""

import json
import socket

import pytest
from helper import Clock, Listener, Peer, answer, spin
from loguru import logger

from calicopin.discovery_node.server import NodeServer, ServerBounds
from calicopin.discovery_node.source import LOOK, Source
from calicopin.facade import Place
from calicopin.subscription.interest import InterestFullError
from calicopin.subscription.leases import LeaseBounds, LeaseTable
from calicopin.subscription.messages import Grant, Reason, Refusal, encode_answer, encode_refusal
from calicopin.subscription.nodes import TRY_JITTER, ranking
from calicopin.subscription.session import Standing
from calicopin.system import HERE
from calicopin.wire.asking import TOLD
from calicopin.wire.loop import Event, Loop, Until
from calicopin.wire.subscriber import AGAIN, PROMPT, STARTUP_LIMIT_MS, WAIT, Subscriber

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


class Node(Listener):
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
    late = Event(loop)
    watch.settled(10, late)
    watch.unsettled(10, late)
    node.tell(asked, 3, [entry("e-10", 10)], unknown=[11])
    spin(loop, lambda: watch.use(10) is Standing.KNOWN)
    assert not late.is_set, "its time was up first"


def test_an_answer_lost_with_its_connection_is_asked_for_by_the_same_request(loop):
    heard = Heard()
    watch, node, _ = started(loop, heard, 41)
    watch.use(9)
    _, asked = node.hear()
    node.hang_up()
    _, again = _until_heard(loop, node)
    assert again == asked and again["sequence"] == 1 and again["subscribe"] == [9]
    node.tell(again, 2, [entry("e-9", 9)])
    spin(loop, lambda: len(heard) == 2)
    assert watch.use(9) is Standing.KNOWN


def _until_heard(loop, node, milliseconds=AGAIN, most=200):
    """The next request at that node, in the course of the clock."""
    for _ in range(most):
        if _called(loop, node):
            return node.hear()
        go_on(loop, milliseconds)
    raise AssertionError("it was never asked")


def _called(loop, node):
    """Whether something lies at that node that was not heard yet."""
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


def test_an_answer_cut_short_leaves_the_last_state_and_is_asked_for_again(loop, lines):
    heard = Heard()
    watch, node, asked = started(loop, heard, 41)
    whole = answer(200, node.body(asked, 2, [entry("f-41", 41)]))
    node.peer.say(whole[:-20])
    node.hang_up()
    target, again = _until_heard(loop, node)
    assert target.startswith("/api/targets?index=1&") and again == asked and len(heard) == 1
    node.tell(again, 2, [entry("f-41", 41)])
    spin(loop, lambda: len(heard) == 2)
    assert heard[1] == ([("e-41", False, True), ("f-41", True, False)], False)


def test_lease_over_is_followed_by_the_whole_set_at_the_same_node_at_once(loop):
    heard = Heard()
    watch, node, _ = started(loop, heard, 41, 7)
    node.refuse(Reason.LEASE_OVER)
    target, asked = node.hear()
    assert target == "/api/targets" and asked["lease"] is None and asked["subscribe"] == [41, 7]
    node.lease = "n1-2"
    node.tell(asked, 9, [entry("f-41", 41)], full=True, unknown=[7])
    spin(loop, lambda: len(heard) == 2)
    assert heard[1] == ([("f-41", True, False)], True) and watch.figures().node_changes == 0


def test_a_told_time_is_heeded(loop, lines):
    heard = Heard()
    watch, node, asked = started(loop, heard, 41)
    node.refuse(Reason.TOO_MANY, 800.0)
    spin(loop, lambda: lines)
    told_at = loop.now()
    target, again = _until_heard(loop, node, 20.0)
    assert told_at + 800.0 <= loop.now() <= told_at + 800.0 + TRY_JITTER + 40.0
    assert again == asked and target == "/api/targets?index=1&wait=2000", "under the same lease"
    assert len(lines) == 1 and "too_many: for the test" in lines[0]


@pytest.mark.parametrize(
    "fault, spoil",
    [
        ("subscription.fleet: 'karachi' is another fleet", lambda body: body.replace(b"lahore", b"karachi")),
        ("subscription.form: 2 is not form 1", lambda body: body.replace(b'"form":1', b'"form":2')),
        (
            "subscription.colour: is an unknown field",
            lambda body: body.replace(b'"lease_ms"', b'"colour":1,"lease_ms"'),
        ),
        ("answer: is no JSON", lambda body: body[:-9]),
        ("'resting' is not an endpoint state", lambda body: body.replace(b"active", b"resting")),
        ("version: 0 is before 1", lambda body: body.replace(b'"version":2', b'"version":0')),
    ],
)
def test_an_answer_that_cannot_be_right_is_told_in_one_line_and_the_last_state_serves_on(
    loop, lines, fault, spoil
):
    heard = Heard()
    watch, node, asked = started(loop, heard, 41)
    body = spoil(node.body(asked, 2, [entry("f-41", 41)]))
    for _ in range(3):
        node.peer.say(answer(200, body))
        go_on(loop)
        _, asked = _until_heard(loop, node)
        assert asked["lease"] is None and asked["subscribe"] == [41]
    assert len(heard) == 1 and watch.use(41) is Standing.KNOWN
    assert sum(fault in line for line in lines) == 1 and "the known list stays in use" in lines[0]
    node.tell(asked, 1, [entry("f-41", 41)], full=True)
    spin(loop, lambda: len(heard) == 2)
    assert heard[1] == ([("f-41", True, False)], True) and "answers again" in lines[-1]


def test_status_without_a_reason_is_told_by_its_number(loop, lines):
    heard = Heard()
    _, node, _ = started(loop, heard, 41)
    node.peer.say(answer(500, b"oops"))
    _until_heard(loop, node)
    assert len(lines) == 1 and "(status 500)" in lines[0] and len(heard) == 1


def test_half_open_node_is_left_and_the_next_one_heard_within_6_s(loop):
    """It takes connections and never answers, also the one that would be next."""
    nodes, heard = ranked(loop, 3), Heard()
    watch = subscriber(loop, nodes, heard)
    watch.use(41)
    first, second, third = nodes
    _, asked = first.hear()
    first.tell(asked, 1, [entry("e-41", 41)], full=True)
    spin(loop, lambda: heard)
    go_on(loop)
    first.hear()
    fell_silent = loop.now()
    for _ in range(600):
        go_on(loop, 10.0)
        if _called(loop, third):
            break
    target, asked = third.hear()
    assert target == "/api/targets" and asked["subscribe"] == [41]
    third.tell(asked, 1, [entry("f-41", 41)], full=True)
    spin(loop, lambda: len(heard) == 2)
    assert loop.now() - fell_silent < TOLD and watch.figures().node_changes == 1
    assert _called(loop, second), "it was asked in between"


def test_fresh_subscription_at_a_half_open_node_is_answered_by_the_next_one(loop):
    nodes, heard = ranked(loop, 2), Heard()
    watch = subscriber(loop, nodes, heard)
    _, asked = nodes[0].hear()
    nodes[0].tell(asked, 1, full=True)
    spin(loop, lambda: heard)
    go_on(loop)
    nodes[0].hear()
    watch.use(9)
    began = loop.now()
    nodes[0].hear()
    _, asked = _until_heard(loop, nodes[1], 10.0)
    assert asked["subscribe"] == [9] and loop.now() - began <= PROMPT + TRY_JITTER + 30.0
    nodes[1].tell(asked, 1, [entry("e-9", 9)], full=True)
    spin(loop, lambda: watch.use(9) is Standing.KNOWN)


def test_refused_connection_leads_to_the_next_node(loop):
    nodes, heard = ranked(loop, 2), Heard()
    nodes[0].sock.close()
    watch = subscriber(loop, nodes, heard)
    began = loop.now()
    _, asked = _until_heard(loop, nodes[1], 10.0)
    assert loop.now() - began <= TRY_JITTER + 30.0
    assert not watch.tried, "another node may know of leaves that were announced meanwhile"
    nodes[1].tell(asked, 1, full=True)
    spin(loop, lambda: heard)
    assert watch.tried


def test_decisions_begin_once_all_nodes_were_asked_in_vain(loop):
    nodes, heard = ranked(loop, 3), Heard()
    for node in nodes:
        node.sock.close()
    watch, began = subscriber(loop, nodes, heard, {41: [place("old", 41)]}), loop.now()
    while not watch.tried:
        assert loop.now() < began + STARTUP_LIMIT_MS
        go_on(loop, 10.0)
    assert watch.nodes.exhausted and not heard


def test_decisions_begin_without_an_answer_once_the_time_for_it_is_over(loop):
    nodes, heard, began = ranked(loop, 3), Heard(), loop.now()
    watch = subscriber(loop, nodes, heard, {41: [place("old", 41)]})
    nodes[0].hear()
    while loop.now() < began + STARTUP_LIMIT_MS:
        assert not watch.tried
        go_on(loop, 50.0)
    assert watch.tried and not watch.nodes.exhausted and not heard


def test_all_nodes_down_then_back(loop, lines):
    """What is known serves on; the node that is back is heard within 6 s."""
    heard = Heard()
    watch, node, _ = started(loop, heard, 41)
    address, name = node.address, node.name
    node.sock.close()
    node.hang_up()
    for _ in range(200):
        go_on(loop)
    assert watch.use(41) is Standing.KNOWN and len(heard) == 1
    assert watch.use(9) is Standing.WAITING
    back, began = Node.__new__(Node), loop.now()
    back.loop, back.address, back.name, back.lease, back.peer = loop, address, name, "n1-9", None
    host, port = address.split(":")
    back.sock = socket.create_server((host, int(port)))
    back.sock.setblocking(False)
    target, asked = _until_heard(loop, back, 20.0, 400)
    assert asked["lease"] == "n1-1", "it may be the same run, reached again"
    back.refuse(Reason.LEASE_OVER)
    _, asked = _until_heard(loop, back, 20.0)
    back.tell(asked, 1, [entry("f-41", 41), entry("e-9", 9)], full=True)
    spin(loop, lambda: len(heard) == 2)
    assert loop.now() - began < TOLD and watch.use(9) is Standing.KNOWN
    assert 2 <= len(lines) <= 4, "a line for each kind of fault, not for each try"


def test_another_list_of_nodes(loop):
    heard = Heard()
    watch, node, asked = started(loop, heard, 41)
    other = Node(loop, "n2", "n2-1")
    watch.move([other.address, node.address])
    node.tell(asked, 2, [entry("f-41", 41)])
    spin(loop, lambda: len(heard) == 2)
    assert heard[1][1] is False, "the node that stays in the list is kept to"
    go_on(loop)
    node.hear()
    watch.move([other.address])
    node.peer.wait_end()
    _, asked = _until_heard(loop, other)
    assert asked["lease"] is None and asked["subscribe"] == [41]
    other.tell(asked, 1, [entry("f-41", 41)], full=True)
    spin(loop, lambda: len(heard) == 3)
    assert heard[2] == ([("f-41", True, False)], True) and watch.figures().node_changes == 1


def test_restored_destinations_are_asked_for_with_the_first_request(loop):
    heard, told = Heard(), []
    node = Node(loop)
    watch = subscriber(loop, [node], heard, {41: [place("old", 41)], 7: []})
    assert watch.use(41) is Standing.KNOWN and watch.use(7) is Standing.WAITING and not watch.tried
    assert list(watch.subscribed()) == [41]
    watch.settled(41, told)
    _, asked = node.hear()
    assert asked["subscribe"] == [41, 7] and told == []
    node.tell(asked, 1, [entry("new", 41)], full=True, unknown=[7])
    spin(loop, lambda: heard)
    assert heard == [([("new", True, False)], True)] and told == [True]
    assert watch.use(7) is Standing.UNKNOWN


def test_idle_destination_is_given_up_with_the_next_request_and_used_again_it_is_new(loop):
    heard = Heard()
    watch, node, asked = started(loop, heard, 41, 7, idle=5000.0)
    heard.held.add(7)
    loop.now.now += 7501.0
    node.tell(asked, 1)
    spin(loop, lambda: len(heard) == 2)
    _, asked = node.hear()
    assert (asked["sequence"], asked["unsubscribe"]) == (1, [41]) and heard.released == [41]
    assert watch.use(41) is Standing.WAITING
    node.tell(asked, 1)
    spin(loop, lambda: len(heard) == 3)
    go_on(loop)
    _, asked = node.hear()
    assert (asked["sequence"], asked["subscribe"]) == (2, [41])


def test_no_room_for_a_further_destination_is_said_so(loop):
    heard = Heard()
    heard.held.update((41, 7))
    watch, node, _ = started(loop, heard, 41, 7, most=2)
    with pytest.raises(InterestFullError):
        watch.use(9)
    heard.held.clear()
    loop.now.now += 1000.0
    assert watch.use(9) is Standing.WAITING
    _, asked = node.hear()
    assert (asked["subscribe"], asked["unsubscribe"]) == ([9], [41]) and heard.released == [41]


def test_a_wake_that_comes_with_the_answer_is_not_lost(loop):
    """Forced race: the answer of the parked poll lies there when a fresh subscription is made."""
    heard = Heard()
    watch, node, asked = started(loop, heard, 41)
    node.tell(asked, 2, [entry("f-41", 41)])
    watch.use(9)
    target, asked = node.hear()
    assert asked["subscribe"] == [9] and asked["sequence"] == 1 and target == "/api/targets?index=2&wait=0"
    assert len(heard) == 2 and watch.figures().interrupted == 0
    node.tell(asked, 3, [entry("f-41", 41), entry("e-9", 9)])
    spin(loop, lambda: watch.use(9) is Standing.KNOWN)
    assert [one.ident for one in watch.subscribed()[41]] == ["f-41"]


def test_a_fault_in_the_courier_brings_the_whole_set_again(loop):
    heard, faults = Heard(), [True]
    node = Node(loop)
    watch = subscriber(loop, [node], heard)
    watch.use(41)
    watch.heard = lambda places, whole: heard(places, whole) if not faults.pop() else 1 / 0
    faults[:] = [False, True]
    _, asked = node.hear()
    node.tell(asked, 1, [entry("e-41", 41)], full=True)
    _, asked = _until_heard(loop, node)
    assert asked["lease"] is None
    node.tell(asked, 2, [entry("e-41", 41)], full=True)
    spin(loop, lambda: heard)
    assert heard == [([("e-41", True, False)], True)]


def test_retired_it_asks_no_more_and_bytes_are_counted(loop):
    heard = Heard()
    watch, node, _ = started(loop, heard, 41)
    figures = watch.figures()
    assert figures.calls == 2 and 400 < figures.bytes_sent < 1000 and 200 < figures.bytes_received < 800
    watch.retire()
    node.peer.wait_end()
    watch.use(9)
    go_on(loop, 10000.0)
    assert watch.figures().calls == 2


def test_an_answer_over_the_bound_is_not_read_on(loop, lines, monkeypatch):
    monkeypatch.setattr("calicopin.wire.subscriber.MAX_ANSWER_BYTES", 2048)
    heard = Heard()
    _, node, asked = started(loop, heard, 41)
    node.tell(asked, 2, [entry("x" * 4096, 41)])
    spin(loop, lambda: lines)
    assert "answer: is over" in lines[0] and len(heard) == 1


def test_two_nodes_that_fail_in_different_ways_are_told_once_each(loop, lines):
    nodes, heard = ranked(loop, 2), Heard()
    nodes[0].sock.close()
    subscriber(loop, nodes, heard)
    for _ in range(400):
        go_on(loop)
    assert len(lines) == 2
    assert sum("cannot be connected to" in line for line in lines) == 1
    assert sum("does not answer" in line for line in lines) == 1


def test_a_large_set_has_more_time_for_its_answer(loop):
    nodes, heard = ranked(loop, 2), Heard()
    watch = subscriber(loop, nodes, heard)
    for destination in range(20000):
        watch.use(destination)
    _, asked = nodes[0].hear()
    assert len(asked["subscribe"]) == 20000
    go_on(loop, PROMPT + 900.0)
    assert not _called(loop, nodes[1])
    nodes[0].tell(asked, 1, full=True, unknown=range(20000))
    spin(loop, lambda: heard)
    assert watch.use(7) is Standing.UNKNOWN


class RealNode:
    """A discovery node as it is, on the loop of the test; `log` is its source."""

    def __init__(self, loop, log, run="1", address="127.0.0.1:0"):
        host, port = address.split(":")
        self.loop, self.log = loop, log
        listener = HERE.listen(host, int(port))
        self.address = "127.0.0.1:%d" % listener.getsockname()[1]
        self.table = LeaseTable(FLEET, "n1", run, LeaseBounds())
        self.server = NodeServer(loop, listener, self.table, ServerBounds())
        self.source = Source(loop, str(log), FLEET, self.server.change, self.table.subscribed)
        self.server.source = self.source

    def write(self, *entries):
        """Appends to the source; it is read with the node's next look."""
        with open(self.log, "a", encoding="ascii") as file:
            file.writelines(json.dumps(told) + "\n" for told in entries)
        self.loop.now.now += LOOK

    def kill(self):
        """Nothing of it is left, and nobody was told."""
        self.loop.cancel(self.server.accepting)
        self.loop.cancel(self.source.task)
        self.loop.close(self.server.listener)
        for connection in list(self.server.connections):
            self.server._hang_up(connection)


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "list.log"
    first = [{"form": 1, "fleet": FLEET}, entry("e-41", 41), entry("e-7", 7)]
    path.write_text("".join(json.dumps(told) + "\n" for told in first), encoding="ascii")
    return path


def run_until(loop, done, step=20.0, most=600):
    """The clock goes on while both sides work."""
    for _ in range(most):
        for _ in range(4):
            loop.once(loop.now())
        if done():
            return
        loop.now.now += step
    raise AssertionError("it never came about")


def listed(watch):
    return {
        destination: sorted((told.ident, told.ready) for told in places)
        for destination, places in watch.subscribed().items()
    }


def test_subscriber_and_discovery_node_agree(loop, log):
    """Both as they are: a first answer, an announced leave, a leave, a fresh subscription, one given up."""
    node, heard = RealNode(loop, log), Heard()
    watch = subscriber(loop, [node], heard, idle=60000.0)
    watch.use(41)
    watch.use(99)
    run_until(loop, lambda: watch.use(99) is Standing.UNKNOWN)
    assert listed(watch) == {41: [("e-41", True)]}
    node.write(entry("e-41", 41, "leaving"), entry("f-41", 41), entry("e-99", 99))
    run_until(loop, lambda: watch.use(99) is Standing.KNOWN)
    assert listed(watch) == {41: [("e-41", False), ("f-41", True)], 99: [("e-99", True)]}
    node.write(entry("e-41", 41, "left"))
    run_until(loop, lambda: listed(watch)[41] == [("f-41", True)])
    assert ("e-41", False, True) in heard[-1][0]
    run_until(loop, lambda: watch.session.longest_wait(watch.address, WAIT) and node.server.parked)
    told = []
    assert watch.use(7) is Standing.WAITING
    watch.settled(7, told)
    began = loop.now()
    run_until(loop, lambda: told, step=0.0)
    assert loop.now() == began and watch.figures().interrupted == 1, "no poll held it up"
    assert set(node.table.subscribed()) == {41, 99, 7}
    until = loop.now() + 60000.0 * 2.0
    while loop.now() < until:
        watch.use(41)
        run_until(loop, lambda: True)
        loop.now.now += 500.0
    assert set(node.table.subscribed()) == {41} and sorted(heard.released) == [7, 99]
    assert watch.figures().resyncs == 0 and not node.server.refused


def test_discovery_node_that_begins_anew_is_subscribed_to_anew(loop, log):
    node, heard = RealNode(loop, log), Heard()
    watch = subscriber(loop, [node], heard)
    watch.use(41)
    run_until(loop, lambda: watch.use(41) is Standing.KNOWN)
    node.kill()
    loop.now.now += LOOK
    with open(log, "a", encoding="ascii") as file:
        file.write(json.dumps(entry("e-41", 41, "left")) + "\n" + json.dumps(entry("g-41", 41)) + "\n")
    run_until(loop, lambda: watch.nodes.current is None)
    assert watch.use(41) is Standing.KNOWN and watch.use(7) is Standing.WAITING
    began = loop.now()
    back = RealNode(loop, log, "2", node.address)
    run_until(loop, lambda: watch.use(7) is Standing.KNOWN)
    assert listed(watch) == {41: [("g-41", True)], 7: [("e-7", True)]}
    assert loop.now() - began <= TOLD and back.server.refused[Reason.LEASE_OVER] == 1


def test_lease_that_ended_unseen_is_begun_anew(loop, log):
    """The process stood still for longer than its lease."""
    node, heard = RealNode(loop, log), Heard()
    watch = subscriber(loop, [node], heard)
    watch.use(41)
    run_until(loop, lambda: watch.use(41) is Standing.KNOWN and node.server.parked)
    node.table.expire(loop.now() + 31000.0)
    node.write(entry("e-41", 41, "left"), entry("g-41", 41))
    run_until(loop, lambda: listed(watch) == {41: [("g-41", True)]})
    assert node.server.refused[Reason.LEASE_OVER] >= 1 and watch.figures().node_changes == 0
