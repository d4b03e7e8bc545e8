"""A courier that subscribes to the destinations it uses: whole couriers on loopback against a node that the
test plays."""

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
from calicopin.lifecycle.start import Post, build
from calicopin.state.known_list import LOOK, REFRESH, KnownList, decode, journal_bytes
from calicopin.subscription.interest import IDLE, IDLE_JITTER_FRACTION
from calicopin.subscription.nodes import TRY_JITTER
from calicopin.wire.loop import Loop
from calicopin.wire.subscriber import AGAIN, PROMPT

DAY = 24 * 3_600_000.0
DISK = 3_000_000


class SubscribedCourierFixture:
    """A courier with nodes, on a loop and a clock that the test moves; `kill` leaves just its folder."""

    def __init__(self, folder, node, clock=None, system=None, nodes=None, disk=DISK, max_age=DAY, **settings):
        self.loop = Loop(now=clock or Clock(), system=system or Rebooted())
        self.node, self.platform = node, Listener(self.loop)
        if node:
            node.loop, node.peer = self.loop, None
        self.listen = free_address()
        nodes = tuple(nodes or [node.address])
        told = (f"n{os.getpid()}", self.listen, self.platform.address, str(folder), 5, 256, disk)
        known = {"version": 0, "full": True, "servers": []}
        self.posts = [
            Post(*told, known, terms(**settings), nodes=nodes, fleet=FLEET, max_age=max_age, status=True)
        ]
        self.runtime = build(self.posts[0], self.loop, SignalReader(), lambda: self.posts[-1])
        self.pass_some()
        self.loop.now.now += 100.0  # the first request is spread by chance

    def pass_some(self, count=5):
        for _ in range(count):
            self.loop.once(self.loop.now())

    def go_on(self, milliseconds=AGAIN):
        self.pass_some()
        self.loop.now.now += milliseconds
        self.pass_some()

    def ask(self, ident, dest=7, left=20.0, product="notice"):
        """A client's request; its connection."""
        peer = client(self.loop, self.listen)
        peer.say(
            f"POST /{product} HTTP/1.1\r\nHost: x\r\nX-Request-ID: {ident}\r\nX-Timeout: {left}\r\n"
            f"X-Envelope: dest={dest}\r\nContent-Length: 3\r\n\r\n".encode()
            + b"\xfe" * 3
        )
        return peer

    def status_of(self, peer):
        return peer.wait(b"\r\n\r\n").split()[1]

    def post(self, ident, **other):
        return self.status_of(self.ask(ident, **other))

    def kill(self):
        self.loop.once = self.loop.turn = None

    @property
    def awaited(self):
        return self.runtime.facade.awaited

    def begin(self, *destinations):
        """The first request of a courier that is started with those."""
        _, asked = self.node.hear()
        assert asked["lease"] is None and sorted(asked["subscribe"]) == sorted(destinations)
        return asked

    def fresh(self, destination):
        """The request that subscribes to it; one that was parked is given up for it."""
        _, asked = self.node.hear()
        while asked["subscribe"] != [destination]:
            _, asked = self.node.hear()
        return asked


def served(endpoint, dest=7, ident="s-1", state="active"):
    return entry(ident, dest, state) | {"addr": endpoint.address, "kind": "one"}


def lines_told():
    told = []
    return told, logger.add(told.append, format="{message}", level="INFO")


@pytest.fixture
def node(loop):
    return Node(loop)


@pytest.fixture
def endpoint(loop):
    return Listener(loop)


def started(folder, node, endpoint, **other):
    """A courier that has a lease and knows destination 7, its next request parked."""
    house = SubscribedCourierFixture(folder, node, **other)
    endpoint.loop = house.loop
    house.node.tell(house.begin(), 1, full=True)
    house.go_on()
    peer = house.ask("first")
    asked = house.fresh(7)
    house.node.tell(asked, 2, [served(endpoint)])
    assert house.status_of(peer) == b"202"
    call = endpoint.meet()
    call.wait(b"\xfe\xfe\xfe")
    call.say(answer(200))
    spin(house.loop, lambda: not house.runtime.journal.texts)
    house.go_on()
    return house


