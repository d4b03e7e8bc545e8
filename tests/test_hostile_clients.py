"""Clients that send what costs most: malformed lines, tiny chunks, requests that stop half way, new names."""

import gc
import resource
import socket
import time
import weakref

import h11
import pytest
from courier_helper import CourierFixture
from helper import Clock, client, spin
from platform_helper import Platform
from wire_helper import clients, request

from calicopin.memory_budget import SLOWED_REQUEST_MS, MemoryBudget
from calicopin.state.journal import ENDED_ID_MEMORY_BYTES
from calicopin.wire.clients import ClientConnection
from calicopin.wire.http import Connection
from calicopin.wire.loop import Loop

CLIENT_PATIENCE_S = 0.4  # a client waits this long for its answer
MEMORY_LIMIT_MB = 32  # for the process that `run` starts
DESCRIPTORS = 1024
CROWD = 800  # connections of hostile clients, fewer than the process has descriptors for
HEAD = (
    b"POST /notice HTTP/1.1\r\nHost: x\r\nX-Request-ID: %d\r\nX-Timeout: 5\r\nX-Envelope: dest=7\r\n"
    b"Idempotency-Key: k%d\r\n"
)
LENGTH = b"Content-Length: 60000\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
SPACES = b" " * 30000
MALFORMED = {
    "header": b"a:" + SPACES + b"\x00\r\n\r\n",
    "folded-header": b"a: b\r\n" + b" \r\n" * 10 + SPACES + b"\x0b\r\n\r\n",
    "chunk-header": CHUNKED + b"1;" + SPACES + b"\nb\r\n",
    "trailer": CHUNKED + b"0\r\na:" + SPACES + b"\x00\r\n\r\n",
}


@pytest.mark.parametrize("rest", MALFORMED.values(), ids=MALFORMED)
def test_a_malformed_line_full_of_spaces_does_not_hold_up_other_clients(loop, rest):
    server, address = clients(loop)
    hostile, honest = client(loop, address), client(loop, address)
    hostile.sock.setblocking(True)
    hostile.say(HEAD % (1, 1) + rest)
    honest.say(request(X_Request_ID="honest"))
    before = time.process_time()
    spin(loop, lambda: server.acceptor.events)
    server.acceptor.keep()
    assert honest.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 202")
    assert hostile.wait(b"\r\n\r\n").split()[1] in (b"400", b"431")
    assert time.process_time() - before < CLIENT_PATIENCE_S
    assert [text.ident for text in server.acceptor.texts] == ["honest"]


def test_a_body_of_tiny_chunks_does_not_hold_up_other_clients(loop):
    server, address = clients(loop)
    hostile, honest = client(loop, address), client(loop, address)
    hostile.sock.setblocking(True)
    hostile.say(HEAD % (1, 1) + CHUNKED + b"1\r\na\r\n" * 8000 + b"0\r\n\r\n")
    honest.say(request(X_Request_ID="honest"))
    spin(loop, lambda: server.acceptor.events)
    assert [text.ident for text in server.acceptor.texts] == ["honest"]
    server.acceptor.keep()
    spin(loop, lambda: server.acceptor.events)
    assert server.acceptor.texts[1].body == b"a" * 8000


def test_chunk_headers_of_a_body_do_not_fill_the_memory(loop):
    server, address = clients(loop)
    hostile = client(loop, address)
    hostile.say(HEAD % (1, 1) + CHUNKED)
    (held,) = waiting_connections(loop, server, 1)
    for _ in range(400):
        try:
            hostile.say((b"1;" + b"e" * 100 + b"\r\na\r\n") * 20)
        except OSError:
            break
        loop.once(loop.now())
        loop.once(loop.now())
        assert len(held.received) <= 300_000
    assert hostile.wait_end().split()[1] == b"413"


def waiting_connections(loop, server, count):
    """The server's connections once there are so many."""
    spin(loop, lambda: len(server.connections) == count)
    for _ in range(3):
        loop.once(loop.now())
    return [served.connection for served in server.connections]


