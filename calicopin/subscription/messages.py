"""The messages of a subscription, as types and as JSON: one field more in each message of the list exchange.

A courier sends `POST /api/targets?index=VERSION&wait=MILLISECONDS` with a JSON body of one field,
`subscription`. A discovery node answers 200 with the list's own form (`full`, `version`, `servers`) and the
field `subscription`, or another status with a `Refusal`. What cannot be read raises `MessageError`, which
names the place. docs/subscriptions-design.md has the exchange; times are milliseconds.
"""

import json
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

FORM_VERSION = 1  # of these messages; a later one is refused by name
MOST_WORD = 256  # characters of a fleet's, courier's, node's or lease's name
MAX_DESTINATION = 999_999_999  # as clients may name one


class MessageError(ValueError):
    """A message that cannot be read; `place` is the field at fault, as a path."""

    def __init__(self, place: str, why: str):
        super().__init__(f"{place}: {why}")
        self.place = place
        self.why = why


class Reason(StrEnum):
    """Why a discovery node refuses a request."""

    UNREADABLE = "unreadable"  # 400: an unknown field, a wrong type, a form from the future
    OTHER_FLEET = "other_fleet"  # 409: the node serves another fleet
    # 410: the lease or its sequence is not known: subscribe anew with the whole set
    LEASE_OVER = "lease_over"
    TOO_LARGE = "too_large"  # 413: a set over the node's bound
    TOO_MANY = "too_many"  # 429: the courier asks too often, or the node holds as many leases as it may
    NOT_READY = "not_ready"  # 503: the node has not read its list yet, or ends


HTTP_STATUS = {
    Reason.UNREADABLE: 400,
    Reason.OTHER_FLEET: 409,
    Reason.LEASE_OVER: 410,
    Reason.TOO_LARGE: 413,
    Reason.TOO_MANY: 429,
    Reason.NOT_READY: 503,
}


@dataclass(frozen=True, slots=True)
class SubscribeRequest:
    """A courier's subscription: a new lease with the whole set, or a renewal with what changed in the set.

    `sequence` counts the modifications of the set under one lease, from 0 at its start: a renewal with the
    sequence that the node has changes nothing (its answer may have been lost), one more applies the change,
    any other is refused with `LEASE_OVER`.
    """

    fleet: str
    courier: str
    lease: str | None = None
    sequence: int = 0
    subscribe: tuple[int, ...] = ()
    unsubscribe: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Grant:
    """The field `subscription` of an answer.

    `complete` names the destinations of which `servers` holds all endpoints, so that any other known endpoint
    of them has left; `unknown` those subscribed ones that do not exist. Of a `full` answer both together are
    the whole set. The lease ends `lease_ms` after the last request that renewed it.
    """

    fleet: str
    node: str
    lease: str
    sequence: int
    lease_ms: float
    complete: tuple[int, ...] = ()
    unknown: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class SubscribeAnswer:
    """An answer as a courier reads it; `servers` are entries in the list's own form."""

    full: bool
    version: int
    servers: tuple[dict, ...]
    grant: Grant


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request was refused, in one plain line, and after how many milliseconds to come again (0: none
    told).
    """

    reason: Reason
    message: str
    retry_ms: float = 0.0

    @property
    def status(self) -> int:
        """The HTTP status that goes with the reason."""
        return HTTP_STATUS[self.reason]


def _check_object(value: Any, place: str, fields: tuple[str, ...]) -> dict:
    if not isinstance(value, dict):
        raise MessageError(place, "is no object")
    for name in value:
        if name not in fields:
            raise MessageError(f"{place}.{str(name)[:40]}", "is an unknown field")
    return value


def _check_name(value: Any, place: str) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MOST_WORD:
        raise MessageError(place, f"is no word of 1 to {MOST_WORD} characters")
    return value


def _check_count(value: Any, place: str) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise MessageError(place, "is no whole number from 0 up")
    return value


def _check_milliseconds(value: Any, place: str) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < float("inf"):
        raise MessageError(place, "is no number of milliseconds")
    return float(value)


def _check_destinations(value: Any, place: str) -> tuple[int, ...]:
    if not isinstance(value, list):
        raise MessageError(place, "is no list")
    for position, number in enumerate(value):
        if isinstance(number, bool) or not isinstance(number, int) or not 0 <= number <= MAX_DESTINATION:
            raise MessageError(f"{place}[{position}]", "is no number of a destination")
    return tuple(value)


def _check_form(payload: dict, place: str) -> None:
    form = payload.get("form")
    if form != FORM_VERSION or isinstance(form, bool):
        raise MessageError(
            f"{place}.form", f"{str(form)[:20]} is not form {FORM_VERSION}, the only one known here"
        )


def _parse_json(data: bytes, place: str) -> Any:
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as fault:
        raise MessageError(place, f"is no JSON: {fault}") from None


REQUEST_FIELDS = ("form", "fleet", "courier", "lease", "sequence", "subscribe", "unsubscribe")
GRANT_FIELDS = ("form", "fleet", "node", "lease", "sequence", "lease_ms", "complete", "unknown")


def encode_request(request: SubscribeRequest) -> bytes:
    """The request's body."""
    payload = {
        "form": FORM_VERSION,
        "fleet": request.fleet,
        "courier": request.courier,
        "lease": request.lease,
        "sequence": request.sequence,
        "subscribe": request.subscribe,
        "unsubscribe": request.unsubscribe,
    }
    return json.dumps({"subscription": payload}, separators=(",", ":")).encode()


