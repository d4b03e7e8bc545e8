"""Tests of a discovery node's lease table, per the exchange in docs/subscriptions-design.md, in virtual
time."""

import sys

import pytest

from calicopin.subscription.leases import LeaseBounds, LeaseTable, LeaseUpdate, Wait
from calicopin.subscription.messages import Reason, Refusal, SubscribeRequest


def make_table(**bounds):
    return LeaseTable("fleet", "n1", "run", LeaseBounds(**bounds))


def open_lease(table, destinations=(1, 2), courier="c-1", now=0.0):
    return table.request(now, SubscribeRequest("fleet", courier, subscribe=tuple(destinations)), None)


def renew_lease(table, update, index, now=0.0, courier="c-1", sequence=None, subscribe=(), unsubscribe=()):
    sequence = update.sequence if sequence is None else sequence
    request = SubscribeRequest("fleet", courier, update.lease, sequence, tuple(subscribe), tuple(unsubscribe))
    return table.request(now, request, index)


def assert_refused(answer, reason):
    assert isinstance(answer, Refusal) and answer.reason is reason, answer
    return answer


def test_a_new_lease_is_answered_with_its_whole_set_at_once():
    update = open_lease(make_table(), (7, 3, 7))
    assert update == LeaseUpdate("n1-run-1", 0, 1, True, (3, 7))


def test_a_new_lease_needs_sequence_0_and_no_unsubscribed_destinations():
    table = make_table()
    assert_refused(table.request(0.0, SubscribeRequest("fleet", "c", sequence=1), None), Reason.UNREADABLE)
    assert_refused(
        table.request(0.0, SubscribeRequest("fleet", "c", unsubscribe=(1,)), None), Reason.UNREADABLE
    )
    assert len(table) == 0


def test_a_renewal_without_changes_waits_and_its_answer_keeps_the_version():
    table = make_table()
    update = open_lease(table)
    assert renew_lease(table, update, update.version) == Wait(update.lease)
    assert table.answer_waiting(update.lease) == LeaseUpdate(update.lease, 0, update.version, False, ())
    assert renew_lease(table, update, update.version) == Wait(update.lease)


def test_a_change_returns_only_the_leases_that_subscribe_to_the_destination():
    table = make_table()
    first = open_lease(table, (1, 2), "c-1")
    second = open_lease(table, (2, 3), "c-2")
    open_lease(table, (4,), "c-3")
    assert table.change({2, 9}) == {first.lease, second.lease}
    assert table.change({3}) == {second.lease}
    assert table.change({9}) == set()


def test_a_change_is_sent_once_and_increments_the_version():
    table = make_table()
    update = open_lease(table)
    table.change({2})
    more = renew_lease(table, update, update.version)
    assert more == LeaseUpdate(update.lease, 0, update.version + 1, False, (2,))
    assert renew_lease(table, update, more.version) == Wait(update.lease)


def test_changes_between_two_requests_are_combined():
    table = make_table()
    update = open_lease(table, (1, 2, 3))
    table.change({3})
    table.change({1, 3})
    assert renew_lease(table, update, update.version).destinations == (1, 3)


def test_a_lost_answer_is_repeated_with_later_changes():
    table = make_table()
    update = open_lease(table, (1, 2, 3))
    table.change({1})
    lost = renew_lease(table, update, update.version)
    table.change({2})
    again = renew_lease(table, update, update.version)
    assert (again.full, again.destinations) == (False, (1, 2)) and again.version > lost.version
    assert renew_lease(table, update, again.version) == Wait(update.lease)


def test_a_lost_answer_without_later_changes_is_repeated_at_once():
    table = make_table()
    update = open_lease(table)
    table.change({1})
    renew_lease(table, update, update.version)
    assert renew_lease(table, update, update.version).destinations == (1,)


def test_a_lost_answer_to_a_new_subscription_is_repeated():
    """Each answer with destinations has its own version, even if none of them changed."""
    table = make_table()
    update = open_lease(table)
    lost = renew_lease(table, update, update.version, sequence=1, subscribe=[5])
    assert lost.destinations == (5,)
    again = renew_lease(table, lost, update.version)
    assert (again.sequence, again.destinations) == (1, (5,))


def test_a_change_after_an_answer_survives_the_acknowledgement_of_that_answer():
    table = make_table()
    update = open_lease(table)
    table.change({1})
    more = renew_lease(table, update, update.version)
    table.change({1})
    assert renew_lease(table, update, more.version).destinations == (1,)


@pytest.mark.parametrize("index", [None, 0, 99])
def test_an_unknown_index_is_answered_with_the_whole_set(index):
    table = make_table()
    update = open_lease(table)
    table.change({1})
    full = renew_lease(table, update, index)
    assert (full.full, full.destinations) == (True, (1, 2)) and full.version > update.version
    assert renew_lease(table, update, full.version) == Wait(update.lease)


def test_an_outdated_index_is_answered_with_the_whole_set():
    table = make_table()
    update = open_lease(table)
    table.change({1})
    more = renew_lease(table, update, update.version)
    renew_lease(table, update, more.version)
    assert renew_lease(table, update, update.version).full


