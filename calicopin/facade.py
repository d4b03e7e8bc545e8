"""Method-call interface to the decisions: texts and results of calls go in, calls and final answers come out.

`Facade` translates between methods and the events and actions of `decisions.Courier`, and between the
caller's ids and the small integers that the decisions use. It takes no decisions itself.
"""

import re
from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum

from calicopin import deployment_settings, route_state
from calicopin.decisions import NEVER_RAN
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

DESTINATION_NAME = re.compile(r"^destination (\d+)")  # how the decisions name a destination in log lines


class CallProgress(IntEnum):
    """The stage that a submit had reached when it ended."""

    CALLED_OFF = 0  # cancelled before anything was sent
    UNCONNECTED = 1  # the connection could not be established
    UNSENT = 2  # the last byte of the request was not written
    SENT = 3  # the request was written, no complete answer was read
    ANSWERED = 4


@dataclass(slots=True)
class CallResult:
    """The result of one call.

    `timed_out` marks a time-out; `wait` is the wait in ms that the answer asked for; `no_slot` is set where a
    header says that the endpoint had no free slot; `load` holds the reported load by column; `text_states`
    holds the state of each text by id, from the body of a bulk answer (None for a single text).
    """

    progress: CallProgress
    timed_out: bool = False
    # closed before the call: not the endpoint's failure, but the submit may have run
    stale_connection: bool = False
    status: int = 0
    wait: float = 0.0
    no_slot: bool = False
    load: dict = field(default_factory=dict)
    text_states: dict | None = None


@dataclass(slots=True)
class Place:
    """One endpoint of the server list; a handover sends it by `asdict`."""

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
    """One call to make, with the texts that it carries; `timeout` is in ms."""

    place: Place
    texts: list
    timeout: float
    endpoint: int = -1
    told: bool = False  # whether an outcome was reported
    waited: float = 0.0  # the longest wait reported so far, in ms
    open: set = field(default_factory=set)  # numbers of the texts without a reported outcome

    @property
    def valid_until(self) -> float:
        """When the validity period of the first of its texts ends, in ms of the loop's clock."""
        return min(text.until for text in self.texts)


@dataclass(slots=True)
class FinalAnswer:
    """The final answer of a text, given once.

    `verdict` is the result that the notice names, None where no notice is owed; `wait` is the time in ms
    after which the client may send the text again; `why` is for the log.
    """

    text: object
    verdict: str | None
    wait: float = 0.0
    delivered: bool = False
    why: str = ""


OUTCOMES_BY_STATUS = {
    200: How.DELIVERED,
    429: How.FULL,
    503: How.FULL,
    504: How.NOT_SENT,
    410: How.NOT_SENT,
    400: How.NOT_SENT,
    413: How.NOT_SENT,
}  # after any other status the submit may have run
OUTCOMES_BY_TEXT_STATE = {
    "delivered": How.DELIVERED,
    "failed": How.ERROR,
    "refused": How.FULL,
    "over": How.NOT_SENT,
    "spent": How.NOT_SENT,
}


def outcome_of(answer, ident):
    """Returns the outcome of the text `ident` and whether its processing ends with it."""
    if answer.progress == CallProgress.CALLED_OFF:
        return How.NOT_SENT, False
    if answer.progress <= CallProgress.UNSENT:
        return How.UNREACHED, False
    if answer.progress == CallProgress.SENT:
        return (
            How.CALLED_OFF if answer.stale_connection else How.TIMEOUT if answer.timed_out else How.BROKEN
        ), False
    if answer.text_states is not None:
        state = str(answer.text_states.get(ident))
        return OUTCOMES_BY_TEXT_STATE.get(state, How.ERROR), state in ("delivered", "over")
    if answer.status == 503 and answer.no_slot:
        return How.NOT_SENT, False
    return OUTCOMES_BY_STATUS.get(answer.status, How.ERROR), answer.status in (200, 410)


