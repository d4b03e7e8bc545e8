"""Tests of the discovery node: its catalogue, its source file (growing, damaged or replaced), and whole nodes
on loopback."""

import contextlib
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass

import pytest
from click.testing import CliRunner
from helper import Clock, Listener, Peer, answer, free_address, spin

from calicopin.command.__main__ import main
from calicopin.discovery_node import catalogue as catalogue_module
from calicopin.discovery_node import server as server_module
from calicopin.discovery_node import source as source_module
from calicopin.discovery_node import upstream as upstream_module
from calicopin.discovery_node.catalogue import Catalogue
from calicopin.discovery_node.entry import Line, decode_entry, read_line
from calicopin.discovery_node.measure import measure
from calicopin.discovery_node.node import check_source
from calicopin.discovery_node.server import NodeServer, ServerBounds
from calicopin.discovery_node.source import (
    MAX_LINE_BYTES,
    MAX_LOGGED_FAULTS,
    POLL_INTERVAL_MS,
    LineSplitter,
    Source,
    SourceError,
)
from calicopin.discovery_node.upstream import Upstream, encode_log_chunk
from calicopin.subscription.leases import LeaseBounds, LeaseTable
from calicopin.subscription.messages import (
    Reason,
    SubscribeRequest,
    decode_answer,
    decode_refusal,
    encode_request,
)
from calicopin.system import REAL_SYSTEM
from calicopin.wire.loop import Loop

HEADER = b'{"form":1,"fleet":"fleet"}\n'


def entry(ident, cell, state="active", addr="10.0.0.1:80"):
    told = {
        "id": ident,
        "addr": addr,
        "cell": cell,
        "kind": "web",
        "zone": "a",
        "state": state,
        "weight": 1.0,
    }
    return json.dumps(told, separators=(",", ":")).encode()


def source_bytes(*entries):
    return HEADER + b"".join(line + b"\n" for line in entries)


def numbered_lines(entries):
    return [read_line(number, data) for number, data in enumerate(entries, 2)]


def load_catalogue(*entries):
    catalogue = Catalogue()
    for _ in catalogue.load(numbered_lines(entries)):
        pass
    return catalogue


def apply_entry(catalogue, data):
    return catalogue.apply(decode_entry(data), data)


# The catalogue.


def test_a_loaded_entry_is_returned_as_the_bytes_that_were_read():
    catalogue = load_catalogue(entry("a", 1), entry("b", 2), entry("c", 1))
    assert sorted(catalogue.entries(1)) == [entry("a", 1), entry("c", 1)]
    assert catalogue.entries(2) == (entry("b", 2),) and catalogue.entries(3) == ()
    assert (catalogue.destinations, catalogue.endpoints) == (2, 3)


def test_a_later_line_of_a_load_replaces_moves_or_removes_an_endpoint():
    catalogue = load_catalogue(
        entry("a", 1),
        entry("b", 1),
        entry("c", 2),
        entry("a", 1, "leaving"),
        entry("b", 3),
        entry("c", 2, "left"),
        entry("never", 9, "left"),
    )
    assert catalogue.entries(1) == (entry("a", 1, "leaving"),)
    assert catalogue.entries(3) == (entry("b", 3),) and catalogue.entries(2) == ()
    assert (catalogue.destinations, catalogue.endpoints) == (2, 2)


def test_a_change_returns_the_destinations_that_changed():
    catalogue = load_catalogue(entry("a", 1), entry("b", 1))
    assert apply_entry(catalogue, entry("a", 1)) == set()
    assert apply_entry(catalogue, entry("a", 1, "leaving")) == {1}
    assert apply_entry(catalogue, entry("a", 2)) == {1, 2}
    assert apply_entry(catalogue, entry("b", 1, "left")) == {1}
    assert apply_entry(catalogue, entry("b", 1, "left")) == set()
    assert catalogue.entries(1) == () and catalogue.entries(2) == (entry("a", 2),)
    assert (catalogue.destinations, catalogue.endpoints) == (1, 1)
    assert apply_entry(catalogue, entry("b", 1)) == {1}
    assert catalogue.destinations == 2


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("hashes", [1, 20, None])
def test_load_and_changes_agree_with_a_dictionary(monkeypatch, seed, hashes):
    """Includes many endpoints with the same hash."""
    if hashes:
        monkeypatch.setattr(catalogue_module, "hash_endpoint_id", lambda ident: int(ident[2:]) % hashes)
    rng = random.Random(seed)
    lines = [
        entry(f"s-{rng.randrange(400)}", rng.randrange(300), rng.choice(("active", "leaving", "left")))
        for _ in range(4000)
    ]
    plain = {}
    cut = rng.randrange(len(lines))
    catalogue = load_catalogue(*lines[:cut])
    for data in lines[cut:]:
        apply_entry(catalogue, data)
    for data in lines:
        told = decode_entry(data)
        plain.pop(told.id, None)
        if told.state != "left":
            plain[told.id] = (told.cell, data)
    for destination in range(300):
        mine = sorted(data for cell, data in plain.values() if cell == destination)
        assert sorted(catalogue.entries(destination)) == mine
    assert catalogue.endpoints == len(plain)
    assert catalogue.destinations == len({cell for cell, _ in plain.values()})


def test_the_work_of_a_change_does_not_grow_with_the_size_of_the_list():
    work = {}
    for known in (1_000, 10_000, 100_000):
        catalogue = load_catalogue(*(entry(f"s-{number}", number * 16) for number in range(known)))
        before = catalogue.examined_rows
        for number in range(500):
            assert apply_entry(catalogue, entry(f"s-{number}", number * 16, "leaving")) == {number * 16}
            assert len(catalogue.entries(number * 16)) == 1
        work[known] = catalogue.examined_rows - before
    assert max(work.values()) <= min(work.values()) + 10, work


# The source.


class ChangeRecorder:
    """Records the changes that a source reports."""

    def __init__(self):
        self.changed = []

    def take(self, destinations):
        self.changed.append(set(destinations))

    def all(self):
        told, self.changed = set().union(*self.changed), []
        return told


class FollowedSource:
    """A source on a test file, in a loop whose clock the test advances."""

    def __init__(self, path, subscribed=()):
        self.path, self.heard, self.loop = path, ChangeRecorder(), Loop(now=Clock())
        self.source = Source(self.loop, str(path), "fleet", self.heard.take, lambda: list(subscribed))
        self.poll()

    def poll(self):
        """Runs the loop until the next poll is complete."""
        polls = self.source.polls
        self.loop.now.now += POLL_INTERVAL_MS
        spin(self.loop, lambda: self.source.polls > polls)

    def append(self, data):
        with open(self.path, "ab") as file:
            file.write(data)
        self.poll()

    def replace(self, data):
        replacement = self.path.with_suffix(".new")
        replacement.write_bytes(data)
        os.replace(replacement, self.path)
        self.poll()

    def entries(self, destination):
        return self.source.catalogue.entries(destination)


