"""Judges the further rules on couriers that subscribe to parts of the list, from the trace alone.

- An announced leave is known within 6 s of reach to a node; from then on it counts as known.
- No destination is called, and no message for it accepted, before a node has answered about it. After it was
  unsubscribed it counts as unknown until the next answer. A restarted courier calls nobody before its first
  answer as long as every node can be reached and no answer is lost.
- A list from the folder may be as old as the configuration says.
- At the end of a quiet run each courier's own file holds exactly what the source says of its destinations.
"""

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass, field

from calicopin.emulator.referee import DRAIN, INFINITE, KNOWN, REACTION_MS, Referee
from calicopin.state.known_list import DamagedError, decode

UPDATE_WITHIN_MS = 6000.0  # of reach to a node
STORED_WITHIN_MS = 8000.0  # without a change, after which each courier's file is up to date
ANSWER_WITHIN_MS = 6000.0  # before the end, if a node can be reached
LOSS_TOLERANCE_MS = 500.0  # a connection may be reset this long after the trouble
KNOWN_LIST_PATH = "state/known-list"


@dataclass(frozen=True, slots=True)
class Span:
    """A time span in ms."""

    begin: float
    end: float


@dataclass(slots=True)
class Listing:
    """One period of an endpoint in the list: when all nodes had it, when the first and when all nodes had
    its leave, and when the first one had it listed again.
    """

    destination: int
    begin: float
    first_leave: float = INFINITE
    leave: float = INFINITE
    end: float = INFINITE


@dataclass(slots=True)
class Change:
    """A change of the source on its way to the nodes, and the listing that it affects."""

    listing: Listing | None
    nodes: int = 0  # that have it


@dataclass(slots=True)
class Party:
    """A courier or a node: when its processes ran and when it was suspended."""

    starts: list[float] = field(default_factory=list)
    ends: list[float] = field(default_factory=list)
    suspensions: list[Span] = field(default_factory=list)

    def silent(self) -> list[Span]:
        """The spans in which it did nothing."""
        first = self.starts[0] if self.starts else INFINITE
        down = [Span(0.0, first)]
        for end in self.ends:
            later = bisect_right(self.starts, end)
            down.append(Span(end, self.starts[later] if later < len(self.starts) else INFINITE))
        return down + self.suspensions

    def ran_through(self, begin: float, end: float) -> bool:
        """Whether one process ran all that time."""
        started = bisect_right(self.starts, begin)
        return (
            started > 0 and self.process_start(end) == self.starts[started - 1] and not self.ended(begin, end)
        )

    def ended(self, begin: float, end: float) -> bool:
        """Whether a process ended in that time."""
        return any(begin <= at <= end for at in self.ends)

    def process_start(self, at: float) -> float:
        """When the process that ran at that time began."""
        return self.starts[bisect_right(self.starts, at) - 1]


class Reachability:
    """When a courier could not reach each node."""

    def __init__(self, unreachable: list[list[Span]]):
        self.unreachable = [sorted(spans, key=lambda span: span.begin) for spans in unreachable]

    def update_due(self, at: float) -> float:
        """When a courier must know what every node had at `at`: after 6 s without interruption in which
        one node could be reached.
        """
        return min((self._update_due_from(spans, at) for spans in self.unreachable), default=INFINITE)

    def _update_due_from(self, spans: list[Span], at: float) -> float:
        for span in spans:
            if span.end <= at:
                continue
            if span.begin - at >= UPDATE_WITHIN_MS:
                break
            at = max(at, span.end)
        return at + UPDATE_WITHIN_MS

    def any_node(self, begin: float, end: float) -> bool:
        """Whether one and the same node could be reached all that time."""
        return any(
            not any(span.begin < end and span.end > begin for span in spans) for spans in self.unreachable
        )

    def every_node(self, begin: float, end: float) -> bool:
        """Whether every node could be reached all that time."""
        return not any(span.begin < end and span.end > begin for spans in self.unreachable for span in spans)


