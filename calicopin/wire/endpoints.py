"""Calls to endpoints: one at a time on a connection, and none is ever sent twice by itself."""

import base64
import json
import re

import h11

from calicopin.facade import Answer, Far
from calicopin.wire.http import NO_RESOURCES, TOO_LONG, open_connection
from calicopin.wire.loop import AGAIN, Until

MAX_ANSWER_BYTES = 65536
MAX_STATUS_LINE_BYTES = 1024  # of a first line
NOT_EXECUTED_STATUSES = (429, 503, 504, 410)  # statuses that say so
MAX_INTERIM_ANSWERS = 16  # 1xx answers before the one that counts
ANSWER_REMAINDER_MS = (
    1000.0  # for the rest of an answer once it has begun: guards slots against answers that never end
)
STATUS_LINE = re.compile(
    rb"HTTP/1\.[01] ([0-9]{3})(?: [^\r\n]*)?\r?\n"
)  # a whole line: one that stops short tells nothing


def parse_number(header, least=0.0):
    """A finite number from a header, or None."""
    try:
        value = float(header)
    except (TypeError, ValueError):
        return None
    return value if least <= value < float("inf") else None


def parse_load(header):
    """The report of an answer; anything but numbers is passed over."""
    try:
        value = json.loads(header) if header else {}
        return {
            name: float(x)
            for name, x in value.items()
            if isinstance(x, (int, float)) and not isinstance(x, bool) and 0.0 <= x < float("inf")
        }
    except (ValueError, AttributeError, RecursionError, OverflowError):
        return {}


def encode(call, timeout):
    """The head and the body of a call."""
    if len(call.texts) == 1:
        text = call.texts[0]
        target, body = "/inbox", text.body
        extra = [("X-Request-ID", text.ident.encode("latin-1"))]
        if text.reference is not None:
            extra.append(("Idempotency-Key", text.reference.encode("latin-1")))
    else:
        target, extra = "/inbox/bulk", [("Content-Type", "application/json")]
        body = json.dumps(
            [
                {"id": text.ident, "body": base64.b64encode(text.body).decode()}
                | ({} if text.reference is None else {"key": text.reference})
                for text in call.texts
            ]
        ).encode()
    headers = [
        ("Host", call.place.address),
        *extra,
        ("X-Timeout", f"{timeout / 1000.0:.3f}"),
        ("Content-Length", str(len(body))),
    ]
    return h11.Request(method="POST", target=target, headers=headers), body


def ends(body):
    """What a bulk answer says of each text; None where it cannot be read."""
    try:
        return {line["id"]: line["state"] for line in json.loads(body)}
    except (ValueError, TypeError, KeyError, RecursionError):
        return None


def answer(head):
    """What the head of an answer tells."""
    headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
    return Answer(
        Far.ANSWERED,
        status=head.status_code,
        wait=parse_number(headers.get("x-retry-in-ms")) or 0.0,
        no_slot=headers.get("x-no-slot") == "1",
        load=parse_load(headers.get("x-server-load")),
    )


def parse_status(data):
    """The status that the beginning of an answer tells; None where it is not there yet, 0 where it never
    will.
    """
    match = STATUS_LINE.match(data)
    if match:
        return int(match[1])
    return (
        None
        if b"HTTP/1.".startswith(data[:7]) and b"\n" not in data and len(data) < MAX_STATUS_LINE_BYTES
        else 0
    )


class Flight:
    """One call under way: how far it has come, so that it can be called off, or go on in another process."""

    __slots__ = ("call", "line", "until", "began", "task", "far", "given")

    def __init__(self, call, until):
        self.call, self.until, self.line, self.began, self.task = call, until, None, 0.0, None
        self.far, self.given = Far.CALLED_OFF, False  # far: what is certain if it were called off now


def submit(loop, pool, flight, connect_timeout, still_wanted, on_written, report):
    """One call from its start to its outcome, as a value that says how far it came.

    Guards drains, waits and memories of references against a connection that came up late: `still(call, now)`
    is asked again then. `written` is called once the last byte is out; `tell` hears what is certain before
    the answer has come to its end.
    """
    call, until, place = flight.call, flight.until, flight.call.place
    line, keep = pool.take(place, loop.now()), False
    try:
        while not line:
            line = yield from open_connection(loop, place.address, min(until, loop.now() + connect_timeout))
            if line is NO_RESOURCES and loop.now() + AGAIN < until:
                yield Until(loop.now() + AGAIN)
                continue
            if not line:
                return Answer(Far.CALLED_OFF if line is NO_RESOURCES else Far.UNCONNECTED)
            if not still_wanted(call, loop.now()):
                return Answer(Far.CALLED_OFF)
        flight.line, flight.began = line, loop.now()
        head, body = encode(call, max(1.0, until - loop.now()))
        data = line.encode(head, body)
        done = yield from line.write(data, until, stop_on_answer=True)
        if done < len(data):
            return (yield from read_unsent_outcome(line, call, until))
        on_written()
        outcome, keep = yield from receive_outcome(loop, pool, flight, report)
        return outcome
    finally:
        release_connection(loop, pool, flight, line, keep)


