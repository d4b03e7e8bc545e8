"""Stand-ins for the cases 6 to 10: clients, endpoints, the platform and the courier's process.

All addresses are loopback addresses with free ports. Times are seconds since the start of the case.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from contextlib import suppress
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, UNUSABLE = 0, 1, 2
CLIENT_PATIENCE_S = 0.4  # a client waits so long for the answer to a message
WATCH_CONTINUES_S = 0.2


class UnusableError(Exception):
    """The case could not run."""


def trouble():
    """Whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(host="127.0.0.1"):
    """A port that is free now."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((host, 0))
        return probe.getsockname()[1]


def settings(grades, kinds=("gateway",), bundles=(1,), senders=2, **changes):
    """The settings of a small deployment, in the form of the simulator's first message."""
    values = {
        "ceilings": {
            "cancel": True,
            "connectTimeout": 1.5,
            "idleClose": 10.0,
            "maxRetryAfter": 2.0,
            "mayDuplicate": False,
            "mostHeld": 330,
            "peerMessages": False,
            "probes": False,
            "retryAfter": True,
            "streamsPerConn": 1,
            "tryLimit": 12,
        },
        "clientHabits": {"marksRetry": True},
        "countedBy": "request",
        "discovery": "push",
        "domainType": "deliver",
        "familyInfo": {
            "bundleMax": list(bundles),
            "fades": "halving",
            "feeByZone": [0.0],
            "ownLimits": [False] * len(kinds),
            "turnedAwayPrice": 0.03,
            "workers": 25,
        },
        "grades": grades,
        "groupSize": senders,
        "kinds": list(kinds),
        "loadInfo": {"columns": ["x0", "x1"], "source": "piggyback"},
        "locality": 0,
        "orgs": [],
        "prices": {"handshake": 0.02, "lateFail": 0.03, "waste": 0.08},
        "rules": {
            "answerSlack": 0.02,
            "askWithin": 10.0,
            "cold": 11.0,
            "coldFrom": 0.16,
            "fall": 3.0,
            "stopSendingWithin": 0.5,
            "tipMultiple": 2.5,
        },
        "slotNo": 1,
        "stages": ["partners"],
        "tick": 0.005,
        "tier": 0,
        "weights": "silent",
        "zones": ["main"],
    }
    for section, entries in changes.items():
        values[section] = {**values[section], **entries} if isinstance(entries, dict) else entries
    return values


def grade(name, idempotency, give_up, aim=4.0, **other):
    """One class of message."""
    values = {
        "aim": aim,
        "giveUp": give_up,
        "group": "all",
        "idempotency": idempotency,
        "lateWorth": 0.3,
        "name": name,
        "points": 1.0,
        "stream": False,
    }
    if idempotency == "idempotency_key":
        values["keyTtl"] = 15.0
    return values | other


class Record:
    """What was sent, answered and run, in the order in which it happened; written to `record.txt`."""

    def __init__(self, path):
        self.path, self.began, self.lines = path, time.monotonic(), []

    def now(self):
        """Seconds since the start of the case."""
        return time.monotonic() - self.began

    def note(self, event, **fields):
        """Adds one line."""
        at = self.now()
        self.lines.append(
            f"{at:8.3f} {event} " + " ".join(f"{name}={value}" for name, value in fields.items())
        )
        return at

    def save(self):
        """Writes the file."""
        self.path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


