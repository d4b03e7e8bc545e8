"""Faults of system calls, as Linux documents them: what passes costs a moment and nobody an answer, and what
is this machine's fault is learnt of no endpoint.
"""

import errno

import pytest
from courier_helper import CourierFixture
from forced_faults import SHORT, ForcedFaults
from helper import answer, spin

from calicopin.system_errors import PASSING, SINGLE_CONNECTION_ERRORS
from calicopin.wire.loop import AGAIN

TRANSIENT = ("EINTR", "ENOBUFS", "ENOMEM")  # EINTR: only where the runtime does not try again by itself


@pytest.fixture
def system():
    return ForcedFaults()


@pytest.fixture
def courier(tmp_path, system):
    return CourierFixture(tmp_path, system=system)


def modes(courier):
    return {each["mode"] for each in courier.runtime.facade.state()}


def endpoint_failures(courier):
    """What is known of endpoints that a failed call would change."""
    return [
        (each.misses, each.route.slow_start.fails)
        for each in courier.runtime.facade.module.endpoints.values()
    ]


# Clients' connections.


@pytest.mark.parametrize("error", TRANSIENT)
@pytest.mark.parametrize("call", ["client_recv", "client_send", "client_peek"])
def test_a_request_gets_its_answer_where_the_system_has_no_room_for_a_moment(courier, system, call, error):
    system.told[call].extend([error] * 3)
    peer = courier.request(body=b"abc")
    spin(courier.loop, lambda: system.met[call] or b"202" in peer.hear())
    courier.pass_time(5 * AGAIN)
    assert peer.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 202")
    assert set(courier.runtime.journal.texts) == {"a"}


