"""Stand-ins for a case: partners, the platform, clients, and the courier's processes. Standard library only.

All addresses are on loopback. Times are seconds of the machine's monotonic clock, in records relative to the
start of the run. The stand-ins follow the users' pages: PROTOCOL (calls, notices, list, watch), DEPLOY
(variables, configuration, folder), LATER (SIGHUP) and DAYS (a new version beside the old one).
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
CLIENT_WAIT = 0.4  # a client waits so long for the answer that takes its message on
KILL_AFTER_TERM = 3.7
RESET = struct.pack("ii", 1, 0)


class CannotRunError(Exception):
    """The case could not be played: its result says nothing."""


class Record:
    """What was sent, answered and run, line by line, for `record.txt`."""

    def __init__(self, path):
        self.path, self.began, self.lines = path, time.monotonic(), []

    def now(self):
        """Seconds since the start of the run."""
        return time.monotonic() - self.began

    def add(self, kind, **fields):
        """Adds a line."""
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{self.now():9.3f} {kind} {values}")

    def write(self, summary):
        """Writes the file: the summary, then all lines."""
        self.path.write_text("\n".join([*summary, "", *self.lines, ""]), "utf-8")


def free_port():
    """A port on loopback that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


async def read_message(reader):
    """(first line, headers, body) of a request or an answer; None if the connection ends before its end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.rstrip("\r\n").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return first, headers, body
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None


def answer(status, body=b"", **headers):
    """One complete answer."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def abort(writer):
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()


