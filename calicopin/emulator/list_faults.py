"""Small faults of couriers that subscribe and of discovery nodes, injected one at a time: the referees
detect each.
"""

from calicopin.discovery_node.server import NodeServer
from calicopin.discovery_node.source import Source
from calicopin.emulator.faults import fault
from calicopin.emulator.referee import DRAIN, KNOWN
from calicopin.lifecycle import courier_subscription as subscription_module
from calicopin.lifecycle.courier_subscription import CourierSubscription
from calicopin.lifecycle.runtime import Runtime
from calicopin.state.known_list import KnownList
from calicopin.subscription.leases import NO_DESTINATIONS, Lease
from calicopin.subscription.nodes import NodeChoice
from calicopin.subscription.session import DestinationState
from calicopin.wire.subscriber import Subscriber


@fault("leaves-dropped-from-an-increment", "subscriptions", DRAIN)
def _(change):
    apply_update = CourierSubscription.apply_update

    def apply_without_leaves(subscribed, places, whole):
        apply_update(subscribed, places if whole else [place for place in places if place.ready], whole)

    change(CourierSubscription, "apply_update", apply_without_leaves)


@fault("called-before-the-first-answer", "subscriptions-herd", KNOWN)
def _(change):
    tried = property(lambda subscriber: True, lambda subscriber, _: None)
    change(Subscriber, "tried", tried)


@fault("one-lost-node-ends-the-wait", "subscriptions-node-down", DRAIN)
def _(change):
    """A restarted courier uses the list in its folder once its first request has failed."""
    fail = Subscriber._fail

    def fail_and_answer(subscriber, end):
        subscriber._answered = True
        fail(subscriber, end)

    change(Subscriber, "_fail", fail_and_answer)


@fault("given-up-and-still-called", "subscriptions", KNOWN)
def _(change):
    """An unsubscribed destination is not forgotten, and messages for it are accepted at once."""
    change(Runtime, "released", lambda runtime, destination: None)
    change(CourierSubscription, "first_answer", lambda subscribed, destination: None)
    change(
        subscription_module,
        "REFUSAL_STATUS",
        subscription_module.REFUSAL_STATUS | {DestinationState.WAITING: None},
    )


@fault("taken-on-before-the-first-answer", "subscriptions", KNOWN)
def _(change):
    change(CourierSubscription, "first_answer", lambda subscribed, destination: None)
    change(
        subscription_module,
        "REFUSAL_STATUS",
        subscription_module.REFUSAL_STATUS | {DestinationState.WAITING: None},
    )


@fault("list-in-the-folder-of-any-age", "subscriptions-old-list", KNOWN)
def _(change):
    read = KnownList.read

    def read_any_age(known_list):
        known_list.max_age = float("inf")
        return read(known_list)

    change(KnownList, "read", read_any_age)


@fault("node-loses-a-change", "subscriptions", DRAIN)
def _(change):
    """Subscribers of every second destination are not notified."""
    told = NodeServer.change

    def change_every_second(server, destinations):
        told(server, {destination for destination in destinations if destination % 2})

    change(NodeServer, "change", change_every_second)


@fault("node-reads-its-source-once", "subscriptions", DRAIN)
def _(change):
    def take_nothing(source, size):
        return
        yield

    change(Source, "_apply_appended", take_nothing)


@fault("answer-lost-is-not-told-again", "subscriptions-partition", KNOWN, 8)
def _(change):
    """A version that was sent counts as known, although the courier returns with the version before it."""
    acknowledge = Lease.acknowledge

    def acknowledge_anything(lease, index):
        lease.in_flight = NO_DESTINATIONS
        return acknowledge(lease, index)

    change(Lease, "acknowledge", acknowledge_anything)


@fault("lost-node-is-kept-to", "subscriptions-partition", DRAIN)
def _(change):
    def stay_with_node(choice, now):
        choice._at = now + 500.0

    change(NodeChoice, "failed", stay_with_node)
