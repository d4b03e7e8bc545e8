"""Clients and their requests, on loopback, with a clock that the test moves."""

import pytest
from helper import client, spin
from wire_helper import clients, request

from calicopin.wire.clients import KEEP_ALIVE_MIN_IDLE_MS, NEW, PATIENCE, REFUSAL_DELAY_MS


def test_a_text_is_accepted_only_once_it_is_kept(loop):
    server, address = clients(loop)
    peer = client(loop, address)
    peer.say(request("/order/van%207", bytes(range(256)), Idempotency_Key="5c0f"))
    spin(loop, lambda: server.acceptor.events)
    for _ in range(20):
        loop.once(loop.now())
    assert not peer.hear()
    server.acceptor.keep()
    assert peer.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 202")
    text = server.acceptor.texts[0]
    assert (text.ident, text.dest, text.product, text.reference, text.key, text.until, text.body) == (
        "9b1f",
        7,
        1,
        "5c0f",
        "van 7",
        1480.0,
        bytes(range(256)),
    )


def test_a_refused_text_may_come_again(loop):
    server, address = clients(loop)
    server.acceptor.refusal = 503, 1500.0
    peer = client(loop, address)
    peer.say(request())
    received = peer.wait(b"\r\n\r\n")
    assert received.startswith(b"HTTP/1.1 503") and b"Retry-After: 1.500" in received


BAD = [
    (404, dict(path="/parcel")),
    (400, dict(X_Timeout="soon")),
    (400, dict(X_Timeout="nan")),
    (400, dict(X_Timeout="-5")),
    (400, dict(X_Timeout="9" * 20)),
    (400, dict(X_Timeout="1_0")),
    (400, dict(X_Timeout="")),
    (400, dict(X_Envelope="dest=-1")),
    (400, dict(X_Envelope="dest=1e12")),
    (400, dict(X_Envelope="dest=")),
    (413, dict(Content_Length="3000000000")),
    (400, dict(Content_Length="-1")),
    (400, dict(Content_Length="9" * 30)),
    (400, dict(Transfer_Encoding="chunked")),
    (400, dict(X_Timeout=None)),
    (400, dict(X_Request_ID=None)),
    (400, dict(X_Request_ID="x" * 300)),
    (400, dict(X_Envelope=None)),
    (400, dict(X_Envelope="dest=here")),
    (400, dict(X_Envelope="dest=" + "9" * 5000)),
    (400, dict(X_Envelope="\xff\xfe;=")),
    (400, dict(Content_Length=None, Transfer_Encoding="gzip")),
    (413, dict(body=b"x" * 65537)),
    (413, dict(body=b"x" * 900_000)),
    (404, dict(path="/%ff%00")),
]


@pytest.mark.parametrize("status,changes", BAD)
def test_bad_input_gets_its_answer_and_harms_nobody(loop, status, changes):
    server, address = clients(loop)
    peer, other = client(loop, address), client(loop, address)
    peer.say(request(**changes))
    received = peer.wait(b"\r\n\r\n")
    assert int(received.split()[1]) in (status, 501) and not server.acceptor.texts
    other.say(request())
    spin(loop, lambda: server.acceptor.events)


@pytest.mark.parametrize(
    "garbage",
    [
        b"\x16\x03\x01\x02\x00\r\n\r\n",
        b"POST /notice HTTP/1.1\r\n bad\r\n\r\n",
        b"DELETE / HTTP/1.1\r\nHost: x\r\n\r\n",
        b"GET " + b"x" * 200000 + b" HTTP/1.1\r\n\r\n",
    ],
)
def test_what_is_no_request_is_answered_and_closed(loop, garbage):
    _, address = clients(loop)
    peer = client(loop, address)
    peer.say(garbage)
    assert peer.wait_end().startswith(b"HTTP/1.1 4")


def test_an_answer_is_not_lost_to_what_lies_unread_behind_it(loop):
    """Closed over unread bytes, the connection was reset before the client had its answer."""
    server, address = clients(loop)
    peer = client(loop, address)
    peer.say(b"garbage\r\n\r\n")
    spin(loop, lambda: server.open)
    for _ in range(20):
        loop.once(loop.now())
    peer.say(b"more of it")
    for _ in range(20):
        loop.once(loop.now())
    assert server.open == 1
    peer.sock.shutdown(1)
    spin(loop, lambda: server.open == 0)
    assert peer.wait_end().startswith(b"HTTP/1.1 400")


