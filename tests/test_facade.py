"""The facade over the decisions: how results of calls become outcomes of texts."""

import pytest
from courier_helper import make_facade, make_place, make_text, take_calls, take_endings
from helper import terms

from calicopin.facade import CallProgress, CallResult, Facade, outcome_of
from calicopin.interface import How


@pytest.mark.parametrize(
    "answer,outcome,ended",
    [
        (CallResult(CallProgress.CALLED_OFF), How.NOT_SENT, False),
        (CallResult(CallProgress.UNCONNECTED), How.UNREACHED, False),
        (CallResult(CallProgress.UNSENT), How.UNREACHED, False),
        (CallResult(CallProgress.SENT), How.BROKEN, False),
        (CallResult(CallProgress.SENT, stale_connection=True), How.CALLED_OFF, False),
        (CallResult(CallProgress.SENT, timed_out=True), How.TIMEOUT, False),
        (CallResult(CallProgress.ANSWERED, status=200), How.DELIVERED, True),
        (CallResult(CallProgress.ANSWERED, status=500), How.ERROR, False),
        (CallResult(CallProgress.ANSWERED, status=429), How.FULL, False),
        (CallResult(CallProgress.ANSWERED, status=503), How.FULL, False),
        (CallResult(CallProgress.ANSWERED, status=503, no_slot=True), How.NOT_SENT, False),
        (CallResult(CallProgress.ANSWERED, status=504), How.NOT_SENT, False),
        (CallResult(CallProgress.ANSWERED, status=410), How.NOT_SENT, True),
        (CallResult(CallProgress.ANSWERED, status=418), How.ERROR, False),
        (CallResult(CallProgress.ANSWERED, status=200, text_states={"x": "refused"}), How.FULL, False),
        (CallResult(CallProgress.ANSWERED, status=200, text_states={"x": "over"}), How.NOT_SENT, True),
        (CallResult(CallProgress.ANSWERED, status=200, text_states={"x": "spent"}), How.NOT_SENT, False),
        (CallResult(CallProgress.ANSWERED, status=200, text_states={"x": ["odd"]}), How.ERROR, False),
        (CallResult(CallProgress.ANSWERED, status=200, text_states={}), How.ERROR, False),
    ],
)
def test_the_outcome_follows_from_the_result_of_the_call(answer, outcome, ended):
    assert outcome_of(answer, "x") == (outcome, ended)


def test_texts_in_a_shared_call_have_separate_outcomes():
    facade = make_facade(places=[make_place(kind="many")])
    for ident in "abc":
        facade.add_text(make_text(ident))
    facade.tick(0.0)
    (call,) = take_calls(facade)
    facade.report(
        call,
        CallResult(
            CallProgress.ANSWERED,
            status=200,
            wait=900.0,
            text_states={"a": "delivered", "b": "refused", "c": "failed"},
        ),
        100.0,
    )
    facade.tick(100.0)
    returned = [facade.next_returned_text(), facade.next_returned_text()]
    assert take_endings(facade) == [("a", None)] and [(t.ident, ran) for t, ran in returned] == [
        ("b", False),
        ("c", True),
    ]
    assert not take_calls(facade)
    facade.tick(999.0)
    assert not take_calls(facade)
    next_tick = 999.0
    while next_tick < 3400.0:
        next_tick = facade.tick(next_tick)
    assert sorted(one.ident for call in take_calls(facade) for one in call.texts) == ["b"]  # c may have run


def test_a_wait_in_an_answer_of_200_is_respected():
    facade = make_facade()
    facade.add_text(make_text("a"))
    facade.tick(0.0)
    (call,) = take_calls(facade)
    facade.report(call, CallResult(CallProgress.ANSWERED, status=200, wait=600.0), 50.0)
    facade.add_text(make_text("b"))
    facade.tick(50.0)
    assert take_endings(facade) == [("a", None)] and not take_calls(facade)
    facade.tick(649.0)
    assert not take_calls(facade)


def test_a_call_is_checked_again_once_its_connection_is_established():
    """Meanwhile its endpoint may start or stop draining, a wait may begin, or a reference may expire."""
    facade = make_facade(now=1000.0, places=[make_place(), make_place("s-2")])
    facade.add_text(make_text("a", 1, ran_at=-13000.0, ran_zone="a", tries=1))
    facade.add_text(make_text("b"))
    facade.tick(1000.0)
    calls = {call.texts[0].ident: call for call in take_calls(facade)}
    assert (
        facade.may_still_send(calls["a"], 1900.0)
        and not facade.may_still_send(calls["a"], 2000.0)
        and facade.may_still_send(calls["b"], 2000.0)
    )
    for ready in (False, True):
        endpoint = calls["b"].place.ident
        facade.update_list([make_place(endpoint, ready=ready)], False)
        facade.tick(1100.0)
        assert facade.may_still_send(calls["b"], 1100.0) is ready
    facade.report(calls["a"], CallResult(CallProgress.ANSWERED, status=429, wait=500.0), 150.0)
    facade.tick(1150.0)
    assert not facade.may_still_send(calls["b"], 1600.0) and facade.may_still_send(calls["b"], 1650.0)


