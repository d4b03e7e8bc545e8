"""When a courier asks for the list: what a whole fleet asks at once is bounded by each courier's share.

No I/O in it.
"""

import zlib
from itertools import count

AGAIN = 100.0  # a watch goes on where the next call comes within 200 ms
TOLD = 6000.0  # all that could be had counts as told so long after, whatever became of the calls for it
# of the longest time: with what a call may take it is the 6 s after which all counts as told, heard or not
FIRST_CALL_SHARE = 0.4


def longest_wait(ask_within):
    """Of a watch, where a courier that asks for the list counts as told `ask_within` after its last call."""
    return min(TOLD / 3.0, ask_within / 5.0)  # where it falls silent, what comes after it still fits


def longest_pause(wait, grace):
    """Until a call falls due, so that from one that failed, was refused or given up the next answer is
    heard within TOLD, if there is one: the pause, then connecting, the wait and the answer with `grace`
    each.
    """
    return TOLD - wait - 2.0 * grace


class Asking:
    """Guards a discovery that serves few calls at a time against all couriers together: each waits for its
    turn by chance, over a time that grows with the sender count and with each refusal. A refused call
    still costs the one who refuses it, so whatever makes it ask sooner keeps it from serving anybody. It
    hurts where just then an endpoint leaves: that is heard late. Where the list is `pushed`, an agent of
    this courier's own answers at no cost, and what it has counts as told from the first moment: it is
    asked at once, and again without a draw. `senders` is the told count, `most` the longest time in which
    one call falls due, `pause` a bound on that whatever the rest says, `seed` that of the draws;
    milliseconds.
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
        """The next draw, at least 0 and under 1."""
        return zlib.crc32(f"{self.seed}:list:{next(self.draws)}".encode()) / 2**32

    def draw_delay(self, factor, max_delay):
        """A draw from a time, in ms, that grows with the sender count and `times`, and is `most` and
        `pause` at most.
        """
        return self.chance() * min(max_delay, self.pause, AGAIN * self.senders * factor)

    def first(self):
        """Until the first call of a start: all may have started together."""
        return 0.0 if self.pushed else self.draw_delay(1.0, FIRST_CALL_SHARE * self.most)

    def answered(self):
        """The list came: the refusals before it no longer count."""
        self.refusals = 0

    def refused(self):
        """The call was turned away: the next is drawn from twice the time."""
        self.refusals += 1

    def silent(self):
        """It may be down and then told nobody anything, or at work on a line of calls: taken for the first
        by degrees.
        """
        self.refusals = max(0, self.refusals - 1)

    def again(self):
        """Until the next call."""
        return (
            self.draw_delay(2.0 ** min(self.refusals, 16), self.most)
            if self.refusals and not self.pushed
            else AGAIN
        )
