"""Sizes of control messages, counted from what the program's own code writes for a typical courier. No
I/O."""

import json

import h11

from calicopin.subscription import messages

FLEET, COURIER, NODE = "fleet-main", "courier-12345", "node-17"
LEASE = "node-17-4f2a-12345"
FIRST, SET = 1_600_000, 90  # numbers of destinations with the usual length, and how many one courier uses
HOST = "node-17.internal:8080"


def entry(destination: int = FIRST) -> bytes:
    """One entry of the list's own form."""
    told = {
        "id": f"e{destination}.0",
        "addr": "10.123.45.67:28080",
        "cell": destination,
        "kind": "partner-api",
        "zone": "region5-zone16",
        "state": "active",
        "weight": 50.0,
    }
    return json.dumps(told, separators=(",", ":")).encode()


def request_head(method: str, target: str, length: int | None = None) -> int:
    """Bytes of a request's head as h11 writes it."""
    headers = [("Host", HOST)] + ([] if length is None else [("Content-Length", str(length))])
    sent = h11.Connection(h11.CLIENT).send(h11.Request(method=method, target=target, headers=headers))
    return len(sent)


def answer_head(length: int) -> int:
    """Bytes of an answer's head as h11 writes it."""
    headers = [("Content-Type", "application/json"), ("Content-Length", str(length))]
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    connection.next_event()
    return len(connection.send(h11.Response(status_code=200, headers=headers)))


def entry_bytes() -> int:
    """An entry and the comma behind it."""
    return len(entry()) + 1


def poll_bytes() -> int:
    """A call of today's exchange that brings no news, both ways."""
    answer = json.dumps({"full": False, "version": 1_000_000, "servers": []}, separators=(",", ":"))
    return (
        request_head("GET", "/api/targets?index=1000000&wait=2000") + answer_head(len(answer)) + len(answer)
    )


def _exchange(
    request: messages.SubscribeRequest, entries: list[bytes], complete: tuple[int, ...], target: str
) -> int:
    grant = messages.Grant(FLEET, NODE, LEASE, request.sequence, 30_000.0, complete)
    asked = messages.encode_request(request)
    told = messages.encode_answer(bool(complete), 1_000_000, entries, grant)
    heads = request_head("POST", target, len(asked)) + answer_head(len(told))
    return heads + len(asked) + len(told)


def renewal_bytes() -> int:
    """A renewal that brings no news, both ways."""
    request = messages.SubscribeRequest(FLEET, COURIER, LEASE, 3)
    return _exchange(request, [], (), "/api/targets?index=1000000&wait=2000")


def new_lease_bytes(destinations: int) -> int:
    """A new lease with so many destinations, both ways."""
    numbers = tuple(range(FIRST, FIRST + destinations))
    request = messages.SubscribeRequest(FLEET, COURIER, None, 0, numbers)
    return _exchange(request, [entry(number) for number in numbers], numbers, "/api/targets")


def subscribed_bytes() -> float:
    """What each subscribed destination adds to a new lease."""
    return (new_lease_bytes(SET) - new_lease_bytes(0)) / SET


def status_bytes() -> int:
    """One row of the answer to operators (`Facade.state`)."""
    row = dict(
        destination=FIRST,
        mode="well",
        waiting=20_000,
        out=3,
        endpoints=1,
        pace=12.345,
        usual_ms=123.4,
        wait_ms=0.0,
    )
    return len(json.dumps(row)) + 1
