"""Answers that a peer sends twice: none may count as the answer to a later request."""

import json
from itertools import product

import pytest
from helper import answer
from repeating_endpoint import Copies, RepeatingEndpoint, run_calls

from calicopin.facade import CallProgress, outcome_of
from calicopin.interface import How
from calicopin.state.connections import ConnectionPool

UNKNOWN_OUTCOMES = (How.TIMEOUT, How.BROKEN, How.CALLED_OFF, How.ERROR)


def full(number, idents):
    return answer(503, X_Server_Load='{"x0":0,"x1":%.3f}' % (7.0 + number / 1000.0))


def delivered(number, idents):
    states = json.dumps([{"id": ident, "state": "delivered"} for ident in idents]).encode()
    body = idents[0].encode() if len(idents) == 1 else states
    return answer(200, body, X_Server_Load='{"x0":0.5,"x1":%.3f}' % (12.0 + number / 1000.0))


def false_outcomes(endpoint, made):
    """(message, outcome, status that it was answered with) of each outcome that its answer does not prove."""
    expected = {200: How.DELIVERED, 503: How.FULL, 429: How.FULL, 500: How.ERROR}
    false = []
    for call, out in made:
        for result in [*out.told, out.answer]:
            for text in call.texts:
                outcome, _ = outcome_of(result, text.ident)
                truth = endpoint.answered[text.ident]
                if outcome not in (*UNKNOWN_OUTCOMES, expected[truth]):
                    false.append((text.ident, outcome.name, truth))
    return false


def test_a_copy_of_an_answer_is_not_taken_for_the_answer_to_the_next_call(loop):
    false = []
    for delay, first, second in product((0.0, 1.0, 8.0, 12.0, 60.0), (full, delivered), (full, delivered)):
        endpoint = RepeatingEndpoint(
            loop,
            lambda number, idents, first=first, second=second: (first if number == 1 else second)(
                number, idents
            ),
            lambda number, delay=delay: Copies((delay,) if number == 1 else ()),
        )
        made = run_calls(loop, endpoint, ConnectionPool(4, 8000.0), 3)
        false += [(delay, first.__name__, *found) for found in false_outcomes(endpoint, made)]
    assert not false, (len(false), false[:4])
