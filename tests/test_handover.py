"""Handovers under load: two real processes on loopback with one listening socket and one folder.

A sample of the kill steps is run; with CALICOPIN_SWEEP=all in the environment, all of them.
"""

import os
import random
import signal
import socket
import time

import pytest
from platform_helper import Platform

from calicopin.handover import state
from calicopin.handover.channel import Channel, HandoverError

DRIVER = """
import os, signal, socket, sys
from calicopin import system
from calicopin.lifecycle.signals import SignalReader
signal_reader = SignalReader()
from calicopin import send_guard
from calicopin.handover import channel, receiver, sender, state
if sys.argv[1] == "loses-waits":
    original = state.snapshot
    def without_waits(facade, calls):
        snapshot = original(facade, calls)
        for route in (route for dest in snapshot["dests"] for route in dest.get("routes", ())):
            for name in ("pause", "tokens", "mode"):
                del route[name]
        return snapshot
    sender.snapshot = without_waits
if sys.argv[1] == "loses-drains":
    send_guard.SendGuard.may_call = lambda *_: True  # else the guard would delay the call
    real = sender.HandoverSender.snapshot
    sender.HandoverSender.snapshot = lambda self, calls: real(self, calls) | dict(drained=None)
role, at = sys.argv[1], int(sys.argv[2])
count, armed = 0, False
def step():
    global count
    count += armed
    if armed and count == at:
        os.kill(os.getpid(), signal.SIGKILL)
def watch(owner, name, static=False):
    real = getattr(owner, name)
    def call(*args, **more):
        step()
        out = real(*args, **more)
        step()
        return out
    setattr(owner, name, staticmethod(call) if static else call)
for name in ("lock", "read", "create", "write", "replace", "close", "truncate"):
    watch(system.System, name, True)
for name in ("send_fds", "recv_fds"):
    watch(socket, name)
for name in ("send", "receive"):
    watch(channel.Channel, name)
def arm(owner, name):
    real = getattr(owner, name)
    def call(*args):
        global armed
        armed = True
        return real(*args)
    setattr(owner, name, call)
def disarm(real=sender.HandoverSender.__init__):
    def begin(*args):
        global armed
        armed = False
        real(*args)
    return begin
# the handover is complete: a kill from here on is an ordinary crash
sender.HandoverSender.__init__ = disarm()
# for the other roles the steps are counted and no kill follows
arm(sender.HandoverSender, "accepts") if role == "old" else arm(receiver, "request_handover")
system.System.restart_process = staticmethod(
    lambda: os.execv(sys.executable, [sys.executable, "-m", "calicopin"])
)
sys.argv = sys.argv[:1]
from calicopin.lifecycle.start import main
sys.exit(main(signal_reader))
"""


@pytest.fixture
def platform(tmp_path):
    test_platform = Platform(tmp_path)
    yield test_platform
    test_platform.release.set()
    test_platform.end()


def test_a_new_version_continues_calls_and_connections(platform):
    old = platform.up(platform.start())
    idle, partial = platform.client(), socket.create_connection(platform.listener.getsockname())
    assert (
        platform.post("first", connection=idle) == 202
        and platform.post("hold-1", "once") == 202
        and platform.post("hold-once", "once") == 202
    )
    partial.sendall(
        b"POST /notice HTTP/1.1\r\nHost: x\r\nX-Request-ID: half\r\nX-Timeout: 15\r\nX-Envelope: dest=7\r\n"
        b"Content-Length: 4\r\n\r\nab"
    )
    platform.until(lambda: platform.heard.count("hold-1") and platform.heard.count("hold-once"))
    assert platform.post("warm") == 202
    platform.until(
        lambda: (
            platform.delivered == ["first", "warm"]
            and platform.call(old, "stats")["succeeded"]["notice"] == 2
        )
    )
    connections = platform.connections
    new = platform.up(platform.start())
    old.send_signal(signal.SIGTERM)
    assert old.wait(5.0) == 0 and new.poll() is None
    partial.sendall(b"cd")
    assert b" 202 " in partial.recv(4096).split(b"\r\n")[0] + b" "
    platform.until(lambda: "half" in platform.delivered)
    assert platform.connections == connections, "idle connections to the endpoint were handed over"
    assert platform.post("second", connection=idle) == 202 and platform.post("hold-1") == 409, (
        "the connection and the id were handed over"
    )
    platform.release.set()
    platform.until(
        lambda: sorted(platform.delivered) == ["first", "half", "hold-1", "hold-once", "second", "warm"]
    )
    platform.until(lambda: platform.call(new, "stats")["outstanding"] == 0)
    stats = platform.call(new, "stats")
    assert stats["succeeded"] == {"notice": 2, "order": 0, "once": 2} and stats["forwards"] == 2, (
        "counts start from 0"
    )
    assert not platform.notices and sorted(platform.heard) == sorted(platform.delivered)