class KnownDestinations:
    """What one courier has learnt from nodes, and what it has unsubscribed from."""

    def __init__(self):
        self.answers: list[float] = []
        self.endpoints: dict[str, float] = {}  # when each was first known
        self.known_at: dict[int, list[float]] = defaultdict(list)  # times of answers with it, in order
        # the same, and times of answers that call it unknown
        self.answered_at: dict[int, list[float]] = defaultdict(list)
        self.unsubscribed_at: dict[int, list[float]] = defaultdict(list)

    def is_known(self, destination: int, at: float) -> bool:
        """Whether an answer has told of the destination since it was last unsubscribed."""
        answers = self.known_at.get(destination, ())
        unsubscribed = self.unsubscribed_at.get(destination, ())
        answer_count = bisect_right(answers, at)
        unsubscribe_count = bisect_right(unsubscribed, at)
        if not answer_count:
            return False
        return not unsubscribe_count or answers[answer_count - 1] > unsubscribed[unsubscribe_count - 1]

    def was_subscribed(self, destination: int, process_start: float, begin: float, end: float) -> bool:
        """Whether it was subscribed all that time, and known to the process that began at `process_start`."""
        unsubscribed = any(begin < at <= end for at in self.unsubscribed_at.get(destination, ()))
        known = self.is_known(destination, begin) and self.was_answered(destination, process_start, begin)
        return known and not unsubscribed

    def was_answered(self, destination: int, begin: float, end: float) -> bool:
        """Whether an answer in that time told of it."""
        return any(begin <= at <= end for at in self.answered_at.get(destination, ()))


