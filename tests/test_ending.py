"""Races between the end of something and an event that arrives in the same moment, produced on loopback."""

import errno
import json
import os
import signal
import socket
import struct

import pytest
from courier_helper import CourierFixture, make_facade, make_text, take_calls, take_endings
from forced_faults import SHORT, ForcedFaults
from helper import Clock, Listener, Peer, Rebooted, answer, client, spin, terms
from wire_helper import Out, call, clients, request

from calicopin.connection_reuse import SETTLE_MS
from calicopin.facade import CallProgress, CallResult, outcome_of
from calicopin.interface import How
from calicopin.lifecycle.shutdown_steps import LAST_ACCEPT_MS, STOP_LIMIT_MS
from calicopin.lifecycle.stop import POLL_INTERVAL_MS
from calicopin.state.connections import ConnectionPool
from calicopin.wire.clients import (
    LINGER_MS,
    NEW_CONNECTION_MIN_IDLE_MS,
    REFUSAL_RESPONSE,
    REQUEST_TIMEOUT_MS,
    Clients,
)
from calicopin.wire.discovery import GRACE_MS, Discovery
from calicopin.wire.loop import Loop
from calicopin.wire.poll_schedule import TOLD, PollSchedule, longest_pause, longest_wait

# Clients.


def test_the_last_answer_reaches_a_client_that_has_sent_another_request(loop):
    """Closing the connection right after the answer, with unread bytes pending, reset it and lost the
    answer.
    """
    server, address = clients(loop)
    peer = client(loop, address)
    peer.say(request())
    spin(loop, lambda: server.acceptor.events)
    server.closing = True
    peer.say(request(X_Request_ID="behind"))
    server.acceptor.keep()
    peer.wait_end()
    assert peer.heard.startswith(b"HTTP/1.1 202") and peer.heard.count(b"HTTP/1.1") == 1
    assert [text.ident for text in server.acceptor.texts] == ["9b1f"], (
        "requests read after the shutdown are ignored"
    )
    assert server.open == 1, "the client has time to read and to close"
    peer.sock.close()
    spin(loop, lambda: server.open == 0)


def test_a_connection_that_its_client_keeps_open_after_the_last_answer_is_closed(loop):
    server, address = clients(loop)
    peer = client(loop, address)
    peer.say(request(Connection="close"))
    spin(loop, lambda: server.acceptor.events)
    server.acceptor.keep()
    peer.wait_end()
    assert server.open == 1 and server.lingering
    loop.now.now += LINGER_MS + 1.0
    spin(loop, lambda: server.open == 0)


def test_a_request_whose_last_byte_arrives_together_with_its_time_out_is_accepted(loop):
    server, address = clients(loop)
    peer = client(loop, address)
    peer.say(request()[:-1])
    spin(loop, lambda: server.open and not server.idle)
    for _ in range(5):
        loop.once(loop.now())
    task = next(task for connection, task in server.connections.items())
    loop.now.now += REQUEST_TIMEOUT_MS + 1.0
    peer.say(request()[-1:])
    loop.resume(task, False)  # as the loop does if the bytes arrive after its poll
    spin(loop, lambda: server.acceptor.events)
    server.acceptor.keep()
    assert peer.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 202")


def test_connections_in_the_accept_queue_are_served_when_listening_ends(loop):
    """Closing the listener reset connections that waited in its accept queue."""
    server, address = clients(loop)
    peers = [client(loop, address) for _ in range(8)]
    for peer in peers:
        peer.say(request())
    server.stop_listening()
    server.stop_listening()
    spin(loop, lambda: len(server.acceptor.events) == 8)
    with pytest.raises(OSError):
        client(loop, address)


def test_queued_connections_are_served_when_accept_failed_as_listening_ended(loop):
    """The listener was closed while connections waited in its accept queue, which reset them."""
    server, address = clients(loop)
    peer = client(loop, address)
    peer.say(request())
    accept_some = server.accept_some

    def refuse():
        raise OSError(errno.ENFILE, "too many open files in system")

    server.accept_some = refuse
    server.stop_listening()
    assert server.listener.fileno() >= 0
    server.accept_some = accept_some
    server.stop_listening()
    spin(loop, lambda: len(server.acceptor.events) == 1)
    assert server.listener.fileno() < 0


