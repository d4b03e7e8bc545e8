"""The command `calicopin demo`: a courier, stand-in partners and a client on loopback, with live figures. One
partner has an outage.
"""

import http.client
import http.server
import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import threading
import time

from rich.live import Live
from rich.table import Table

PARTNERS = (("gateway", 3), ("hosted", 2), ("own shop", 1))  # name and share of the traffic
OUTAGE = (0.35, 0.6)  # begin and end of the first partner's outage, as shares of the run
BODY = b"order 4711 confirmed"


class DemoPartner(http.server.ThreadingHTTPServer):
    """One stand-in partner; during its outage it closes every connection without an answer."""

    daemon_threads = True

    def __init__(self, name):
        super().__init__(("127.0.0.1", 0), PartnerHandler)
        self.name, self.delivered, self.in_outage, self.lock = name, set(), False, threading.Lock()

    def handle_error(self, *_):
        """Ignores broken connections: the courier has stopped, or the partner is in its outage."""


class PartnerHandler(http.server.BaseHTTPRequestHandler):
    """Answers each call after a short delay, or closes the connection during the outage."""

    protocol_version = "HTTP/1.1"

    def do_POST(self):
        """Answers a call after a short delay, or closes the connection during the outage."""
        self.rfile.read(int(self.headers["Content-Length"]))
        time.sleep(random.uniform(0.02, 0.12))
        if self.server.in_outage:
            self.close_connection = True
            return
        with self.server.lock:
            self.server.delivered.add(self.headers["X-Request-ID"])
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def setup(self):
        """Closes a new connection at once during the outage."""
        super().setup()
        if self.server.in_outage:
            self.connection.shutdown(socket.SHUT_RDWR)

    def log_message(self, *_):
        """Logs nothing."""
        pass


class Notices(http.server.ThreadingHTTPServer):
    """Receives the notices of messages that end undelivered; `ended` maps their ids to the results."""

    daemon_threads = True

    def __init__(self):
        super().__init__(("127.0.0.1", 0), NoticeHandler)
        self.ended = {}


class NoticeHandler(http.server.BaseHTTPRequestHandler):
    """Records the notices of each request."""

    protocol_version = "HTTP/1.1"

    def do_POST(self):
        """Records the notices in a request, one per line."""
        for line in self.rfile.read(int(self.headers["Content-Length"])).splitlines():
            notice = json.loads(line)
            self.server.ended[notice["ref"]] = notice["result"]
        self.send_response(204)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_):
        """Logs nothing."""
        pass


def configuration(listen, notices, partners):
    """The text of the demo's configuration file."""
    lines = [
        "version = 1",
        "",
        "[courier]",
        'name = "demo"',
        f'listen = "{listen}"',
        'state = "state"',
        f'notices = "{notices}"',
        "slots = 30",
        "held = 500",
        'disk = "5MB"',
        "status = true",
        "",
        "[returning]",
        'cold = "3s"',
        'span = "1s"',
        "",
        "[[product]]",
        'name = "order-confirm"',
        'repeat = "referenced"',
        'sla = "1s"',
        'validity = "6s"',
        'memory = "5s"',
        "late_revenue = 0.3",
        "",
        "[[kind]]",
        'name = "any"',
        'answers = "100ms"',
        "bundle = 1",
    ]
    for number, partner in enumerate(partners):
        lines += [
            "",
            "[[partner]]",
            f'name = "{partner.name}"',
            f"destination = {number}",
            'kind = "any"',
            "",
            "[[partner.endpoint]]",
            f'address = "127.0.0.1:{partner.server_address[1]}"',
        ]
    return "\n".join(lines) + "\n"


def send_request(listen, method, path, body=b"", headers=None):
    """Sends one request to the courier; returns (status, body), raises OSError if it does not answer."""
    connection = http.client.HTTPConnection(*listen.split(":"), timeout=2.0)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


