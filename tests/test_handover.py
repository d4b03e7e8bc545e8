"""A new version under load: two real processes on loopback, one listening socket, one folder.

The whole sweep of kills: CALICOPIN_SWEEP=all python -m pytest -q tests/test_handover.py
"""

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest
from helper import free_address, terms

from calicopin.handover import state
from calicopin.handover.meeting import HandoverError, Talk

ROOT = os.path.join(os.path.dirname(__file__), "..")
DRIVER = """
import os, signal, socket, sys
from calicopin import system
from calicopin.lifecycle.signals import SignalReader
signal_reader = SignalReader()
from calicopin import send_guard
from calicopin.handover import giver, meeting, state, taker
if sys.argv[1] == "forgets-waits":
    whole = state.written
    def forgetful(facade, calls):
        told = whole(facade, calls)
        for route in (route for dest in told["dests"] for route in dest.get("routes", ())):
            for name in ("pause", "tokens", "mode"):
                del route[name]
        return told
    giver.written = forgetful
if sys.argv[1] == "forgets-drains":
    send_guard.SendGuard.may_call = lambda *_: True  # it would hold the call back
    real = giver.Giver.told
    giver.Giver.told = lambda self, flights: real(self, flights) | dict(drained=None)
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
for name in ("lock", "read", "create", "write", "replace", "close", "cut"):
    watch(system.System, name, True)
for name in ("send_fds", "recv_fds"):
    watch(socket, name)
for name in ("say", "hear"):
    watch(meeting.Talk, name)
def arm(owner, name):
    real = getattr(owner, name)
    def call(*args):
        global armed
        armed = True
        return real(*args)
    setattr(owner, name, call)
def disarm(real=giver.Giver.__init__):
    def begin(*args):
        global armed
        armed = False
        real(*args)
    return begin
giver.Giver.__init__ = disarm()  # the handover is over: a kill from here on is any crash
# a broken variant counts its steps and is never killed
arm(giver.Giver, "fit") if role == "old" else arm(taker, "ask")
system.System.again = staticmethod(lambda: os.execv(sys.executable, [sys.executable, "-m", "calicopin"]))
sys.argv = sys.argv[:1]
from calicopin.lifecycle.start import main
sys.exit(main(signal_reader))
"""


def serve(listener, talk):
    """A stand-in: each connection on a thread of its own."""

    def accept():
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=talk, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


def requests(sock):
    """(head, body) of one request after the other, until the other side is gone."""
    data = b""
    while True:
        while b"\r\n\r\n" not in data:
            more = sock.recv(65536)
            if not more:
                return
            data += more
        head, _, data = data.partition(b"\r\n\r\n")
        fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
        size = int(fields.get(b"content-length", 0))
        while len(data) < size:
            data += sock.recv(65536)
        body, data = data[:size], data[size:]
        yield head.split(b" ")[1].decode(), fields, body


