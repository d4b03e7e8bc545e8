"""The instants in which something ends and something is still owed: each crossing is made by the test, on
loopback.
"""

import errno
import json
import os
import signal
import socket
import struct

import pytest
from courier_helper import CourierFixture, endings, facade, picked, text
from forced_faults import SHORT, ForcedFaults
from helper import Clock, Listener, Peer, Rebooted, answer, client, spin, terms
from wire_helper import Out, call, clients, request

from calicopin.facade import Answer, Far, how
from calicopin.interface import How
from calicopin.lifecycle.shutdown_steps import LAST_ACCEPT_MS, STOP_LIMIT_MS
from calicopin.lifecycle.stop import POLL_INTERVAL_MS
from calicopin.state.connections import Lines
from calicopin.wire.asking import TOLD, Asking, longest_pause, longest_wait
from calicopin.wire.clients import LINGER, NEW, PATIENCE, TURNED_AWAY, Clients
from calicopin.wire.discovery import GRACE, Discovery
from calicopin.wire.loop import Loop

# Clients.


def test_a_last_answer_is_not_lost_to_a_request_that_was_already_on_its_way(loop):
    """Closed right behind the answer, over what lay unread, the connection was reset and took the answer
    with it.
    """
    house, address = clients(loop)
    peer = client(loop, address)
    peer.say(request())
    spin(loop, lambda: house.acceptor.events)
    house.closing = True
    peer.say(request(X_Request_ID="behind"))
    house.acceptor.keep()
    peer.wait_end()
    assert peer.heard.startswith(b"HTTP/1.1 202") and peer.heard.count(b"HTTP/1.1") == 1
    assert [text.ident for text in house.acceptor.texts] == ["9b1f"], (
        "what is read after the shutdown goes nowhere"
    )
    assert house.open == 1, "the client has time to read and to close"
    peer.sock.close()
    spin(loop, lambda: house.open == 0)


def test_a_client_that_does_not_close_behind_its_last_answer_is_closed(loop):
    house, address = clients(loop)
    peer = client(loop, address)
    peer.say(request(Connection="close"))
    spin(loop, lambda: house.acceptor.events)
    house.acceptor.keep()
    peer.wait_end()
    assert house.open == 1 and house.lingering
    loop.now.now += LINGER + 1.0
    spin(loop, lambda: house.open == 0)


def test_a_request_whose_last_byte_comes_in_the_instant_of_its_time_out_is_taken_on(loop):
    house, address = clients(loop)
    peer = client(loop, address)
    peer.say(request()[:-1])
    spin(loop, lambda: house.open and not house.idle)
    for _ in range(5):
        loop.once(loop.now())
    task = next(task for visit, task in house.visits.items())
    loop.now.now += PATIENCE + 1.0
    peer.say(request()[-1:])
    loop.resume(task, False)  # as the loop does where nothing had come yet when it looked
    spin(loop, lambda: house.acceptor.events)
    house.acceptor.keep()
    assert peer.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 202")


def test_who_has_connected_when_listening_ends_is_served(loop):
    """Connections in the queue of the listener were reset."""
    house, address = clients(loop)
    peers = [client(loop, address) for _ in range(8)]
    for peer in peers:
        peer.say(request())
    house.stop_listening()
    house.stop_listening()
    spin(loop, lambda: len(house.acceptor.events) == 8)
    with pytest.raises(OSError):
        client(loop, address)


def test_who_has_connected_is_served_where_there_was_no_room_to_accept_when_listening_ended(loop):
    """The listener was closed over connections that waited, which reset them."""
    house, address = clients(loop)
    peer = client(loop, address)
    peer.say(request())
    accept_some = house.accept_some

    def refuse():
        raise OSError(errno.ENFILE, "too many open files in system")

    house.accept_some = refuse
    house.stop_listening()
    assert house.listener.fileno() >= 0
    house.accept_some = accept_some
    house.stop_listening()
    spin(loop, lambda: len(house.acceptor.events) == 1)
    assert house.listener.fileno() < 0