@pytest.fixture
def path(tmp_path):
    return tmp_path / "list.log"


@pytest.fixture
def lines(caplog):
    """The logged messages."""
    from loguru import logger

    messages = []
    number = logger.add(lambda message: messages.append(message.record["message"]), level="INFO")
    yield messages
    logger.remove(number)


def test_a_source_is_loaded_and_followed(path):
    path.write_bytes(source_bytes(entry("a", 1), entry("b", 2)))
    following = FollowedSource(path)
    assert following.heard.all() == set() and following.entries(1) == (entry("a", 1),)
    following.append(entry("a", 1, "leaving") + b"\n" + entry("c", 3) + b"\n")
    assert following.heard.all() == {1, 3} and following.entries(3) == (entry("c", 3),)
    assert following.source.offset == path.stat().st_size


def test_only_appended_bytes_are_read(path, monkeypatch):
    path.write_bytes(source_bytes(*(entry(f"s-{number}", number) for number in range(5000))))
    following = FollowedSource(path)
    read, pread = [], os.pread

    def counted(descriptor, size, offset):
        data = pread(descriptor, size, offset)
        read.append(len(data))
        return data

    monkeypatch.setattr(os, "pread", counted)
    following.append(entry("a", 1) + b"\n")
    following.poll()
    assert sum(read) == len(entry("a", 1)) + 1


def test_an_incomplete_line_waits_for_its_rest(path):
    path.write_bytes(source_bytes(entry("a", 1)) + entry("b", 2)[:20])
    following = FollowedSource(path)
    assert following.entries(2) == ()
    following.append(entry("b", 2)[20:])
    assert following.heard.all() == set()
    following.append(b"\n" + entry("c", 3)[:1])
    assert following.heard.all() == {2}
    following.append(entry("c", 3)[1:] + b"\n")
    assert following.heard.all() == {3} and following.source.faults == 0


@pytest.mark.parametrize(
    "damaged",
    [
        b"{",
        b"",
        b"\xff\xfe",
        b"[1]",
        entry("b", 2)[:-9],
        entry("", 2),
        entry("b", -1),
        entry("b", 10**9),
        entry("b", 2, "gone"),
        entry("b", 2).replace(b'"zone"', b'"more"'),
        entry("b", 2).replace(b"1.0", b"NaN"),
        entry("b", "2"),
        b"[" * 100_000,
        b'"' + b"x" * (3 * MAX_LINE_BYTES) + b'"',
    ],
)
def test_an_invalid_line_is_skipped_and_logged_once(path, lines, damaged):
    path.write_bytes(source_bytes(entry("a", 1), damaged, entry("c", 3)))
    following = FollowedSource(path)
    assert following.entries(1) and following.entries(3) and not following.entries(2)
    following.append(damaged + b"\n" + entry("a", 1, "leaving") + b"\n")
    assert following.heard.all() == {1} and following.source.faults == 2
    told = [line for line in lines if "skipped" in line]
    assert [line.split(": skipped")[0] for line in told] == [f"{path}:3", f"{path}:5"]


def test_many_faults_are_logged_as_a_count(path, lines):
    path.write_bytes(source_bytes(*([b"{"] * 100), entry("a", 1)))
    following = FollowedSource(path)
    assert following.entries(1)
    told = [line for line in lines if "skipped" in line]
    assert len(told) == MAX_LOGGED_FAULTS + 1 and "100 lines skipped in total" in told[-1]


def test_a_replaced_file_is_reloaded_and_only_differences_are_reported(path):
    path.write_bytes(source_bytes(entry("a", 1), entry("b", 2), entry("c", 3)))
    following = FollowedSource(path, subscribed=(1, 2, 3, 4))
    following.append(entry("c", 3, "left") + b"\n")
    following.heard.all()
    following.replace(source_bytes(entry("a", 1), entry("b", 2, "leaving"), entry("d", 4), entry("e", 5)))
    assert following.heard.all() == {2, 4}
    following.append(entry("a", 1, "left") + b"\n")
    assert following.heard.all() == {1}


def test_a_truncated_file_is_reloaded(path):
    path.write_bytes(source_bytes(entry("a", 1), entry("b", 2)))
    following = FollowedSource(path, subscribed=(1, 2))
    path.write_bytes(source_bytes(entry("b", 2)))
    following.poll()
    assert following.heard.all() == {1} and following.entries(1) == ()


@pytest.mark.parametrize(
    "content, why",
    [
        (b'{"form":2,"fleet":"fleet"}\n' + entry("a", 9) + b"\n", "form 2 is not form 1"),
        (b'{"form":1,"fleet":"other"}\n' + entry("a", 9) + b"\n", "the fleet 'other'"),
        (b'{"form":1,"fleet":"fleet","more":1}\n' + entry("a", 9) + b"\n", "more"),
        (entry("a", 9) + b"\n", "the header is not"),
        (b"", "the header line is incomplete"),
        (b'{"form":1', "the header line is incomplete"),
        (HEADER, "contains no endpoint"),
        (HEADER + b"{\n", "contains no endpoint"),
    ],
)
def test_an_unusable_replacement_file_changes_nothing(path, lines, content, why):
    path.write_bytes(source_bytes(entry("a", 1)))
    following = FollowedSource(path, subscribed=(1,))
    following.replace(content)
    following.poll()
    following.poll()
    assert following.entries(1) and following.heard.all() == set()
    assert len([line for line in lines if why in line]) == 1
    following.append(b"more of it" * 100)  # longer than the last valid file: still must not be followed
    assert following.entries(1) and following.heard.all() == set()
    following.replace(source_bytes(entry("a", 1, "leaving")))
    assert following.heard.all() == {1}


def test_a_file_truncated_in_place_and_rejected_is_not_followed_when_it_grows(path):
    path.write_bytes(source_bytes(entry("a", 1)))
    following = FollowedSource(path, subscribed=(1, 2))
    path.write_bytes(b'{"form":2,"fleet":"fleet"}\n')
    following.poll()
    following.append((entry("a", 1, "left") + b"\n" + entry("b", 2) + b"\n") * 3)
    following.append(entry("c", 2) + b"\n")
    assert following.heard.all() == set()
    assert following.entries(1) == (entry("a", 1),) and following.entries(2) == ()
    following.replace(source_bytes(entry("a", 1), entry("b", 2)))
    assert following.heard.all() == {2}


