"""The decisions in blocking style: hand in, report, tick, then pick what is to be called and read what ended.

The code around it never sees the module's events or actions. Nothing here decides anything.
"""

import re
from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum

from calicopin import deployment_settings, route_state
from calicopin.decisions import HARMLESS
from calicopin.interface import (
    CallsPaused,
    Close,
    Emptied,
    Entry,
    How,
    Interrupted,
    Listed,
    Log,
    Nack,
    Outcome,
    Released,
    RouteState,
    Submit,
    Taken,
    Undeliverable,
    Wake,
    Withdrawn,
    Woken,
)
from calicopin.slow_start import COLD, OUT, WELL

DESTINATION_NAME = re.compile(r"^destination (\d+)")  # as the decisions name one in their lines


class Far(IntEnum):
    """How far a submit had come when it ended."""

    CALLED_OFF = 0  # it took its time to connect, and then was no longer wanted
    UNCONNECTED = 1
    UNSENT = 2  # its last byte was not written
    SENT = 3
    ANSWERED = 4


@dataclass(slots=True)
class Answer:
    """How one call ended. `ends` holds what a bulk answer says of each text."""

    far: Far
    late: bool = False
    gone: bool = (
        False  # its connection was gone before the call: no fault of the endpoint's, yet it may have run
    )
    status: int = 0
    wait: float = 0.0
    no_slot: bool = False
    load: dict = field(default_factory=dict)
    ends: dict | None = None


@dataclass(slots=True)
class Place:
    """One line of the list, in our words."""

    ident: str
    address: str
    dest: int
    kind: str
    zone: str
    ready: bool
    agreed: float
    left: bool = False


@dataclass(slots=True)
class Call:
    """One call to make, with the texts that share it."""

    place: Place
    texts: list
    timeout: float
    endpoint: int = -1
    told: bool = False  # whether an outcome was reported, and with what wait
    waited: float = 0.0
    open: set = field(default_factory=set)  # texts of which nothing was reported yet

    @property
    def valid_until(self) -> float:
        """When the time of the first of its texts is up, in ms of the loop's clock."""
        return min(text.until for text in self.texts)


@dataclass(slots=True)
class End:
    """The one final answer of a text: delivered, over, or a notice with what it says and why (for the
    log)."""

    text: object
    verdict: str | None
    wait: float = 0.0
    delivered: bool = False
    why: str = ""


ANSWERS = {
    200: How.DELIVERED,
    429: How.FULL,
    503: How.FULL,
    504: How.NOT_SENT,
    410: How.NOT_SENT,
    400: How.NOT_SENT,
    413: How.NOT_SENT,
}  # any other may have run
OUTCOMES_BY_TEXT_STATE = {
    "delivered": How.DELIVERED,
    "failed": How.ERROR,
    "refused": How.FULL,
    "over": How.NOT_SENT,
    "spent": How.NOT_SENT,
}


def how(answer, ident):
    """The outcome of one text, and whether nothing more is owed for it."""
    if answer.far == Far.CALLED_OFF:
        return How.NOT_SENT, False
    if answer.far <= Far.UNSENT:
        return How.UNREACHED, False
    if answer.far == Far.SENT:
        return (How.CALLED_OFF if answer.gone else How.TIMEOUT if answer.late else How.BROKEN), False
    if answer.ends is not None:
        state = str(answer.ends.get(ident))
        return OUTCOMES_BY_TEXT_STATE.get(state, How.ERROR), state in ("delivered", "over")
    if answer.status == 503 and answer.no_slot:
        return How.NOT_SENT, False
    return ANSWERS.get(answer.status, How.ERROR), answer.status in (200, 410)