async def read_message(reader):
    """(first line, headers, body, time of the first byte) of one HTTP message; None at the end."""
    try:
        begin = await reader.readexactly(1)
        began = time.monotonic()
        head = (begin + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.rstrip("\r\n").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return first, headers, body, began


def response(status, body=b"", *headers):
    """One HTTP/1.1 answer."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def closed_within(reader, seconds):
    """Whether the peer ends its sending within so many seconds."""
    try:
        return not await asyncio.wait_for(reader.read(1), seconds)
    except TimeoutError:
        return False
    except OSError:
        return True


class Endpoint:
    """One endpoint. `arrivals` holds (time of the first byte, time of the last byte, ids, headers)."""

    LIMIT = 1 << 21  # of a head and of what is buffered

    def __init__(self, record, ident, dest, kind="gateway", work=0.05):
        self.record, self.ident, self.dest, self.kind, self.work = record, ident, dest, kind, work
        self.arrivals, self.ran, self.state, self.port, self.server = [], [], "active", 0, None
        self.connections, self.ended = set(), {}  # ended: when each message was delivered

    async def start(self, port=0):
        """Listens on that port, or on a free one."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=self.LIMIT)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def stop(self):
        """The process ends: nobody listens, and its connections are reset."""
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def entry(self):
        """Its entry in discovery's list."""
        return {
            "id": self.ident,
            "addr": f"127.0.0.1:{self.port}",
            "zone": "main",
            "kind": self.kind,
            "cell": self.dest,
            "state": self.state,
            "weight": 1.0,
            "started_ms": 0,
        }

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        with suppress(OSError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                first, headers, body, began = message
                single = "/bulk" not in first
                entries = [] if single else json.loads(body)
                idents = [headers.get("x-request-id", "")] if single else [entry["id"] for entry in entries]
                at = self.record.note(
                    "call",
                    endpoint=self.ident,
                    began=f"{began - self.record.began:.3f}",
                    bytes=len(body),
                    ids=",".join(idents),
                )
                self.arrivals.append((began - self.record.began, at, idents, headers))
                if not await self.answer(idents, single, headers, body, reader, writer):
                    break
        self.connections.discard(writer)
        writer.close()

    async def answer(self, idents, single, headers, body, reader, writer):
        """Runs a call and answers it; returns whether its connection stays open."""
        if await closed_within(reader, self.work):
            self.record.note("given-up", endpoint=self.ident, ids=",".join(idents))
            return False
        return await self.deliver(idents, single, writer)

    async def deliver(self, idents, single, writer, *headers):
        """Answers a call as delivered."""
        self.ran += idents
        for ident in idents:
            self.ended.setdefault(ident, self.record.now())
        states = [{"id": ident, "state": "delivered"} for ident in idents]
        writer.write(response(200, b"" if single else json.dumps(states).encode(), *headers))
        await writer.drain()
        self.record.note("delivered", endpoint=self.ident, ids=",".join(idents))
        return True


class Platform:
    """Discovery's agent and the place of notices.

    `answer_delay` is how late (s) the agent answers calls for the list; while `silent` it answers none.
    """

    def __init__(self, record, endpoints):
        self.record, self.endpoints, self.version, self.changes = record, endpoints, 1, {}
        self.answer_delay, self.silent, self.notices, self.told = 0.0, False, {}, []
        self.changed, self.port, self.noticed_at = asyncio.Condition(), 0, {}

    async def start(self):
        """Listens on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def whole(self):
        """The whole list."""
        listed = [endpoint.entry() for endpoint in self.endpoints if endpoint.state != "left"]
        return {"version": self.version, "full": True, "servers": listed}

    async def change(self, *endpoints):
        """Lists a change of these endpoints."""
        self.version += 1
        for endpoint in endpoints:
            self.changes[self.version, endpoint.ident] = endpoint.entry()
            self.record.note("listed", endpoint=endpoint.ident, state=endpoint.state, version=self.version)
        async with self.changed:
            self.changed.notify_all()

    async def _serve(self, reader, writer):
        with suppress(OSError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                first, _, body, _ = message
                if first.startswith("POST /v1/outcomes"):
                    for line in body.splitlines():
                        notice = json.loads(line)
                        self.notices.setdefault(notice["ref"], []).append(notice["result"])
                        at = self.record.note("notice", id=notice["ref"], result=notice["result"])
                        self.noticed_at.setdefault(notice["ref"], at)
                    writer.write(response(204))
                else:
                    await self._answer_list(first, writer)
                await writer.drain()
        writer.close()

    async def _answer_list(self, first, writer):
        query = parse_qs(urlsplit(first.split()[1]).query)
        known = int(query["index"][0]) if "index" in query else None
        wait = float(query.get("wait", ["0"])[0]) / 1000.0
        if known is not None and known >= self.version and wait:
            with suppress(TimeoutError):
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait_for(lambda: self.version > known), wait)
        while self.silent:
            await asyncio.sleep(0.02)
        if self.answer_delay:
            await asyncio.sleep(self.answer_delay)
        if known is None:
            data = self.whole()
        else:
            entries = [entry for (version, _), entry in self.changes.items() if version > known]
            data = {"version": self.version, "full": False, "servers": entries}
        writer.write(response(200, json.dumps(data).encode()))
        self.told.append((self.record.now(), self.version))
        if known is None or data["servers"]:
            self.record.note("list-written", version=self.version, full=data["full"])


class Client:
    """A client process: sends messages on kept connections and waits `CLIENT_PATIENCE_S` for each answer."""

    def __init__(self, record, port):
        self.record, self.port, self.free, self.answers, self.sent_at = record, port, [], {}, {}
        self.until = {}

    async def ready(self, seconds=20.0):
        """Waits until the courier is ready; returns whether it is."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            with suppress(OSError, TimeoutError):
                if await asyncio.wait_for(self._get_ready(), 1.0):
                    self.record.note("ready")
                    return True
            await asyncio.sleep(0.05)
        return False

    async def _get_ready(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: courier\r\nConnection: close\r\n\r\n")
            answer = await read_message(reader)
            return answer is not None and " 200 " in answer[0] + " "
        finally:
            writer.close()

    async def hand_in(self, product, ident, dest, timeout, body=b"x" * 40, key=None):
        """Hands in one message; returns the status, or None without an answer."""
        head = [
            f"POST /{product} HTTP/1.1",
            "Host: courier",
            f"X-Request-ID: {ident}",
            f"X-Timeout: {timeout:.3f}",
            f"X-Envelope: dest={dest}",
            f"Content-Length: {len(body)}",
        ] + ([f"Idempotency-Key: {key}"] if key else [])
        data = ("\r\n".join(head) + "\r\n\r\n").encode() + body
        self.sent_at[ident] = self.record.note("sent", id=ident, product=product, dest=dest, bytes=len(body))
        self.until[ident] = self.sent_at[ident] + timeout
        status = None
        with suppress(OSError, TimeoutError):
            status = await asyncio.wait_for(self._exchange(data), CLIENT_PATIENCE_S)
        self.answers[ident] = status
        self.record.note("answer", id=ident, status=status)
        return status

    async def _exchange(self, data):
        for _ in range(2):  # once more on a new connection where the courier has closed a resting one
            kept = bool(self.free)
            reader, writer = (
                self.free.pop() if kept else await asyncio.open_connection("127.0.0.1", self.port)
            )
            try:
                writer.write(data)
                answer = await read_message(reader)
            except BaseException:
                writer.close()
                raise
            if answer is not None:
                if answer[1].get("connection", "").lower() == "close":
                    writer.close()
                else:
                    self.free.append((reader, writer))
                return int(answer[0].split()[1])
            writer.close()
            if not kept:
                return None
        return None


class Courier:
    """The courier's process, started by the command of the deploy file."""

    def __init__(self, record, terms, platform, folder, name="n1", variables=None, limits=None, **more):
        self.record, self.folder, self.name, self.process = record, Path(folder), name, None
        self.port, self.variables = free_port(), variables or {}
        self.state = self.folder / f"{name}-state"
        self.state.mkdir()
        (self.folder / f"{name}-tmp").mkdir()
        self.configuration = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{platform.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3} | (limits or {}),
            "known": platform.whole(),
            "settings": terms,
        } | more
        self.log = self.folder / f"{name}.log"

    async def start(self):
        """Starts the process."""
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            command = tomllib.load(file)["run"]
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.configuration), encoding="utf-8")
        variables = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "LB_NAME": self.name,
            "LB_LISTEN": self.configuration["listen"],
            "LB_DISCOVERY": self.configuration["discovery"],
            "LB_STATE": str(self.state),
            "LB_CONFIG": str(path),
            "TMPDIR": str(self.folder / f"{self.name}-tmp"),
        } | self.variables
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=variables, stdout=log, stderr=log
            )
        self.record.note("start", courier=self.name)

    def signal(self, number):
        """Sends the process a signal."""
        self.record.note("signal", courier=self.name, number=signal.Signals(number).name)
        self.process.send_signal(number)

    async def kill(self):
        """Kills the process and waits for its end."""
        if self.process and self.process.returncode is None:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    def log_tail(self, lines=6):
        """The last lines of its log."""
        with suppress(OSError):
            return self.log.read_text(errors="replace").splitlines()[-lines:]
        return []


