"""The leases of a discovery node, by the exchange of docs/subscriptions-design.md: times are the test's
own."""

import sys

import pytest

from calicopin.subscription.leases import LeaseBounds, LeaseTable, LeaseUpdate, Wait
from calicopin.subscription.messages import Reason, Refusal, SubscribeRequest


def table_of(**bounds):
    return LeaseTable("fleet", "n1", "run", LeaseBounds(**bounds))


def opened(table, destinations=(1, 2), courier="c-1", now=0.0):
    return table.request(now, SubscribeRequest("fleet", courier, subscribe=tuple(destinations)), None)


def renewed(table, told, index, now=0.0, courier="c-1", sequence=None, subscribe=(), unsubscribe=()):
    sequence = told.sequence if sequence is None else sequence
    request = SubscribeRequest("fleet", courier, told.lease, sequence, tuple(subscribe), tuple(unsubscribe))
    return table.request(now, request, index)


def refused(answer, reason):
    assert isinstance(answer, Refusal) and answer.reason is reason, answer
    return answer


def test_a_new_lease_is_told_its_whole_set_at_once():
    told = opened(table_of(), (7, 3, 7))
    assert told == LeaseUpdate("n1-run-1", 0, 1, True, (3, 7))


def test_a_new_lease_begins_with_sequence_0_and_no_destination_to_give_up():
    table = table_of()
    refused(table.request(0.0, SubscribeRequest("fleet", "c", sequence=1), None), Reason.UNREADABLE)
    refused(table.request(0.0, SubscribeRequest("fleet", "c", unsubscribe=(1,)), None), Reason.UNREADABLE)
    assert len(table) == 0


def test_a_renewal_with_nothing_to_tell_waits_and_its_answer_keeps_the_version():
    table = table_of()
    told = opened(table)
    assert renewed(table, told, told.version) == Wait(told.lease)
    assert table.answer_waiting(told.lease) == LeaseUpdate(told.lease, 0, told.version, False, ())
    assert renewed(table, told, told.version) == Wait(told.lease)


def test_a_change_names_just_the_leases_that_hold_the_destination():
    table = table_of()
    first = opened(table, (1, 2), "c-1")
    second = opened(table, (2, 3), "c-2")
    opened(table, (4,), "c-3")
    assert table.change({2, 9}) == {first.lease, second.lease}
    assert table.change({3}) == {second.lease}
    assert table.change({9}) == set()


def test_a_change_is_told_once_and_the_version_grows():
    table = table_of()
    told = opened(table)
    table.change({2})
    more = renewed(table, told, told.version)
    assert more == LeaseUpdate(told.lease, 0, told.version + 1, False, (2,))
    assert renewed(table, told, more.version) == Wait(told.lease)


def test_changes_gather_between_two_requests():
    table = table_of()
    told = opened(table, (1, 2, 3))
    table.change({3})
    table.change({1, 3})
    assert renewed(table, told, told.version).destinations == (1, 3)


def test_a_lost_answer_is_told_again_with_what_changed_since():
    table = table_of()
    told = opened(table, (1, 2, 3))
    table.change({1})
    lost = renewed(table, told, told.version)
    table.change({2})
    again = renewed(table, told, told.version)
    assert (again.full, again.destinations) == (False, (1, 2)) and again.version > lost.version
    assert renewed(table, told, again.version) == Wait(told.lease)


def test_a_lost_answer_without_any_change_since_is_told_again_at_once():
    table = table_of()
    told = opened(table)
    table.change({1})
    renewed(table, told, told.version)
    assert renewed(table, told, told.version).destinations == (1,)


def test_a_lost_answer_on_a_fresh_subscription_is_told_again():
    """Though no destination changed: each answer that tells something has a version of its own."""
    table = table_of()
    told = opened(table)
    lost = renewed(table, told, told.version, sequence=1, subscribe=[5])
    assert lost.destinations == (5,)
    again = renewed(table, lost, told.version)
    assert (again.sequence, again.destinations) == (1, (5,))


def test_a_change_behind_an_answer_outlasts_the_answers_acknowledgement():
    table = table_of()
    told = opened(table)
    table.change({1})
    more = renewed(table, told, told.version)
    table.change({1})
    assert renewed(table, told, more.version).destinations == (1,)


@pytest.mark.parametrize("index", [None, 0, 99])
def test_an_index_that_the_lease_never_had_brings_the_whole_set(index):
    table = table_of()
    told = opened(table)
    table.change({1})
    full = renewed(table, told, index)
    assert (full.full, full.destinations) == (True, (1, 2)) and full.version > told.version
    assert renewed(table, told, full.version) == Wait(told.lease)


def test_an_index_acknowledged_long_ago_brings_the_whole_set():
    table = table_of()
    told = opened(table)
    table.change({1})
    more = renewed(table, told, told.version)
    renewed(table, told, more.version)
    assert renewed(table, told, told.version).full