class Facade:
    """Method-call interface to one `decisions.Courier`. Times are ms of the loop's clock.

    The caller passes in texts, list updates and results of calls, calls `tick`, and then drains the queues:
    `pick`, `back`, `ended`, `given_back` and `said`.
    """

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
        self.decisions = deployment_settings.courier(
            seed, settings, slots=slots, requests_list=False, **restart
        )
        self.max_texts = settings["ceilings"]["mostHeld"]
        self.waiting_for_list = 0  # requests that wait for the first list of their destination
        self.texts, self.places, self.events = {}, {}, []
        self.places_of = {}  # numbers of the listed endpoints, by destination id
        self.known_places = {}  # the last place by number of endpoint, also of those that have left the list
        self.dropped_dests = []  # forgotten destinations not yet returned by dropped_destinations
        self.unlisted = {}  # numbers of endpoints that may be unused by now
        self.calls, self.returned_texts, self.final_answers, self.log_lines, self.endpoints_to_close = (
            deque(),
            deque(),
            deque(),
            deque(),
            deque(),
        )
        self.faults = deque()  # exceptions in the decisions not yet returned by `next_fault`
        self.next_number, self.wake = 0, None
        self.tick(now)

    # Input.

    def full(self):
        """Whether the limit on texts from the settings is reached."""
        return len(self.texts) + self.waiting_for_list >= self.max_texts

    def retry_after(self, text):
        """The ms after which a text that is turned away may be sent again; 0: no advice."""
        if text.dest not in self.dests.index:  # creates no state for an unknown destination
            return self.decisions.registry.max_retry_after
        return self.decisions.retry_after(self.dests(text.dest))

    def add_text(self, text, restored=False):
        """Adds a new text, or one restored after a restart."""
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
                reference=text.reference,
            )
        )

    def restore_route(self, dest, endpoint, state, continuous):
        """Restores what the previous process knew of a route (`endpoint` None: of the whole destination).

        `continuous` says whether the monotonic clock has kept running since, that is, without a reboot.
        """
        number = None if endpoint is None else self.endpoints(endpoint)
        self.events.append(RouteState(self.dests(dest), number, state, continuous))

    def interrupted(self, dest):
        """Notes that a call to the destination was in progress when the previous process ended."""
        self.events.append(Interrupted(self.dests(dest)))

    def dropped_destinations(self):
        """Returns the destinations that were forgotten since the last call of this method."""
        dropped, self.dropped_dests = self.dropped_dests, []
        return dropped

    def changed_routes(self):
        """Yields (destination, endpoint or None, state or None) of each route whose persisted state changed.

        A state of None means that nothing has to be persisted any more.
        """
        changed, self.decisions.scheduler.changed_routes = self.decisions.scheduler.changed_routes, {}
        for route in changed:
            dest, endpoint = route.key
            if dest in self.dests.ident and (endpoint is None or endpoint in self.endpoints.ident):
                state = route_state.values(route) if route.has_stored_state else None
                yield (
                    self.dests.ident[dest],
                    (None if endpoint is None else self.endpoints.ident[endpoint]),
                    state,
                )

    def over_budget(self):
        """Names of the routes that exceeded their slow-start limit since the last call of this method."""
        names, self.decisions.scheduler.over_budget = self.decisions.scheduler.over_budget, []
        return [self._with_destination_id(name) for name in names]

    def endpoint_of(self, call):
        """The decisions' record of the endpoint of a call, or None."""
        return self.decisions.endpoints.get(call.endpoint)

    def not_restored(self, texts, routes, now):
        """Names of what a restart should have restored but the decisions do not know.

        These are texts that are held, and routes, by (destination, endpoint), whose outage or slow start has
        not ended at `now`.
        """
        known_texts, names = self.decisions.registry.texts, []
        for text in texts:
            if text.number in self.texts and text.number not in known_texts:
                names.append(text.ident)
        for (dest, endpoint), state in routes.items():
            known_dest = self.decisions.dests.get(self.dests.index.get(dest))
            number = None if endpoint is None else self.endpoints.index.get(endpoint)
            route = known_dest and known_dest.routes.get(number)
            restricted = state["mode"] == OUT or (state["mode"] == COLD and now < state["warm_at"])
            if restricted and (route is None or route.mode == WELL):
                names.append(f"destination {dest}" + (f" endpoint {endpoint}" if endpoint else ""))
        return names

    def withdraw(self, text):
        """Drops a text whose client has left; no answer is owed for it."""
        if self.texts.pop(text.number, None):
            self.events.append(Withdrawn(text.number))
            self.final_answers.append(FinalAnswer(text, None, why="its client has left"))

    def nack_waiting_texts(self):
        """Nacks every waiting text that is safe to send elsewhere; used by a drain."""
        self.events.append(Emptied())

    def knows_destination(self, dest):
        """Whether the destination is known."""
        return dest in self.dests.index

    def update_list(self, places, whole):
        """Applies an update of the server list; `whole` replaces the list.

        Endpoints that left are forgotten once the decisions no longer use them. Returns, by the number of
        each endpoint in the update, its former place or None.
        """
        entries, before, former = [], self.places, {}
        if whole:
            self.places, self.places_of = {}, {}
        for place in places:
            number = self.endpoints(place.ident)
            former.setdefault(number, self._remove_place(number))
            last_place = self.known_places.get(number, place)
            if last_place.dest != place.dest:  # another endpoint under the same id
                entries.append(self._departure(number, last_place))
                number = self.endpoints.renumber(place.ident)
                former.setdefault(number, None)
            self.known_places[number] = place
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

    def _departure(self, number, place):
        """The entry by which an endpoint leaves its place in the list."""
        self.unlisted[number] = None
        destination, kind, zone = self.dests(place.dest), self.kinds(place.kind), self.zones(place.zone)
        return Entry(number, destination, kind, zone, ready=False)

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
        """Forgets endpoints that are not listed, were not in the list `before`, and that the decisions do not
        use."""
        for number in list(self.unlisted):
            if number not in self.places and number in before:
                continue  # checked again with the next update
            del self.unlisted[number]
            in_use = number in self.places or number in self.decisions.endpoints
            if not in_use and number in self.endpoints.ident:
                self.endpoints.forget(number)
                self.known_places.pop(number, None)

    def release(self, dest):
        """Stops using a destination; its state is forgotten once the decisions no longer use it.

        Returns its endpoints as they were listed.
        """
        numbers = list(self.places_of.get(dest, ()))
        self.unlisted |= dict.fromkeys(numbers)
        if dest in self.dests.index:
            self.events.append(Released(self.dests(dest)))
        return [self._remove_place(number) for number in numbers]

    def in_use(self, dest):
        """Whether a text for the destination is queued, in a call, or added since the last tick."""
        number = self.dests.index.get(dest)
        known = self.decisions.dests.get(number)
        return (known is not None and bool(known.queue or known.slots_in_use)) or any(
            isinstance(event, Taken) and event.dest == number for event in self.events
        )

    def destinations(self):
        """All known destinations."""
        return list(self.dests.index)

    def report(self, call, answer, elapsed):
        """Processes the result of a call after `elapsed` ms; skips texts that already have an outcome."""
        load = {column: answer.load.get(column) for column in self.load_columns}
        for text in call.texts:
            if text.number in call.open:
                outcome, ended = outcome_of(answer, text.ident)
                self._outcome(call, text, outcome, elapsed, ended, answer.wait, load)
        if answer.wait > call.waited:
            # the status line gave the outcome before; the wait came later, with the headers
            if not call.open and call.told:
                self.decisions.apply_wait(call.endpoint, answer.wait)
            call.waited = answer.wait
        call.told = True

    def _outcome(self, call, text, outcome, elapsed, ended, wait=0.0, load=None):
        call.open.discard(text.number)
        load = load or {}
        self.events.append(
            Outcome(text.number, call.endpoint, outcome, wait, elapsed, ended, load.get("x0"), load.get("x1"))
        )
        if not ended:
            self.returned_texts.append((text, outcome not in NEVER_RAN))
        elif self.texts.pop(text.number, None):
            delivered = outcome == How.DELIVERED
            why = f"delivered to {call.place.ident}" if delivered else f"ended by {call.place.ident}"
            self.final_answers.append(FinalAnswer(text, None, delivered=delivered, why=why))

    def count_endpoints_in_outage(self):
        """The number of listed endpoints in an outage; these get next to no calls."""
        known = self.decisions.endpoints
        return sum(number in known and known[number].route.mode == "out" for number in self.places)

    def state(self):
        """The state of each known destination, for on-call staff.

        `pace` is in calls per second, times are in milliseconds.
        """
        states = []
        for ident, number in self.dests.index.items():
            dest = self.decisions.dests.get(number)
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
                    usual_ms=round(worst.usual_latency, 1) if worst else 0.0,
                    wait_ms=round(max(0.0, worst.blocked_until - self.decisions.scheduler.now), 1)
                    if worst
                    else 0.0,
                )
            )
        return states

    # Processing and output.

    def tick(self, now):
        """Processes all input since the last tick; returns when the next tick is due (inf: no timer)."""
        if self.wake and self.wake[0] <= now:
            self.events.append(Woken(self.wake[1]))
            self.wake = None
        if self.events:
            events, self.events = self.events, []
            self._apply_actions(now, self.decisions.handle(now, events))
            if self.decisions.faults:
                self.faults.extend(self.decisions.faults)
                self._end_unknown_texts()
            self.unlisted |= dict.fromkeys(self.decisions.forgotten_endpoints)
            for number in self.decisions.forgotten_destinations:
                self.dropped_dests.append(self.dests.ident[number])
                self.dests.forget(number)
            if self.decisions.forgotten_destinations:
                self._forget_unlisted(())
        return self.wake[0] if self.wake else float("inf")

    def _end_unknown_texts(self):
        """Ends the texts that the decisions do not hold: an exception came while they were handed in."""
        known = self.decisions.registry.texts
        for number in [number for number in self.texts if number not in known]:
            text = self.texts.pop(number)
            verdict = "bounced" if text.first_run() == (None, None) else "dead"
            self.final_answers.append(FinalAnswer(text, verdict, why="a fault of the courier"))

    def _apply_actions(self, now, actions):
        """Applies the actions of a batch; an exception in one is noted and does not hold up the others."""
        shared = {}
        for action in actions:
            try:
                self._apply_action(now, action, shared)
            except Exception as fault:
                self.faults.append(fault)
                if isinstance(action, Submit):  # no call was made for it: the decisions choose again
                    self.events.append(Outcome(action.text, action.endpoint, How.NOT_SENT))

    def _apply_action(self, now, action, shared):
        if isinstance(action, Submit):
            self._submit(now, action, shared)
        elif isinstance(action, (Nack, Undeliverable)):
            self._give_up(action)
        elif isinstance(action, Wake):
            self.wake = (now + action.after, action.token)
        elif isinstance(action, Close):
            if action.endpoint in self.places:
                self.endpoints_to_close.append(self.places[action.endpoint])
        elif isinstance(action, Log):
            self.log_lines.append(action.line)

    def _give_up(self, action):
        """Adds the final answer of a text that the decisions give up."""
        text = self.texts.pop(action.text, None)
        if text is None:
            return
        nack = isinstance(action, Nack)
        stay_away = action.stay_away if nack else 0.0
        self.final_answers.append(FinalAnswer(text, "bounced" if nack else "dead", stay_away, why=action.why))

    def _submit(self, now, action, shared):
        """Adds a submit to a call; submits of one tick to one endpoint share a call, up to the bundle size.

        The earliest time-out among the texts ends the whole call, so that each text gets one final answer. If
        the call went on for the others, a text whose time is up might still run, and an endpoint that sees
        it expired may drop all of them; a resent text would then be a second copy, and a text behind it with
        the same key would be sent out of order. The cost: the text closest to expiry shortens the call for
        all of them.
        """
        text, place = self.texts.get(action.text), self.places[action.endpoint]
        if text is None:  # withdrawn in the meantime
            self.events.append(Outcome(action.text, action.endpoint, How.NOT_SENT, ended=True))
            return
        bundle = self.partners[min(self.kinds(place.kind), len(self.partners) - 1)].max_bundle
        call = shared.get(action.endpoint)
        if call is None or len(call.texts) >= bundle:
            call = shared[action.endpoint] = Call(place, [], action.timeout, action.endpoint)
            self.calls.append(call)
        call.texts.append(text)
        call.open.add(text.number)
        call.timeout = min(call.timeout, action.timeout)

    def pause_calls(self, paused):
        """Stops or resumes all calls; while stopped, texts wait in their queues and still expire."""
        self.events.append(CallsPaused(paused))

    def next_call(self):
        """Returns the next call to make, or None."""
        return self.calls.popleft() if self.calls else None

    def may_still_send(self, call, now):
        """Whether a picked call may still be sent, once its connection is established: the decisions allow
        it, and its endpoint has not moved meanwhile, since another may have come up at its former address.
        """
        place = self.places.get(call.endpoint)
        return (
            place is not None
            and place.address == call.place.address
            and bool(self.decisions.may_begin(now, call.endpoint, [text.number for text in call.texts]))
        )

    def next_returned_text(self):
        """Returns the next text whose submit ended without a final answer, or None.

        The result is (text, whether that submit may have run).
        """
        return self.returned_texts.popleft() if self.returned_texts else None

    def next_final_answer(self):
        """Returns the next final answer, or None."""
        return self.final_answers.popleft() if self.final_answers else None

    def next_endpoint_to_close(self):
        """Returns the next endpoint whose idle connections should be closed, or None."""
        return self.endpoints_to_close.popleft() if self.endpoints_to_close else None

    def next_fault(self):
        """Returns the next exception in the decisions, or None."""
        return self.faults.popleft() if self.faults else None

    def next_log_line(self):
        """Returns the next log line for on-call staff, or None; destinations appear by their listed id."""
        return self._with_destination_id(self.log_lines.popleft()) if self.log_lines else None

    def _with_destination_id(self, line):
        def with_id(match):
            number = int(match[1])
            return f"destination {self.dests.ident.get(number, number)}"

        return DESTINATION_NAME.sub(with_id, line, count=1)
