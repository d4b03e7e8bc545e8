"""Tests of whole subscribing couriers on loopback, against a discovery node scripted by the test."""

import json
import os
import subprocess
import sys
import time
from dataclasses import replace

import pytest
from helper import Clock, Listener, Peer, Rebooted, answer, client, free_address, spin, terms
from loguru import logger
from test_subscriber import FLEET, Node, entry

from calicopin.decisions import Route
from calicopin.lifecycle.signals import SignalReader
from calicopin.lifecycle.start import CourierConfiguration, build
from calicopin.state.known_list import CHECK_INTERVAL_MS, REFRESH_AGE_MS, KnownList, decode, journal_bytes
from calicopin.subscription.interest import IDLE_JITTER_FRACTION, IDLE_TIMEOUT_MS
from calicopin.subscription.nodes import NEXT_NODE_JITTER_MS
from calicopin.wire.loop import Loop
from calicopin.wire.subscriber import AGAIN, PROMPT_TIMEOUT_MS

DAY = 24 * 3_600_000.0
DISK_BYTES = 3_000_000


class SubscribedCourierFixture:
    """A subscribing courier on a loop whose clock the test advances; `kill` leaves only its folder."""

    def __init__(
        self, folder, node, clock=None, system=None, nodes=None, disk=DISK_BYTES, max_age=DAY, **settings
    ):
        self.loop = Loop(now=clock or Clock(), system=system or Rebooted())
        self.node, self.platform = node, Listener(self.loop)
        if node:
            node.loop, node.peer = self.loop, None
        self.listen = free_address()
        nodes = tuple(nodes or [node.address])
        told = (f"n{os.getpid()}", self.listen, self.platform.address, str(folder), 5, 256, disk)
        known = {"version": 0, "full": True, "servers": []}
        self.configurations = [
            CourierConfiguration(
                *told, known, terms(**settings), nodes=nodes, fleet=FLEET, max_age=max_age, status=True
            )
        ]
        self.runtime = build(
            self.configurations[0], self.loop, SignalReader(), lambda: self.configurations[-1]
        )
        self.run_passes()
        self.loop.now.now += 100.0  # the first request has a random delay

    def run_passes(self, count=5):
        for _ in range(count):
            self.loop.once(self.loop.now())

    def advance(self, milliseconds=AGAIN):
        self.run_passes()
        self.loop.now.now += milliseconds
        self.run_passes()

    def send_message(self, ident, dest=7, left=20.0, product="notice"):
        """Sends a client's request and returns its connection."""
        peer = client(self.loop, self.listen)
        peer.say(
            (
                f"POST /{product} HTTP/1.1\r\nHost: x\r\nX-Request-ID: {ident}\r\nX-Timeout: "
                f"{left}\r\nX-Envelope: dest={dest}\r\nContent-Length: 3\r\n\r\n"
            ).encode()
            + b"\xfe" * 3
        )
        return peer

    def status_of(self, peer):
        return peer.wait(b"\r\n\r\n").split()[1]

    def post(self, ident, **other):
        return self.status_of(self.send_message(ident, **other))

    def kill(self):
        self.loop.once = self.loop.turn = None

    @property
    def awaited(self):
        return self.runtime.facade.waiting_for_list

    def first_request(self, *destinations):
        """The first request of a courier started with these destinations."""
        _, asked = self.node.next_request()
        assert asked["lease"] is None and sorted(asked["subscribe"]) == sorted(destinations)
        return asked

    def subscribe_request(self, destination):
        """The request that subscribes to the destination; a parked request is abandoned for it."""
        _, asked = self.node.next_request()
        while asked["subscribe"] != [destination]:
            _, asked = self.node.next_request()
        return asked


def served(endpoint, dest=7, ident="s-1", state="active"):
    return entry(ident, dest, state) | {"addr": endpoint.address, "kind": "one"}


def capture_log():
    told = []
    return told, logger.add(told.append, format="{message}", level="INFO")


@pytest.fixture
def node(loop):
    return Node(loop)


@pytest.fixture
def endpoint(loop):
    return Listener(loop)


