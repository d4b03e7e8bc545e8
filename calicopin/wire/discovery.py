"""The watch on the list of endpoints: goes on at once, and is begun again when it is silent or broken."""

import json
from collections import Counter

import h11
from loguru import logger

from calicopin.facade import Place
from calicopin.wire.agent import Agent
from calicopin.wire.asking import Asking, longest_pause
from calicopin.wire.http import TOO_LONG
from calicopin.wire.loop import Until

# to connect, and beyond the wait that was asked for: the agent is on this machine and answers at once
GRACE = 250.0
FIRST_ANSWER_GRACE_MS = 2.0 * GRACE  # for the first answer of all, where one call has met silence
MAX_BACKOFF_EXPONENT = 16  # of a patience: beyond them it is as long as the watch in any case
MOST_LIST = 8 << 20
ENDPOINT_STATES = ("active", "leaving", "left")
ASK_WITHIN_WAITS = (
    5.0  # of an asked wait: the time after which the platform takes a courier that asks for told
)


def read(data):
    """(version, whole, places) from the list's own form; raises ValueError where it cannot be read.

    Of changes the same endpoint may have several: the last one holds.
    """
    try:
        whole, places = (
            bool(data["full"]),
            [
                Place(
                    str(entry["id"]),
                    str(entry["addr"]),
                    int(entry["cell"]),
                    str(entry.get("kind", "")),
                    str(entry.get("zone", "")),
                    entry["state"] == "active",
                    float(entry.get("weight") or 0.0),
                    entry["state"] == "left",
                )
                for entry in data["servers"]
            ],
        )
        states = {str(entry["state"]) for entry in data["servers"]}.difference(ENDPOINT_STATES)
        version = int(data["version"])
    except (KeyError, TypeError, AttributeError, OverflowError) as fault:
        raise ValueError(f"the list lacks or garbles {fault}") from None
    if states:
        raise ValueError(
            f"{min(states)[:40]!r} is no state of an endpoint; there are {', '.join(ENDPOINT_STATES)}"
        )
    ident, times = max(
        Counter(place.ident for place in places).items(), key=lambda pair: pair[1], default=("", 0)
    )
    if whole and times > 1:
        raise ValueError(f"endpoint {ident[:40]!r} stands in the list {times} times")
    return version, whole, places


class Discovery(Agent):
    """`version` is that of the list as it is known; None asks for the whole of it.

    `senders` and `seed` are the asking's; where `spread`, the first call waits for its turn too. `pushed`: an
    agent beside this courier has the list. `tried` once the first call has ended, heard or not; `answered`
    once any call was answered or turned away.
    """

    def __init__(self, loop, address, version, wait, heard, senders=1, seed=0, spread=False, pushed=False):
        self.version, self.wait, self.heard, self.spread = version, wait, heard, spread
        self.tried = self.answered = False
        self.logged_fault = None  # the fault that was last told: it may come ten times a second
        # calls in a row that met silence: meanwhile short ones only, what it has to tell is told once it is
        # back
        self.silent_calls = 0
        self.asking = Asking(senders, ASK_WITHIN_WAITS * wait, seed, pushed, longest_pause(wait, GRACE))
        super().__init__(loop, address)

    def move(self, address):
        """A new watch, from the whole list on: each address counts its versions for itself."""
        self.version = None
        super().move(address)

    def talk(self):
        """For ever: one call after the other on one connection, a new one after a fault."""
        self.hang_up()
        if self.spread:
            self.spread = False
            yield Until(self.loop.now() + self.asking.first())
        while True:
            self.refused = False
            try:
                until = self.loop.now() + GRACE
                line = yield from self.connect(until)
                self.refused = not line and self.loop.now() < until
                update = (yield from self.ask(line)) if line else None
            except (ValueError, RecursionError) as fault:
                if self.logged_fault != str(fault):
                    logger.warning(
                        "discovery's answer cannot be read, the list known serves on: {fault}",
                        event="discovery.unread",
                        fault=fault,
                    )
                update, self.logged_fault, self.answered = None, str(fault), True
            finally:
                self.tried = True
            self.answered = self.answered or self.refused or update is not None
            if update is None or not line.again():
                self.hang_up()
            self.silent_calls = self.silent_calls + 1 if update is None and not self.refused else 0
            if update is None:
                if self.refused:
                    if not self.asking.refusals:
                        logger.warning("discovery turns calls for the list away", event="discovery.refused")
                    self.asking.refused()
                else:
                    self.asking.silent()
                yield Until(self.loop.now() + self.asking.again())
                continue
            if self.asking.refusals:
                logger.info("discovery answers again", event="discovery.again")
            self.asking.answered()
            self.logged_fault = None
            version, whole, places = update
            self.heard(places, whole)
            self.version = version

    def answer_grace(self):
        """For an answer beyond the wait.

        Guards against a discovery that answers each call late, since it is asked by many, and was never
        heard: three calls after a watch that fell silent one is as patient as the watch, within the 6 s.
        """
        if self.asking.pushed and not self.answered:  # a start, perhaps of many on a busy machine
            return FIRST_ANSWER_GRACE_MS if self.silent_calls else GRACE
        if self.asking.pushed or not self.silent_calls:
            return GRACE
        return min(self.wait + GRACE, GRACE * 4.0 ** min(self.silent_calls - 1, MAX_BACKOFF_EXPONENT))

    def ask(self, line):
        """One call; None where it was not answered in time or broke."""
        wait, target = 0.0, "/api/targets"
        if self.version is not None:
            wait = 0.0 if self.silent_calls else self.wait
            target = f"{target}?index={self.version}&wait={wait:.0f}"
        until = self.loop.now() + wait + self.answer_grace()
        request = h11.Request(method="GET", target=target, headers=[("Host", self.address)])
        status, body = (yield from line.ask(request, b"", MOST_LIST, until)) or (0, b"")
        self.refused = status in (429, 503)
        if body is TOO_LONG:
            raise ValueError(f"it is over {MOST_LIST >> 20} MiB")
        return read(json.loads(body)) if status == 200 else None