def test_a_wait_applies_across_two_upgrades(platform):
    old = platform.up(platform.start())
    assert platform.post("wait-1") == 202
    platform.until(lambda: platform.heard == ["wait-1"])
    assert platform.post("behind") == 202
    platform.call(old, "quiesce", "POST")
    assert platform.call(old, "resume", "POST")["quiesced"] is False
    for _ in range(2):
        new = platform.up(platform.start())
        old.send_signal(signal.SIGTERM)
        assert old.wait(5.0) == 0
        old = new
    assert platform.post("behind-2") == 202 and platform.heard == ["wait-1"]
    assert platform.call(new, "stats")["outstanding"] == 3


def test_versions_that_lose_waits_or_drains_are_detected(platform):
    """Checks that the other tests here would fail if waits or drains were not handed over. The second call
    has to come within the wait, as one after it would show nothing.
    """
    old = platform.up(platform.start(DRIVER, "loses-waits", "0"))
    assert platform.post("wait-1") == 202
    platform.until(lambda: platform.heard == ["wait-1"])
    wait_told_at = time.monotonic()
    platform.up(platform.start(DRIVER, "loses-drains", "0"))
    old.send_signal(signal.SIGTERM)
    platform.until(lambda: len(platform.heard) > 1)
    assert time.monotonic() < wait_told_at + 4.9, "the endpoint asked for a wait of 5 s"
    drained = platform.processes[-1]
    platform.call(drained, "quiesce", "POST")
    new = platform.up(platform.start())
    assert platform.call(new, "resume", "POST")["quiesced"] is False and not any(
        "resumed" in line for line in new.lines
    )


def test_a_drain_continues_in_the_new_version(platform):
    old = platform.up(platform.start())
    platform.call(old, "quiesce", "POST")
    new = platform.up(platform.start())
    assert platform.call(old, "resume", "POST") is None, "the old process has retired"
    assert (
        platform.call(new, "quiesce", "POST")["quiesced"] is True
        and platform.call(new, "resume", "POST")["quiesced"] is False
    )
    assert platform.post("a") == 202


@pytest.mark.parametrize("hello", [b"calicopin 999\n", b"x" * 5000, b"", b"calicopin 1\n"])
def test_a_failed_handover_changes_nothing_for_the_old_version(platform, hello):
    """The successor sends another form, garbage or nothing, or dies after receiving the state and before it
    is ready.
    """
    from calicopin.handover.channel import HandoverSocket

    old = platform.up(platform.start())
    assert platform.post("hold-1") == 202
    platform.until(lambda: "hold-1" in platform.heard)  # a call that has not begun is not handed over
    sock = HandoverSocket(str(platform.folder / "tmp"), str(platform.folder / "state")).connect()
    sock.sendall(hello)
    if hello.endswith(b" 1\n"):
        state_sent, _ = Channel(sock, 5.0).receive()
        assert state_sent["form"] == state.FORM and [call["texts"] for call in state_sent["calls"]] == [
            ["hold-1"]
        ]
    sock.close()
    platform.until(
        lambda: (
            any("handover to a successor refused" in line or "handover refused" in line for line in old.lines)
            or not hello
        )
    )
    assert platform.post("b") == 202
    platform.release.set()
    platform.until(lambda: sorted(platform.delivered) == ["b", "hold-1"])


def test_the_old_version_restarts_if_the_new_one_is_killed(platform):
    old = platform.up(platform.start())
    platform.release.clear()
    assert platform.post("hold-once", "once") == 202 and platform.post("hold-1") == 202
    platform.until(lambda: len(platform.heard) == 2)
    new = platform.up(platform.start())
    new.kill()
    platform.until(
        lambda: (
            platform.call(old, "stats") is not None
            and platform.notices == [{"ref": "hold-once", "result": "dead"}]
        )
    )
    platform.release.set()
    assert platform.post("later") == 202
    platform.until(
        lambda: "later" in platform.delivered and (platform.call(old, "stats") or {}).get("outstanding") == 0
    )
    assert platform.heard.count("hold-once") == 1


