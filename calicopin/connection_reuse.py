"""Which connections to endpoints may carry another call, and which answers on them belong to an earlier one.

HTTP/1.1 answers do not name their request: what arrives next on a connection counts as the answer to the
request sent last. A peer that sends an answer twice, in part, or too late would so answer a call that it has
not answered. No I/O; times are milliseconds.
"""

import json
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field

SETTLE_MS = 100.0  # between an answer and the next call on its connection, for a copy to show up
DISTRUST_MS = 60_000.0  # without reuse, after data that no call had asked for; doubled each time
MAX_DISTRUST_MS = 3_600_000.0
EARLY_SHARE = 0.5  # of a destination's fastest answer; a repeated answer that comes sooner is a copy
MIN_TIMED_ANSWERS = 10  # until the fastest answer counts
HEAD_END = b"\r\n\r\n"
STATUS_BYTES = len(b"HTTP/1.1 200")
MAX_DOUBTED_ANSWERS = 2  # taken for copies in vain, until a destination's equal answers are believed
KEPT_ANSWERS = 4  # of one connection
MAX_KEPT_BYTES = 4096  # of one answer; a longer one is not kept
REQUEST_TIMEOUT_LINE = b"HTTP/1.1 408"  # sent by servers that close an idle connection


@dataclass(slots=True, frozen=True)
class PastAnswer:
    """An answer to an earlier call on the same connection.

    `named` are the messages of that call that it names; `has_report` says whether it holds a load report.
    """

    data: bytes
    named: frozenset[str]
    has_report: bool


def names_message(data: bytes, ident: str) -> bool:
    """Whether the body of an answer to a single message is that message's id."""
    return data.partition(HEAD_END)[2] == ident.encode("latin-1")


def past_answer(data: bytes, idents: Collection[str], has_report: bool) -> PastAnswer:
    """The answer to a call with these messages, to be remembered."""
    if len(idents) == 1:
        named = frozenset(ident for ident in idents if names_message(data, ident))
    else:
        body = data.partition(HEAD_END)[2]
        named = frozenset(ident for ident in idents if json.dumps(ident).encode() in body)
    return PastAnswer(data, named, has_report)


class AnswerHistory:
    """The last answers on one connection."""

    __slots__ = ("answers", "deliveries", "named_deliveries")

    def __init__(self):
        self.answers = deque(maxlen=KEPT_ANSWERS)
        self.deliveries = self.named_deliveries = 0  # the second: those that named their messages

    @property
    def names_messages(self) -> bool:
        """Whether each delivery so far has named its message."""
        return 0 < self.deliveries == self.named_deliveries

    def add(self, answer: PastAnswer, delivered: bool) -> None:
        """Adds an answer; `delivered`: it says that the one message of its call was delivered."""
        if delivered:
            self.deliveries += 1
            self.named_deliveries += bool(answer.named)
        if len(answer.data) <= MAX_KEPT_BYTES:
            self.answers.append(answer)

    def may_become_copy(self, data: bytes) -> bool:
        """Whether the data is the beginning of an earlier answer, but not yet the whole of one."""
        return self.copied_by(data) is None and any(past.data.startswith(data) for past in self.answers)

    def copied_by(self, data: bytes) -> PastAnswer | None:
        """The latest earlier answer that the data begins with; None if there is none."""
        return next((past for past in reversed(self.answers) if data.startswith(past.data)), None)


def is_request_timeout(data: bytes) -> bool:
    """Whether a server says that it closes a connection on which no request came in time."""
    return data.startswith(REQUEST_TIMEOUT_LINE)


@dataclass(slots=True)
class DestinationRecord:
    """What is known of one destination's answers; its endpoints run the same software.

    `doubted` are answers that were taken for copies though none came behind them; `reports_vary` says whether
    two answers of one status have held different load reports.
    """

    distrusted_until: float = float("-inf")
    distrust_ms: float = 0.0  # the last period of distrust
    answers: int = 0
    fastest_ms: float = float("inf")
    last_reports: dict[bytes, bytes] = field(default_factory=dict)  # the last answer with one, by status
    reports_vary: bool = False
    doubted: int = 0