class Server:
    """A listening address and its open connections; `serve(request, writer)` is asked for each request and
    returns whether the connection stays open.
    """

    def __init__(self, serve):
        self.serve, self.server, self.port, self.writers = serve, None, 0, set()

    async def open(self):
        """Listens on a free port, or again on the former one."""
        self.server = await asyncio.start_server(self._connection, "127.0.0.1", self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        """The address as it stands in lists and configurations."""
        return f"127.0.0.1:{self.port}"

    def accept_no_more(self):
        """Stops listening; open connections stay."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def reset_connections(self):
        """Resets all open connections."""
        for writer in list(self.writers):
            abort(writer)

    def close_connections(self):
        """Closes all open connections."""
        for writer in list(self.writers):
            writer.close()

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if not await self.serve(request, writer, reader):
                    break
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Partner:
    """One destination with some endpoints, all in one condition.

    `usual` is the time of a call in seconds. `behave(idents)` may return another behaviour for a call than
    to deliver it: "hang", "error" or "full".
    """

    def __init__(self, record, number, endpoints, usual, kind, zone, seed):
        self.record, self.number, self.usual, self.kind, self.zone = record, number, usual, kind, zone
        self.rng = random.Random(seed * 1000 + number)
        self.servers = [Server(self._serve(f"s-{number}-{position}")) for position in range(endpoints)]
        self.delivered = {}  # id -> time of its 200
        self.calls = []  # (time, ids, what became of it)

    async def open(self):
        """Listens at all endpoints."""
        for server in self.servers:
            await server.open()

    def entries(self):
        """Its entries in discovery's list."""
        return [
            {
                "id": f"s-{self.number}-{position}",
                "addr": server.address,
                "zone": self.zone,
                "kind": self.kind,
                "cell": self.number,
                "state": "active",
                "weight": 1.0,
                "started_ms": 0,
            }
            for position, server in enumerate(self.servers)
        ]

    def behave(self, idents):
        """How the call with these messages is treated: "deliver", "hang", "error" or "full"."""
        return "deliver"

    def ran(self, ident, reference):
        """A message has taken effect."""

    def failed(self, texts):
        """A call fails; by default it does not run."""

    def _serve(self, endpoint):
        async def serve(request, writer, reader):
            first, headers, body = request
            if first.startswith("POST /inbox/bulk"):
                texts = [(entry["id"], entry.get("key")) for entry in json.loads(body)]
            else:
                texts = [(headers["x-request-id"], headers.get("idempotency-key"))]
            idents, at = [ident for ident, _ in texts], self.record.now()
            what = self.behave(idents)
            self.calls.append((at, idents, what))
            self.record.add("call", endpoint=endpoint, messages=",".join(idents), treated=what)
            if what == "hang":
                await reader.read(1)  # until the courier gives the call up
                return False
            if what == "full":
                writer.write(answer(503))
                await writer.drain()
                return True
            if what == "error":
                self.failed(texts)
                await asyncio.sleep(0.02)
                writer.write(answer(500))
                await writer.drain()
                return True
            await asyncio.sleep(self.usual * self.rng.uniform(0.7, 1.4))
            for ident, reference in texts:
                self.ran(ident, reference)
            states = [{"id": ident, "state": "delivered"} for ident in idents]
            writer.write(answer(200, json.dumps(states).encode() if len(texts) > 1 else b""))
            await writer.drain()
            for ident in idents:
                self.delivered.setdefault(ident, self.record.now())
            self.record.add("delivered", endpoint=endpoint, messages=",".join(idents))
            return True

        return serve


class Agent:
    """The platform: one address that answers for the list and hears notices."""

    def __init__(self, record, name, entries):
        self.record, self.name, self.entries, self.version = record, name, entries, 41
        self.server, self.notices = Server(self._serve), {}  # id -> (time, result) of its first notice

    @property
    def address(self):
        """Its address."""
        return self.server.address

    def whole_list(self):
        """The whole list in discovery's form."""
        return {"version": self.version, "full": True, "servers": self.entries}

    async def _serve(self, request, writer, reader):
        first, _, body = request
        if first.startswith("POST /v1/outcomes"):
            for line in body.splitlines():
                notice = json.loads(line)
                self.notices.setdefault(notice["ref"], (self.record.now(), notice["result"]))
                self.record.add("notice", at=self.name, message=notice["ref"], result=notice["result"])
            writer.write(answer(204))
        else:
            target = first.split()[1]
            if "index=" in target:
                wait = float(target.partition("wait=")[2] or 0.0) / 1000.0
                gone = asyncio.ensure_future(reader.read(0))
                await asyncio.sleep(min(wait, 60.0))
                gone.cancel()
                changes = {"version": self.version, "full": False, "servers": []}
                writer.write(answer(200, json.dumps(changes).encode()))
            else:
                self.record.add("list", at=self.name)
                writer.write(answer(200, json.dumps(self.whole_list()).encode()))
        await writer.drain()
        return True


class Message:
    """One message that a client hands in."""

    def __init__(self, ident, product, destination, validity, reference, sent_at):
        self.ident, self.product, self.destination, self.validity = ident, product, destination, validity
        self.reference, self.sent_at, self.status, self.answered_at = reference, sent_at, None, None

    @property
    def until(self):
        """When its time is up."""
        return self.sent_at + self.validity


class Clients:
    """The clients beside one courier: one request at a time on a connection, connections are kept."""

    def __init__(self, record, address):
        host, _, port = address.rpartition(":")
        self.record, self.address, self.idle, self.messages = record, (host, int(port)), [], []

    async def hand_in(self, message):
        """Hands a message in and notes what came back: a status, 0 for no connection, -1 for no answer."""
        self.messages.append(message)
        message.sent_at = self.record.now()
        head = [
            f"POST /{message.product} HTTP/1.1",
            "Host: api.internal",
            f"X-Request-ID: {message.ident}",
            f"X-Timeout: {message.validity:.3f}",
            f"X-Envelope: dest={message.destination}",
            "Content-Length: 24",
        ]
        head += [f"Idempotency-Key: {message.reference}"] if message.reference else []
        data = ("\r\n".join(head) + "\r\n\r\n").encode() + b"order 4711 is confirmed."
        try:
            message.status = await asyncio.wait_for(self._exchange(data), CLIENT_WAIT)
        except TimeoutError:
            message.status = -1
        message.answered_at = self.record.now()
        self.record.add(
            "handed-in",
            message=message.ident,
            product=message.product,
            dest=message.destination,
            validity=f"{message.validity:.3f}",
            answer=message.status,
        )
        return message.status

    async def _exchange(self, data):
        for reuse in (True, False):
            connection = self.idle.pop() if reuse and self.idle else None
            try:
                reader, writer = connection or await asyncio.open_connection(*self.address)
            except OSError:
                return 0
            try:
                writer.write(data)
                await writer.drain()
                reply = await read_message(reader)
            except OSError:
                reply = None
            except asyncio.CancelledError:
                writer.close()
                raise
            if reply is not None:
                if reply[1].get("connection") == "close":
                    writer.close()
                else:
                    self.idle.append((reader, writer))
                return int(reply[0].split()[1])
            writer.close()
            if connection is None:
                return -1  # a new connection ended without an answer
        return -1

    def close(self):
        """Closes the connections."""
        for _, writer in self.idle:
            writer.close()


class Courier:
    """The processes of one courier: its folder, its configuration, and those that `run` started."""

    run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text("utf-8"))["run"]

    def __init__(self, record, folder, name, settings, discovery, known, passed_socket=False):
        self.record, self.name, self.folder, self.discovery = record, name, folder, discovery
        (folder / "state").mkdir(parents=True)
        (folder / "tmp").mkdir()
        self.address = f"127.0.0.1:{free_port()}"
        self.config = dict(
            name=name,
            listen=self.address,
            discovery=discovery,
            seed=f"{random.getrandbits(64):016x}",
            limits=dict(cores=1.0, memory_mb=192, sockets=1024, disk_mb=3),
            known=known,
            settings=settings,
        )
        self.listener = None
        if passed_socket:
            self.listener = socket.socket()
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            host, _, port = self.address.rpartition(":")
            self.listener.bind((host, int(port)))
            self.listener.listen(1024)
        self.write_config()
        self.processes, self.admin = [], None

    def write_config(self):
        """Puts the configuration file in place as a whole."""
        path = self.folder / "config.json"
        path.with_suffix(".new").write_text(json.dumps(self.config), "utf-8")
        path.with_suffix(".new").replace(path)

    def start(self):
        """Starts `run` once more, with a second address of its own and all else the same."""
        self.admin = f"127.0.0.1:{free_port()}"
        environment = {name: value for name, value in os.environ.items() if not name.startswith("LB_")} | {
            "LB_NAME": self.name,
            "LB_LISTEN": self.address,
            "LB_DISCOVERY": self.discovery,  # as at the first start
            "LB_STATE": str(self.folder / "state"),
            "LB_CONFIG": str(self.folder / "config.json"),
            "LB_ADMIN_ADDR": self.admin,
            "TMPDIR": str(self.folder / "tmp"),
        }
        options = {}
        if self.listener is not None:
            environment["LB_PASSED_SOCKET"] = "3"
            fd = self.listener.fileno()
            options = dict(pass_fds=(3,), preexec_fn=lambda: os.dup2(fd, 3, True))
        log = open(self.folder / f"log-{len(self.processes)}", "wb")
        process = subprocess.Popen(
            ["/bin/sh", "-c", self.run],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            **options,
        )
        log.close()
        self.processes.append(process)
        self.record.add("start", courier=self.name, process=len(self.processes))
        return process

    def signal(self, process, number):
        """Sends a signal if the process is running."""
        if process.poll() is None:
            self.record.add(
                "signal", courier=self.name, process=self.processes.index(process) + 1, number=number.name
            )
            process.send_signal(number)

    async def ask(self, address, target):
        """The status of a GET; 0 without an answer within a second."""
        try:
            return await asyncio.wait_for(self._get(address, target), 1.0)
        except (TimeoutError, OSError):
            return 0

    @staticmethod
    async def _get(address, target):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            await writer.drain()
            reply = await read_message(reader)
            return int(reply[0].split()[1]) if reply else 0
        finally:
            writer.close()

    async def until_yes(self, address, target, seconds):
        """Waits until the answer is yes; raises CannotRunError if that takes longer."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.ask(address, target) == 200:
                self.record.add("yes", courier=self.name, process=len(self.processes))
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} is not ready within {seconds} s")

    async def until_ready(self):
        """Waits for the first yes of a process that was started alone."""
        await self.until_yes(self.address, "/-/ready", 30.0)

    async def end(self, process):
        """SIGTERM, and SIGKILL 3.7 s later if it still runs."""
        self.signal(process, signal.SIGTERM)
        end = time.monotonic() + KILL_AFTER_TERM
        while process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        self.signal(process, signal.SIGKILL)
        process.wait()
        self.record.add("ended", courier=self.name, process=self.processes.index(process) + 1)

    async def upgrade(self):
        """A new version under load: one more process, and at its yes the old one is ended."""
        old = self.processes[-1]
        self.start()
        await self.until_yes(self.admin, "/admin/health", 10.0)
        await self.end(old)

    def kill_all(self):
        """Ends all processes that were started."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()