@pytest.mark.parametrize("passed_socket", ["x", "99", "0", str(2**70)])
def test_an_invalid_descriptor_gives_a_plain_error(platform, passed_socket):
    process = platform.start(LB_PASSED_SOCKET=passed_socket)
    assert process.wait(15.0) == 2
    platform.until(lambda: process.lines)
    assert "LB_PASSED_SOCKET" in process.lines[0] and not any("Traceback" in line for line in process.lines)


def sweep(role, steps, sample_size):
    if os.environ.get("CALICOPIN_SWEEP") == "all":
        return range(1, steps)
    return sorted(random.Random(f"{role} 7").sample(range(1, steps), sample_size))


@pytest.mark.parametrize(
    "role, at", [("old", at) for at in sweep("old", 44, 4)] + [("new", at) for at in sweep("new", 40, 4)]
)
def test_a_kill_at_any_step_of_a_handover_loses_and_duplicates_nothing(platform, role, at):
    """The surviving process goes on serving: each accepted text ends once, and once-only texts are not
    submitted twice.
    """
    old = platform.up(platform.start(*((DRIVER, "old", str(at)) if role == "old" else ())))
    accepted = [
        ident
        for ident, product in (
            ("hold-1", "notice"),
            ("hold-once", "once"),
            ("plain", "order"),
            ("late-once", "once"),
        )
        if platform.post(ident, product) == 202
    ]
    platform.until(lambda: len(platform.heard) == 4)
    new = platform.start(*((DRIVER, "new", str(at)) if role == "new" else ()))
    victim, survivor = (old, new) if role == "old" else (new, old)
    platform.until(lambda: victim.poll() is not None or platform.call(new, "health"))
    platform.until(lambda: not (role == "old" and victim.poll() is None) or platform.call(new, "health"))
    if victim.poll() is None:  # the handover has fewer steps
        old.send_signal(signal.SIGTERM)
        survivor = new
    platform.up(survivor)
    platform.until(platform.accepts_messages)
    platform.release.set()
    platform.until(lambda: (platform.call(survivor, "stats") or {}).get("outstanding") == 0)
    dead_refs = [notice["ref"] for notice in platform.notices]
    ended = set(platform.delivered) | set(dead_refs)
    assert (
        ended == {*accepted, "after"}
        and platform.heard.count("hold-once") == platform.heard.count("late-once") == 1
    )
    assert len(dead_refs) == len(set(dead_refs)) and "after" in platform.delivered


def test_an_unreadable_frame_raises_and_its_descriptors_are_closed():
    sender, receiver = socket.socketpair()
    channel = Channel(receiver, 1.0)
    for data in (b"\xff\xff\xff\xff", b"\x03\x00\x00\x00{{{"):
        sender.sendall(data)
        with pytest.raises(HandoverError):
            channel.receive()
        channel.buffer.clear()
    Channel(sender, 1.0).send({"fds": 2}, [sender.fileno()])
    with pytest.raises(HandoverError):
        channel.receive()
    channel.close()
    sender.close()


def test_a_handover_with_an_operators_file_and_no_agent(platform):
    (platform.folder / "c.toml").write_text(f"""
version = 1
[courier]
listen = "{platform.address}"
state = "{platform.folder}/state"
[[product]]
name = "once"
repeat = "once-only"
sla = "4s"
validity = "15s"
[[kind]]
name = "any"
[[partner]]
name = "shop"
destination = 7
kind = "any"
[[partner.endpoint]]
address = "127.0.0.1:{platform.endpoint_listener.getsockname()[1]}"
""")
    config = dict(LB_CONFIG=str(platform.folder / "c.toml"))
    old = platform.up(platform.start(**config))
    assert platform.post("hold-1", "once") == 202
    platform.until(lambda: platform.heard == ["hold-1"])
    new = platform.up(platform.start(**config))
    old.send_signal(signal.SIGTERM)
    assert old.wait(5.0) == 0
    platform.release.set()
    platform.until(lambda: (platform.call(new, "stats") or {}).get("succeeded") == {"once": 1})