def test_a_missing_file_changes_nothing_and_is_read_when_it_returns(path, lines):
    path.write_bytes(source_bytes(entry("a", 1)))
    following = FollowedSource(path, subscribed=(1,))
    path.unlink()
    following.poll()
    following.poll()
    assert following.entries(1) and len([line for line in lines if "No such file" in line]) == 1
    path.write_bytes(source_bytes(entry("a", 1, "leaving")))
    following.poll()
    assert following.heard.all() == {1}


def test_a_source_with_an_incomplete_header_is_waited_for(path):
    path.write_bytes(HEADER[:10])
    following = FollowedSource(path)
    assert following.source.catalogue is None
    following.append(HEADER[10:] + entry("a", 1) + b"\n")
    assert following.entries(1)


@pytest.mark.parametrize(
    "content", [b'{"form":2,"fleet":"fleet"}\n', b'{"form":1,"fleet":"x"}\n', b"x\n", None]
)
def test_an_unusable_source_prevents_the_start(path, content):
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(SourceError, match=str(path)):
        FollowedSource(path)


def test_lines_are_complete_however_the_data_is_split():
    data = b"".join(
        line + b"\n" for line in (entry("a", 1), b"x" * (MAX_LINE_BYTES + 1), entry("b", 2), b"{", b"")
    )
    whole = list(LineSplitter().feed(data))
    assert [line.number for line in whole] == [1, 2, 3, 4, 5]
    assert [line.entry is None for line in whole] == [False, True, False, True, True]
    for step in (1, 7, 1000):
        splitter = LineSplitter()
        cut = [line for at in range(0, len(data), step) for line in splitter.feed(data[at : at + step])]
        assert cut == whole and not splitter.has_partial_line()


class AdvancingClock(Clock):
    """Advances with every reading, so that a long read is divided into time slices."""

    def __call__(self):
        self.now += 0.5
        return self.now


def passes_until(loop, done):
    """The number of passes of the loop until the condition holds."""
    for passes in range(20_000):
        if done():
            return passes
        loop.once(loop.now.now)
    raise AssertionError("the condition was never reached")


def test_a_load_yields_to_the_loop_after_each_time_slice(path):
    path.write_bytes(source_bytes(*(entry(f"s-{number}", number) for number in range(5000))))
    loop = Loop(now=AdvancingClock())
    source = Source(loop, str(path), "fleet", ChangeRecorder().take, list)
    assert passes_until(loop, lambda: source.catalogue) > 3
    assert source.catalogue.endpoints == 5000


def test_lines_appended_during_a_reload_are_reported_before_it_ends(path):
    entries = [entry(f"s-{number}", number) for number in range(40_000)]
    path.write_bytes(source_bytes(*entries))
    loop, heard = Loop(now=AdvancingClock()), ChangeRecorder()
    source = Source(loop, str(path), "fleet", heard.take, lambda: list(range(10)))
    passes_until(loop, lambda: source.catalogue)
    replacement, half = path.with_suffix(".new"), entry("s-3", 3, "leaving")
    replacement.write_bytes(source_bytes(entry("s-1", 1, "leaving"), *entries[2:]) + half[:9])
    opened = source.file
    os.replace(replacement, path)
    stepping = source.poll()
    next(stepping)  # the load has started and is suspended after its first slice
    with open(path, "ab") as file:
        file.write(half[9:] + b"\n" + entry("s-2", 2, "leaving") + b"\n")
    while not heard.changed:
        next(stepping)
    assert source.file is opened and source.loads == 1
    assert heard.all() == {2, 3} and source.catalogue.entries(1) == (entry("s-1", 1),)
    for _ in stepping:
        pass
    assert source.loads == 2 and heard.all() == {0, 1}
    assert source.catalogue.entries(2) == (entry("s-2", 2, "leaving"),)


def test_a_file_with_many_changes_is_reloaded_without_reporting_changes(path, monkeypatch):
    monkeypatch.setattr(source_module, "RELOAD_MIN_CHANGED", 2)
    path.write_bytes(source_bytes(*(entry(f"s-{number}", number) for number in range(10))))
    following = FollowedSource(path, subscribed=range(10))
    for number in range(3):
        following.append(entry(f"s-{number}", number, "leaving") + b"\n")
    assert (following.heard.all(), following.source.loads) == ({0, 1, 2}, 1)
    following.poll()
    following.poll()
    assert (following.heard.all(), following.source.loads) == (set(), 2)
    assert following.source.catalogue.changed == 0
    assert following.entries(2) == (entry("s-2", 2, "leaving"),)
    following.append(entry("s-5", 5, "left") + b"\n")
    assert following.heard.all() == {5}


def test_a_check_reports_counts_and_faults(path):
    path.write_bytes(source_bytes(entry("a", 1), b"{", entry("b", 1)) + b'{"id"')
    found = check_source(str(path), "fleet")
    assert (found.stats.destinations, found.stats.endpoints, found.lines) == (1, 2, 4)
    assert [fault.number for fault in found.faults] == [3] and found.partial_last_line


# A node on loopback, in the event loop of the test.


@dataclass
class HttpAnswer:
    """A received HTTP answer."""

    status: int
    headers: dict
    body: bytes


class Courier:
    """A scripted client on a raw socket."""

    def __init__(self, node, name="c-1"):
        self.node, self.name = node, name
        sock = socket.create_connection(("127.0.0.1", node.port))
        self.peer, self.lease, self.sequence, self.version = Peer(node.loop, sock), None, 0, None

    def body(self, subscribe=(), unsubscribe=(), fleet="fleet"):
        return encode_request(
            SubscribeRequest(
                fleet, self.name, self.lease, self.sequence, tuple(subscribe), tuple(unsubscribe)
            )
        )

    def send(self, body, query=""):
        head = f"POST /api/targets{query} HTTP/1.1\r\nHost: n\r\nContent-Length: {len(body)}\r\n\r\n"
        self.peer.say(head.encode() + body)

    def answer(self):
        """The next answer on the connection."""
        spin(self.node.loop, lambda: self.whole() is not None)
        answer, self.peer.heard = self.whole()
        return answer

    def whole(self):
        head, found, rest = self.peer.hear().partition(b"\r\n\r\n")
        if not found:
            return None
        first, *fields = head.decode().split("\r\n")
        headers = {
            name.lower(): value.strip() for name, _, value in (field.partition(":") for field in fields)
        }
        length = int(headers["content-length"])
        if len(rest) < length:
            return None
        return HttpAnswer(int(first.split()[1]), headers, rest[:length]), rest[length:]

    def subscribe(self, *destinations):
        """Opens a new lease and returns the answer."""
        self.lease, self.sequence = None, 0
        self.send(self.body(destinations))
        return self.told()

    def told(self):
        answer = self.answer()
        assert answer.status == 200, answer
        told = decode_answer(answer.body)
        self.lease, self.sequence, self.version = told.grant.lease, told.grant.sequence, told.version
        return told

    def poll(self, wait=10_000, **change):
        self.sequence += bool(change)
        self.send(self.body(**change), f"?index={self.version}&wait={wait}")

    def refusal(self):
        answer = self.answer()
        refusal = decode_refusal(answer.body)
        assert refusal.status == answer.status
        return refusal


