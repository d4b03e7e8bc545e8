"""The state machine of the exchange: what it asks, what it learns, and what it refuses to believe."""

import pytest

from calicopin.facade import Place
from calicopin.subscription.messages import Grant, MessageError, Reason, Refusal, SubscribeAnswer
from calicopin.subscription.session import Session, Standing

NODE, OTHER = "127.0.0.1:1", "127.0.0.1:2"


def place(ident, destination, ready=True, left=False):
    return Place(ident, "127.0.0.1:9", destination, "", "a", ready, 0.0, left)


def answer(session, ask, version, places=(), full=False, complete=None, unknown=(), **other):
    """What a node tells, taken in."""
    if complete is None:
        complete = sorted({told.dest for told in places})
    told = dict(fleet="fleet", node="n1", lease="n1-1", sequence=ask.request.sequence, lease_ms=30000.0)
    told |= dict(complete=tuple(complete), unknown=tuple(unknown)) | other
    return session.answered(SubscribeAnswer(full, version, (), Grant(**told)), list(places))


def told(news):
    return sorted((one.ident, one.ready, one.left) for one in news.places)


def begun(*destinations, restored=None):
    """A session with a lease at NODE and one endpoint of each destination."""
    session = Session("fleet", "c-1", restored)
    for destination in destinations:
        session.subscribe(destination)
    ask = session.next(NODE)
    places = [place(f"e-{destination}", destination) for destination in destinations]
    answer(session, ask, 1, places, full=True)
    return session


def change(ask):
    return ask.request.sequence, ask.request.subscribe, ask.request.unsubscribe


def test_first_request_names_the_whole_set_and_its_answer_is_whole():
    session = Session("fleet", "c-1")
    session.subscribe(41)
    session.subscribe(7)
    assert session.standing(41) is Standing.WAITING
    ask = session.next(NODE)
    assert ask.request.lease is None and ask.request.subscribe == (41, 7) and ask.index is None and ask.prompt
    news = answer(session, ask, 5, [place("a", 41), place("b", 41)], full=True, unknown=[7])
    assert news.whole and told(news) == [("a", True, False), ("b", True, False)]
    assert (session.standing(41), session.standing(7)) == (Standing.KNOWN, Standing.UNKNOWN)
    ask = session.next(NODE)
    assert change(ask) == (0, (), ()) and ask.request.lease == "n1-1" and ask.index == 5 and not ask.prompt
    assert list(session.known()) == [41]


def test_what_a_complete_destination_lacks_has_left_and_other_destinations_stay():
    session = begun(41, 7)
    news = answer(session, session.next(NODE), 2, [place("f", 41)])
    assert not news.whole and told(news) == [("e-41", False, True), ("f", True, False)]
    news = answer(session, session.next(NODE), 3, [place("f", 41, left=True)])
    assert told(news) == [("f", False, True)] and session.standing(41) is Standing.KNOWN
    news = answer(session, session.next(NODE), 4, unknown=[41])
    assert told(news) == [] and session.standing(41) is Standing.UNKNOWN and list(session.known()) == [7]
    news = answer(session, session.next(NODE), 5, [place("g", 41)])
    assert told(news) == [("g", True, False)] and session.standing(41) is Standing.KNOWN


def test_endpoint_that_goes_over_to_another_destination_has_not_left():
    session = begun(41, 7)
    news = answer(session, session.next(NODE), 2, [place("e-41", 7)], complete=[41, 7])
    assert told(news) == [("e-41", True, False), ("e-7", False, True)]
    session = begun(41, 7)
    answer(session, session.next(NODE), 2, [place("e-41", 7)])
    news = answer(session, session.next(NODE), 3, complete=[41])
    assert told(news) == [] and [one.ident for one in session.known()[7]] == ["e-41"]


def test_lost_answer_is_asked_for_by_the_same_request_and_later_changes_wait():
    session = begun(41)
    session.subscribe(9)
    assert session.pressing
    first = session.next(NODE)
    assert change(first) == (1, (9,), ()) and first.prompt and not session.pressing
    session.subscribe(10)
    session.unsubscribe(41)
    for _ in range(3):
        assert session.next(NODE).request == first.request
    answer(session, session.next(NODE), 2, [place("e-9", 9)])
    assert change(session.next(NODE)) == (2, (10,), (41,))


def test_subscribed_and_given_up_between_two_requests_and_again():
    session = begun(41)
    session.subscribe(9)
    session.unsubscribe(9)
    ask = session.next(NODE)
    assert change(ask) == (0, (), ()) and ask.released == (9,) and not session.wants(9)
    session.unsubscribe(41)
    session.subscribe(41)
    ask = session.next(NODE)
    assert change(ask) == (0, (), ()) and ask.released == () and session.standing(41) is Standing.KNOWN
    session.unsubscribe(41)
    session.subscribe(41)
    session.unsubscribe(41)
    ask = session.next(NODE)
    assert change(ask) == (1, (), (41,)) and ask.released == (41,)
    assert session.standing(41) is Standing.WAITING and session.known() == {}
    session.subscribe(41)
    assert session.next(NODE).request == ask.request, "its answer is still out"
    answer(session, session.next(NODE), 2)
    ask = session.next(NODE)
    assert change(ask) == (2, (41,), ())
    answer(session, ask, 3, [place("e-41", 41)])
    assert session.standing(41) is Standing.KNOWN


