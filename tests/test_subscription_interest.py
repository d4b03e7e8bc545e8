"""Tests of the set of used destinations: its limit, the removal of idle destinations and the work done."""

import pytest

from calicopin.subscription.interest import (
    FULL_RECHECK_INTERVAL_MS,
    IDLE_JITTER_FRACTION,
    IDLE_TIMEOUT_MS,
    MAX_DESTINATIONS,
    RECHECK_INTERVAL_MS,
    Interest,
    InterestFullError,
)


def interest(in_use=(), **other):
    return Interest(7, set(in_use).__contains__, **other)


def test_a_destination_is_new_once_and_removed_after_its_idle_time():
    destinations = interest()
    assert destinations.use(41, 0.0).is_new and not destinations.use(41, 1000.0).is_new and 41 in destinations
    assert destinations.sweep(1000.0 + IDLE_TIMEOUT_MS - 1.0) == []
    assert (
        destinations.sweep(1000.0 + IDLE_TIMEOUT_MS * (1.0 + IDLE_JITTER_FRACTION)) == [41]
        and len(destinations) == 0
    )
    assert destinations.next_due() == float("inf") and destinations.use(41, 9e6).is_new


def test_removals_of_idle_destinations_are_spread_over_time():
    destinations = interest()
    for destination in range(1000):
        destinations.use(destination, 0.0)
    steps = [
        len(destinations.sweep(IDLE_TIMEOUT_MS + IDLE_TIMEOUT_MS * IDLE_JITTER_FRACTION * part / 10.0))
        for part in range(11)
    ]
    assert sum(steps) == 1000 and steps[0] == 0 and max(steps) < 150


def test_an_idle_destination_in_use_is_kept_and_rechecked():
    in_use = {41}
    destinations = Interest(7, in_use.__contains__)
    destinations.use(41, 0.0)
    late = IDLE_TIMEOUT_MS * (1.0 + IDLE_JITTER_FRACTION)
    assert destinations.sweep(late) == [] and 41 in destinations
    in_use.clear()
    assert destinations.sweep(late + RECHECK_INTERVAL_MS - 1.0) == [] and destinations.sweep(
        late + RECHECK_INTERVAL_MS
    ) == [41]


def test_the_least_recently_used_destination_is_evicted_unless_it_is_in_use():
    destinations = interest(in_use={0, 1}, max_destinations=4)
    for destination in range(4):
        destinations.use(destination, float(destination))
    destinations.use(2, 10.0)
    use = destinations.use(9, 11.0)
    assert (
        use.is_new and use.evicted == 3 and 3 not in destinations and 0 in destinations and 1 in destinations
    )
    assert destinations.use(10, 12.0).evicted == 2


def test_a_set_full_of_destinations_in_use_refuses_and_is_searched_once_per_second():
    in_use = set(range(1000))
    destinations = Interest(7, in_use.__contains__, max_destinations=1000)
    for destination in range(1000):
        destinations.use(destination, 0.0)
    for destination in range(5000, 5100):
        with pytest.raises(InterestFullError, match="all 1000 destinations"):
            destinations.use(destination, 1.0)
    assert (
        destinations.destinations_checked == 1000
        and len(destinations) == 1000
        and not destinations.use(5, 2.0).is_new
    )
    in_use.discard(17)
    assert destinations.use(5000, 1.0 + FULL_RECHECK_INTERVAL_MS).evicted == 17


@pytest.mark.parametrize("size", [100, 1000, 10000])
def test_work_of_uses_and_sweeps_does_not_grow_with_the_set(size):
    destinations = interest()
    for destination in range(size):
        destinations.use(destination, 0.0)
    for now in range(1, 1001):
        destinations.use(now % 90, float(now))
        assert destinations.sweep(float(now)) == []
    assert destinations.destinations_checked == 0
    given_up = destinations.sweep(1000.0 + IDLE_TIMEOUT_MS * (1.0 + IDLE_JITTER_FRACTION))
    assert len(given_up) == size and destinations.destinations_checked <= size + 90, (
        "each destination once, those used meanwhile twice"
    )


def test_evictions_do_not_let_the_heap_grow():
    destinations = interest(max_destinations=100)
    for number in range(100000):
        destinations.use(number, float(number) / 100.0)
    assert len(destinations) == 100 and len(destinations._schedule_heap) <= 64 + 2 * 100 + 1
    assert MAX_DESTINATIONS >= 100_000
