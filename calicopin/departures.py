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
        self.unlisted, self.last_news_at = {}, -1e12

    def update(self, endpoints, now):
        """News that named these endpoints, each once: their destinations say which of them are listed now."""
        newly_left = []
        for endpoint in endpoints:
            if endpoint.ident in endpoint.dest.endpoints:
                self.unlisted.pop(endpoint.ident, None)
            elif endpoint.ident not in self.unlisted:
                endpoint.last_listed_at = max(endpoint.last_listed_at, self.last_news_at)
                newly_left.append(endpoint)
        self.append(newly_left)
        self.last_news_at = now

    def append(self, endpoints):
        """More that are not listed; none of them may be dated before those that stand here already."""
        for endpoint in sorted(endpoints, key=lambda endpoint: endpoint.last_listed_at):
            self.unlisted[endpoint.ident] = endpoint

    def overdue(self, now, span):
        """Those that were last listed longer ago than that, the longest first; no other one is looked at."""
        return list(takewhile(lambda endpoint: now - endpoint.last_listed_at > span, self.unlisted.values()))

    def renew(self, endpoint, now):
        """Dates one anew, as if it had been listed now."""
        endpoint.last_listed_at = now
        self.unlisted[endpoint.ident] = self.unlisted.pop(endpoint.ident)

    def forget(self, endpoint):
        """The endpoint is known no more."""
        del self.unlisted[endpoint.ident]

    def last_listed(self, endpoint):
        """The time of the last news at which it was listed."""
        return (
            endpoint.last_listed_at
            if endpoint.ident in self.unlisted
            else max(endpoint.last_listed_at, self.last_news_at)
        )
