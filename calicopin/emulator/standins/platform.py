"""The platform: an agent beside each courier that serves the list and takes notices, and the discovery
service behind all agents.
"""

import json

from calicopin.emulator.net import Listener
from calicopin.emulator.standins.http import ServerConnection, response


class DiscoveryService:
    """Admission of watches by the service behind all agents.

    While `work_ms` is above 0 it is overloaded: it works off new watches one after the other, `work_ms` each,
    including those that have timed out meanwhile. A watch that continues an earlier one costs nothing.
    """

    ANSWER_TIMEOUT_MS, QUEUE_LIMIT, CONTINUED_WITHIN_MS, REJECT_AFTER_MS = 2000.0, 24, 200.0, 60.0

    def __init__(self):
        self.work_ms = self.free_at = 0.0

    def admit(self, now):
        """(ms until the answer, whether the watch is served)."""
        delay = max(0.0, self.free_at - now)
        if delay > self.QUEUE_LIMIT * self.work_ms:
            return self.REJECT_AFTER_MS, False
        self.free_at = now + delay + self.work_ms
        return (
            (delay + self.work_ms, True)
            if delay <= self.ANSWER_TIMEOUT_MS
            else (self.ANSWER_TIMEOUT_MS, False)
        )


class PlatformAgent:
    """The agent beside one courier: the list, watches on it and notices.

    `entries` is the list as the agent has it; `delay_range` is the range of ms that a change takes to arrive.
    """

    def __init__(self, world, net, courier, host, entries, delay_range, rng, discovery):
        self.world, self.net, self.courier, self.delay_range, self.rng = world, net, courier, delay_range, rng
        self.discovery, self.last_answer_at = discovery, -1e12
        self.machine = net.machine(host)
        self.version, self.entries, self.history = 1, dict(entries), []
        self.silence_count, self.watchers, self.last_change_at, self.pending_changes = 0, [], 0.0, []
        self.listen()

    def listen(self):
        """Starts to listen."""
        self.machine.listeners[8500] = Listener(self.machine, self.on_connection)

    def on_connection(self, end):
        """Accepts a connection."""
        ServerConnection(end, self.handle_request)
        return True

    def snapshot(self):
        """The whole list, as an answer."""
        return {
            "version": self.version,
            "full": True,
            "servers": [dict(entry) for entry in self.entries.values()],
        }

    def publish_change(self, *entries):
        """Sends changed entries to this agent; changes arrive in order."""
        low, high = self.delay_range
        self.last_change_at = max(
            self.last_change_at, self.world.now + low + (high - low) * self.rng.random()
        )
        self.world.call_at(self.last_change_at, self.apply_change, entries)

    def apply_change(self, entries):
        """Applies changed entries and answers the watches; kept for later while the agent is silent."""
        if self.silence_count:
            self.pending_changes.append(entries)
            return
        self.version += 1
        on, off = (
            tuple(entry["id"] for entry in entries if (entry["state"] == "active") is ready)
            for ready in (True, False)
        )
        self.world.record("had", self.courier, on, off)
        for entry in entries:
            self.history.append((self.version, dict(entry)))
            if entry["state"] == "left":
                self.entries.pop(entry["id"], None)
            else:
                self.entries[entry["id"]] = dict(entry)
        watchers, self.watchers = self.watchers, []
        for server, index in watchers:
            self.send_list(server, index)

    def end_silence(self):
        """Ends one silence; after the last one the changes kept meanwhile are applied."""
        self.silence_count -= 1
        if not self.silence_count:
            pending_changes, self.pending_changes = self.pending_changes, []
            for entries in pending_changes:
                self.apply_change(entries)

    def send_list(self, server, index):
        """Answers with the changes since `index`, or with the whole list."""
        if not server.open:
            return
        self.last_answer_at = self.world.now
        if index is None or index > self.version:
            answer = self.snapshot()
        else:
            answer = {
                "version": self.version,
                "full": False,
                "servers": [entry for version, entry in self.history if version > index],
            }
        servers = answer["servers"]
        off = tuple(entry["id"] for entry in servers if entry["state"] != "active")
        on = tuple(entry["id"] for entry in servers if entry["state"] == "active")
        full = answer["full"]
        server.reply(
            response(200, json.dumps(answer).encode()),
            lambda: self.world.record("told", self.courier, full, on, off),
        )

    def handle_request(self, server, target, headers, body, started_at):
        """Handles notices and requests for the list."""
        if target == b"/v1/outcomes":
            try:
                lines = [json.loads(line) for line in body.splitlines()]
                notices = [
                    (
                        line["ref"],
                        {"dead": "dead", "bounced": "bounced"}[line["result"]],
                        float(line.get("wait_ms", 0.0)),
                    )
                    for line in lines
                ]
            except (ValueError, KeyError, TypeError):
                self.world.record("fault", self.courier, "a notice that cannot be read")
                server.reply(response(400))
                return
            for notice in notices:
                self.world.record("notice", self.courier, *notice)
                self.on_notice(*notice)
            server.reply(response(204))
            return
        path, _, query = target.partition(b"?")
        parameters = dict(part.split(b"=") for part in query.split(b"&") if b"=" in part)
        if path != b"/api/targets":
            server.reply(response(404))
        elif not self.silence_count:
            index, wait = (
                int(parameters[b"index"]) if b"index" in parameters else None,
                float(parameters.get(b"wait", b"0")),
            )
            if (
                not self.discovery.work_ms
                or self.world.now <= self.last_answer_at + DiscoveryService.CONTINUED_WITHIN_MS
            ):
                self.watch(server, index, wait)
                return
            delay, serves = self.discovery.admit(self.world.now)
            self.world.record("asked", self.courier, serves)
            self.world.call_later(
                delay, self.watch if serves else self.reject, server, index, max(0.0, wait - delay)
            )

    def reject(self, server, index, wait):
        """Answers 503."""
        if server.open:
            server.reply(response(503))

    def watch(self, server, index, wait):
        """Answers at once if the list has changed, else within `wait` ms."""
        if index is None or index != self.version:
            self.send_list(server, index)
        elif server.open:
            self.watchers.append((server, index))
            self.world.call_later(wait, self.watch_expired, server, index)

    def watch_expired(self, server, index):
        """Answers a watch that timed out."""
        if (server, index) in self.watchers:
            self.watchers.remove((server, index))
            if not self.silence_count:
                self.send_list(server, index)

    def on_notice(self, ident, verdict, wait):
        """Replaced by the simulation, which passes the notice to the client."""
