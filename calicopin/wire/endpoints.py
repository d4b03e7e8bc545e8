"""Calls to endpoints: one at a time on a connection, and none is ever sent twice by itself."""
import base64
import json

import h11

from calicopin.facade import Answer, Far
from calicopin.wire.http import TOO_LONG, dial

MOST_ANSWER = 1 << 20


def number(word, least=0.0):
    """A finite number from a header, or None."""
    try:
        value = float(word)
    except (TypeError, ValueError):
        return None
    return value if least <= value < float("inf") else None


def load(word):
    """The report of an answer; anything but numbers is passed over."""
    try:
        value = json.loads(word) if word else {}
    except ValueError:
        return {}
    if not isinstance(value, dict):
        return {}
    return {name: float(x) for name, x in value.items()
            if isinstance(x, (int, float)) and not isinstance(x, bool) and 0.0 <= x < float("inf")}


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
        body = json.dumps([
            {"id": text.ident, "body": base64.b64encode(text.body).decode()}
            | ({} if text.reference is None else {"key": text.reference}) for text in call.texts]).encode()
    headers = [("Host", call.place.address), *extra, ("X-Timeout", f"{timeout / 1000.0:.3f}"),
               ("Content-Length", str(len(body)))]
    return h11.Request(method="POST", target=target, headers=headers), body


def ends(body):
    """What a bulk answer says of each text; None where it cannot be read."""
    try:
        return {line["id"]: line["state"] for line in json.loads(body)}
    except (ValueError, TypeError, KeyError):
        return None


def answer(head):
    """What the head of an answer tells."""
    told = {name.decode(): value.decode("latin-1") for name, value in head.headers}
    return Answer(Far.ANSWERED, status=head.status_code, wait=number(told.get("x-retry-in-ms")) or 0.0,
                  no_slot=told.get("x-no-slot") == "1", load=load(told.get("x-server-load")))


def submit(loop, lines, call, connect_timeout, still):
    """One call from its start to its outcome, as a value that says how far it came. Guards drains, waits and
    memories of references against a connection that came up late: `still(call, now)` is asked again then."""
    until = loop.now() + call.timeout
    address = call.place.address
    line, keep = lines.take(address, loop.now()), False
    try:
        if line is None:
            line = yield from dial(loop, address, min(until, loop.now() + connect_timeout))
            if line is None:
                return Answer(Far.UNCONNECTED)
            if not still(call, loop.now()):
                return Answer(Far.CALLED_OFF)
        outcome = yield from talk(line, call, until)
        keep = outcome.far == Far.ANSWERED and line.again()
        return outcome
    finally:
        if keep:
            lines.keep(address, line, loop.now())
        else:
            lines.drop(line)


def talk(line, call, until):
    head, body = encode(call, max(1.0, until - line.loop.now()))
    data = line.encode(head, body)
    done = yield from line.write(data, until)
    if done < len(data):
        return Answer(Far.UNSENT)
    while True:
        event = yield from line.event(until)
        if event is None:
            return Answer(Far.SENT, late=True)
        if isinstance(event, h11.Response):
            break
        if not isinstance(event, h11.InformationalResponse):
            return Answer(Far.SENT)
    outcome = answer(event)
    told = yield from line.body(MOST_ANSWER, until)
    if told is TOO_LONG:
        told = b""
    if len(call.texts) > 1 and outcome.status == 200:
        outcome.ends = ends(told) if told is not None else None
        if outcome.ends is None:  # nothing is known of any text: each may have run
            return Answer(Far.SENT, late=told is None and line.loop.now() >= until)
    return outcome