def run_case(folder, play, limit=115.0):
    """Plays a case and exits: `play(record, temporary folder, couriers)` returns the list of breaks.

    `couriers` is a list to which the case adds each process that it starts.
    """
    record, couriers = Record(Path(folder) / "record.txt"), []
    sys.unraisablehook = lambda _: None  # connections that are still open when the event loop has ended

    async def whole():
        for number in (signal.SIGTERM, signal.SIGINT):  # ends what was started, then exits with 2
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(limit):
                return await play(record, temporary, couriers)
        finally:
            for courier in couriers:
                if courier.process and courier.process.returncode is None:
                    with suppress(ProcessLookupError):
                        courier.process.send_signal(signal.SIGCONT)
                    await courier.kill()

    temporary = tempfile.mkdtemp(prefix="calicopin-review-")
    try:
        breaks = asyncio.run(whole())
        code = BROKEN if breaks else HELD
    except (Exception, asyncio.CancelledError) as fault:  # no verdict
        breaks, code = [f"could not run: {fault!r}"], UNUSABLE
        for courier in couriers:
            breaks += courier.log_tail()
    finally:
        if os.environ.get("KEEP"):
            print(temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    for line in breaks:
        record.note("verdict", text=line)
        print(line)
    record.note("end", code=code, trouble=int(trouble()))
    try:
        record.save()
    except OSError as fault:
        print(f"{record.path} cannot be written: {fault}")
        code = UNUSABLE
    sys.exit(code)
