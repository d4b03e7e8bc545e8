"""Long polling of the list of endpoints at the discovery agent. Times are milliseconds."""

import json
from collections import Counter

import h11
from loguru import logger

from calicopin.facade import Place
from calicopin.wire.answer_timeout import AnswerTimeout
from calicopin.wire.http import TOO_LONG
from calicopin.wire.loop import Until
from calicopin.wire.persistent_client import PersistentClient
from calicopin.wire.poll_schedule import POLL_INTERVAL_MS, TOLD, PollSchedule, longest_pause

# to connect, and for an answer beyond the wait of a long poll: the agent is on this machine
GRACE_MS = 250.0
FIRST_ANSWER_GRACE_MS = 2.0 * GRACE_MS  # for the first answer after a start, once a call was not answered
MAX_GRACE_MS = TOLD - 2.0 * GRACE_MS  # a call that is never answered and the next one fit into `TOLD`
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
        self.lateness = None  # of the last answer, in ms, where it is known
        self.logged_fault = None  # last one logged: it may recur ten times a second
        # while answers are missed, calls do not wait for changes, so that an agent that is back is noticed
        self.answer_timeout = AnswerTimeout(GRACE_MS, MAX_GRACE_MS)
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
                until = self.loop.now() + self.answer_grace()
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
            if update is None:
                if self.refused:
                    if not self.poll_schedule.refusals:
                        logger.warning("discovery refuses calls for the list", event="discovery.refused")
                    self.answer_timeout.answered()
                    self.poll_schedule.refused()
                else:
                    self.answer_timeout.miss()
                    self.poll_schedule.silent()
                self.poll_schedule.pause = self.longest_pause()
                yield Until(self.loop.now() + self.poll_schedule.again())
                continue
            if self.poll_schedule.refusals:
                logger.info("discovery answers again", event="discovery.again")
            self.poll_schedule.answered()
            self.answer_timeout.answered(self.lateness)
            self.logged_fault = None
            version, whole, places = update
            self.heard(places, whole)
            self.version = version

    def answer_grace(self):
        """Time allowed for connecting, and for an answer beyond the wait of the call, in ms."""
        grace = self.answer_timeout.current
        # at a start, where many may start on a busy machine
        is_second_call = self.poll_schedule.pushed and not self.answered and self.answer_timeout.missed
        return max(grace, FIRST_ANSWER_GRACE_MS) if is_second_call else grace

    def next_wait(self):
        """How long (ms) the next call asks discovery to wait for a change. Two answers in a row that are as
        late as allowed fit into `TOLD`.
        """
        if self.answer_timeout.missed:
            return 0.0
        return max(0.0, min(self.wait, TOLD - 2.0 * self.answer_timeout.current - GRACE_MS))

    def longest_pause(self):
        """The longest delay (ms) of the call after one that failed or was refused."""
        return max(POLL_INTERVAL_MS, longest_pause(self.next_wait(), self.answer_timeout.current))

    def request_list(self, connection):
        """One call: the decoded list, or None if it was not answered with one in time."""
        wait, target = 0.0, "/api/targets"
        if self.version is not None:
            wait = self.next_wait()
            target = f"{target}?index={self.version}&wait={wait:.0f}"
        began, reused = self.loop.now(), connection is self.answered_on and self.version is not None
        until = began + wait + self.answer_grace()
        request = h11.Request(method="GET", target=target, headers=[("Host", self.address)])
        status, body = (yield from connection.exchange(request, b"", MAX_LIST_BYTES, until)) or (0, b"")
        elapsed = self.loop.now() - began
        # an answer within the wait may tell of a change of any moment
        self.lateness = max(0.0, elapsed - wait) if not wait or elapsed >= wait else None
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