@pytest.mark.parametrize("path,status", [("/-/ready", b"200"), ("/-/healthy", b"200"), ("/notice", b"404")])
def test_what_is_asked_about_the_courier_itself(loop, path, status):
    _, address = clients(loop)
    peer = client(loop, address)
    for method in ("GET", "HEAD", "GET"):
        peer.say(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        assert peer.wait(b"\r\n\r\n").split()[1] == status


def test_a_client_that_never_pauses_does_not_hold_up_the_rest(loop):
    server, address = clients(loop)
    busy, other = client(loop, address), client(loop, address)
    spin(loop, lambda: len(server.idle) == 2)
    busy.say(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n" * 50)
    other.say(request())
    for _ in range(3):
        loop.once(loop.now())
    assert server.acceptor.events and busy.hear().count(b"HTTP/1.1 200") < 50
    spin(loop, lambda: busy.hear().count(b"HTTP/1.1 200") == 50)


def test_a_fault_of_ours_is_answered_too(loop):
    server, address = clients(loop)
    server.acceptor.take = None
    peer, other = client(loop, address), client(loop, address)
    peer.say(request())
    assert peer.wait_end().startswith(b"HTTP/1.1 500")
    other.say(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    assert other.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 200")


def test_a_body_may_come_in_pieces_after_a_go_on(loop):
    server, address = clients(loop)
    peer = client(loop, address)
    whole = request(body=b"", Content_Length="4", Expect="100-continue")
    for piece in (whole[:30], whole[30:]):
        peer.say(piece)
        loop.once(loop.now())
    peer.wait(b"100")
    peer.say(b"ab")
    loop.once(loop.now())
    peer.say(b"cd")
    spin(loop, lambda: server.acceptor.texts)
    assert server.acceptor.texts[0].body == b"abcd"


def test_a_client_that_left_before_its_answer_withdraws(loop):
    """It hands the text in again elsewhere: what is sent under the old id counts for nothing."""
    server, address = clients(loop)
    peer = client(loop, address)
    peer.say(request())
    spin(loop, lambda: server.acceptor.events)
    peer.sock.setsockopt(1, 13, b"\x01\x00\x00\x00\x00\x00\x00\x00")  # leaves with a reset
    peer.sock.close()
    server.acceptor.keep()
    spin(loop, lambda: server.open == 0)
    assert [text.ident for text in server.acceptor.withdrawn] == ["9b1f"]


def test_a_connection_with_a_request_under_way_is_not_closed_for_want_of_descriptors_or_at_the_stop(loop):
    server, address = clients(loop)
    peer = client(loop, address)
    spin(loop, lambda: server.idle)
    peer.say(request())
    server.loop.now.now += KEEP_ALIVE_MIN_IDLE_MS
    server.budget.clients = 1
    server.free_descriptors()
    server.close_between_requests()
    spin(loop, lambda: server.acceptor.events)


def test_a_client_that_left_before_its_text_was_read_is_not_taken_on(loop):
    """After a standstill: it has handed the text in elsewhere, under another id."""
    server, address = clients(loop)
    peer = client(loop, address)
    spin(loop, lambda: server.idle)
    peer.say(request())
    peer.sock.shutdown(1)
    assert peer.wait_end().startswith(b"HTTP/1.1 503") and not server.acceptor.texts


@pytest.mark.parametrize("sent_part", [request()[:40], request()[:-3]])
def test_a_client_that_goes_silent_in_its_request_does_not_keep_its_descriptor(loop, sent_part):
    server, address = clients(loop)
    peer = client(loop, address)
    peer.say(sent_part)
    spin(loop, lambda: server.open and not server.idle)
    for _ in range(20):
        loop.once(loop.now())
    loop.now.now += PATIENCE + 1.0
    assert peer.wait_end().startswith(b"HTTP/1.1 408")
    loop.now.now += 1001.0
    spin(loop, lambda: server.open == 0)


def test_a_client_that_says_nothing_is_closed(loop):
    server, address = clients(loop)
    peer = client(loop, address)
    spin(loop, lambda: server.idle)
    loop.now.now += PATIENCE + 1.0
    assert peer.wait_end() == b"" and PATIENCE <= 3000.0
    spin(loop, lambda: server.open == 0)


def served_once(loop, server, address):
    peer = client(loop, address)
    peer.say(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    peer.wait(b"\r\n\r\n")
    return peer


def test_descriptors_run_short_at_those_that_stand_silent_longest(loop):
    """A client between requests has two seconds, a new one half a second, one with a request begun all its
    time.
    """
    server, address = clients(loop, most=4)
    idle_peers = [served_once(loop, server, address) for _ in range(2)]
    loop.now.now += KEEP_ALIVE_MIN_IDLE_MS - NEW
    silent, half_sent = client(loop, address), client(loop, address)
    half_sent.say(request()[:40])
    spin(loop, lambda: len(server.idle) == 3 and server.open == 4)
    loop.now.now += NEW - 1.0
    server.free_descriptors()
    assert server.open == 4
    loop.now.now += 1.0
    server.free_descriptors()
    assert (
        not silent.wait_end()
        and server.open == 3
        and not any(peer.hear() or peer.ended for peer in idle_peers)
    )
    server.budget.clients = 3
    server.free_descriptors()
    assert not idle_peers[0].wait_end() and server.open == 2 and not idle_peers[1].ended
    half_sent.say(request()[40:])
    spin(loop, lambda: server.acceptor.events)


def test_where_there_is_no_room_at_all_a_client_is_turned_away_at_once(loop):
    """It once waited, not accepted, behind those who said nothing.

    One that was served and stands idle gives way.
    """
    server, address = clients(loop, most=2)
    idle = served_once(loop, server, address)
    silent = [client(loop, address) for _ in range(2)]
    spin(loop, lambda: server.open == 3)
    late, later = client(loop, address), client(loop, address)
    late.say(request())
    spin(loop, lambda: server.acceptor.events)
    assert not idle.wait_end() and later.wait_end().startswith(b"HTTP/1.1 503") and server.open == 3
    assert not any(peer.hear() or peer.ended for peer in silent)


def test_a_client_gives_its_connection_back_with_its_answer_where_descriptors_are_short(loop):
    """Clients that took a new connection for each text held theirs idle for 2 s, and others found none."""
    server, address = clients(loop, most=2)
    one, two = client(loop, address), client(loop, address)
    spin(loop, lambda: server.open == 2)
    one.say(request())
    spin(loop, lambda: server.acceptor.events)
    server.acceptor.keep()
    received = one.wait_end()
    assert received.startswith(b"HTTP/1.1 202") and b"Connection: close" in received and server.open == 1
    two.say(request(X_Request_ID="b"))
    spin(loop, lambda: server.acceptor.events)
    server.acceptor.keep()
    assert b"close" not in two.wait(b"\r\n\r\n")


def test_one_that_repeats_what_was_turned_away_is_slowed_down(loop):
    server, address = clients(loop)
    peer = client(loop, address)
    peer.say(request("/parcel") * 3)
    peer.wait(b"404")
    for _ in range(20):
        loop.once(loop.now())
    assert not peer.hear().count(b"404")
    loop.now.now += REFUSAL_DELAY_MS
    peer.wait(b"404")


def test_stopping_closes_only_between_requests(loop):
    server, address = clients(loop)
    idle, busy, half = (client(loop, address) for _ in range(3))
    busy.say(request())
    half.say(request()[:40])
    spin(loop, lambda: server.acceptor.events and len(server.idle) == 1)
    server.stop_listening()
    server.close_between_requests()
    idle.wait_end()
    half.say(request()[40:])
    spin(loop, lambda: len(server.acceptor.events) == 2)
    server.acceptor.keep()
    for peer in (busy, half):
        received = peer.wait_end()
        assert received.startswith(b"HTTP/1.1 202") and b"close" in received
    with pytest.raises(OSError):
        client(loop, address)