def go_on(loop, pool, flight, line, heard, report):
    """A call whose last byte another process wrote: from there to its outcome.

    `heard` is what came of the answer.
    """
    pool.used, keep = pool.used + 1, False
    try:
        line.encode(*encode(flight.call, 1.0))  # h11 is to know that a whole request is out
        if heard:  # nothing at all would be its end
            line.hear(heard)
        flight.line = line
        outcome, keep = yield from receive_outcome(loop, pool, flight, report)
        return outcome
    finally:
        release_connection(loop, pool, flight, line, keep)


def release_connection(loop, pool, flight, line, keep):
    """The end of a flight: its connection serves again, is closed, or goes on in another process."""
    if keep:
        pool.keep(flight.call.place, line, loop.now())
    else:
        pool.drop(None if flight.given else line, flight.call.place.ident)


def receive_outcome(loop, pool, flight, report):
    """The outcome, and whether its connection may serve again.

    Guards the one final answer against a process that stood still while a delivery was told: an endpoint lets
    go of a call once the time of its first text is up, and still says delivered. What is heard only then may
    have run or not, and is no fault of the endpoint's.
    """
    line, flight.far, call = flight.line, Far.SENT, flight.call

    def report_in_time(partial):
        if loop.now() < call.valid_until:
            report(partial)

    outcome, whole = yield from read_outcome(line, call, flight.until, report_in_time)
    if outcome.far == Far.ANSWERED:
        pool.answered(call.place, loop.now() - flight.began)
        if outcome.status == 200 and loop.now() >= call.valid_until:
            outcome = Answer(Far.SENT, gone=True, wait=outcome.wait, load=outcome.load)
    elif outcome.far == Far.SENT and line.ended and not line.unread():
        outcome.gone = pool.gone(call.place, line, loop.now() - flight.began)
    return outcome, whole and line.again() and not line.has_extra_data()


def read_outcome(line, call, until, report):
    """The outcome, and whether the answer came whole."""
    for _ in range(MAX_INTERIM_ANSWERS):
        while (status := parse_status(line.unread())) is None and not line.ended:
            if not (yield from line.read_more(until)):
                return Answer(Far.SENT, late=True), False
        if not status or status >= 200:
            break
        if not isinstance((yield from line.event(until)), h11.InformationalResponse):
            return Answer(Far.SENT), False
    if status == 200 and len(call.texts) == 1:
        return (yield from read_delivered(line, until, report))
    return (yield from read_whole_answer(line, call, until)) if status else (Answer(Far.SENT), False)


def read_delivered(line, until, report):
    """Once the first line says so, a text alone is delivered, whatever becomes of the rest."""
    outcome, deadline = Answer(Far.ANSWERED, status=200), min(until, line.loop.now() + ANSWER_REMAINDER_MS)
    event = line.parse()
    if event is h11.NEED_DATA:
        report(outcome)
        event = yield from line.event(deadline)
    if not isinstance(event, h11.Response):
        return outcome, False
    outcome = answer(event)
    report(outcome)
    body = yield from line.body(MAX_ANSWER_BYTES, deadline)
    return outcome, body is not None and body is not TOO_LONG


def read_unsent_outcome(line, call, until):
    """The outcome of a call whose last byte never went out.

    It has not run, but an answer may lie there, and a wait in it binds.
    """
    if not line.peek():
        return Answer(Far.UNSENT)
    outcome, _ = yield from read_whole_answer(line, call, until)
    if outcome.far == Far.ANSWERED and (outcome.status in NOT_EXECUTED_STATUSES or outcome.status == 200):
        return outcome
    return Answer(Far.UNSENT, wait=outcome.wait)


def read_whole_answer(line, call, until):
    """Any other answer counts only as a whole: a spoilt one may stand for a call that has run.

    A wait in its head binds all the same.
    """
    deadline = min(until, line.loop.now() + ANSWER_REMAINDER_MS)
    event = yield from line.event(deadline)
    if not isinstance(event, h11.Response):
        return Answer(Far.SENT, late=line.loop.now() >= until), False
    outcome, body = answer(event), (yield from line.body(MAX_ANSWER_BYTES, deadline))
    if body is None or body is TOO_LONG:
        return Answer(Far.SENT, late=line.loop.now() >= until, wait=outcome.wait), False
    if len(call.texts) > 1 and outcome.status == 200:
        outcome.ends = ends(body)
        if outcome.ends is None:  # nothing is known of any text: each may have run
            return Answer(Far.SENT, wait=outcome.wait), False
    return outcome, True
