"""Judges what couriers that subscribe to parts of the list owe, beside the six rules, from the trace alone.

- An announced leave is told within 6 s of when a node could be reached: from then on it counts as told.
- No destination is called, and no message for one taken on, before a node has told of it; given up and
  subscribed to anew it counts as not told; a restarted courier calls nobody before its first answer while
  every node can be
  reached and no answer is lost.
- A list from the folder may be as old as the configuration says.
- At the quiet end each courier's own file holds exactly what the source has of its destinations.
"""

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass, field

from calicopin.emulator.referee import DRAIN, GRACE, INFINITE, KNOWN, Referee
from calicopin.state.known_list import DamagedError, decode

TOLD_WITHIN = 6000.0  # ms of reach to a node
FILE_WITHIN = 8000.0  # ms without a change, after which each courier's file is up to date
HEARD_WITHIN = 6000.0  # ms before the end in which each courier has heard a node, where one can be reached
LAST_LOSS = 500.0  # ms: a connection may be reset that long after the time of such a trouble
KNOWN_LIST = "state/known-list"


@dataclass(frozen=True, slots=True)
class Span:
    """From one moment to another, ms."""

    begin: float
    end: float


@dataclass(slots=True)
class Listing:
    """One time in the list of one endpoint: when all nodes had it, the first one had its leave, all had that,
    and the first one had it listed again."""

    destination: int
    begin: float
    first_leave: float = INFINITE
    leave: float = INFINITE
    end: float = INFINITE


@dataclass(slots=True)
class Change:
    """A change of the source on its way to the nodes, and what it is a change of."""

    listing: Listing | None
    nodes: int = 0  # that have it


@dataclass(slots=True)
class Party:
    """A courier or a node: when it ran and when it stood still."""

    starts: list[float] = field(default_factory=list)
    ends: list[float] = field(default_factory=list)
    stands: list[Span] = field(default_factory=list)

    def silent(self) -> list[Span]:
        """When it did nothing."""
        first = self.starts[0] if self.starts else INFINITE
        down = [Span(0.0, first)]
        for end in self.ends:
            later = bisect_right(self.starts, end)
            down.append(Span(end, self.starts[later] if later < len(self.starts) else INFINITE))
        return down + self.stands

    def ran_through(self, begin: float, end: float) -> bool:
        """Whether one process ran all that time."""
        started = bisect_right(self.starts, begin)
        return started > 0 and self.life(end) == self.starts[started - 1] and not self.ended(begin, end)

    def ended(self, begin: float, end: float) -> bool:
        """Whether a process ended in that time."""
        return any(begin <= at <= end for at in self.ends)

    def life(self, at: float) -> float:
        """When the process that ran at that time began."""
        return self.starts[bisect_right(self.starts, at) - 1]


class Reach:
    """When a courier could speak with each node."""

    def __init__(self, silent: list[list[Span]]):
        self.silent = [sorted(spans, key=lambda span: span.begin) for spans in silent]

    def told_by(self, at: float) -> float:
        """By when what every node had at that time is told: after 6 s in which one node could be reached all
        the time."""
        return min((self._told_by(spans, at) for spans in self.silent), default=INFINITE)

    def _told_by(self, spans: list[Span], at: float) -> float:
        for span in spans:
            if span.end <= at:
                continue
            if span.begin - at >= TOLD_WITHIN:
                break
            at = max(at, span.end)
        return at + TOLD_WITHIN

    def any(self, begin: float, end: float) -> bool:
        """Whether one and the same node could be reached all that time."""
        return any(not any(span.begin < end and span.end > begin for span in spans) for spans in self.silent)

    def whole(self, begin: float, end: float) -> bool:
        """Whether every node could be reached all that time."""
        return not any(span.begin < end and span.end > begin for spans in self.silent for span in spans)


class Told:
    """What one courier was told, and what it gave up."""

    def __init__(self):
        self.answers: list[float] = []
        self.endpoints: dict[str, float] = {}  # when it was told of first
        self.destinations: dict[int, list[float]] = defaultdict(list)  # answers that held it, in order
        self.named: dict[int, list[float]] = defaultdict(list)  # the same, and those that told it as unknown
        self.given_up: dict[int, list[float]] = defaultdict(list)

    def since_given_up(self, destination: int, at: float) -> bool:
        """Whether an answer has told of the destination since it was given up last."""
        told = self.destinations.get(destination, ())
        given_up = self.given_up.get(destination, ())
        last_told = bisect_right(told, at)
        last_up = bisect_right(given_up, at)
        if not last_told:
            return False
        return not last_up or told[last_told - 1] > given_up[last_up - 1]

    def held(self, destination: int, life: float, begin: float, end: float) -> bool:
        """Whether it was subscribed to all that time, and told of to the process that began at `life`."""
        given_up = any(begin < at <= end for at in self.given_up.get(destination, ()))
        told = self.since_given_up(destination, begin) and self.was_named(destination, life, begin)
        return told and not given_up

    def was_named(self, destination: int, begin: float, end: float) -> bool:
        """Whether an answer of that time told of it."""
        return any(begin <= at <= end for at in self.named.get(destination, ()))