@pytest.fixture
def house(tmp_path, monkeypatch):
    """A courier with its clients at hand, told to end; its listener is still open."""
    made = []
    monkeypatch.setattr(
        "calicopin.lifecycle.start.Clients", lambda *told: made.append(Clients(*told)) or made[0]
    )
    house = CourierFixture(tmp_path)
    house.clients, house.resting = (
        made[0],
        client(house.loop, house.listen),
    )  # with nobody there it would end at once
    house.resting.say(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    house.resting.wait(b"\r\n\r\n")
    os.kill(os.getpid(), signal.SIGTERM)
    passed(house, LAST_ACCEPT_MS - 100.0)
    return house


def passed(house, time):
    """So much later the walk through the steps of the stop has come to its next pause."""
    spin(house.loop, lambda: house.clients.leaving)
    house.loop.now.now += time
    spin(house.loop, lambda: any(at == house.loop.now() + POLL_INTERVAL_MS for at, *_ in house.loop.due))


def begun(house, ident):
    """A request of which all but the last byte was read."""
    peer, count = client(house.loop, house.listen), house.clients.open
    peer.say(
        f"POST /notice HTTP/1.1\r\nHost: x\r\nX-Request-ID: {ident}\r\nX-Timeout: 20\r\n"
        "X-Envelope: dest=7\r\n"
        "Content-Length: 3\r\n\r\nab".encode()
    )
    spin(house.loop, lambda: house.clients.open == count + 1 and len(house.clients.idle) == 1)
    return peer


def test_what_is_taken_on_in_the_last_pass_is_answered_and_what_comes_behind_it_is_refused(house):
    """The loop ended in the pass in which the message was taken on: the journal held it, and its client
    never heard a word.
    """
    last, late = begun(house, "last"), begun(house, "late")
    passed(house, STOP_LIMIT_MS - LAST_ACCEPT_MS + 99.0)
    house.loop.now.now += POLL_INTERVAL_MS
    last.say(b"c")
    house.loop.once(house.loop.now())
    assert house.loop.running and set(house.runtime.journal.texts) == {"last"}
    late.say(b"c")
    spin(house.loop, lambda: not house.loop.running)
    assert last.wait_end().startswith(b"HTTP/1.1 202") and late.wait_end().startswith(b"HTTP/1.1 503")
    assert set(house.runtime.journal.texts) == {"last"}


def test_a_request_that_is_not_whole_at_the_end_is_refused_and_not_left_without_a_word(house):
    half, silent = begun(house, "half"), client(house.loop, house.listen)
    passed(house, STOP_LIMIT_MS - LAST_ACCEPT_MS + 99.0)
    house.loop.now.now += POLL_INTERVAL_MS
    spin(house.loop, lambda: not house.loop.running)
    assert (
        half.wait_end().startswith(b"HTTP/1.1 503")
        and silent.wait_end() == b""
        and not house.runtime.journal.texts
    )


def test_a_message_that_the_disk_never_took_is_refused_at_the_end(house):
    """No 202 had gone out for it; its client was left without an answer."""
    peer = begun(house, "a")
    house.runtime.journal.flush = lambda: os.write(-1, b"")
    peer.say(b"c")
    spin(house.loop, lambda: house.runtime.stuck)
    passed(house, STOP_LIMIT_MS - LAST_ACCEPT_MS + 99.0)
    house.loop.now.now += POLL_INTERVAL_MS
    spin(house.loop, lambda: not house.loop.running)
    assert peer.wait_end().startswith(b"HTTP/1.1 503")


@pytest.mark.parametrize("error", ["EINTR", "ENOBUFS", "ENOMEM", SHORT])
@pytest.mark.parametrize("call", ["client_send", "client_recv"])
def test_at_the_end_a_request_is_refused_whole_where_the_system_has_no_room_for_a_moment(call, error):
    """One try was made: the client was left without an answer, with a part of one, or with a reset."""
    system = ForcedFaults()
    loop = Loop(now=Clock(), system=system)
    house, address = clients(loop)
    half = client(loop, address)
    half.say(request()[:-1])
    spin(loop, lambda: house.open and not house.idle)
    half.say(request()[-1:] + request(X_Request_ID="behind"))
    system.told[call].extend([error] * 5)
    house.end()
    for visit in house.visits:
        visit.line.sock.close()  # as the end of the process does
    assert system.met[call] == 5
    assert half.wait_end() == TURNED_AWAY and not half.reset


@pytest.mark.parametrize("error", ["EINTR", "ENOBUFS", SHORT])
def test_a_connection_with_no_room_for_it_hears_so_where_the_system_has_none_for_a_moment(error):
    system = ForcedFaults()
    loop = Loop(now=Clock(), system=system)
    house, address = clients(loop, most=1)
    others = [client(loop, address) for _ in range(2)]
    for other in others:
        other.say(request()[:-1])
    spin(loop, lambda: house.open == 2 and not house.idle)
    system.told["client_send"].extend([error] * 5)
    last = client(loop, address)
    assert last.wait_end() == TURNED_AWAY and system.met["client_send"] == 5


# Endpoints.

BIG = 20 << 20  # more than the buffers of both sides take


def blocked(loop, door, texts=1):
    """A call whose endpoint reads nothing, so that its last byte cannot be written."""
    what = call(door.address, texts, timeout=60000.0)
    what.texts[0].body = b"\x01" * BIG
    out = Out(loop, what)
    peer = door.meet()
    for _ in range(20):
        loop.once(loop.now())
    assert out.answer is None
    return out, peer


def reset(peer):
    peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.sock.close()


@pytest.mark.parametrize(
    "status,far", [(429, Far.ANSWERED), (503, Far.ANSWERED), (500, Far.UNSENT), (200, Far.ANSWERED)]
)
@pytest.mark.parametrize("then", ["holds", "ends"])
def test_an_answer_that_comes_while_the_call_is_still_written_is_heard(loop, status, far, then):
    """The courier wrote on to its time-out, or took a closed connection for one that never came up, and
    passed over the wait.
    """
    out, peer = blocked(loop, Listener(loop))
    peer.say(answer(status, X_Retry_In_Ms="700"))
    if then == "ends":
        peer.sock.shutdown(socket.SHUT_WR)
    ended = out.end()
    assert (ended.far, ended.wait) == (far, 700.0) and (far == Far.UNSENT or ended.status == status)


def test_an_endpoint_that_resets_while_the_call_is_written_has_not_run_it(loop):
    out, peer = blocked(loop, Listener(loop))
    reset(peer)
    assert out.end() == Answer(Far.UNSENT)


@pytest.mark.parametrize("said,far", [(b"HTTP/1.1 200 OK\r\n", Far.ANSWERED), (b"HTTP/1.1 200 O", Far.SENT)])
def test_an_answer_in_the_instant_of_the_time_out_counts_if_its_first_line_is_whole(loop, said, far):
    """The process stands still; the answer and the time-out lie there together, and the time-out is
    resumed first.
    """
    door = Listener(loop)
    out = Out(loop, call(door.address))
    peer = door.meet()
    peer.wait(b"\x00\xff")
    task = next(task for task in loop.fds.values() if task is not None and task.wait and task.wait.at < 1e9)
    loop.now.now += 501.0
    peer.say(said)
    loop.resume(task, False)  # as the loop does where nothing had come yet when it looked
    assert out.end().far == far


@pytest.mark.parametrize("texts", [1, 2])
@pytest.mark.parametrize("late", [False, True])
def test_a_delivery_that_is_heard_behind_the_time_of_a_message_is_not_believed(loop, texts, late):
    """The process stood still while the answer came; the endpoint had let go of the call and said delivered.
    Its messages were lost: the courier owed them nothing more.
    """
    door = Listener(loop)
    what = call(door.address, texts, timeout=500.0)
    what.texts[0].until = loop.now() + 500.0
    out = Out(loop, what)
    peer = door.meet()
    said = peer.wait(b"\x00\xff" if texts == 1 else b"]")
    assert b"X-Request-ID" in said or texts > 1
    states = [{"id": text.ident, "state": "delivered"} for text in what.texts]
    peer.say(answer(200, json.dumps(states).encode() if texts > 1 else b""))
    loop.now.now += 500.0 if late else 499.0
    ended = out.end()
    if late:
        assert (ended.far, ended.gone, out.told) == (Far.SENT, True, [])
        assert how(ended, what.texts[0].ident) == (How.CALLED_OFF, False), "no failure, and it may have run"
    else:
        assert (ended.far, ended.status) == (Far.ANSWERED, 200)


def test_no_call_is_out_beyond_the_time_of_its_first_message_however_long_a_turn_takes(tmp_path):
    """The time-out was counted from the end of the turn, the message's time from its beginning."""
    house = CourierFixture(tmp_path)
    flush = house.runtime.journal.flush

    def slow_flush():
        flush()
        house.loop.now.now += 40.0

    house.runtime.journal.flush = slow_flush
    peer = house.request(left=0.5)
    house.endpoint.meet().wait(b"\r\n\r\n")
    peer.wait(b"202")
    (flight,) = house.runtime.flights
    assert flight.until <= flight.call.texts[0].until


@pytest.mark.parametrize("end", ["closes", "resets", "stops"])
def test_the_wait_of_an_answer_that_breaks_off_binds_and_the_call_may_have_run(loop, end):
    door = Listener(loop)
    out = Out(loop, call(door.address))
    peer = door.meet()
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
    ended = out.end()
    assert (ended.far, ended.wait) == (Far.SENT, 900.0)


def test_a_once_only_message_whose_refusal_breaks_off_is_not_sent_again_and_its_wait_binds():
    house = facade()
    house.hand_in(text("once", 2))
    house.tick(0.0)
    (one,) = picked(house)
    house.report(one, Answer(Far.SENT, wait=900.0), 50.0)
    house.hand_in(text("other"))
    house.tick(50.0)
    assert endings(house) == [("once", "dead")] and not picked(house)
    due = 50.0
    while due < 960.0:
        due = house.tick(due)
    assert [one.ident for made in picked(house) for one in made.texts] == ["other"]


def test_half_a_line_that_comes_behind_the_look_at_an_idle_connection_makes_the_answer_unreadable(
    loop, monkeypatch
):
    """What stands in front of the answer may be the end of another: the call may have run, and the
    connection serves no more.
    """
    door, lines = Listener(loop), Lines(4, 1000.0)
    first = Out(loop, call(door.address), lines)
    peer = door.meet()
    peer.wait(b"\x00\xff")
    peer.say(answer(200))
    assert first.end().status == 200 and lines.count == 1
    good = Lines.good

    def crossed(lines, line, since, now):
        quiet = good(lines, line, since, now)
        peer.say(b"HTTP/1.1 2")
        return quiet

    monkeypatch.setattr(Lines, "good", crossed)
    out = Out(loop, call(door.address), lines)
    peer.wait(b"\x00\xff")
    peer.say(answer(200))
    assert out.end().far == Far.SENT and lines.count == 0


# The list.


def test_from_any_call_that_failed_the_next_answer_is_heard_within_six_seconds():
    """At the usual settings a refused courier waited up to ten seconds, and a silent watch alone took
    longer where the settings allowed a long time between two calls.
    """
    for ask_within in (200.0, 3000.0, 10000.0, 60000.0, 1e7):
        wait = longest_wait(ask_within)
        for senders in (1, 20, 200, 1024):
            asking = Asking(senders, 5.0 * wait, 1, False, longest_pause(wait, GRACE))
            asking.chance = lambda: 1.0
            for _ in range(20):
                assert 0.0 < asking.again() + GRACE + wait + GRACE <= TOLD
                asking.refused()
            assert asking.first() <= TOLD - wait - 2.0 * GRACE
        assert wait + 2.0 * GRACE + 100.0 + 2.0 * GRACE + 100.0 <= TOLD, "a watch that falls silent"


def test_a_discovery_that_answers_each_call_late_is_heard_in_time(loop):
    """Every call behind a silent watch was given up after 0.25 s: one that works off a line of calls was
    not heard again.
    """
    door, heard = Listener(loop), []
    began = loop.now()
    Discovery(loop, door.address, 41, 2000.0, lambda places, whole: heard.append(loop.now()), 30, 1)
    met = []
    spin(loop, lambda: door_met(door, loop, met))
    met[0].wait(b"\r\n\r\n")
    while not heard:
        loop.now.now += 10.0
        loop.once(loop.now())
        door_met(door, loop, met)
        for peer in met[1:]:
            peer.hear()
            peer.came = getattr(peer, "came", loop.now())
            if loop.now() - peer.came >= 1900.0 and not peer.ended and b"\r\n\r\n" in peer.heard:
                peer.say(answer(200, b'{"version":42,"full":false,"servers":[]}'))
        assert loop.now() - began < TOLD, "it counts as told"


def door_met(door, loop, met):
    try:
        sock = door.sock.accept()[0]
    except BlockingIOError:
        return False
    met.append(Peer(loop, sock))
    return True


# What a restart finds.


def test_what_a_restart_finds_untried_is_called_for_before_it_is_given_up(tmp_path):
    """A line on the point of being served gave up what would earn under half, also what no process had
    tried yet.
    """
    ends = {}
    for restored in (False, True):
        house = facade()
        for number in range(3):
            house.hand_in(text(f"old-{number}", 1, until=4000.0), restored=restored)
        house.hand_in(text("new", until=20000.0))
        house.tick(0.0)
        calls = [one.ident for made in picked(house) for one in made.texts]
        ends[restored] = sorted(ident for ident, verdict in endings(house) if verdict), sorted(calls)
    assert ends[True] == ([], ["new", "old-0", "old-1", "old-2"]), ends
    assert ends[False] != ends[True]


# Descriptors.


class Refusing:
    """A listener for whose connections no descriptor is left."""

    def __init__(self, listener):
        self.listener, self.tries = listener, 0

    def accept(self):
        self.tries += 1
        raise OSError(24, "Too many open files")

    def __getattr__(self, name):
        return getattr(self.listener, name)


def test_an_accept_without_a_descriptor_is_tried_again_later_and_does_not_spin(loop):
    house, address = clients(loop)
    house.listener = refusing = Refusing(house.listener)
    peer = client(loop, address)
    for _ in range(50):
        loop.once(loop.now())
    assert refusing.tries == 1
    house.listener = refusing.listener
    loop.now.now += 101.0
    peer.say(request())
    spin(loop, lambda: house.acceptor.events)


def test_idle_clients_that_fill_the_descriptors_keep_neither_the_list_nor_a_call_out(tmp_path, monkeypatch):
    """While discovery is silent; what comes back needs descriptors of its own, and they are not the
    clients' to fill.
    """
    made = []
    monkeypatch.setattr(
        "calicopin.lifecycle.start.Clients", lambda *told: made.append(Clients(*told)) or made[0]
    )
    house = CourierFixture(tmp_path, asked=False)
    watch = house.platform.meet()
    watch.wait(b"\r\n\r\n")
    idle = [client(house.loop, house.listen) for _ in range(250)]
    budget = made[0].budget
    spin(house.loop, lambda: made[0].open >= budget.clients + budget.porch)
    for _ in range(20):
        house.loop.once(house.loop.now())
    assert (
        made[0].open == budget.clients + budget.porch < 250
        and made[0].open + budget.endpoints + budget.OWN <= 256
    )
    house.loop.now.now += GRACE + 1.0
    watch.wait_end()
    house.loop.now.now += 100.0
    again = house.platform.meet()
    again.wait(b"\r\n\r\n")
    again.say(answer(200, json.dumps(house.known).encode()))
    spin(house.loop, lambda: house.runtime.current)
    assert made[0].open == budget.clients + budget.porch, "they were all still there"
    house.loop.now.now += NEW
    spin(house.loop, lambda: made[0].open < budget.clients)
    assert house.post("a") == b"202"
    assert b"\xfe\xfe\xfe" in house.endpoint.meet().wait(b"\xfe\xfe\xfe")
    assert len(idle) == 250


# Restarts.


@pytest.mark.parametrize("away,again", [(700.0, True), (1200.0, False)])
def test_a_window_for_repeats_that_is_shorter_than_a_restart_is_over_after_it(
    tmp_path, monkeypatch, away, again
):
    """One second, as on the users' days of restarts: within it the message goes again, behind it never."""
    wall = Clock(1e12)
    monkeypatch.setattr(Rebooted, "wall", staticmethod(wall))
    grades = [grade | {"keyTtl": 1.0} for grade in terms()["grades"]]
    house = CourierFixture(tmp_path, grades=grades)
    assert house.post("a", product="order") == b"202"
    house.endpoint.meet().wait(b"\xfe\xfe\xfe")
    house.kill()
    wall.now += away
    back = CourierFixture(tmp_path, clock=Clock(50_000.0), endpoint=house.endpoint, grades=grades)
    if again:
        assert b"X-Request-ID: a" in back.endpoint.meet().wait(b"\xfe\xfe\xfe")
    else:
        assert back.notice() == [{"ref": "a", "result": "bounced"}] and not back.runtime.out
        with pytest.raises(BlockingIOError):
            back.endpoint.sock.accept()
