"""How long a poll waits for an answer that may come late. No I/O; times are milliseconds."""

GROWTH_FACTOR = 4.0  # of the time-out, with each further call that got no answer
LATENESS_MARGIN = 1.5  # of the time-out over the lateness last seen
FORGETTING_FACTOR = 0.8  # of the time-out, with each answer that was less late
MAX_EXPONENT = 16  # beyond it the time-out has reached its maximum


class AnswerTimeout:
    """The time-out of an answer, beyond the time that the call asked the peer to wait.

    It grows with consecutive calls without an answer, since a peer that answers every call late would never
    be heard otherwise, and follows the lateness of the answers that come: else each call would begin again
    with the `least` time-out and be given up. It is never over `longest`.
    """

    def __init__(self, least, longest):
        self.least, self.longest, self.expected = least, longest, least
        self.missed = 0  # consecutive calls without an answer

    @property
    def current(self):
        """The time-out of the next answer. The first call after a missed answer gets no longer: most such
        peers are back or gone.
        """
        exponent = min(max(0, self.missed - 1), MAX_EXPONENT)
        return min(self.longest, self.expected * GROWTH_FACTOR**exponent)

    def miss(self):
        """A call got no answer."""
        self.missed += 1

    def answered(self, lateness=None):
        """A call was answered, `lateness` ms after it could have been; None where that is not known."""
        self.missed = 0
        if lateness is not None:
            lower_bound = max(self.least, FORGETTING_FACTOR * self.expected)
            self.expected = min(self.longest, max(lower_bound, LATENESS_MARGIN * lateness))
