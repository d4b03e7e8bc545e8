"""Long polling of the list of endpoints at the discovery agent. Times are milliseconds."""

import json
from collections import Counter

import h11
from loguru import logger

from calicopin.facade import Place
from calicopin.wire.http import TOO_LONG
from calicopin.wire.loop import Until
from calicopin.wire.persistent_client import PersistentClient
from calicopin.wire.poll_schedule import PollSchedule, longest_pause

# to connect, and for an answer beyond the wait of a long poll: the agent is on this machine
GRACE_MS = 250.0
FIRST_ANSWER_GRACE_MS = 2.0 * GRACE_MS  # for the first answer after a start, once a call was not answered
MAX_BACKOFF_EXPONENT = 16  # beyond it `answer_grace` has reached its maximum
MAX_LIST_BYTES = 8 << 20
EARLY_ANSWER_MS = 50.0  # by which an agent may end a wait too early
ENDPOINT_STATES = ("active", "leaving", "left")
ASK_WITHIN_WAITS = 5.0  # after which the platform regards a polling courier as informed, in waits of a poll


def decode_weight(value):
    """The weight of an entry, in calls per second; 0.0 where there is none. A weight that is no number hides
    no other news of the list.
    """
    try:
        return float(value or 0.0)
    except (TypeError, ValueError, OverflowError):
        return 0.0


def decode_list(data):
    """Decodes a list: (version, whether it is complete, places); raises ValueError if it is malformed.

    A list of changes may hold an endpoint several times; the last entry counts.
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
                    decode_weight(entry.get("weight")),
                    entry["state"] == "left",
                )
                for entry in data["servers"]
            ],
        )
        states = {str(entry["state"]) for entry in data["servers"]}.difference(ENDPOINT_STATES)
        version = int(data["version"])
    except (KeyError, TypeError, AttributeError, OverflowError) as fault:
        raise ValueError(f"missing or malformed entry in the list: {fault}") from None
    if states:
        raise ValueError(
            f"{min(states)[:40]!r} is not an endpoint state; expected one of {', '.join(ENDPOINT_STATES)}"
        )
    ident, occurrences = max(
        Counter(place.ident for place in places).items(), key=lambda pair: pair[1], default=("", 0)
    )
    if whole and occurrences > 1:
        raise ValueError(f"endpoint {ident[:40]!r} is in the list {occurrences} times")
    return version, whole, places


class Discovery(PersistentClient):
    """Polls the list of endpoints and passes each update to `heard(places, whole)`.

    `version` is that of the list known here; with None the complete list is requested. `senders`, `seed` and
    `pushed` are those of `PollSchedule`; with `spread` the first call is delayed as well. `tried` is true
    once the first call has ended in any way, `answered` once any call was answered or refused.
    """

    def __init__(self, loop, address, version, wait, heard, senders=1, seed=0, spread=False, pushed=False):
        self.version, self.wait, self.heard, self.spread = version, wait, heard, spread
        self.tried = self.answered = False
        self.answered_on = None  # the connection of the last answer
        self.logged_fault = None  # last one logged: it may recur ten times a second
        # consecutive calls without an answer; meanwhile calls do not wait for changes, so that an agent that
        # is back is noticed at once
        self.silent_calls = 0
        self.poll_schedule = PollSchedule(
            senders, ASK_WITHIN_WAITS * wait, seed, pushed, longest_pause(wait, GRACE_MS)
        )
        super().__init__(loop, address)

    def change_address(self, address):
        """Continues at another address with the complete list: versions of two agents are not comparable."""
        self.version = None
        super().change_address(address)

    def run(self):
        """A coroutine that polls for ever on one connection, and on a new one after an error."""
        self.close_connection()
        if self.spread:
            self.spread = False
            yield Until(self.loop.now() + self.poll_schedule.first())
        while True:
            self.refused = False
            try:
                until = self.loop.now() + GRACE_MS
                connection = yield from self.connect(until)
                self.refused = not connection and self.loop.now() < until
                update = (yield from self.request_list(connection)) if connection else None
            except (ValueError, RecursionError) as fault:
                if self.logged_fault != str(fault):
                    logger.warning(
                        "malformed answer of discovery, the known list stays in use: {fault}",
                        event="discovery.unread",
                        fault=fault,
                    )
                update, self.logged_fault, self.answered = None, str(fault), True
            finally:
                self.tried = True
            self.answered = self.answered or self.refused or update is not None
            if update is None or not connection.prepare_next_message():
                self.close_connection()
            self.silent_calls = self.silent_calls + 1 if update is None and not self.refused else 0
            if update is None:
                if self.refused:
                    if not self.poll_schedule.refusals:
                        logger.warning("discovery refuses calls for the list", event="discovery.refused")
                    self.poll_schedule.refused()
                else:
                    self.poll_schedule.silent()
                yield Until(self.loop.now() + self.poll_schedule.again())
                continue
            if self.poll_schedule.refusals:
                logger.info("discovery answers again", event="discovery.again")
            self.poll_schedule.answered()
            self.logged_fault = None
            version, whole, places = update
            self.heard(places, whole)
            self.version = version

    def answer_grace(self):
        """Time allowed for an answer beyond the wait of the call, in ms.

        Grows with consecutive calls without an answer: an overloaded discovery that answers every call late
        would never be heard otherwise. The third such call allows as much as a whole poll, which still fits
        into the 6 s of `poll_schedule.TOLD`.
        """
        # at a start, where many may start on a busy machine
        if self.poll_schedule.pushed and not self.answered:
            return FIRST_ANSWER_GRACE_MS if self.silent_calls else GRACE_MS
        if self.poll_schedule.pushed or not self.silent_calls:
            return GRACE_MS
        return min(self.wait + GRACE_MS, GRACE_MS * 4.0 ** min(self.silent_calls - 1, MAX_BACKOFF_EXPONENT))

    def request_list(self, connection):
        """One call: the decoded list, or None if it was not answered with one in time."""
        wait, target = 0.0, "/api/targets"
        if self.version is not None:
            wait = 0.0 if self.silent_calls else self.wait
            target = f"{target}?index={self.version}&wait={wait:.0f}"
        began, reused = self.loop.now(), connection is self.answered_on and self.version is not None
        until = began + wait + self.answer_grace()
        request = h11.Request(method="GET", target=target, headers=[("Host", self.address)])
        status, body = (yield from connection.exchange(request, b"", MAX_LIST_BYTES, until)) or (0, b"")
        self.refused = status in (429, 503)
        if body is TOO_LONG:
            raise ValueError(f"the list is over {MAX_LIST_BYTES >> 20} MiB")
        if status != 200:
            return None
        version, whole, places = decode_list(json.loads(body))
        if reused and self.repeats_earlier(version, places, began + wait - EARLY_ANSWER_MS):
            raise ValueError(f"version {version} again, where a change of version {self.version} was awaited")
        self.answered_on = connection
        return version, whole, places

    def repeats_earlier(self, version, places, wait_over):
        """Whether an answer on a connection that has carried one is a copy of it: the answer to this request
        is newer, or empty once the wait is over (`wait_over`, ms).
        """
        if version != self.version:
            return version < self.version
        return bool(places) or self.loop.now() < wait_over
