"""Small faults that can be injected into the program one at a time, to show that the referee detects them."""

import itertools
from contextlib import contextmanager
from dataclasses import replace

import h11

from calicopin import decisions, deployment_settings, facade
from calicopin.emulator.referee import ANSWER, DRAIN, EFFECT, ORDER, PUSH, SERVICE, SOUND, WAIT
from calicopin.facade import Facade
from calicopin.interface import How, Repeat
from calicopin.lifecycle import runtime as runtime_module
from calicopin.lifecycle import start as start_module
from calicopin.lifecycle.runtime import Runtime
from calicopin.send_guard import SendGuard
from calicopin.state.journal import Journal
from calicopin.state.ledger import Counters
from calicopin.state.texts import Text
from calicopin.wire import answers, clients, endpoints
from calicopin.wire import notices as notices_module
from calicopin.wire.clients import Clients, JournalledEvent
from calicopin.wire.notices import Notices

FAULTS, SHOWN_BY = {}, {}


@contextmanager
def injected(name):
    """The program has this fault within the context; with None it is unchanged."""
    if name is None:
        yield
        return
    undo = []

    def change(owner, attribute, value):
        undo.append((owner, attribute, owner.__dict__.get(attribute, undo)))
        setattr(owner, attribute, value)

    FAULTS[name](change)
    try:
        yield
    finally:
        for owner, attribute, before in reversed(undo):
            if before is undo:
                delattr(owner, attribute)
            else:
                setattr(owner, attribute, before)


def fault(name, scenario, rule, seeds=8):
    """Registers a fault: the scenario that shows it, the rule that it breaks, and within how many seeds."""

    def register(make):
        FAULTS[name] = make
        SHOWN_BY[name] = scenario, rule, seeds
        return make

    return register


@fault("ack-before-journal", "kills", ANSWER, 60)
def _(change):
    def already_journalled(runtime, text):
        event = JournalledEvent(runtime.loop, text)
        event.set()
        return event

    change(Runtime, "journalled_event", already_journalled)


@fault("taken-not-journalled", "kills", ANSWER)
def _(change):
    change(
        Journal,
        "accepted",
        lambda journal, text: (
            journal.texts.update({text.ident: text}) or journal.record_sizes.update({text.ident: 0})
        ),
    )


@fault("journal-not-read", "kills", ANSWER)
def _(change):
    change(Journal, "_replay", lambda journal: True)


@fault("submit-not-journalled", "kills", EFFECT, 16)
def _(change):
    change(Journal, "sent", lambda journal, text, at, zone: text.mark_sent(at, zone))


@fault("may-have-run-forgotten", "kills", EFFECT, 16)
def _(change):
    change(Text, "mark_ended", lambda text, _: setattr(text, "out_at", None))


@fault("refused-write-forgotten", "disk", ANSWER, 16)
def _(change):
    flush = Journal.flush

    def flush_dropping_errors(journal):
        try:
            flush(journal)
        except OSError:
            journal.buffer.clear()

    change(Journal, "flush", flush_dropping_errors)


def submit_to_the_end(change, repeat):
    """Texts of that kind are submitted until the end of their validity, even if they may have run."""
    last = decisions.Text.submit_deadline
    change(
        decisions.Text,
        "submit_deadline",
        lambda text: text.valid_until if text.product.repeat == repeat else last(text),
    )


@fault("once-only-resent", "loss", EFFECT)
def _(change):
    submit_to_the_end(change, Repeat.ONCE_ONLY)


@fault("memory-outlived", "forgetful", EFFECT)
def _(change):
    submit_to_the_end(change, Repeat.REFERENCED)


@fault("zone-forgotten", "forgetful", EFFECT)
def _(change):
    product = deployment_settings.product
    change(deployment_settings, "product", lambda *told: replace(product(*told), memory_by_zone=False))


@fault("nack-promises-too-much", "loss", EFFECT)
def _(change):
    change(decisions.Text, "nackable", lambda text: True)


@fault("wait-forgotten", "limits", WAIT)
def _(change):
    change(decisions.Route, "apply_wait", lambda route, wait: None)


@fault("wait-in-other-unit", "shut", WAIT)
def _(change):
    read = answers.decode_head

    def answer_in_seconds(head):
        told = read(head)
        told.wait /= 1000.0
        return told

    change(answers, "decode_head", answer_in_seconds)


@fault("wait-ends-early", "shut", WAIT)
def _(change):
    apply_wait = decisions.Route.apply_wait
    change(decisions.Route, "apply_wait", lambda route, wait: apply_wait(route, wait * 0.5))


@fault("drain-missed", "drains", DRAIN)
def _(change):
    listed = decisions.Courier.on_listed

    def ignore_leaves(courier, event):
        for entry in event.entries:
            entry.ready = True
        listed(courier, event)

    change(decisions.Courier, "on_listed", ignore_leaves)


@fault("no-fail-back", "return", PUSH, 4)
def _(change):
    change(decisions.Route, "allowed_rate", lambda route: route.paced_rate())


@fault("restart-forgets-outage", "restart-in-outage", PUSH, 4)
def _(change):
    change(Facade, "restore_route", lambda instance, *state: None)
    change(SendGuard, "may_call", lambda guard, *what: True)


@fault("key-out-of-turn", "loss", ORDER)
def _(change):
    change(
        decisions.Registry,
        "may_go",
        lambda registry, text: not text.finished and registry.scheduler.now < text.submit_deadline(),
    )


@fault("key-not-settled", "loss", ORDER)
def _(change):
    change(decisions.Registry, "on_settle", lambda registry, text, how: None)


