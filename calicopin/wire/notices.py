"""Notices to the platform: a text taken on and not delivered ends with one, sent until it is heard."""

import json

import h11
from loguru import logger

from calicopin.wire.agent import Agent
from calicopin.wire.loop import AGAIN, READ, Event, Until

# for an answer, which is owed at once: a notice that waits longer on a silent connection comes too late
ANSWER_TIMEOUT_MS = 200.0
# doubled up to this each time: guards an agent that is slow against the same notices over and over
MAX_ANSWER_TIMEOUT_MS = 2000.0
LOG_INTERVAL_MS = 1000.0  # between two lines on notices that were not heard
RECONNECT_INTERVAL_MS = (
    1000.0  # between two tries to have a connection at hand: guards an agent that closes each at once
)
MAX_NOTICES_PER_REQUEST = 500  # lines in one request
MAX_ANSWER_BYTES = 65536


def encode(text):
    """The notice of a text that was given up, as one line of JSON."""
    notice = {"ref": text.ident, "result": text.verdict}
    if text.wait > 0.0:
        notice["wait_ms"] = round(text.wait)
    return json.dumps(notice).encode() + b"\n"


class Lines:
    """Where nobody is told by the network: each end is a line in the log, and heard with that."""

    line, address = None, ""

    def __init__(self, loop, heard):
        self.loop, self.heard, self.owed, self.event = loop, heard, [], Event(loop)
        loop.keep(self.talk)

    def owe(self, text):
        """A text has ended; its line is written in the next pass."""
        self.owed.append(text)
        self.event.set()

    def move(self, address):
        """There is no address."""

    def retire(self):
        """Nothing is owed any more."""

    def talk(self):
        """A coroutine that writes a line for each text that has ended; it must not end."""
        while True:
            while self.owed:
                text = self.owed.pop(0)
                logger.warning(
                    "text {text} for {destination} ends {end}",
                    event="text.ended",
                    text=text.ident,
                    destination=text.dest,
                    end={"dead": "undeliverable", "bounced": "nacked"}[text.verdict],
                )
                self.heard(text)
            yield Until(event=self.event)


class Notices(Agent):
    """What has gathered while one request was out goes with the next.

    All that was not heard at an address is told at the next one, at once.
    """

    def __init__(self, loop, address, heard):
        self.heard, self.owed, self.event, self.answer_timeout, self.logged_at = (
            heard,
            [],
            Event(loop),
            ANSWER_TIMEOUT_MS,
            -LOG_INTERVAL_MS,
        )
        super().__init__(loop, address)

    def owe(self, text):
        """A text was given up; its notice goes out with the next request."""
        self.owed.append(text)
        self.event.set()

    def talk(self):
        """For ever, on a new connection after a fault."""
        self.hang_up()
        while True:
            while not self.owed:
                yield from self.maintain_connection()
            batch = self.owed[:MAX_NOTICES_PER_REQUEST]
            until = self.loop.now() + self.answer_timeout
            if self.line is not None and not self.line.quiet():
                self.hang_up()
            line = yield from self.connect(until)
            status = (yield from self.post(line, b"".join(map(encode, batch)), until)) if line else 0
            if line and not (status and line.again()):
                self.hang_up()
            if status in (200, 204, 400):
                if status == 400:
                    logger.error(
                        "notices could not be read: {texts}",
                        event="notices.unread",
                        texts=[text.ident for text in batch],
                    )
                del self.owed[: len(batch)]
                self.answer_timeout = ANSWER_TIMEOUT_MS
                for text in batch:
                    self.heard(text)
            else:
                if self.loop.now() >= self.logged_at + LOG_INTERVAL_MS:
                    self.logged_at = self.loop.now()
                    logger.warning(
                        "{texts} notices were not heard: {what}",
                        event="notices.unheard",
                        texts=len(batch),
                        what=f"status {status}" if status else "no connection" if not line else "no answer",
                    )
                timed_out = self.loop.now() >= until
                self.answer_timeout = (
                    min(MAX_ANSWER_TIMEOUT_MS, 2.0 * self.answer_timeout)
                    if timed_out
                    else self.answer_timeout
                )
                yield Until(self.loop.now() + (0.0 if timed_out else AGAIN))

    def maintain_connection(self):
        """Waits for a notice, for as long as there is a connection, or until there is one again. Guards the
        ends of messages against moments in which this machine can make no new connection.
        """
        if self.line is not None:
            yield Until(fd=self.line.sock.fileno(), mask=READ, event=self.event)
            if not self.line.quiet():  # the agent has closed it
                self.hang_up()
            return
        yield Until(self.loop.now() + RECONNECT_INTERVAL_MS, event=self.event)
        if not self.owed:
            yield from self.connect(self.loop.now() + ANSWER_TIMEOUT_MS)

    def post(self, line, body, until):
        """Sends the notices; returns the status, or 0 where no whole answer came until `until` (ms)."""
        head = h11.Request(
            method="POST",
            target="/v1/outcomes",
            headers=[
                ("Host", self.address),
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
            ],
        )
        status, _ = (yield from line.ask(head, body, MAX_ANSWER_BYTES, until)) or (0, b"")
        return status