def test_a_full_answer_invalidates_earlier_versions():
    table = make_table()
    update = open_lease(table)
    renew_lease(table, update, update.version)
    renew_lease(table, update, 99)
    assert renew_lease(table, update, update.version).full


def test_the_next_sequence_number_changes_the_set_and_is_answered_at_once():
    table = make_table()
    update = open_lease(table, (1, 2))
    more = renew_lease(table, update, update.version, sequence=1, subscribe=[5], unsubscribe=[1])
    assert (more.sequence, more.full, more.destinations) == (1, False, (5,))
    assert table.change({1}) == set() and table.change({5}) == {update.lease}
    assert table.subscriptions == 2
    gone = renew_lease(table, more, more.version, sequence=2, unsubscribe=[2])
    assert (gone.sequence, gone.destinations) == (2, (5,))  # 5 changed meanwhile
    nothing = renew_lease(table, gone, gone.version, sequence=3, unsubscribe=[5, 77])
    assert (nothing.sequence, nothing.version, nothing.destinations) == (3, gone.version, ())
    assert table.subscriptions == 0 and table.subscribed() == []


def test_a_destination_subscribed_and_unsubscribed_in_one_request_is_subscribed():
    table = make_table()
    update = open_lease(table, (1,))
    assert renew_lease(
        table, update, update.version, sequence=1, subscribe=[1], unsubscribe=[1]
    ).destinations == (1,)
    assert table.change({1}) == {update.lease}


def test_an_unsubscribed_destination_is_not_repeated_after_a_lost_answer():
    table = make_table()
    update = open_lease(table, (1, 2))
    table.change({1, 2})
    renew_lease(table, update, update.version)
    assert renew_lease(table, update, update.version, sequence=1, unsubscribe=[1]).destinations == (2,)


def test_the_same_sequence_again_changes_nothing():
    table = make_table()
    update = open_lease(table, (1,))
    more = renew_lease(table, update, update.version, sequence=1, subscribe=[2])
    again = renew_lease(table, more, more.version, sequence=1, subscribe=[3], unsubscribe=[1])
    assert again == Wait(update.lease)
    assert sorted(table.subscribed()) == [1, 2]


@pytest.mark.parametrize("sequence", [0, 3, 9])
def test_any_other_sequence_number_ends_the_lease(sequence):
    table = make_table()
    update = open_lease(table)
    renew_lease(table, update, update.version, sequence=1, subscribe=[5])
    assert_refused(renew_lease(table, update, update.version, sequence=sequence), Reason.LEASE_OVER)


def test_a_change_with_an_unknown_index_is_applied_and_answered_in_full():
    table = make_table()
    update = open_lease(table, (1,))
    full = renew_lease(table, update, 77, sequence=1, subscribe=[2])
    assert (full.full, full.sequence, full.destinations) == (True, 1, (1, 2))


def test_a_lease_expires_after_its_lease_time_without_a_request():
    table = make_table(lease_ms=1000.0)
    update = open_lease(table)
    renew_lease(table, update, update.version, now=999.0)
    assert isinstance(renew_lease(table, update, update.version, now=1998.0), Wait)
    assert_refused(renew_lease(table, update, update.version, now=2998.0), Reason.LEASE_OVER)
    assert (len(table), table.subscriptions, table.subscribed()) == (0, 0, [])
    assert table.take_ended() == [update.lease] and table.take_ended() == []
    assert_refused(table.answer_waiting(update.lease), Reason.LEASE_OVER)


def test_renewing_one_lease_does_not_extend_another():
    table = make_table(lease_ms=1000.0)
    first = open_lease(table, courier="c-1", now=0.0)
    second = open_lease(table, courier="c-2", now=500.0)
    renew_lease(table, first, first.version, now=900.0)
    table.expire(1500.0)
    assert table.take_ended() == [second.lease]
    assert isinstance(renew_lease(table, first, first.version, now=1500.0), Wait)


def test_the_work_of_expiry_depends_on_the_leases_that_end():
    table = make_table(lease_ms=1000.0)
    for number in range(500):
        open_lease(table, (number,), f"c-{number}", now=float(number))
    before = table.examined_leases
    table.expire(1002.5)
    assert (len(table), table.examined_leases - before) == (497, 3)
    table.expire(1002.5)
    assert table.examined_leases - before == 3


def test_leases_of_another_node_run_or_courier_are_refused():
    table = make_table()
    update = open_lease(table)
    for lease in ("n2-run-1", "n1-old-1", "n1-run-2", "x"):
        request = SubscribeRequest("fleet", "c-1", lease)
        assert_refused(table.request(0.0, request, update.version), Reason.LEASE_OVER)
    assert_refused(renew_lease(table, update, update.version, courier="c-2"), Reason.LEASE_OVER)
    assert isinstance(renew_lease(table, update, update.version), Wait)


def test_another_fleet_is_refused_with_and_without_a_lease():
    table = make_table()
    update = open_lease(table)
    assert_refused(table.request(0.0, SubscribeRequest("other", "c-1"), None), Reason.OTHER_FLEET)
    assert_refused(table.request(0.0, SubscribeRequest("other", "c-1", update.lease), 1), Reason.OTHER_FLEET)
    assert len(table) == 1


