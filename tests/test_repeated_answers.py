"""Answers that a peer sends twice: none may count as the answer to a later request."""

import json
from itertools import product

import pytest
from helper import answer
from repeating_endpoint import Copies, RepeatingEndpoint, advance, make_call, run_calls
from wire_helper import Out

from calicopin.connection_reuse import DISTRUST_MS, MAX_DOUBTED_ANSWERS, MIN_TIMED_ANSWERS, SETTLE_MS
from calicopin.facade import CallProgress, outcome_of
from calicopin.interface import How
from calicopin.state.connections import ConnectionPool

DESTINATION = 7
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


def plain_full(number, idents):
    return answer(503)


def plain_delivered(number, idents):
    return answer(200)


ANSWERS = (full, delivered)
PLAIN_ANSWERS = (plain_full, plain_delivered, *ANSWERS)


def sequence(*answers):
    """Answers the calls in this order, the last one for all that follow."""
    return lambda number, idents: answers[min(number, len(answers)) - 1](number, idents)


def made_calls(loop, answers, copies, count=4, pause_ms=1.0, texts=1, copied=1):
    """Plays calls at an endpoint that sends copies of its first `copied` answers; returns both."""
    endpoint = RepeatingEndpoint(
        loop, sequence(*answers), lambda number: copies if number <= copied else Copies()
    )
    return endpoint, run_calls(loop, endpoint, ConnectionPool(8, 8000.0), count, pause_ms, texts)


def test_a_copy_of_an_answer_is_not_taken_for_the_answer_to_the_next_call(loop):
    false = []
    for delay, first, second in product((0.0, 1.0, 8.0, 12.0, SETTLE_MS - 1.0), PLAIN_ANSWERS, PLAIN_ANSWERS):
        endpoint, made = made_calls(loop, (first, second), Copies((delay,)))
        false += [(delay, first.__name__, *found) for found in false_outcomes(endpoint, made)]
    assert not false, (len(false), false[:4])


def suspecting_pool():
    """A pool that has seen data come unasked from the destination, long enough ago to reuse connections."""
    pool = ConnectionPool(8, 8000.0)
    pool.reuse.unsolicited(DESTINATION, -DISTRUST_MS)
    return pool


@pytest.mark.parametrize("copied", [delivered, full])
def test_a_late_copy_is_told_by_the_message_that_it_names_or_where_copies_came_before_by_its_report(
    loop, copied
):
    false = []
    for delay, pause in product((60.0, 110.0, 150.0, 210.0, 400.0), (1.0, 30.0, 101.0, 120.0)):
        endpoint = RepeatingEndpoint(
            loop,
            sequence(copied, full, delivered, copied, delivered, full, delivered),
            lambda number, delay=delay: Copies((delay,) if number == 4 else ()),
        )
        pool = suspecting_pool() if copied is full else ConnectionPool(8, 8000.0)
        made = run_calls(loop, endpoint, pool, 7, pause)
        false += [(delay, pause, *found) for found in false_outcomes(endpoint, made)]
    assert not false, (len(false), false[:4])


@pytest.mark.parametrize("length", [1, 14, 30, 60, -16, -4])
@pytest.mark.parametrize("delay", [8.0, 90.0, 180.0])
def test_part_of_an_answer_changes_no_later_one(loop, delay, length):
    false = []
    for first, second, pause in product(ANSWERS, ANSWERS, (1.0, 102.0)):
        answers = (delivered, full, first, second)
        endpoint = RepeatingEndpoint(
            loop,
            sequence(*answers),
            lambda number: Copies((delay,), length) if number == 3 else Copies(),
        )
        made = run_calls(loop, endpoint, ConnectionPool(8, 8000.0), 5, pause)
        false += [(first.__name__, pause, *found) for found in false_outcomes(endpoint, made)]
    assert not false, (len(false), false[:4])


@pytest.mark.parametrize(
    "copies",
    [
        Copies((0.0, 0.0)),
        Copies((5.0, 9.0, 13.0)),
        Copies((2.0, 60.0)),  # the first one tells
        Copies((0.0,), close=True),
        Copies((9.0,), close=True),
        Copies((9.0,), length=20, close=True),
    ],
)
def test_several_copies_and_a_close_behind_one_change_no_later_answer(loop, copies):
    false = []
    for first, second, pause in product(PLAIN_ANSWERS, PLAIN_ANSWERS, (1.0, 30.0, 101.0)):
        endpoint, made = made_calls(loop, (first, second), copies, pause_ms=pause)
        false += false_outcomes(endpoint, made)
    assert not false, (len(false), false[:4])