def started(folder, node, endpoint, **other):
    """A courier with a lease that knows destination 7 and whose next request is parked."""
    courier = SubscribedCourierFixture(folder, node, **other)
    endpoint.loop = courier.loop
    courier.node.respond(courier.first_request(), 1, full=True)
    courier.advance()
    peer = courier.send_message("first")
    asked = courier.subscribe_request(7)
    courier.node.respond(asked, 2, [served(endpoint)])
    assert courier.status_of(peer) == b"202"
    call = endpoint.meet()
    call.wait(b"\xfe\xfe\xfe")
    call.say(answer(200))
    spin(courier.loop, lambda: not courier.runtime.journal.texts)
    courier.advance()
    return courier


def test_a_message_waits_for_the_first_answer_and_is_delivered(tmp_path, node, endpoint):
    courier = SubscribedCourierFixture(tmp_path, node)
    endpoint.loop = courier.loop
    courier.node.respond(courier.first_request(), 1, full=True)
    courier.advance()
    peer = courier.send_message("a")
    spin(courier.loop, lambda: courier.awaited)
    assert not courier.runtime.journal.texts and not courier.runtime.journal.buffer and not peer.hear()
    asked = courier.subscribe_request(7)
    assert not courier.runtime.journal.texts and not peer.hear()
    courier.node.respond(asked, 2, [served(endpoint)])
    assert courier.status_of(peer) == b"202" and not courier.awaited
    call = endpoint.meet()
    call.wait(b"\xfe\xfe\xfe")
    call.say(answer(200))
    spin(courier.loop, lambda: not courier.runtime.journal.texts and not courier.runtime.calls_in_progress)
    with pytest.raises(BlockingIOError):
        endpoint.sock.accept()
    with pytest.raises(BlockingIOError):  # the platform's agent is not watched as well
        courier.platform.sock.accept()
    assert courier.post("b") == b"202", "known now: accepted at once"


def test_an_unknown_destination_is_refused_and_not_stored(tmp_path, node, endpoint):
    courier = started(tmp_path, node, endpoint)
    peer = courier.send_message("x", dest=9)
    asked = courier.subscribe_request(9)
    courier.node.respond(asked, 3, unknown=[9])
    assert courier.status_of(peer) == b"404" and courier.post("y", dest=9) == b"404"
    assert list(courier.runtime.facade.dests.index) == [7]


def test_a_message_is_refused_when_no_node_answers_for_its_destination_in_time(tmp_path, node):
    courier = SubscribedCourierFixture(tmp_path, node)
    peer = courier.send_message("a", left=5.0)
    spin(courier.loop, lambda: courier.awaited)
    courier.advance(4900.0)
    assert courier.awaited and not peer.hear()
    courier.advance(81.0)
    assert courier.status_of(peer) == b"503" and not courier.awaited and not courier.runtime.journal.texts
    assert not courier.runtime.subscription.subscriber._settled, (
        "no state is kept for it while no node answers"
    )


