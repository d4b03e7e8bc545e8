"""Calls to endpoints, on loopback, with a stand-in endpoint and a clock that the test moves."""

import json
import socket
import time

import pytest
from helper import Listener, answer, free_address, spin
from wire_helper import Out, call

from calicopin.connection_reuse import SETTLE_MS
from calicopin.facade import CallProgress
from calicopin.state.connections import ConnectionPool


def test_a_call_carries_id_and_body_and_its_connection_is_reused(loop):
    listener = Listener(loop)
    out = Out(loop, call(listener.address))
    peer = listener.meet()
    received = peer.wait(b"\x00\xff")
    assert received.startswith(b"POST /inbox HTTP/1.1\r\n") and b"X-Request-ID: id0" in received
    assert b"X-Timeout: 0.500" in received and b"Idempotency-Key" not in received
    peer.say(answer(200, b"fine", X_Server_Load='{"x0":0.4,"x1":25}'))
    result = out.end()
    assert (result.progress, result.status, result.load) == (
        CallProgress.ANSWERED,
        200,
        {"x0": 0.4, "x1": 25.0},
    )
    loop.now.now += SETTLE_MS
    again = Out(loop, call(listener.address), out.lines)
    assert peer.wait(b"\x00\xff")
    peer.say(answer(429, X_Retry_In_Ms="640", X_Server_Load="broken"))
    result = again.end()
    assert (result.status, result.wait, result.load) == (429, 640.0, {})


def test_a_refused_connection_counts_as_unconnected(loop):
    assert Out(loop, call(free_address())).end().progress == CallProgress.UNCONNECTED


def test_a_call_no_longer_wanted_once_connected_is_not_sent(loop):
    listener = Listener(loop)
    out = Out(loop, call(listener.address))
    out.wanted = False
    assert (
        out.end().progress == CallProgress.CALLED_OFF
        and not listener.meet().wait_end()
        and out.lines.used == 0
    )


def test_a_call_whose_connection_breaks_after_sending_is_not_sent_again(loop):
    listener = Listener(loop)
    out = Out(loop, call(listener.address))
    peer = listener.meet()
    peer.wait(b"\x00\xff")
    peer.sock.close()
    assert out.end().progress == CallProgress.SENT and not out.answer.timed_out and out.lines.count == 0
    with pytest.raises(AssertionError):
        spin(loop, lambda: bool(peer_waiting(listener)), passes=20)


def peer_waiting(listener):
    try:
        return listener.sock.accept()
    except BlockingIOError:
        return None


def test_an_idle_connection_closed_before_its_call_is_no_failure_of_the_endpoint(loop):
    """Endpoints that close idle connections reset 25 to 40 of 100 calls on reused ones."""
    listener, lines = Listener(loop), ConnectionPool(4, 8000.0)
    peer = None
    for duration, gone in ((50.0, None), (0.0, True), (50.0, None), (60.0, False)):
        out = Out(loop, call(listener.address), lines)
        peer = listener.meet() if gone is None else peer
        peer.wait(b"\x00\xff")
        loop.now.now += duration
        if gone is None:
            peer.say(answer(200))
            assert out.end().status == 200
            loop.now.now += 700.0 if lines.trusted_idle_ms > 1000.0 else 300.0
        else:
            peer.sock.close()
            assert (out.end().progress, out.answer.stale_connection) == (
                CallProgress.SENT,
                gone,
            ) and lines.trusted_idle_ms == 350.0
    assert not lines.take(call(listener.address).place, loop.now())


def test_a_time_out_closes_the_connection(loop):
    listener = Listener(loop)
    out = Out(loop, call(listener.address))
    peer = listener.meet()
    peer.wait(b"\x00\xff")
    peer.say(b"HTTP/1.1 500 X\r\n")
    loop.now.now += 501.0
    assert out.end().timed_out and out.answer.progress == CallProgress.SENT
    peer.wait_end()


@pytest.mark.parametrize(
    "garbage",
    [
        b"SSH-2.0-x\r\n\r\n",
        b"HTTP/1.1 503 X\r\nContent-Length: x\r\n\r\n",
        b"\x00" * 70000,
        b"noise with no end",
        b"HTTP/1.1 100 X\r\n\r\n" * 17,
        b"HTTP/1.1 20",
        b"HTTP/1.1 200 OK",
        b"HTTP/1.1 200 OK\r",
        b"HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\n",
        b"HTTP/1.1 429 X\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 70000,
        b"HTTP/1.1 503 X\r\nno end: ",
    ],
)
def test_a_call_with_a_malformed_answer_may_have_been_executed(loop, garbage):
    listener = Listener(loop)
    out = Out(loop, call(listener.address))
    peer = listener.meet()
    peer.wait(b"\x00\xff")
    peer.say(garbage)
    for _ in range(20):
        loop.once(loop.now())
    loop.now.now += 501.0
    assert out.end().progress == CallProgress.SENT and out.lines.count == 0 and not out.told
    peer.wait_end()


