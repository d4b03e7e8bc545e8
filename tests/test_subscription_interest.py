"""The set of destinations that are used: bounded, given up by and by, and never by looking at all of it."""

import pytest

from calicopin.subscription.interest import (
    FULL_RECHECK_INTERVAL_MS,
    IDLE,
    IDLE_JITTER_FRACTION,
    MOST,
    RECHECK_INTERVAL_MS,
    Interest,
    InterestFullError,
)


def interest(held=(), **other):
    return Interest(7, set(held).__contains__, **other)


def test_a_use_is_fresh_once_and_an_idle_destination_is_given_up_after_its_time():
    used = interest()
    assert used.use(41, 0.0).fresh and not used.use(41, 1000.0).fresh and 41 in used
    assert used.sweep(1000.0 + IDLE - 1.0) == []
    assert used.sweep(1000.0 + IDLE * (1.0 + IDLE_JITTER_FRACTION)) == [41] and len(used) == 0
    assert used.next_due() == float("inf") and used.use(41, 9e6).fresh


def test_a_set_does_not_shrink_all_in_one_request():
    used = interest()
    for destination in range(1000):
        used.use(destination, 0.0)
    steps = [len(used.sweep(IDLE + IDLE * IDLE_JITTER_FRACTION * part / 10.0)) for part in range(11)]
    assert sum(steps) == 1000 and steps[0] == 0 and max(steps) < 150


def test_what_is_held_for_is_kept_and_looked_at_again():
    held = {41}
    used = Interest(7, held.__contains__)
    used.use(41, 0.0)
    late = IDLE * (1.0 + IDLE_JITTER_FRACTION)
    assert used.sweep(late) == [] and 41 in used
    held.clear()
    assert used.sweep(late + RECHECK_INTERVAL_MS - 1.0) == [] and used.sweep(late + RECHECK_INTERVAL_MS) == [
        41
    ]


def test_the_least_recently_used_makes_room_and_what_is_held_for_never_does():
    used = interest(held={0, 1}, most=4)
    for destination in range(4):
        used.use(destination, float(destination))
    used.use(2, 10.0)
    use = used.use(9, 11.0)
    assert use.fresh and use.given_up == 3 and 3 not in used and 0 in used and 1 in used
    assert used.use(10, 12.0).given_up == 2


def test_a_set_that_is_needed_as_a_whole_refuses_and_walks_it_once_a_second_only():
    held = set(range(1000))
    used = Interest(7, held.__contains__, most=1000)
    for destination in range(1000):
        used.use(destination, 0.0)
    for destination in range(5000, 5100):
        with pytest.raises(InterestFullError, match="all 1000 destinations"):
            used.use(destination, 1.0)
    assert used.destinations_checked == 1000 and len(used) == 1000 and not used.use(5, 2.0).fresh
    held.discard(17)
    assert used.use(5000, 1.0 + FULL_RECHECK_INTERVAL_MS).given_up == 17


@pytest.mark.parametrize("size", [100, 1000, 10000])
def test_work_of_uses_and_sweeps_does_not_grow_with_the_set(size):
    used = interest()
    for destination in range(size):
        used.use(destination, 0.0)
    for now in range(1, 1001):
        used.use(now % 90, float(now))
        assert used.sweep(float(now)) == []
    assert used.destinations_checked == 0
    given_up = used.sweep(1000.0 + IDLE * (1.0 + IDLE_JITTER_FRACTION))
    assert len(given_up) == size and used.destinations_checked <= size + 90, (
        "each once, and those used meanwhile twice"
    )


def test_churn_beyond_the_bound_leaves_no_heap_behind():
    used = interest(most=100)
    for number in range(100000):
        used.use(number, float(number) / 100.0)
    assert len(used) == 100 and len(used._schedule_heap) <= 64 + 2 * 100 + 1
    assert MOST >= 100_000
