"""Ids that come again after their client has left: none runs twice."""

import socket

import pytest
from courier_helper import CourierFixture
from helper import answer, client, spin

RESET_ON_CLOSE = b"\1\0\0\0\0\0\0\0"  # SO_LINGER with a time-out of 0


def leave(peer):
    """The client resets its connection."""
    peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    peer.sock.close()


def taken_on_and_left(courier, ident):
    """Sends a message whose client leaves before its 202 is written; returns the endpoint's side."""
    peer = courier.request(ident)
    for _ in range(400):
        courier.loop.once(courier.loop.now())
        if ident in courier.runtime.journal.texts:
            break
    leave(peer)
    call = courier.endpoint.meet()
    call.wait(b"\r\n\r\n")
    call.say(answer(200))
    spin(courier.loop, lambda: not courier.runtime.journal.texts)
    return call


@pytest.mark.parametrize("restarted", [False, True])
@pytest.mark.parametrize("product", ["notice", "once"])
def test_an_id_that_comes_again_after_its_client_has_left_does_not_run_twice(tmp_path, product, restarted):
    courier = CourierFixture(tmp_path)
    call = taken_on_and_left(courier, "a")
    if restarted:
        courier.kill()
        courier = CourierFixture(tmp_path, courier.loop.now, courier.endpoint)
        call.loop = courier.loop
    assert courier.post("a", product) == b"409"
    courier.pass_time(500.0)
    assert not call.hear()


def test_an_id_behind_the_unread_data_of_a_client_that_has_left_runs_once(tmp_path):
    courier = CourierFixture(tmp_path)
    leaver = client(courier.loop, courier.listen)
    message = (
        b"POST /notice HTTP/1.1\r\nHost: x\r\nX-Request-ID: %s\r\nX-Timeout: 20\r\nX-Envelope: dest=7\r\n"
        b"Content-Length: 2000\r\n\r\n" + b"x" * 2000
    )
    leaver.say(b"".join(message % b"id%d" % number for number in range(30)))
    leaver.sock.close()
    assert courier.post("id29") == b"202"
    for _ in range(100):
        courier.loop.once(courier.loop.now())
    call = courier.endpoint.meet()
    assert b"X-Request-ID: id29" in call.wait(b"\r\n\r\n")
    call.say(answer(200))
    courier.pass_time(500.0)
    assert not call.hear() and courier.runtime.counters.taken == 1
