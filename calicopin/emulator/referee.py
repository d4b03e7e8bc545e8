"""Judges the six delivery rules from the trace alone, and counts the revenue.

A violation is (rule, time, party, reason). What a courier could not know or prevent is excused explicitly, in
`CourierHistory.excused`.
"""

import json
from bisect import bisect_right
from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field
from itertools import pairwise

ANSWER, EFFECT, DRAIN, PUSH, ORDER, WAIT = (
    "final answer",
    "double effect",
    "drain",
    "pushed over",
    "order",
    "wait",
)
SOUND = "soundness"  # beside the six rules: an uncaught exception, a crash or a busy loop
# beside the six rules: a late or failed admin call, wrong statistics, connections kept after a drain
SERVICE = "service"
KNOWN = "known list"  # rules on couriers that subscribe, judged in list_referee.py
RULES = (ANSWER, EFFECT, DRAIN, PUSH, ORDER, WAIT, SOUND, SERVICE, KNOWN)
ANSWER_TOLERANCE_MS = 350.0  # allowed after the end of the validity period
RESTART_TOLERANCE_MS = 1500.0  # allowed after a courier is ready again
REACTION_MS = 60.0  # for one pass of the courier's event loop
OUTAGE_KINDS = ("refuse", "hang", "shut", "vanish")
INFINITE = float("inf")


@dataclass(slots=True)
class Violation:
    """A violation of a rule: which, when in ms, by whom, and the reason in a sentence."""

    rule: str
    at: float
    party: str
    reason: str

    def __str__(self):
        return f"{self.rule}: {self.party} at {self.at:.1f} ms: {self.reason}"


@dataclass(slots=True)
class Call:
    """One call as the partner saw it; times are ms of virtual time."""

    number: int
    at: float
    courier: str
    endpoint: str
    zone: str
    dest: int
    texts: tuple
    started_at: float
    ended_at: float = INFINITE  # when it was answered or its connection closed
    status: int = 0
    wait_ms: float = 0.0
    states: dict = field(default_factory=dict)
    answer_read_at: float = INFINITE

    def refused(self, ident):
        """Whether the partner stated that the text was not carried out."""
        return self.status in (429, 503) or self.states.get(ident) == "refused"

    def delivered(self, ident):
        """Whether the partner confirmed the text."""
        return self.status == 200 and self.states.get(ident, "delivered") == "delivered"


class CourierHistory:
    """When one courier ran or was suspended, and when its disk or platform failed."""

    def __init__(self):
        self.starts, self.ends, self.excused, self.machine_losses, self.suspensions = [], [], [], [], []

    def ended_between(self, low, high):
        """Whether one of its processes ended in that time."""
        at = bisect_right(self.ends, low - 1e-9)
        return at < len(self.ends) and self.ends[at] <= high

    def resumed_at(self, at):
        """When it could first react to what reached it at `at`."""
        for begin, until in self.suspensions:
            if begin <= at <= until:
                at = until
        return at

    def answer_due(self, until):
        """The latest time for a final answer to a text that is valid until `until`."""
        due = until + ANSWER_TOLERANCE_MS
        for begin, end in sorted(self.excused):
            if begin <= due and end >= until - REACTION_MS:
                due = max(due, end)
        return due


