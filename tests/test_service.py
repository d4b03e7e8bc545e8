"""Operation of a courier: the admin address, the counters, and the steps of stop and drain."""

import json
import socket
from dataclasses import replace

import pytest
from courier_helper import CourierFixture
from helper import Clock, answer, client, free_address, spin

from calicopin.lifecycle import shutdown_steps
from calicopin.lifecycle.start import build


class Service(CourierFixture):
    """A courier with an admin address; only the test moves its clock."""

    def __init__(self, folder, **other):
        super().__init__(folder, **other)
        self.admin = free_address()
        self.runtime.journal.system.close(self.runtime.journal.file)
        self.kill()
        self.loop = type(self.loop)(now=self.loop.now, system=self.loop.system)
        self.endpoint.loop = self.platform.loop = self.loop
        self.listen = free_address()
        self.configurations = [replace(self.configurations[0], listen=self.listen, admin=self.admin)]
        self.runtime = build(self.configurations[0], self.loop, self.signal_reader(), lambda: self.again())
        self.answer_list_request(self.known)

    @staticmethod
    def signal_reader():
        from calicopin.lifecycle.signals import SignalReader

        return SignalReader()

    def call(self, path, method="GET", body=b"", extra=""):
        """Makes one call to the admin address; returns (status, body)."""
        peer = client(self.loop, self.admin)
        peer.say(
            (
                f"{method} /admin/{path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
            ).encode()
            + body
        )
        head, _, data = peer.wait_end().partition(b"\r\n\r\n")
        return int(head.split()[1]), json.loads(data)

    def stats(self):
        return self.call("stats")[1]

    def ready(self):
        peer = client(self.loop, self.listen)
        peer.say(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        return int(peer.wait(b"\r\n\r\n").split()[1])

    def pass_time(self, span):
        self.loop.now.now += span
        for _ in range(6):
            self.loop.once(self.loop.now())


@pytest.fixture
def courier(tmp_path):
    return Service(tmp_path)


def test_each_message_ends_in_one_count_and_each_message_written_completely_is_a_forward(courier):
    assert [
        courier.post(ident, product) for ident, product in (("a", "notice"), ("b", "order"), ("c", "once"))
    ] == [b"202"] * 3
    assert courier.post("late", left=0.0) == b"202"
    peers = [courier.endpoint.meet() for _ in range(3)]
    for peer in peers:
        heard = peer.wait(b"\xfe\xfe\xfe")
        peer.say(
            answer(200)
            if b"c" != heard.split(b"X-Request-ID: ")[-1][:1] and b" c\r" not in heard
            else answer(500)
        )
    spin(courier.loop, lambda: len(courier.runtime.facade.texts) == 0)
    courier.runtime.list_received = False  # as before the first list arrived
    assert courier.post("d", dest=9) == b"503"
    statistics = courier.stats()
    assert statistics["succeeded"] == {"notice": 1, "order": 1, "once": 0} and statistics["aborted"] == {
        "notice": 0,
        "order": 0,
        "once": 1,
    }
    assert statistics["declined"] == {"notice": 2, "order": 0, "once": 0} and statistics["forwards"] == 3
    assert (statistics["outstanding"], statistics["discovered"], statistics["ejected"]) == (0, 1, 0)


def test_an_endpoint_in_an_outage_is_reported_as_ejected(courier):
    for number in range(6):
        courier.post(f"t{number}")
    for _ in range(6):
        peer = courier.endpoint.meet()
        peer.wait(b"\xfe\xfe\xfe")
        peer.sock.close()
    spin(courier.loop, lambda: courier.stats()["ejected"] == 1)
    assert courier.stats()["outstanding"] == 6 and courier.stats()["forwards"] >= 6


@pytest.mark.parametrize(
    "sent, status",
    [
        (b"GET /admin/nothing HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (b"POST /admin/stats HTTP/1.1\r\nHost: x\r\n\r\n", 405),
        (b"GET /admin/quiesce HTTP/1.1\r\nHost: x\r\n\r\n", 405),
        (b"nonsense\r\n\r\n", 400),
        (b"POST /admin/quiesce HTTP/1.1\r\nHost: x\r\nContent-Length: 9999\r\n\r\n" + b"x" * 9999, 400),
        (b"POST /notice HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 404),
    ],
)
def test_an_invalid_call_is_refused_and_has_no_effect(courier, sent, status):
    peer = client(courier.loop, courier.admin)
    peer.say(sent)
    heard = peer.wait_end()
    assert int(heard.split()[1]) == status and b"error" in heard
    assert (
        courier.ready() == 200
        and courier.call("resume", "POST")[0] == 200
        and courier.call("health") == (200, {"serving": True})
    )


def test_connections_with_incomplete_calls_do_not_block_other_callers(courier):
    idle_callers = [client(courier.loop, courier.admin) for _ in range(60)]
    for peer in idle_callers:
        peer.say(b"GET /admin/st")
    courier.pass_time(0.0)
    assert courier.call("health")[0] == 200 and courier.call("stats")[0] == 200
    assert sum(peer.hear() is not None and not peer.ended for peer in idle_callers) <= 16
    courier.pass_time(2001.0)
    for peer in idle_callers:
        peer.wait_end()


def test_operators_are_answered_before_clients_of_the_same_pass(courier):
    order = []
    peers = [client(courier.loop, courier.listen) for _ in range(30)]
    courier.pass_time(0.0)
    for peer in peers:
        peer.say(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    caller = client(courier.loop, courier.admin)
    courier.pass_time(0.0)
    caller.say(b"GET /admin/health HTTP/1.1\r\nHost: x\r\n\r\n")
    for peer in peers:
        peer.say(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    step = courier.loop._step
    courier.loop._step = lambda task, value: (order.append(task.urgent), step(task, value))
    courier.pass_time(0.0)
    assert True in order and False not in order[: order.index(True)]


def test_a_drain_empties_the_courier_and_resume_ends_it(courier):
    idle = client(courier.loop, courier.listen)
    idle.say(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    idle.wait(b"\r\n\r\n")
    courier.endpoint.sock.close()  # nothing can be delivered
    assert courier.post("waits") == b"202"
    assert courier.call("quiesce", "POST")[1]["step"] == "unready" and courier.ready() == 503
    assert courier.post("still") == b"202", "clients that do not know of the drain yet are served"
    courier.pass_time(shutdown_steps.UNREADY_MS)
    idle.wait_end()
    peer = client(courier.loop, courier.listen)
    peer.say(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    assert b"503" in peer.wait_end(), "and its connection is closed"
    courier.pass_time(shutdown_steps.DRAIN_ACCEPT_MS - shutdown_steps.UNREADY_MS)
    assert courier.post("refused") == b"503" and set(courier.runtime.facade.texts)
    silent = client(courier.loop, courier.listen)
    courier.pass_time(0.0)
    courier.pass_time(shutdown_steps.DRAIN_HAND_BACK_MS - shutdown_steps.DRAIN_ACCEPT_MS)
    silent.wait_end()
    spin(courier.loop, lambda: courier.pass_time(20.0) or not courier.runtime.facade.texts)
    assert (
        courier.notice()[0] == {"ref": "waits", "result": "bounced"}
        and courier.stats()["declined"]["notice"] == 3
    )
    assert courier.call("quiesce", "POST")[1] == {"quiesced": True, "step": "empty", "held": 0, "clients": 0}
    courier.pass_time(60_000.0)
    assert courier.ready() == 503, "it stays drained until it is resumed"
    assert (
        courier.call("resume", "POST")[1]["step"] == "at work"
        and courier.ready() == 200
        and courier.post("b") == b"202"
    )


@pytest.mark.parametrize(
    "passed",
    [0.0, shutdown_steps.UNREADY_MS, shutdown_steps.DRAIN_ACCEPT_MS, shutdown_steps.DRAIN_HAND_BACK_MS],
)
def test_resume_ends_a_drain_at_any_step(courier, passed):
    courier.call("quiesce", "POST")
    courier.pass_time(passed)
    courier.call("resume", "POST")
    courier.pass_time(5000.0)
    peer = client(courier.loop, courier.listen)
    for _ in range(2):
        peer.say(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b" 200 " in peer.wait(b"\r\n\r\n")
    assert courier.post("a") == b"202"


def test_a_once_only_message_that_may_have_run_is_not_nacked_by_a_drain(courier):
    products = courier.runtime.facade.decisions.products
    products[2] = replace(products[2], sla=10000.0)  # so that the call times out only after the hand-back
    courier.post("once", "once")
    peer = courier.endpoint.meet()
    peer.wait(b"\xfe\xfe\xfe")
    courier.call("quiesce", "POST")
    courier.pass_time(shutdown_steps.UNREADY_MS)
    courier.pass_time(shutdown_steps.DRAIN_HAND_BACK_MS)
    courier.pass_time(20.0)
    assert courier.stats()["outstanding"] == 1 and not peer.hear()


def test_the_steps_of_a_stop_and_of_a_drain():
    """They depend on the time since the request and on the work in progress."""
    stop, idle = shutdown_steps.StepSequence(shutdown_steps.STOP_STEPS, 100.0), frozenset()
    assert (
        stop.step_at(100.0 + shutdown_steps.UNREADY_MS - 1.0, idle).name == "unready"
        and stop.step_at(100.0 + shutdown_steps.UNREADY_MS, idle) is None
    )
    stop, work = (
        shutdown_steps.StepSequence(shutdown_steps.STOP_STEPS, 0.0),
        frozenset({"clients", "texts", "calls"}),
    )
    names = [
        stop.step_at(at, work).name
        for at in (0.0, 600.0, shutdown_steps.LAST_CALL_MS, shutdown_steps.LAST_ACCEPT_MS)
    ]
    assert (
        names == ["unready", "finishing", "calling no more", "closing"]
        and stop.step_at(shutdown_steps.STOP_LIMIT_MS, work) is None
    )
    drain = shutdown_steps.StepSequence(shutdown_steps.DRAIN_STEPS, 0.0)
    assert [
        drain.step_at(at, work).hands_back
        for at in (0.0, shutdown_steps.DRAIN_ACCEPT_MS, shutdown_steps.DRAIN_HAND_BACK_MS, 1e9)
    ] == [
        False,
        False,
        True,
        True,
    ]
    assert (
        shutdown_steps.StepSequence(shutdown_steps.DRAIN_STEPS, 0.0)
        .step_at(shutdown_steps.DRAIN_ACCEPT_MS, idle)
        .name
        == "empty"
        and shutdown_steps.DRAIN_HAND_BACK_MS < 4000.0 - 500.0
    )


def test_an_admin_address_in_use_is_an_error(courier):
    host, _, port = courier.listen.rpartition(":")
    with pytest.raises(OSError), socket.socket():
        build(
            replace(courier.configurations[0], listen=free_address(), admin=courier.listen),
            courier.loop,
            courier.signal_reader(),
            courier.again,
        )


def test_a_quiesced_courier_still_stops_on_sigterm(courier):
    import os
    import signal

    courier.call("quiesce", "POST")
    courier.pass_time(shutdown_steps.UNREADY_MS)
    os.kill(os.getpid(), signal.SIGTERM)
    courier.pass_time(0.0)
    assert courier.call("resume", "POST")[1]["step"] == "stopping" and courier.ready() == 503
    for _ in range(40):
        courier.pass_time(100.0)
    assert not courier.loop.running and isinstance(courier.loop.now, Clock)


def test_a_courier_imports_neither_asyncio_nor_ssl():
    """loguru imports them; they take a quarter of a courier's memory, and two couriers run side by side in
    an upgrade.
    """
    import subprocess
    import sys

    script = (
        "import sys; from calicopin.lifecycle.log_import import load_logging; load_logging(); "
        "import calicopin.lifecycle.start, calicopin.handover.sender;"
        "assert not {'ssl', 'asyncio', 'subprocess', 'concurrent'} & set(sys.modules), 'read in';"
        "from loguru import logger; logger.info('said'); import asyncio; asyncio.run(asyncio.sleep(0))"
    )
    completed = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True)
    assert completed.returncode == 0 and "said" in completed.stderr, completed.stderr
