"""When a courier polls the list: random delays that bound the load of a whole fleet on discovery.

No I/O. Times are milliseconds.
"""

import zlib
from itertools import count

POLL_INTERVAL_MS = 100.0  # between two polls; discovery counts a poll as continued within 200 ms
TOLD = 6000.0  # after which the platform regards a courier as informed of a change, heard or not
# share of the longest delay: with the duration of a call, the first answer comes within `TOLD`
FIRST_CALL_SHARE = 0.4


def longest_wait(ask_within):
    """The longest wait of a poll if couriers count as informed `ask_within` ms after their last call."""
    # a third: a poll without an answer and the calls after it fit into `TOLD`
    return min(TOLD / 3.0, ask_within / 5.0)


def longest_pause(wait, grace):
    """The longest delay between a failed or refused call and the next one.

    The delay, connecting, the wait and the answer, with `grace` ms for connecting and for the answer, fit
    into `TOLD`.
    """
    return TOLD - wait - 2.0 * grace


class PollSchedule:
    """Backoff with jitter, which protects a discovery that serves few calls at a time from a whole fleet.

    Each call is delayed by a random time whose range grows with the number of senders and with each refusal.
    A refused call costs discovery work as well, so calling sooner would keep it from serving anyone. The
    price is that the leave of an endpoint in that time is heard late.

    With `pushed` an agent of this courier alone has the list: calls cost nothing and its content counts as
    known at once, so it is called without random delays. `senders` is the number of couriers, `most` the
    longest delay, `pause` a further upper bound of it, `seed` that of the random numbers.
    """

    def __init__(self, senders, most, seed, pushed=False, pause=float("inf")):
        self.senders, self.most, self.seed, self.draws, self.refusals, self.pause = (
            senders,
            most,
            seed,
            count(),
            0,
            pause,
        )
        self.pushed = pushed

    def chance(self):
        """The next random number, at least 0 and under 1."""
        return zlib.crc32(f"{self.seed}:list:{next(self.draws)}".encode()) / 2**32

    def draw_delay(self, factor, max_delay):
        """A random delay in ms; its range grows with the number of senders and `factor`, up to `max_delay`
        and `pause`.
        """
        return self.chance() * min(max_delay, self.pause, POLL_INTERVAL_MS * self.senders * factor)

    def first(self):
        """The delay of the first call after a start, since a whole fleet may start at once."""
        return 0.0 if self.pushed else self.draw_delay(1.0, FIRST_CALL_SHARE * self.most)

    def answered(self):
        """Notes an answer, which resets the backoff."""
        self.refusals = 0

    def refused(self):
        """Notes a refusal, which doubles the range of the next delay."""
        self.refusals += 1

    def silent(self):
        """Notes a call without an answer, which lowers the backoff by one step.

        Discovery may be busy with queued calls, or down, and then nobody was informed of anything; the longer
        the silence, the more likely it is down.
        """
        self.refusals = max(0, self.refusals - 1)

    def again(self):
        """The delay of the next call."""
        return (
            self.draw_delay(2.0 ** min(self.refusals, 16), self.most)
            if self.refusals and not self.pushed
            else POLL_INTERVAL_MS
        )
