"""One running courier: connects the journal, the decisions and the network by a turn after each pass of the
event loop. Times are milliseconds of the loop's clock.
"""

import json

from loguru import logger

from calicopin.facade import CallProgress, CallResult
from calicopin.lifecycle import call_log
from calicopin.memory_budget import MemoryBudget
from calicopin.send_guard import SendGuard
from calicopin.wire.clients import JournalledEvent
from calicopin.wire.endpoints import OutstandingCall, resume_call, submit
from calicopin.wire.loop import FOREVER, Until

SWEEP_INTERVAL_MS = 1000.0  # ms between two passes over idle connections
REPORT_INTERVAL_MS = 10000.0
LONG_STEP_MS = 50.0  # of one coroutine: other clients wait meanwhile
# A start waits this long for its first list before it makes calls by the list in its configuration. An agent
# answers at once, but may be late on a busy machine; this leaves time for two requests of `wire.discovery`.
FIRST_LIST_TIMEOUT_MS = 1000.0
TURN_RETRY_DELAY_MS = 50.0  # ms until a turn that failed is repeated
# ms that a new message waits for a journal that cannot be written; a shorter disk fault refuses no message
JOURNAL_RETRY_WINDOW_MS = 4.0 * TURN_RETRY_DELAY_MS
# ms before the end of a message's validity, the time that it takes to answer its client with a refusal
REFUSAL_LEAD_MS = 20.0 + TURN_RETRY_DELAY_MS


def log_broken_invariant(invariant, what):
    """Logs a broken invariant."""
    logger.error(
        "invariant broken: {invariant}: {what}",
        event="invariant.broken",
        invariant=invariant.value,
        what=what,
    )


