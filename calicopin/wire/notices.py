"""Notices to the platform: a text taken on and not delivered ends with one, sent until it is heard."""
import json

import h11
from loguru import logger

from calicopin.wire.http import dial
from calicopin.wire.loop import AGAIN, Bell, Until

PATIENCE = 2000.0
MOST = 500  # lines in one request
MOST_ANSWER = 65536


def encode(text):
    notice = {"ref": text.ident, "result": text.verdict}
    if text.wait > 0.0:
        notice["wait_ms"] = round(text.wait)
    return json.dumps(notice).encode() + b"\n"


class Notices:
    """What has gathered while one request was out goes with the next."""

    def __init__(self, loop, address, heard):
        self.loop, self.address, self.heard = loop, address, heard
        self.owed, self.bell = [], Bell(loop)

    def owe(self, text):
        self.owed.append(text)
        self.bell.ring()

    def send(self):
        line = None
        while True:
            while not self.owed:
                yield Until(bell=self.bell)
            batch = self.owed[:MOST]
            until = self.loop.now() + PATIENCE
            if line is not None and not line.quiet():
                line.close()
                line = None
            if line is None:
                line = yield from dial(self.loop, self.address, until)
            status = (yield from self.post(line, b"".join(map(encode, batch)), until)) if line else 0
            if line and not (status and line.again()):
                line.close()
                line = None
            if status in (200, 204, 400):
                if status == 400:
                    logger.error("notices could not be read: {}", [text.ident for text in batch])
                del self.owed[:len(batch)]
                for text in batch:
                    self.heard(text)
            else:
                yield Until(self.loop.now() + AGAIN)

    def post(self, line, body, until):
        head = h11.Request(method="POST", target="/v1/outcomes", headers=[
            ("Host", self.address), ("Content-Type", "application/json"), ("Content-Length", str(len(body)))])
        status, _ = (yield from line.ask(head, body, MOST_ANSWER, until)) or (0, b"")
        return status
