"""Small faults of couriers that subscribe and of discovery nodes, put in one at a time: the referees see
each."""

from calicopin.discovery_node.server import NodeServer
from calicopin.discovery_node.source import Source
from calicopin.emulator.faults import fault
from calicopin.emulator.referee import DRAIN, KNOWN
from calicopin.lifecycle import subscribed as subscribed_module
from calicopin.lifecycle.runtime import Runtime
from calicopin.lifecycle.subscribed import Subscribed
from calicopin.state.known_list import KnownList
from calicopin.subscription.leases import NOTHING, Lease
from calicopin.subscription.nodes import NodeChoice
from calicopin.subscription.session import Standing
from calicopin.wire.subscriber import Subscriber


@fault("leaves-dropped-from-an-increment", "subscriptions", DRAIN)
def _(change):
    heard = Subscribed.heard

    def deaf(subscribed, places, whole):
        heard(subscribed, places if whole else [place for place in places if place.ready], whole)

    change(Subscribed, "heard", deaf)


@fault("called-before-the-first-answer", "subscriptions-herd", KNOWN)
def _(change):
    tried = property(lambda subscriber: True, lambda subscriber, _: None)
    change(Subscriber, "tried", tried)


@fault("one-lost-node-ends-the-wait", "subscriptions-node-down", DRAIN)
def _(change):
    """A courier that has started goes by its folder's list once its first request has failed."""
    fail = Subscriber._fail

    def hasty(subscriber, end):
        subscriber._answered = True
        fail(subscriber, end)

    change(Subscriber, "_fail", hasty)


@fault("given-up-and-still-called", "subscriptions", KNOWN)
def _(change):
    """What was given up is not forgotten, and a message for it is taken on at once."""
    change(Runtime, "released", lambda runtime, destination: None)
    change(Subscribed, "first_answer", lambda subscribed, destination: None)
    change(subscribed_module, "REFUSALS", subscribed_module.REFUSALS | {Standing.WAITING: None})


@fault("taken-on-before-the-first-answer", "subscriptions", KNOWN)
def _(change):
    change(Subscribed, "first_answer", lambda subscribed, destination: None)
    change(subscribed_module, "REFUSALS", subscribed_module.REFUSALS | {Standing.WAITING: None})


@fault("list-in-the-folder-of-any-age", "subscriptions-old-list", KNOWN)
def _(change):
    read = KnownList.read

    def trusting(known_list):
        known_list.max_age = float("inf")
        return read(known_list)

    change(KnownList, "read", trusting)


@fault("node-loses-a-change", "subscriptions", DRAIN)
def _(change):
    """Of every second destination its subscribers aren't told."""
    told = NodeServer.change

    def lossy(server, destinations):
        told(server, {destination for destination in destinations if destination % 2})

    change(NodeServer, "change", lossy)


@fault("node-reads-its-source-once", "subscriptions", DRAIN)
def _(change):
    def blind(source, size):
        return
        yield

    change(Source, "_take_appended", blind)


@fault("answer-lost-is-not-told-again", "subscriptions-partition", KNOWN, 8)
def _(change):
    """What went out under a version counts as known, though the courier comes with the version before it."""
    acknowledge = Lease.acknowledge

    def careless(lease, index):
        lease.in_flight = NOTHING
        return acknowledge(lease, index)

    change(Lease, "acknowledge", careless)


@fault("lost-node-is-kept-to", "subscriptions-partition", DRAIN)
def _(change):
    def patient(choice, now):
        choice._at = now + 500.0

    change(NodeChoice, "failed", patient)
