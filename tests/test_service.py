"""The days in service: the admin address, the ledger, the drain and its steps."""

import json
import socket
from dataclasses import replace

import pytest
from courier_helper import CourierFixture
from helper import Clock, answer, client, free_address, spin

from calicopin.lifecycle import shutdown_steps
from calicopin.lifecycle.start import build


class Service(CourierFixture):
    """A courier with an admin address; its clock stands unless the test moves it."""

    def __init__(self, folder, **other):
        super().__init__(folder, **other)
        self.admin = free_address()
        self.runtime.journal.system.close(self.runtime.journal.file)
        self.kill()
        self.loop = type(self.loop)(now=self.loop.now, system=self.loop.system)
        self.endpoint.loop = self.platform.loop = self.loop
        self.listen = free_address()
        self.posts = [replace(self.posts[0], listen=self.listen, admin=self.admin)]
        self.runtime = build(self.posts[0], self.loop, self.signal_reader(), lambda: self.again())
        self.tell(self.known)

    @staticmethod
    def signal_reader():
        from calicopin.lifecycle.signals import SignalReader

        return SignalReader()

    def call(self, path, method="GET", body=b"", extra=""):
        """(status, body) of one call."""
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
def house(tmp_path):
    return Service(tmp_path)


def test_every_text_ends_under_one_count_and_each_message_written_whole_is_a_forward(house):
    assert [
        house.post(ident, product) for ident, product in (("a", "notice"), ("b", "order"), ("c", "once"))
    ] == [b"202"] * 3
    assert house.post("late", left=0.0) == b"202"
    peers = [house.endpoint.meet() for _ in range(3)]
    for peer in peers:
        heard = peer.wait(b"\xfe\xfe\xfe")
        peer.say(
            answer(200)
            if b"c" != heard.split(b"X-Request-ID: ")[-1][:1] and b" c\r" not in heard
            else answer(500)
        )
    spin(house.loop, lambda: len(house.runtime.facade.texts) == 0)
    house.runtime.current = False  # as before the first list was heard
    assert house.post("d", dest=9) == b"503"
    told = house.stats()
    assert told["succeeded"] == {"notice": 1, "order": 1, "once": 0} and told["aborted"] == {
        "notice": 0,
        "order": 0,
        "once": 1,
    }
    assert told["declined"] == {"notice": 2, "order": 0, "once": 0} and told["forwards"] == 3
    assert (told["outstanding"], told["discovered"], told["ejected"]) == (0, 1, 0)


def test_an_endpoint_in_an_outage_is_told_as_ejected(house):
    for number in range(6):
        house.post(f"t{number}")
    for _ in range(6):
        peer = house.endpoint.meet()
        peer.wait(b"\xfe\xfe\xfe")
        peer.sock.close()
    spin(house.loop, lambda: house.stats()["ejected"] == 1)
    assert house.stats()["outstanding"] == 6 and house.stats()["forwards"] >= 6


