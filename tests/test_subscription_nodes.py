"""The choice of a discovery node: evenly spread, never in one instant, and never given up."""

from collections import Counter

import pytest

from calicopin.subscription.nodes import (
    FAILBACK_MIN_FRACTION,
    FAILBACK_WINDOW_MS,
    INITIAL_BACKOFF_MS,
    MAX_BACKOFF_MS,
    MAX_RETRY_MS,
    MAX_SAME_NODE_RETRY_MS,
    START_JITTER_MS,
    TRY_JITTER,
    NextRequest,
    NodeChoice,
    NoNodesError,
    ranking,
)
from calicopin.wire.asking import TOLD
from calicopin.wire.subscriber import CONNECT, PROMPT, SILENCE, WAIT

CONTROL = [f"10.0.0.{number}:7000" for number in range(31)]


def choice(nodes=CONTROL[:3], seed=1, courier="c-1", now=0.0):
    return NodeChoice(courier, list(nodes), seed, now)


def kept(chosen):
    """Asks once, with an answer: the node that is kept to."""
    turn = chosen.turn(0.0)
    chosen.answered(turn.at)
    return turn.node


def test_couriers_of_a_lost_node_spread_evenly_over_the_rest_and_no_other_courier_moves():
    """613 couriers on one of 31 nodes: each of the other 30 gets 20.4 on average, 4.4 is chance's."""
    homes = {f"c-{number}": ranking(f"c-{number}", CONTROL) for number in range(19000)}
    lost = CONTROL[7]
    theirs = [courier for courier, nodes in homes.items() if nodes[0] == lost][:613]
    assert len(theirs) > 550
    spread = Counter(homes[courier][1] for courier in theirs)
    assert len(spread) == 30 and min(spread.values()) >= 8 and max(spread.values()) <= 36
    rest = [node for node in CONTROL if node != lost]
    assert all(ranking(courier, rest)[0] == nodes[0] for courier, nodes in homes.items() if nodes[0] != lost)
    assert ranking("c-1", CONTROL[::-1] + CONTROL) == ranking("c-1", CONTROL), (
        "neither order nor repeats matter"
    )


def test_couriers_of_a_lost_node_do_not_arrive_in_one_instant():
    waits = []
    for number in range(613):
        chosen = choice(courier=f"c-{number}", seed=number)
        first = kept(chosen)
        chosen.turn(5000.0)
        chosen.failed(5000.0)
        turn = chosen.turn(5000.0)
        assert turn.node != first
        waits.append(turn.at - 5000.0)
    assert 0.0 <= min(waits) and max(waits) <= TRY_JITTER
    tenths = Counter(int(10 * wait / TRY_JITTER) for wait in waits)
    assert len(tenths) == 10 and max(tenths.values()) <= 100


@pytest.mark.parametrize("nodes", [1, 2, 5, 31])
def test_all_nodes_down_are_tried_for_ever_and_the_next_answer_is_heard_within_6_s(nodes):
    chosen, now, tries = choice(CONTROL[:nodes]), 0.0, []
    for _ in range(20 * nodes):
        turn = chosen.turn(now)
        assert turn.at >= now
        now = turn.at
        tries.append((now, turn.node))
        chosen.failed(now)
    assert {node for _, node in tries[-nodes:]} == set(CONTROL[:nodes]), "each round asks every node"
    times = [at for at, _ in tries]
    assert max(after - before for before, after in zip(times, times[1:], strict=False)) <= MAX_BACKOFF_MS
    for node in CONTROL[:nodes]:
        asked = [at for at, name in tries if name == node]
        gaps = [after - before for before, after in zip(asked, asked[1:], strict=False)]
        assert max(gaps) + CONNECT <= TOLD, "a node that is back is asked in time"
        assert min(gaps[6:], default=MAX_BACKOFF_MS) >= MAX_BACKOFF_MS / 2.0, "and not over and over"


def test_answer_of_the_next_node_is_heard_within_6_s_also_behind_another_half_open_one():
    silence = WAIT + SILENCE  # the parked poll at a node that fell silent
    tries = TRY_JITTER + CONNECT + PROMPT  # a node that takes a connection and answers nothing
    assert silence + tries + TRY_JITTER + CONNECT < TOLD


