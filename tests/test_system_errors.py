"""Errors of system calls, as documented for Linux.

A transient error costs a short wait and no answer, and a lack of resources on this machine does not count as
a failure of the endpoint.
"""

import errno
import select
import socket

import pytest
from courier_helper import CourierFixture
from forced_faults import SHORT, ForcedFaults
from helper import answer, spin

from calicopin.system import HangUpProbe
from calicopin.system_errors import SINGLE_CONNECTION_ERRORS, TRANSIENT_ERRORS
from calicopin.wire.loop import RETRY_DELAY_MS

TRANSIENT = ("EINTR", "ENOBUFS", "ENOMEM")  # EINTR: where Python does not retry by itself


@pytest.fixture
def system():
    return ForcedFaults()


@pytest.fixture
def courier(tmp_path, system):
    return CourierFixture(tmp_path, system=system)


def modes(courier):
    return {each["mode"] for each in courier.runtime.facade.state()}


def endpoint_failures(courier):
    """The counters of endpoint failures, which a failed call would change."""
    return [
        (each.consecutive_failures, each.route.slow_start.failures)
        for each in courier.runtime.facade.decisions.endpoints.values()
    ]


# Connections of clients.


@pytest.mark.parametrize("error", TRANSIENT)
@pytest.mark.parametrize("call", ["client_recv", "client_send", "client_peek"])
def test_a_request_is_answered_despite_transient_errors(courier, system, call, error):
    system.scheduled[call].extend([error] * 3)
    peer = courier.request(body=b"abc")
    spin(courier.loop, lambda: system.failed[call] or b"202" in peer.hear())
    courier.pass_time(5 * RETRY_DELAY_MS)
    assert peer.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 202")
    assert set(courier.runtime.journal.texts) == {"a"}