def test_a_head_of_very_many_fields_is_refused(loop):
    _, address = clients(loop)
    hostile = client(loop, address)
    hostile.say(HEAD % (1, 1) + b"a:\r\n" * 3000 + b"\r\n")
    assert hostile.wait(b"\r\n\r\n").split()[1] == b"431"


def test_the_reason_for_a_refusal_does_not_repeat_a_long_line(loop):
    _, address = clients(loop)
    hostile = client(loop, address)
    hostile.say(b"POST / HTTP/1.1\r\nHost: x\r\n" + b"n" * 12000 + b"\r\n\r\n")
    assert len(hostile.wait_end()) < 1000


@pytest.mark.parametrize(
    "data",
    [
        HEAD % (1, 1) + LENGTH + b"z" * 59000,
        HEAD % (1, 1) + b"a:\r\n" * 3900,
        HEAD % (1, 1) + b"a:\r\n" * 15000 + LENGTH,
        HEAD % (1, 1) + b"a:\r\n" * 110 + LENGTH + b"z" * 100,
        HEAD % (1, 1) + CHUNKED + (b"1;" + b"e" * 15000 + b"\r\na\r\n") * 8,
        HEAD % (1, 1) + CHUNKED + b"1\r\na\r\n" * 10000,
    ],
    ids=[
        "half-a-body",
        "half-a-head",
        "many-fields",
        "fields-and-half-a-body",
        "chunk-extensions",
        "tiny-chunks",
    ],
)
def test_hundreds_of_clients_that_stop_half_way_do_not_fill_the_memory(tmp_path, data):
    raise_descriptor_limit()
    platform = Platform(tmp_path)
    try:
        platform.listener.listen(DESCRIPTORS)
        platform.configuration["limits"] = dict(sockets=DESCRIPTORS, disk_mb=3, memory_mb=MEMORY_LIMIT_MB)
        process = platform.start()
        platform.up(process)
        hostile = [half_a_request(platform, data) for _ in range(CROWD)]
        platform.until(lambda: platform.post("honest") in (202, 409))
        platform.until(lambda: "honest" in platform.delivered)
        for sock in hostile:
            sock.close()
        assert peak_memory_mb(process) <= MEMORY_LIMIT_MB
    finally:
        platform.end()


