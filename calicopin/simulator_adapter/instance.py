"""One courier on the bench's wire: the wire's names, seconds and ids outside; ours inside."""

from calicopin.deployment_settings import Indices, agreed, courier, ms, reports
from calicopin.interface import Entry, How, Listed, ListFailed, Outcome, Taken, Withdrawn, Woken
from calicopin.simulator_adapter.codec import WireError, plain, seconds

READY, FAILED, WHOLE = 3, 2, (3, 4)


class Instance:
    """Turns one courier's events and actions from and into lines."""

    def __init__(self, seed, env, number):
        try:
            self.courier = courier(seed, env)
        except (KeyError, TypeError, ValueError, IndexError) as fault:
            raise WireError(f"line {number}: the settings of HELLO lack or garble {fault}") from None
        self.reports = reports(env)
        self.agreed = agreed(env)
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
            raise WireError(f"line {number}: ACCEPT names class {qos} of {self.grades}")
        text, self.next_text = self.next_text, self.next_text + 1
        self.texts[handle], self.handles[text], self.out[text] = text, handle, 0
        return Taken(text, self.dests(dest), qos, until * 1000.0, resource, group or 0)

    def _verdict(self, number, values, _):
        handle, _, note, finished, endpoint, reason, elapsed, report = values
        if reason not in How._value2member_map_:
            raise WireError(f"line {number}: VERDICT holds the unknown outcome {reason}")
        text = self.texts.get(handle)
        if text is None:
            return None
        self.out[text] -= 1
        told = dict(zip(self.reports, report, strict=False)) if report else {}
        wait = note if reason == How.FULL and note else 0.0
        event = Outcome(
            text,
            self.endpoints(endpoint),
            How(reason),
            wait,
            ms(elapsed),
            finished,
            told.get("x0"),
            told.get("x1"),
        )
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
            raise WireError(f"line {number}: PEERS_KNOWN names page {bank}, which was not sent")
        return Listed(
            [
                Entry(
                    self.endpoints(endpoint),
                    self.dests(cell),
                    machine or 0,
                    hall or 0,
                    phase == READY,
                    share if self.agreed else None,
                )
                for phase, share, _, cell, hall, machine, endpoint in pages[bank]
            ],
            kind in WHOLE,
        )

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
        return (
            f"HAND_OFF {self.handles[action.text]} {self.endpoints.ident[action.endpoint]} "
            f"{seconds(action.timeout)}"
        )

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

    def _do_close(self, action):
        return f"DROP_CONNS {self.endpoints.ident[action.endpoint]}"

    @staticmethod
    def _do_watch(_):
        return "OBSERVE 1"

    @staticmethod
    def _do_log(action):
        return f"WRITE_LOG {plain(action.line)}"
