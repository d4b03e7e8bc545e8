"""Tests of the session state machine: its requests, the effect of answers, and the answers it refuses."""

import pytest

from calicopin.facade import Place
from calicopin.subscription.messages import Grant, MessageError, Reason, Refusal, SubscribeAnswer
from calicopin.subscription.session import DestinationState, Session

NODE, OTHER = "127.0.0.1:1", "127.0.0.1:2"


def place(ident, destination, ready=True, left=False):
    return Place(ident, "127.0.0.1:9", destination, "", "a", ready, 0.0, left)


def answer(session, ask, version, places=(), full=False, complete=None, unknown=(), **other):
    """Passes an answer of a node to the session."""
    if complete is None:
        complete = sorted({listed.dest for listed in places})
    fields = dict(fleet="fleet", node="n1", lease="n1-1", sequence=ask.request.sequence, lease_ms=30000.0)
    fields |= dict(complete=tuple(complete), unknown=tuple(unknown)) | other
    return session.answered(SubscribeAnswer(full, version, (), Grant(**fields)), list(places))


def news_states(news):
    return sorted((one.ident, one.ready, one.left) for one in news.places)


def open_session(*destinations, restored=None):
    """A session with a lease at NODE and one endpoint of each destination."""
    session = Session("fleet", "c-1", restored)
    for destination in destinations:
        session.subscribe(destination)
    ask = session.next(NODE)
    places = [place(f"e-{destination}", destination) for destination in destinations]
    answer(session, ask, 1, places, full=True)
    return session


def request_change(ask):
    return ask.request.sequence, ask.request.subscribe, ask.request.unsubscribe


def test_the_first_request_has_the_whole_set_and_a_full_answer():
    session = Session("fleet", "c-1")
    session.subscribe(41)
    session.subscribe(7)
    assert session.destination_state(41) is DestinationState.WAITING
    ask = session.next(NODE)
    assert (
        ask.request.lease is None
        and ask.request.subscribe == (41, 7)
        and ask.index is None
        and ask.answered_immediately
    )
    news = answer(session, ask, 5, [place("a", 41), place("b", 41)], full=True, unknown=[7])
    assert news.whole and news_states(news) == [("a", True, False), ("b", True, False)]
    assert (session.destination_state(41), session.destination_state(7)) == (
        DestinationState.KNOWN,
        DestinationState.UNKNOWN,
    )
    ask = session.next(NODE)
    assert (
        request_change(ask) == (0, (), ())
        and ask.request.lease == "n1-1"
        and ask.index == 5
        and not ask.answered_immediately
    )
    assert list(session.known_endpoints()) == [41]


def test_endpoints_missing_from_a_complete_destination_have_left():
    session = open_session(41, 7)
    news = answer(session, session.next(NODE), 2, [place("f", 41)])
    assert not news.whole and news_states(news) == [("e-41", False, True), ("f", True, False)]
    news = answer(session, session.next(NODE), 3, [place("f", 41, left=True)])
    assert (
        news_states(news) == [("f", False, True)] and session.destination_state(41) is DestinationState.KNOWN
    )
    news = answer(session, session.next(NODE), 4, unknown=[41])
    assert (
        news_states(news) == []
        and session.destination_state(41) is DestinationState.UNKNOWN
        and list(session.known_endpoints()) == [7]
    )
    news = answer(session, session.next(NODE), 5, [place("g", 41)])
    assert (
        news_states(news) == [("g", True, False)] and session.destination_state(41) is DestinationState.KNOWN
    )


def test_an_endpoint_that_moves_to_another_destination_has_not_left():
    session = open_session(41, 7)
    news = answer(session, session.next(NODE), 2, [place("e-41", 7)], complete=[41, 7])
    assert news_states(news) == [("e-41", True, False), ("e-7", False, True)]
    session = open_session(41, 7)
    answer(session, session.next(NODE), 2, [place("e-41", 7)])
    news = answer(session, session.next(NODE), 3, complete=[41])
    assert news_states(news) == [] and [one.ident for one in session.known_endpoints()[7]] == ["e-41"]