@pytest.fixture
def stopping_courier(tmp_path, monkeypatch):
    """A courier after SIGTERM with access to its `Clients`; its listener is still open."""
    created = []
    monkeypatch.setattr(
        "calicopin.lifecycle.start.Clients",
        lambda *arguments: created.append(Clients(*arguments)) or created[0],
    )
    courier = CourierFixture(tmp_path)
    courier.clients, courier.resting = (
        created[0],
        client(courier.loop, courier.listen),
    )  # without an open connection it would stop at once
    courier.resting.say(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    courier.resting.wait(b"\r\n\r\n")
    os.kill(os.getpid(), signal.SIGTERM)
    advance(courier, LAST_ACCEPT_MS - 100.0)
    return courier


def advance(courier, span):
    """Moves the clock by `span` ms and waits until the stop has checked its step again."""
    spin(courier.loop, lambda: courier.clients.leaving)
    courier.loop.now.now += span
    spin(
        courier.loop,
        lambda: any(at == courier.loop.now() + POLL_INTERVAL_MS for at, *_ in courier.loop.timers),
    )


def begin_request(courier, ident):
    """A client whose request has been read except for its last byte."""
    peer, count = client(courier.loop, courier.listen), courier.clients.open
    peer.say(
        (
            f"POST /notice HTTP/1.1\r\nHost: x\r\nX-Request-ID: {ident}\r\nX-Timeout: 20\r\n"
            f"X-Envelope: dest=7\r\nContent-Length: 3\r\n\r\nab"
        ).encode()
    )
    spin(courier.loop, lambda: courier.clients.open == count + 1 and len(courier.clients.idle) == 1)
    return peer


def test_a_message_accepted_in_the_last_pass_is_answered_and_later_ones_are_refused(stopping_courier):
    """The loop ended in the pass in which the message was accepted: the journal held it, but its client got
    no answer.
    """
    last, late = begin_request(stopping_courier, "last"), begin_request(stopping_courier, "late")
    advance(stopping_courier, STOP_LIMIT_MS - LAST_ACCEPT_MS + 99.0)
    stopping_courier.loop.now.now += POLL_INTERVAL_MS
    last.say(b"c")
    stopping_courier.loop.once(stopping_courier.loop.now())
    assert stopping_courier.loop.running and set(stopping_courier.runtime.journal.texts) == {"last"}
    late.say(b"c")
    spin(stopping_courier.loop, lambda: not stopping_courier.loop.running)
    assert last.wait_end().startswith(b"HTTP/1.1 202") and late.wait_end().startswith(b"HTTP/1.1 503")
    assert set(stopping_courier.runtime.journal.texts) == {"last"}


def test_an_incomplete_request_at_the_end_of_the_stop_is_refused_with_an_answer(stopping_courier):
    half, silent = (
        begin_request(stopping_courier, "half"),
        client(stopping_courier.loop, stopping_courier.listen),
    )
    advance(stopping_courier, STOP_LIMIT_MS - LAST_ACCEPT_MS + 99.0)
    stopping_courier.loop.now.now += POLL_INTERVAL_MS
    spin(stopping_courier.loop, lambda: not stopping_courier.loop.running)
    assert (
        half.wait_end().startswith(b"HTTP/1.1 503")
        and silent.wait_end() == b""
        and not stopping_courier.runtime.journal.texts
    )


def test_a_message_that_could_not_be_journalled_is_refused_at_the_end(stopping_courier):
    """The courier stopped without any answer to its client."""
    peer = begin_request(stopping_courier, "a")
    stopping_courier.runtime.journal.flush = lambda: os.write(-1, b"")
    peer.say(b"c")
    spin(stopping_courier.loop, lambda: stopping_courier.runtime.failed_turns)
    advance(stopping_courier, STOP_LIMIT_MS - LAST_ACCEPT_MS + 99.0)
    stopping_courier.loop.now.now += POLL_INTERVAL_MS
    spin(stopping_courier.loop, lambda: not stopping_courier.loop.running)
    assert peer.wait_end().startswith(b"HTTP/1.1 503")


@pytest.mark.parametrize("error", ["EINTR", "ENOBUFS", "ENOMEM", SHORT])
@pytest.mark.parametrize("call", ["client_send", "client_recv"])
def test_a_refusal_at_the_end_is_sent_whole_despite_passing_system_errors(call, error):
    """With a single try to write, the client got no answer, a part of one, or a reset."""
    system = ForcedFaults()
    loop = Loop(now=Clock(), system=system)
    server, address = clients(loop)
    half = client(loop, address)
    half.say(request()[:-1])
    spin(loop, lambda: server.open and not server.idle)
    half.say(request()[-1:] + request(X_Request_ID="behind"))
    system.scheduled[call].extend([error] * 5)
    server.refuse_outstanding_requests()
    for connection in server.connections:
        connection.connection.sock.close()  # as at the end of the process
    assert system.failed[call] == 5
    assert half.wait_end() == REFUSAL_RESPONSE and not half.reset


@pytest.mark.parametrize("error", ["EINTR", "ENOBUFS", SHORT])
def test_a_connection_beyond_the_limit_gets_its_refusal_despite_passing_system_errors(error):
    system = ForcedFaults()
    loop = Loop(now=Clock(), system=system)
    server, address = clients(loop, most=1)
    others = [client(loop, address) for _ in range(2)]
    for other in others:
        other.say(request()[:-1])
    spin(loop, lambda: server.open == 2 and not server.idle)
    system.scheduled["client_send"].extend([error] * 5)
    last = client(loop, address)
    assert last.wait_end() == REFUSAL_RESPONSE and system.failed["client_send"] == 5


# Endpoints.

BODY_BYTES = 20 << 20  # more than the socket buffers of both sides hold


def blocked(loop, listener, texts=1):
    """A call whose endpoint reads nothing, so that it cannot be written completely."""
    outgoing = call(listener.address, texts, timeout=60000.0)
    outgoing.texts[0].body = b"\x01" * BODY_BYTES
    exchange = Out(loop, outgoing)
    peer = listener.meet()
    for _ in range(20):
        loop.once(loop.now())
    assert exchange.answer is None
    return exchange, peer


def reset(peer):
    peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.sock.close()


@pytest.mark.parametrize(
    "status,far",
    [
        (429, CallProgress.ANSWERED),
        (503, CallProgress.ANSWERED),
        (500, CallProgress.UNSENT),
        (200, CallProgress.ANSWERED),
    ],
)
@pytest.mark.parametrize("then", ["holds", "ends"])
def test_an_answer_that_comes_while_the_call_is_still_written_is_read(loop, status, far, then):
    """The courier kept writing until its time-out, or treated a closed connection as never established, and
    ignored the wait.
    """
    exchange, peer = blocked(loop, Listener(loop))
    peer.say(answer(status, X_Retry_In_Ms="700"))
    if then == "ends":
        peer.sock.shutdown(socket.SHUT_WR)
    ended = exchange.end()
    assert (ended.progress, ended.wait) == (far, 700.0) and (
        far == CallProgress.UNSENT or ended.status == status
    )


def test_a_reset_while_the_call_is_written_counts_as_not_sent(loop):
    exchange, peer = blocked(loop, Listener(loop))
    reset(peer)
    assert exchange.end() == CallResult(CallProgress.UNSENT)


@pytest.mark.parametrize(
    "said,far", [(b"HTTP/1.1 200 OK\r\n", CallProgress.ANSWERED), (b"HTTP/1.1 200 O", CallProgress.SENT)]
)
def test_an_answer_that_arrives_together_with_the_time_out_counts_if_its_status_line_is_complete(
    loop, said, far
):
    """If the process was suspended, the answer and the time-out are due together, and the time-out is handled
    first.
    """
    listener = Listener(loop)
    exchange = Out(loop, call(listener.address))
    peer = listener.meet()
    peer.wait(b"\x00\xff")
    task = next(task for task in loop.fds.values() if task is not None and task.wait and task.wait.at < 1e9)
    loop.now.now += 501.0
    peer.say(said)
    loop.resume(task, False)  # as the loop does if the bytes arrive after its poll
    assert exchange.end().progress == far


@pytest.mark.parametrize("texts", [1, 2])
@pytest.mark.parametrize("late", [False, True])
def test_a_delivery_that_is_read_after_the_validity_period_does_not_count(loop, texts, late):
    """The process was suspended while the answer came; the endpoint had dropped the call at its time-out and
    still answered delivered. The messages were lost, because the courier took them for delivered.
    """
    listener = Listener(loop)
    outgoing = call(listener.address, texts, timeout=500.0)
    outgoing.texts[0].until = loop.now() + 500.0
    exchange = Out(loop, outgoing)
    peer = listener.meet()
    said = peer.wait(b"\x00\xff" if texts == 1 else b"]")
    assert b"X-Request-ID" in said or texts > 1
    states = [{"id": text.ident, "state": "delivered"} for text in outgoing.texts]
    peer.say(answer(200, json.dumps(states).encode() if texts > 1 else b""))
    loop.now.now += 500.0 if late else 499.0
    ended = exchange.end()
    if late:
        assert (ended.progress, ended.stale_connection, exchange.told) == (CallProgress.SENT, True, [])
        assert outcome_of(ended, outgoing.texts[0].ident) == (How.CALLED_OFF, False), (
            "not a failure of the endpoint, and it may have run"
        )
    else:
        assert (ended.progress, ended.status) == (CallProgress.ANSWERED, 200)


def test_the_time_out_of_a_call_ends_with_its_first_message_however_long_a_turn_takes(tmp_path):
    """The time-out was counted from the end of the turn, the validity period from its beginning."""
    courier = CourierFixture(tmp_path)
    flush = courier.runtime.journal.flush

    def slow_flush():
        flush()
        courier.loop.now.now += 40.0

    courier.runtime.journal.flush = slow_flush
    peer = courier.request(left=0.5)
    courier.endpoint.meet().wait(b"\r\n\r\n")
    peer.wait(b"202")
    (outstanding,) = courier.runtime.outstanding_calls
    assert outstanding.until <= outstanding.call.texts[0].until


@pytest.mark.parametrize("end", ["closes", "resets", "stops"])
def test_the_wait_in_an_incomplete_answer_applies_and_the_call_may_have_run(loop, end):
    listener = Listener(loop)
    exchange = Out(loop, call(listener.address))
    peer = listener.meet()
    peer.wait(b"\x00\xff")
    peer.say(b"HTTP/1.1 429 X\r\nX-Retry-In-Ms: 900\r\nContent-Length: 50\r\n\r\nhalf")
    for _ in range(10):
        loop.once(loop.now())
    if end == "closes":
        peer.sock.close()
    elif end == "resets":
        reset(peer)
    else:
        loop.now.now += 501.0
    ended = exchange.end()
    assert (ended.progress, ended.wait) == (CallProgress.SENT, 900.0)


def test_a_once_only_message_with_an_incomplete_refusal_is_not_resent_and_the_wait_applies():
    decisions = make_facade()
    decisions.add_text(make_text("once", 2))
    decisions.tick(0.0)
    (sent,) = take_calls(decisions)
    decisions.report(sent, CallResult(CallProgress.SENT, wait=900.0), 50.0)
    decisions.add_text(make_text("other"))
    decisions.tick(50.0)
    assert take_endings(decisions) == [("once", "dead")] and not take_calls(decisions)
    due = 50.0
    while due < 960.0:
        due = decisions.tick(due)
    assert [sent.ident for batch in take_calls(decisions) for sent in batch.texts] == ["other"]


def test_bytes_that_arrive_after_the_check_of_an_idle_connection_make_the_answer_unreadable(
    loop, monkeypatch
):
    """The bytes before the answer may belong to another one: the call may have run, and the connection is not
    used again.
    """
    listener, lines = Listener(loop), ConnectionPool(4, 1000.0)
    first = Out(loop, call(listener.address), lines)
    peer = listener.meet()
    peer.wait(b"\x00\xff")
    peer.say(answer(200))
    assert first.end().status == 200 and lines.count == 1
    loop.now.now += SETTLE_MS
    is_usable = ConnectionPool.is_usable

    def crossed(lines, idle, endpoint, now):
        quiet = is_usable(lines, idle, endpoint, now)
        peer.say(b"HTTP/1.1 2")
        return quiet

    monkeypatch.setattr(ConnectionPool, "is_usable", crossed)
    exchange = Out(loop, call(listener.address), lines)
    peer.wait(b"\x00\xff")
    peer.say(answer(200))
    assert exchange.end().progress == CallProgress.SENT and lines.count == 0


# Discovery.


def test_after_any_failed_request_discovery_is_heard_again_within_the_limit():
    """At the usual settings a refused courier waited up to ten seconds. With settings that allow a long time
    between two requests, a silent long poll alone took longer than the limit.
    """
    for ask_within in (200.0, 3000.0, 10000.0, 60000.0, 1e7):
        wait = longest_wait(ask_within)
        for senders in (1, 20, 200, 1024):
            schedule = PollSchedule(senders, 5.0 * wait, 1, False, longest_pause(wait, GRACE_MS))
            schedule.chance = lambda: 1.0
            for _ in range(20):
                assert 0.0 < schedule.again() + GRACE_MS + wait + GRACE_MS <= TOLD
                schedule.refused()
            assert schedule.first() <= TOLD - wait - 2.0 * GRACE_MS
        assert wait + 2.0 * GRACE_MS + 100.0 + 2.0 * GRACE_MS + 100.0 <= TOLD, (
            "a long poll that gets no answer"
        )


def test_a_discovery_agent_that_answers_each_request_late_is_heard_in_time(loop):
    """Every request after a silent long poll was given up after 0.25 s: an agent with a backlog of requests
    was never heard again.
    """
    listener, heard = Listener(loop), []
    began = loop.now()
    Discovery(loop, listener.address, 41, 2000.0, lambda places, whole: heard.append(loop.now()), 30, 1)
    peers = []
    spin(loop, lambda: accept_peer(listener, loop, peers))
    peers[0].wait(b"\r\n\r\n")
    while not heard:
        loop.now.now += 10.0
        loop.once(loop.now())
        accept_peer(listener, loop, peers)
        for peer in peers[1:]:
            peer.hear()
            peer.connected_at = getattr(peer, "connected_at", loop.now())
            if loop.now() - peer.connected_at >= 1900.0 and not peer.ended and b"\r\n\r\n" in peer.heard:
                peer.say(answer(200, b'{"version":42,"full":false,"servers":[]}'))
        assert loop.now() - began < TOLD, "the list has to be known by then"


def accept_peer(listener, loop, peers):
    try:
        sock = listener.sock.accept()[0]
    except BlockingIOError:
        return False
    peers.append(Peer(loop, sock))
    return True


# Messages restored by a restart.


def test_restored_messages_without_an_attempt_are_sent_before_they_are_given_up(tmp_path):
    """A queue that was about to be sent gave up messages whose revenue would be under half, even those that
    no process had tried yet.
    """
    ends = {}
    for restored in (False, True):
        decisions = make_facade()
        for number in range(3):
            decisions.add_text(make_text(f"old-{number}", 1, until=4000.0), restored=restored)
        decisions.add_text(make_text("new", until=20000.0))
        decisions.tick(0.0)
        calls = [sent.ident for batch in take_calls(decisions) for sent in batch.texts]
        ends[restored] = sorted(ident for ident, verdict in take_endings(decisions) if verdict), sorted(calls)
    assert ends[True] == ([], ["new", "old-0", "old-1", "old-2"]), ends
    assert ends[False] != ends[True]


# Descriptors.


class RefusingListener:
    """A listener whose accept fails for lack of a descriptor."""

    def __init__(self, listener):
        self.listener, self.tries = listener, 0

    def accept(self):
        self.tries += 1
        raise OSError(24, "Too many open files")

    def __getattr__(self, name):
        return getattr(self.listener, name)


def test_a_failed_accept_is_retried_later_and_not_in_a_busy_loop(loop):
    server, address = clients(loop)
    server.listener = refusing = RefusingListener(server.listener)
    peer = client(loop, address)
    for _ in range(50):
        loop.once(loop.now())
    assert refusing.tries == 1
    server.listener = refusing.listener
    loop.now.now += 101.0
    peer.say(request())
    spin(loop, lambda: server.acceptor.events)


def test_idle_clients_leave_descriptors_for_discovery_and_calls(tmp_path, monkeypatch):
    """Discovery is silent at first; its connection and those of calls need descriptors that clients must not
    use up.
    """
    created = []
    monkeypatch.setattr(
        "calicopin.lifecycle.start.Clients",
        lambda *arguments: created.append(Clients(*arguments)) or created[0],
    )
    courier = CourierFixture(tmp_path, list_answered=False)
    watch = courier.platform.meet()
    watch.wait(b"\r\n\r\n")
    idle = [client(courier.loop, courier.listen) for _ in range(250)]
    budget = created[0].budget
    spin(courier.loop, lambda: created[0].open >= budget.clients + budget.other_clients)
    for _ in range(20):
        courier.loop.once(courier.loop.now())
    assert (
        created[0].open == budget.clients + budget.other_clients < 250
        and created[0].open + budget.endpoints + budget.RESERVED <= 256
    )
    courier.loop.now.now += GRACE_MS + 1.0
    watch.wait_end()
    courier.loop.now.now += 100.0
    again = courier.platform.meet()
    again.wait(b"\r\n\r\n")
    again.say(answer(200, json.dumps(courier.known).encode()))
    spin(courier.loop, lambda: courier.runtime.list_received)
    assert created[0].open == budget.clients + budget.other_clients, "all idle clients are still connected"
    courier.loop.now.now += NEW_CONNECTION_MIN_IDLE_MS
    spin(courier.loop, lambda: created[0].open < budget.clients)
    assert courier.post("a") == b"202"
    assert b"\xfe\xfe\xfe" in courier.endpoint.meet().wait(b"\xfe\xfe\xfe")
    assert len(idle) == 250


# Restarts.


@pytest.mark.parametrize("away,again", [(700.0, True), (1200.0, False)])
def test_a_repeat_window_that_ends_during_a_restart_permits_no_resend(tmp_path, monkeypatch, away, again):
    """The window is one second: the message is sent again within it, and not after it."""
    wall = Clock(1e12)
    monkeypatch.setattr(Rebooted, "wall_clock_ms", staticmethod(wall))
    grades = [grade | {"keyTtl": 1.0} for grade in terms()["grades"]]
    courier = CourierFixture(tmp_path, grades=grades)
    assert courier.post("a", product="order") == b"202"
    courier.endpoint.meet().wait(b"\xfe\xfe\xfe")
    courier.kill()
    wall.now += away
    restarted = CourierFixture(tmp_path, clock=Clock(50_000.0), endpoint=courier.endpoint, grades=grades)
    if again:
        assert b"X-Request-ID: a" in restarted.endpoint.meet().wait(b"\xfe\xfe\xfe")
    else:
        assert (
            restarted.notice() == [{"ref": "a", "result": "bounced"}]
            and not restarted.runtime.calls_in_progress
        )
        with pytest.raises(BlockingIOError):
            restarted.endpoint.sock.accept()