@pytest.mark.parametrize("delay", [0.0, 9.0, 60.0, 150.0, 250.0])
def test_a_copy_of_a_bulk_answer_ends_no_message_of_the_next_call(loop, delay):
    endpoint, made = made_calls(loop, (delivered,), Copies((delay,)), count=5, pause_ms=102.0, texts=3)
    assert not false_outcomes(endpoint, made)


def test_an_early_copy_of_a_plain_answer_is_not_believed_where_copies_came_before(loop):
    """The copy comes 130 ms behind its answer, 29 ms after the next call began; answers take 100 ms."""
    answers = [plain_delivered] * MIN_TIMED_ANSWERS + [plain_full, plain_delivered]
    endpoint = RepeatingEndpoint(
        loop,
        sequence(*answers),
        lambda number: Copies((130.0,) if number == MIN_TIMED_ANSWERS + 1 else ()),
    )
    made = run_calls(loop, endpoint, suspecting_pool(), MIN_TIMED_ANSWERS + 3, 101.0)
    assert not false_outcomes(endpoint, made)
    assert all(out.answer.progress == CallProgress.ANSWERED for _, out in made)


def test_after_the_first_copy_every_call_has_its_outcome(loop):
    """Copies of all answers: none is unknown, and each call has a connection of its own."""
    endpoint, made = made_calls(loop, (full, delivered), Copies((9.0,)), 8, 101.0, copied=100)
    assert not false_outcomes(endpoint, made)
    assert [out.answer.progress for _, out in made] == [CallProgress.ANSWERED] * 8
    assert endpoint.opened == 8


@pytest.mark.parametrize("pause", [1.0, 101.0])
@pytest.mark.parametrize("answers", [(plain_delivered,), (plain_full,), (delivered,), (full, delivered)])
def test_an_endpoint_that_sends_no_copies_keeps_its_connection(loop, answers, pause):
    """Equal answers to calls of their own are no copies, with or without a report."""
    endpoint, made = made_calls(loop, answers, Copies(), 20, pause)
    assert [out.answer.progress for _, out in made] == [CallProgress.ANSWERED] * 20
    assert not false_outcomes(endpoint, made) and endpoint.opened == 1


def test_a_call_with_little_time_left_waits_for_no_resting_connection(loop):
    endpoint = RepeatingEndpoint(loop, sequence(delivered), lambda number: Copies(), latency_ms=10.0)
    pool = ConnectionPool(8, 8000.0)
    run_calls(loop, endpoint, pool, 1)
    hurried = Out(loop, make_call(endpoint, 1, timeout_ms=SETTLE_MS), pool)
    advance(loop, endpoint, loop.now() + SETTLE_MS / 2.0, lambda: hurried.answer is not None)
    assert hurried.answer.status == 200 and endpoint.opened == 2


@pytest.mark.parametrize("suspected", [False, True])
def test_equal_load_reports_are_no_sign_of_a_copy_where_reports_do_not_vary(loop, suspected):
    constant = [lambda number, idents: answer(503, X_Server_Load='{"x0":1,"x1":7.0}')]
    endpoint = RepeatingEndpoint(loop, sequence(*constant), lambda number: Copies())
    made = run_calls(loop, endpoint, suspecting_pool() if suspected else ConnectionPool(8, 8000.0), 20, 101.0)
    assert [out.answer.progress for _, out in made] == [CallProgress.ANSWERED] * 20 and endpoint.opened == 1


def test_a_plain_answer_behind_a_bulk_answer_is_believed(loop):
    """A bulk answer has to name its messages; an answer to one message may have any body."""
    endpoint = RepeatingEndpoint(loop, sequence(delivered, plain_delivered), lambda number: Copies())
    pool = ConnectionPool(8, 8000.0)
    made = run_calls(loop, endpoint, pool, 1, 101.0, texts=2) + run_calls(loop, endpoint, pool, 2, 101.0)
    assert [out.answer.status for _, out in made] == [200] * 3 and endpoint.opened == 1


def test_doubts_about_genuine_answers_end(loop):
    """Reports that vary at first and are equal later cost two calls at most."""
    reports = [1.0, 0.5] + [0.0] * 18
    varying = [
        lambda number, idents, report=report: answer(503, X_Server_Load=json.dumps(dict(x0=report)))
        for report in reports
    ]
    endpoint = RepeatingEndpoint(loop, sequence(*varying), lambda number: Copies())
    made = run_calls(loop, endpoint, suspecting_pool(), 20, 101.0)
    unknown = [out for _, out in made if out.answer.progress != CallProgress.ANSWERED]
    assert len(unknown) <= MAX_DOUBTED_ANSWERS and not false_outcomes(endpoint, made)
