"""A small stand for the courier: builds one, feeds it events, keeps what it did."""
from calicopin.brain import Courier
from calicopin.interface import (Entry, FailBack, How, Listed, Outcome, Partner, Product, Repeat, Submit,
                                 Taken, Wake, Woken)

PRODUCT = Product(Repeat.REFERENCED, sla=4000.0, validity=24000.0, revenue=1.0, late_revenue=0.3,
                  memory=15000.0)


class Stand:
    """One courier with its clock; destination 0 has endpoints 0 and 1 unless told otherwise."""

    def __init__(self, products=(PRODUCT,), entries=None, **terms):
        told = dict(seed=7, number=0, senders=2, tick=5.0, slots=40, room=200, tries=8,
                    products=list(products), partners=[Partner()],
                    fail_back=FailBack(0.2, 10000.0, 2.0, 3000.0))
        self.courier = Courier(**(told | terms))
        self.now, self.wake, self.done, self.next = 0.0, None, [], 0
        self.step([Listed(entries or [Entry(0, 0), Entry(1, 0)], whole=True)])

    def step(self, events=(), after=0.0):
        """Moves the clock, wakes the courier where it asked for it on the way, and hands the events over."""
        until, out = self.now + after, []
        while self.wake and self.wake[0] <= until:
            out += self.hand(max(self.wake[0], self.now), self.woken(until))
        self.now = until
        return out + (self.hand(until, list(events)) if events else [])

    def woken(self, now):
        """The wake-up, once it is due."""
        if not self.wake or self.wake[0] > now:
            return []
        token, self.wake = self.wake[1], None
        return [Woken(token)]

    def hand(self, now, events):
        """One batch."""
        self.now = now
        out = self.courier.handle(now, events)
        for action in out:
            if isinstance(action, Wake):
                self.wake = (now + action.after, action.token)
        self.done += out
        return out

    def take(self, number=1, dest=0, product=0, validity=24000.0, key=None):
        events = [Taken(self.next + i, dest, product, self.now + validity, key) for i in range(number)]
        self.next += number
        return self.step(events)

    def outcome(self, submit, how=How.DELIVERED, wait=0.0, elapsed=200.0, ended=None, limit=None, left=None):
        ended = how == How.DELIVERED if ended is None else ended
        return self.step([Outcome(submit.text, submit.endpoint, how, wait, elapsed, ended, left, limit)])


def submits(actions):
    return [action for action in actions if isinstance(action, Submit)]
