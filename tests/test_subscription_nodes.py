"""Tests of the selection of a discovery node: distribution of couriers, jitter, back-off and return."""

from collections import Counter

import pytest

from calicopin.subscription.nodes import (
    FAILBACK_MIN_FRACTION,
    FAILBACK_WINDOW_MS,
    INITIAL_BACKOFF_MS,
    MAX_BACKOFF_MS,
    MAX_RETRY_MS,
    MAX_SAME_NODE_RETRY_MS,
    NEXT_NODE_JITTER_MS,
    START_JITTER_MS,
    NextRequest,
    NodeChoice,
    NoNodesError,
    ranking,
)
from calicopin.wire.poll_schedule import TOLD
from calicopin.wire.subscriber import CONNECT_TIMEOUT_MS, MAX_WAIT_MS, PARKED_GRACE_MS, PROMPT_TIMEOUT_MS

NODES = [f"10.0.0.{number}:7000" for number in range(31)]


def node_choice(nodes=NODES[:3], seed=1, courier="c-1", now=0.0):
    return NodeChoice(courier, list(nodes), seed, now)


def current_node(choice):
    """Completes one request and returns its node, which becomes the current one."""
    next_request = choice.next_request(0.0)
    choice.answered(next_request.at)
    return next_request.node


def test_couriers_of_a_failed_node_spread_evenly_and_no_other_courier_moves():
    """613 couriers of one of 31 nodes: the other 30 get 20.4 each on average, standard deviation 4.4."""
    rankings = {f"c-{number}": ranking(f"c-{number}", NODES) for number in range(19000)}
    failed_node = NODES[7]
    affected = [courier for courier, nodes in rankings.items() if nodes[0] == failed_node][:613]
    assert len(affected) > 550
    spread = Counter(rankings[courier][1] for courier in affected)
    assert len(spread) == 30 and min(spread.values()) >= 8 and max(spread.values()) <= 36
    remaining = [node for node in NODES if node != failed_node]
    assert all(
        ranking(courier, remaining)[0] == nodes[0]
        for courier, nodes in rankings.items()
        if nodes[0] != failed_node
    )
    assert ranking("c-1", NODES[::-1] + NODES) == ranking("c-1", NODES), (
        "the order of the list and duplicates do not matter"
    )


def test_couriers_of_a_failed_node_do_not_arrive_all_at_once():
    waits = []
    for number in range(613):
        choice = node_choice(courier=f"c-{number}", seed=number)
        first = current_node(choice)
        choice.next_request(5000.0)
        choice.failed(5000.0)
        next_request = choice.next_request(5000.0)
        assert next_request.node != first
        waits.append(next_request.at - 5000.0)
    assert 0.0 <= min(waits) and max(waits) <= NEXT_NODE_JITTER_MS
    tenths = Counter(int(10 * wait / NEXT_NODE_JITTER_MS) for wait in waits)
    assert len(tenths) == 10 and max(tenths.values()) <= 100


@pytest.mark.parametrize("nodes", [1, 2, 5, 31])
def test_failed_nodes_are_retried_forever_and_a_returning_node_is_asked_within_6_s(nodes):
    choice, now, tries = node_choice(NODES[:nodes]), 0.0, []
    for _ in range(20 * nodes):
        next_request = choice.next_request(now)
        assert next_request.at >= now
        now = next_request.at
        tries.append((now, next_request.node))
        choice.failed(now)
    assert {node for _, node in tries[-nodes:]} == set(NODES[:nodes]), "each round tries every node"
    times = [at for at, _ in tries]
    assert max(after - before for before, after in zip(times, times[1:], strict=False)) <= MAX_BACKOFF_MS
    for node in NODES[:nodes]:
        asked = [at for at, name in tries if name == node]
        gaps = [after - before for before, after in zip(asked, asked[1:], strict=False)]
        assert max(gaps) + CONNECT_TIMEOUT_MS <= TOLD, "a returning node is asked in time"
        assert min(gaps[6:], default=MAX_BACKOFF_MS) >= MAX_BACKOFF_MS / 2.0, "and not too often"


def test_an_answer_arrives_within_6_s_if_the_next_node_does_not_answer_either():
    silence = MAX_WAIT_MS + PARKED_GRACE_MS  # the parked request at a node that stopped answering
    # a node that accepts a connection and never answers
    tries = NEXT_NODE_JITTER_MS + CONNECT_TIMEOUT_MS + PROMPT_TIMEOUT_MS
    assert silence + tries + NEXT_NODE_JITTER_MS + CONNECT_TIMEOUT_MS < TOLD