@pytest.mark.parametrize("error", ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"])
def test_a_broken_connection_of_a_client_withdraws_what_it_did_not_hear_of(courier, system, error):
    system.told["client_send"].append(error)
    peer = courier.request(product="once")
    spin(courier.loop, lambda: courier.runtime.ledger.withdrawn["once"])
    assert not courier.runtime.journal.texts and not peer.hear()


@pytest.mark.parametrize("code", sorted(SINGLE_CONNECTION_ERRORS - PASSING))
def test_a_connection_that_ended_before_its_accept_holds_up_none_behind_it(courier, system, code):
    system.told["accept"].append(errno.errorcode[code])
    peer = courier.request(body=b"abc")
    spin(courier.loop, lambda: b"202" in peer.hear())
    assert system.met["accept"] == 1 and courier.loop.now() == 1000.0, "without a wait"


@pytest.mark.parametrize("error", ["ECONNABORTED", "EPROTO", "EPERM"])
def test_an_accept_that_fails_over_and_over_does_not_spin(courier, system, error):
    """The fault takes no connection away, and each pass of the loop would meet it again."""
    system.always["accept"] = error
    peer = courier.request(body=b"abc")
    for _ in range(200):
        courier.loop.once(courier.loop.now())
    assert system.met["accept"] < 40
    system.always.clear()
    courier.pass_time(2 * AGAIN)
    assert peer.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 202")


@pytest.mark.parametrize("error", ["ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EADDRNOTAVAIL"])
def test_an_accept_for_which_there_is_no_room_is_tried_again_a_moment_later(courier, system, error):
    system.told["accept"].extend([error] * 2)
    peer = courier.request(body=b"abc")
    spin(courier.loop, lambda: system.met["accept"] == 1)
    for _ in range(20):
        courier.loop.once(courier.loop.now())
    assert system.met["accept"] == 1, "it does not spin"
    courier.pass_time(2 * AGAIN)
    assert peer.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 202")


def test_every_message_of_a_request_and_of_its_call_may_come_and_go_byte_by_byte(courier, system):
    system.always.update(client_recv=SHORT, client_send=SHORT, recv=SHORT, send=SHORT, write=SHORT)
    peer = courier.request(body=b"abc")
    assert peer.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 202")
    endpoint_peer = courier.endpoint.meet()
    assert endpoint_peer.wait(b"abc").startswith(b"POST /inbox")
    endpoint_peer.say(answer(200))
    spin(courier.loop, lambda: courier.runtime.ledger.succeeded["notice"])


def test_the_list_and_a_notice_may_come_and_go_byte_by_byte(tmp_path, system):
    system.always.update(recv=SHORT, send=SHORT, write=SHORT)
    courier = CourierFixture(tmp_path, system=system)
    assert courier.post("a", product="once") == b"202"
    peer = courier.endpoint.meet()
    peer.wait(b"\r\n\r\n")
    peer.say(answer(500))
    assert courier.notice() == [{"ref": "a", "result": "dead"}]


# Calls to endpoints.


@pytest.mark.parametrize("call", ["socket", "connect"])
@pytest.mark.parametrize("error", ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EADDRNOTAVAIL", "EAGAIN"])
def test_what_this_machine_has_no_room_for_is_no_failure_of_the_endpoint(courier, system, call, error):
    system.told[call].extend([error] * 6)
    before = endpoint_failures(courier)
    assert courier.post("a") == b"202"
    spin(courier.loop, lambda: system.met[call])
    courier.pass_time(7 * AGAIN)
    assert b"X-Request-ID: a" in courier.endpoint.meet().wait(b"\r\n\r\n")
    assert system.met[call] == 6 and modes(courier) == {"well"} and endpoint_failures(courier) == before
    assert courier.runtime.journal.texts["a"].tries == 1, "and no attempt"


def test_a_connection_that_fails_behind_its_begin_for_want_of_room_is_no_failure_either(courier, system):
    system.told["so_error"].append("ENOBUFS")
    before = endpoint_failures(courier)
    assert courier.post("a") == b"202"
    spin(courier.loop, lambda: system.met["so_error"])
    courier.pass_time(2 * AGAIN)
    courier.endpoint.meet()
    assert (
        b"X-Request-ID: a" in courier.endpoint.meet().wait(b"\r\n\r\n")
        and endpoint_failures(courier) == before
    )


@pytest.mark.parametrize("error", ["ENETUNREACH", "EHOSTUNREACH", "ENETDOWN", "ECONNABORTED"])
def test_no_way_to_an_endpoint_for_a_moment_is_asked_for_again(courier, system, error):
    system.told["connect"].extend([error] * 3)
    before = endpoint_failures(courier)
    assert courier.post("a") == b"202"
    spin(courier.loop, lambda: system.met["connect"])
    courier.pass_time(4 * AGAIN)
    assert (
        b"X-Request-ID: a" in courier.endpoint.meet().wait(b"\r\n\r\n")
        and endpoint_failures(courier) == before
    )


def test_no_way_to_an_endpoint_for_long_counts_as_a_failure_of_its_call(courier, system):
    system.always["connect"] = "ENETUNREACH"
    assert courier.post("a") == b"202"
    spin(courier.loop, lambda: system.met["connect"])
    courier.pass_time(3000.0)
    assert endpoint_failures(courier)[0][0] > 0


@pytest.mark.parametrize("call", ["send", "recv", "peek"])
@pytest.mark.parametrize("error", TRANSIENT)
def test_a_call_goes_on_where_the_system_has_no_room_for_a_moment(courier, system, call, error):
    system.told[call].extend([error] * 2)
    before = endpoint_failures(courier)
    assert courier.post("a", product="once") == b"202"
    peer = courier.endpoint.meet()
    spin(courier.loop, lambda: system.met[call] or b"\xfe\xfe\xfe" in peer.hear())
    courier.pass_time(4 * AGAIN)
    peer.wait(b"\xfe\xfe\xfe")
    peer.say(answer(200))
    spin(courier.loop, lambda: system.met[call] or courier.runtime.ledger.succeeded["once"])
    courier.pass_time(4 * AGAIN)
    assert courier.runtime.ledger.succeeded["once"] == 1 and endpoint_failures(courier) == before


# The loop.


@pytest.mark.parametrize("error", ["ENOMEM", "ENOSPC"])
def test_a_descriptor_that_cannot_be_watched_for_a_moment_does_not_spin(courier, system, error):
    """`max_user_watches` is used up: a coroutine resumed at once asked again for ever in one pass."""
    peer = courier.request(body=b"abc")
    peer.wait(b"\r\n\r\n")
    system.always["epoll_ctl"] = error
    second = courier.request("b")
    for _ in range(50):
        courier.loop.once(courier.loop.now())
    assert system.met["epoll_ctl"] < 20
    courier.pass_time(5 * AGAIN)
    system.always.clear()
    courier.pass_time(5 * AGAIN)
    assert second.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 202")


def test_a_close_that_reports_a_fault_leaves_the_courier_in_order(courier, system):
    """Linux frees the descriptor whatever close says."""
    system.always["close"] = "EIO"
    for ident in "ab":
        peer = courier.request(ident)
        assert peer.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 202")
        peer.sock.close()
    spin(courier.loop, lambda: system.met["close"] >= 2)
    assert not courier.runtime.stuck
    system.always.clear()
    assert courier.post("c") == b"202"


def test_a_notice_waits_for_the_202_of_its_message(courier, system):
    """The system had no room for the 202 of a message with little time left: its notice was out first,
    counted for nothing since nobody knew the message yet, and the message was lost.
    """
    system.told["client_send"].append("ENOBUFS")
    peer = courier.request(left=0.03)
    courier.pass_time(95.0)
    assert system.met["client_send"] and not peer.hear() and not courier.runtime.facade.texts
    assert not courier.runtime.notices.owed, "it has ended, and waits for its 202"
    courier.pass_time(2 * AGAIN)
    assert peer.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 202")
    assert courier.notice() == [{"ref": "a", "result": "bounced"}]


def test_a_message_that_ended_before_its_202_and_whose_client_left_owes_nothing(courier, system):
    system.told["client_send"].extend(["ENOBUFS", "ECONNRESET"])
    peer = courier.request(left=0.03)
    courier.pass_time(95.0)
    peer.sock.close()
    courier.pass_time(2 * AGAIN)
    assert not courier.runtime.journal.texts and not courier.runtime.notices.owed