@fault("late-final-answer", "outage", ANSWER)
def _(change):
    expire = decisions.Registry.on_expire
    change(
        decisions.Registry,
        "on_expire",
        lambda registry, text, *back: registry.scheduler.schedule(
            registry.scheduler.now + 900.0, registry, "expired", text, *back
        ),
    )
    change(decisions.Registry, "on_expired", expire)


@fault("lost-notice", "outage", ANSWER)
def _(change):
    owe = Notices.owe
    change(Notices, "owe", lambda notices, text: None if text.ident.endswith("1.1") else owe(notices, text))


@fault("two-verdicts", "outage", ANSWER)
def _(change):
    notice_acknowledged = Runtime.notice_acknowledged

    def acknowledged_twice(runtime, text):
        notice_acknowledged(runtime, text)
        if not text.key:
            text.key, text.verdict = "told", {"dead": "bounced", "bounced": "dead"}[text.verdict]
            runtime.notices.owe(text)

    change(Runtime, "notice_acknowledged", acknowledged_twice)


@fault("notice-after-delivery", "calm", ANSWER, 1)
def _(change):
    ended = Facade.next_final_answer

    def ended_with_notice(facade):
        end = ended(facade)
        if end is not None and end.verdict is None and end.text.ident.endswith("7.1"):
            end.verdict = "dead"
        return end

    change(Facade, "next_final_answer", ended_with_notice)


@fault("failed-is-delivered", "loss", ANSWER)
def _(change):
    change(facade, "OUTCOMES_BY_STATUS", facade.OUTCOMES_BY_STATUS | {500: How.DELIVERED})
    change(facade, "outcome_of", _how_with(facade.outcome_of, lambda answer: answer.status == 500))


@fault("bulk-answer-misread", "loss", ANSWER)
def _(change):
    read = answers.decode_bulk_states
    change(answers, "decode_bulk_states", lambda body: dict.fromkeys(read(body) or {}, "delivered"))


@fault("body-cut", "calm", EFFECT, 1)
def _(change):
    encode = endpoints.encode

    def encode_shortened(call, timeout):
        if len(call.texts) == 1 and call.texts[0].ident.endswith("9.1"):
            head, body = encode(call, timeout)
            return h11.Request(
                method="POST",
                target=head.target,
                headers=[
                    (n, v if n != b"content-length" else b"%d" % (len(body) - 1)) for n, v in head.headers
                ],
            ), body[:-1]
        return encode(call, timeout)

    change(endpoints, "encode", encode_shortened)


@fault("reference-lost-on-retry", "loss", EFFECT)
def _(change):
    mark_ended = Text.mark_ended

    def mark_ended_forgetting_reference(text, ran):
        mark_ended(text, ran)
        text.reference = None

    change(Text, "mark_ended", mark_ended_forgetting_reference)


@fault("second-copy-after-restart", "second-copy", EFFECT)
def _(change):
    change(Journal, "knows", lambda journal, ident: ident in journal.texts)


@fault("two-copies-out", "slow-later", EFFECT, 2)
def _(change):
    hand_over, tick, due = Facade._submit, Facade.tick, []

    def submit_and_note(instance, now, action, shared):
        hand_over(instance, now, action, shared)
        call = shared.get(action.endpoint)
        if call is not None and call.texts:
            due.append((now + action.timeout * 0.5, instance, call, call.texts[-1]))

    def tick_with_early_timeouts(instance, now):
        for one in [one for one in due if one[0] <= now and one[1] is instance]:
            due.remove(one)
            if one[3].number in one[2].open:
                instance._outcome(one[2], one[3], How.TIMEOUT, now - one[3].out_at, False)
        return min([tick(instance, now), *(at for at, whose, *_ in due if whose is instance)])

    change(Facade, "_submit", submit_and_note)
    change(Facade, "tick", tick_with_early_timeouts)


@fault("first-list-late", "roll-large", DRAIN, 2)
def _(change):
    change(start_module, "list_is_pushed", lambda settings: False)


@fault("client-cut-off", "calm", ANSWER, 1)
def _(change):
    reply, count = Clients.reply, itertools.count()

    def reply_or_close(clients, line, *told, **more):
        if next(count) % 50 == 49:
            return False
            yield
        return (yield from reply(clients, line, *told, **more))

    change(Clients, "reply", reply_or_close)


@fault("validity-misread", "outage", ANSWER, 12)
def _(change):
    read = clients.read_text

    def read_with_longer_validity(head, body, products, now):
        text = read(head, body, products, now)
        text.until += 2000.0
        return text

    change(clients, "read_text", read_with_longer_validity)


@fault("busy-loop", "calm", SOUND, 1)
def _(change):
    change(runtime_module, "SWEEP_INTERVAL_MS", 0.0)


@fault("fault-in-a-notice", "outage", SOUND)
def _(change):
    change(notices_module, "encode", lambda text: {}["ident"])


@fault("refusals-not-counted", "quiesce", SERVICE, 1)
def _(change):
    change(Counters, "refused", lambda counters, text, again: None)


@fault("all-ends-count-as-delivered", "scrape", SERVICE, 1)
def _(change):
    ended = Counters.ended

    def ended_as_delivered(counters, end):
        end.verdict, kept = None, end.verdict
        end.delivered = True
        ended(counters, end)
        end.verdict = kept

    change(Counters, "ended", ended_as_delivered)


@fault("drain-keeps-connections", "quiesce", SERVICE, 1)
def _(change):
    change(Clients, "close_between_requests", lambda clients: None)


def _how_with(how, is_wrong):
    return lambda answer, ident: (How.DELIVERED, True) if is_wrong(answer) else how(answer, ident)
