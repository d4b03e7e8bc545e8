"""Requests of clients, on loopback, with a clock that the test moves."""

import pytest
from helper import client, spin
from wire_helper import clients, request

from calicopin.wire.clients import (
    KEEP_ALIVE_MIN_IDLE_MS,
    NEW_CONNECTION_MIN_IDLE_MS,
    REFUSAL_DELAY_MS,
    REQUEST_TIMEOUT_MS,
)


def test_a_text_is_accepted_only_once_it_is_stored(loop):
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


def test_a_refusal_tells_when_to_retry(loop):
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
def test_invalid_requests_are_refused_and_do_not_affect_other_clients(loop, status, changes):
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
def test_malformed_requests_are_answered_and_the_connection_is_closed(loop, garbage):
    _, address = clients(loop)
    peer = client(loop, address)
    peer.say(garbage)
    assert peer.wait_end().startswith(b"HTTP/1.1 4")


def test_an_answer_is_not_lost_by_a_close_over_unread_data(loop):
    """Closing a socket with unread data resets the connection, which can discard an answer not yet read."""
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
def test_health_and_readiness_requests(loop, path, status):
    _, address = clients(loop)
    peer = client(loop, address)
    for method in ("GET", "HEAD", "GET"):
        peer.say(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        assert peer.wait(b"\r\n\r\n").split()[1] == status


def test_a_client_with_pipelined_requests_does_not_delay_others(loop):
    server, address = clients(loop)
    busy, other = client(loop, address), client(loop, address)
    spin(loop, lambda: len(server.idle) == 2)
    busy.say(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n" * 50)
    other.say(request())
    for _ in range(3):
        loop.once(loop.now())
    assert server.acceptor.events and busy.hear().count(b"HTTP/1.1 200") < 50
    spin(loop, lambda: busy.hear().count(b"HTTP/1.1 200") == 50)


def test_an_exception_in_the_courier_is_answered_with_500(loop):
    server, address = clients(loop)
    server.acceptor.accept = None
    peer, other = client(loop, address), client(loop, address)
    peer.say(request())
    assert peer.wait_end().startswith(b"HTTP/1.1 500")
    other.say(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    assert other.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 200")


def test_a_body_may_arrive_in_pieces_after_100_continue(loop):
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


def test_a_text_whose_answer_cannot_be_sent_is_withdrawn(loop):
    """The client submits the text again elsewhere, so a delivery under the old id would be a duplicate."""
    server, address = clients(loop)
    peer = client(loop, address)
    peer.say(request())
    spin(loop, lambda: server.acceptor.events)
    peer.sock.setsockopt(1, 13, b"\x01\x00\x00\x00\x00\x00\x00\x00")  # SO_LINGER of 0 s: closes with a reset
    peer.sock.close()
    server.acceptor.keep()
    spin(loop, lambda: server.open == 0)
    assert [text.ident for text in server.acceptor.withdrawn] == ["9b1f"]


def test_a_connection_with_a_request_under_way_is_closed_neither_to_free_descriptors_nor_at_the_stop(loop):
    server, address = clients(loop)
    peer = client(loop, address)
    spin(loop, lambda: server.idle)
    peer.say(request())
    server.loop.now.now += KEEP_ALIVE_MIN_IDLE_MS
    server.budget.clients = 1
    server.free_descriptors()
    server.close_between_requests()
    spin(loop, lambda: server.acceptor.events)


def test_a_text_is_not_taken_on_if_its_client_left_before_it_was_read(loop):
    """After a suspension of the process the client has submitted the text elsewhere under another id."""
    server, address = clients(loop)
    peer = client(loop, address)
    spin(loop, lambda: server.idle)
    peer.say(request())
    peer.sock.shutdown(1)
    assert peer.wait_end().startswith(b"HTTP/1.1 503") and not server.acceptor.texts


@pytest.mark.parametrize("sent_part", [request()[:40], request()[:-3]])
def test_a_client_that_falls_silent_in_its_request_is_answered_and_closed(loop, sent_part):
    server, address = clients(loop)
    peer = client(loop, address)
    peer.say(sent_part)
    spin(loop, lambda: server.open and not server.idle)
    for _ in range(20):
        loop.once(loop.now())
    loop.now.now += REQUEST_TIMEOUT_MS + 1.0
    assert peer.wait_end().startswith(b"HTTP/1.1 408")
    loop.now.now += 1001.0
    spin(loop, lambda: server.open == 0)


def test_a_client_without_a_request_is_closed_after_the_time_out(loop):
    server, address = clients(loop)
    peer = client(loop, address)
    spin(loop, lambda: server.idle)
    loop.now.now += REQUEST_TIMEOUT_MS + 1.0
    assert peer.wait_end() == b"" and REQUEST_TIMEOUT_MS <= 3000.0
    spin(loop, lambda: server.open == 0)


def served_once(loop, server, address):
    peer = client(loop, address)
    peer.say(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    peer.wait(b"\r\n\r\n")
    return peer


def test_descriptors_are_freed_from_the_longest_idle_clients(loop):
    """Connections between requests are kept for 2 s, new ones for 0.5 s, those in a request always."""
    server, address = clients(loop, most=4)
    idle_peers = [served_once(loop, server, address) for _ in range(2)]
    loop.now.now += KEEP_ALIVE_MIN_IDLE_MS - NEW_CONNECTION_MIN_IDLE_MS
    silent, half_sent = client(loop, address), client(loop, address)
    half_sent.say(request()[:40])
    spin(loop, lambda: len(server.idle) == 3 and server.open == 4)
    loop.now.now += NEW_CONNECTION_MIN_IDLE_MS - 1.0
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


def test_without_any_descriptor_left_a_client_is_refused_at_once(loop):
    """Left unaccepted, it would wait behind silent clients. An idle client is closed first."""
    server, address = clients(loop, most=2)
    idle = served_once(loop, server, address)
    silent = [client(loop, address) for _ in range(2)]
    spin(loop, lambda: server.open == 3)
    late, later = client(loop, address), client(loop, address)
    late.say(request())
    spin(loop, lambda: server.acceptor.events)
    assert not idle.wait_end() and later.wait_end().startswith(b"HTTP/1.1 503") and server.open == 3
    assert not any(peer.hear() or peer.ended for peer in silent)


def test_connections_are_closed_with_the_answer_when_descriptors_are_short(loop):
    """Else clients with a new connection per text hold each idle for 2 s, and others are refused."""
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


def test_a_client_that_repeats_refused_requests_is_slowed_down(loop):
    server, address = clients(loop)
    peer = client(loop, address)
    peer.say(request("/parcel") * 3)
    peer.wait(b"404")
    for _ in range(20):
        loop.once(loop.now())
    assert not peer.hear().count(b"404")
    loop.now.now += REFUSAL_DELAY_MS
    peer.wait(b"404")


def test_a_stop_closes_connections_only_between_requests(loop):
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