def raise_descriptor_limit():
    """This process needs as many descriptors as the courier."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(4 * DESCRIPTORS, hard)), hard))


def half_a_request(platform, data):
    """A connection on which as much was sent as the system takes at once."""
    sock = socket.create_connection(platform.listener.getsockname())
    sock.setblocking(False)
    try:
        sock.send(data)
    except OSError:  # refused already
        pass
    return sock


def peak_memory_mb(process):
    """The most memory that the process ever held at once, in MB."""
    with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
        return next(int(line.split()[1]) / 1024.0 for line in status if line.startswith("VmHWM"))


def test_the_longest_incomplete_requests_give_way_when_buffers_are_full(loop):
    server, address = clients(loop, most=200)
    hostile = []
    for number in range(80):
        loop.now.now += 1.0
        hostile.append(client(loop, address))
        hostile[-1].say(HEAD % (number, number) + LENGTH + b"z" * 59000)
        spin(loop, lambda number=number: len(server.connections) >= 1)
        loop.once(loop.now())
        loop.once(loop.now())
    honest = client(loop, address)
    honest.say(request(body=b"y" * 60000))
    spin(loop, lambda: server.acceptor.events)
    server.acceptor.keep()
    assert honest.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 202")
    answers = [peer.hear().split()[1:2] for peer in hostile]
    refused = answers.count([b"503"])
    assert 10 < refused < 80 and answers == [[b"503"]] * refused + [[]] * (80 - refused)
    assert server.acceptor.unanswered_requests == []


def test_a_small_request_that_is_being_sent_does_not_give_way_to_a_burst_of_large_ones(loop):
    server, address = clients(loop, most=200)
    honest = client(loop, address)
    data = request(body=b"hello")
    honest.say(data[:-5])
    waiting_connections(loop, server, 1)
    hostile = [client(loop, address) for _ in range(80)]
    for number, peer in enumerate(hostile):
        peer.say(HEAD % (number, number) + LENGTH + b"z" * 59000)
    spin(loop, lambda: server.buffers.refused > 20)
    honest.say(data[-5:])
    spin(loop, lambda: server.acceptor.events)
    server.acceptor.keep()
    assert honest.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 202")


def test_connections_of_another_process_are_closed_whatever_gives_way(loop):
    server, _ = clients(loop)
    server.buffers.limit, peers = 1500, []
    for number in range(2):
        peer, sock = socket.socketpair()
        connection = Connection(loop, sock, h11.SERVER)
        connection.feed(HEAD % (number, number) + LENGTH + b"z" * 600)
        peer.send(b"z" * 600)
        server.receive(ClientConnection(connection, loop.now()))
        peers.append(peer)
    for _ in range(5):
        loop.once(loop.now())
    for peer in peers:
        peer.close()
    spin(loop, lambda: server.open == 0)
    assert server.buffers.total == 0


@pytest.mark.parametrize("ending", ["closed", "reset"])
def test_requests_of_a_client_that_has_left_with_much_unread_are_not_sent(ending):
    loop = Loop(now=Clock())
    server, address = clients(loop)
    leaver = client(loop, address)
    loop.once(loop.now())  # accepts, and reads nothing yet
    leaver.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
    commands = b"".join(request(body=b"x" * 500, X_Request_ID=f"id{number}") for number in range(200))
    leaver.sock.send(commands)
    if ending == "reset":
        leaver.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    leaver.sock.close()
    for _ in range(600):
        loop.once(loop.now())
        server.acceptor.keep()
    assert server.acceptor.texts == [] and server.open == 0


def test_ever_new_ids_neither_fill_the_memory_nor_keep_others_out(tmp_path):
    courier = CourierFixture(tmp_path)
    courier.runtime.memory_budget = MemoryBudget(history_bytes=40 * ENDED_ID_MEMORY_BYTES)
    journal, peer = courier.runtime.journal, client(courier.loop, courier.listen)
    for number in range(40):
        peer.say(request(X_Request_ID=f"id{number}", X_Timeout="0.001"))
        assert peer.wait(b"\r\n\r\n").split()[1] == b"202"
        courier.pass_time(5.0, step=1.0)
        slowed = courier.runtime.request_delay() > 0.0
        assert slowed is (len(journal.ended_ids.idents) >= 20)
        courier.pass_time(SLOWED_REQUEST_MS if slowed else 0.0)
        for text in list(journal.texts.values()):
            courier.runtime.complete(text)
    assert courier.post("one more") == b"503"
    courier.pass_time(25000.0, step=500.0)
    assert courier.post("later") == b"202" and courier.runtime.request_delay() == 0.0


@pytest.mark.parametrize(
    "data,status",
    [
        (request(), b"202"),
        (b"POST / HTTP/1.1\r\nHost: x\r\n" + b"n" * 100 + b"\r\n\r\n", b"400"),
        (HEAD % (1, 1) + SPACES + b"\x00\r\n\r\n", b"431"),
        (HEAD % (1, 1) + CHUNKED + b"zz\r\n", b"400"),
        (HEAD % (1, 1) + b"Content-Length: 90000\r\n\r\n", b"413"),
    ],
    ids=["accepted", "head", "too-large-head", "body", "too-large-body"],
)
def test_nothing_of_a_closed_connection_waits_for_the_garbage_collector(loop, data, status):
    server, address = clients(loop)
    gc.collect()
    gc.disable()
    try:
        peer = client(loop, address)
        (connection,) = map(weakref.ref, waiting_connections(loop, server, 1))
        peer.say(data)
        spin(loop, lambda: server.acceptor.keep() or b"\r\n\r\n" in peer.hear())
        assert peer.heard.split()[1] == status
        peer.sock.close()
        spin(loop, lambda: server.open == 0)
        assert connection() is None
    finally:
        gc.enable()