class LoopNode:
    """A node in the event loop of the test, whose clock the test advances."""

    def __init__(self, path, leases=None, server=None, loop=None, port=0, run="run"):
        self.path, self.loop = path, loop or Loop(now=Clock())
        self.table = LeaseTable("fleet", "n1", run, leases or LeaseBounds())
        listener = REAL_SYSTEM.listen("127.0.0.1", port)
        self.port = listener.getsockname()[1]
        self.server = NodeServer(self.loop, listener, self.table, server or ServerBounds())
        self.source = Source(self.loop, str(path), "fleet", self.server.change, self.table.subscribed)
        self.server.source = self.source

    def ready(self):
        spin(self.loop, self.server.is_ready)
        return self

    def advance(self, milliseconds):
        self.loop.now.now += milliseconds
        for _ in range(3):
            self.loop.once(self.loop.now())

    def append(self, *entries):
        with open(self.path, "ab") as file:
            file.write(b"".join(line + b"\n" for line in entries))
        polls = self.source.polls
        self.loop.now.now += POLL_INTERVAL_MS
        spin(self.loop, lambda: self.source.polls > polls)

    def wait_parked(self, count):
        spin(self.loop, lambda: len(self.server.parked) == count)


@pytest.fixture
def node(path):
    path.write_bytes(source_bytes(entry("a", 1), entry("b", 1), entry("c", 2), entry("d", 3)))
    return LoopNode(path).ready()


def endpoint_ids(told):
    return sorted(server["id"] for server in told.servers)


def test_a_new_lease_gets_its_whole_set_with_the_unknown_destinations(node):
    told = Courier(node).subscribe(1, 2, 77)
    assert told.full and endpoint_ids(told) == ["a", "b", "c"]
    assert (told.grant.complete, told.grant.unknown) == ((1, 2), (77,))
    assert (told.grant.fleet, told.grant.node, told.grant.lease_ms) == ("fleet", "n1", 30000.0)


def test_a_change_answers_only_the_parked_request_that_subscribes_to_it(node):
    mine, other = Courier(node, "c-1"), Courier(node, "c-2")
    mine.subscribe(1, 2)
    other.subscribe(3)
    mine.poll()
    other.poll()
    node.wait_parked(2)
    node.append(entry("a", 1, "leaving"))
    told = mine.told()
    assert not told.full and told.grant.complete == (1,) and endpoint_ids(told) == ["a", "b"]
    assert {server["id"]: server["state"] for server in told.servers}["a"] == "leaving"
    assert len(node.server.parked) == 1 and other.whole() is None


def test_a_destination_without_endpoints_is_unknown_and_may_return(node):
    courier = Courier(node)
    courier.subscribe(1, 2, 77)
    courier.poll()
    node.wait_parked(1)
    node.append(entry("a", 1, "left"))
    told = courier.told()
    assert told.grant.complete == (1,) and endpoint_ids(told) == ["b"]
    courier.poll()
    node.wait_parked(1)
    node.append(entry("b", 1, "left"))
    told = courier.told()
    assert (told.grant.complete, told.grant.unknown, told.servers) == ((), (1,), ())
    courier.poll()
    node.wait_parked(1)
    node.append(entry("e", 77))
    assert courier.told().grant.complete == (77,)


def test_an_additional_subscription_is_answered_at_once(node):
    courier = Courier(node)
    courier.subscribe(1)
    courier.poll(subscribe=[3, 99], unsubscribe=[1])
    told = courier.told()
    assert not told.full and (told.grant.complete, told.grant.unknown, told.grant.sequence) == (
        (3,),
        (99,),
        1,
    )


def test_a_request_waits_for_its_time_and_gets_an_empty_answer(node):
    courier = Courier(node)
    first = courier.subscribe(1)
    courier.poll(wait=2000)
    node.wait_parked(1)
    node.advance(1999.0)
    assert courier.whole() is None
    node.advance(1.0)
    told = courier.told()
    assert (told.full, told.version, told.servers, told.grant.complete) == (False, first.version, (), ())


def test_without_a_wait_the_answer_is_immediate(node):
    courier = Courier(node)
    courier.subscribe(1)
    courier.poll(wait=0)
    assert courier.told().servers == ()


def test_an_unknown_version_is_answered_with_the_whole_set(node):
    courier = Courier(node)
    courier.subscribe(1)
    courier.version = 4711
    courier.poll()
    told = courier.told()
    assert told.full and endpoint_ids(told) == ["a", "b"]


def request_during_change(path, monkeypatch, change, destinations=6):
    """A courier whose long answer is being built while `change` is applied to the node."""
    monkeypatch.setattr(server_module, "ANSWER_DESTINATIONS_PER_STEP", 2)
    path.write_bytes(source_bytes(*(entry(f"s-{number}", number) for number in range(destinations))))
    node = LoopNode(path).ready()
    courier = Courier(node)
    courier.send(courier.body(range(destinations)))
    spin(node.loop, lambda: len(node.table) == 1)
    assert node.server.answers == 0  # the answer is still being built
    change(node)
    return courier


def apply_changes(node, *entries):
    for data in entries:
        node.server.change(node.source.catalogue.apply(decode_entry(data), data))


def test_a_change_during_a_long_answer_is_included_and_repeated(path, monkeypatch):
    leaving = [entry("s-0", 0, "leaving"), entry("s-5", 5, "leaving")]
    courier = request_during_change(path, monkeypatch, lambda node: apply_changes(node, *leaving))
    told = courier.told()
    assert told.full and told.grant.complete == (0, 1, 2, 3, 4, 5)
    states = {server["id"]: server["state"] for server in told.servers}
    assert (states["s-0"], states["s-1"], states["s-5"]) == ("leaving", "active", "leaving")
    courier.poll()
    more = courier.told()
    assert more.grant.complete == (0, 5)
    assert [server["state"] for server in more.servers] == ["leaving", "leaving"]


def test_a_refusal_during_a_long_answer_hides_no_change(path, monkeypatch):
    def refuse_and_change(node):
        other = Courier(node, "other")
        other.send(b"{")
        assert other.refusal().reason is Reason.UNREADABLE
        assert node.server.answers == 0  # still being built
        apply_changes(node, entry("s-0", 0, "leaving"))

    # two destinations per pass: enough passes for the other courier's exchange
    courier = request_during_change(path, monkeypatch, refuse_and_change, destinations=4000)
    states = {server["id"]: server["state"] for server in courier.told().servers}
    assert states["s-0"] == "leaving" and len(states) == 4000


