"""One courier at work: store, decisions and wire, joined by a turn after each pass of the loop."""

import json

from loguru import logger

from calicopin.facade import Answer, Far
from calicopin.lifecycle import call_log
from calicopin.send_guard import SendGuard
from calicopin.wire.clients import Kept
from calicopin.wire.endpoints import Flight, go_on, submit
from calicopin.wire.loop import FOREVER, Until

SWEEP = 1000.0
REPORT_INTERVAL_MS = 10000.0
# ms for which a start awaits its first list before it calls anyone by the list that it knows: an agent
# answers at once, but a busy machine may let it wait; so long is enough for two tries of `wire.discovery`
FIRST_LIST_TIMEOUT_MS = 1000.0
AGAIN = 50.0  # after a fault of the disk or of our own
# ms for which a new message waits for a journal that refuses: a fault that is over by then refuses none
HOLD = 4.0 * AGAIN
LAST_WORD = 20.0 + AGAIN  # ms before a message's time is up: its client still hears that it was not taken on


def log_broken_invariant(invariant, what):
    """One line for a broken invariant."""
    logger.error(
        "invariant broken: {invariant}: {what}",
        event="invariant.broken",
        invariant=invariant.value,
        what=what,
    )


class Runtime:
    """One courier: what it holds, what decides and what speaks, with the state that a turn moves on."""

    def __init__(self, loop, facade, journal, lines, connect_timeout, ledger):
        self.loop, self.facade, self.journal, self.lines = loop, facade, journal, lines
        self.connect_timeout, self.notices, self.current = connect_timeout, None, False
        self.subscribed = None  # with discovery nodes: a `lifecycle.subscribed.Subscribed`
        self.list_agent = (
            None  # where it is told: nothing is decided before its first call for the list has ended
        )
        self.list_deadline = None  # until when no call is made, since no list was heard
        self.waiting, self.calls, self.given_up, self.calling, self.refusing = [], [], [], True, False
        self.unacknowledged = set()  # ids of texts that were taken on and whose 202 is not out
        self.flights, self.ledger = {}, ledger
        # turns in a row that ended by a fault, and since when: until one succeeds nothing is taken on
        self.stuck, self.first_failure_at = 0, 0.0
        self.guard = SendGuard(facade.module.fail_back.cold, log_broken_invariant)
        self.restored_state = (
            None  # (texts, routes) of the last process, until the decisions have heard of them
        )
        loop.turn = self.turn

    def await_first_list(self, agent):
        """Guards drains against a start: what came since the last process is told already, and the list that
        is known is old. Nothing is called before the agent's first answer, or `FIRST_LIST_TIMEOUT_MS` ms without one;
        what is taken on meanwhile ends in its time.
        """
        self.list_agent, self.list_deadline = agent, self.loop.now() + FIRST_LIST_TIMEOUT_MS
        self.facade.pause_calls(True)

    def restore(self):
        """Owes each text of the last process its one end; what was given up owes just its notice. What that
        process knew of destinations binds before any of them goes out."""
        journal = self.journal
        for (dest, endpoint), state in journal.routes.states.items():
            self.facade.restore_route(dest, endpoint, state, journal.continuous)
        for dest in journal.interrupted:
            self.facade.interrupted(dest)
        if journal.routes.states or journal.interrupted:
            logger.info(
                "{routes} routes keep what is known, calls to {interrupted} destinations were cut off",
                event="restored.routes",
                routes=len(journal.routes.states),
                interrupted=len(journal.interrupted),
            )
        texts = list(self.journal.texts.values())
        self.restored_state = texts, dict(journal.routes.states)
        for text in texts:
            if text.verdict is not None:
                self.notices.owe(text)
            else:
                self.facade.hand_in(text, restored=True)
        if texts:
            logger.info(
                "{texts} texts restored, {ran} of them may have run",
                event="restored",
                texts=len(texts),
                ran=sum(text.ran_at is not None for text in texts),
            )

    def restore_from_handover(self, taker):
        """Goes on where another process was."""
        for text in taker.read(self.facade, self.journal, self.loop.now()):
            self.notices.owe(text)
        self.current, self.lines.trust = taker.told["current"], taker.told["trust"]
        self.lines.fastest = {(ident, address): best for ident, address, best in taker.told["fastest"]}

    def lost(self, call):
        """A call whose connection did not come over: it may have run."""
        self.facade.report(call, Answer(Far.SENT), 0.0)

    # What clients ask of the acceptor.

    def take(self, text):
        """None where the text is taken on, else the status that refuses it and the milliseconds after
        which to come again (0: none told).
        """
        if self.journal.knows(text.ident):
            call_log.refused(text, 409, "its id is known")
            return 409, 0.0
        if (refusal := self.destination_refusal(text)) is not None:
            call_log.refused(text, refusal[0], "its destination is not listed")
            self.ledger.refused(text, again=refusal[0] == 503)
            return refusal
        if why := self.refusal_reason(text):
            call_log.refused(text, 503, why)
            self.ledger.refused(text, again=True)
            return 503, self.retry_after(text)
        self.journal.taken(text)
        call_log.taken(text, self.loop.now())
        self.facade.hand_in(text)
        self.ledger.taken += 1
        return None

    def destination_refusal(self, text):
        """The status and the wait that refuse a text whose destination is not known; None where it is."""
        if self.subscribed is not None:
            status = self.subscribed.refusal_status(text.dest)
            return status and (status, self.facade.advice(text) if status == 503 else 0.0)
        return None if self.facade.serves(text.dest) else ((404 if self.current else 503), 0.0)

    def refusal_reason(self, text):
        """Why nothing more is taken on, or there is no room for this text; "" where it may be."""
        if self.refusing:
            return "the courier ends"
        if self.stuck:
            return "the journal cannot be written"
        if self.facade.full():
            return "as many messages are held as the settings allow"
        return "" if self.journal.room(len(text.body)) else "the journal is full"

    def first_answer(self, text):
        """What a text has to wait for before it can be taken on or refused: the first answer on its
        destination. None where that is known, and where the text is refused in any case."""
        if self.subscribed is None or self.refusal_reason(text) or self.journal.knows(text.ident):
            return None
        return self.subscribed.first_answer(text.dest)

    def waited(self, event):
        """A text that waited for the event is decided on now, or its client has left."""
        self.subscribed.stop_waiting_for(event)

    def stop_waiting(self):
        """Nothing more is taken on: texts that wait for a first answer are refused."""
        if self.subscribed is not None:
            self.subscribed.stop_waiting()

    def retry_after(self, text):
        """The milliseconds after which a message that is turned away may come again (0: none told)."""
        return max(self.facade.advice(text), HOLD if self.stuck else 0.0)

    def kept(self, text):
        """An event that is set once the message is in the journal, or is refused."""
        event = Kept(self.loop, text)
        self.unacknowledged.add(text.ident)
        self.waiting.append(event)
        return event

    def unanswered(self, request):
        """A client's connection was closed behind a request that was read and not answered."""
        self.guard.unanswered(request)

    def withdraw(self, text):
        """The client is gone before its answer: the text is ended without one."""
        self.unacknowledged.discard(text.ident)
        if text in self.given_up:  # it has ended already, with a notice that nobody waits for
            self.given_up.remove(text)
            self.complete(text)
        self.facade.withdraw(text)

    def answered(self, text):
        """The text's 202 is out: from here on a notice of it means something."""
        self.unacknowledged.discard(text.ident)

    def update_list(self, places, whole):
        """News of discovery's.

        Guards all texts against an agent that has no list yet and says so with an empty one.
        """
        self.current = True
        if whole and not places and self.facade.places and self.subscribed is None:
            logger.warning(
                "an empty list is passed over, {endpoints} endpoints serve on",
                event="discovery.empty",
                endpoints=len(self.facade.places),
            )
            return
        if whole or places:
            former, now_listed = self.facade.listed(places, whole), self.facade.places
            if whole or self.lines.listed is None:
                self.lines.list(now_listed.values())
            else:
                removed = [place for place in former.values() if place is not None]
                self.lines.change(removed, [now_listed[number] for number in former if number in now_listed])

    def released(self, destination):
        """The subscription to a destination was given up."""
        removed = self.facade.release(destination)
        if self.lines.listed is not None:
            self.lines.change(removed, [])

    # The turn.

    def turn(self):
        """Decides on all that a pass brought; a fault in that is logged and the courier serves on."""
        try:
            due = self.decide() if self.list_agent is None or self.list_agent.tried else FOREVER
            self.journal_decisions()
        except Exception as fault:
            return self.handle_failed_turn(fault)
        if self.stuck:
            logger.info("turns go on, {turns} ended by a fault", event="turn.again", turns=self.stuck)
            self.stuck, due = 0, self.loop.now()
            self.facade.pause_calls(self.list_deadline is not None)
        while place := self.facade.given_back():
            self.lines.give_back(place)
        while line := self.facade.said():
            logger.info("{line}", event="decided", line=line)
        waiting, self.waiting = self.waiting, []
        for event in waiting:
            event.set()
        self.queue_notices(lambda text: True)
        calls, self.calls = self.calls, []
        started = [self.start_call(call) for call in calls]
        return due if all(started) else self.loop.now()

    def handle_failed_turn(self, fault):
        """A turn ended by a fault: what was decided in it is not in the journal. Nothing goes out, nothing
        more is taken on, and what nothing could send any more after a restart is told its end in time. When
        the next turn is due."""
        now = self.loop.now()
        if not self.stuck:
            self.first_failure_at = now
            self.facade.pause_calls(True)
        self.stuck += 1
        self.log_failed_turn(fault)
        # guards memories of references, waits and validity periods against calls that the journal held up:
        # each is decided anew. It costs a submit of the text's allowance.
        delayed, self.calls = self.calls, []
        for call in delayed:
            self.facade.report(call, Answer(Far.CALLED_OFF), 0.0)
        self.refuse_unjournalled(now)
        # ends that could not be written are told once the time of their messages is up: nothing sends those
        # after a restart; others wait for the journal: a restart might send them behind their end
        self.queue_notices(lambda text: now >= text.until)
        return now + AGAIN

    def log_failed_turn(self, fault):
        """Guards the log against a disk that refuses for long."""
        if isinstance(fault, OSError):
            self.loop.faults.tell_refusal(
                "journal.refused",
                "the journal cannot be written, {turns} turns in a row",
                fault,
                turns=self.stuck,
            )
        else:
            self.loop.faults.tell(
                "turn.fault", "a turn ended by a fault, {turns} in a row", fault, turns=self.stuck
            )

    def refuse_unjournalled(self, now):
        """Messages that wait to be written are refused: at once where the journal surely does not hold them
        after a kill, else only when their time is nearly up, since a restart might still send them."""
        window_passed = now >= self.first_failure_at + HOLD and not self.journal.torn
        waiting, self.waiting = self.waiting, []
        for event in waiting:
            if window_passed or now >= event.text.until - LAST_WORD:
                self.withdraw(event.text)
                event.refuse(self.retry_after(event.text))
            else:
                self.waiting.append(event)

    def queue_notices(self, is_due):
        """Owes the notices of texts that were given up, as far as they are `due` and their 202 is out: before
        it a notice would count for nothing.
        """
        given_up, self.given_up = self.given_up, []
        for text in given_up:
            if is_due(text) and text.ident not in self.unacknowledged:
                self.notices.owe(text)
            else:
                self.given_up.append(text)

    def decide(self):
        """The decisions on all that came in; when the next ones are due."""
        now = self.loop.now()
        if self.list_deadline is not None and (self.list_agent.answered or now >= self.list_deadline):
            self.list_deadline = None
            self.facade.pause_calls(bool(self.stuck))
        due = self.facade.tick(now)
        if self.list_deadline is not None:
            due = min(due, self.list_deadline)
        if self.restored_state is not None:
            self.guard.started(self.facade.unknown(*self.restored_state, now))
            self.restored_state = None
        for name in self.facade.overran():
            self.guard.overran(name)
        return due

    @property
    def out(self):
        """How many calls are out."""
        return len(self.flights)

    def start_call(self, call):
        """Sends a call, as far as the guard lets it go; its time-out counts from now, but no call is out
        beyond the time of its first text, however long the turn took. Whether it was sent.
        """
        now, kept = self.loop.now(), self.journal.routes.of(call.place)
        if not self.guard.may_call(call, self.facade.endpoint_of(call), kept, now):
            self.facade.report(call, Answer(Far.CALLED_OFF), 0.0)
            return False
        call_log.call_sent(call)
        flight = Flight(call, min(now + call.timeout, call.valid_until))
        self.spawn_call(
            flight,
            lambda on_written, report: submit(
                self.loop, self.lines, flight, self.connect_timeout, self.facade.still, on_written, report
            ),
        )
        return True

    def go_on(self, flight, line, received):
        """A call that another process began."""
        self.spawn_call(
            flight, lambda on_written, report: go_on(self.loop, self.lines, flight, line, received, report)
        )

    def spawn_call(self, flight, exchange):
        """Runs a call's talk with its endpoint as a coroutine, to its outcome."""
        self.flights[flight] = True
        flight.task = self.loop.spawn(self.run_call(flight, exchange))

    def journal_decisions(self):
        """What was decided goes out only once the journal holds it."""
        facade, journal, now = self.facade, self.journal, self.loop.now()
        while back := facade.back():
            journal.back(*back)
        while self.calling and (call := facade.pick()):
            for text in call.texts:
                journal.sent(text, now, call.place.zone)
            self.calls.append(call)
        while end := facade.ended():
            self.ledger.ended(end)
            if end.verdict is None:
                call_log.ended(end, now)
                self.complete(end.text)
            else:
                call_log.given_up(end)
                journal.given_up(end.text, end.verdict, end.wait)
                self.given_up.append(end.text)
        for dropped in facade.dropped_destinations():
            for key in journal.routes.keys_of(dropped):
                journal.route(*key, None)
        for dest, endpoint, state in facade.changed_routes():
            before = journal.routes.states.get((dest, endpoint))
            if self.guard.may_change(f"destination {dest}", before, state, now):
                journal.route(dest, endpoint, state)
        journal.flush()

    def run_call(self, flight, exchange):
        """One call; whatever happens in it, its texts get an outcome."""
        call, started = flight.call, flight.began or self.loop.now()
        answer = Answer(Far.SENT)  # a fault leaves open how far it came
        collected = False

        def on_written():
            self.ledger.forwards += len(call.texts)

        def report(result):
            elapsed = self.loop.now() - started
            if not call.told:
                call_log.call_failed(call, result, elapsed)
            self.facade.report(call, result, elapsed)

        try:
            answer = yield from exchange(on_written, report)
        except GeneratorExit:
            # called off, with what is known of it; or collected with its loop, at any moment of other work
            answer, collected = Answer(flight.far), not flight.task.over
            raise
        except Exception as fault:
            self.loop.faults.tell(
                "call.fault", "a call to {endpoint} ended by a fault", fault, endpoint=call.place.ident
            )
        finally:
            del self.flights[flight]
            if not flight.given and not collected:
                report(answer)
                self.guard.call_ended(call)

    def statistics(self):
        """What `GET /admin/stats` answers: the ledger, what is taken and not ended, and the list."""
        return self.ledger.told() | dict(
            outstanding=len(self.facade.texts),
            discovered=len(self.facade.places),
            ejected=self.facade.avoided(),
        )

    def status(self):
        """What `GET /-/status` answers: the figures, what is held, and every destination."""
        ledger = self.ledger
        return json.dumps(
            self.statistics()
            | dict(
                taken=ledger.taken,
                turned_away=ledger.turned_away,
                given_up=ledger.noticed,
                held=len(self.facade.texts),
                calls_out=self.out,
                notices_owed=len(self.notices.owed),
                journal_bytes=self.journal.size,
                journal_stuck=self.stuck,
                idle_connections=self.lines.count,
                destinations=self.facade.state(),
                invariants_broken=self.guard.told(),
            )
            | (dict(subscription=self.subscribed.status()) if self.subscribed else {})
        ).encode()

    def told(self, text):
        """The platform has heard a notice."""
        self.ledger.noticed += 1
        self.complete(text)

    def complete(self, text):
        """Nothing is owed for the text any more."""
        self.journal.over(text, self.loop.now())

    def run_housekeeping(self):
        """Closes idle connections in time and says how late the loop ran."""
        report_at = self.loop.now() + REPORT_INTERVAL_MS
        while True:
            yield Until(self.loop.now() + SWEEP)
            self.lines.sweep(self.loop.now())
            if self.loop.now() >= report_at:
                message = (
                    "loop at most {late_ms:.1f} ms late; {taken} taken, {turned_away} turned away, "
                    "{given_up} given up, "
                    "{held} held, {out} out"
                )
                ledger = self.ledger
                logger.info(
                    message,
                    event="figures",
                    late_ms=self.loop.lateness,
                    taken=ledger.taken,
                    turned_away=ledger.turned_away,
                    given_up=ledger.noticed,
                    held=len(self.facade.texts),
                    out=self.out,
                )
                self.loop.lateness, report_at = 0.0, self.loop.now() + REPORT_INTERVAL_MS