class Referee:
    """Judges one trace; `violations` and `figures()` hold the result."""

    def __init__(self, simulation):
        self.scenario, self.products, self.simulation = (
            simulation.scenario,
            simulation.scenario.product,
            simulation,
        )
        self.violations, self.submissions, self.answers, self.calls = [], {}, {}, {}
        self.notices, self.calls_by_text, self.histories = (
            defaultdict(list),
            defaultdict(list),
            defaultdict(CourierHistory),
        )
        self.cuts, self.unanswered, self.list_updates, self.run_counts, self.refusals = (
            [],
            set(),
            [],
            Counter(),
            0,
        )
        self.outages, self.end_time, self.admin_calls = defaultdict(list), simulation.world.now, []
        for entry in simulation.world.trace:
            getattr(self, "_" + entry[1].replace("-", "_"), self._ignore)(*entry[:1], *entry[2:])
        self._excuse_stopped_couriers()
        self._judge()
        self.violations.sort(key=lambda one: (one.at, one.rule))

    def add(self, rule, at, party, reason):
        """Adds a violation."""
        self.violations.append(Violation(rule, at, party, reason))

    # Reading the trace: each handler is named after the kind of its entries.

    def _ignore(self, *_):
        pass

    def _hand_in(self, at, ident, number, courier, dest, product, key, reference, crc, until):
        self.submissions.setdefault(ident, (at, number, courier, dest, product, key, reference, crc, until))

    def _answer(self, at, ident, status):
        if self.answers.get(ident, (0, 0))[1] != 202:
            self.answers[ident] = at, status

    def _left(self, _, ident):
        self.unanswered.add(ident)

    def _cut(self, at, ident, courier):
        self.unanswered.add(ident)
        self.cuts.append((at, ident, courier))

    def _call(self, at, number, courier, endpoint, zone, dest, texts, started_at):
        call = self.calls[number] = Call(number, at, courier, endpoint, zone, dest, texts, started_at)
        for ident, reference, crc in texts:
            self.calls_by_text[ident].append(call)
            submission = self.submissions.get(ident)
            if submission is None:
                self.add(EFFECT, at, ident, "called, though no client submitted it")
            elif (submission[3], submission[6], submission[7]) != (dest, reference, crc):
                self.add(
                    EFFECT,
                    at,
                    ident,
                    "called with a destination, reference or body other than submitted",
                )

    def _ran(self, _, number, idents):
        self.run_counts.update(idents)

    def _reply(self, at, number, status, wait, states):
        call = self.calls[number]
        call.ended_at, call.status, call.wait_ms, call.states = at, status, wait, dict(states)
        self.refusals += status in (429, 503)

    def _heard(self, at, number):
        self.calls[number].answer_read_at = at

    def _hung_up(self, at, number):
        self.calls[number].ended_at = min(at, self.calls[number].ended_at)

    _lost = _hung_up

    def _notice(self, at, courier, ident, verdict, wait):
        self.notices[ident].append((at, courier, verdict, wait))

    def _told(self, at, courier, full, on, off):
        self.list_updates.append((at, courier, full, on, off))

    def _had(self, at, courier, on, off):
        if self.scenario.platform.told == "had":
            self.list_updates.append((at, courier, False, on, off))

    def _fell(self, at, dest, count, limit, informed):
        if informed * 3 >= count * 2:
            self.add(
                PUSH,
                at,
                f"destination {dest}",
                f"{count} calls in the window where {limit} is the limit, {informed} of "
                "them by couriers that had seen the outage",
            )

    def _start(self, at, courier):
        self.histories[courier].starts.append(at)

    def _ready(self, at, courier):
        history = self.histories[courier]
        history.excused.append((history.ends[-1] if history.ends else 0.0, at + RESTART_TOLERANCE_MS))

    def _end(self, at, courier, how, reason):
        self.histories[courier].ends.append(at)
        if how in ("crash", "busy"):
            self.add(SOUND, at, courier, f"{how}: {reason}")

    def _term(self, at, courier):
        self.histories[courier].excused.append((at, at + 4500.0))

    def _lost_machine(self, at, courier):
        self.histories[courier].machine_losses.append(at)

    def _stands(self, at, courier, ms):
        history = self.histories[courier]
        history.suspensions.append((at, at + ms + REACTION_MS))
        history.excused.append((at, at + ms + 500.0))

    def _disk(self, at, courier, ms):
        self.histories[courier].excused.append((at, at + ms + 1000.0))

    def _agents_gone(self, at, ms):
        for history in self.histories.values():
            history.excused.append((at, at + ms + 3000.0))

    def _operator(self, at, courier, path, asked_at, status, body):
        self.admin_calls.append((at, courier, path, asked_at, status, body))

    def _emptied(self, at, courier, held):
        if held:
            self.add(SERVICE, at, courier, f"clients hold {held} connections 4 s after the call to drain")

    def _fault(self, at, courier, reason):
        self.add(SOUND, at, courier, reason)

    def _trouble(self, at, kind, target, ms):
        if kind in OUTAGE_KINDS and target.startswith("destination"):
            self.outages[int(target.split()[1])].append((at, at + ms))
        if kind == "net-slow":
            for history in self.histories.values():
                history.excused.append((at, at + ms + 1000.0))

    def _excuse_stopped_couriers(self):
        """A courier that never came back is excused from its last end on."""
        for history in self.histories.values():
            if (
                len(history.ends) >= len(history.starts)
                and history.ends
                and history.ends[-1] < self.end_time - 1.0
            ):
                history.excused.append((history.ends[-1], INFINITE))

    # Judging.

    def _judge(self):
        for ident, submission in self.submissions.items():
            self._judge_text(ident, submission)
        for ident in self.notices:
            if ident not in self.submissions:
                self.add(
                    ANSWER, self.notices[ident][0][0], ident, "a notice for a text that no client submitted"
                )
        # ms for the end of the connection to reach the client
        in_transit = 50.0 + 4.0 * self.scenario.net.latency_ms[1]
        for at, ident, courier in self.cuts:
            history = self.histories[courier]
            if not history.ended_between(self.submissions[ident][0] - in_transit, at + 5.0):
                self.add(ANSWER, at, ident, f"{courier} closed the client's connection without an answer")
        self._judge_drains()
        self._judge_admin()
        self._judge_waits()
        self._judge_order()

    def _judge_text(self, ident, submission):
        _, _, courier, _, product, _, _, _, until = submission
        history, product_spec, calls = (
            self.histories[courier],
            self.products[product],
            self.calls_by_text.get(ident, ()),
        )
        # a courier can't know how long a request was in transit, or unread while the courier was suspended
        until += history.resumed_at(submission[0]) - submission[0] + self.scenario.net.latency_ms[1]
        answered, status = self.answers.get(ident, (0.0, 0))
        delivered_at = min((call.ended_at for call in calls if call.delivered(ident)), default=INFINITE)
        notices = self.notices.get(ident, ())
        first_notice_at = notices[0][0] if notices else INFINITE
        machine_lost = any(at >= submission[0] for at in history.machine_losses)
        if status == 202 and not machine_lost:
            # the transit of a notice is added
            final_at, due = (
                min(delivered_at, first_notice_at),
                history.answer_due(until) + self.scenario.net.latency_ms[1],
            )
            if final_at > due and due < self.end_time:
                late = (
                    f"its final answer came {final_at - due:.0f} ms late"
                    if final_at < INFINITE
                    else "it was lost"
                )
                self.add(ANSWER, due, ident, f"accepted by {courier} at {answered:.1f}; {late}")
        if len({notice[2] for notice in notices}) > 1:
            self.add(
                ANSWER,
                first_notice_at,
                ident,
                "two different notices: " + ", ".join(notice[2] for notice in notices),
            )
        delivery_read_at = min(
            (call.answer_read_at for call in calls if call.delivered(ident)), default=INFINITE
        )
        # of texts that share a call, one may expire before the answer to all arrives
        alone = any(call.answer_read_at == delivery_read_at and len(call.texts) == 1 for call in calls)
        if (
            delivery_read_at < first_notice_at < INFINITE
            and (alone or delivery_read_at < until - REACTION_MS)
            and not self._may_be_lost(history, delivery_read_at, first_notice_at)
        ):
            self.add(
                ANSWER,
                first_notice_at,
                ident,
                f"a notice although the delivery was confirmed at {delivery_read_at:.1f}",
            )
        may_run = [call for call in calls if not call.refused(ident)]
        if (
            notices
            and notices[0][2] == "bounced"
            and may_run
            and may_run[0].at < first_notice_at
            and (
                product_spec.repeat == "once-only"
                or product_spec.repeat == "referenced"
                and product_spec.memory_by_zone
            )
        ):
            self.add(
                EFFECT,
                first_notice_at,
                ident,
                f"its notice says that it had no effect, but it may have run at {may_run[0].at:.1f}",
            )
        for earlier, later in pairwise(calls):
            if later.started_at < earlier.ended_at and later.courier == earlier.courier:
                self.add(
                    EFFECT,
                    later.started_at,
                    ident,
                    f"sent while an earlier call, started at {earlier.started_at:.1f}, is unanswered",
                )
        confirmed_at = min(
            (call.answer_read_at for call in calls if self._confirms(call, ident)), default=INFINITE
        )
        for call in calls:
            if call.started_at > first_notice_at + REACTION_MS and not self._may_be_lost(
                history, first_notice_at, call.started_at
            ):
                self.add(
                    EFFECT, call.started_at, ident, f"sent after its final answer at {first_notice_at:.1f}"
                )
            if call.started_at > confirmed_at + REACTION_MS and not self._may_be_lost(
                history, confirmed_at, call.started_at
            ):
                self.add(
                    EFFECT,
                    call.started_at,
                    ident,
                    f"sent after its delivery was confirmed at {confirmed_at:.1f}",
                )
            if (
                call.started_at > until + REACTION_MS
                and history.resumed_at(until) + REACTION_MS < call.started_at
            ):
                self.add(
                    ANSWER,
                    call.started_at,
                    ident,
                    f"sent {call.started_at - until:.0f} ms after the end of its validity",
                )
        if may_run:
            self._judge_repeats(
                ident,
                product_spec,
                may_run[0],
                [call for call in calls if call.started_at > may_run[0].started_at],
            )

    def _confirms(self, call, ident):
        """Whether the answer to a call proves to the courier that the text was delivered.

        An endpoint drops a call once the validity of the first of its texts is over, and answers it as
        delivered all the same: an answer that is read after that proves nothing.
        """
        valid_until = [self.submissions[other][-1] for other, _, _ in call.texts if other in self.submissions]
        return call.delivered(ident) and call.answer_read_at < min(valid_until, default=INFINITE)

    def _judge_repeats(self, ident, product_spec, first_run, later_calls):
        for call in later_calls:
            if product_spec.repeat == "once-only":
                self.add(
                    EFFECT,
                    call.started_at,
                    ident,
                    f"once-only, sent again after a call at {first_run.at:.1f} that may have run",
                )
            elif product_spec.repeat == "referenced":
                if call.started_at > first_run.at + product_spec.memory_s * 1000.0:
                    self.add(
                        EFFECT,
                        call.started_at,
                        ident,
                        f"sent again {call.started_at - first_run.at:.0f} ms after it may have run: "
                        "the partner no longer remembers the reference",
                    )
                if product_spec.memory_by_zone and call.zone != first_run.zone:
                    self.add(
                        EFFECT,
                        call.started_at,
                        ident,
                        f"sent again in zone {call.zone}; it may have run in {first_run.zone}",
                    )

    def _may_be_lost(self, history, known, later):
        """Whether the process ended before it could persist what it learnt at `known`."""
        return history.ended_between(known, min(later, history.answer_due(known)))

    def _judge_drains(self):
        drain = self.scenario.rules.drain_ms
        leaving_since = defaultdict(dict)  # by courier: endpoint and when its leave was announced
        events = [(at, 1, courier, full, on, off) for at, courier, full, on, off in self.list_updates]
        events += [
            (at, 0, courier, None, None, None)
            for courier, history in self.histories.items()
            for at in history.starts
        ]
        events += [(call.started_at, 2, call.courier, call, None, None) for call in self.calls.values()]
        known = defaultdict(set)
        for at, event_kind, courier, full, on, off in sorted(events, key=lambda event: event[:3]):
            # after a restart what the agent already had counts as known from the start
            if event_kind == 0 and self.scenario.platform.told == "had":
                leaving_since[courier] = dict.fromkeys(leaving_since[courier], at)
            elif event_kind == 0:
                leaving_since[courier].clear()
            elif event_kind == 1:
                if full:
                    off = [*off, *known[courier].difference(on)]
                known[courier].update(on)
                for endpoint in on:
                    leaving_since[courier].pop(endpoint, None)
                for endpoint in off:
                    leaving_since[courier].setdefault(endpoint, at)
            elif full.endpoint in leaving_since[courier]:
                announced_at = leaving_since[courier][full.endpoint]
                if at > self.histories[courier].resumed_at(announced_at) + drain + REACTION_MS:
                    self.add(
                        DRAIN,
                        at,
                        courier,
                        f"a call to {full.endpoint} started {at - announced_at:.0f} ms after its drain was "
                        "announced",
                    )

    def _judge_admin(self):
        """Judges admin calls, and the statistics against what the parties observed.

        Statistics may differ by 1% (2% of the messages sent) or by 3, and lag half a second. Texts whose
        client has disconnected may be under any count; a notice may belong to the previous process.
        """
        expected = self._expected_counts() if self.admin_calls else {}
        for at, courier, path, asked_at, status, body in self.admin_calls:
            history = self.histories[courier]
            if (
                history.ended_between(asked_at - ANSWER_TOLERANCE_MS, at)
                or history.resumed_at(asked_at) != asked_at
                or not history.starts
                or asked_at < history.starts[0] + RESTART_TOLERANCE_MS
            ):
                continue
            if (
                not any(start + RESTART_TOLERANCE_MS <= asked_at for start in history.starts[-1:])
                and asked_at > history.starts[-1]
            ):
                continue  # still starting
            if status != 200 or at - asked_at > 1000.0:
                self.add(
                    SERVICE, asked_at, courier, f"{path} was answered {status} after {at - asked_at:.0f} ms"
                )
            elif path == "stats":
                process_start = max(start for start in history.starts if start <= asked_at)
                for name, reason in self._wrong_figures(
                    json.loads(body), process_start, at, expected.get(courier, {})
                ):
                    self.add(SERVICE, at, courier, f"{name}: {reason}")

    def _expected_counts(self):
        """By courier and counter: the earliest and latest time of each event, as the parties saw it."""
        events = defaultdict(lambda: defaultdict(list))
        for ident, (at, status) in self.answers.items():
            name = "declined" if status in (429, 503) else "aborted" if status == 404 else None
            if name:
                events[self.submissions[ident][2]][name].append((at, at))
        for ident, notices in self.notices.items():
            at, courier, verdict, _ = notices[0]
            if ident in self.submissions:
                events[courier]["declined" if verdict == "bounced" else "aborted"].append((at - 3000.0, at))
        for ident, calls in self.calls_by_text.items():
            first_read = min(
                ((call.answer_read_at, call.courier) for call in calls if call.delivered(ident)),
                default=(INFINITE, ""),
            )
            if first_read[0] < INFINITE and ident not in self.notices:
                events[first_read[1]]["succeeded"].append((first_read[0], first_read[0]))
        for call in self.calls.values():
            events[call.courier]["forwards"] += [(call.started_at, call.at)] * len(call.texts)
        for ident in self.unanswered:
            if ident in self.submissions:
                events[self.submissions[ident][2]]["any"].append((self.submissions[ident][0], INFINITE))
        return events

    def _wrong_figures(self, figures, process_start, at, events):
        """(counter, reason) for each value outside of its bounds."""
        uncertain = sum(process_start - 30000.0 <= early <= at for early, _ in events.get("any", ()))
        for name in ("succeeded", "declined", "aborted", "forwards"):
            value = figures[name] if name == "forwards" else sum(figures[name].values())
            least = sum(early >= process_start and late <= at - 500.0 for early, late in events.get(name, ()))
            most = sum(late >= process_start and early <= at + 60.0 for early, late in events.get(name, ()))
            # a shared call may be written to a partner that has just gone down, which no party sees
            shared = max(partner.bundle for partner in self.scenario.partner) if name == "forwards" else 0
            slack = max(3.0, shared, (0.02 if name == "forwards" else 0.01) * most)
            if not least - slack - uncertain <= value <= most + slack + uncertain:
                yield (
                    name,
                    f"reported {value}, but {least} to {most} were observed, "
                    f"with {uncertain} clients disconnected",
                )

    def _judge_waits(self):
        limit_per_endpoint = {number: partner.apart for number, partner, _ in self.scenario.destinations()}
        calls_by_route = defaultdict(list)
        for call in self.calls.values():
            calls_by_route[
                call.courier, call.dest, call.endpoint if limit_per_endpoint[call.dest] else None
            ].append(call)
        for calls in calls_by_route.values():
            calls.sort(key=lambda call: call.started_at)
            starts = [call.started_at for call in calls]
            for refusal in calls:
                if refusal.wait_ms <= 0.0 or refusal.answer_read_at == INFINITE:
                    continue
                history = self.histories[refusal.courier]
                known_from, wait_end = (
                    history.resumed_at(refusal.answer_read_at) + REACTION_MS,
                    refusal.ended_at + refusal.wait_ms,
                )
                for call in calls[bisect_right(starts, known_from) :]:
                    if call.started_at >= wait_end:
                        break
                    if not history.ended_between(refusal.answer_read_at, call.started_at):
                        self.add(
                            WAIT,
                            call.started_at,
                            call.courier,
                            f"a call to destination {call.dest}, asked at "
                            f"{refusal.answer_read_at:.1f} to wait until {wait_end:.1f}",
                        )
                        break

    def _judge_order(self):
        settle = self.scenario.couriers.settle_ms
        queues = defaultdict(list)
        for ident, submission in self.submissions.items():
            answered, status = self.answers.get(ident, (0.0, 0))
            if (
                self.products[submission[4]].in_order
                and status == 202
                and ident not in self.unanswered
                and self.calls_by_text.get(ident)
            ):
                queues[submission[2], submission[5]].append((answered, submission[0], ident))
        for (courier, key), queue in queues.items():
            queue.sort()
            calls = sorted(
                ((call, ident) for _, _, ident in queue for call in self.calls_by_text[ident]),
                key=lambda pair: pair[0].started_at,
            )
            accepted_at = {ident: (answered, submitted_at) for answered, submitted_at, ident in queue}
            latest_calls, machine_losses = {}, [at for at in self.histories[courier].machine_losses]
            for call, ident in calls:
                for other, previous in latest_calls.items():
                    # skipped unless `ident` was certainly accepted before `other` was submitted
                    if other == ident or accepted_at[ident][0] >= accepted_at[other][1]:
                        continue
                    if any(previous.started_at <= at <= call.started_at for at in machine_losses):
                        continue
                    self.add(
                        ORDER,
                        call.started_at,
                        ident,
                        f"key {key}: sent after {other}, which was submitted later",
                    )
                for other, previous in latest_calls.items():
                    if other != ident and call.started_at < previous.ended_at:
                        self.add(
                            ORDER, call.started_at, ident, f"key {key}: sent while {other} is unanswered"
                        )
                    elif (
                        other != ident
                        and previous.status <= 0
                        and previous.answer_read_at == INFINITE
                        and (call.started_at < previous.ended_at + settle - 2.0 * REACTION_MS)
                    ):
                        self.add(
                            ORDER,
                            call.started_at,
                            ident,
                            f"key {key}: sent {call.started_at - previous.ended_at:.0f} ms after the "
                            f"connection of {other} broke",
                        )
                latest_calls[ident] = call
                if len(latest_calls) > 12:
                    latest_calls.pop(next(iter(latest_calls)))

    # Revenue and figures.

    def revenue_of(self, product, latency_ms):
        """The revenue of a text delivered `latency_ms` after it was due."""
        product_spec = self.products[product]
        sla, validity = product_spec.sla_s * 1000.0, product_spec.validity_s * 1000.0
        if latency_ms >= validity:
            return 0.0
        if latency_ms <= sla:
            return product_spec.revenue
        return product_spec.revenue * (
            1.0 - (1.0 - product_spec.late_revenue) * (latency_ms - sla) / (validity - sla)
        )

    def best_revenue(self):
        """The revenue of a sender with full knowledge: at each partner's full rate while it is up, the
        next text is the one that earns most at that time. Greedy, so an estimate and no strict bound.
        """
        total, queues = 0.0, defaultdict(list)
        calls_per_ms = {
            number: partner.bundle
            * min(partner.endpoints * partner.workers * 1000.0 / partner.work_ms, partner.limit or INFINITE)
            / 1000.0
            for number, partner, _ in self.scenario.destinations()
        }
        work_ms = {
            number: partner.work_ms + partner.first_ms for number, partner, _ in self.scenario.destinations()
        }
        for text in self.simulation.texts:
            queues[text["dest"]].append(text)
        for dest, queue in queues.items():
            queue, waiting, at, outages = deque(queue), [], 0.0, sorted(self.outages.get(dest, ()))
            while queue or waiting:
                at = max(at, queue[0]["due"]) if not waiting else at
                for begin, until in outages:
                    at = until if begin <= at < until else at
                while queue and queue[0]["due"] <= at:
                    waiting.append(queue.popleft())
                values = [
                    self.revenue_of(text["product"], at + work_ms[dest] - text["due"]) for text in waiting
                ]
                waiting = [text for text, value in zip(waiting, values, strict=True) if value > 0.0]
                if waiting:
                    highest = max(values)
                    total += highest
                    waiting.remove(
                        next(
                            t
                            for t in waiting
                            if self.revenue_of(t["product"], at + work_ms[dest] - t["due"]) == highest
                        )
                    )
                    at += 1.0 / calls_per_ms[dest]
        return total

    def figures(self):
        """Counts and shares of the run."""
        delivered_at, by_dest, texts = (
            {},
            defaultdict(lambda: [0, 0]),
            {text["number"]: text for text in self.simulation.texts},
        )
        for ident, calls in self.calls_by_text.items():
            submission = self.submissions.get(ident)
            at = min((call.ended_at for call in calls if call.delivered(ident)), default=INFINITE)
            if submission and at < INFINITE:
                delivered_at[submission[1]] = min(at, delivered_at.get(submission[1], INFINITE))
        total = earned = in_sla = 0.0
        latencies = []
        for number, text in texts.items():
            product_spec = self.products[text["product"]]
            total += product_spec.revenue
            by_dest[text["dest"]][0] += 1
            if number in delivered_at:
                latency_ms = delivered_at[number] - text["due"]
                latencies.append(latency_ms)
                earned += self.revenue_of(text["product"], latency_ms)
                in_sla += latency_ms <= product_spec.sla_s * 1000.0
                by_dest[text["dest"]][1] += 1
        latencies.sort()
        count = max(1, len(texts))
        shares = [delivered / submitted for submitted, delivered in by_dest.values() if submitted]
        best = self.best_revenue()
        return dict(
            texts=len(texts),
            handed=len(self.submissions),
            taken=sum(status == 202 for _, status in self.answers.values()),
            delivered=len(delivered_at),
            revenue=round(earned / total, 4) if total else 0.0,
            of_best=round(earned / best, 4) if best else 1.0,
            in_sla=round(in_sla / count, 4),
            p50_ms=round(latencies[len(latencies) // 2], 1) if latencies else 0.0,
            p99_ms=round(latencies[int(len(latencies) * 0.99)], 1) if latencies else 0.0,
            calls=len(self.calls),
            refused=self.refusals,
            waste=sum(times - 1 for times in self.run_counts.values() if times > 1),
            fairness=round(sum(shares) ** 2 / (len(shares) * sum(s * s for s in shares)), 4)
            if any(shares)
            else 0.0,
            notices=sum(map(len, self.notices.values())),
        )