def test_a_client_that_leaves_while_waiting_is_forgotten(tmp_path, node, endpoint):
    courier = SubscribedCourierFixture(tmp_path, node)
    gone, stays = courier.send_message("a"), courier.send_message("b")
    spin(courier.loop, lambda: courier.awaited == 2)
    gone.sock.close()
    spin(courier.loop, lambda: courier.awaited == 1)
    stays.say(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")  # a pipelined request, served after the first
    courier.run_passes(50)
    endpoint.loop = courier.loop
    courier.node.respond(courier.first_request(), 1, full=True)
    courier.advance()
    courier.node.respond(courier.subscribe_request(7), 2, [served(endpoint)])
    assert courier.status_of(stays) == b"202"
    spin(courier.loop, lambda: b"200" in stays.hear())
    assert [text.ident for text in courier.runtime.journal.texts.values()] == ["b"]


def test_waiting_messages_are_limited_and_the_rest_are_refused_with_retry_after(tmp_path, node):
    courier = SubscribedCourierFixture(tmp_path, node)
    waiting = [courier.send_message(f"a-{number}", dest=number) for number in range(40)]
    spin(courier.loop, lambda: courier.awaited == 40)
    peer = courier.send_message("b", dest=99)
    heard = peer.wait(b"\r\n\r\n")
    assert heard.split()[1] == b"503" and b"Retry-After: 2.000" in heard
    assert not courier.runtime.facade.dests.index and not courier.runtime.facade.decisions.dests
    waiting[0].sock.close()
    spin(courier.loop, lambda: courier.awaited == 39)
    waiting.append(courier.send_message("c", dest=99))
    spin(courier.loop, lambda: courier.awaited == 40)


def test_a_stop_refuses_waiting_messages(tmp_path, node):
    courier = SubscribedCourierFixture(tmp_path, node)
    peer = courier.send_message("a")
    spin(courier.loop, lambda: courier.awaited)
    courier.runtime.refuses_messages = True
    courier.runtime.stop_waiting()
    assert courier.status_of(peer) == b"503" and not courier.awaited


def test_a_known_id_is_refused_at_once_and_one_of_two_waiting_duplicates_is_accepted(
    tmp_path, node, endpoint
):
    courier = started(tmp_path, node, endpoint)
    assert courier.post("first", dest=8) == b"409"
    two = [courier.send_message("same", dest=8), courier.send_message("same", dest=8)]
    spin(courier.loop, lambda: courier.awaited == 2)
    asked = courier.subscribe_request(8)
    courier.node.respond(asked, 3, [served(endpoint, 8, "s-8")])
    assert sorted(courier.status_of(peer) for peer in two) == [b"202", b"409"]


def test_an_endpoint_announced_as_leaving_gets_no_more_messages(tmp_path, node, endpoint):
    courier, other = started(tmp_path, node, endpoint), Listener(Loop())
    other.loop = courier.loop
    _, asked = courier.node.next_request()
    courier.node.respond(asked, 3, [served(endpoint, state="leaving"), served(other, ident="s-2")])
    courier.advance()
    assert courier.post("b") == b"202"
    assert b"\xfe\xfe\xfe" in other.meet().wait(b"\xfe\xfe\xfe")
    with pytest.raises(BlockingIOError):
        endpoint.sock.accept()


def test_a_restarted_courier_sends_nothing_before_the_first_answer_of_its_node(tmp_path, node, endpoint):
    """A courier restarts with a journalled message and a stored list; an endpoint left meanwhile."""
    courier = started(tmp_path, node, endpoint)
    courier.advance(CHECK_INTERVAL_MS)
    courier.run_passes()
    assert courier.post("b") == b"202"
    assert b"\xfe\xfe\xfe" in endpoint.meet().wait(b"\xfe\xfe\xfe")
    courier.kill()
    other = Listener(Loop())
    restarted = SubscribedCourierFixture(tmp_path, node, clock=courier.loop.now)
    other.loop = restarted.loop
    assert set(restarted.runtime.facade.places_of) == {7} and restarted.post("c") == b"202", (
        "accepted at once"
    )
    for listener in (endpoint, other):
        with pytest.raises(BlockingIOError):
            listener.sock.accept()
    asked = restarted.first_request(7)
    restarted.node.respond(
        asked, 1, [served(endpoint, state="leaving"), served(other, ident="s-2")], full=True
    )
    bodies, calls = b"", []
    while bodies.count(b"\xfe\xfe\xfe") < 2:
        calls.append(other.meet())
        bodies += calls[-1].wait(b"\xfe\xfe\xfe")
    for call in calls:
        call.say(answer(200))
    spin(restarted.loop, lambda: not restarted.runtime.journal.texts)
    for listener in (endpoint, other):
        with pytest.raises(BlockingIOError):
            listener.sock.accept()


def test_destinations_of_restored_messages_are_subscribed_from_the_start(tmp_path, node, endpoint):
    courier = started(tmp_path, node, endpoint)
    assert courier.post("b") == b"202"
    endpoint.meet().wait(b"\xfe\xfe\xfe")
    courier.kill()
    os.unlink(tmp_path / "known-list") if (tmp_path / "known-list").exists() else None
    restarted = SubscribedCourierFixture(tmp_path, node, clock=courier.loop.now)
    endpoint.loop = restarted.loop
    restarted.node.respond(restarted.first_request(7), 1, [served(endpoint)], full=True)
    call = endpoint.meet()
    call.wait(b"\xfe\xfe\xfe")
    call.say(answer(200))
    spin(restarted.loop, lambda: not restarted.runtime.journal.texts)


def test_without_nodes_a_restarted_courier_uses_the_list_in_its_folder(tmp_path, node, endpoint):
    courier = started(tmp_path, node, endpoint)
    courier.advance(CHECK_INTERVAL_MS)
    courier.run_passes()
    assert decode((tmp_path / "known-list").read_bytes()).places.keys() == {7}
    courier.kill()
    node.sock.close()
    restarted = SubscribedCourierFixture(tmp_path, None, clock=courier.loop.now, nodes=[node.address])
    endpoint.loop = restarted.loop
    assert restarted.post("b") == b"202"
    peer = restarted.send_message("c", dest=8, left=5.0)
    call = endpoint.meet()
    call.wait(b"\xfe\xfe\xfe")
    call.say(answer(200))
    spin(restarted.loop, lambda: not restarted.runtime.journal.texts)
    for _ in range(20):
        restarted.advance(250.0)
    assert restarted.status_of(peer) == b"503"


def test_a_node_that_does_not_answer_delays_a_start_for_a_limited_time(tmp_path, node, endpoint):
    courier = started(tmp_path, node, endpoint)
    courier.advance(CHECK_INTERVAL_MS)
    courier.run_passes()
    courier.kill()
    restarted = SubscribedCourierFixture(tmp_path, node, clock=courier.loop.now)
    endpoint.loop = restarted.loop
    assert restarted.post("b") == b"202"
    restarted.first_request(7)
    restarted.advance(PROMPT_TIMEOUT_MS - 10.0)
    with pytest.raises(BlockingIOError):
        endpoint.sock.accept()
    restarted.advance(11.0)
    assert b"\xfe\xfe\xfe" in endpoint.meet().wait(b"\xfe\xfe\xfe")


def test_unused_destinations_are_unsubscribed_and_forgotten(tmp_path, node, endpoint):
    courier = started(tmp_path, node, endpoint)
    courier.advance(CHECK_INTERVAL_MS)
    facade, passed = courier.runtime.facade, 0.0
    while passed < IDLE_TIMEOUT_MS * (1.0 + IDLE_JITTER_FRACTION) + 3.0 * Route.RETENTION_MS:
        _, asked = courier.node.next_request()
        courier.node.respond(asked, 3)
        courier.advance(2000.0)
        passed += 2000.0
    assert not facade.places and not facade.dests.index and not facade.decisions.dests
    assert not facade.decisions.endpoints and not courier.runtime.pool.listed
    for number in range(2):
        _, asked = courier.node.next_request()
        courier.node.respond(asked, 4 + number)
        courier.advance(CHECK_INTERVAL_MS / 2.0)
    assert not decode((tmp_path / "known-list").read_bytes()).places
    peer = courier.send_message("b")
    asked = courier.subscribe_request(7)
    courier.node.respond(asked, 6, [served(endpoint)])
    assert courier.status_of(peer) == b"202"
    assert b"\xfe\xfe\xfe" in endpoint.meet().wait(b"\xfe\xfe\xfe")


def test_a_reload_moves_the_subscription_to_other_nodes(tmp_path, node, endpoint):
    courier = started(tmp_path, node, endpoint)
    other = Node(courier.loop, "n2", "n2-1")
    courier.configurations.append(replace(courier.configurations[0], nodes=(other.address,)))
    told, sink = capture_log()
    configuration_reload(courier).reload()
    courier.advance(NEXT_NODE_JITTER_MS)
    _, asked = other.next_request()
    assert asked["lease"] is None and asked["subscribe"] == [7]
    other.respond(asked, 1, [served(endpoint)], full=True)
    courier.configurations.append(replace(courier.configurations[0], nodes=(), fleet="other", disk=1_000_000))
    configuration_reload(courier).reload()
    logger.remove(sink)
    assert any("fleet, nodes changed, which needs a restart" in line for line in told)
    assert courier.runtime.journal.max_bytes == journal_bytes(1_000_000) // 2
    assert courier.runtime.subscription.known_list.max_bytes == 50_000
    courier.advance()
    assert courier.post("b") == b"202"


def configuration_reload(courier):
    from calicopin.lifecycle.reload import ConfigurationReload

    return ConfigurationReload(
        courier.loop,
        SignalReader(),
        courier.configurations[0],
        lambda: courier.configurations[-1],
        None,
        courier.runtime.subscription.subscriber,
        None,
        courier.runtime,
    )


def test_the_status_reports_the_subscription(tmp_path, node, endpoint):
    courier = started(tmp_path, node, endpoint)
    told = json.loads(courier.runtime.status())["subscription"]
    assert told["node"] == node.address and told["destinations"] == 1 and told["lease"]
    assert told["heard_ms"] >= 0.0 and told["waiting"] == 0


# The stored list.


class WallClockSystem(Rebooted):
    """A system with a wall clock set by the test, and a disk that can be full."""

    at, disk_full = 1.8e12, False

    def wall_clock_ms(self):
        return self.at

    def create(self, path):
        if self.disk_full:
            raise OSError(28, "No space left on device")
        return Rebooted.create(path)


def known_list(tmp_path, system=None, disk=DISK_BYTES, fleet=FLEET):
    return KnownList(Loop(now=Clock(), system=system or WallClockSystem()), str(tmp_path), fleet, DAY, disk)


def places(count, each=1):
    from courier_helper import make_place

    return {dest: [make_place(f"s-{dest}-{one}", dest=dest) for one in range(each)] for dest in range(count)}


def written(tmp_path, table, system=None, **other):
    kept_list = known_list(tmp_path, system, **other)
    kept_list.known = lambda: table
    kept_list.confirmed()
    kept_list.changed()
    passes = sum(1 for _ in kept_list.write())
    return kept_list, passes


def test_the_stored_list_round_trips_and_a_long_one_is_written_in_many_passes(tmp_path):
    _, passes = written(tmp_path, places(1000, 2), disk=100_000_000)
    assert known_list(tmp_path).read() == places(1000, 2) and passes >= 10
    assert not (tmp_path / "known-list.new").exists()


def test_an_old_damaged_truncated_or_foreign_list_is_ignored_with_one_log_line(tmp_path):
    written(tmp_path, places(3))
    path, told, system = tmp_path / "known-list", [], WallClockSystem()
    sink = logger.add(told.append, format="{message}", level="INFO")
    sound = path.read_bytes()
    for data in (sound[:-1], sound[:40], b"", sound.replace(b"s-1", b"s-9"), b"\xff" * 100):
        path.write_bytes(data)
        assert known_list(tmp_path).read() == {}
    path.write_bytes(sound)
    assert known_list(tmp_path, fleet="other").read() == {}
    system.at += DAY
    assert known_list(tmp_path, system).read() == places(3)
    system.at += 1.0
    assert known_list(tmp_path, system).read() == {}
    logger.remove(sink)
    assert len(told) == 7 and all("is ignored" in line and line.count("\n") == 1 for line in told)
    path.unlink()
    assert known_list(tmp_path).read() == {}


def test_the_stored_list_stays_within_its_share_of_the_disk(tmp_path):
    written(tmp_path, places(5000), disk=1_000_000)
    size = (tmp_path / "known-list").stat().st_size
    assert 40_000 < size <= 50_000 and 0 < len(known_list(tmp_path).read()) < 5000
    assert journal_bytes(1_000_000) + 2 * 50_000 <= 1_000_000


def test_the_list_is_written_only_after_changes_and_its_date_is_refreshed(tmp_path):
    system = WallClockSystem()
    kept_list, _ = written(tmp_path, places(3), system)
    kept_list.confirmed()
    assert not kept_list.due()
    kept_list.changed()
    assert kept_list.due()
    list(kept_list.write())
    system.at += REFRESH_AGE_MS
    assert not kept_list.due(), "no node has confirmed it since, so it keeps its date"
    kept_list.confirmed()
    assert kept_list.due()


def test_a_full_disk_leaves_the_last_file_and_the_write_is_retried(tmp_path):
    system = WallClockSystem()
    kept_list, _ = written(tmp_path, places(3), system)
    before, system.disk_full = (tmp_path / "known-list").read_bytes(), True
    kept_list.known = lambda: places(4)
    kept_list.changed()
    list(kept_list.write())
    assert (tmp_path / "known-list").read_bytes() == before and kept_list.due()
    system.disk_full = False
    list(kept_list.write())
    assert known_list(tmp_path).read() == places(4)


# With a real node.


def entry_line(told):
    return json.dumps(told | {"weight": 1.0}, separators=(",", ":")).encode() + b"\n"


def test_a_courier_uses_a_real_node_and_then_its_folder_after_the_node_was_killed(tmp_path):
    endpoint, other = Listener(Loop()), Listener(Loop())
    source, listen = tmp_path / "list", free_address()
    source.write_bytes(
        b'{"form":1,"fleet":"%s"}\n' % FLEET.encode()
        + entry_line(served(endpoint))
        + entry_line(served(other, ident="s-2"))
    )
    words = ["discovery-node", "--source", str(source), "--fleet", FLEET, "--listen", listen, "--node", "n1"]
    process = subprocess.Popen([sys.executable, "-m", "calicopin", *words], stderr=subprocess.DEVNULL)
    try:
        courier = RealTime(tmp_path / "state", listen)
        for listener in (endpoint, other):
            listener.loop = courier.loop
        assert courier.post("x", dest=9) == b"404" and courier.post("a", product="once") == b"202"
        courier.deliver([endpoint, other], 1)
        with source.open("ab") as file:
            file.write(entry_line(served(endpoint, state="leaving")))
        courier.until(lambda: [p.ready for p in courier.runtime.facade.places.values()].count(False) == 1)
        for number in range(4):
            assert courier.post(f"b-{number}", product="once") == b"202"
        courier.deliver([other], 4)
        with pytest.raises(BlockingIOError):
            endpoint.sock.accept()
        courier.until(lambda: (tmp_path / "state" / "known-list").exists() and not courier.due())
    finally:
        process.kill()
        process.wait()
    courier.kill()
    restarted = RealTime(tmp_path / "state", listen)
    endpoint.loop = other.loop = restarted.loop
    assert restarted.post("c", product="once") == b"202"
    restarted.deliver([other], 1)
    with pytest.raises(BlockingIOError):
        endpoint.sock.accept()


class RealTime(SubscribedCourierFixture):
    """A courier on the system's clock."""

    def __init__(self, folder, listen):
        folder.mkdir(exist_ok=True)
        system = Rebooted()
        super().__init__(folder, None, clock=RealClock(system), system=system, nodes=[listen])

    def due(self):
        return self.runtime.subscription.known_list.due()

    def until(self, done, seconds=30.0):
        end = time.monotonic() + seconds
        while not done():
            assert time.monotonic() < end, "the condition was not reached in time"
            self.loop.once(self.loop.now() + 5.0)

    def status_of(self, peer):
        self.until(lambda: b"\r\n\r\n" in peer.hear())
        return peer.heard.split()[1]

    def deliver(self, listeners, count):
        """Receives and answers that many messages at the listeners. They are once-only, so that a slow
        machine causes no repeated submit."""
        peers, got = [], 0
        end = time.monotonic() + 30.0
        while self.runtime.journal.texts or got < count:
            assert time.monotonic() < end, "the messages did not arrive in time"
            self.loop.once(self.loop.now() + 5.0)
            for listener in listeners:
                try:
                    peers.append(Peer(self.loop, listener.sock.accept()[0]))
                except BlockingIOError:
                    pass
            for peer in peers:
                if (bodies := peer.hear().count(b"\xfe\xfe\xfe")) > 0:
                    got, peer.heard = got + bodies, b""
                    peer.say(answer(200))
        assert got == count, "no message arrived twice"
        for peer in peers:
            peer.sock.close()


class RealClock:
    """The system's clock plus an offset that the fixture's constructor may increase."""

    def __init__(self, system):
        self.system, self.start = system, 0.0

    @property
    def now(self):
        return self.system.now() + self.start

    @now.setter
    def now(self, value):
        self.start += value - self.now

    def __call__(self):
        return self.now
