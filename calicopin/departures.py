"""Which endpoints have left the list, and when. The cost of a change of the list depends on the endpoints
that it names, not on those that are known.

It decides nothing and has no I/O. Times are float milliseconds.
"""

from itertools import takewhile


class Departures:
    """Known endpoints that are not listed, ordered by `last_listed_at`, the time of the last change of the
    list at which they still were.

    The `last_listed_at` of a listed endpoint is not updated with each change: `last_change_at`, the time of
    the last one, stands for all of them.
    """

    def __init__(self):
        self.unlisted, self.last_change_at = {}, -1e12

    def update(self, endpoints, now):
        """A change of the list named these endpoints, each once; their destinations know which are listed
        now.
        """
        newly_left = []
        for endpoint in endpoints:
            if endpoint.ident in endpoint.dest.endpoints:
                self.unlisted.pop(endpoint.ident, None)
            elif endpoint.ident not in self.unlisted:
                endpoint.last_listed_at = max(endpoint.last_listed_at, self.last_change_at)
                newly_left.append(endpoint)
        self.append(newly_left)
        self.last_change_at = now

    def append(self, endpoints):
        """Adds endpoints that are not listed; none may have left earlier than those already present."""
        for endpoint in sorted(endpoints, key=lambda endpoint: endpoint.last_listed_at):
            self.unlisted[endpoint.ident] = endpoint

    def overdue(self, now, span):
        """Those last listed more than `span` ms ago, the earliest first. Others are not looked at."""
        return list(takewhile(lambda endpoint: now - endpoint.last_listed_at > span, self.unlisted.values()))

    def renew(self, endpoint, now):
        """Dates an endpoint as if it had been listed now."""
        endpoint.last_listed_at = now
        self.unlisted[endpoint.ident] = self.unlisted.pop(endpoint.ident)

    def forget(self, endpoint):
        """Removes an endpoint."""
        del self.unlisted[endpoint.ident]

    def last_listed(self, endpoint):
        """The time (ms) of the last change of the list at which the endpoint was listed."""
        return (
            endpoint.last_listed_at
            if endpoint.ident in self.unlisted
            else max(endpoint.last_listed_at, self.last_change_at)
        )