def decode_request(data: bytes) -> SubscribeRequest:
    """Raises MessageError where it cannot be read."""
    body = _check_object(_parse_json(data, "body"), "body", ("subscription",))
    payload = _check_object(body.get("subscription"), "subscription", REQUEST_FIELDS)
    _check_form(payload, "subscription")
    lease = payload.get("lease")
    return SubscribeRequest(
        fleet=_check_name(payload.get("fleet"), "subscription.fleet"),
        courier=_check_name(payload.get("courier"), "subscription.courier"),
        lease=None if lease is None else _check_name(lease, "subscription.lease"),
        sequence=_check_count(payload.get("sequence"), "subscription.sequence"),
        subscribe=_check_destinations(payload.get("subscribe", []), "subscription.subscribe"),
        unsubscribe=_check_destinations(payload.get("unsubscribe", []), "subscription.unsubscribe"),
    )


def encode_answer(full: bool, version: int, servers: list[bytes], grant: Grant) -> bytes:
    """An answer's body; `servers` are entries that are JSON already, so that many answers can share them."""
    payload = {
        "form": FORM_VERSION,
        "fleet": grant.fleet,
        "node": grant.node,
        "lease": grant.lease,
        "sequence": grant.sequence,
        "lease_ms": grant.lease_ms,
        "complete": grant.complete,
        "unknown": grant.unknown,
    }
    head = json.dumps({"full": full, "version": version, "subscription": payload}, separators=(",", ":"))
    return head[:-1].encode() + b',"servers":[' + b",".join(servers) + b"]}"


def decode_answer(data: bytes) -> SubscribeAnswer:
    """Raises MessageError where it cannot be read; the entries themselves are checked by the list's
    reader.
    """
    body = _check_object(
        _parse_json(data, "answer"), "answer", ("full", "version", "servers", "subscription")
    )
    payload = _check_object(body.get("subscription"), "subscription", GRANT_FIELDS)
    _check_form(payload, "subscription")
    servers = body.get("servers")
    if not isinstance(body.get("full"), bool):
        raise MessageError("full", "is neither true nor false")
    if not isinstance(servers, list) or not all(isinstance(entry, dict) for entry in servers):
        raise MessageError("servers", "is no list of objects")
    grant = Grant(
        fleet=_check_name(payload.get("fleet"), "subscription.fleet"),
        node=_check_name(payload.get("node"), "subscription.node"),
        lease=_check_name(payload.get("lease"), "subscription.lease"),
        sequence=_check_count(payload.get("sequence"), "subscription.sequence"),
        lease_ms=_check_milliseconds(payload.get("lease_ms"), "subscription.lease_ms"),
        complete=_check_destinations(payload.get("complete"), "subscription.complete"),
        unknown=_check_destinations(payload.get("unknown"), "subscription.unknown"),
    )
    return SubscribeAnswer(body["full"], _check_count(body.get("version"), "version"), tuple(servers), grant)


def encode_refusal(refusal: Refusal) -> bytes:
    """A refusal's body."""
    payload = {"reason": refusal.reason, "message": refusal.message, "retry_ms": refusal.retry_ms}
    return json.dumps({"error": payload}, separators=(",", ":")).encode()


def decode_refusal(data: bytes) -> Refusal:
    """Raises MessageError where it cannot be read."""
    body = _check_object(_parse_json(data, "answer"), "answer", ("error",))
    payload = _check_object(body.get("error"), "error", ("reason", "message", "retry_ms"))
    try:
        reason = Reason(payload.get("reason"))
    except ValueError:
        raise MessageError("error.reason", f"{str(payload.get('reason'))[:40]} is none") from None
    message = str(payload.get("message", ""))[:MOST_WORD]
    return Refusal(reason, message, _check_milliseconds(payload.get("retry_ms", 0.0), "error.retry_ms"))
