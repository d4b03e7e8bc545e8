"""The door of one courier: the wire's names, seconds and ids outside; ours inside."""
from calicopin.brain import Courier
from calicopin.drill.codec import WireFault, plain, seconds
from calicopin.interface import (Entry, FailBack, How, Listed, ListFailed, Outcome, Partner, Product, Repeat,
                                 Taken, Withdrawn, Woken)

REPEATS = {"read_like": Repeat.RESENDABLE, "idempotency_key": Repeat.REFERENCED,
           "non_idempotent": Repeat.ONCE_ONLY}
READY, FAILED, WHOLE = 3, 2, (3, 4)


class Indices:
    """Gives each outside id a small index, in the order of arrival."""

    def __init__(self):
        self.index, self.ident = {}, []

    def __call__(self, ident):
        if ident not in self.index:
            self.index[ident] = len(self.ident)
            self.ident.append(ident)
        return self.index[ident]


def _ms(value):
    return (value or 0.0) * 1000.0


def product(grade, fades):
    """One entry of `grades` in our words."""
    return Product(
        repeat=REPEATS[grade["idempotency"]], sla=_ms(grade["aim"]), validity=_ms(grade["giveUp"]),
        revenue=grade.get("points", 1.0), late_revenue=grade.get("lateWorth", 0.0),
        memory=_ms(grade.get("keyTtl")), memory_by_zone=grade.get("group", "all") != "all",
        in_order=bool(grade.get("inOrder", False)), late_halves=fades == "halving")


def courier(seed, env):
    """A courier from the wire's first message; keys that are not known here are passed over."""
    family, ceilings, rules = env["familyInfo"], env["ceilings"], env["rules"]
    apart, bundles = family.get("ownLimits") or [], family.get("bundleMax") or []
    kinds = max(len(env.get("kinds") or []), len(apart), len(bundles), 1)
    return Courier(
        seed=seed, number=env["slotNo"], senders=env["groupSize"], tick=_ms(env["tick"]),
        slots=family["workers"], room=ceilings["mostHeld"], tries=ceilings["tryLimit"],
        products=[product(grade, family.get("fades")) for grade in env["grades"]],
        partners=[Partner(bundle=max(1, int(bundles[i])) if i < len(bundles) else 1,
                          apart=bool(apart[i]) if i < len(apart) else False) for i in range(kinds)],
        fail_back=FailBack(cold_from=rules["coldFrom"], cold=_ms(rules["cold"]),
                           multiple=rules["tipMultiple"], span=_ms(rules["fall"])),
        settle=_ms(rules.get("orderSettle")),
        most_advice=_ms(ceilings.get("maxRetryAfter")) if ceilings.get("retryAfter") else 0.0,
        asks=env.get("discovery") == "ask", ask_within=_ms(rules.get("askWithin", 10.0)))


class Door:
    """Turns one courier's events and actions from and into lines."""

    def __init__(self, seed, env, number):
        try:
            self.courier = courier(seed, env)
        except (KeyError, TypeError, ValueError, IndexError) as fault:
            raise WireFault(f"line {number}: the settings of HELLO lack or garble {fault}") from None
        self.reports = env.get("loadInfo", {}).get("columns") or []
        self.agreed = env.get("weights") in ("nominal", "rough", "live")
        self.grades = len(env["grades"])
        self.dests, self.endpoints = Indices(), Indices()
        self.texts, self.handles, self.out, self.ended, self.next_text = {}, {}, {}, set(), 0

    def read(self, number, name, values, pages):
        """One event of the wire as one of ours, or None where it says nothing to the courier."""
        read = getattr(self, "_" + name.lower(), None)
        return read(number, values, pages) if read else None

    def _accept(self, number, values, _):
        handle, dest, group, _, resource, until, qos, _ = values
        if qos >= self.grades:
            raise WireFault(f"line {number}: ACCEPT names class {qos} of {self.grades}")
        text, self.next_text = self.next_text, self.next_text + 1
        self.texts[handle], self.handles[text], self.out[text] = text, handle, 0
        return Taken(text, self.dests(dest), qos, until * 1000.0, resource, group or 0)

    def _verdict(self, number, values, _):
        handle, _, note, finished, endpoint, reason, elapsed, report = values
        if reason not in How._value2member_map_:
            raise WireFault(f"line {number}: VERDICT holds the unknown outcome {reason}")
        text = self.texts.get(handle)
        if text is None:
            return None
        self.out[text] -= 1
        told = dict(zip(self.reports, report)) if report else {}
        wait = note if reason == How.FULL and note else 0.0
        event = Outcome(text, self.endpoints(endpoint), How(reason), wait, _ms(elapsed), finished,
                        told.get("x0"), told.get("x1"))
        if finished:
            self.ended.add(text)
        self._forget(text)
        return event

    def _aborted(self, _, values, __):
        text = self.texts.get(values[0])
        if text is None:
            return None
        self.ended.add(text)
        self._forget(text)
        return Withdrawn(text)

    def _forget(self, text):
        """Drops a text's ids once it is ended and no submit of it is out."""
        if text in self.ended and self.out[text] <= 0:
            self.ended.discard(text)
            del self.out[text], self.texts[self.handles.pop(text)]

    def _peers_known(self, number, values, pages):
        kind, _, bank = values
        if kind == FAILED:
            return ListFailed()
        if bank not in pages:
            raise WireFault(f"line {number}: PEERS_KNOWN names page {bank}, which was not sent")
        return Listed([Entry(self.endpoints(endpoint), self.dests(cell), machine or 0, hall or 0,
                             phase == READY, share if self.agreed else None)
                       for phase, share, _, cell, hall, machine, endpoint in pages[bank]], kind in WHOLE)

    def _bell(self, _, values, __):
        return Woken(values[0])

    def act(self, now, events):
        """The courier's answer to a batch, as lines."""
        lines = []
        for action in self.courier.handle(now, events):
            write = getattr(self, "_do_" + type(action).__name__.lower())
            lines.append(write(action))
        return lines

    def _do_submit(self, action):
        self.out[action.text] += 1
        return (f"HAND_OFF {self.handles[action.text]} {self.endpoints.ident[action.endpoint]} "
                f"{seconds(action.timeout)}")

    def _end(self, text):
        handle = self.handles[text]
        self.ended.add(text)
        self._forget(text)
        return handle

    def _do_nack(self, action):
        stay = seconds(action.stay_away) if action.stay_away > 0.0 else "-"
        return f"REJECT {self._end(action.text)} {stay}"

    def _do_undeliverable(self, action):
        return f"SURRENDER {self._end(action.text)}"

    @staticmethod
    def _do_wake(action):
        return f"NOTIFY_ME {seconds(action.after)} {action.token}"

    @staticmethod
    def _do_watch(_):
        return "OBSERVE 1"

    @staticmethod
    def _do_log(action):
        return f"WRITE_LOG {plain(action.line)}"