def test_a_refusing_node_is_not_asked_before_its_time_and_others_are():
    chosen = choice()
    first = kept(chosen)
    chosen.turn(1000.0)
    chosen.refused(1000.0, 20000.0)
    assert chosen.current is None
    tries = []
    now = 1000.0
    while now < 40000.0:
        turn = chosen.turn(now)
        now = turn.at
        tries.append(turn)
        chosen.failed(now)
    assert tries[0].node != first and tries[0].at <= 1000.0 + TRY_JITTER
    before = [turn.node for turn in tries if turn.at < 21000.0]
    after = [turn.node for turn in tries if turn.at >= 21000.0]
    assert first not in before and first in after and set(before) == set(CONTROL[:3]) - {first}


def test_all_nodes_that_ask_for_time_are_asked_once_it_is_up():
    chosen = choice()
    for _ in range(3):
        turn = chosen.turn(0.0)
        chosen.refused(0.0, 9000.0)
    turn = chosen.turn(100.0)
    assert 9000.0 <= turn.at <= 9000.0 + TRY_JITTER
    assert choice().turn(0.0).at <= START_JITTER_MS


def test_a_short_refusal_is_waited_for_at_the_same_node_and_a_garbled_time_is_bounded():
    chosen = choice()
    first = kept(chosen)
    chosen.turn(1000.0)
    chosen.refused(1000.0, MAX_SAME_NODE_RETRY_MS)
    turn = chosen.turn(1000.0)
    assert turn.node == first and 2000.0 <= turn.at <= 2000.0 + TRY_JITTER
    lone = choice(CONTROL[:1])
    lone.turn(0.0)
    lone.refused(0.0, 1e15)
    assert lone.turn(0.0).at <= MAX_RETRY_MS + TRY_JITTER


def test_return_to_a_better_node_is_spread_over_minutes_and_a_failed_one_costs_the_current_nothing():
    returns = []
    for number in range(400):
        chosen = choice(courier=f"c-{number}", seed=number)
        best = chosen.nodes[0]
        chosen.turn(0.0)
        chosen.failed(0.0)
        second = chosen.turn(TRY_JITTER).node
        chosen.answered(TRY_JITTER)
        now = TRY_JITTER
        while chosen.turn(now).node == second:
            chosen.answered(now)
            now += WAIT
        assert chosen.selected == best
        returns.append(now)
        chosen.failed(now)
        assert chosen.turn(now) == NextRequest(second, now) and chosen.current == second
        again = now + FAILBACK_WINDOW_MS + WAIT
        assert chosen.turn(again).node == best, "it is tried again"
        chosen.answered(again)
        assert chosen.current == best and chosen.changes == 1
        assert chosen.turn(again + 10 * FAILBACK_WINDOW_MS).node == best
    assert (
        min(returns) >= FAILBACK_MIN_FRACTION * FAILBACK_WINDOW_MS
        and max(returns) <= FAILBACK_WINDOW_MS + 2.0 * WAIT
    )
    halves = Counter(when < FAILBACK_WINDOW_MS * (1.0 + FAILBACK_MIN_FRACTION) / 2.0 for when in returns)
    assert min(halves.values()) > 150


def test_another_list_of_nodes_keeps_the_rest_of_the_state():
    chosen = choice(CONTROL[:3])
    first = kept(chosen)
    chosen.move(CONTROL[:3] + CONTROL[5:9], 1000.0)
    assert chosen.turn(1000.0).node == first, "no better one is gone to at once"
    chosen.move([node for node in CONTROL if node != first], 2000.0)
    assert chosen.current is None
    turn = chosen.turn(2000.0)
    assert turn.node == ranking("c-1", [node for node in CONTROL if node != first])[0]
    assert turn.at <= 2000.0 + TRY_JITTER
    chosen.refused(2000.0, 30000.0)
    refusing = turn.node
    chosen.move(CONTROL, 3000.0)
    assert all(chosen.turn(3000.0).node != refusing for _ in range(3)), "a told time outlasts the change"
    with pytest.raises(NoNodesError):
        chosen.move([], 4000.0)


def test_pauses_grow_by_round_and_start_anew_after_an_answer():
    chosen, now, pauses = choice(CONTROL[:1]), 0.0, []
    for _ in range(8):
        now = chosen.turn(now).at
        chosen.failed(now)
        pauses.append(chosen.turn(now).at - now)
    assert pauses[0] <= INITIAL_BACKOFF_MS and max(pauses) > MAX_BACKOFF_MS / 2.0
    now = chosen.turn(now).at
    chosen.answered(now)
    chosen.turn(now)
    chosen.failed(now)
    assert chosen.turn(now).at - now <= INITIAL_BACKOFF_MS
