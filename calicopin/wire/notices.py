"""Notices to the platform: each text taken on and not delivered ends with one, sent until acknowledged."""

import json

import h11
from loguru import logger

from calicopin.connection_reuse import ReusePolicy
from calicopin.wire.loop import READ, RETRY_DELAY_MS, Event, Until
from calicopin.wire.persistent_client import PersistentClient

# the platform answers at once; a longer wait on a dead connection would make the notice too late
ANSWER_TIMEOUT_MS = 200.0
# upper bound of the doubled time-out, which spares a slow agent the same notices again and again
MAX_ANSWER_TIMEOUT_MS = 2000.0
RESERVE_CONNECT_MS = 50.0  # to connect, where waiting longer would hold up notices
LOG_INTERVAL_MS = 1000.0  # between two log lines on notices that were not acknowledged
RECONNECT_INTERVAL_MS = 1000.0  # without a notice to send, as the agent may close each connection at once
MAX_NOTICES_PER_REQUEST = 500
MAX_ANSWER_BYTES = 65536


def encode(text):
    """The notice of a text that ended undelivered, as one line of JSON."""
    notice = {"ref": text.ident, "result": text.verdict}
    if text.wait > 0.0:
        notice["wait_ms"] = round(text.wait)
    return json.dumps(notice).encode() + b"\n"


class NoticeLog:
    """Replaces `Notices` where no platform is configured: each notice is a log line and counts as sent."""

    connection, address = None, ""

    def __init__(self, loop, heard):
        self.loop, self.heard, self.owed, self.event = loop, heard, [], Event(loop)
        loop.spawn_restarting(self.run)

    def owe(self, text):
        """Adds a text whose line is written in the next pass of the loop."""
        self.owed.append(text)
        self.event.set()

    def change_address(self, address):
        """Does nothing: there is no address."""

    def stop(self):
        """Does nothing: there is no connection."""

    def run(self):
        """A coroutine that writes a line for each text, for ever."""
        while True:
            while self.owed:
                text = self.owed.pop(0)
                logger.warning(
                    "text {text} for destination {destination} ended: {end}",
                    event="text.ended",
                    text=text.ident,
                    destination=text.dest,
                    end={"dead": "undeliverable", "bounced": "nacked"}[text.verdict],
                )
                self.heard(text)
            yield Until(event=self.event)


class Notices(PersistentClient):
    """Sends notices in batches, one request at a time, and repeats them until acknowledged.

    All acknowledgements are alike: if one came twice, its copy would acknowledge the next notices. So each
    request has a connection of its own, opened in advance; the connection used last is kept only as a reserve
    for a moment in which this machine can open none.

    `heard(text)` is called for each acknowledged notice. After a change of address, all notices that were not
    acknowledged are sent to the new one at once.
    """

    def __init__(self, loop, address, heard):
        self.reserve, self.reserve_since, self.connects_at_once = None, 0.0, False
        self.heard, self.owed, self.event, self.answer_timeout, self.logged_at = (
            heard,
            [],
            Event(loop),
            ANSWER_TIMEOUT_MS,
            -LOG_INTERVAL_MS,
        )
        super().__init__(loop, address)

    def owe(self, text):
        """Adds a text whose notice is sent with the next request."""
        self.owed.append(text)
        self.event.set()

    def run(self):
        """A coroutine that sends notices for ever, on a new connection after an error."""
        self.close_connection()
        while True:
            while not self.owed:
                yield from self.maintain_connection()
            batch = self.owed[:MAX_NOTICES_PER_REQUEST]
            until = self.loop.now() + self.answer_timeout
            connect_until = self.loop.now() + RESERVE_CONNECT_MS if self.reserve else until
            connection = (yield from self.connect(connect_until)) or self.take_reserve()
            status = (
                (yield from self.post(connection, b"".join(map(encode, batch)), until)) if connection else 0
            )
            self.retire_connection(status)
            if status in (200, 204, 400):
                if status == 400:
                    logger.error(
                        "the platform could not read notices: {texts}",
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
                        "{texts} notices were not acknowledged: {what}",
                        event="notices.unheard",
                        texts=len(batch),
                        what=f"status {status}"
                        if status
                        else "no connection"
                        if not connection
                        else "no answer",
                    )
                timed_out = self.loop.now() >= until
                self.answer_timeout = (
                    min(MAX_ANSWER_TIMEOUT_MS, 2.0 * self.answer_timeout)
                    if timed_out
                    else self.answer_timeout
                )
                yield Until(self.loop.now() + (0.0 if timed_out else RETRY_DELAY_MS))

    def take_reserve(self):
        """The connection used last, if a copy of its acknowledgement would have arrived by now; else None."""
        reserve, self.reserve = self.reserve, None
        if reserve is None:
            return None
        if ReusePolicy.has_settled(self.loop.now() - self.reserve_since) and not reserve.has_extra_data():
            self.connection = reserve
            return reserve
        reserve.close()
        return None

    def retire_connection(self, status):
        """Keeps the connection of a complete exchange as the reserve, and closes the former one."""
        connection, self.connection = self.connection, None
        if connection is None:
            return
        if not (status and connection.prepare_next_message()):
            connection.close()
            return
        if self.reserve is not None:
            self.reserve.close()
        self.reserve, self.reserve_since = connection, self.loop.now()
        self.connects_at_once = True

    def close_connection(self):
        """Closes both connections."""
        super().close_connection()
        reserve, self.reserve = self.reserve, None
        if reserve is not None:
            reserve.close()

    def maintain_connection(self):
        """Waits for a notice and meanwhile keeps a connection open.

        Without it, a notice would fail whenever this machine cannot open a connection just then.
        """
        if self.connection is not None:
            yield Until(fd=self.connection.sock.fileno(), mask=READ, event=self.event)
            if not self.connection.open_without_data():  # closed by the agent
                super().close_connection()
            return
        if not self.connects_at_once:
            yield Until(self.loop.now() + RECONNECT_INTERVAL_MS, event=self.event)
        self.connects_at_once = False
        if not self.owed:
            yield from self.connect(self.loop.now() + RESERVE_CONNECT_MS)

    def post(self, connection, body, until):
        """Sends notices: the status, or 0 without a complete answer by `until` (ms)."""
        head = h11.Request(
            method="POST",
            target="/v1/outcomes",
            headers=[
                ("Host", self.address),
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
            ],
        )
        status, _ = (yield from connection.exchange(head, body, MAX_ANSWER_BYTES, until)) or (0, b"")
        return status
