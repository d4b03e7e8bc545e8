"""The messages of a subscription, as types and as JSON: one extra field in each message of the list exchange.

A courier sends `POST /api/targets?index=VERSION&wait=MILLISECONDS` with a JSON body of one field,
`subscription`. A discovery node answers 200 with the fields of the list (`full`, `version`, `servers`) and
the field `subscription`, or another status with a `Refusal`. An invalid message raises `MessageError`, which
names the field. docs/subscriptions-design.md describes the exchange; times are milliseconds.
"""

import json
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

FORM_VERSION = 1  # version of these messages; any other is refused
MAX_NAME_LENGTH = 256  # characters of a fleet's, courier's, node's or lease's name
MAX_MILLISECONDS = 1e12  # of a lease or a delay, so that no time overflows
MAX_DESTINATION = 999_999_999  # the largest destination number that clients may use


class MessageError(ValueError):
    """An invalid message; `place` is the path of the invalid field, `why` the reason."""

    def __init__(self, place: str, why: str):
        super().__init__(f"{place}: {why}")
        self.place = place
        self.why = why


class Reason(StrEnum):
    """Why a discovery node refuses a request."""

    UNREADABLE = "unreadable"  # 400: an unknown field, a wrong type, an unsupported version
    OTHER_FLEET = "other_fleet"  # 409: the node serves another fleet
    # 410: the lease or its sequence is unknown; the courier has to open a new lease with the whole set
    LEASE_OVER = "lease_over"
    TOO_LARGE = "too_large"  # 413: the set exceeds the node's limit
    # 429: the courier exceeds its rate limit, or the node has no free lease, connection or request slot
    TOO_MANY = "too_many"
    NOT_READY = "not_ready"  # 503: the node has not read its list yet, or is stopping


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
    """A courier's subscription: a new lease with the whole set, or a renewal with the changes of the set.

    `sequence` counts the changes of the set under one lease, starting at 0. A renewal with the node's current
    sequence changes nothing (it may repeat a request whose answer was lost), the next number applies the
    change, and any other number is refused with `LEASE_OVER`.
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

    `complete` lists the destinations of which `servers` has all endpoints: any other known endpoint of these
    destinations has left. `unknown` lists subscribed destinations that do not exist. In a `full` answer both
    together are the whole set. The lease expires `lease_ms` after the last request that renewed it.
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
    """A decoded answer; `servers` are entries of the endpoint list."""

    full: bool
    version: int
    servers: tuple[dict, ...]
    grant: Grant


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request was refused, with a message of one line, and after how many milliseconds to retry (0: not
    given).
    """

    reason: Reason
    message: str
    retry_ms: float = 0.0

    @property
    def status(self) -> int:
        """The HTTP status for the reason."""
        return HTTP_STATUS[self.reason]


def _check_object(value: Any, place: str, fields: tuple[str, ...]) -> dict:
    if not isinstance(value, dict):
        raise MessageError(place, "is no object")
    for name in value:
        if name not in fields:
            raise MessageError(f"{place}.{str(name)[:40]}", "is an unknown field")
    return value


def _check_name(value: Any, place: str) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_LENGTH:
        raise MessageError(place, f"is no word of 1 to {MAX_NAME_LENGTH} characters")
    return value


def _check_count(value: Any, place: str) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise MessageError(place, "is no whole number from 0 up")
    return value


def _check_milliseconds(value: Any, place: str) -> float:
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not is_number or not 0 <= value <= MAX_MILLISECONDS:
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
    """Raises MessageError if the message is invalid."""
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
    """An answer's body; `servers` are encoded entries, which many answers can share."""
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
    """Raises MessageError if the message is invalid; the entries themselves are checked by the reader of the
    list.
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
    """Raises MessageError if the message is invalid."""
    body = _check_object(_parse_json(data, "answer"), "answer", ("error",))
    payload = _check_object(body.get("error"), "error", ("reason", "message", "retry_ms"))
    try:
        reason = Reason(payload.get("reason"))
    except ValueError:
        raise MessageError("error.reason", f"{str(payload.get('reason'))[:40]} is none") from None
    message = str(payload.get("message", ""))[:MAX_NAME_LENGTH]
    return Refusal(reason, message, _check_milliseconds(payload.get("retry_ms", 0.0), "error.retry_ms"))