def test_a_message_waits_for_the_first_answer_and_is_delivered(tmp_path, node, endpoint):
    house = SubscribedCourierFixture(tmp_path, node)
    endpoint.loop = house.loop
    house.node.tell(house.begin(), 1, full=True)
    house.go_on()
    peer = house.ask("a")
    spin(house.loop, lambda: house.awaited)
    assert not house.runtime.journal.texts and not house.runtime.journal.buffer and not peer.hear()
    asked = house.fresh(7)
    assert not house.runtime.journal.texts and not peer.hear()
    house.node.tell(asked, 2, [served(endpoint)])
    assert house.status_of(peer) == b"202" and not house.awaited
    call = endpoint.meet()
    call.wait(b"\xfe\xfe\xfe")
    call.say(answer(200))
    spin(house.loop, lambda: not house.runtime.journal.texts and not house.runtime.out)
    with pytest.raises(BlockingIOError):
        endpoint.sock.accept()
    with pytest.raises(BlockingIOError):  # no watch of the platform's agent beside it
        house.platform.sock.accept()
    assert house.post("b") == b"202", "known now: taken on at once"


def test_an_unknown_destination_is_refused_and_kept_nowhere(tmp_path, node, endpoint):
    house = started(tmp_path, node, endpoint)
    peer = house.ask("x", dest=9)
    asked = house.fresh(9)
    house.node.tell(asked, 3, unknown=[9])
    assert house.status_of(peer) == b"404" and house.post("y", dest=9) == b"404"
    assert list(house.runtime.facade.dests.index) == [7]


def test_a_destination_that_no_node_tells_of_is_refused_when_the_time_is_up(tmp_path, node):
    house = SubscribedCourierFixture(tmp_path, node)
    peer = house.ask("a", left=5.0)
    spin(house.loop, lambda: house.awaited)
    house.go_on(4900.0)
    assert house.awaited and not peer.hear()
    house.go_on(81.0)
    assert house.status_of(peer) == b"503" and not house.awaited and not house.runtime.journal.texts
    assert not house.runtime.subscribed.subscriber._settled, "nothing is kept for it while no node answers"


