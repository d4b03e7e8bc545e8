"""The platform: an agent beside each courier with the list and the notices, and discovery behind them."""

import json

from calicopin.emulator.net import Listener
from calicopin.emulator.standins.http import Server, response


class Registry:
    """What stands behind all agents.

    While `work` is above 0 it is overbooked: it works off one new watch after the other, `work` ms each, also
    those whose courier it has told no meanwhile; a watch that goes on costs it nothing.
    """

    PATIENCE, LINE, GOES_ON, NO = 2000.0, 24, 200.0, 60.0

    def __init__(self):
        self.work = self.free = 0.0

    def turn(self, now):
        """(after how many ms it answers, whether it serves)."""
        delay = max(0.0, self.free - now)
        if delay > self.LINE * self.work:
            return self.NO, False
        self.free = now + delay + self.work
        return (delay + self.work, True) if delay <= self.PATIENCE else (self.PATIENCE, False)


class Platform:
    """The agent beside one courier: the list, watches on it and notices.

    `entries` are the list as it is told.
    """

    def __init__(self, world, net, courier, host, entries, late, rng, registry):
        self.world, self.net, self.courier, self.late, self.rng = world, net, courier, late, rng
        self.registry, self.answered = registry, -1e12
        self.machine = net.machine(host)
        self.version, self.entries, self.history = 1, dict(entries), []
        self.silent, self.watchers, self.news, self.held = 0, [], 0.0, []
        self.listen()

    def listen(self):
        self.machine.listeners[8500] = Listener(self.machine, self.on_connection)

    def on_connection(self, end):
        Server(end, self.answer)
        return True

    def known(self):
        return {
            "version": self.version,
            "full": True,
            "servers": [dict(entry) for entry in self.entries.values()],
        }

    def change(self, *entries):
        """News, on their way to this agent."""
        low, high = self.late
        self.news = max(self.news, self.world.now + low + (high - low) * self.rng.random())  # in their order
        self.world.call_at(self.news, self.changed, entries)

    def changed(self, entries):
        if self.silent:  # what it has to tell is told once discovery is back
            self.held.append(entries)
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
            self.tell(server, index)

    def speak(self):
        """No longer silent."""
        self.silent -= 1
        if not self.silent:
            held, self.held = self.held, []
            for entries in held:
                self.changed(entries)

    def tell(self, server, index):
        if not server.open:
            return
        self.answered = self.world.now
        if index is None or index > self.version:
            told = self.known()
        else:
            told = {
                "version": self.version,
                "full": False,
                "servers": [entry for version, entry in self.history if version > index],
            }
        servers = told["servers"]
        off = tuple(entry["id"] for entry in servers if entry["state"] != "active")
        on = tuple(entry["id"] for entry in servers if entry["state"] == "active")
        full = told["full"]
        server.reply(
            response(200, json.dumps(told).encode()),
            lambda: self.world.record("told", self.courier, full, on, off),
        )

    def answer(self, server, target, headers, body, begun):
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
                self.heard(*notice)
            server.reply(response(204))
            return
        path, _, query = target.partition(b"?")
        told = dict(part.split(b"=") for part in query.split(b"&") if b"=" in part)
        if path != b"/api/targets":
            server.reply(response(404))
        elif not self.silent:
            index, wait = int(told[b"index"]) if b"index" in told else None, float(told.get(b"wait", b"0"))
            if not self.registry.work or self.world.now <= self.answered + Registry.GOES_ON:
                self.watch(server, index, wait)
                return
            after, serves = self.registry.turn(self.world.now)
            self.world.record("asked", self.courier, serves)
            self.world.call_later(
                after, self.watch if serves else self.turn_away, server, index, max(0.0, wait - after)
            )

    def turn_away(self, server, index, wait):
        if server.open:
            server.reply(response(503))

    def watch(self, server, index, wait):
        if index is None or index != self.version:
            self.tell(server, index)
        elif server.open:
            self.watchers.append((server, index))
            self.world.call_later(wait, self.nothing, server, index)

    def nothing(self, server, index):
        if (server, index) in self.watchers:
            self.watchers.remove((server, index))
            if not self.silent:
                self.tell(server, index)

    def heard(self, ident, verdict, wait):
        """Set by the run: the client hears of it."""