def play(folder, day, seconds=115.0):
    """Plays `day(record, scratch)`, a coroutine that returns (exit code, summary lines); exits the script."""
    record, scratch = Record(Path(folder) / "record.txt"), Path(tempfile.mkdtemp(prefix="case-"))
    couriers = []
    signal.signal(
        signal.SIGTERM, signal.default_int_handler
    )  # ended from outside, it still ends its couriers
    try:
        code, summary = asyncio.run(asyncio.wait_for(day(record, scratch, couriers), seconds))
    except Exception as fault:  # whatever it is, the case has not judged the courier
        code, summary = NOT_RUN, [f"could not run: {fault!r}"]
    except KeyboardInterrupt:
        code, summary = NOT_RUN, ["interrupted"]
    finally:
        for courier in couriers:
            courier.kill_all()
        if os.environ.get("KEEP"):
            print(f"folders of the couriers: {scratch}", file=sys.stderr)
        else:
            shutil.rmtree(scratch, ignore_errors=True)
    word = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[code]
    summary = [f"trouble: {'yes' if TROUBLE else 'no'}", *summary, f"exit {code}: {word}"]
    record.write(summary)
    print("\n".join(summary))
    sys.exit(code)


# Descriptor 3 is the number under which a courier inherits its listening socket: nothing else may have it.
try:
    os.fstat(3)
except OSError:
    os.dup2(os.open(os.devnull, os.O_RDONLY), 3)