@pytest.mark.parametrize(
    "rest",
    [
        b"\r\n",
        b"\r\nContent-Length: x\r\n\r\n",
        b"\r\nX-Long: " + b"x" * 20000,
        b"\r\nContent-Length: 9\r\n\r\nhalf",
        b"\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 70000,
        b"\r\n\r\n",
        b"\r\n\x00\xff\r\n\r\n",
    ],
)
def test_a_single_text_is_delivered_once_the_status_line_says_so(loop, rest):
    """The call was executed, whatever follows: it must neither count as failed nor wait for its time-out."""
    listener = Listener(loop)
    out = Out(loop, call(listener.address))
    peer = listener.meet()
    peer.wait(b"\x00\xff")
    peer.say(b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK" + rest)
    spin(loop, lambda: out.told or out.answer)
    assert all((result.progress, result.status) == (CallProgress.ANSWERED, 200) for result in out.told)
    loop.now.now += 501.0
    assert (out.end().progress, out.answer.status, out.lines.count, out.lines.used) == (
        CallProgress.ANSWERED,
        200,
        0,
        0,
    )
    peer.wait_end()


@pytest.mark.parametrize("extra", [answer(200), b"\x00noise", b"\r\n"])
def test_a_connection_with_data_after_the_answer_is_not_reused(loop, extra):
    """Such data would be read as the answer to the next call."""
    listener = Listener(loop)
    out = Out(loop, call(listener.address))
    peer = listener.meet()
    peer.wait(b"\x00\xff")
    peer.say(answer(503, b"full") + extra)
    assert (out.end().status, out.lines.count) == (503, 0)
    peer.wait_end()


@pytest.mark.parametrize(
    "report", ["[" * 9000, "1" + "0" * 400, '{"x0":1' + "0" * 400 + "}", "[1]", '"', "{"]
)
def test_a_malformed_load_report_is_ignored(loop, report):
    listener = Listener(loop)
    out = Out(loop, call(listener.address))
    peer = listener.meet()
    peer.wait(b"\x00\xff")
    peer.say(answer(503, X_Server_Load=report, X_Retry_In_Ms="90"))
    assert (out.end().status, out.answer.wait, out.answer.load, out.lines.count) == (503, 90.0, {}, 1)


def test_without_a_descriptor_a_call_waits_and_is_no_failure_of_the_endpoint(loop, monkeypatch):
    listener, sock = Listener(loop), socket.socket

    def none_left(*_):
        raise OSError(24, "too many open files")

    monkeypatch.setattr(socket, "socket", none_left)
    out, late = Out(loop, call(listener.address)), Out(loop, call(listener.address, timeout=150.0))
    spin(loop, lambda: len(loop.timers) == 2)
    loop.now.now += 100.0
    assert late.end().progress == CallProgress.CALLED_OFF and not out.answer
    monkeypatch.setattr(socket, "socket", sock)
    loop.now.now += 100.0
    listener.meet().say(answer(200))
    assert out.end().status == 200


def test_a_connection_closed_after_the_answer_is_not_kept(loop):
    listener = Listener(loop)
    out = Out(loop, call(listener.address))
    peer = listener.meet()
    peer.wait(b"\x00\xff")
    peer.say(answer(503, Connection="close", X_No_Slot="1"))
    assert out.end().no_slot and out.lines.count == 0


def test_a_bulk_answer_holds_the_state_of_each_text(loop):
    listener = Listener(loop)
    out = Out(loop, call(listener.address, texts=3))
    peer = listener.meet()
    received = peer.wait(b"]")
    sent = json.loads(received[received.index(b"\r\n\r\n") :])
    assert received.startswith(b"POST /inbox/bulk") and [
        (t["id"], t["body"], t.get("key")) for t in sent
    ] == [("id0", "AP8=", None), ("id1", "AP8A/w==", "r\xe9f"), ("id2", "AP8A/wD/", "r\xe9f")]
    peer.say(
        answer(200, b'[{"id":"id0","state":"delivered"},{"id":"id1","state":"refused"}]', X_Retry_In_Ms="90")
    )
    assert out.end().text_states == {"id0": "delivered", "id1": "refused"} and out.answer.wait == 90.0


@pytest.mark.parametrize(
    "body",
    [b"", b"{}x", b"[1]", b"[]", b'[{"id":[],"state":1}]', b'[{"id":"another","state":"delivered"}]'],
)
def test_a_bulk_call_with_a_malformed_answer_may_have_been_executed(loop, body):
    listener = Listener(loop)
    out = Out(loop, call(listener.address, texts=2))
    peer = listener.meet()
    peer.wait(b"]")
    peer.say(answer(200, body))
    assert out.end().progress == CallProgress.SENT


def test_a_malformed_line_full_of_spaces_in_an_answer_does_not_hold_up_the_loop(loop):
    listener = Listener(loop)
    out = Out(loop, call(listener.address))
    peer = listener.meet()
    peer.wait(b"\x00\xff")
    peer.sock.setblocking(True)
    before = time.process_time()
    peer.say(b"HTTP/1.1 500 X\r\na:" + b" " * 15000 + b"\x00\r\n\r\n")
    assert out.end().progress == CallProgress.SENT
    assert time.process_time() - before < 0.4  # a client waits no longer for its answer