def test_an_endpoint_that_moves_during_a_long_answer_is_listed_once(path, monkeypatch):
    courier = request_during_change(path, monkeypatch, lambda node: apply_changes(node, entry("s-0", 5)))
    told = courier.told()
    assert endpoint_ids(told) == [f"s-{number}" for number in range(6)]
    assert (told.grant.complete, told.grant.unknown) == ((1, 2, 3, 4, 5), (0,))


def test_a_list_replaced_during_a_long_answer_is_answered_from_the_new_one(path, monkeypatch):
    def replace(node):
        node.source.catalogue = load_catalogue(entry("s-0", 5), entry("s-5", 0))

    courier = request_during_change(path, monkeypatch, replace)
    told = courier.told()
    assert endpoint_ids(told) == ["s-0", "s-5"] and told.grant.unknown == (1, 2, 3, 4)


def test_an_answer_that_its_courier_never_read_is_repeated(node):
    courier = Courier(node)
    courier.subscribe(1)
    courier.poll()
    node.wait_parked(1)
    courier.peer.sock.close()
    node.append(entry("a", 1, "leaving"))
    back = Courier(node)
    back.lease, back.version = courier.lease, courier.version
    back.poll()
    assert back.told().grant.complete == (1,)


def test_a_parked_request_whose_client_leaves_is_dropped(node):
    courier = Courier(node)
    courier.subscribe(1)
    courier.poll()
    node.wait_parked(1)
    courier.peer.sock.close()
    spin(node.loop, lambda: not node.server.connections)
    assert not node.server.parked


def test_a_second_request_of_a_lease_supersedes_the_first(node):
    courier = Courier(node)
    courier.subscribe(1)
    courier.poll()
    node.wait_parked(1)
    second = Courier(node)
    second.lease, second.version = courier.lease, courier.version
    second.poll()
    assert courier.told().servers == ()
    node.wait_parked(1)
    node.append(entry("a", 1, "leaving"))
    assert second.told().grant.complete == (1,)


def test_a_new_lease_of_the_same_courier_ends_the_parked_request(node):
    courier = Courier(node)
    courier.subscribe(1)
    courier.poll()
    node.wait_parked(1)
    Courier(node).subscribe(2)
    assert courier.refusal().reason is Reason.LEASE_OVER


def test_an_expired_lease_is_refused(path, node):
    courier = Courier(node)
    courier.subscribe(1)
    node.advance(30_000.0)
    assert len(node.table) == 0
    courier.poll()
    assert courier.refusal().reason is Reason.LEASE_OVER
    assert courier.subscribe(1).full


def test_a_courier_of_another_fleet_is_refused(node):
    courier = Courier(node)
    courier.send(courier.body(fleet="other"))
    assert courier.refusal().reason is Reason.OTHER_FLEET


def test_a_courier_over_its_rate_limit_gets_a_retry_time(path, node):
    node.table.bounds = LeaseBounds(requests_per_second=0.5, burst=1.0)
    courier = Courier(node)
    courier.subscribe(1)
    for _ in range(120):
        courier.poll(wait=0)
        answer = courier.answer()
        if answer.status != 200:
            break
    assert answer.status == 429 and answer.headers["retry-after"] == "2"
    assert decode_refusal(answer.body).retry_ms == 2000.0


def test_a_set_over_the_limit_is_refused(path):
    path.write_bytes(source_bytes(entry("a", 1)))
    node = LoopNode(path, LeaseBounds(destinations=3)).ready()
    courier = Courier(node)
    courier.send(courier.body((1, 2, 3, 4)))
    assert courier.refusal().reason is Reason.TOO_LARGE
    assert courier.subscribe(1, 2, 3).full


@pytest.mark.parametrize(
    "query, body, place",
    [
        ("", b"{", "body"),
        ("", b"", "body"),
        ("", b'{"subscription":{"form":2}}', "subscription.form"),
        ("", b'{"subscription":{"form":1,"more":2}}', "subscription.more"),
        ("?index=x", None, "query.index"),
        ("?index=-1", None, "query.index"),
        ("?index=" + "9" * 19, None, "query.index"),
        ("?wait=1.5", None, "query.wait"),
        ("?other=1", None, "query.other"),
    ],
)
def test_an_invalid_request_is_refused_with_its_place_and_the_connection_stays_open(node, query, body, place):
    courier = Courier(node)
    courier.send(courier.body((1,)) if body is None else body, query)
    refusal = courier.refusal()
    assert refusal.reason is Reason.UNREADABLE and refusal.message.startswith(f"{place}: ")
    assert courier.subscribe(1).full


@pytest.mark.parametrize(
    "request_, status",
    [
        (b"BROKEN\r\n\r\n", 400),
        (b"GET /api/targets HTTP/1.1\r\nHost: n\r\n\r\n", 405),
        (b"GET /nothing HTTP/1.1\r\nHost: n\r\n\r\n", 404),
        (b"POST /api/targets HTTP/1.1\r\nHost: n\r\nContent-Length: 99999999\r\n\r\n", 413),
        (b"POST /api/targets HTTP/1.1\r\nHost: n\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        (
            b"POST /api/targets HTTP/1.1\r\nHost: n\r\nContent-Length: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n",
            400,
        ),
        (b"POST /api/targets HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: n\r\nX: " + b"x" * 200_000, 431),
    ],
)
def test_an_invalid_http_request_gets_one_typed_refusal(node, request_, status):
    courier = Courier(node)
    courier.peer.say(request_)
    answer = courier.answer()
    assert answer.status == status and decode_refusal(answer.body).message


def test_a_body_without_a_length_is_limited_too(path):
    path.write_bytes(source_bytes(entry("a", 1)))
    node = LoopNode(path, LeaseBounds(destinations=10)).ready()
    courier = Courier(node)
    courier.peer.say(b"POST /api/targets HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n\r\n")
    courier.peer.say(b"2000\r\n" + b" " * 0x2000 + b"\r\n")
    assert courier.refusal().reason is Reason.TOO_LARGE
    courier.peer.wait_end()


def test_the_total_size_of_bodies_being_read_is_limited(node, monkeypatch):
    first, second = Courier(node, "c-1"), Courier(node, "c-2")
    body = first.body((1,))
    monkeypatch.setattr(server_module, "MAX_BUFFERED_BODY_BYTES", 2 * len(body) - 1)
    head = f"POST /api/targets HTTP/1.1\r\nHost: n\r\nContent-Length: {len(body)}\r\n\r\n"
    first.peer.say(head.encode() + body[:-1])
    spin(node.loop, lambda: node.server.reserved_body_bytes == len(body))
    second.send(second.body((1,)))
    assert second.refusal().reason is Reason.TOO_MANY
    first.peer.say(body[-1:])
    assert first.told().full and node.server.reserved_body_bytes == 0
    assert Courier(node, "c-2").subscribe(1).full