def test_after_a_resync_no_version_before_it_counts():
    table = table_of()
    told = opened(table)
    renewed(table, told, told.version)
    renewed(table, told, 99)
    assert renewed(table, told, told.version).full


def test_a_step_of_the_sequence_changes_the_set_and_is_answered_at_once():
    table = table_of()
    told = opened(table, (1, 2))
    more = renewed(table, told, told.version, sequence=1, subscribe=[5], unsubscribe=[1])
    assert (more.sequence, more.full, more.destinations) == (1, False, (5,))
    assert table.change({1}) == set() and table.change({5}) == {told.lease}
    assert table.subscriptions == 2
    gone = renewed(table, more, more.version, sequence=2, unsubscribe=[2])
    assert (gone.sequence, gone.destinations) == (2, (5,))  # 5 changed meanwhile
    nothing = renewed(table, gone, gone.version, sequence=3, unsubscribe=[5, 77])
    assert (nothing.sequence, nothing.version, nothing.destinations) == (3, gone.version, ())
    assert table.subscriptions == 0 and table.subscribed() == []


def test_a_destination_subscribed_and_given_up_in_one_step_is_subscribed():
    table = table_of()
    told = opened(table, (1,))
    assert renewed(table, told, told.version, sequence=1, subscribe=[1], unsubscribe=[1]).destinations == (1,)
    assert table.change({1}) == {told.lease}


def test_a_destination_given_up_is_told_no_more_though_its_last_answer_was_lost():
    table = table_of()
    told = opened(table, (1, 2))
    table.change({1, 2})
    renewed(table, told, told.version)
    assert renewed(table, told, told.version, sequence=1, unsubscribe=[1]).destinations == (2,)


def test_the_same_sequence_again_changes_nothing():
    table = table_of()
    told = opened(table, (1,))
    more = renewed(table, told, told.version, sequence=1, subscribe=[2])
    again = renewed(table, more, more.version, sequence=1, subscribe=[3], unsubscribe=[1])
    assert again == Wait(told.lease)
    assert sorted(table.subscribed()) == [1, 2]


@pytest.mark.parametrize("sequence", [0, 3, 9])
def test_any_other_sequence_is_over(sequence):
    table = table_of()
    told = opened(table)
    renewed(table, told, told.version, sequence=1, subscribe=[5])
    refused(renewed(table, told, told.version, sequence=sequence), Reason.LEASE_OVER)


def test_a_step_with_a_gap_in_the_versions_is_applied_and_told_whole():
    table = table_of()
    told = opened(table, (1,))
    full = renewed(table, told, 77, sequence=1, subscribe=[2])
    assert (full.full, full.sequence, full.destinations) == (True, 1, (1, 2))


def test_a_lease_is_over_so_long_after_its_last_request():
    table = table_of(lease_ms=1000.0)
    told = opened(table)
    renewed(table, told, told.version, now=999.0)
    assert isinstance(renewed(table, told, told.version, now=1998.0), Wait)
    refused(renewed(table, told, told.version, now=2998.0), Reason.LEASE_OVER)
    assert (len(table), table.subscriptions, table.subscribed()) == (0, 0, [])
    assert table.take_ended() == [told.lease] and table.take_ended() == []
    refused(table.answer_waiting(told.lease), Reason.LEASE_OVER)


def test_a_lease_that_was_renewed_does_not_keep_one_that_was_not():
    table = table_of(lease_ms=1000.0)
    first = opened(table, courier="c-1", now=0.0)
    second = opened(table, courier="c-2", now=500.0)
    renewed(table, first, first.version, now=900.0)
    table.expire(1500.0)
    assert table.take_ended() == [second.lease]
    assert isinstance(renewed(table, first, first.version, now=1500.0), Wait)


def test_ends_cost_by_the_leases_that_end():
    table = table_of(lease_ms=1000.0)
    for number in range(500):
        opened(table, (number,), f"c-{number}", now=float(number))
    before = table.work
    table.expire(1002.5)
    assert (len(table), table.work - before) == (497, 3)
    table.expire(1002.5)
    assert table.work - before == 3


def test_leases_of_another_node_run_or_courier_are_over():
    table = table_of()
    told = opened(table)
    for lease in ("n2-run-1", "n1-old-1", "n1-run-2", "x"):
        request = SubscribeRequest("fleet", "c-1", lease)
        refused(table.request(0.0, request, told.version), Reason.LEASE_OVER)
    refused(renewed(table, told, told.version, courier="c-2"), Reason.LEASE_OVER)
    assert isinstance(renewed(table, told, told.version), Wait)


def test_another_fleet_is_refused_with_and_without_a_lease():
    table = table_of()
    told = opened(table)
    refused(table.request(0.0, SubscribeRequest("other", "c-1"), None), Reason.OTHER_FLEET)
    refused(table.request(0.0, SubscribeRequest("other", "c-1", told.lease), 1), Reason.OTHER_FLEET)
    assert len(table) == 1