def status_table(status, partners, left):
    """The table of live figures of each destination; `left` is the remaining time in seconds."""
    table = Table(
        title=f"courier on loopback, {left:.0f} s to go",
        caption="the gateway has an outage; no message is lost",
    )
    for heading in ("partner", "mode", "waiting", "out", "delivered", "usual ms"):
        table.add_column(heading, justify="left" if heading in ("partner", "mode") else "right")
    for destination in status.get("destinations", ()):
        partner = partners[destination["destination"]]
        table.add_row(
            partner.name + (" (out)" if partner.in_outage else ""),
            destination["mode"],
            str(destination["waiting"]),
            str(destination["out"]),
            str(len(partner.delivered)),
            f"{destination['usual_ms']:.0f}",
        )
    table.add_section()
    table.add_row(
        "all",
        "",
        str(status.get("held", 0)),
        str(status.get("calls_out", 0)),
        str(sum(len(each.delivered) for each in partners)),
        "",
    )
    return table


def run_demo(seconds, rate, console):
    """Runs the demo; returns whether every accepted message was delivered or got its notice."""
    partners, notices = [DemoPartner(name) for name, _ in PARTNERS], Notices()
    for server in (*partners, notices):
        threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()
    with socket.create_server(("127.0.0.1", 0)) as probe:
        listen = f"127.0.0.1:{probe.getsockname()[1]}"
    with tempfile.TemporaryDirectory(prefix="calicopin-demo-") as folder:
        path = os.path.join(folder, "courier.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(configuration(listen, f"127.0.0.1:{notices.server_address[1]}", partners))
        with open(os.path.join(folder, "log"), "wb") as log:
            courier = subprocess.Popen([sys.executable, "-m", "calicopin", "run", path], stderr=log)
        try:
            for _ in range(200):
                try:
                    if send_request(listen, "GET", "/-/ready")[0] == 200:
                        break
                except OSError:
                    time.sleep(0.05)
            else:
                console.print("the courier did not become ready; its log:")
                with open(os.path.join(folder, "log"), encoding="utf-8") as text:
                    console.print(text.read(), markup=False)
                return False
            taken, refused = send_messages(seconds, rate, listen, partners, console)
            until = time.monotonic() + 8.0  # longer than the validity period, so that every message ends
            while (
                time.monotonic() < until and json.loads(send_request(listen, "GET", "/-/status")[1])["held"]
            ):
                time.sleep(0.1)
            time.sleep(0.2)
        finally:
            courier.terminate()
            courier.wait(10)
            for server in (*partners, notices):
                server.shutdown()
    return print_summary(taken, refused, partners, notices, console)


def send_messages(seconds, rate, listen, partners, console):
    """Sends messages at a constant rate with live figures; returns accepted ids and the number refused."""
    rng, taken, refused, began, number = random.Random(1), set(), 0, time.monotonic(), 0
    with Live(console=console, refresh_per_second=5, transient=True) as live:
        last_update = 0.0
        while (passed := time.monotonic() - began) < seconds:
            partners[0].in_outage = OUTAGE[0] <= passed / seconds < OUTAGE[1]
            while number < passed * rate:
                number += 1
                dest = rng.choices(range(len(PARTNERS)), [share for _, share in PARTNERS])[0]
                ident = f"text-{number}"
                status, _ = send_request(
                    listen,
                    "POST",
                    "/order-confirm",
                    BODY,
                    {
                        "X-Request-ID": ident,
                        "X-Timeout": "6",
                        "Idempotency-Key": ident,
                        "X-Envelope": f"dest={dest}",
                    },
                )
                if status == 202:
                    taken.add(ident)
                else:
                    refused += 1
            if passed - last_update >= 0.2:
                last_update = passed
                live.update(
                    status_table(
                        json.loads(send_request(listen, "GET", "/-/status")[1]), partners, seconds - passed
                    )
                )
            time.sleep(0.005)
        partners[0].in_outage = False
    return taken, refused


def print_summary(taken, refused, partners, notices, console):
    """Prints the totals; returns whether every accepted message has ended."""
    delivered = set().union(*(partner.delivered for partner in partners))
    nacked = {ident for ident, result in notices.ended.items() if result == "bounced"}
    dead = set(notices.ended) - nacked
    lost = taken - delivered - nacked - dead
    console.print(
        f"{len(taken)} messages accepted, {refused} refused; {len(taken & delivered)} delivered, "
        f"{len(nacked - delivered)} nacked, "
        f"{len(dead - delivered)} undeliverable, {len(lost)} without an end",
        soft_wrap=True,
    )
    console.print("what to try next: `calicopin write --example`, docs/commands.md")
    return not lost
