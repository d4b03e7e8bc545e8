"""Calls to endpoints: one at a time per connection, and never repeated here. Times are milliseconds."""

import base64
import json
import re

import h11

from calicopin.facade import CallProgress, CallResult
from calicopin.wire.http import NO_RESOURCES, TOO_LONG, open_connection
from calicopin.wire.loop import RETRY_DELAY_MS, Until

MAX_ANSWER_BYTES = 65536
MAX_STATUS_LINE_BYTES = 1024
NOT_EXECUTED_STATUSES = (429, 503, 504, 410)  # by which an endpoint says that it did not execute a call
MAX_INTERIM_ANSWERS = 16  # 1xx answers before the final one
ANSWER_REMAINDER_MS = 1000.0  # for the rest of an answer, so that one that never ends does not hold a slot
STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([0-9]{3})(?: [^\r\n]*)?\r?\n")  # complete: a cut one proves nothing


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


class OutstandingCall:
    """A call under way and its progress, with which it can be cancelled or continued in another process."""

    __slots__ = ("call", "connection", "until", "began", "task", "progress", "handed_over")

    def __init__(self, call, until):
        self.call, self.until, self.connection, self.began, self.task = call, until, None, 0.0, None
        # progress: the outcome if it were cancelled now
        self.progress, self.handed_over = CallProgress.CALLED_OFF, False


def submit(loop, pool, outstanding, connect_timeout, still_wanted, on_written, report):
    """A coroutine that makes one call; returns its outcome as an `CallResult`.

    `still_wanted(call, now)` is asked again once a new connection is open: meanwhile the endpoint may have
    begun to drain, told a wait, or forgotten a reference. `on_written` is called once the last byte is
    written; `report` receives an outcome that is certain before the answer is complete. `pool` holds idle
    connections.
    """
    call, until, place = outstanding.call, outstanding.until, outstanding.call.place
    connection, reusable = pool.take(place, loop.now()), False
    try:
        while not connection:
            connection = yield from open_connection(
                loop, place.address, min(until, loop.now() + connect_timeout)
            )
            if connection is NO_RESOURCES and loop.now() + RETRY_DELAY_MS < until:
                yield Until(loop.now() + RETRY_DELAY_MS)
                continue
            if not connection:
                return CallResult(
                    CallProgress.CALLED_OFF if connection is NO_RESOURCES else CallProgress.UNCONNECTED
                )
            if not still_wanted(call, loop.now()):
                return CallResult(CallProgress.CALLED_OFF)
        outstanding.connection, outstanding.began = connection, loop.now()
        head, body = encode(call, max(1.0, until - loop.now()))
        data = connection.encode(head, body)
        done = yield from connection.write(data, until, stop_on_answer=True)
        if done < len(data):
            return (yield from read_unsent_outcome(connection, call, until))
        on_written()
        outcome, reusable = yield from receive_outcome(loop, pool, outstanding, report)
        return outcome
    finally:
        release_connection(loop, pool, outstanding, connection, reusable)


def resume_call(loop, pool, outstanding, connection, heard, report):
    """Continues a call that another process sent completely, and returns its outcome.

    `heard` holds the bytes of the answer that were received so far.
    """
    pool.used, reusable = pool.used + 1, False
    try:
        connection.encode(*encode(outstanding.call, 1.0))  # puts h11 into the state after a complete request
        if heard:  # to h11, b"" would mean the end of stream
            connection.feed(heard)
        outstanding.connection = connection
        outcome, reusable = yield from receive_outcome(loop, pool, outstanding, report)
        return outcome
    finally:
        release_connection(loop, pool, outstanding, connection, reusable)


def release_connection(loop, pool, outstanding, connection, reusable):
    """Returns the connection of a call to the pool, or closes it unless another process has taken it over."""
    if reusable:
        pool.keep(outstanding.call.place, connection, loop.now())
    else:
        pool.drop(None if outstanding.handed_over else connection, outstanding.call.place.ident)


def receive_outcome(loop, pool, outstanding, report):
    """(outcome, whether the connection may be reused) of a call that was sent completely.

    An endpoint drops a call once the validity period of its first text is over, and answers it as delivered
    all the same. If this process was suspended and reads such an answer only after that time, the call may or
    may not have been executed: it counts as sent, and not as a failure of the endpoint.
    """
    connection, outstanding.progress, call = outstanding.connection, CallProgress.SENT, outstanding.call

    def report_in_time(partial):
        if loop.now() < call.valid_until:
            report(partial)

    outcome, complete = yield from read_outcome(connection, call, outstanding.until, report_in_time)
    if outcome.progress == CallProgress.ANSWERED:
        pool.answered(call.place, loop.now() - outstanding.began)
        if outcome.status == 200 and loop.now() >= call.valid_until:
            outcome = CallResult(
                CallProgress.SENT, stale_connection=True, wait=outcome.wait, load=outcome.load
            )
    elif outcome.progress == CallProgress.SENT and connection.at_eof and not connection.unparsed():
        outcome.stale_connection = pool.was_closed_before(
            call.place, connection, loop.now() - outstanding.began
        )
    return outcome, complete and connection.prepare_next_message() and not connection.has_extra_data()


def read_outcome(connection, call, until, report):
    """(outcome, whether the answer was read completely)."""
    for _ in range(MAX_INTERIM_ANSWERS):
        while (status := parse_status(connection.unparsed())) is None and not connection.at_eof:
            if not (yield from connection.read_more(until)):
                return CallResult(CallProgress.SENT, timed_out=True), False
        if not status or status >= 200:
            break
        if not isinstance((yield from connection.event(until)), h11.InformationalResponse):
            return CallResult(CallProgress.SENT), False
    if status == 200 and len(call.texts) == 1:
        return (yield from read_delivered(connection, until, report))
    return (
        (yield from read_complete_answer(connection, call, until))
        if status
        else (CallResult(CallProgress.SENT), False)
    )


def read_delivered(connection, until, report):
    """As `read_outcome` after status 200 to a single text: delivered, whatever follows the status line."""
    outcome, deadline = (
        CallResult(CallProgress.ANSWERED, status=200),
        min(until, connection.loop.now() + ANSWER_REMAINDER_MS),
    )
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

    It has not been executed, but the endpoint may have answered, and a wait in its answer is heeded.
    """
    if not connection.peek():
        return CallResult(CallProgress.UNSENT)
    outcome, _ = yield from read_complete_answer(connection, call, until)
    if outcome.progress == CallProgress.ANSWERED and (
        outcome.status in NOT_EXECUTED_STATUSES or outcome.status == 200
    ):
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
        if outcome.text_states is None:  # any of the texts may have been executed
            return CallResult(CallProgress.SENT, wait=outcome.wait), False
    return outcome, True