def test_an_unanswered_request_is_repeated_and_later_changes_wait():
    session = open_session(41)
    session.subscribe(9)
    assert session.has_unsent_subscriptions
    first = session.next(NODE)
    assert (
        request_change(first) == (1, (9,), ())
        and first.answered_immediately
        and not session.has_unsent_subscriptions
    )
    session.subscribe(10)
    session.unsubscribe(41)
    for _ in range(3):
        assert session.next(NODE).request == first.request
    answer(session, session.next(NODE), 2, [place("e-9", 9)])
    assert request_change(session.next(NODE)) == (2, (10,), (41,))


def test_changes_that_cancel_out_between_two_requests():
    session = open_session(41)
    session.subscribe(9)
    session.unsubscribe(9)
    ask = session.next(NODE)
    assert request_change(ask) == (0, (), ()) and ask.released == (9,) and not session.is_subscribed(9)
    session.unsubscribe(41)
    session.subscribe(41)
    ask = session.next(NODE)
    assert (
        request_change(ask) == (0, (), ())
        and ask.released == ()
        and session.destination_state(41) is DestinationState.KNOWN
    )
    session.unsubscribe(41)
    session.subscribe(41)
    session.unsubscribe(41)
    ask = session.next(NODE)
    assert request_change(ask) == (1, (), (41,)) and ask.released == (41,)
    assert session.destination_state(41) is DestinationState.WAITING and session.known_endpoints() == {}
    session.subscribe(41)
    assert session.next(NODE).request == ask.request, "its answer is still outstanding"
    answer(session, session.next(NODE), 2)
    ask = session.next(NODE)
    assert request_change(ask) == (2, (41,), ())
    answer(session, ask, 3, [place("e-41", 41)])
    assert session.destination_state(41) is DestinationState.KNOWN


def test_an_ended_lease_is_followed_by_a_new_one_with_the_current_set():
    session = open_session(41, 7)
    session.subscribe(9)
    session.unsubscribe(7)
    session.next(NODE)
    assert session.refused(Refusal(Reason.LEASE_OVER, "over")), "the same node at once"
    ask = session.next(NODE)
    assert ask.request.lease is None and request_change(ask) == (0, (41, 9), ())
    assert session.destination_state(41) is DestinationState.KNOWN, "the last valid state is kept"
    assert not session.refused(Refusal(Reason.LEASE_OVER, "over")), "no lease was named: another node"


def test_temporary_refusals_keep_the_lease_and_the_pending_change():
    for reason in (Reason.TOO_MANY, Reason.NOT_READY, Reason.OTHER_FLEET):
        session = open_session(41)
        session.subscribe(9)
        first = session.next(NODE)
        assert not session.refused(Refusal(reason, "later", 500.0))
        assert session.next(NODE).request == first.request
    for reason in (Reason.UNREADABLE, Reason.TOO_LARGE):
        session = open_session(41)
        session.next(NODE)
        assert not session.refused(Refusal(reason, "no"))
        assert session.next(NODE).request.lease is None


def test_another_node_gets_the_whole_set_and_the_old_lease_stays_until_it_answers():
    session = open_session(41)
    session.subscribe(9)
    lost = session.next(NODE)
    ask = session.next(OTHER)
    assert ask.request.lease is None and ask.request.subscribe == (41, 9)
    assert session.next(NODE).request == lost.request
    ask = session.next(OTHER)
    session.subscribe(10)
    session.unsubscribe(9)
    news = answer(session, ask, 1, [place("e-41", 41)], full=True, complete=[41, 9], node="n2", lease="n2-1")
    assert news.whole
    ask = session.next(OTHER)
    assert request_change(ask) == (1, (10,), (9,)) and ask.request.lease == "n2-1" and ask.index == 1
    assert session.next(NODE).request.lease is None


def test_a_full_answer_is_merged_with_changes_made_since_its_request():
    session = open_session(41)
    ask = session.next(OTHER)
    session.subscribe(9)
    news = answer(session, ask, 1, [place("f-41", 41)], full=True, node="n2", lease="n2-1")
    assert news_states(news) == [("f-41", True, False)]
    session = open_session(41, 7)
    session.unsubscribe(7)
    ask = session.next(OTHER)
    session.subscribe(7)
    news = answer(session, ask, 1, [place("e-41", 41)], full=True, node="n2", lease="n2-1")
    assert news_states(news) == [("e-41", True, False), ("e-7", True, False)], "known, and requested at once"
    assert request_change(session.next(OTHER)) == (1, (7,), ())