def test_no_text_is_sent_twice_when_a_shared_call_has_texts_with_different_time_outs():
    """A once-only text waits for the whole time-out; the call stayed open while the other was resent."""
    for products in ((0, 2), (2, 0)):
        facade = make_facade(places=[make_place(kind="many")])
        for number, product in enumerate(products):
            facade.add_text(make_text(str(number), product))
        next_tick = facade.tick(0.0)
        (call,) = take_calls(facade)
        assert len(call.texts) == 2 and call.timeout == 2000.0
        while next_tick < 9000.0:
            next_tick = facade.tick(next_tick)
        assert not take_calls(facade)
        facade.report(call, CallResult(CallProgress.SENT, timed_out=True), 2000.0)
        facade.tick(9000.0)
        assert [one.product for call in take_calls(facade) for one in call.texts] == [0]


def test_a_shared_call_ends_with_the_earliest_validity_period_of_its_texts():
    """The call continued for the remaining texts.

    A slow endpoint dropped the whole call when the first text expired, yet answered that all were delivered:
    the other texts were accepted and got no final answer.
    """
    facade = make_facade(places=[make_place(kind="many")])
    facade.add_text(make_text("a", until=700.0))
    facade.add_text(make_text("b"))
    facade.tick(0.0)
    (call,) = take_calls(facade)
    assert len(call.texts) == 2 and call.timeout == 700.0
    facade.report(call, CallResult(CallProgress.SENT, timed_out=True), 700.0)
    facade.tick(700.0)
    assert take_endings(facade) == [("a", "bounced")]
    (again,) = take_calls(facade)
    assert [one.ident for one in again.texts] == ["b"]
    facade.report(again, CallResult(CallProgress.ANSWERED, status=200), 100.0)
    facade.tick(800.0)
    assert take_endings(facade) == [("b", None)]


def test_which_restored_texts_are_sent_again():
    """After a submit without an answer, resendable and referenced texts are sent again.

    Once-only texts are undeliverable; texts out of attempts, out of time or past their reference's memory are
    nacked.
    """
    facade = make_facade(now=1000.0)
    facade.add_text(make_text("resendable", 0, ran_at=10.0, ran_zone="a", tries=1))
    facade.add_text(make_text("referenced", 1, ran_at=10.0, ran_zone="a", tries=1))
    facade.add_text(make_text("forgotten", 1, until=30000.0, ran_at=-15000.0, ran_zone="a", tries=1))
    facade.add_text(make_text("once", 2, ran_at=10.0, ran_zone="a", tries=1))
    facade.add_text(make_text("fresh", 2, tries=1))
    facade.add_text(make_text("spent", 0, tries=4))
    facade.add_text(make_text("late", 0, until=900.0))
    facade.tick(1000.0)
    assert sorted(call.texts[0].ident for call in take_calls(facade)) == ["fresh", "referenced", "resendable"]
    assert sorted(take_endings(facade)) == [
        ("forgotten", "bounced"),
        ("late", "bounced"),
        ("once", "dead"),
        ("spent", "bounced"),
    ]


def test_a_key_is_blocked_for_its_settling_time_after_a_restart():
    """The last call of a key may still run, even if its text has ended and is no longer known."""
    facade = Facade(7, terms(), 8, 1000.0, restarted=True)
    facade.update_list([make_place()], True)
    facade.add_text(make_text("first", 2, key="van", ran_at=900.0, ran_zone="a", tries=1))
    facade.add_text(make_text("second", 2, key="van"))
    facade.add_text(make_text("free", 2))
    next_tick = facade.tick(1000.0)
    assert [one.ident for call in take_calls(facade) for one in call.texts] == ["free"]
    while next_tick < 1700.0:
        next_tick = facade.tick(next_tick)
    assert not take_calls(facade)
    facade.tick(next_tick)
    assert [one.ident for call in take_calls(facade) for one in call.texts] == ["second"]


def test_the_first_tick_does_not_count_as_late():
    """If it counted as late by the whole clock value, bursts of that length would be allowed."""
    facade = make_facade(now=1e9)
    facade.add_text(make_text("a", until=1e9 + 9000.0))
    facade.tick(1e9)
    assert facade.decisions.scheduler.lag == 0.0 and facade.decisions.active


