"""Answers of endpoints: reading, decoding, and telling the answer to a call from copies of earlier ones.

Times are milliseconds.
"""

import json
import re
from dataclasses import dataclass

import h11
from loguru import logger

from calicopin.connection_reuse import HEAD_END, ReusePolicy, names_message
from calicopin.facade import CallProgress, CallResult
from calicopin.wire.http import TOO_LONG

MAX_ANSWER_BYTES = 65536
MAX_STATUS_LINE_BYTES = 1024
NOT_EXECUTED_STATUSES = (429, 503, 504, 410)  # by which an endpoint says that it did not execute a call
MAX_INTERIM_ANSWERS = 16  # 1xx answers before the final one
MAX_COPIES = 16  # of earlier answers before the answer to a call
ANSWER_REMAINDER_MS = 1000.0  # for the rest of an answer, so that one that never ends does not hold a slot
STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([0-9]{3})(?: [^\r\n]*)?\r?\n")  # complete: a cut one proves nothing
EMBEDDED_STATUS_LINE = re.compile(rb".HTTP/1\.[01] [1-5][0-9]{2}", re.DOTALL)


@dataclass(slots=True)
class Answer:
    """What was read after a call: its outcome, and whether the answer is complete.

    `unsolicited`: data came that this call had not asked for, so that its connection must not be reused.
    """

    outcome: CallResult
    complete: bool
    unsolicited: bool = False


def parse_number(header, least=0.0):
    """A finite number of at least `least` from a header, or None."""
    try:
        value = float(header)
    except (TypeError, ValueError):
        return None
    return value if least <= value < float("inf") else None


def parse_load(header):
    """The load report in an answer; entries that are not numbers are ignored."""
    try:
        value = json.loads(header) if header else {}
        return {
            name: float(x)
            for name, x in value.items()
            if isinstance(x, (int, float)) and not isinstance(x, bool) and 0.0 <= x < float("inf")
        }
    except (ValueError, AttributeError, RecursionError, OverflowError):
        return {}


def decode_bulk_states(body):
    """The state of each text by its id in a bulk answer; None if it cannot be decoded."""
    try:
        return {line["id"]: line["state"] for line in json.loads(body)}
    except (ValueError, TypeError, KeyError, RecursionError):
        return None


def decode_head(head):
    """Decodes the head of an answer."""
    headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
    return CallResult(
        CallProgress.ANSWERED,
        status=head.status_code,
        wait=parse_number(headers.get("x-retry-in-ms")) or 0.0,
        no_slot=headers.get("x-no-slot") == "1",
        load=parse_load(headers.get("x-server-load")),
    )


def parse_status(data):
    """The status at the beginning of an answer; None if more data is needed, 0 if it is malformed."""
    match = STATUS_LINE.match(data)
    if match:
        return int(match[1])
    return (
        None
        if b"HTTP/1.".startswith(data[:7]) and b"\n" not in data and len(data) < MAX_STATUS_LINE_BYTES
        else 0
    )


def read_outcome(connection, outstanding, reuse: ReusePolicy, report):
    """The `Answer` to an outstanding call; `report` receives an outcome that is certain before its end."""
    call, until = outstanding.call, outstanding.until
    if connection.history is None:
        outcome, complete = yield from read_answer(connection, call, until, report)
        return Answer(outcome, complete)
    copies = yield from discard_copies(connection, outstanding, reuse)
    elapsed = connection.loop.now() - outstanding.began
    is_part = connection.received and connection.history.may_become_copy(bytes(connection.received))
    if is_part and not reuse.came_in_usual_time(call.place.dest, elapsed):
        return Answer(CallResult(CallProgress.SENT, timed_out=connection.loop.now() >= until), False)
    if not (yield from is_one_answer(connection, until)):
        return Answer(CallResult(CallProgress.SENT), False, unsolicited=True)
    outcome, complete = yield from read_answer(connection, call, until, report)
    if copies and not connection.received:
        reuse.no_answer_behind_copy(call.place.dest)
    return Answer(outcome, complete, unsolicited=copies > 0)


def discard_copies(connection, outstanding, reuse):
    """Discards copies of earlier answers that come before the answer to this call; returns their number."""
    call, discarded = outstanding.call, 0
    idents = [text.ident for text in call.texts]
    while discarded < MAX_COPIES:
        yield from read_distinct(connection, outstanding.until)
        past = connection.history.copied_by(bytes(connection.received))
        elapsed = connection.loop.now() - outstanding.began
        if past is None or not reuse.is_copy(past, call.place.dest, idents, elapsed):
            break
        connection.discard_received(len(past.data))
        discarded += 1
        logger.info(
            "{endpoint} repeated an earlier answer {elapsed_ms:.0f} ms after a call began; its own answer is "
            "awaited, messages {messages}",
            event="answer.repeated",
            endpoint=call.place.ident,
            elapsed_ms=elapsed,
            messages=" ".join(idents),
        )
    return discarded