class Runtime:
    """One courier: its journal, decisions and connections, and the state that each turn updates.

    It is the acceptor of `wire.clients.Clients` and takes the list from discovery.
    """

    def __init__(self, loop, facade, journal, pool, connect_timeout, counters):
        self.loop, self.facade, self.journal, self.pool = loop, facade, journal, pool
        self.connect_timeout, self.notices, self.list_received = connect_timeout, None, False
        self.subscription = None  # with discovery nodes: a `CourierSubscription`
        self.list_agent = None  # if set, no decision is made before its first request for the list has ended
        self.list_deadline = None  # no call is made before this time or the first list
        self.unjournalled, self.calls, self.pending_notices, self.calls_enabled, self.refuses_messages = (
            [],
            [],
            [],
            True,
            False,
        )
        self.unacknowledged = set()  # ids of accepted texts whose 202 is not sent yet
        self.outstanding_calls, self.counters = {}, counters
        # consecutive failed turns and the time of the first; no message is accepted until a turn succeeds
        self.failed_turns, self.first_failure_at = 0, 0.0
        self.guard = SendGuard(facade.decisions.fail_back.cold, log_broken_invariant)
        self.memory_budget = MemoryBudget()
        self.receive_buffers = None  # the `ReceiveBuffers` of the clients
        self.restored_state = None  # (texts, routes) of the last process, for the check after the first tick
        loop.turn = self.turn

    def await_first_list(self, agent):
        """Makes no call before the agent's first answer, or for `FIRST_LIST_TIMEOUT_MS` without one.

        The list in the configuration is old: an endpoint may have been announced as leaving since it was
        written. Messages accepted meanwhile keep their validity period.
        """
        self.list_agent, self.list_deadline = agent, self.loop.now() + FIRST_LIST_TIMEOUT_MS
        self.facade.pause_calls(True)

    def restore(self):
        """Takes over the journal of the last process: texts without an end are handed to the decisions, texts
        that were given up only need their notice. The state of routes is restored before any text is sent.
        """
        journal = self.journal
        for (dest, endpoint), state in journal.routes.states.items():
            self.facade.restore_route(dest, endpoint, state, journal.continuous)
        for dest in journal.interrupted:
            self.facade.interrupted(dest)
        if journal.routes.states or journal.interrupted:
            logger.info(
                "state of {routes} routes restored, calls to {interrupted} destinations were interrupted",
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
                self.facade.add_text(text, restored=True)
        if texts:
            logger.info(
                "{texts} texts restored, {ran} of them may have run",
                event="restored",
                texts=len(texts),
                ran=sum(text.ran_at is not None for text in texts),
            )

    def restore_from_handover(self, receiver):
        """Takes over the state that another process handed over."""
        for text in receiver.restore(self.facade, self.journal, self.loop.now()):
            self.notices.owe(text)
        self.list_received, self.pool.trusted_idle_ms = (
            receiver.snapshot["current"],
            receiver.snapshot["trust"],
        )
        self.pool.fastest_answer_ms = {
            (ident, address): best for ident, address, best in receiver.snapshot["fastest"]
        }

    def connection_lost(self, call):
        """A call whose connection was not handed over; the endpoint may have processed it."""
        self.facade.report(call, CallResult(CallProgress.SENT), 0.0)

    # Interface of the acceptor, called by `wire.clients`.

    def accept(self, text):
        """Accepts a text and returns None, or returns the HTTP status that refuses it and the milliseconds
        after which the client may retry (0: no advice).
        """
        if self.journal.knows(text.ident):
            call_log.log_refused(text, 409, "a message with this id is known")
            return 409, 0.0
        if (refusal := self.destination_refusal(text)) is not None:
            call_log.log_refused(text, refusal[0], "its destination is not listed")
            self.counters.refused(text, again=refusal[0] == 503)
            return refusal
        if why := self.refusal_reason(text):
            call_log.log_refused(text, 503, why)
            self.counters.refused(text, again=True)
            return 503, self.retry_after(text)
        now = self.loop.now()
        if self.journal.keys.apply_to(text, now):
            call_log.log_repeated(text, now)
        self.journal.accepted(text)
        call_log.log_accepted(text, now)
        self.facade.add_text(text)
        self.counters.taken += 1
        return None

    def destination_refusal(self, text):
        """The status and the retry delay (ms) for a text with an unknown destination; None if it is known."""
        if self.subscription is not None:
            status = self.subscription.refusal_status(text.dest)
            return status and (status, self.facade.retry_after(text) if status == 503 else 0.0)
        return (
            None if self.facade.knows_destination(text.dest) else ((404 if self.list_received else 503), 0.0)
        )

    def refusal_reason(self, text):
        """The reason why no message, or not this one, can be accepted; "" if it can."""
        if self.refuses_messages:
            return "the courier is stopping or drained"
        if self.failed_turns:
            return "the journal cannot be written"
        if self.facade.full():
            return "the limit of held messages is reached"
        if self.memory_budget.is_history_full(self.history_bytes()):
            return "the ids of recent messages fill their share of the memory"
        return "" if self.journal.room(len(text.body)) else "the journal is full"

    def first_answer(self, text):
        """The event that a text has to wait for before it can be accepted or refused: the first answer on its
        destination. None if the destination is known or the text is refused anyway.
        """
        if self.subscription is None or self.refusal_reason(text) or self.journal.knows(text.ident):
            return None
        return self.subscription.first_answer(text.dest)

    def stop_waiting_for(self, event):
        """A text no longer waits for the event: it is decided on now, or its client has disconnected."""
        self.subscription.stop_waiting_for(event)

    def stop_waiting(self):
        """Refuses all texts that wait for the first answer on their destination."""
        if self.subscription is not None:
            self.subscription.stop_waiting()

    def retry_after(self, text):
        """The milliseconds after which the client of a refused message may retry (0: no advice)."""
        return max(self.facade.retry_after(text), JOURNAL_RETRY_WINDOW_MS if self.failed_turns else 0.0)

    def journalled_event(self, text):
        """An event that is set once the message is in the journal or is refused."""
        event = JournalledEvent(self.loop, text)
        self.unacknowledged.add(text.ident)
        self.unjournalled.append(event)
        return event

    def request_delay(self):
        """How long (ms) each connection of a client waits before its next request is read."""
        return self.memory_budget.request_delay(self.history_bytes())

    def history_bytes(self):
        """The memory that the ids and keys of recent messages take."""
        used = self.journal.history_bytes()
        if self.memory_budget.request_delay(used):  # it matters, and some may have expired since the last end
            self.journal.forget_expired()
            used = self.journal.history_bytes()
        return used

    def unanswered(self, request):
        """A client's connection was closed after a request that was read but not answered."""
        self.guard.unanswered(request)

    def withdraw(self, text):
        """Ends a text whose client disconnected before it got the answer."""
        self.unacknowledged.discard(text.ident)
        if text in self.pending_notices:  # it has already ended, and nobody waits for its notice
            self.pending_notices.remove(text)
            self.complete(text)
        self.facade.withdraw(text)

    def acknowledged(self, text):
        """The text's 202 is sent: from now on its notice may be sent too."""
        self.unacknowledged.discard(text.ident)

    def update_list(self, places, whole):
        """Applies an update of the list, or a whole list if `whole`.

        An empty whole list is ignored: an agent that has no list yet answers with an empty one.
        """
        self.list_received = True
        if whole and not places and self.facade.places and self.subscription is None:
            logger.warning(
                "empty list ignored, {endpoints} endpoints stay in use",
                event="discovery.empty",
                endpoints=len(self.facade.places),
            )
            return
        if whole or places:
            former, now_listed = self.facade.update_list(places, whole), self.facade.places
            if whole or self.pool.listed is None:
                self.pool.set_listed(now_listed.values())
            else:
                removed = [place for place in former.values() if place is not None]
                self.pool.update_listed(
                    removed, [now_listed[number] for number in former if number in now_listed]
                )

    def released(self, destination):
        """The subscription to a destination has ended."""
        removed = self.facade.release(destination)
        if self.pool.listed is not None:
            self.pool.update_listed(removed, [])
        self.pool.reuse.forget(destination)

    # The turn.

    def turn(self):
        """Processes everything that a pass of the loop brought in and returns when the next turn is due. An
        exception is logged, and the turn is repeated.
        """
        try:
            due = self.decide() if self.list_agent is None or self.list_agent.tried else FOREVER
            self.journal_decisions()
        except Exception as fault:
            return self.handle_failed_turn(fault)
        if self.failed_turns:
            logger.info(
                "turns succeed again after {turns} failures", event="turn.again", turns=self.failed_turns
            )
            self.failed_turns, due = 0, self.loop.now()
            self.facade.pause_calls(self.list_deadline is not None)
        while place := self.facade.next_endpoint_to_close():
            self.pool.close_idle(place)
        while line := self.facade.next_log_line():
            logger.info("{line}", event="decided", line=line)
        unjournalled, self.unjournalled = self.unjournalled, []
        for event in unjournalled:
            event.set()
        self.queue_notices(lambda text: True)
        calls, self.calls = self.calls, []
        started = [self.start_call(call) for call in calls]
        return due if all(started) else self.loop.now()

    def handle_failed_turn(self, fault):
        """Handles a failed turn, whose decisions are not in the journal; returns when the next turn is due.

        Nothing is sent and no message is accepted. Notices are sent only for messages whose validity has
        ended, because no restart could send those.
        """
        now = self.loop.now()
        if not self.failed_turns:
            self.first_failure_at = now
            self.facade.pause_calls(True)
        self.failed_turns += 1
        self.log_failed_turn(fault)
        # Calls delayed by the journal are decided again: a destination's memory of a reference, a wait or a
        # validity period may have ended meanwhile. Each text has used up one of its submits.
        delayed, self.calls = self.calls, []
        for call in delayed:
            self.facade.report(call, CallResult(CallProgress.CALLED_OFF), 0.0)
        self.refuse_unjournalled(now)
        # An end that is not in the journal is reported only once the message's validity has ended: before, a
        # restart might still send the message.
        self.queue_notices(lambda text: now >= text.until)
        return now + TURN_RETRY_DELAY_MS

    def log_failed_turn(self, fault):
        """Logs a failed turn, at a limited rate so that a long disk fault does not fill the log."""
        if isinstance(fault, OSError):
            self.loop.faults.log_system_error(
                "journal.refused",
                "the journal cannot be written, {turns} turns in a row",
                fault,
                turns=self.failed_turns,
            )
        else:
            self.loop.faults.log_exception(
                "turn.fault", "turn failed, {turns} in a row", fault, turns=self.failed_turns
            )

    def refuse_unjournalled(self, now):
        """Refuses messages that wait to be journalled once `JOURNAL_RETRY_WINDOW_MS` have passed. If part of
        a record may be in the file, each is refused only shortly before its validity ends: a restart might
        still send it.
        """
        window_passed = (
            now >= self.first_failure_at + JOURNAL_RETRY_WINDOW_MS and not self.journal.may_hold_unflushed
        )
        unjournalled, self.unjournalled = self.unjournalled, []
        for event in unjournalled:
            if window_passed or now >= event.text.until - REFUSAL_LEAD_MS:
                self.withdraw(event.text)
                event.refuse(self.retry_after(event.text))
            else:
                self.unjournalled.append(event)

    def queue_notices(self, is_due):
        """Queues the notices of given-up texts for which `is_due` holds and whose 202 is sent. A client
        ignores a notice that comes before its 202.
        """
        pending_notices, self.pending_notices = self.pending_notices, []
        for text in pending_notices:
            if is_due(text) and text.ident not in self.unacknowledged:
                self.notices.owe(text)
            else:
                self.pending_notices.append(text)

    def decide(self):
        """Lets the decisions process all input; returns when the next ones are due."""
        now = self.loop.now()
        if self.list_deadline is not None and (self.list_agent.answered or now >= self.list_deadline):
            self.list_deadline = None
            self.facade.pause_calls(bool(self.failed_turns))
        due = self.facade.tick(now)
        while fault := self.facade.next_fault():
            self.loop.faults.log_exception("decision.fault", "a decision failed, the others stand", fault)
        if self.list_deadline is not None:
            due = min(due, self.list_deadline)
        if self.restored_state is not None:
            self.guard.started(self.facade.not_restored(*self.restored_state, now))
            self.restored_state = None
        for name in self.facade.over_budget():
            self.guard.over_budget(name)
        return due

    @property
    def calls_in_progress(self):
        """Number of calls in progress."""
        return len(self.outstanding_calls)

    def start_call(self, call):
        """Starts a call if the guard permits it; returns whether it was started. The time-out counts from
        now, but ends at the latest with the validity of the call's first text, however long the turn took.
        """
        now, kept = self.loop.now(), self.journal.routes.state_of(call.place)
        if not self.guard.may_call(call, self.facade.endpoint_of(call), kept, now):
            self.facade.report(call, CallResult(CallProgress.CALLED_OFF), 0.0)
            return False
        call_log.log_call_sent(call)
        outstanding = OutstandingCall(call, min(now + call.timeout, call.valid_until))
        self.spawn_call(
            outstanding,
            lambda on_written, report: submit(
                self.loop,
                self.pool,
                outstanding,
                self.connect_timeout,
                self.facade.may_still_send,
                on_written,
                report,
            ),
        )
        return True

    def adopt_call(self, outstanding, connection, received):
        """Continues a call that another process began, with the bytes `received` so far."""
        self.spawn_call(
            outstanding,
            lambda on_written, report: resume_call(
                self.loop, self.pool, outstanding, connection, received, report
            ),
        )

    def spawn_call(self, outstanding, exchange):
        """Runs the exchange with the endpoint in a coroutine until the call has its outcome."""
        self.outstanding_calls[outstanding] = True
        outstanding.task = self.loop.spawn(self.run_call(outstanding, exchange))

    def journal_decisions(self):
        """Writes the decisions to the journal; they take effect outside only once it holds them."""
        facade, journal, now = self.facade, self.journal, self.loop.now()
        while back := facade.next_returned_text():
            journal.submit_ended(*back)
        while self.calls_enabled and (call := facade.next_call()):
            self.calls.append(call)  # first: a turn that fails below calls it off
            for text in call.texts:
                journal.sent(text, now, call.place.zone)
        while end := facade.next_final_answer():
            self.counters.ended(end)
            if end.verdict is None:
                call_log.log_ended(end, now)
                self.complete(end.text)
            else:
                call_log.log_given_up(end)
                self.pending_notices.append(end.text)  # first: its notice is owed though the turn fails below
                journal.given_up(end.text, end.verdict, end.wait)
        for dropped in facade.dropped_destinations():
            for key in journal.routes.keys_of(dropped):
                journal.route(*key, None)
        for dest, endpoint, state in facade.changed_routes():
            before = journal.routes.states.get((dest, endpoint))
            if self.guard.may_change(f"destination {dest}", before, state, now):
                journal.route(dest, endpoint, state)
        journal.flush()

    def run_call(self, outstanding, exchange):
        """One call as a coroutine; its texts get an outcome whatever happens."""
        call, started = outstanding.call, outstanding.began or self.loop.now()
        answer = CallResult(CallProgress.SENT)  # after an exception the endpoint may have processed it
        collected = False

        def on_written():
            self.counters.forwards += len(call.texts)

        def report(result):
            elapsed = self.loop.now() - started
            if not call.told:
                call_log.log_call_failed(call, result, elapsed)
            self.facade.report(call, result, elapsed)

        try:
            answer = yield from exchange(on_written, report)
        except GeneratorExit:
            # cancelled, or garbage-collected with its loop, which may happen within any other code
            answer, collected = CallResult(outstanding.progress), not outstanding.task.finished
            raise
        except Exception as fault:
            self.loop.faults.log_exception(
                "call.fault", "call to {endpoint} failed with an exception", fault, endpoint=call.place.ident
            )
        finally:
            del self.outstanding_calls[outstanding]
            if not outstanding.handed_over and not collected:
                report(answer)
                self.guard.call_ended(call)

    def statistics(self):
        """The answer to `GET /admin/stats`: the counters, texts without an end, and the size of the list."""
        return self.counters.by_product() | dict(
            outstanding=len(self.facade.texts),
            discovered=len(self.facade.places),
            ejected=self.facade.count_endpoints_in_outage(),
        )

    def status(self):
        """The answer to `GET /-/status` as JSON: totals, queue sizes and the state of each destination."""
        counters = self.counters
        return json.dumps(
            self.statistics()
            | dict(
                taken=counters.taken,
                turned_away=counters.turned_away,
                given_up=counters.notices_heard,
                held=len(self.facade.texts),
                calls_out=self.calls_in_progress,
                notices_owed=len(self.notices.owed),
                journal_bytes=self.journal.size,
                journal_stuck=self.failed_turns,
                idle_connections=self.pool.count,
                data_unasked=self.pool.reuse.unsolicited_count,
                key_windows=len(self.journal.keys),
                destinations=self.facade.state(),
                invariants_broken=self.guard.counts_by_name(),
                history_bytes=self.history_bytes(),
                buffered_bytes=self.receive_buffers.total,
                incomplete_refused=self.receive_buffers.refused,
            )
            | (dict(subscription=self.subscription.status()) if self.subscription else {})
        ).encode()

    def notice_acknowledged(self, text):
        """The platform has received the notice of a text."""
        self.counters.notices_heard += 1
        self.complete(text)

    def complete(self, text):
        """Marks a text as finished in the journal."""
        self.journal.ended(text, self.loop.now())

    def run_housekeeping(self):
        """A coroutine that closes idle connections and logs the loop's lag and the totals."""
        report_at = self.loop.now() + REPORT_INTERVAL_MS
        while True:
            yield Until(self.loop.now() + SWEEP_INTERVAL_MS)
            self.pool.sweep(self.loop.now())
            if self.loop.now() >= report_at:
                message = (
                    "loop at most {late_ms:.1f} ms late; {taken} accepted, {turned_away} refused, "
                    "{given_up} given up, "
                    "{held} held, {out} calls in progress"
                )
                counters = self.counters
                logger.info(
                    message,
                    event="figures",
                    late_ms=self.loop.lateness,
                    taken=counters.taken,
                    turned_away=counters.turned_away,
                    given_up=counters.notices_heard,
                    held=len(self.facade.texts),
                    out=self.calls_in_progress,
                )
                self.report_long_step()
                self.loop.lateness, report_at = 0.0, self.loop.now() + REPORT_INTERVAL_MS

    def report_long_step(self):
        """Logs which coroutine kept all others waiting since the last report."""
        loop = self.loop
        if loop.longest_step_ms >= LONG_STEP_MS:
            logger.warning(
                "{coroutine} held the loop for {ms:.0f} ms",
                event="loop.held",
                coroutine=loop.longest_step_name,
                ms=loop.longest_step_ms,
            )
        loop.longest_step_ms = 0.0