@pytest.mark.parametrize(
    "said, status",
    [
        (b"GET /admin/nothing HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (b"POST /admin/stats HTTP/1.1\r\nHost: x\r\n\r\n", 405),
        (b"GET /admin/quiesce HTTP/1.1\r\nHost: x\r\n\r\n", 405),
        (b"nonsense\r\n\r\n", 400),
        (b"POST /admin/quiesce HTTP/1.1\r\nHost: x\r\nContent-Length: 9999\r\n\r\n" + b"x" * 9999, 400),
        (b"POST /notice HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 404),
    ],
)
def test_a_call_that_is_none_is_told_so_and_has_no_effect(house, said, status):
    peer = client(house.loop, house.admin)
    peer.say(said)
    heard = peer.wait_end()
    assert int(heard.split()[1]) == status and b"error" in heard
    assert (
        house.ready() == 200
        and house.call("resume", "POST")[0] == 200
        and house.call("health") == (200, {"serving": True})
    )


def test_callers_that_hold_connections_with_half_a_call_keep_nobody_out(house):
    holders = [client(house.loop, house.admin) for _ in range(60)]
    for peer in holders:
        peer.say(b"GET /admin/st")
    house.pass_time(0.0)
    assert house.call("health")[0] == 200 and house.call("stats")[0] == 200
    assert sum(peer.hear() is not None and not peer.ended for peer in holders) <= 16
    house.pass_time(2001.0)
    for peer in holders:
        peer.wait_end()


def test_operators_are_answered_before_clients_of_the_same_pass(house):
    order = []
    peers = [client(house.loop, house.listen) for _ in range(30)]
    house.pass_time(0.0)
    for peer in peers:
        peer.say(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    caller = client(house.loop, house.admin)
    house.pass_time(0.0)
    caller.say(b"GET /admin/health HTTP/1.1\r\nHost: x\r\n\r\n")
    for peer in peers:
        peer.say(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    step = house.loop._step
    house.loop._step = lambda task, value: (order.append(task.ahead), step(task, value))
    house.pass_time(0.0)
    assert True in order and False not in order[: order.index(True)]


def test_a_drain_empties_the_courier_and_resume_brings_it_back(house):
    idle = client(house.loop, house.listen)
    idle.say(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    idle.wait(b"\r\n\r\n")
    house.endpoint.sock.close()  # nothing can be delivered
    assert house.post("waits") == b"202"
    assert house.call("quiesce", "POST")[1]["step"] == "unready" and house.ready() == 503
    assert house.post("still") == b"202", "clients that have not heard yet are served"
    house.pass_time(shutdown_steps.UNREADY_MS)
    idle.wait_end()
    peer = client(house.loop, house.listen)
    peer.say(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    assert b"503" in peer.wait_end(), "and its connection is given back"
    house.pass_time(shutdown_steps.DRAIN_ACCEPT_MS - shutdown_steps.UNREADY_MS)
    assert house.post("refused") == b"503" and set(house.runtime.facade.texts)
    silent = client(house.loop, house.listen)
    house.pass_time(0.0)
    house.pass_time(shutdown_steps.DRAIN_HAND_BACK_MS - shutdown_steps.DRAIN_ACCEPT_MS)
    silent.wait_end()
    spin(house.loop, lambda: house.pass_time(20.0) or not house.runtime.facade.texts)
    assert (
        house.notice()[0] == {"ref": "waits", "result": "bounced"}
        and house.stats()["declined"]["notice"] == 3
    )
    assert house.call("quiesce", "POST")[1] == {"quiesced": True, "step": "empty", "held": 0, "clients": 0}
    house.pass_time(60_000.0)
    assert house.ready() == 503, "it stays so until it is told otherwise"
    assert (
        house.call("resume", "POST")[1]["step"] == "at work"
        and house.ready() == 200
        and house.post("b") == b"202"
    )


@pytest.mark.parametrize(
    "passed",
    [0.0, shutdown_steps.UNREADY_MS, shutdown_steps.DRAIN_ACCEPT_MS, shutdown_steps.DRAIN_HAND_BACK_MS],
)
def test_a_drain_ends_at_any_moment_with_resume(house, passed):
    house.call("quiesce", "POST")
    house.pass_time(passed)
    house.call("resume", "POST")
    house.pass_time(5000.0)
    peer = client(house.loop, house.listen)
    for _ in range(2):
        peer.say(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert b" 200 " in peer.wait(b"\r\n\r\n")
    assert house.post("a") == b"202"


def test_what_may_have_run_and_must_not_run_twice_is_not_handed_back(house):
    products = house.runtime.facade.module.products
    products[2] = replace(
        products[2], sla=10000.0
    )  # its time-out before any answer: well after all is handed back
    house.post("once", "once")
    peer = house.endpoint.meet()
    peer.wait(b"\xfe\xfe\xfe")
    house.call("quiesce", "POST")
    house.pass_time(shutdown_steps.UNREADY_MS)
    house.pass_time(shutdown_steps.DRAIN_HAND_BACK_MS)
    house.pass_time(20.0)
    assert house.stats()["outstanding"] == 1 and not peer.hear()


def test_the_steps_of_a_stop_and_of_a_drain():
    """By the time that has passed and what is under way."""
    stop, idle = shutdown_steps.StepSequence(shutdown_steps.STOP_STEPS, 100.0), frozenset()
    assert (
        stop.step_at(100.0 + shutdown_steps.UNREADY_MS - 1.0, idle).name == "unready"
        and stop.step_at(100.0 + shutdown_steps.UNREADY_MS, idle) is None
    )
    stop, busy = (
        shutdown_steps.StepSequence(shutdown_steps.STOP_STEPS, 0.0),
        frozenset({"clients", "texts", "calls"}),
    )
    names = [
        stop.step_at(at, busy).name
        for at in (0.0, 600.0, shutdown_steps.LAST_CALL_MS, shutdown_steps.LAST_ACCEPT_MS)
    ]
    assert (
        names == ["unready", "finishing", "calling no more", "closing"]
        and stop.step_at(shutdown_steps.STOP_LIMIT_MS, busy) is None
    )
    drain = shutdown_steps.StepSequence(shutdown_steps.DRAIN_STEPS, 0.0)
    assert [
        drain.step_at(at, busy).hands_back
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


def test_an_address_that_is_taken_or_the_clients_is_a_refusal(house):
    host, _, port = house.listen.rpartition(":")
    with pytest.raises(OSError), socket.socket():
        build(
            replace(house.posts[0], listen=free_address(), admin=house.listen),
            house.loop,
            house.signal_reader(),
            house.again,
        )


def test_a_quiesced_courier_still_heeds_sigterm(house):
    import os
    import signal

    house.call("quiesce", "POST")
    house.pass_time(shutdown_steps.UNREADY_MS)
    os.kill(os.getpid(), signal.SIGTERM)
    house.pass_time(0.0)
    assert house.call("resume", "POST")[1]["step"] == "stopping" and house.ready() == 503
    for _ in range(40):
        house.pass_time(100.0)
    assert not house.loop.running and isinstance(house.loop.now, Clock)


def test_a_courier_is_read_in_without_asyncio_and_ssl():
    """They come with the log's library and are a quarter of the memory of a courier; two of them stand
    side by side in an upgrade.
    """
    import subprocess
    import sys

    script = (
        "import sys; from calicopin.lifecycle.log_import import load_logging; load_logging(); "
        "import calicopin.lifecycle.start, calicopin.handover.giver;"
        "assert not {'ssl', 'asyncio', 'subprocess', 'concurrent'} & set(sys.modules), 'read in';"
        "from loguru import logger; logger.info('said'); import asyncio; asyncio.run(asyncio.sleep(0))"
    )
    done = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True)
    assert done.returncode == 0 and "said" in done.stderr, done.stderr