def test_pipelined_requests_are_answered_in_order(node):
    courier = Courier(node)
    courier.send(courier.body((1,)))
    courier.send(b"{")
    courier.peer.say(b"GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n")
    assert courier.answer().status == 200
    assert courier.refusal().reason is Reason.UNREADABLE
    assert courier.answer().status == 200


def test_a_request_pipelined_after_a_parked_one_is_answered_after_it(node):
    courier = Courier(node)
    courier.subscribe(1)
    courier.poll(wait=1000)
    node.wait_parked(1)
    courier.peer.say(b"GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n")
    node.advance(10.0)
    assert courier.whole() is None
    node.append(entry("a", 1, "leaving"))
    assert courier.told().grant.complete == (1,)
    assert courier.answer().status == 200


def test_a_request_pipelined_after_a_parked_one_causes_no_busy_loop(node, monkeypatch):
    courier = Courier(node)
    courier.subscribe(1)
    courier.poll(wait=1000)
    node.wait_parked(1)
    looks, left = [], server_module.Connection.peer_closed
    monkeypatch.setattr(
        server_module.Connection, "peer_closed", lambda line: looks.append(line) or left(line)
    )
    courier.peer.say(b"GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n")
    spin(node.loop, lambda: looks)
    for _ in range(50):
        node.loop.once(node.loop.now())
    assert len(looks) == 1


def test_silent_connections_are_closed(path):
    path.write_bytes(source_bytes(entry("a", 1)))
    node = LoopNode(path, server=ServerBounds(idle_ms=5000.0)).ready()
    silent, half_head, half_body = Courier(node), Courier(node), Courier(node)
    half_head.peer.say(b"POST /api/tar")
    half_body.peer.say(b"POST /api/targets HTTP/1.1\r\nHost: n\r\nContent-Length: 5\r\n\r\n{")
    spin(node.loop, lambda: len(node.server.connections) == 3)
    node.advance(1.0)
    node.advance(2500.0)
    for courier in (half_head, half_body):
        assert courier.answer().status == 408
        courier.peer.sock.close()
    node.advance(5000.0)
    silent.peer.wait_end()
    spin(node.loop, lambda: not node.server.connections)


def test_at_the_connection_limit_idle_connections_are_closed_and_parked_ones_stay(path):
    path.write_bytes(source_bytes(entry("a", 1)))
    node = LoopNode(path, server=ServerBounds(connections=2)).ready()
    waiting, idle = Courier(node, "c-1"), Courier(node, "c-2")
    waiting.subscribe(1)
    waiting.poll()
    node.wait_parked(1)
    idle.subscribe(1)
    spin(node.loop, lambda: any(connection.idle for connection in node.server.connections))
    third = Courier(node, "c-3")
    third.subscribe(1)
    idle.peer.wait_end()
    third.poll()
    node.wait_parked(2)
    fourth = Courier(node, "c-4")
    assert fourth.refusal().reason is Reason.TOO_MANY
    node.append(entry("a", 1, "leaving"))
    assert waiting.told().grant.complete == third.told().grant.complete == (1,)


def test_the_number_of_parked_requests_is_limited(path):
    path.write_bytes(source_bytes(entry("a", 1)))
    node = LoopNode(path, server=ServerBounds(parked=1)).ready()
    first, second = Courier(node, "c-1"), Courier(node, "c-2")
    for courier in (first, second):
        courier.subscribe(1)
        courier.poll()
    refusal = second.refusal()
    assert refusal.reason is Reason.TOO_MANY and refusal.retry_ms > 0.0
    node.append(entry("a", 1, "leaving"))
    assert first.told().grant.complete == (1,)


def test_the_node_is_not_ready_until_its_list_is_read(path):
    path.write_bytes(HEADER[:5])
    node = LoopNode(path)
    courier = Courier(node)
    courier.send(courier.body((1,)))
    assert courier.refusal().reason is Reason.NOT_READY
    courier.peer.say(b"GET /-/ready HTTP/1.1\r\nHost: n\r\n\r\n")
    assert courier.answer().status == 503
    courier.peer.say(b"GET /-/status HTTP/1.1\r\nHost: n\r\n\r\n")
    assert json.loads(courier.answer().body)["ready"] is False
    node.append(HEADER[5:-1], entry("a", 1))
    assert courier.subscribe(1).full


def test_the_status_reports_counts(node):
    courier = Courier(node)
    courier.subscribe(1, 2)
    courier.send(b"{")
    courier.answer()
    courier.poll()
    node.wait_parked(1)
    node.append(entry("a", 1, "leaving"))
    courier.told()
    courier.peer.say(b"GET /-/status HTTP/1.1\r\nHost: n\r\n\r\n")
    told = json.loads(courier.answer().body)
    assert (told["leases"], told["subscriptions"], told["destinations"], told["endpoints"]) == (1, 2, 3, 4)
    assert (told["version"], told["changes_told"], told["refused"]) == (2, 1, {"unreadable": 1})
    assert told["source"]["offset"] == node.path.stat().st_size and told["source"]["read_at"] > 0.0
    assert told["cpu_seconds"] > 0.0 and told["resident_bytes"] > 1_000_000


def test_a_replaced_file_is_reported_to_subscribers_of_what_differs(node):
    courier = Courier(node)
    courier.subscribe(1, 2)
    courier.poll()
    node.wait_parked(1)
    replacement = node.path.with_suffix(".new")
    replacement.write_bytes(source_bytes(entry("a", 1), entry("b", 1), entry("x", 2)))
    os.replace(replacement, node.path)
    node.append()
    told = courier.told()
    assert told.grant.complete == (2,) and endpoint_ids(told) == ["x"]


def test_a_stopping_node_answers_parked_requests(node):
    waiting, idle = Courier(node, "c-1"), Courier(node, "c-2")
    waiting.subscribe(1)
    waiting.poll()
    idle.subscribe(1)
    node.wait_parked(1)
    node.loop.spawn(node.server.stop())
    assert waiting.refusal().reason is Reason.NOT_READY
    idle.peer.wait_end()
    waiting.peer.sock.close()
    node.advance(10.0)
    spin(node.loop, lambda: not node.server.connections)
    node.advance(10.0)
    assert not node.loop.running


