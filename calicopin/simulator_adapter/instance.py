"""One courier driven by the simulator: translates between wire messages and events and actions."""

from calicopin.deployment_settings import (
    Indices,
    courier,
    lists_agreed_rates,
    load_columns,
    milliseconds,
)
from calicopin.interface import Entry, How, Listed, ListFailed, Outcome, Taken, Withdrawn, Woken
from calicopin.simulator_adapter.codec import WireError, single_line, wire_seconds

ENDPOINT_READY, LIST_FAILED, WHOLE_LIST = 3, 2, (3, 4)


class Instance:
    """Translates wire messages into events of one courier, and its actions into wire lines."""

    def __init__(self, seed, settings, number):
        try:
            self.courier = courier(seed, settings)
        except (KeyError, TypeError, ValueError, IndexError) as fault:
            raise WireError(f"line {number}: HELLO: missing or invalid setting: {fault}") from None
        self.load_columns = load_columns(settings)
        self.has_agreed_rates = lists_agreed_rates(settings)
        self.product_count = len(settings["grades"])
        self.dests, self.endpoints = Indices(), Indices()
        self.texts, self.handle_of, self.submits_out, self.ended, self.next_number = {}, {}, {}, set(), 0

    def read(self, number, name, values, pages):
        """Converts a wire message into an event of the courier, or None if the courier ignores it."""
        reader = getattr(self, "_" + name.lower(), None)
        return reader(number, values, pages) if reader else None

    def _accept(self, number, values, _):
        handle, dest, customer, _, key, valid_until, product, _ = values
        if product >= self.product_count:
            raise WireError(f"line {number}: ACCEPT names class {product} of {self.product_count}")
        text, self.next_number = self.next_number, self.next_number + 1
        self.texts[handle], self.handle_of[text], self.submits_out[text] = text, handle, 0
        return Taken(text, self.dests(dest), product, valid_until * 1000.0, key, customer or 0)

    def _verdict(self, number, values, _):
        handle, _, advised_wait, ended, endpoint, outcome, elapsed, load_values = values
        if outcome not in How._value2member_map_:
            raise WireError(f"line {number}: VERDICT has the unknown outcome {outcome}")
        text = self.texts.get(handle)
        if text is None:
            return None
        self.submits_out[text] -= 1
        load = dict(zip(self.load_columns, load_values, strict=False)) if load_values else {}
        wait = advised_wait if outcome == How.FULL and advised_wait else 0.0
        event = Outcome(
            text,
            self.endpoints(endpoint),
            How(outcome),
            wait,
            milliseconds(elapsed),
            ended,
            load.get("x0"),
            load.get("x1"),
        )
        if ended:
            self.ended.add(text)
        self._forget_if_done(text)
        return event

    def _aborted(self, _, values, __):
        text = self.texts.get(values[0])
        if text is None:
            return None
        self.ended.add(text)
        self._forget_if_done(text)
        return Withdrawn(text)

    def _forget_if_done(self, text):
        """Forgets the ids of a text once it has ended and none of its submits is in progress."""
        if text in self.ended and self.submits_out[text] <= 0:
            self.ended.discard(text)
            del self.submits_out[text], self.texts[self.handle_of.pop(text)]

    def _peers_known(self, number, values, pages):
        result, _, page = values
        if result == LIST_FAILED:
            return ListFailed()
        if page not in pages:
            raise WireError(f"line {number}: PEERS_KNOWN names page {page}, which was not sent")
        return Listed(
            [
                Entry(
                    self.endpoints(endpoint),
                    self.dests(dest),
                    kind or 0,
                    zone or 0,
                    state == ENDPOINT_READY,
                    rate if self.has_agreed_rates else None,
                )
                for state, rate, _, dest, zone, kind, endpoint in pages[page]
            ],
            result in WHOLE_LIST,
        )

    def _bell(self, _, values, __):
        return Woken(values[0])

    def act(self, now, events):
        """Passes a batch of events to the courier at `now` (ms); returns its actions as wire lines."""
        lines = []
        for action in self.courier.handle(now, events):
            writer = getattr(self, "_do_" + type(action).__name__.lower())
            lines.append(writer(action))
        for fault in self.courier.faults:
            raise fault
        return lines

    def _do_submit(self, action):
        self.submits_out[action.text] += 1
        return (
            f"HAND_OFF {self.handle_of[action.text]} {self.endpoints.ident[action.endpoint]} "
            f"{wire_seconds(action.timeout)}"
        )

    def _end_text(self, text):
        handle = self.handle_of[text]
        self.ended.add(text)
        self._forget_if_done(text)
        return handle

    def _do_nack(self, action):
        stay_away = wire_seconds(action.stay_away) if action.stay_away > 0.0 else "-"
        return f"REJECT {self._end_text(action.text)} {stay_away}"

    def _do_undeliverable(self, action):
        return f"SURRENDER {self._end_text(action.text)}"

    @staticmethod
    def _do_wake(action):
        return f"NOTIFY_ME {wire_seconds(action.after)} {action.token}"

    def _do_close(self, action):
        return f"DROP_CONNS {self.endpoints.ident[action.endpoint]}"

    @staticmethod
    def _do_watch(_):
        return "OBSERVE 1"

    @staticmethod
    def _do_log(action):
        return f"WRITE_LOG {single_line(action.line)}"