def test_a_submit_of_a_withdrawn_text_is_not_made():
    facade = make_facade()
    facade.add_text(first := make_text("a"))
    facade.tick(0.0)
    facade.withdraw(first)
    facade.add_text(second := make_text("b"))
    facade.texts.pop(second.number)
    next_tick = facade.tick(1.0)
    while next_tick < 3000.0:
        next_tick = facade.tick(next_tick)
    assert take_endings(facade) == [("a", None)] and [call.texts[0].ident for call in take_calls(facade)] == [
        "a"
    ]
    assert facade.decisions.pool.free == 7  # only the call that is out holds a slot


def test_a_full_courier_gives_advice_when_to_retry():
    facade = make_facade()
    facade.add_text(make_text("a"))
    facade.tick(0.0)
    facade.report(take_calls(facade)[0], CallResult(CallProgress.ANSWERED, status=429, wait=900.0), 100.0)
    facade.tick(100.0)
    for number in range(40):
        facade.add_text(make_text(str(number), dest=9))
    assert (
        facade.full()
        and facade.retry_after(make_text("b")) == 2000.0
        and facade.retry_after(make_text("c", dest=9)) == 0.0
    )


def test_an_expired_text_is_not_in_a_call_that_connects_later():
    """The text had its final answer and was then sent with the others in the call."""
    facade = make_facade(places=[make_place(kind="many")])
    facade.add_text(make_text("a", until=700.0))
    facade.add_text(make_text("b"))
    facade.tick(0.0)
    (call,) = take_calls(facade)
    assert not facade.may_still_send(call, 700.0)
    facade.report(call, CallResult(CallProgress.UNCONNECTED), 700.0)
    next_tick = facade.tick(700.0)
    assert take_endings(facade) == [("a", "bounced")]
    while next_tick < 3000.0 and not facade.calls:
        next_tick = facade.tick(next_tick)
    assert [one.ident for call in take_calls(facade) for one in call.texts] == ["b"]


def test_a_shared_call_ends_with_the_time_out_of_a_text_in_order():
    """The settling time of its key counted from then, while the call was still in progress."""
    facade = make_facade(places=[make_place(kind="many")])
    facade.add_text(make_text("a", product=2, until=19000.0, key="k"))
    facade.add_text(make_text("b", product=2))
    facade.tick(0.0)
    (call,) = take_calls(facade)
    assert len(call.texts) == 2 and call.timeout == pytest.approx(2000.0)


def endpoints_to_close(facade, *results):
    """Makes one call per (destination, result); returns endpoints whose idle connections are to be closed."""
    for now, (dest, answer) in enumerate(results):
        facade.add_text(make_text(f"t-{dest}", dest=dest, until=900.0))
        facade.tick(float(now))
        for call in take_calls(facade):
            facade.report(call, answer, 5.0)
        facade.tick(now + 0.5)
    endpoints = set()
    for now in range(len(results), 200):
        facade.tick(float(now))
        while (endpoint := facade.next_endpoint_to_close()) is not None:
            endpoints.add(endpoint.ident)
    return endpoints


def test_idle_connections_are_closed_for_a_kind_that_refused_a_connection():
    """The decisions name the endpoints, the connection pool closes their connections."""
    facade = make_facade(
        places=[make_place("s-1"), make_place("s-2", dest=8), make_place("s-3", dest=9, kind="many")]
    )
    delivered = CallResult(CallProgress.ANSWERED, status=200)
    to_close = endpoints_to_close(
        facade, (7, CallResult(CallProgress.UNCONNECTED)), (8, delivered), (9, delivered)
    )
    assert "s-2" in to_close and "s-3" not in to_close


def test_no_idle_connection_is_closed_if_the_settings_disable_it():
    ceilings = terms()["ceilings"] | {"giveBack": False}
    facade = make_facade(places=[make_place("s-1"), make_place("s-2", dest=8)], ceilings=ceilings)
    assert not endpoints_to_close(
        facade, (7, CallResult(CallProgress.UNCONNECTED)), (8, CallResult(CallProgress.ANSWERED, status=200))
    )


@pytest.mark.parametrize("moved", [dict(address="127.0.0.1:10"), dict(dest=8)], ids=["address", "dest"])
def test_a_call_does_not_go_to_the_former_address_of_an_endpoint_that_has_moved(moved):
    """Another process may have come up there, at which the message would run for the wrong destination."""
    facade = make_facade()
    facade.add_text(make_text("a"))
    facade.tick(0.0)
    (call,) = take_calls(facade)
    facade.update_list([make_place(**moved)], False)
    facade.tick(10.0)
    assert not facade.may_still_send(call, 10.0)


@pytest.mark.parametrize("whole", [True, False])
def test_messages_do_not_follow_an_endpoint_to_another_destination(whole):
    facade = make_facade()
    facade.update_list([make_place(dest=8)], whole)
    facade.add_text(make_text("for 7"))
    facade.add_text(make_text("for 8", dest=8))
    facade.tick(0.0)
    calls = take_calls(facade)
    assert [[text.ident for text in call.texts] for call in calls] == [["for 8"]]