class ListReferee:
    """Adds its breaks to those of the referee of the six rules."""

    def __init__(self, simulation, referee: Referee):
        self.simulation, self.referee, self.settings = simulation, referee, simulation.scenario.nodes
        self.parties: dict[str, Party] = defaultdict(Party)
        self.cuts: dict[tuple[str, str], list[Span]] = defaultdict(list)
        self.told: dict[str, Told] = defaultdict(Told)
        self.changes: dict[int, Change] = {}
        self.listings: dict[str, list[Listing]] = defaultdict(list)
        self.changed_at = 0.0
        self.leaves = 0  # announced to couriers that held the destination, and judged
        self.compared = 0  # destinations held by couriers' files at the end
        self.losing: list[Span] = []  # when answers were lost with their connections
        for ident, entry in simulation.nodes.first.items():
            self.listings[ident].append(Listing(entry["cell"], 0.0))
        for at, kind, *told in simulation.world.trace:
            getattr(self, "_" + kind.replace("-", "_"), self._pass)(at, *told)
        nodes = [node.name for node in simulation.nodes.processes]
        self.reach = {
            courier.name: Reach([self._apart(courier.name, node) for node in nodes])
            for courier in simulation.couriers
        }
        self._judge()
        referee.breaks.sort(key=lambda one: (one.at, one.rule))

    def _apart(self, courier: str, node: str) -> list[Span]:
        parties = self.parties[courier].silent() + self.parties[node].silent()
        return parties + self.cuts[courier, node]

    # Reading the trace.

    def _pass(self, *_):
        pass

    def _start(self, at, name):
        self.parties[name].starts.append(at)

    def _end(self, at, name, how, why):
        self.parties[name].ends.append(at)

    def _stands(self, at, name, ms):
        self.parties[name].stands.append(Span(at, at + ms))

    def _leaves_service(self, at, name):
        """Told to end, a node may answer no more."""
        self.parties[name].stands.append(Span(at, at + 1000.0))

    def _trouble(self, at, kind, whom, ms):
        if kind in ("answers-lost", "resets"):
            self.losing.append(Span(at, at + ms + LAST_LOSS))

    def _machine_gone(self, at, name, ms):
        self.parties[name].stands.append(Span(at, at + ms))

    def _cut_off(self, at, courier, node, ms):
        self.cuts[courier, node].append(Span(at, at + ms))

    def _told(self, at, courier, full, on, off):
        endpoints = self.told[courier].endpoints
        for endpoint in on:
            endpoints.setdefault(endpoint, at)

    def _answered(self, at, courier, node, complete, unknown):
        told = self.told[courier]
        told.answers.append(at)
        for destination in complete:
            told.destinations[destination].append(at)
        for destination in complete + unknown:
            told.named[destination].append(at)

    def _gives_up(self, at, courier, destinations):
        for destination in destinations:
            self.told[courier].given_up[destination].append(at)

    def _source(self, at, serial, node, endpoint, destination, state, nodes):
        """A change is in a node's source; the first sights of changes are in their order, as each node has
        them."""
        change = self.changes.get(serial) or self._first_sight(at, serial, endpoint, destination, state)
        change.nodes += 1
        self.changed_at = at
        if change.nodes == nodes and change.listing is not None:
            if state == "active":
                change.listing.begin = at
            else:
                change.listing.leave = min(at, change.listing.leave)

    def _first_sight(self, at, serial, endpoint, destination, state) -> Change:
        """A change is in the first source: from now on couriers may hear of it."""
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
                self._quiet_end(courier)

    def _end_at(self) -> float:
        return self.simulation.world.now

    def _judge_call(self, call):
        told, party, reach = self.told[call.courier], self.parties[call.courier], self.reach[call.courier]
        began, at = party.life(call.begun), call.begun
        if told.endpoints.get(call.endpoint, INFINITE) > at:
            self.referee.add(KNOWN, at, call.courier, f"a call to {call.endpoint}, of which no node has told")
        elif not told.since_given_up(call.dest, at):
            self.referee.add(
                KNOWN,
                at,
                call.courier,
                f"a call to destination {call.dest}, which it gave up: no answer since then",
            )
        heard = bisect_right(told.answers, at)
        if not heard or told.answers[heard - 1] < began:
            self._before_first_answer(call, began, told.answers[heard - 1] if heard else -INFINITE)
        for listing in self.listings[call.endpoint]:
            if listing.leave <= at < listing.end:
                due = party_later(party, reach.told_by(listing.leave))
                if at > due + self.simulation.scenario.rules.drain_ms + GRACE:
                    self.referee.add(
                        DRAIN,
                        at,
                        call.courier,
                        f"a call to {call.endpoint} begun {at - listing.leave:.0f} ms after each node had "
                        f"its leave, which was to be told by {due:.1f}",
                    )

    def _judge_leaves(self, courier: str):
        """Each leave of a destination that the courier holds is told in time, whether a call would follow or
        not."""
        told, party = self.told[courier], self.parties[courier]
        for endpoint, listings in self.listings.items():
            for listing in listings:
                if listing.leave == INFINITE:
                    continue
                due = party_later(party, self.reach[courier].told_by(listing.leave)) + GRACE
                begin = listing.first_leave
                if due > min(listing.end, self._end_at()) or not party.ran_through(begin, due):
                    continue
                if told.held(listing.destination, party.life(begin), begin, due):
                    self.leaves += 1
                    if not told.was_named(listing.destination, begin, due):
                        self.referee.add(
                            KNOWN,
                            due,
                            courier,
                            f"the leave of {endpoint}, at every node by {listing.leave:.1f}, was not told",
                        )

    def _before_first_answer(self, call, began: float, heard: float):
        """A call by what the folder held."""
        lost = any(span.begin < call.begun and span.end > began for span in self.losing)
        if not lost and self.reach[call.courier].whole(began, call.begun):
            self.referee.add(
                KNOWN,
                call.begun,
                call.courier,
                "a call before its first answer, though every node could be reached and none was lost",
            )
        for listing in self.listings[call.endpoint]:
            announced = listing.leave < began and call.begun < listing.end
            if announced and not lost and self.reach[call.courier].any(began, call.begun):
                self.referee.add(
                    DRAIN,
                    call.begun,
                    call.courier,
                    f"a call to {call.endpoint}, announced as leaving before its start, no node asked: "
                    "a node could be reached",
                )
        if began - heard > self.settings.list_age_s * 1000.0:
            self.referee.add(
                KNOWN,
                call.begun,
                call.courier,
                f"a call by a list that was {(began - heard) / 1000.0:.1f} s old at the start, over list_age",
            )

    def _judge_answer(self, ident: str, at: float, status: int):
        _, _, courier, destination, *_ = self.referee.hands[ident]
        if status == 202 and not self.told[courier].since_given_up(destination, at):
            self.referee.add(
                KNOWN,
                at,
                courier,
                f"{ident} taken on for destination {destination}, of which no node has told",
            )
        if status == 404 and self._listed_long(courier, destination, at):
            self.referee.add(
                KNOWN, at, courier, f"{ident} refused with 404: destination {destination} was in the list"
            )

    def _listed_long(self, courier: str, destination: int, at: float) -> bool:
        return any(
            listing.destination == destination
            and self.reach[courier].told_by(listing.begin) + GRACE < at < listing.first_leave
            for listings in self.listings.values()
            for listing in listings
        )

    def _quiet_end(self, courier):
        """What the courier's file holds against the source, and that it still hears a node."""
        end, name = self._end_at(), courier.name
        told, life = self.told[name], self.parties[name].life(end)
        can_hear = self.reach[name].told_by(life) < end
        quiet = can_hear and self.reach[name].told_by(self.changed_at) + FILE_WITHIN - TOLD_WITHIN < end
        if can_hear and self.reach[name].told_by(end - HEARD_WITHIN) <= end:
            if not told.answers or told.answers[-1] < end - HEARD_WITHIN:
                self.referee.add(
                    KNOWN, end, name, "it has heard no node for 6 s, though one could be reached"
                )
        if quiet:
            self._compare(courier, life)

    def _compare(self, courier, life: float):
        end, name = self._end_at(), courier.name
        try:
            held = decode(bytes(courier.disk.files.get(KNOWN_LIST, b""))).places
        except DamagedError as fault:
            self.referee.add(KNOWN, end, name, f"its list in the folder: {fault}")
            return
        listed = defaultdict(set)
        for entry in self.simulation.nodes.source.entries.values():
            listed[entry["cell"]].add((entry["id"], entry["addr"], entry["zone"], entry["state"] == "active"))
        self.compared += len(held)
        for destination, places in held.items():
            own = {(place.ident, place.address, place.zone, place.ready) for place in places}
            if own != listed[destination]:
                self.referee.add(
                    KNOWN,
                    end,
                    name,
                    f"destination {destination}: it holds {sorted(own)}, not {sorted(listed[destination])}",
                )
        for destination in self._used(name, life):
            if listed[destination] and destination not in held:
                self.referee.add(KNOWN, end, name, f"destination {destination} is used and not held")

    def _used(self, courier: str, life: float) -> list[int]:
        """Destinations of messages that its last process took on, none of which may be given up yet."""
        since = max(life, self._end_at() - (self.settings.given_up_s or 600.0) * 1000.0)
        hands = self.referee.hands
        return sorted(
            {
                hands[ident][3]
                for ident, (at, status) in self.referee.answers.items()
                if status == 202 and hands[ident][2] == courier and since < at < self._end_at() - FILE_WITHIN
            }
        )


def party_later(party: Party, at: float) -> float:
    """When a party that stood still at that time goes on."""
    for span in party.stands:
        if span.begin <= at <= span.end:
            at = span.end
    return at


def judge(simulation, referee: Referee) -> Referee:
    """The referee with these breaks too, where there are nodes."""
    if simulation.nodes.processes:
        ListReferee(simulation, referee)
    return referee