def test_lease_that_is_over_is_followed_by_a_new_one_with_the_set_as_it_is():
    session = begun(41, 7)
    session.subscribe(9)
    session.unsubscribe(7)
    session.next(NODE)
    assert session.refused(Refusal(Reason.LEASE_OVER, "over")), "the same node at once"
    ask = session.next(NODE)
    assert ask.request.lease is None and change(ask) == (0, (41, 9), ())
    assert session.standing(41) is Standing.KNOWN, "the last good state serves on"
    assert not session.refused(Refusal(Reason.LEASE_OVER, "over")), "no lease was named: another node"


def test_refusals_that_pass_keep_the_lease_and_the_change():
    for reason in (Reason.TOO_MANY, Reason.NOT_READY, Reason.OTHER_FLEET):
        session = begun(41)
        session.subscribe(9)
        first = session.next(NODE)
        assert not session.refused(Refusal(reason, "later", 500.0))
        assert session.next(NODE).request == first.request
    for reason in (Reason.UNREADABLE, Reason.TOO_LARGE):
        session = begun(41)
        session.next(NODE)
        assert not session.refused(Refusal(reason, "no"))
        assert session.next(NODE).request.lease is None


def test_another_node_gets_the_whole_set_and_the_old_lease_goes_on_where_it_does_not_answer():
    session = begun(41)
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
    assert change(ask) == (1, (10,), (9,)) and ask.request.lease == "n2-1" and ask.index == 1
    assert session.next(NODE).request.lease is None


def test_whole_answer_is_the_set_as_it_is_now():
    session = begun(41)
    ask = session.next(OTHER)
    session.subscribe(9)
    news = answer(session, ask, 1, [place("f-41", 41)], full=True, node="n2", lease="n2-1")
    assert told(news) == [("f-41", True, False)]
    session = begun(41, 7)
    session.unsubscribe(7)
    ask = session.next(OTHER)
    session.subscribe(7)
    news = answer(session, ask, 1, [place("e-41", 41)], full=True, node="n2", lease="n2-1")
    assert told(news) == [("e-41", True, False), ("e-7", True, False)], "known, and asked for at once"
    assert change(session.next(OTHER)) == (1, (7,), ())


def test_restored_destinations_are_subscribed_and_known_and_not_confirmed():
    session = Session("fleet", "c-1", {41: [place("old", 41)], 7: []})
    assert session.standing(41) is Standing.KNOWN and not session.confirmed(41)
    assert session.standing(7) is Standing.WAITING
    ask = session.next(NODE)
    assert ask.request.subscribe == (41, 7)
    news = answer(session, ask, 1, [place("new", 41)], full=True, unknown=[7])
    assert told(news) == [("new", True, False)] and session.confirmed(41)


def test_what_was_given_up_without_a_lease_is_released_with_the_first_one():
    session = Session("fleet", "c-1", {41: [place("old", 41)], 7: [place("e", 7)]})
    session.unsubscribe(41)
    news = answer(session, session.next(NODE), 1, [place("e", 7)], full=True)
    assert news.released == (41,) and told(news) == [("e", True, False)]


def test_resync_replaces_the_whole_set():
    session = begun(41, 7)
    news = answer(session, session.next(NODE), 9, [place("f", 41)], full=True, complete=[41], unknown=[7])
    assert news.whole and told(news) == [("f", True, False)] and session.resyncs == 1
    assert session.standing(7) is Standing.UNKNOWN


def test_destinations_never_subscribed_are_passed_over():
    session = begun(41)
    news = answer(session, session.next(NODE), 2, [place("x", 99), place("f", 41)], unknown=[98])
    assert told(news) == [("e-41", False, True), ("f", True, False)] and news.confirmed == (41,)
    assert session.standing(99) is Standing.WAITING and session.standing(98) is Standing.WAITING


@pytest.mark.parametrize(
    "fault, spoilt",
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
def test_an_answer_that_cannot_be_right_changes_nothing_and_ends_the_lease(fault, spoilt):
    session = begun(41, 7)
    told_before = session.known()
    with pytest.raises(MessageError) as raised:
        answer(session, session.next(NODE), **(dict(version=2, places=[place("f", 41)]) | spoilt))
    assert str(raised.value) == fault
    assert session.known() == told_before and session.version is None
    assert session.next(NODE).request.subscribe == (41, 7)


def test_first_answer_that_is_no_whole_one_or_lacks_a_fresh_destination_is_refused():
    session = Session("fleet", "c-1")
    session.subscribe(41)
    with pytest.raises(MessageError, match="full: is false"):
        answer(session, session.next(NODE), 1, [place("f", 41)])
    session = begun(41)
    session.subscribe(9)
    with pytest.raises(MessageError, match="lacks destination 9"):
        answer(session, session.next(NODE), 2)


def test_a_request_waits_at_the_node_for_a_part_of_its_lease_at_most():
    session = begun(41)
    assert session.longest_wait(NODE, 2000.0) == 2000.0 and session.longest_wait(OTHER, 2000.0) == 0.0
    answer(session, session.next(NODE), 2, lease_ms=1500.0)
    assert session.longest_wait(NODE, 2000.0) == 500.0


def test_a_whole_answer_without_endpoints_names_those_that_left():
    """An empty whole list is passed over by the rest of the courier, as one of an agent that has none yet."""
    session = begun(41)
    news = answer(session, session.next(OTHER), 1, full=True, unknown=[41], node="n2", lease="n2-1")
    assert not news.whole and told(news) == [("e-41", False, True)]
    assert session.standing(41) is Standing.UNKNOWN