class Platform:
    """The platform, one endpoint of destination 7, and couriers that are started on one inherited socket."""

    def __init__(self, folder):
        self.folder, self.release, self.wait = folder, threading.Event(), 0
        self.door, self.agent = (socket.create_server(("127.0.0.1", 0)) for _ in range(2))
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.heard, self.delivered, self.notices, self.watches, self.connections = [], [], [], 0, 0
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        serve(self.door, self.endpoint)
        serve(self.agent, self.talk)
        self.running = []
        for name in ("state", "tmp"):
            (folder / name).mkdir()

    def endpoint(self, sock):
        self.connections += 1
        try:
            for _, fields, _ in requests(sock):
                ident = fields[b"x-request-id"].decode()
                self.heard.append(ident)
                if ident.startswith("hold"):
                    self.release.wait(20.0)
                if ident.startswith("wait"):
                    sock.sendall(b"HTTP/1.1 429 X\r\nX-Retry-In-Ms: 5000\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.delivered.append(ident)
                sock.sendall(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
        except OSError:
            pass

    def talk(self, sock):
        try:
            for target, _, body in requests(sock):
                if target == "/v1/outcomes":
                    self.notices += [json.loads(line) for line in body.splitlines()]
                    sock.sendall(b"HTTP/1.1 204 X\r\n\r\n")
                else:
                    self.watches += 1
                    answer = json.dumps(self.known()).encode()
                    if "index" in target:
                        time.sleep(2.0)  # nothing new
                        answer = b'{"version": 4, "full": false, "servers": []}'
                    sock.sendall(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(answer) + answer)
        except OSError:
            pass

    def known(self):
        return {
            "version": 4,
            "full": True,
            "servers": [
                {
                    "id": "s-1",
                    "addr": "127.0.0.1:%d" % self.door.getsockname()[1],
                    "zone": "a",
                    "kind": "one",
                    "cell": 7,
                    "state": "active",
                }
            ],
        }

    def start(self, role=None, at=0, **env):
        """A process, with its admin address; killed at a step of the handover where `role` is told."""
        config = dict(
            name="n0",
            listen=self.address,
            discovery="127.0.0.1:%d" % self.agent.getsockname()[1],
            seed="5",
            known=self.known(),
            limits=dict(sockets=256, disk_mb=3),
            settings=terms(),
        )
        (self.folder / "config.json").write_text(json.dumps(config))
        admin = free_address()
        env = {
            **os.environ,
            "LB_CONFIG": str(self.folder / "config.json"),
            "LB_STATE": str(self.folder / "state"),
            "LB_ADMIN_ADDR": admin,
            "TMPDIR": str(self.folder / "tmp"),
            "LB_PASSED_SOCKET": str(self.listener.fileno()),
            "PYTHONPATH": ROOT,
            **env,
        }
        order = [sys.executable, "-c", DRIVER, role, str(at)] if role else [sys.executable, "-m", "calicopin"]
        process = subprocess.Popen(
            order,
            env=env,
            cwd=self.folder,
            pass_fds=(self.listener.fileno(),),
            stderr=subprocess.PIPE,
            text=True,
        )
        process.admin, process.lines = admin, []
        threading.Thread(target=lambda: process.lines.extend(process.stderr), daemon=True).start()
        self.running.append(process)
        return process

    def call(self, process, path, method="GET"):
        """The answer's body, or None where there is no yes."""
        line = http.client.HTTPConnection(process.admin, timeout=3.0)
        try:
            line.request(method, f"/admin/{path}")
            answer = line.getresponse()
            return json.loads(answer.read()) if answer.status == 200 else None
        except (OSError, http.client.HTTPException):
            return None
        finally:
            line.close()

    def up(self, *processes, patience=15.0):
        """The first of them that says yes."""
        until = time.monotonic() + patience
        while time.monotonic() < until:
            for process in processes:
                if process.poll() is None and self.call(process, "health"):
                    return process
            time.sleep(0.02)
        raise AssertionError(f"nobody came up: {[process.lines[-5:] for process in processes]}")

    def client(self):
        return http.client.HTTPConnection(self.address, timeout=5.0)

    def post(self, ident, product="notice", line=None):
        line = line or self.client()
        line.request(
            "POST", f"/{product}", b"xyz", {"X-Request-ID": ident, "X-Timeout": "15", "X-Envelope": "dest=7"}
        )
        answer = line.getresponse()
        answer.read()
        return answer.status

    def answered(self):
        """A client whose connection ends unanswered comes again."""
        try:
            return self.post("after") in (202, 409)
        except (OSError, http.client.HTTPException):
            return False

    def until(self, done, patience=15.0):
        end = time.monotonic() + patience
        while not done():
            assert time.monotonic() < end, (
                self.heard,
                self.delivered,
                self.notices,
                [process.lines[-8:] for process in self.running],
            )
            time.sleep(0.02)

    def end(self):
        for process in self.running:
            if process.poll() is None:
                process.kill()
            process.wait()
        for sock in (self.door, self.agent, self.listener):
            sock.close()


@pytest.fixture
def platform(tmp_path):
    stand = Platform(tmp_path)
    yield stand
    stand.release.set()
    stand.end()


def test_a_new_version_goes_on_where_the_old_one_was(platform):
    old = platform.up(platform.start())
    idle, half = platform.client(), socket.create_connection(platform.listener.getsockname())
    assert (
        platform.post("first", line=idle) == 202
        and platform.post("hold-1", "once") == 202
        and platform.post("hold-once", "once") == 202
    )
    half.sendall(
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
    half.sendall(b"cd")
    assert b" 202 " in half.recv(4096).split(b"\r\n")[0] + b" "
    platform.until(lambda: "half" in platform.delivered)
    assert platform.connections == connections, "idle connections to the endpoint came over too"
    assert platform.post("second", line=idle) == 202 and platform.post("hold-1") == 409, (
        "a connection and an id that both know"
    )
    platform.release.set()
    platform.until(
        lambda: sorted(platform.delivered) == ["first", "half", "hold-1", "hold-once", "second", "warm"]
    )
    platform.until(lambda: platform.call(new, "stats")["outstanding"] == 0)
    told = platform.call(new, "stats")
    assert told["succeeded"] == {"notice": 2, "order": 0, "once": 2} and told["forwards"] == 2, (
        "it counts from 0"
    )
    assert not platform.notices and sorted(platform.heard) == sorted(platform.delivered)


def test_a_told_wait_binds_across_both_and_a_second_upgrade_works(platform):
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


def test_broken_variants_are_seen(platform):
    """What the tests around this hold would not hold if waits or drains stayed behind. The second call has to
    come within the wait: one that came behind it showed nothing.
    """
    old = platform.up(platform.start("forgets-waits"))
    assert platform.post("wait-1") == 202
    platform.until(lambda: platform.heard == ["wait-1"])
    told = time.monotonic()
    platform.up(platform.start("forgets-drains"))
    old.send_signal(signal.SIGTERM)
    platform.until(lambda: len(platform.heard) > 1)
    assert time.monotonic() < told + 4.9, "the wait was told as 5 s"
    drained = platform.running[-1]
    platform.call(drained, "quiesce", "POST")
    new = platform.up(platform.start())
    assert platform.call(new, "resume", "POST")["quiesced"] is False and not any(
        "resumed" in line for line in new.lines
    )


def test_a_drain_goes_on_in_the_new_version(platform):
    old = platform.up(platform.start())
    platform.call(old, "quiesce", "POST")
    new = platform.up(platform.start())
    assert platform.call(old, "resume", "POST") is None, "the old one says no: all was handed over"
    assert (
        platform.call(new, "quiesce", "POST")["quiesced"] is True
        and platform.call(new, "resume", "POST")["quiesced"] is False
    )
    assert platform.post("a") == 202


@pytest.mark.parametrize("said", [b"calicopin 999\n", b"x" * 5000, b"", b"calicopin 1\n"])
def test_a_new_version_that_cannot_go_on_changes_nothing_for_the_old(platform, said):
    """Another form, nonsense, silence, or all of it heard and then death before it was ready."""
    from calicopin.handover.meeting import Place

    old = platform.up(platform.start())
    assert platform.post("hold-1") == 202
    platform.until(lambda: "hold-1" in platform.heard)  # a call that has not begun is not handed over
    sock = Place(str(platform.folder / "tmp"), str(platform.folder / "state")).visit()
    sock.sendall(said)
    if said.endswith(b" 1\n"):
        told, _ = Talk(sock, 5.0).hear()
        assert told["form"] == state.FORM and [call["texts"] for call in told["calls"]] == [["hold-1"]]
    sock.close()
    platform.until(
        lambda: (
            any("refused" in line or "given nothing" in line or "takes nothing" in line for line in old.lines)
            or not said
        )
    )
    assert platform.post("b") == 202
    platform.release.set()
    platform.until(lambda: sorted(platform.delivered) == ["b", "hold-1"])


def test_a_new_version_killed_after_the_handover_leaves_the_old_one_to_begin_again(platform):
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


@pytest.mark.parametrize("word", ["x", "99", "0", str(2**70)])
def test_a_descriptor_that_is_none_is_a_plain_refusal(platform, word):
    process = platform.start(LB_PASSED_SOCKET=word)
    assert process.wait(15.0) == 2
    platform.until(lambda: process.lines)
    assert "LB_PASSED_SOCKET" in process.lines[0] and not any("Traceback" in line for line in process.lines)


def sweep(role, steps, sample):
    if os.environ.get("CALICOPIN_SWEEP") == "all":
        return range(1, steps)
    return sorted(random.Random(f"{role} 7").sample(range(1, steps), sample))


@pytest.mark.parametrize(
    "role, at", [("old", at) for at in sweep("old", 44, 4)] + [("new", at) for at in sweep("new", 40, 4)]
)
def test_a_kill_at_any_step_of_a_handover_loses_and_doubles_nothing(platform, role, at):
    """Whichever lives serves on: what was accepted ends once, and what must not run twice does not."""
    old = platform.up(platform.start(*(("old", at) if role == "old" else ())))
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
    new = platform.start(*(("new", at) if role == "new" else ()))
    victim, other = (old, new) if role == "old" else (new, old)
    platform.until(lambda: victim.poll() is not None or platform.call(new, "health"))
    platform.until(lambda: not (role == "old" and victim.poll() is None) or platform.call(new, "health"))
    if victim.poll() is None:  # the handover has fewer steps
        old.send_signal(signal.SIGTERM)
        other = new
    platform.up(other)
    platform.until(platform.answered)
    platform.release.set()
    platform.until(lambda: (platform.call(other, "stats") or {}).get("outstanding") == 0)
    dead = [notice["ref"] for notice in platform.notices]
    ended = set(platform.delivered) | set(dead)
    assert (
        ended == {*accepted, "after"}
        and platform.heard.count("hold-once") == platform.heard.count("late-once") == 1
    )
    assert len(dead) == len(set(dead)) and "after" in platform.delivered


def test_a_frame_that_cannot_be_read_is_a_value_and_its_descriptors_are_closed():
    a, b = socket.socketpair()
    talk = Talk(b, 1.0)
    for said in (b"\xff\xff\xff\xff", b"\x03\x00\x00\x00{{{"):
        a.sendall(said)
        with pytest.raises(HandoverError):
            talk.hear()
        talk.data.clear()
    Talk(a, 1.0).say({"fds": 2}, [a.fileno()])
    with pytest.raises(HandoverError):
        talk.hear()
    talk.close()
    a.close()


def test_an_operators_file_without_an_agent_hands_over_too(platform):
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
address = "127.0.0.1:{platform.door.getsockname()[1]}"
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
