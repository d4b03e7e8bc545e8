"""A platform on loopback for tests with real processes: an endpoint, discovery, and couriers that share one
listening socket and one folder.
"""

import http.client
import json
import os
import socket
import subprocess
import sys
import threading
import time

from helper import free_address, terms

ROOT = os.path.join(os.path.dirname(__file__), "..")


def serve(listener, handler):
    """A test server that handles each connection in a thread of its own."""

    def accept():
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=handler, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()


def requests(sock):
    """(target, headers, body) of each request until the other side closes."""
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


def address_of(listener):
    """The host and port of a listening socket."""
    return "127.0.0.1:%d" % listener.getsockname()[1]


class Platform:
    """The platform, one endpoint of destination 7, and couriers started with one inherited socket."""

    def __init__(self, folder):
        self.folder, self.release = folder, threading.Event()
        self.endpoint_listener, self.agent_listener = (
            socket.create_server(("127.0.0.1", 0)) for _ in range(2)
        )
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.heard, self.delivered, self.notices, self.list_requests, self.connections = [], [], [], 0, 0
        self.agent_connections, self.wait_ms = [], 5000
        self.address = address_of(self.listener)
        serve(self.endpoint_listener, self.serve_endpoint)
        serve(self.agent_listener, self.serve_agent)
        self.processes = []
        self.configuration = dict(
            name="n0",
            listen=self.address,
            discovery=address_of(self.agent_listener),
            seed="5",
            known=self.known(),
            limits=dict(sockets=256, disk_mb=3),
            settings=terms(),
        )
        for name in ("state", "tmp"):
            (folder / name).mkdir()

    def serve_endpoint(self, sock):
        self.connections += 1
        try:
            for _, fields, _ in requests(sock):
                ident = fields[b"x-request-id"].decode()
                self.heard.append(ident)
                if ident.startswith("hold"):
                    self.release.wait(20.0)
                if ident.startswith("wait"):
                    told = b"X-Retry-In-Ms: %d\r\n" % self.wait_ms
                    sock.sendall(b"HTTP/1.1 429 X\r\n" + told + b"Content-Length: 0\r\n\r\n")
                    continue
                if ident.startswith("fail"):
                    sock.sendall(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.delivered.append(ident)
                sock.sendall(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
        except OSError:
            pass

    def serve_agent(self, sock):
        self.agent_connections.append(sock)
        try:
            for target, _, body in requests(sock):
                if target == "/v1/outcomes":
                    self.notices += [json.loads(line) for line in body.splitlines()]
                    sock.sendall(b"HTTP/1.1 204 X\r\n\r\n")
                else:
                    self.list_requests += 1
                    answer = json.dumps(self.known()).encode()
                    if "index" in target:
                        time.sleep(2.0)  # no change of the list
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
                    "addr": address_of(self.endpoint_listener),
                    "zone": "a",
                    "kind": "one",
                    "cell": 7,
                    "state": "active",
                }
            ],
        }

    def write_configuration(self, **other):
        """Writes the configuration file; `other` values stay for later files."""
        self.configuration |= other
        (self.folder / "config.json").write_text(json.dumps(self.configuration))

    def start(self, *driver, **env):
        """Starts a courier with an admin address; `driver` is Python code to run in its place, with its
        arguments.
        """
        self.write_configuration()
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
        command = [sys.executable, *(("-c", *driver) if driver else ("-m", "calicopin"))]
        process = subprocess.Popen(
            command,
            env=env,
            cwd=self.folder,
            pass_fds=(self.listener.fileno(),),
            stderr=subprocess.PIPE,
            text=True,
        )
        process.admin, process.lines = admin, []
        threading.Thread(target=lambda: process.lines.extend(process.stderr), daemon=True).start()
        self.processes.append(process)
        return process

    def call(self, process, path, method="GET"):
        """The body of the admin answer, or None if the answer is not 200."""
        connection = http.client.HTTPConnection(process.admin, timeout=3.0)
        try:
            connection.request(method, f"/admin/{path}")
            answer = connection.getresponse()
            return json.loads(answer.read()) if answer.status == 200 else None
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def up(self, *processes, patience=15.0):
        """The first of the processes that reports health."""
        until = time.monotonic() + patience
        while time.monotonic() < until:
            for process in processes:
                if process.poll() is None and self.call(process, "health"):
                    return process
            time.sleep(0.02)
        raise AssertionError(f"no process became healthy: {[process.lines[-5:] for process in processes]}")

    def client(self):
        return http.client.HTTPConnection(self.address, timeout=5.0)

    def post(self, ident, product="notice", connection=None, left=15.0, reference=None):
        """The status that answers a message with `left` seconds of validity."""
        connection = connection or self.client()
        headers = {"X-Request-ID": ident, "X-Timeout": str(left), "X-Envelope": "dest=7"}
        if reference is not None:
            headers["Idempotency-Key"] = reference
        connection.request("POST", f"/{product}", b"xyz", headers)
        answer = connection.getresponse()
        answer.read()
        return answer.status

    def accepts_messages(self):
        """Whether a message is accepted or already known; a client whose connection breaks tries again."""
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
                [process.lines[-8:] for process in self.processes],
            )
            time.sleep(0.02)

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for sock in (self.endpoint_listener, self.agent_listener, self.listener):
            sock.close()