class ReusePolicy:
    """Decides on the reuse of connections, and on copies of answers, for each destination."""

    def __init__(self):
        self.destinations: dict[int | None, DestinationRecord] = {}
        self.unsolicited_count = 0

    def record_of(self, destination: int | None) -> DestinationRecord:
        """The record of a destination; None stands for an unknown one."""
        return self.destinations.setdefault(destination, DestinationRecord())

    def may_keep(self, destination: int | None, now: float) -> bool:
        """Whether a connection may be kept for another call."""
        known = self.destinations.get(destination)
        return known is None or now >= known.distrusted_until

    @staticmethod
    def settled_at(idle_since: float) -> float:
        """When a connection that is idle since `idle_since` (ms) may carry another call."""
        return idle_since + SETTLE_MS

    @staticmethod
    def has_settled(idle_ms: float) -> bool:
        """Whether a copy of the last answer would have arrived by now."""
        return idle_ms >= SETTLE_MS

    def unsolicited(self, destination: int | None, now: float) -> float:
        """Notes data that no call had asked for. From now on no connection is reused for a while.

        Returns how long (ms); 0 if that was so already.
        """
        self.unsolicited_count += 1
        record = self.record_of(destination)
        if now < record.distrusted_until:
            return 0.0
        record.distrust_ms = min(MAX_DISTRUST_MS, max(DISTRUST_MS, 2.0 * record.distrust_ms))
        record.distrusted_until = now + record.distrust_ms
        return record.distrust_ms

    def answered(self, destination: int, past: PastAnswer, elapsed: float) -> None:
        """Notes an answer that was believed, `elapsed` ms after its call began."""
        record = self.record_of(destination)
        record.answers += 1
        record.fastest_ms = min(record.fastest_ms, elapsed)
        if past.has_report and not record.reports_vary:
            status = past.data[:STATUS_BYTES]
            record.reports_vary = record.last_reports.setdefault(status, past.data) != past.data

    def is_copy(self, past: PastAnswer, destination: int, idents: Collection[str], elapsed: float) -> bool:
        """Whether an answer that equals `past`, an earlier one on its connection, is a copy of that one.

        `idents` are the messages of the call that it came to, `elapsed` the ms since that call began. An
        answer that names messages of another call is a copy. Where data has come unasked before, it is also
        one if it holds a load report where reports vary, or if it comes much sooner than any answer did,
        unless such answers have turned out to be genuine.
        """
        if past.named:
            return past.named.isdisjoint(idents)
        record = self.record_of(destination)
        if not record.distrust_ms or record.doubted >= MAX_DOUBTED_ANSWERS:
            return False
        early = record.answers >= MIN_TIMED_ANSWERS and elapsed < EARLY_SHARE * record.fastest_ms
        return early or (past.has_report and record.reports_vary)

    def came_in_usual_time(self, destination: int, elapsed: float) -> bool:
        """Whether an answer that breaks off came as late as answers do, `elapsed` ms after its call began."""
        record = self.record_of(destination)
        return record.answers >= MIN_TIMED_ANSWERS and elapsed >= EARLY_SHARE * record.fastest_ms

    def no_answer_behind_copy(self, destination: int) -> None:
        """Notes that no other answer followed one that was taken for a copy."""
        self.record_of(destination).doubted += 1

    def forget(self, destination: int) -> None:
        """Forgets a destination that is not used any more."""
        self.destinations.pop(destination, None)

    def forget_unlisted(self, listed: Collection[int]) -> None:
        """Forgets destinations that are not listed any more."""
        self.destinations = {known: record for known, record in self.destinations.items() if known in listed}
