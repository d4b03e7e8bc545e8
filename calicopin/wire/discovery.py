"""The watch on the list of endpoints: goes on at once, and is begun again when it is silent or broken."""
import json

import h11
from loguru import logger

from calicopin.facade import Place
from calicopin.wire.http import TOO_LONG, dial
from calicopin.wire.loop import Until

AGAIN = 100.0  # a watch goes on where the next call comes within 200 ms
GRACE = 2000.0  # beyond the wait that was asked for
MOST_LIST = 8 << 20


def read(data):
    """(version, whole, places) from the list's own form; raises ValueError where it cannot be read."""
    try:
        return int(data["version"]), bool(data["full"]), [
            Place(str(entry["id"]), str(entry["addr"]), int(entry["cell"]), str(entry.get("kind", "")),
                  str(entry.get("zone", "")), entry["state"] == "active", float(entry.get("weight") or 0.0))
            for entry in data["servers"]]
    except (KeyError, TypeError, AttributeError) as fault:
        raise ValueError(f"the list lacks or garbles {fault}") from None


class Discovery:
    def __init__(self, loop, address, version, wait, heard):
        self.loop, self.address, self.version, self.wait, self.heard = loop, address, version, wait, heard

    def watch(self):
        """For ever: one call after the other on one connection."""
        line = None
        while True:
            try:
                if line is None:
                    line = yield from dial(self.loop, self.address, self.loop.now() + GRACE)
                told = (yield from self.ask(line)) if line else None
            except ValueError as fault:
                logger.warning("discovery's answer cannot be read: {}", fault)
                told = None
            if told is None or not line.again():
                if line:
                    line.close()
                line = None
            if told is None:
                yield Until(self.loop.now() + AGAIN)
                continue
            version, whole, places = told
            if whole or places:
                self.heard(places, whole)
            self.version = version

    def ask(self, line):
        """One call; None where it was not answered in time or broke."""
        until = self.loop.now() + self.wait + GRACE
        target = f"/api/targets?index={self.version}&wait={self.wait:.0f}"
        request = h11.Request(method="GET", target=target, headers=[("Host", self.address)])
        status, body = (yield from line.ask(request, b"", MOST_LIST, until)) or (0, b"")
        return read(json.loads(body)) if status == 200 and body is not TOO_LONG else None