def test_a_new_lease_of_the_same_courier_ends_its_old_one():
    table = table_of()
    old = opened(table, (1, 2))
    new = opened(table, (2, 3))
    assert new.lease != old.lease and (len(table), table.subscriptions) == (1, 2)
    assert table.take_ended() == [old.lease]
    refused(renewed(table, old, old.version), Reason.LEASE_OVER)
    refused(table.answer_superseded(old.lease), Reason.LEASE_OVER)
    assert table.change({1}) == set() and table.change({2}) == {new.lease}


def test_a_request_in_whose_place_another_came_is_told_nothing():
    table = table_of()
    told = opened(table)
    table.change({1})
    assert table.answer_superseded(told.lease).destinations == ()
    assert renewed(table, told, told.version).destinations == (1,)


def test_as_many_leases_as_the_bound_and_no_more():
    table = table_of(leases=2, lease_ms=5000.0)
    opened(table, courier="c-1", now=0.0)
    opened(table, courier="c-2", now=100.0)
    assert refused(opened(table, courier="c-3", now=1000.0), Reason.TOO_MANY).retry_ms == 4000.0
    assert refused(opened(table, courier="c-3", now=4900.0), Reason.TOO_MANY).retry_ms == 1000.0
    assert isinstance(opened(table, courier="c-2", now=4900.0), LeaseUpdate)  # its old one ends
    assert isinstance(opened(table, courier="c-3", now=5000.0), LeaseUpdate)


def test_a_set_over_the_bound_is_refused_and_changes_nothing():
    table = table_of(destinations=3)
    refused(opened(table, (1, 2, 3, 4)), Reason.TOO_LARGE)
    assert len(table) == 0
    told = opened(table, (1, 2, 3))
    refused(renewed(table, told, told.version, sequence=1, subscribe=[4]), Reason.TOO_LARGE)
    more = renewed(table, told, told.version, sequence=1, subscribe=[4], unsubscribe=[1])
    assert (more.sequence, more.destinations) == (1, (4,))


def test_a_courier_that_asks_too_often_is_told_when_to_come_again():
    table = table_of(requests_per_second=10.0, burst=3.0)
    told = opened(table)
    for _ in range(2):
        assert isinstance(renewed(table, told, told.version), Wait)
    refusal = refused(renewed(table, told, told.version, sequence=1, subscribe=[9]), Reason.TOO_MANY)
    assert (refusal.status, refusal.retry_ms) == (429, 100.0)
    assert 9 not in table.subscribed()
    other = opened(table, courier="c-2")
    assert isinstance(renewed(table, other, other.version, courier="c-2"), Wait)
    after = renewed(table, told, told.version, now=refusal.retry_ms, sequence=1, subscribe=[9])
    assert after.destinations == (9,)


def test_new_leases_spend_the_same_allowance():
    table = table_of(requests_per_second=10.0, burst=3.0)
    for _ in range(3):
        told = opened(table)
    refused(opened(table), Reason.TOO_MANY)
    refused(renewed(table, told, told.version), Reason.TOO_MANY)
    assert len(table) == 1


def test_a_request_refused_for_asking_too_often_renews_the_lease():
    table = table_of(requests_per_second=0.1, burst=1.0, lease_ms=1000.0)
    told = opened(table)
    refused(renewed(table, told, told.version, now=900.0), Reason.TOO_MANY)
    refused(renewed(table, told, told.version, now=1800.0), Reason.TOO_MANY)


def test_the_allowance_does_not_grow_over_its_burst():
    table = table_of(requests_per_second=10.0, burst=2.0, lease_ms=1e9)
    told = opened(table)
    answers = [renewed(table, told, told.version, now=1e6) for _ in range(3)]
    assert [isinstance(answer, Wait) for answer in answers] == [True, True, False]


@pytest.mark.parametrize("leases", [10, 100, 1000])
def test_a_change_looks_at_its_subscribers_whatever_else_is_held(leases):
    table = table_of()
    for number in range(leases):
        opened(table, (number * 10, number * 10 + 1), f"c-{number}")
    before = table.work
    table.change({10})
    assert table.work - before == 1
    opened(table, (10,), "one more")
    before = table.work
    table.change({10})
    assert table.work - before == 2


def test_a_subscription_takes_little_memory():
    """Counted in bytes of the objects that the table makes, not in resident memory: the same on every run."""
    table = table_of()
    for courier in range(100):
        opened(table, range(courier * 90, courier * 90 + 90), f"c-{courier}")
    leases = list(table._leases.values())
    held = sys.getsizeof(table._subscribers) + sum(sys.getsizeof(lease.destinations) for lease in leases)
    assert held / table.subscriptions < 64.0