def read_distinct(connection, until):
    """Reads until the data can be told from the beginning of any earlier answer on the connection."""
    while not connection.at_eof and connection.history.may_become_copy(bytes(connection.received)):
        if connection.received:
            until = min(until, connection.loop.now() + ANSWER_REMAINDER_MS)
        if not (yield from connection.read_more(until)):
            return


def is_one_answer(connection, until):
    """Reads the head of an answer; False if it holds the beginning of another one."""
    deadline = min(until, connection.loop.now() + ANSWER_REMAINDER_MS)
    while connection.received and HEAD_END not in connection.received:
        too_long = len(connection.received) >= MAX_ANSWER_BYTES
        if too_long or connection.at_eof or not (yield from connection.read_more(deadline)):
            break
    head = bytes(connection.received).partition(HEAD_END)[0]
    return not EMBEDDED_STATUS_LINE.search(head)


def read_answer(connection, call, until, report):
    """(outcome, whether the answer was read completely)."""
    for _ in range(MAX_INTERIM_ANSWERS):
        while (status := parse_status(connection.unparsed())) is None and not connection.at_eof:
            if not (yield from connection.read_more(until)):
                return CallResult(CallProgress.SENT, timed_out=True), False
        if not status or status >= 200:
            break
        if not isinstance((yield from connection.event(until)), h11.InformationalResponse):
            return CallResult(CallProgress.SENT), False
        connection.drop_parsed_data()
    if status == 200 and len(call.texts) == 1:
        return (yield from read_delivered(connection, call.texts[0].ident, until, report))
    return (
        (yield from read_complete_answer(connection, call, until))
        if status
        else (CallResult(CallProgress.SENT), False)
    )


def read_delivered(connection, ident, until, report):
    """As `read_answer` after status 200 to a single text: delivered, whatever follows the status line.

    Where all deliveries on this connection have named their message, one that is whole and does not proves
    nothing.
    """
    if connection.history is None or not connection.history.names_messages:
        return (yield from read_to_end(connection, until, report))
    outcome, complete = yield from read_to_end(connection, until)
    if complete and not names_message(connection.parsed_data(), ident):
        return CallResult(CallProgress.SENT, wait=outcome.wait), False
    return outcome, complete


def read_to_end(connection, until, report=lambda outcome: None):
    """(outcome, whether it is complete) of an answer that delivers, however much of it comes in time."""
    deadline = min(until, connection.loop.now() + ANSWER_REMAINDER_MS)
    outcome = CallResult(CallProgress.ANSWERED, status=200)
    event = connection.parse()
    if event is h11.NEED_DATA:
        report(outcome)
        event = yield from connection.event(deadline)
    if not isinstance(event, h11.Response):
        return outcome, False
    outcome = decode_head(event)
    report(outcome)
    body = yield from connection.body(MAX_ANSWER_BYTES, deadline)
    return outcome, body is not None and body is not TOO_LONG


def read_unsent_outcome(connection, call, until):
    """The outcome of a call that was not sent completely.

    It has not been executed, but the endpoint may have answered, and a wait in its answer is heeded. On a
    connection that has carried answers, a delivery is one of those.
    """
    if not connection.peek():
        return CallResult(CallProgress.UNSENT)
    outcome, _ = yield from read_complete_answer(connection, call, until)
    delivered = outcome.status == 200 and connection.history is None
    if outcome.progress == CallProgress.ANSWERED and (outcome.status in NOT_EXECUTED_STATUSES or delivered):
        return outcome
    return CallResult(CallProgress.UNSENT, wait=outcome.wait)


def read_complete_answer(connection, call, until):
    """As `read_outcome` for other answers, which count only if complete and well-formed.

    After any other the call may have been executed; a wait in its head is heeded all the same.
    """
    deadline = min(until, connection.loop.now() + ANSWER_REMAINDER_MS)
    event = yield from connection.event(deadline)
    if not isinstance(event, h11.Response):
        return CallResult(CallProgress.SENT, timed_out=connection.loop.now() >= until), False
    outcome, body = decode_head(event), (yield from connection.body(MAX_ANSWER_BYTES, deadline))
    if body is None or body is TOO_LONG:
        return CallResult(
            CallProgress.SENT, timed_out=connection.loop.now() >= until, wait=outcome.wait
        ), False
    if len(call.texts) > 1 and outcome.status == 200:
        outcome.text_states = decode_bulk_states(body)
        names_call = outcome.text_states and any(text.ident in outcome.text_states for text in call.texts)
        if not names_call:  # any of the texts may have been executed
            return CallResult(CallProgress.SENT, wait=outcome.wait), False
    return outcome, True
