"""Which endpoints have left the list, and when: a change of the list costs by what it names, not by what is
known.

It decides nothing and has no I/O. Times are float milliseconds.
"""

from itertools import takewhile


class Departures:
    """Endpoints that are known and not listed, ordered by `seen`, the time of the last news at which they
    still were.

    `seen` of an endpoint that is listed is not kept up with each piece of news: `listed_at`, the time of the
    last one,
    stands for all of them.
    """

    def __init__(self):
        self.left, self.listed_at = {}, -1e12

    def note(self, endpoints, now):
        """News that named these endpoints, each once: their destinations say which of them are listed now."""
        newly_left = []
        for endpoint in endpoints:
            if endpoint.ident in endpoint.dest.endpoints:
                self.left.pop(endpoint.ident, None)
            elif endpoint.ident not in self.left:
                endpoint.seen = max(endpoint.seen, self.listed_at)
                newly_left.append(endpoint)
        self.append(newly_left)
        self.listed_at = now

    def append(self, endpoints):
        """More that are not listed; none of them may be dated before those that stand here already."""
        for endpoint in sorted(endpoints, key=lambda endpoint: endpoint.seen):
            self.left[endpoint.ident] = endpoint

    def overdue(self, now, span):
        """Those that were last listed longer ago than that, the longest first; no other one is looked at."""
        return list(takewhile(lambda endpoint: now - endpoint.seen > span, self.left.values()))

    def keep(self, endpoint, now):
        """Dates one anew, as if it had been listed now."""
        endpoint.seen = now
        self.left[endpoint.ident] = self.left.pop(endpoint.ident)

    def forget(self, endpoint):
        """The endpoint is known no more."""
        del self.left[endpoint.ident]

    def last_listed(self, endpoint):
        """The time of the last news at which it was listed."""
        return endpoint.seen if endpoint.ident in self.left else max(endpoint.seen, self.listed_at)