def test_restored_destinations_are_subscribed_and_known_and_not_confirmed():
    session = Session("fleet", "c-1", {41: [place("old", 41)], 7: []})
    assert session.destination_state(41) is DestinationState.KNOWN and not session.confirmed(41)
    assert session.destination_state(7) is DestinationState.WAITING
    ask = session.next(NODE)
    assert ask.request.subscribe == (41, 7)
    news = answer(session, ask, 1, [place("new", 41)], full=True, unknown=[7])
    assert news_states(news) == [("new", True, False)] and session.confirmed(41)


def test_destinations_unsubscribed_without_a_lease_are_released_with_the_first_one():
    session = Session("fleet", "c-1", {41: [place("old", 41)], 7: [place("e", 7)]})
    session.unsubscribe(41)
    news = answer(session, session.next(NODE), 1, [place("e", 7)], full=True)
    assert news.released == (41,) and news_states(news) == [("e", True, False)]


def test_resync_replaces_the_whole_set():
    session = open_session(41, 7)
    news = answer(session, session.next(NODE), 9, [place("f", 41)], full=True, complete=[41], unknown=[7])
    assert news.whole and news_states(news) == [("f", True, False)] and session.resyncs == 1
    assert session.destination_state(7) is DestinationState.UNKNOWN


def test_destinations_that_were_not_subscribed_are_ignored():
    session = open_session(41)
    news = answer(session, session.next(NODE), 2, [place("x", 99), place("f", 41)], unknown=[98])
    assert news_states(news) == [("e-41", False, True), ("f", True, False)] and news.confirmed == (41,)
    assert (
        session.destination_state(99) is DestinationState.WAITING
        and session.destination_state(98) is DestinationState.WAITING
    )


@pytest.mark.parametrize(
    "fault, overrides",
    [
        ("subscription.fleet: 'karachi' is another fleet", dict(fleet="karachi")),
        ("subscription.node: 'n9' is not the node asked", dict(node="n9")),
        ("subscription.lease: 'n9-1' is another lease", dict(lease="n9-1")),
        ("subscription.sequence: 4 differs from 0 in the request", dict(sequence=4)),
        ("version: 0 is lower than 1 in the last answer", dict(version=0)),
        ("subscription.complete: lists a destination twice", dict(complete=[41, 41])),
        ("subscription.complete: lists a destination twice", dict(complete=[41], unknown=[41])),
        ("subscription.complete: lacks destination 7", dict(full=True)),
        ("servers[0].cell: 41 is not listed as complete", dict(complete=[])),
        ("servers[1].id: 'f' is listed twice", dict(places=[place("f", 41), place("f", 41)])),
    ],
)
def test_an_inconsistent_answer_changes_nothing_and_drops_the_lease(fault, overrides):
    session = open_session(41, 7)
    known_before = session.known_endpoints()
    with pytest.raises(MessageError) as raised:
        answer(session, session.next(NODE), **(dict(version=2, places=[place("f", 41)]) | overrides))
    assert str(raised.value) == fault
    assert session.known_endpoints() == known_before and session.version is None
    assert session.next(NODE).request.subscribe == (41, 7)


def test_a_first_answer_that_is_not_full_or_lacks_a_new_destination_is_refused():
    session = Session("fleet", "c-1")
    session.subscribe(41)
    with pytest.raises(MessageError, match="full: is false"):
        answer(session, session.next(NODE), 1, [place("f", 41)])
    session = open_session(41)
    session.subscribe(9)
    with pytest.raises(MessageError, match="lacks destination 9"):
        answer(session, session.next(NODE), 2)


def test_a_request_waits_at_the_node_for_a_third_of_its_lease_at_most():
    session = open_session(41)
    assert session.longest_wait(NODE, 2000.0) == 2000.0 and session.longest_wait(OTHER, 2000.0) == 0.0
    answer(session, session.next(NODE), 2, lease_ms=1500.0)
    assert session.longest_wait(NODE, 2000.0) == 500.0


def test_a_full_answer_without_endpoints_reports_those_that_left():
    """The rest of the courier ignores an empty full list, as one of an agent that has no list yet."""
    session = open_session(41)
    news = answer(session, session.next(OTHER), 1, full=True, unknown=[41], node="n2", lease="n2-1")
    assert not news.whole and news_states(news) == [("e-41", False, True)]
    assert session.destination_state(41) is DestinationState.UNKNOWN