def test_a_refusing_node_is_not_asked_before_its_retry_time_while_others_are():
    choice = node_choice()
    first = current_node(choice)
    choice.next_request(1000.0)
    choice.refused(1000.0, 20000.0)
    assert choice.current is None
    tries = []
    now = 1000.0
    while now < 40000.0:
        next_request = choice.next_request(now)
        now = next_request.at
        tries.append(next_request)
        choice.failed(now)
    assert tries[0].node != first and tries[0].at <= 1000.0 + NEXT_NODE_JITTER_MS
    before = [next_request.node for next_request in tries if next_request.at < 21000.0]
    after = [next_request.node for next_request in tries if next_request.at >= 21000.0]
    assert first not in before and first in after and set(before) == set(NODES[:3]) - {first}


def test_if_all_nodes_refuse_the_next_request_waits_for_the_retry_time():
    choice = node_choice()
    for _ in range(3):
        next_request = choice.next_request(0.0)
        choice.refused(0.0, 9000.0)
    next_request = choice.next_request(100.0)
    assert 9000.0 <= next_request.at <= 9000.0 + NEXT_NODE_JITTER_MS
    assert node_choice().next_request(0.0).at <= START_JITTER_MS


def test_a_short_retry_time_keeps_the_node_and_a_corrupt_one_is_limited():
    choice = node_choice()
    first = current_node(choice)
    choice.next_request(1000.0)
    choice.refused(1000.0, MAX_SAME_NODE_RETRY_MS)
    next_request = choice.next_request(1000.0)
    assert next_request.node == first and 2000.0 <= next_request.at <= 2000.0 + NEXT_NODE_JITTER_MS
    lone = node_choice(NODES[:1])
    lone.next_request(0.0)
    lone.refused(0.0, 1e15)
    assert lone.next_request(0.0).at <= MAX_RETRY_MS + NEXT_NODE_JITTER_MS


def test_returns_to_a_preferred_node_are_spread_and_a_failed_return_keeps_the_current_node():
    returns = []
    for number in range(400):
        choice = node_choice(courier=f"c-{number}", seed=number)
        best = choice.nodes[0]
        choice.next_request(0.0)
        choice.failed(0.0)
        second = choice.next_request(NEXT_NODE_JITTER_MS).node
        choice.answered(NEXT_NODE_JITTER_MS)
        now = NEXT_NODE_JITTER_MS
        while choice.next_request(now).node == second:
            choice.answered(now)
            now += MAX_WAIT_MS
        assert choice.selected == best
        returns.append(now)
        choice.failed(now)
        assert choice.next_request(now) == NextRequest(second, now) and choice.current == second
        again = now + FAILBACK_WINDOW_MS + MAX_WAIT_MS
        assert choice.next_request(again).node == best, "the return is tried again"
        choice.answered(again)
        assert choice.current == best and choice.switches == 1
        assert choice.next_request(again + 10 * FAILBACK_WINDOW_MS).node == best
    assert (
        min(returns) >= FAILBACK_MIN_FRACTION * FAILBACK_WINDOW_MS
        and max(returns) <= FAILBACK_WINDOW_MS + 2.0 * MAX_WAIT_MS
    )
    halves = Counter(when < FAILBACK_WINDOW_MS * (1.0 + FAILBACK_MIN_FRACTION) / 2.0 for when in returns)
    assert min(halves.values()) > 150


def test_a_new_list_of_nodes_keeps_the_state_of_remaining_nodes():
    choice = node_choice(NODES[:3])
    first = current_node(choice)
    choice.replace_nodes(NODES[:3] + NODES[5:9], 1000.0)
    assert choice.next_request(1000.0).node == first, "no immediate switch to a preferred node"
    choice.replace_nodes([node for node in NODES if node != first], 2000.0)
    assert choice.current is None
    next_request = choice.next_request(2000.0)
    assert next_request.node == ranking("c-1", [node for node in NODES if node != first])[0]
    assert next_request.at <= 2000.0 + NEXT_NODE_JITTER_MS
    choice.refused(2000.0, 30000.0)
    refusing = next_request.node
    choice.replace_nodes(NODES, 3000.0)
    assert all(choice.next_request(3000.0).node != refusing for _ in range(3)), (
        "the retry time is kept across the change"
    )
    with pytest.raises(NoNodesError):
        choice.replace_nodes([], 4000.0)


def test_pauses_grow_with_each_round_and_reset_after_an_answer():
    choice, now, pauses = node_choice(NODES[:1]), 0.0, []
    for _ in range(8):
        now = choice.next_request(now).at
        choice.failed(now)
        pauses.append(choice.next_request(now).at - now)
    assert pauses[0] <= INITIAL_BACKOFF_MS and max(pauses) > MAX_BACKOFF_MS / 2.0
    now = choice.next_request(now).at
    choice.answered(now)
    choice.next_request(now)
    choice.failed(now)
    assert choice.next_request(now).at - now <= INITIAL_BACKOFF_MS