@pytest.mark.parametrize("error", ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"])
def test_a_broken_client_connection_withdraws_its_unacknowledged_text(courier, system, error):
    system.scheduled["client_send"].append(error)
    peer = courier.request(product="once")
    spin(courier.loop, lambda: courier.runtime.counters.withdrawn["once"])
    assert not courier.runtime.journal.texts and not peer.hear()


@pytest.mark.parametrize("code", sorted(SINGLE_CONNECTION_ERRORS - TRANSIENT_ERRORS))
def test_a_connection_that_ended_before_its_accept_does_not_delay_the_next(courier, system, code):
    system.scheduled["accept"].append(errno.errorcode[code])
    peer = courier.request(body=b"abc")
    spin(courier.loop, lambda: b"202" in peer.hear())
    assert system.failed["accept"] == 1 and courier.loop.now() == 1000.0, "without a wait"


@pytest.mark.parametrize("error", ["ECONNABORTED", "EPROTO", "EPERM"])
def test_an_accept_that_always_fails_does_not_spin(courier, system, error):
    """The error leaves the connection in the queue, so each pass of the loop would fail again at once."""
    system.permanent["accept"] = error
    peer = courier.request(body=b"abc")
    for _ in range(200):
        courier.loop.once(courier.loop.now())
    assert system.failed["accept"] < 40
    system.permanent.clear()
    courier.pass_time(2 * RETRY_DELAY_MS)
    assert peer.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 202")


@pytest.mark.parametrize("error", ["ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EADDRNOTAVAIL"])
def test_an_accept_without_resources_is_retried_after_a_pause(courier, system, error):
    system.scheduled["accept"].extend([error] * 2)
    peer = courier.request(body=b"abc")
    spin(courier.loop, lambda: system.failed["accept"] == 1)
    for _ in range(20):
        courier.loop.once(courier.loop.now())
    assert system.failed["accept"] == 1, "it does not spin"
    courier.pass_time(2 * RETRY_DELAY_MS)
    assert peer.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 202")


def test_a_request_and_its_call_may_be_read_and_written_byte_by_byte(courier, system):
    system.permanent.update(client_recv=SHORT, client_send=SHORT, recv=SHORT, send=SHORT, write=SHORT)
    peer = courier.request(body=b"abc")
    assert peer.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 202")
    endpoint_peer = courier.endpoint.meet()
    assert endpoint_peer.wait(b"abc").startswith(b"POST /inbox")
    endpoint_peer.say(answer(200))
    spin(courier.loop, lambda: courier.runtime.counters.succeeded["notice"])


def test_the_list_and_a_notice_may_be_read_and_written_byte_by_byte(tmp_path, system):
    system.permanent.update(recv=SHORT, send=SHORT, write=SHORT)
    courier = CourierFixture(tmp_path, system=system)
    assert courier.post("a", product="once") == b"202"
    peer = courier.endpoint.meet()
    peer.wait(b"\r\n\r\n")
    peer.say(answer(500))
    assert courier.notice() == [{"ref": "a", "result": "dead"}]


# Calls to endpoints.


@pytest.mark.parametrize("call", ["socket", "connect"])
@pytest.mark.parametrize("error", ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EADDRNOTAVAIL", "EAGAIN"])
def test_a_lack_of_local_resources_is_not_a_failure_of_the_endpoint(courier, system, call, error):
    system.scheduled[call].extend([error] * 6)
    before = endpoint_failures(courier)
    assert courier.post("a") == b"202"
    spin(courier.loop, lambda: system.failed[call])
    courier.pass_time(7 * RETRY_DELAY_MS)
    assert b"X-Request-ID: a" in courier.endpoint.meet().wait(b"\r\n\r\n")
    assert system.failed[call] == 6 and modes(courier) == {"well"} and endpoint_failures(courier) == before
    assert courier.runtime.journal.texts["a"].tries == 1, "a connect without resources is not an attempt"


def test_a_lack_of_local_resources_during_connect_is_not_a_failure_either(courier, system):
    system.scheduled["so_error"].append("ENOBUFS")
    before = endpoint_failures(courier)
    assert courier.post("a") == b"202"
    spin(courier.loop, lambda: system.failed["so_error"])
    courier.pass_time(2 * RETRY_DELAY_MS)
    courier.endpoint.meet()
    assert (
        b"X-Request-ID: a" in courier.endpoint.meet().wait(b"\r\n\r\n")
        and endpoint_failures(courier) == before
    )


@pytest.mark.parametrize("error", ["ENETUNREACH", "EHOSTUNREACH", "ENETDOWN", "ECONNABORTED"])
def test_a_connect_without_a_route_is_retried(courier, system, error):
    system.scheduled["connect"].extend([error] * 3)
    before = endpoint_failures(courier)
    assert courier.post("a") == b"202"
    spin(courier.loop, lambda: system.failed["connect"])
    courier.pass_time(4 * RETRY_DELAY_MS)
    assert (
        b"X-Request-ID: a" in courier.endpoint.meet().wait(b"\r\n\r\n")
        and endpoint_failures(courier) == before
    )


def test_a_route_that_stays_missing_counts_as_a_failure_of_the_call(courier, system):
    system.permanent["connect"] = "ENETUNREACH"
    assert courier.post("a") == b"202"
    spin(courier.loop, lambda: system.failed["connect"])
    courier.pass_time(3000.0)
    assert endpoint_failures(courier)[0][0] > 0


@pytest.mark.parametrize("call", ["send", "recv", "peek"])
@pytest.mark.parametrize("error", TRANSIENT)
def test_a_call_goes_on_despite_transient_errors(courier, system, call, error):
    system.scheduled[call].extend([error] * 2)
    before = endpoint_failures(courier)
    assert courier.post("a", product="once") == b"202"
    peer = courier.endpoint.meet()
    spin(courier.loop, lambda: system.failed[call] or b"\xfe\xfe\xfe" in peer.hear())
    courier.pass_time(4 * RETRY_DELAY_MS)
    peer.wait(b"\xfe\xfe\xfe")
    peer.say(answer(200))
    spin(courier.loop, lambda: system.failed[call] or courier.runtime.counters.succeeded["once"])
    courier.pass_time(4 * RETRY_DELAY_MS)
    assert courier.runtime.counters.succeeded["once"] == 1 and endpoint_failures(courier) == before


# The loop.


@pytest.mark.parametrize("error", ["ENOMEM", "ENOSPC"])
def test_a_descriptor_that_epoll_refuses_does_not_spin(courier, system, error):
    """With `max_user_watches` exhausted, a coroutine resumed at once retried for ever in one pass."""
    peer = courier.request(body=b"abc")
    peer.wait(b"\r\n\r\n")
    system.permanent["epoll_ctl"] = error
    second = courier.request("b")
    for _ in range(50):
        courier.loop.once(courier.loop.now())
    assert system.failed["epoll_ctl"] < 20
    courier.pass_time(5 * RETRY_DELAY_MS)
    system.permanent.clear()
    courier.pass_time(5 * RETRY_DELAY_MS)
    assert second.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 202")


def test_a_close_that_fails_does_not_disturb_the_courier(courier, system):
    """Linux frees the descriptor even if close returns an error."""
    system.permanent["close"] = "EIO"
    for ident in "ab":
        peer = courier.request(ident)
        assert peer.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 202")
        peer.sock.close()
    spin(courier.loop, lambda: system.failed["close"] >= 2)
    assert not courier.runtime.failed_turns
    system.permanent.clear()
    assert courier.post("c") == b"202"


def test_a_notice_waits_for_the_202_of_its_message(courier, system):
    """ENOBUFS delayed the 202 of a message close to expiry, so its notice was sent first.

    The platform did not know the message yet and ignored the notice; the message was lost.
    """
    system.scheduled["client_send"].append("ENOBUFS")
    peer = courier.request(left=0.03)
    courier.pass_time(95.0)
    assert system.failed["client_send"] and not peer.hear() and not courier.runtime.facade.texts
    assert not courier.runtime.notices.owed, "the message has ended, and its notice waits for the 202"
    courier.pass_time(2 * RETRY_DELAY_MS)
    assert peer.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 202")
    assert courier.notice() == [{"ref": "a", "result": "bounced"}]


def test_no_notice_is_owed_if_the_client_left_before_the_202_of_an_ended_message(courier, system):
    system.scheduled["client_send"].extend(["ENOBUFS", "ECONNRESET"])
    peer = courier.request(left=0.03)
    courier.pass_time(95.0)
    peer.sock.close()
    courier.pass_time(2 * RETRY_DELAY_MS)
    assert not courier.runtime.journal.texts and not courier.runtime.notices.owed


def test_a_probe_that_the_system_refuses_counts_as_a_client_that_has_left():
    ends, probe = socket.socketpair(), HangUpProbe()
    with ends[0], ends[1]:
        assert not probe.hung_up(ends[0])
        probe.epoll.register(ends[0], select.EPOLLRDHUP)  # the next registration fails with EEXIST
        assert probe.hung_up(ends[0])
        probe.epoll.unregister(ends[0])
        ends[1].send(b"unread")
        ends[1].close()
        assert probe.hung_up(ends[0])
