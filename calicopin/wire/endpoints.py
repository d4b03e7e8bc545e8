"""Calls to endpoints: one at a time per connection, and never repeated here. Times are milliseconds."""

import base64
import json

import h11

from calicopin.connection_reuse import past_answer
from calicopin.facade import CallProgress, CallResult
from calicopin.wire.answers import read_outcome, read_unsent_outcome
from calicopin.wire.http import NO_RESOURCES, open_connection
from calicopin.wire.loop import RETRY_DELAY_MS, Until


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
    # a call with little time left opens a connection rather than wait for one
    resting = None if connection else pool.take_resting(place, (loop.now() + until) / 2.0)
    try:
        if resting:
            connection = resting.connection
            yield Until(pool.reuse.settled_at(resting.since))
            connection.idle_ms = loop.now() - resting.since
            if not pool.is_usable(resting, place.ident, loop.now()):
                connection.close()
                connection = None
            elif not still_wanted(call, loop.now()):
                reusable = True
                return CallResult(CallProgress.CALLED_OFF)
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

    answer = yield from read_outcome(connection, outstanding, pool.reuse, report_in_time)
    outcome, elapsed = answer.outcome, loop.now() - outstanding.began
    if outcome.progress == CallProgress.ANSWERED:
        pool.answered(call.place, elapsed)
        if answer.complete:
            remember_answer(pool, connection, call, outcome, elapsed)
        if outcome.status == 200 and loop.now() >= call.valid_until:
            outcome = CallResult(
                CallProgress.SENT, stale_connection=True, wait=outcome.wait, load=outcome.load
            )
    elif outcome.progress == CallProgress.SENT and connection.at_eof and not connection.unparsed():
        outcome.stale_connection = pool.was_closed_before(call.place, connection, elapsed)
    return outcome, answer.complete and may_be_reused(loop, pool, call, connection, answer.unsolicited)


def remember_answer(pool, connection, call, outcome, elapsed):
    """Notes an answer as one that later ones on its connection may be copies of."""
    past = past_answer(connection.parsed_data(), [text.ident for text in call.texts], bool(outcome.load))
    pool.reuse.answered(call.place.dest, past, elapsed)
    connection.remember_answer(past, outcome.status == 200 and len(call.texts) == 1)


def may_be_reused(loop, pool, call, connection, unsolicited):
    """Whether a connection may carry another call; notes data that this call had not asked for."""
    extra = connection.has_extra_data()
    if unsolicited or (extra and connection.pending_data()):
        pool.unsolicited(call.place.dest, call.place.ident, loop.now())
        return False
    return connection.prepare_next_message() and not extra