@pytest.mark.parametrize("known", [1_000, 10_000, 100_000])
def test_the_work_of_a_change_depends_on_its_subscribers_alone(path, known):
    path.write_bytes(source_bytes(*(entry(f"s-{number}", number) for number in range(known))))
    node = LoopNode(path)
    while not node.server.is_ready():
        node.loop.once(node.loop.now())
    for number in range(50):
        Courier(node, f"c-{number}").subscribe(*range(number * 10, number * 10 + 10))
    leases, rows = node.table.examined_leases, node.source.catalogue.examined_rows
    node.append(*(entry(f"s-{number}", number, "leaving") for number in range(100)))
    assert node.table.examined_leases - leases == 100
    assert node.source.catalogue.examined_rows - rows <= 100 * 4


# An upstream node as the source.


class CopyingNode(LoopNode):
    """A node that copies the list of another one, in the same event loop."""

    def __init__(self, path, address, loop):
        path.touch()
        super().__init__(path, loop=loop)
        self.server.upstream = Upstream(loop, address, str(path), "fleet")

    def copies(self, count, done=lambda: True):
        """Runs the loop until that many copies are complete and `done` holds."""

        def reached():
            self.loop.now.now += 10.0
            return self.server.upstream.copies == count and self.server.is_ready() and done()

        spin(self.loop, reached)


@pytest.fixture
def upstream(path, tmp_path, monkeypatch):
    """A node and one that copies from it in small chunks."""
    monkeypatch.setattr(upstream_module, "LOG_CHUNK_BYTES", 300)
    monkeypatch.setattr(server_module, "LOG_CHUNK_BYTES", 300)
    path.write_bytes(source_bytes(*(entry(f"s-{number}", number) for number in range(20))))
    upstream_node = LoopNode(path).ready()
    return upstream_node, CopyingNode(
        tmp_path / "copy.log", f"127.0.0.1:{upstream_node.port}", upstream_node.loop
    )


def test_a_list_is_copied_from_an_upstream_node_and_followed(upstream):
    upstream_node, copying_node = upstream
    courier = Courier(copying_node)
    courier.send(courier.body((3,)))
    assert courier.refusal().reason is Reason.NOT_READY
    copying_node.copies(1)
    assert courier.subscribe(3, 7).full
    courier.poll()
    copying_node.wait_parked(1)
    with open(upstream_node.path, "ab") as file:
        file.write(entry("s-3", 3, "leaving")[:30])
    upstream_node.append()
    with open(upstream_node.path, "ab") as file:
        file.write(entry("s-3", 3, "leaving")[30:] + b"\n")
    copying_node.copies(1, lambda: courier.whole() is not None)
    assert courier.told().grant.complete == (3,)
    assert copying_node.path.read_bytes() == upstream_node.path.read_bytes()


@pytest.mark.parametrize("delay", [0.0, 8.0, 400.0])
def test_a_chunk_that_an_upstream_node_sends_twice_is_appended_once(loop, tmp_path, delay):
    source, data = Listener(loop), source_bytes(entry("s-3", 3))
    path = tmp_path / "copy.log"
    copying = Upstream(loop, source.address, str(path), "fleet")
    for chunk in (b"", data):  # the first answer names the file, the second holds its data
        peer = source.meet()
        peer.wait(b"offset=0")
        peer.say(answer(200, encode_log_chunk("file-1", chunk)))
        spin(loop, lambda peer=peer: peer.hear() is not None and peer.ended)
        loop.now.now += upstream_module.POLL_INTERVAL_MS + delay
    following = source.meet()
    assert b"offset=%d" % len(data) in following.wait(b"\r\n\r\n")
    with contextlib.suppress(OSError):
        peer.say(answer(200, encode_log_chunk("file-1", data)))
    following.say(answer(200, encode_log_chunk("file-1", b"")))
    spin(loop, lambda: following.hear() is not None and following.ended)
    assert path.read_bytes() == data and copying.copies == 1


def test_a_replaced_upstream_file_is_copied_and_only_differences_are_reported(upstream):
    upstream_node, copying_node = upstream
    copying_node.copies(1)
    courier = Courier(copying_node)
    courier.subscribe(3, 7)
    courier.poll()
    copying_node.wait_parked(1)
    replacement = upstream_node.path.with_suffix(".new")
    replacement.write_bytes(source_bytes(entry("s-3", 3), entry("s-7", 7, "leaving")))
    os.replace(replacement, upstream_node.path)
    copying_node.copies(2, lambda: courier.whole() is not None)
    assert courier.told().grant.complete == (7,)


def test_a_node_keeps_serving_without_its_upstream_and_follows_it_when_it_returns(upstream, lines):
    upstream_node, copying_node = upstream
    copying_node.copies(1)
    upstream_node.loop.close(upstream_node.server.listener)
    for connection in list(upstream_node.server.connections):
        upstream_node.server._close_connection(connection)
    for _ in range(300):
        copying_node.advance(10.0)
    assert len([line for line in lines if "does not answer" in line]) == 1
    courier = Courier(copying_node)
    assert courier.subscribe(3).full
    back = LoopNode(upstream_node.path, loop=upstream_node.loop, port=upstream_node.port, run="next").ready()
    copying_node.copies(2)
    back.append(entry("s-3", 3, "leaving"))
    courier.poll()
    copying_node.copies(2, lambda: courier.whole() is not None)
    assert courier.told().grant.complete == (3,)


def test_a_copy_of_another_fleets_list_does_not_replace_the_source(upstream, lines):
    upstream_node, copying_node = upstream
    copying_node.copies(1)
    good = copying_node.path.read_bytes()
    other = Upstream(upstream_node.loop, f"127.0.0.1:{upstream_node.port}", str(copying_node.path), "other")
    copying_node.server.upstream.stop()
    for _ in range(300):
        copying_node.advance(10.0)
    assert other.copies == 0 and copying_node.path.read_bytes() == good
    assert len([line for line in lines if "this node serves 'other'" in line]) == 1


@pytest.mark.parametrize("query", ["", "?offset=x", "?offset=-1", "?offset=1&more=2", "?more=1"])
def test_a_log_request_needs_an_offset(node, query):
    courier = Courier(node)
    courier.peer.say(f"GET /api/log{query} HTTP/1.1\r\nHost: n\r\n\r\n".encode())
    assert courier.refusal().reason is Reason.UNREADABLE


def test_a_log_request_past_the_end_returns_no_data(node):
    courier = Courier(node)
    courier.peer.say(b"GET /api/log?offset=999999999 HTTP/1.1\r\nHost: n\r\n\r\n")
    assert courier.answer().body == b"n1-run-0\n"


def test_the_measured_work_of_a_change_does_not_depend_on_the_list_size():
    costs = [measure(known, couriers=20, each=10, changes=100, seed=1) for known in (1_000, 10_000)]
    assert [cost.change_leases_looked_at for cost in costs] == [1.0, 1.0]
    assert max(cost.change_rows_looked_at for cost in costs) < 4.0
    assert [cost.subscriptions for cost in costs] == [200, 200]