def test_a_client_that_leaves_while_it_waits_costs_nothing_more(tmp_path, node, endpoint):
    house = SubscribedCourierFixture(tmp_path, node)
    gone, stays = house.ask("a"), house.ask("b")
    spin(house.loop, lambda: house.awaited == 2)
    gone.sock.close()
    spin(house.loop, lambda: house.awaited == 1)
    stays.say(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")  # the next request already: it waits its turn
    house.pass_some(50)
    endpoint.loop = house.loop
    house.node.tell(house.begin(), 1, full=True)
    house.go_on()
    house.node.tell(house.fresh(7), 2, [served(endpoint)])
    assert house.status_of(stays) == b"202"
    spin(house.loop, lambda: b"200" in stays.hear())
    assert [text.ident for text in house.runtime.journal.texts.values()] == ["b"]


def test_no_more_wait_than_may_be_held_and_the_rest_are_told_when_to_come_again(tmp_path, node):
    house = SubscribedCourierFixture(tmp_path, node)
    waiting = [house.ask(f"a-{number}", dest=number) for number in range(40)]
    spin(house.loop, lambda: house.awaited == 40)
    peer = house.ask("b", dest=99)
    heard = peer.wait(b"\r\n\r\n")
    assert heard.split()[1] == b"503" and b"Retry-After: 2.000" in heard
    assert not house.runtime.facade.dests.index and not house.runtime.facade.module.dests
    waiting[0].sock.close()
    spin(house.loop, lambda: house.awaited == 39)
    waiting.append(house.ask("c", dest=99))
    spin(house.loop, lambda: house.awaited == 40)


def test_a_stop_refuses_what_waits(tmp_path, node):
    house = SubscribedCourierFixture(tmp_path, node)
    peer = house.ask("a")
    spin(house.loop, lambda: house.awaited)
    house.runtime.refusing = True
    house.runtime.stop_waiting()
    assert house.status_of(peer) == b"503" and not house.awaited


def test_an_id_that_is_known_does_not_wait_and_of_two_that_wait_one_is_taken_on(tmp_path, node, endpoint):
    house = started(tmp_path, node, endpoint)
    assert house.post("first", dest=8) == b"409"
    two = [house.ask("same", dest=8), house.ask("same", dest=8)]
    spin(house.loop, lambda: house.awaited == 2)
    asked = house.fresh(8)
    house.node.tell(asked, 3, [served(endpoint, 8, "s-8")])
    assert sorted(house.status_of(peer) for peer in two) == [b"202", b"409"]


def test_an_endpoint_announced_as_leaving_is_called_no_more(tmp_path, node, endpoint):
    house, other = started(tmp_path, node, endpoint), Listener(Loop())
    other.loop = house.loop
    _, asked = house.node.hear()
    house.node.tell(asked, 3, [served(endpoint, state="leaving"), served(other, ident="s-2")])
    house.go_on()
    assert house.post("b") == b"202"
    assert b"\xfe\xfe\xfe" in other.meet().wait(b"\xfe\xfe\xfe")
    with pytest.raises(BlockingIOError):
        endpoint.sock.accept()


def test_a_start_calls_nobody_before_the_first_answer_of_its_node(tmp_path, node, endpoint):
    """A journalled message, an endpoint that left while the courier was down, and the list in its folder."""
    house = started(tmp_path, node, endpoint)
    house.go_on(LOOK)
    house.pass_some()
    assert house.post("b") == b"202"
    assert b"\xfe\xfe\xfe" in endpoint.meet().wait(b"\xfe\xfe\xfe")
    house.kill()
    other = Listener(Loop())
    again = SubscribedCourierFixture(tmp_path, node, clock=house.loop.now)
    other.loop = again.loop
    assert set(again.runtime.facade.places_of) == {7} and again.post("c") == b"202", "taken on at once"
    for door in (endpoint, other):
        with pytest.raises(BlockingIOError):
            door.sock.accept()
    asked = again.begin(7)
    again.node.tell(asked, 1, [served(endpoint, state="leaving"), served(other, ident="s-2")], full=True)
    bodies, calls = b"", []
    while bodies.count(b"\xfe\xfe\xfe") < 2:
        calls.append(other.meet())
        bodies += calls[-1].wait(b"\xfe\xfe\xfe")
    for call in calls:
        call.say(answer(200))
    spin(again.loop, lambda: not again.runtime.journal.texts)
    for door in (endpoint, other):
        with pytest.raises(BlockingIOError):
            door.sock.accept()


def test_restored_messages_subscribe_their_destinations_from_the_start(tmp_path, node, endpoint):
    house = started(tmp_path, node, endpoint)
    assert house.post("b") == b"202"
    endpoint.meet().wait(b"\xfe\xfe\xfe")
    house.kill()
    os.unlink(tmp_path / "known-list") if (tmp_path / "known-list").exists() else None
    again = SubscribedCourierFixture(tmp_path, node, clock=house.loop.now)
    endpoint.loop = again.loop
    again.node.tell(again.begin(7), 1, [served(endpoint)], full=True)
    call = endpoint.meet()
    call.wait(b"\xfe\xfe\xfe")
    call.say(answer(200))
    spin(again.loop, lambda: not again.runtime.journal.texts)


def test_with_all_nodes_gone_a_restarted_courier_serves_what_its_folder_knows(tmp_path, node, endpoint):
    house = started(tmp_path, node, endpoint)
    house.go_on(LOOK)
    house.pass_some()
    assert decode((tmp_path / "known-list").read_bytes()).places.keys() == {7}
    house.kill()
    node.sock.close()
    again = SubscribedCourierFixture(tmp_path, None, clock=house.loop.now, nodes=[node.address])
    endpoint.loop = again.loop
    assert again.post("b") == b"202"
    peer = again.ask("c", dest=8, left=5.0)
    call = endpoint.meet()
    call.wait(b"\xfe\xfe\xfe")
    call.say(answer(200))
    spin(again.loop, lambda: not again.runtime.journal.texts)
    for _ in range(20):
        again.go_on(250.0)
    assert again.status_of(peer) == b"503"


def test_a_node_that_hangs_holds_a_start_back_for_a_bounded_time(tmp_path, node, endpoint):
    house = started(tmp_path, node, endpoint)
    house.go_on(LOOK)
    house.pass_some()
    house.kill()
    again = SubscribedCourierFixture(tmp_path, node, clock=house.loop.now)
    endpoint.loop = again.loop
    assert again.post("b") == b"202"
    again.begin(7)
    again.go_on(PROMPT - 10.0)
    with pytest.raises(BlockingIOError):
        endpoint.sock.accept()
    again.go_on(11.0)
    assert b"\xfe\xfe\xfe" in endpoint.meet().wait(b"\xfe\xfe\xfe")


def test_what_is_not_used_is_given_up_and_forgotten(tmp_path, node, endpoint):
    house = started(tmp_path, node, endpoint)
    house.go_on(LOOK)
    facade, passed = house.runtime.facade, 0.0
    while passed < IDLE * (1.0 + IDLE_JITTER_FRACTION) + 3.0 * Route.IDLE:
        _, asked = house.node.hear()
        house.node.tell(asked, 3)
        house.go_on(2000.0)
        passed += 2000.0
    assert not facade.places and not facade.dests.index and not facade.module.dests
    assert not facade.module.endpoints and not house.runtime.lines.listed
    for number in range(2):
        _, asked = house.node.hear()
        house.node.tell(asked, 4 + number)
        house.go_on(LOOK / 2.0)
    assert not decode((tmp_path / "known-list").read_bytes()).places
    peer = house.ask("b")
    asked = house.fresh(7)
    house.node.tell(asked, 6, [served(endpoint)])
    assert house.status_of(peer) == b"202"
    assert b"\xfe\xfe\xfe" in endpoint.meet().wait(b"\xfe\xfe\xfe")


def test_a_reload_moves_the_subscription_to_other_nodes(tmp_path, node, endpoint):
    house = started(tmp_path, node, endpoint)
    other = Node(house.loop, "n2", "n2-1")
    house.posts.append(replace(house.posts[0], nodes=(other.address,)))
    told, sink = lines_told()
    renewal(house).renew()
    house.go_on(TRY_JITTER)
    _, asked = other.hear()
    assert asked["lease"] is None and asked["subscribe"] == [7]
    other.tell(asked, 1, [served(endpoint)], full=True)
    house.posts.append(replace(house.posts[0], nodes=(), fleet="other", disk=1_000_000))
    renewal(house).renew()
    logger.remove(sink)
    assert any("fleet, nodes changed and needs a restart" in line for line in told)
    assert house.runtime.journal.most == journal_bytes(1_000_000) // 2
    assert house.runtime.subscribed.known_list.most == 50_000
    house.go_on()
    assert house.post("b") == b"202"


def renewal(house):
    from calicopin.lifecycle.renewal import Renewal

    return Renewal(
        house.loop,
        SignalReader(),
        house.posts[0],
        lambda: house.posts[-1],
        None,
        house.runtime.subscribed.subscriber,
        None,
        house.runtime,
    )


def test_status_tells_of_the_subscription(tmp_path, node, endpoint):
    house = started(tmp_path, node, endpoint)
    told = json.loads(house.runtime.status())["subscription"]
    assert told["node"] == node.address and told["destinations"] == 1 and told["lease"]
    assert told["heard_ms"] >= 0.0 and told["waiting"] == 0


# The list in the folder.


class Wall(Rebooted):
    """A wall clock that the test sets, and a disk that may refuse."""

    at, refuses = 1.8e12, False

    def wall(self):
        return self.at

    def create(self, path):
        if self.refuses:
            raise OSError(28, "No space left on device")
        return Rebooted.create(path)


def known_list(tmp_path, system=None, disk=DISK, fleet=FLEET):
    return KnownList(Loop(now=Clock(), system=system or Wall()), str(tmp_path), fleet, DAY, disk)


def places(count, each=1):
    from courier_helper import place

    return {dest: [place(f"s-{dest}-{one}", dest=dest) for one in range(each)] for dest in range(count)}


def written(tmp_path, table, system=None, **other):
    kept = known_list(tmp_path, system, **other)
    kept.known = lambda: table
    kept.confirmed()
    kept.changed()
    passes = sum(1 for _ in kept.write())
    return kept, passes


def test_the_list_comes_back_as_it_was_and_a_long_one_is_written_in_many_passes(tmp_path):
    _, passes = written(tmp_path, places(1000, 2), disk=100_000_000)
    assert known_list(tmp_path).read() == places(1000, 2) and passes >= 10
    assert not (tmp_path / "known-list.new").exists()


def test_what_is_old_damaged_cut_short_or_of_another_fleet_is_passed_over_with_one_line(tmp_path):
    written(tmp_path, places(3))
    path, told, system = tmp_path / "known-list", [], Wall()
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
    assert len(told) == 7 and all("passed over" in line and line.count("\n") == 1 for line in told)
    path.unlink()
    assert known_list(tmp_path).read() == {}


def test_it_stays_within_its_share_of_the_disk(tmp_path):
    written(tmp_path, places(5000), disk=1_000_000)
    size = (tmp_path / "known-list").stat().st_size
    assert 40_000 < size <= 50_000 and 0 < len(known_list(tmp_path).read()) < 5000
    assert journal_bytes(1_000_000) + 2 * 50_000 <= 1_000_000


def test_it_is_written_only_where_something_changed_and_dated_anew_now_and_then(tmp_path):
    system = Wall()
    kept, _ = written(tmp_path, places(3), system)
    kept.confirmed()
    assert not kept.due()
    kept.changed()
    assert kept.due()
    list(kept.write())
    system.at += REFRESH
    assert not kept.due(), "no node has confirmed it since: it keeps its date"
    kept.confirmed()
    assert kept.due()


def test_a_disk_that_refuses_leaves_the_last_file_and_is_tried_again(tmp_path):
    system = Wall()
    kept, _ = written(tmp_path, places(3), system)
    before, system.refuses = (tmp_path / "known-list").read_bytes(), True
    kept.known = lambda: places(4)
    kept.changed()
    list(kept.write())
    assert (tmp_path / "known-list").read_bytes() == before and kept.due()
    system.refuses = False
    list(kept.write())
    assert known_list(tmp_path).read() == places(4)


# Against the real node.


def entry_line(told):
    return json.dumps(told | {"weight": 1.0}, separators=(",", ":")).encode() + b"\n"


def test_a_courier_is_served_by_a_real_node_and_by_its_folder_once_that_is_gone(tmp_path):
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
        house = RealTime(tmp_path / "state", listen)
        for door in (endpoint, other):
            door.loop = house.loop
        assert house.post("x", dest=9) == b"404" and house.post("a", product="once") == b"202"
        house.deliver([endpoint, other], 1)
        with source.open("ab") as file:
            file.write(entry_line(served(endpoint, state="leaving")))
        house.until(lambda: [p.ready for p in house.runtime.facade.places.values()].count(False) == 1)
        for number in range(4):
            assert house.post(f"b-{number}", product="once") == b"202"
        house.deliver([other], 4)
        with pytest.raises(BlockingIOError):
            endpoint.sock.accept()
        house.until(lambda: (tmp_path / "state" / "known-list").exists() and not house.due())
    finally:
        process.kill()
        process.wait()
    house.kill()
    again = RealTime(tmp_path / "state", listen)
    endpoint.loop = other.loop = again.loop
    assert again.post("c", product="once") == b"202"
    again.deliver([other], 1)
    with pytest.raises(BlockingIOError):
        endpoint.sock.accept()


class RealTime(SubscribedCourierFixture):
    """The same on the system's clock."""

    def __init__(self, folder, listen):
        folder.mkdir(exist_ok=True)
        system = Rebooted()
        super().__init__(folder, None, clock=RealClock(system), system=system, nodes=[listen])

    def due(self):
        return self.runtime.subscribed.known_list.due()

    def until(self, done, seconds=30.0):
        end = time.monotonic() + seconds
        while not done():
            assert time.monotonic() < end, "it never came about"
            self.loop.once(self.loop.now() + 5.0)

    def status_of(self, peer):
        self.until(lambda: b"\r\n\r\n" in peer.hear())
        return peer.heard.split()[1]

    def deliver(self, doors, count):
        """So many messages come to these, and are answered. They may be sent once only: what is slow here is
        no time-out."""
        peers, got = [], 0
        end = time.monotonic() + 30.0
        while self.runtime.journal.texts or got < count:
            assert time.monotonic() < end, "they never came"
            self.loop.once(self.loop.now() + 5.0)
            for door in doors:
                try:
                    peers.append(Peer(self.loop, door.sock.accept()[0]))
                except BlockingIOError:
                    pass
            for peer in peers:
                if (bodies := peer.hear().count(b"\xfe\xfe\xfe")) > 0:
                    got, peer.heard = got + bodies, b""
                    peer.say(answer(200))
        assert got == count, "nothing twice"
        for peer in peers:
            peer.sock.close()


class RealClock:
    """The system's clock, with a head start that the constructor of a house may add to."""

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
