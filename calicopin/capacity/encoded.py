"""Sizes of control messages of a typical courier, counted from the bytes that the program's code encodes.

No I/O.
"""

import json

import h11

from calicopin.subscription import messages

FLEET, COURIER, NODE = "fleet-main", "courier-12345", "node-17"
LEASE = "node-17-4f2a-12345"
# A destination number of the usual length, and the number of destinations that one courier uses.
FIRST_DESTINATION, DESTINATIONS_PER_COURIER = 1_600_000, 90
HOST = "node-17.internal:8080"


def entry(destination: int = FIRST_DESTINATION) -> bytes:
    """Returns one entry of the destination list as JSON."""
    fields = {
        "id": f"e{destination}.0",
        "addr": "10.123.45.67:28080",
        "cell": destination,
        "kind": "partner-api",
        "zone": "region5-zone16",
        "state": "active",
        "weight": 50.0,
    }
    return json.dumps(fields, separators=(",", ":")).encode()


def request_head(method: str, target: str, length: int | None = None) -> int:
    """Bytes of a request's head as encoded by h11."""
    headers = [("Host", HOST)] + ([] if length is None else [("Content-Length", str(length))])
    head = h11.Connection(h11.CLIENT).send(h11.Request(method=method, target=target, headers=headers))
    return len(head)


def answer_head(length: int) -> int:
    """Bytes of an answer's head as encoded by h11."""
    headers = [("Content-Type", "application/json"), ("Content-Length", str(length))]
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    connection.next_event()
    return len(connection.send(h11.Response(status_code=200, headers=headers)))


def entry_bytes() -> int:
    """Bytes of a list entry and the comma after it."""
    return len(entry()) + 1


def poll_bytes() -> int:
    """Bytes of a long poll for the whole list that returns no change, in both directions."""
    answer = json.dumps({"full": False, "version": 1_000_000, "servers": []}, separators=(",", ":"))
    return (
        request_head("GET", "/api/targets?index=1000000&wait=2000") + answer_head(len(answer)) + len(answer)
    )


def _exchange(
    request: messages.SubscribeRequest, entries: list[bytes], complete: tuple[int, ...], target: str
) -> int:
    grant = messages.Grant(FLEET, NODE, LEASE, request.sequence, 30_000.0, complete)
    request_body = messages.encode_request(request)
    answer_body = messages.encode_answer(bool(complete), 1_000_000, entries, grant)
    heads = request_head("POST", target, len(request_body)) + answer_head(len(answer_body))
    return heads + len(request_body) + len(answer_body)


def renewal_bytes() -> int:
    """Bytes of a lease renewal that returns no change, in both directions."""
    request = messages.SubscribeRequest(FLEET, COURIER, LEASE, 3)
    return _exchange(request, [], (), "/api/targets?index=1000000&wait=2000")


def new_lease_bytes(destinations: int) -> int:
    """Bytes of a new lease with that many destinations, in both directions."""
    numbers = tuple(range(FIRST_DESTINATION, FIRST_DESTINATION + destinations))
    request = messages.SubscribeRequest(FLEET, COURIER, None, 0, numbers)
    return _exchange(request, [entry(number) for number in numbers], numbers, "/api/targets")


def subscribed_bytes() -> float:
    """Bytes that each subscribed destination adds to a new lease."""
    return (new_lease_bytes(DESTINATIONS_PER_COURIER) - new_lease_bytes(0)) / DESTINATIONS_PER_COURIER


def status_bytes() -> int:
    """Bytes of one row of the status answer to operators (`Facade.state`)."""
    row = dict(
        destination=FIRST_DESTINATION,
        mode="well",
        waiting=20_000,
        out=3,
        endpoints=1,
        pace=12.345,
        usual_ms=123.4,
        wait_ms=0.0,
    )
    return len(json.dumps(row)) + 1