def test_a_new_lease_of_the_same_courier_ends_its_old_one():
    table = make_table()
    old = open_lease(table, (1, 2))
    new = open_lease(table, (2, 3))
    assert new.lease != old.lease and (len(table), table.subscriptions) == (1, 2)
    assert table.take_ended() == [old.lease]
    assert_refused(renew_lease(table, old, old.version), Reason.LEASE_OVER)
    assert_refused(table.answer_superseded(old.lease), Reason.LEASE_OVER)
    assert table.change({1}) == set() and table.change({2}) == {new.lease}


def test_a_superseded_request_gets_an_empty_answer():
    table = make_table()
    update = open_lease(table)
    table.change({1})
    assert table.answer_superseded(update.lease).destinations == ()
    assert renew_lease(table, update, update.version).destinations == (1,)


def test_the_number_of_leases_is_limited():
    table = make_table(leases=2, lease_ms=5000.0)
    open_lease(table, courier="c-1", now=0.0)
    open_lease(table, courier="c-2", now=100.0)
    assert assert_refused(open_lease(table, courier="c-3", now=1000.0), Reason.TOO_MANY).retry_ms == 4000.0
    assert assert_refused(open_lease(table, courier="c-3", now=4900.0), Reason.TOO_MANY).retry_ms == 1000.0
    assert isinstance(
        open_lease(table, courier="c-2", now=4900.0), LeaseUpdate
    )  # replaces its previous lease
    assert isinstance(open_lease(table, courier="c-3", now=5000.0), LeaseUpdate)


def test_a_set_over_the_limit_is_refused_and_changes_nothing():
    table = make_table(destinations=3)
    assert_refused(open_lease(table, (1, 2, 3, 4)), Reason.TOO_LARGE)
    assert len(table) == 0
    update = open_lease(table, (1, 2, 3))
    assert_refused(renew_lease(table, update, update.version, sequence=1, subscribe=[4]), Reason.TOO_LARGE)
    more = renew_lease(table, update, update.version, sequence=1, subscribe=[4], unsubscribe=[1])
    assert (more.sequence, more.destinations) == (1, (4,))


def test_a_courier_over_its_rate_limit_is_refused_with_a_retry_time():
    table = make_table(requests_per_second=10.0, burst=3.0)
    update = open_lease(table)
    for _ in range(2):
        assert isinstance(renew_lease(table, update, update.version), Wait)
    refusal = assert_refused(
        renew_lease(table, update, update.version, sequence=1, subscribe=[9]), Reason.TOO_MANY
    )
    assert (refusal.status, refusal.retry_ms) == (429, 100.0)
    assert 9 not in table.subscribed()
    other = open_lease(table, courier="c-2")
    assert isinstance(renew_lease(table, other, other.version, courier="c-2"), Wait)
    after = renew_lease(table, update, update.version, now=refusal.retry_ms, sequence=1, subscribe=[9])
    assert after.destinations == (9,)


def test_new_leases_count_against_the_same_rate_limit():
    table = make_table(requests_per_second=10.0, burst=3.0)
    for _ in range(3):
        update = open_lease(table)
    assert_refused(open_lease(table), Reason.TOO_MANY)
    assert_refused(renew_lease(table, update, update.version), Reason.TOO_MANY)
    assert len(table) == 1


def test_a_request_over_the_rate_limit_renews_the_lease():
    table = make_table(requests_per_second=0.1, burst=1.0, lease_ms=1000.0)
    update = open_lease(table)
    assert_refused(renew_lease(table, update, update.version, now=900.0), Reason.TOO_MANY)
    assert_refused(renew_lease(table, update, update.version, now=1800.0), Reason.TOO_MANY)


def test_the_token_bucket_is_limited_to_its_burst():
    table = make_table(requests_per_second=10.0, burst=2.0, lease_ms=1e9)
    update = open_lease(table)
    answers = [renew_lease(table, update, update.version, now=1e6) for _ in range(3)]
    assert [isinstance(answer, Wait) for answer in answers] == [True, True, False]


@pytest.mark.parametrize("leases", [10, 100, 1000])
def test_the_work_of_a_change_depends_on_its_subscribers_alone(leases):
    table = make_table()
    for number in range(leases):
        open_lease(table, (number * 10, number * 10 + 1), f"c-{number}")
    before = table.examined_leases
    table.change({10})
    assert table.examined_leases - before == 1
    open_lease(table, (10,), "one more")
    before = table.examined_leases
    table.change({10})
    assert table.examined_leases - before == 2


def test_a_subscription_uses_less_than_64_bytes():
    """Measured as the size of the table's objects, not as resident memory, so that it is deterministic."""
    table = make_table()
    for courier in range(100):
        open_lease(table, range(courier * 90, courier * 90 + 90), f"c-{courier}")
    leases = list(table._leases.values())
    held = sys.getsizeof(table._subscribers) + sum(sys.getsizeof(lease.destinations) for lease in leases)
    assert held / table.subscriptions < 64.0