class Facade:
    """The decisions in blocking style: texts and news go in, calls and ends come out. Times are ms."""

    def __init__(self, seed, settings, slots, now, restarted=False):
        self.partners = deployment_settings.partners(settings)
        self.has_agreed_rates, self.load_columns = (
            deployment_settings.lists_agreed_rates(settings),
            deployment_settings.load_columns(settings),
        )
        self.kinds = deployment_settings.Indices(settings.get("kinds") or [])
        self.zones = deployment_settings.Indices(settings.get("zones") or [])
        self.dests, self.endpoints = deployment_settings.Indices(), deployment_settings.Indices()
        restart = {"restarted": now} if restarted else {}
        self.module = deployment_settings.courier(seed, settings, slots=slots, asks=False, **restart)
        self.max_texts = settings["ceilings"]["mostHeld"]
        self.awaited = 0  # messages that wait for the first answer on their destination
        self.texts, self.places, self.events = {}, {}, []
        self.places_of = {}  # the numbers of the endpoints that are listed, by destination
        self.dropped_dests = []  # destinations that are known no more, until the journal has heard of it
        self.unlisted = {}  # the numbers of endpoints that may be known to nobody any more
        self.calls, self.returned_texts, self.final_answers, self.log_lines, self.endpoints_to_close = (
            deque(),
            deque(),
            deque(),
            deque(),
            deque(),
        )
        self.next_number, self.wake = 0, None
        self.tick(now)

    # What comes in.

    def full(self):
        """Whether as many texts are held as the settings allow."""
        return len(self.texts) + self.awaited >= self.max_texts

    def advice(self, text):
        """The milliseconds after which a text that is turned away may come again (0: none told)."""
        if text.dest not in self.dests.index:  # nothing is known of it, and nothing is to be kept for it
            return self.module.registry.advice
        return self.module.advice(self.dests(text.dest))

    def hand_in(self, text, restored=False):
        """A new text, or one that a restart brought back."""
        text.number, self.next_number = self.next_number, self.next_number + 1
        self.texts[text.number] = text
        zone = None if text.ran_zone is None else self.zones(text.ran_zone)
        self.events.append(
            Taken(
                text.number,
                self.dests(text.dest),
                text.product,
                text.until,
                text.key,
                tries=text.tries,
                ran_at=text.ran_at,
                ran_zone=zone,
                restored=restored,
            )
        )

    def restore_route(self, dest, endpoint, state, continuous):
        """What the last process knew of a route (`endpoint` None: of the whole destination); `continuous`
        says whether the monotonic clock has gone on since."""
        number = None if endpoint is None else self.endpoints(endpoint)
        self.events.append(RouteState(self.dests(dest), number, state, continuous))

    def interrupted(self, dest):
        """A call of the last process to that destination was still out when that ended."""
        self.events.append(Interrupted(self.dests(dest)))

    def dropped_destinations(self):
        """The destinations of which nothing is known any more since this was asked last."""
        dropped, self.dropped_dests = self.dropped_dests, []
        return dropped

    def changed_routes(self):
        """(destination, endpoint or None, state or None) of each route of which the next process has to know
        something else than it had to so far; a state of None: nothing."""
        changed, self.module.scheduler.touched = self.module.scheduler.touched, {}
        for route in changed:
            dest, endpoint = route.key
            if dest in self.dests.ident and (endpoint is None or endpoint in self.endpoints.ident):
                state = route_state.values(route) if route.kept else None
                yield (
                    self.dests.ident[dest],
                    (None if endpoint is None else self.endpoints.ident[endpoint]),
                    state,
                )

    def overran(self):
        """The names of routes that were sent more than slow start allows since this was asked last."""
        names, self.module.scheduler.overran = self.module.scheduler.overran, []
        return [self._with_destination_id(name) for name in names]

    def endpoint_of(self, call):
        """What the decisions know of a call's target, or None."""
        return self.module.endpoints.get(call.endpoint)

    def unknown(self, texts, routes, now):
        """The names of what the decisions do not know: of texts that are held, and of routes by destination
        and endpoint that were in an outage and are not warm by now."""
        known_texts, names = self.module.registry.texts, []
        for text in texts:
            if text.number in self.texts and text.number not in known_texts:
                names.append(text.ident)
        for (dest, endpoint), state in routes.items():
            known_dest = self.module.dests.get(self.dests.index.get(dest))
            number = None if endpoint is None else self.endpoints.index.get(endpoint)
            route = known_dest and known_dest.routes.get(number)
            restricted = state["mode"] == OUT or (state["mode"] == COLD and now < state["warm_at"])
            if restricted and (route is None or route.mode == WELL):
                names.append(f"destination {dest}" + (f" endpoint {endpoint}" if endpoint else ""))
        return names

    def withdraw(self, text):
        """Nothing more is owed for it."""
        if self.texts.pop(text.number, None):
            self.events.append(Withdrawn(text.number))
            self.final_answers.append(End(text, None, why="its client has left"))

    def hand_back(self):
        """What waits and does no harm elsewhere ends as nacked."""
        self.events.append(Emptied())

    def serves(self, dest):
        """Whether the destination was ever listed."""
        return dest in self.dests.index

    def listed(self, places, whole):
        """News of the list; what has left is forgotten once the decisions have no more use for it. Returns
        the number of each endpoint that is named, with its place as it was before, or None."""
        entries, before, former = [], self.places, {}
        if whole:
            self.places, self.places_of = {}, {}
        for place in places:
            number = self.endpoints(place.ident)
            former.setdefault(number, self._remove_place(number))
            self._add_place(number, place)
            entries.append(
                Entry(
                    number,
                    self.dests(place.dest),
                    self.kinds(place.kind),
                    self.zones(place.zone),
                    place.ready,
                    place.agreed if self.has_agreed_rates else None,
                )
            )
            if place.left:
                self._remove_place(number)
                self.unlisted[number] = None
        if whole:
            self.unlisted |= {number: None for number in before if number not in self.places}
        self.events.append(Listed(entries, whole))
        self._forget_unlisted(before)
        return former

    def _add_place(self, number, place):
        self.places[number] = place
        self.places_of.setdefault(place.dest, {})[number] = None

    def _remove_place(self, number):
        place = self.places.pop(number, None)
        if place is not None:
            siblings = self.places_of[place.dest]
            del siblings[number]
            if not siblings:
                del self.places_of[place.dest]
        return place

    def _forget_unlisted(self, before):
        """Endpoints that are not listed, were not in the list before this one, and that the decisions do not
        know."""
        for number in list(self.unlisted):
            if number not in self.places and number in before:
                continue  # the next news tells
            del self.unlisted[number]
            in_use = number in self.places or number in self.module.endpoints
            if not in_use and number in self.endpoints.ident:
                self.endpoints.forget(self.endpoints.ident[number])

    def release(self, dest):
        """The destination is used no more: what is known of it goes once the decisions have no more use for
        it. Returns its endpoints as they were listed."""
        numbers = list(self.places_of.get(dest, ()))
        self.unlisted |= dict.fromkeys(numbers)
        if dest in self.dests.index:
            self.events.append(Released(self.dests(dest)))
        return [self._remove_place(number) for number in numbers]

    def in_use(self, dest):
        """Whether a message for the destination is held: in its queue, out, or handed in since the last
        tick."""
        number = self.dests.index.get(dest)
        known = self.module.dests.get(number)
        return (known is not None and bool(known.queue or known.held)) or any(
            isinstance(event, Taken) and event.dest == number for event in self.events
        )

    def destinations(self):
        """All destinations of which something is known."""
        return list(self.dests.index)

    def report(self, call, answer, elapsed):
        """How a call ended. What had its outcome before is passed over."""
        load = {column: answer.load.get(column) for column in self.load_columns}
        for text in call.texts:
            if text.number in call.open:
                outcome, ended = how(answer, text.ident)
                self._outcome(call, text, outcome, elapsed, ended, answer.wait, load)
        if answer.wait > call.waited:
            if (
                not call.open and call.told
            ):  # the head came whole only after the first line had told the outcome
                self.module.halt(call.endpoint, answer.wait)
            call.waited = answer.wait
        call.told = True

    def _outcome(self, call, text, outcome, elapsed, ended, wait=0.0, load=None):
        call.open.discard(text.number)
        load = load or {}
        self.events.append(
            Outcome(text.number, call.endpoint, outcome, wait, elapsed, ended, load.get("x0"), load.get("x1"))
        )
        if not ended:
            self.returned_texts.append((text, outcome not in HARMLESS))
        elif self.texts.pop(text.number, None):
            delivered = outcome == How.DELIVERED
            why = f"delivered to {call.place.ident}" if delivered else f"over, says {call.place.ident}"
            self.final_answers.append(End(text, None, delivered=delivered, why=why))

    def avoided(self):
        """How many of the listed endpoints are in an outage as far as is known: next to nothing is sent
        there.
        """
        known = self.module.endpoints
        return sum(number in known and known[number].route.mode == "out" for number in self.places)

    def state(self):
        """What is known of each destination that was ever listed: as on-call staff would ask for it.

        Rates are calls a second, times milliseconds.
        """
        states = []
        for ident, number in self.dests.index.items():
            dest = self.module.dests.get(number)
            routes = list(dest.routes.values()) if dest else []
            worst = max(routes, key=lambda route: ("well", "cold", "out").index(route.mode), default=None)
            states.append(
                dict(
                    destination=ident,
                    mode=worst.mode if worst else "well",
                    waiting=len(dest.queue) if dest else 0,
                    out=sum(len(endpoint.calls) for endpoint in dest.endpoints.values()) if dest else 0,
                    endpoints=len(dest.endpoints) if dest else 0,
                    pace=round(worst.rate * 1000.0, 3) if worst and worst.rate else None,
                    usual_ms=round(worst.usual, 1) if worst else 0.0,
                    wait_ms=round(max(0.0, worst.pause - self.module.scheduler.now), 1) if worst else 0.0,
                )
            )
        return states

    # The module's turn.

    def tick(self, now):
        """Everything that came in since the last tick is decided; returns when the next one is due."""
        if self.wake and self.wake[0] <= now:
            self.events.append(Woken(self.wake[1]))
            self.wake = None
        if self.events:
            events, self.events = self.events, []
            self._apply_actions(now, self.module.handle(now, events))
            self.unlisted |= dict.fromkeys(self.module.forgotten)
            for number in self.module.faded:
                self.dropped_dests.append(self.dests.ident[number])
                self.dests.forget(self.dests.ident[number])
            if self.module.faded:
                self._forget_unlisted(())
        return self.wake[0] if self.wake else float("inf")

    def _apply_actions(self, now, actions):
        shared = {}
        for action in actions:
            if isinstance(action, Submit):
                self._submit(now, action, shared)
            elif isinstance(action, (Nack, Undeliverable)):
                text = self.texts.pop(action.text, None)
                if text:
                    nack = isinstance(action, Nack)
                    stay_away = action.stay_away if nack else 0.0
                    self.final_answers.append(
                        End(text, "bounced" if nack else "dead", stay_away, why=action.why)
                    )
            elif isinstance(action, Wake):
                self.wake = (now + action.after, action.token)
            elif isinstance(action, Close):
                if action.endpoint in self.places:
                    self.endpoints_to_close.append(self.places[action.endpoint])
            elif isinstance(action, Log):
                self.log_lines.append(action.line)

    def _submit(self, now, action, shared):
        """Submits of one tick to one endpoint travel as one call, as far as the settings allow.

        The first of their time-outs ends the whole call. Guards the one final answer: a text whose time was
        up while its call went on for the others might yet have run, and an endpoint that sees its time up may
        let go of all of them. A text that went again meanwhile would be a second copy, and one behind a text
        of its key out of turn. It may hurt where much shares calls near its end.
        """
        text, place = self.texts.get(action.text), self.places[action.endpoint]
        if text is None:  # withdrawn meanwhile
            self.events.append(Outcome(action.text, action.endpoint, How.NOT_SENT, ended=True))
            return
        bundle = self.partners[min(self.kinds(place.kind), len(self.partners) - 1)].bundle
        call = shared.get(action.endpoint)
        if call is None or len(call.texts) >= bundle:
            call = shared[action.endpoint] = Call(place, [], action.timeout, action.endpoint)
            self.calls.append(call)
        call.texts.append(text)
        call.open.add(text.number)
        call.timeout = min(call.timeout, action.timeout)

    def pause_calls(self, paused):
        """Whether no call can be made from now on; messages wait, and those whose time is up end."""
        self.events.append(CallsPaused(paused))

    def pick(self):
        """The next call to make, or None."""
        return self.calls.popleft() if self.calls else None

    def still(self, call, now):
        """Whether a call that was picked and took its time to connect may begin now."""
        return bool(self.module.still(now, call.endpoint, [text.number for text in call.texts]))

    def back(self):
        """The next text whose submit came back without an end, and whether that may have run; or None."""
        return self.returned_texts.popleft() if self.returned_texts else None

    def ended(self):
        """The next text that came to its end, or None."""
        return self.final_answers.popleft() if self.final_answers else None

    def given_back(self):
        """The next endpoint whose idle connections are of no more use, or None."""
        return self.endpoints_to_close.popleft() if self.endpoints_to_close else None

    def said(self):
        """The next line for on-call staff, or None; destinations under the numbers of the list."""
        return self._with_destination_id(self.log_lines.popleft()) if self.log_lines else None

    def _with_destination_id(self, line):
        def with_id(match):
            number = int(match[1])
            return f"destination {self.dests.ident.get(number, number)}"

        return DESTINATION_NAME.sub(with_id, line, count=1)
