"""Tests of the subscription messages: round trips, and errors that name the invalid field."""

import json

import pytest

from calicopin.subscription.messages import (
    FORM_VERSION,
    Grant,
    MessageError,
    Reason,
    Refusal,
    SubscribeRequest,
    decode_answer,
    decode_refusal,
    decode_request,
    encode_answer,
    encode_refusal,
    encode_request,
)

REQUEST = SubscribeRequest("fleet", "courier", "lease", 3, (1, 2), (4,))
GRANT = Grant("fleet", "node", "lease", 3, 30000.0, (1,), (2,))


def test_request_round_trip():
    assert decode_request(encode_request(REQUEST)) == REQUEST
    first = SubscribeRequest("fleet", "courier", subscribe=(7,))
    assert decode_request(encode_request(first)) == first


def test_answer_round_trip():
    answer = decode_answer(encode_answer(True, 9, [b'{"id":"a"}', b'{"id":"b"}'], GRANT))
    assert (answer.full, answer.version, answer.servers) == (True, 9, ({"id": "a"}, {"id": "b"}))
    assert answer.grant == GRANT


def test_refusal_round_trip():
    refusal = Refusal(Reason.TOO_MANY, "too many", 1500.0)
    assert decode_refusal(encode_refusal(refusal)) == refusal
    assert refusal.status == 429


@pytest.mark.parametrize(
    "change, place",
    [
        ({"form": FORM_VERSION + 1}, "subscription.form"),
        ({"form": True}, "subscription.form"),
        ({"more": 1}, "subscription.more"),
        ({"fleet": ""}, "subscription.fleet"),
        ({"courier": "x" * 257}, "subscription.courier"),
        ({"lease": 5}, "subscription.lease"),
        ({"sequence": -1}, "subscription.sequence"),
        ({"sequence": True}, "subscription.sequence"),
        ({"subscribe": "1,2"}, "subscription.subscribe"),
        ({"subscribe": [1, "2"]}, "subscription.subscribe[1]"),
        ({"unsubscribe": [-1]}, "subscription.unsubscribe[0]"),
        ({"subscribe": [10**9]}, "subscription.subscribe[0]"),
    ],
)
def test_invalid_request_is_refused_with_the_field_path(change, place):
    payload = json.loads(encode_request(REQUEST))
    payload["subscription"] |= change
    with pytest.raises(MessageError) as fault:
        decode_request(json.dumps(payload).encode())
    assert fault.value.place == place


@pytest.mark.parametrize("data", [b"", b"[]", b"{", b'{"subscription": null}', b"\xff", b"[" * 100000])
def test_invalid_data_is_refused(data):
    for decode in (decode_request, decode_answer, decode_refusal):
        with pytest.raises(MessageError):
            decode(data)


def test_every_truncated_answer_is_refused():
    complete = encode_answer(False, 9, [b'{"id":"a"}'], GRANT)
    for length in range(len(complete)):
        with pytest.raises(MessageError):
            decode_answer(complete[:length])