class ListReferee:
    """Adds its violations to those of the referee of the six rules."""

    def __init__(self, simulation, referee: Referee):
        self.simulation, self.referee, self.settings = simulation, referee, simulation.scenario.nodes
        self.parties: dict[str, Party] = defaultdict(Party)
        self.cuts: dict[tuple[str, str], list[Span]] = defaultdict(list)
        self.known: dict[str, KnownDestinations] = defaultdict(KnownDestinations)
        self.changes: dict[int, Change] = {}
        self.listings: dict[str, list[Listing]] = defaultdict(list)
        self.changed_at = 0.0
        self.leaves_judged = 0  # leaves announced to couriers that held the destination
        self.destinations_compared = 0  # in couriers' files at the end
        self.loss_spans: list[Span] = []  # when answers may be lost with their connections
        for ident, entry in simulation.nodes.initial_entries.items():
            self.listings[ident].append(Listing(entry["cell"], 0.0))
        for at, kind, *details in simulation.world.trace:
            getattr(self, "_" + kind.replace("-", "_"), self._ignore)(at, *details)
        nodes = [node.name for node in simulation.nodes.processes]
        self.reachability = {
            courier.name: Reachability([self._unreachable_spans(courier.name, node) for node in nodes])
            for courier in simulation.couriers
        }
        self._judge()
        referee.violations.sort(key=lambda one: (one.at, one.rule))

    def _unreachable_spans(self, courier: str, node: str) -> list[Span]:
        parties = self.parties[courier].silent() + self.parties[node].silent()
        return parties + self.cuts[courier, node]

    # Reading the trace: each handler is named after the kind of its entries.

    def _ignore(self, *_):
        pass

    def _start(self, at, name):
        self.parties[name].starts.append(at)

    def _end(self, at, name, how, reason):
        self.parties[name].ends.append(at)

    def _stands(self, at, name, ms):
        self.parties[name].suspensions.append(Span(at, at + ms))

    def _leaves_service(self, at, name):
        """After SIGTERM a node may stop answering."""
        self.parties[name].suspensions.append(Span(at, at + 1000.0))

    def _trouble(self, at, kind, target, ms):
        if kind in ("answers-lost", "resets"):
            self.loss_spans.append(Span(at, at + ms + LOSS_TOLERANCE_MS))

    def _machine_gone(self, at, name, ms):
        self.parties[name].suspensions.append(Span(at, at + ms))

    def _cut_off(self, at, courier, node, ms):
        self.cuts[courier, node].append(Span(at, at + ms))

    def _told(self, at, courier, full, on, off):
        endpoints = self.known[courier].endpoints
        for endpoint in on:
            endpoints.setdefault(endpoint, at)

    def _answered(self, at, courier, node, complete, unknown):
        known = self.known[courier]
        known.answers.append(at)
        for destination in complete:
            known.known_at[destination].append(at)
        for destination in complete + unknown:
            known.answered_at[destination].append(at)

    def _gives_up(self, at, courier, destinations):
        for destination in destinations:
            self.known[courier].unsubscribed_at[destination].append(at)

    def _source(self, at, serial, node, endpoint, destination, state, nodes):
        """A change is in a node's source; each node gets the changes in order, and so their first sight is
        in order too.
        """
        change = self.changes.get(serial) or self._first_sight(at, serial, endpoint, destination, state)
        change.nodes += 1
        self.changed_at = at
        if change.nodes == nodes and change.listing is not None:
            if state == "active":
                change.listing.begin = at
            else:
                change.listing.leave = min(at, change.listing.leave)

    def _first_sight(self, at, serial, endpoint, destination, state) -> Change:
        """A change is in the first source: from now on couriers may learn of it."""
        listings = self.listings[endpoint]
        if state == "active":
            if listings:
                listings[-1].end = at
            listings.append(Listing(destination, INFINITE))
        elif listings:
            listings[-1].first_leave = min(at, listings[-1].first_leave)
        change = self.changes[serial] = Change(listings[-1] if listings else None)
        return change

    # Judging.

    def _judge(self):
        for call in self.referee.calls.values():
            self._judge_call(call)
        for ident, (at, status) in self.referee.answers.items():
            self._judge_answer(ident, at, status)
        for courier in self.simulation.couriers:
            self._judge_leaves(courier.name)
            if not self.parties[courier.name].ends or self.parties[courier.name].ends[-1] >= self._end_at():
                self._judge_end_state(courier)

    def _end_at(self) -> float:
        return self.simulation.world.now

    def _judge_call(self, call):
        known, party, reachability = (
            self.known[call.courier],
            self.parties[call.courier],
            self.reachability[call.courier],
        )
        process_start, at = party.process_start(call.started_at), call.started_at
        if known.endpoints.get(call.endpoint, INFINITE) > at:
            self.referee.add(KNOWN, at, call.courier, f"a call to {call.endpoint}, of which no node has told")
        elif not known.is_known(call.dest, at):
            self.referee.add(
                KNOWN,
                at,
                call.courier,
                f"a call to destination {call.dest}, which it unsubscribed from: no answer since then",
            )
        answer_count = bisect_right(known.answers, at)
        if not answer_count or known.answers[answer_count - 1] < process_start:
            self._judge_call_before_answer(
                call, process_start, known.answers[answer_count - 1] if answer_count else -INFINITE
            )
        for listing in self.listings[call.endpoint]:
            if listing.leave <= at < listing.end:
                due = resume_time(party, reachability.update_due(listing.leave))
                if at > due + self.simulation.scenario.rules.drain_ms + REACTION_MS:
                    self.referee.add(
                        DRAIN,
                        at,
                        call.courier,
                        f"a call to {call.endpoint} started {at - listing.leave:.0f} ms after each node had "
                        f"its leave, which was due by {due:.1f}",
                    )

    def _judge_leaves(self, courier: str):
        """A courier that holds a destination must learn of each leave in time, whether it calls it or not."""
        known, party = self.known[courier], self.parties[courier]
        for endpoint, listings in self.listings.items():
            for listing in listings:
                if listing.leave == INFINITE:
                    continue
                due = resume_time(party, self.reachability[courier].update_due(listing.leave)) + REACTION_MS
                begin = listing.first_leave
                if due > min(listing.end, self._end_at()) or not party.ran_through(begin, due):
                    continue
                if known.was_subscribed(listing.destination, party.process_start(begin), begin, due):
                    self.leaves_judged += 1
                    if not known.was_answered(listing.destination, begin, due):
                        self.referee.add(
                            KNOWN,
                            due,
                            courier,
                            f"the leave of {endpoint}, at all nodes by {listing.leave:.1f}, was not reported",
                        )

    def _judge_call_before_answer(self, call, process_start: float, previous_answer: float):
        """A call by the list in the folder."""
        answer_lost = any(
            span.begin < call.started_at and span.end > process_start for span in self.loss_spans
        )
        if not answer_lost and self.reachability[call.courier].every_node(process_start, call.started_at):
            self.referee.add(
                KNOWN,
                call.started_at,
                call.courier,
                "a call before its first answer, though every node could be reached and no answer was lost",
            )
        for listing in self.listings[call.endpoint]:
            announced = listing.leave < process_start and call.started_at < listing.end
            if (
                announced
                and not answer_lost
                and self.reachability[call.courier].any_node(process_start, call.started_at)
            ):
                self.referee.add(
                    DRAIN,
                    call.started_at,
                    call.courier,
                    f"a call to {call.endpoint}, announced as leaving before its start, without an answer: "
                    "a node could be reached",
                )
        if process_start - previous_answer > self.settings.list_age_s * 1000.0:
            self.referee.add(
                KNOWN,
                call.started_at,
                call.courier,
                f"a call by a list that was {(process_start - previous_answer) / 1000.0:.1f} s old at the "
                "start, over list_age",
            )

    def _judge_answer(self, ident: str, at: float, status: int):
        _, _, courier, destination, *_ = self.referee.submissions[ident]
        if status == 202 and not self.known[courier].is_known(destination, at):
            self.referee.add(
                KNOWN,
                at,
                courier,
                f"{ident} accepted for destination {destination}, of which no node has told",
            )
        if status == 404 and self._was_listed(courier, destination, at):
            self.referee.add(
                KNOWN, at, courier, f"{ident} refused with 404: destination {destination} was in the list"
            )

    def _was_listed(self, courier: str, destination: int, at: float) -> bool:
        return any(
            listing.destination == destination
            and self.reachability[courier].update_due(listing.begin) + REACTION_MS < at < listing.first_leave
            for listings in self.listings.values()
            for listing in listings
        )

    def _judge_end_state(self, courier):
        """Compares the courier's file with the source, and checks that it still gets answers."""
        end, name = self._end_at(), courier.name
        known, process_start = self.known[name], self.parties[name].process_start(end)
        can_be_updated = self.reachability[name].update_due(process_start) < end
        quiet = (
            can_be_updated
            and self.reachability[name].update_due(self.changed_at) + STORED_WITHIN_MS - UPDATE_WITHIN_MS
            < end
        )
        if can_be_updated and self.reachability[name].update_due(end - ANSWER_WITHIN_MS) <= end:
            if not known.answers or known.answers[-1] < end - ANSWER_WITHIN_MS:
                self.referee.add(
                    KNOWN, end, name, "no answer from a node for 6 s, though one could be reached"
                )
        if quiet:
            self._compare_stored_list(courier, process_start)

    def _compare_stored_list(self, courier, process_start: float):
        end, name = self._end_at(), courier.name
        try:
            stored = decode(bytes(courier.disk.files.get(KNOWN_LIST_PATH, b""))).places
        except DamagedError as error:
            self.referee.add(KNOWN, end, name, f"its list in the folder: {error}")
            return
        listed = defaultdict(set)
        for entry in self.simulation.nodes.source.entries.values():
            listed[entry["cell"]].add((entry["id"], entry["addr"], entry["zone"], entry["state"] == "active"))
        self.destinations_compared += len(stored)
        for destination, places in stored.items():
            stored_entries = {(place.ident, place.address, place.zone, place.ready) for place in places}
            if stored_entries != listed[destination]:
                self.referee.add(
                    KNOWN,
                    end,
                    name,
                    f"destination {destination}: it holds {sorted(stored_entries)}, "
                    f"not {sorted(listed[destination])}",
                )
        for destination in self._used_destinations(name, process_start):
            if listed[destination] and destination not in stored:
                self.referee.add(KNOWN, end, name, f"destination {destination} is used but not in its list")

    def _used_destinations(self, courier: str, process_start: float) -> list[int]:
        """Destinations of messages that the last process accepted and cannot have unsubscribed from yet."""
        since = max(process_start, self._end_at() - (self.settings.given_up_s or 600.0) * 1000.0)
        submissions = self.referee.submissions
        return sorted(
            {
                submissions[ident][3]
                for ident, (at, status) in self.referee.answers.items()
                if status == 202
                and submissions[ident][2] == courier
                and since < at < self._end_at() - STORED_WITHIN_MS
            }
        )


def resume_time(party: Party, at: float) -> float:
    """When a party that was suspended at that time resumes."""
    for span in party.suspensions:
        if span.begin <= at <= span.end:
            at = span.end
    return at


def judge(simulation, referee: Referee) -> Referee:
    """The referee with these violations added, if there are nodes."""
    if simulation.nodes.processes:
        ListReferee(simulation, referee)
    return referee