# The command in separate processes.


def start_node(path, address, *more):
    arguments = [
        "discovery-node",
        "--source",
        str(path),
        "--fleet",
        "fleet",
        "--listen",
        address,
        "--node",
        "n1",
        *more,
    ]
    process = subprocess.Popen([sys.executable, "-m", "calicopin", *arguments], stderr=subprocess.PIPE)
    until = time.monotonic() + 60.0
    while request_status(address, "GET", "/-/ready") != 200:
        assert process.poll() is None and time.monotonic() < until, process.stderr.read()
        time.sleep(0.05)
    return process


def request_status(address, method, path, body=None):
    """The HTTP status, or None without an answer."""
    answer = request(address, method, path, body)
    return answer and answer[0]


def request(address, method, path, body=None):
    host, _, port = address.rpartition(":")
    line = http.client.HTTPConnection(host, int(port), timeout=30.0)
    try:
        line.request(method, path, body)
        answer = line.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        line.close()


def test_a_restarted_node_refuses_the_leases_of_its_earlier_run(path):
    path.write_bytes(source_bytes(entry("a", 1)))
    address = free_address()
    process = start_node(path, address)
    try:
        body = encode_request(SubscribeRequest("fleet", "c-1", subscribe=(1,)))
        status, told = request(address, "POST", "/api/targets", body)
        lease = decode_answer(told).grant.lease
        assert status == 200
        process.send_signal(signal.SIGKILL)
        process.wait()
        process.stderr.close()
        process = start_node(path, address)
        again = encode_request(SubscribeRequest("fleet", "c-1", lease, 0))
        assert request_status(address, "POST", "/api/targets?index=1&wait=5000", again) == 410
        assert request(address, "POST", "/api/targets", body)[0] == 200
    finally:
        process.kill()
        process.wait()
        process.stderr.close()


def test_sigterm_answers_parked_requests_and_exits_with_0(path):
    path.write_bytes(source_bytes(entry("a", 1)))
    address = free_address()
    process = start_node(path, address)
    try:
        host, _, port = address.rpartition(":")
        line = http.client.HTTPConnection(host, int(port), timeout=30.0)
        line.request("POST", "/api/targets", encode_request(SubscribeRequest("fleet", "c-1", subscribe=(1,))))
        told = decode_answer(line.getresponse().read())
        renewal = encode_request(SubscribeRequest("fleet", "c-1", told.grant.lease, 0))
        line.request("POST", f"/api/targets?index={told.version}&wait=15000", renewal)
        until = time.monotonic() + 30.0
        while json.loads(request(address, "GET", "/-/status")[1])["parked"] < 1:
            assert time.monotonic() < until
        process.send_signal(signal.SIGTERM)
        answer = line.getresponse()
        assert answer.status == 503 and decode_refusal(answer.read()).reason is Reason.NOT_READY
        line.close()
        assert process.wait(30.0) == 0
    finally:
        process.kill()
        process.wait()
        process.stderr.close()


def test_a_copying_node_serves_its_copy_after_a_start_without_its_upstream(path, tmp_path):
    path.write_bytes(source_bytes(entry("a", 1)))
    upstream_address, copy_address, copy = free_address(), free_address(), tmp_path / "copy.log"
    subscribe = encode_request(SubscribeRequest("fleet", "c-1", subscribe=(1,)))
    processes = []
    try:
        processes.append(start_node(path, upstream_address))
        processes.append(start_node(copy, copy_address, "--upstream", upstream_address))
        for process in processes:
            process.send_signal(signal.SIGKILL)
            process.wait()
        processes.append(start_node(copy, copy_address, "--upstream", upstream_address))
        status, told = request(copy_address, "POST", "/api/targets", subscribe)
        assert status == 200 and decode_answer(told).grant.complete == (1,)
        assert copy.read_bytes() == path.read_bytes()
    finally:
        for process in processes:
            process.kill()
            process.wait()
            process.stderr.close()


@pytest.mark.parametrize(
    "arguments, why",
    [
        (["--fleet", "other"], "of the fleet 'fleet'"),
        (["--source", "/nowhere/list.log"], "/nowhere/list.log: No such file"),
        (["--listen", "nowhere"], "is not an address"),
        (["--leases", "10"], "1024"),
        (["--lease", "30"], "is not a duration"),
        (["--node", "x" * 200], "is not a word of 1 to 128"),
        (["--connections", "99999999"], "descriptors"),
    ],
)
def test_invalid_options_are_refused_with_one_line_and_exit_code_2(path, arguments, why):
    path.write_bytes(source_bytes(entry("a", 1)))
    told = {"--source": str(path), "--fleet": "fleet", "--listen": "127.0.0.1:1", "--node": "n1"}
    told |= dict(zip(arguments[::2], arguments[1::2], strict=True))
    result = CliRunner().invoke(main, ["discovery-node", *(word for pair in told.items() for word in pair)])
    assert result.exit_code == 2 and why in result.stderr and "Traceback" not in result.stderr


@pytest.mark.parametrize("absent", ["--listen", "--node", "--source", "--fleet"])
def test_a_node_requires_source_fleet_address_and_name(path, absent):
    told = {"--source": str(path), "--fleet": "fleet", "--listen": "127.0.0.1:1", "--node": "n1"}
    arguments = [word for pair in told.items() for word in pair if pair[0] != absent]
    result = CliRunner().invoke(main, ["discovery-node", *arguments])
    assert result.exit_code == 2 and absent in result.stderr


def test_the_check_prints_counts_and_faults_and_serves_nothing(path):
    path.write_bytes(source_bytes(entry("a", 1), entry("b", 2)))
    arguments = ["discovery-node", "--source", str(path), "--fleet", "fleet", "--check"]
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 0 and "3 lines, 2 destinations, 2 endpoints, 0 lines" in result.stdout
    path.write_bytes(source_bytes(entry("a", 1), b"{"))
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == 1 and f"{path}:3: " in result.stdout
    path.write_bytes(b'{"form":1,"fleet":"other"}\n')
    assert CliRunner().invoke(main, arguments).exit_code == 2


def test_the_courier_process_imports_no_module_of_the_node():
    code = (
        "import sys, calicopin.lifecycle.start;"
        " print([n for n in sys.modules if 'discovery_node' in n or n in ('click', 'msgspec')])"
    )
    out = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    assert out.strip() == "[]"


def test_a_line_is_decoded_into_an_entry_or_a_fault():
    assert read_line(4, entry("a", 1)) == Line(4, entry("a", 1), decode_entry(entry("a", 1)))
    assert "cell" in read_line(4, entry("a", "x")).fault
