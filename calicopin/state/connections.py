"""The connections to endpoints that are kept open for later calls, and the division of descriptors among
their uses.
"""

from dataclasses import dataclass
from typing import Any

from loguru import logger

from calicopin.connection_reuse import ReusePolicy, is_request_timeout


def close(connection, endpoint, why):
    """Closes a connection to an endpoint and logs the reason at DEBUG."""
    logger.debug(
        "connection to {endpoint} closed: {why}", event="connection.closed", endpoint=endpoint, why=why
    )
    connection.close()


class Budget:
    """Divides the file descriptors that the process may hold among calls, endpoints and clients."""

    # two of the loop, listener, standard streams, journal and its successor, discovery, notices, signals
    RESERVED = 16

    def __init__(self, descriptors, slots, admin=False):
        self.admin = max(4, min(16, descriptors // 16)) if admin else 0  # connections to the admin server
        available = max(2, descriptors - self.RESERVED - self.admin)
        self.calls = min(slots, max(1, available // 2))  # calls in flight at once
        self.endpoints = min(max(1, available // 2), 4 * self.calls)  # connections to endpoints, idle or not
        self.clients = max(1, min(descriptors // 3, available - self.endpoints))  # clients with a request
        # further clients: new, idle or being closed
        self.other_clients = available - self.endpoints - self.clients


@dataclass(slots=True)
class IdleConnection:
    """A connection that carries no call since `since` (ms); `destination` is None where it is unknown."""

    connection: Any
    since: float
    destination: int | None = None


class ConnectionPool:
    """A pool of connections to endpoints: at most `most`, in use or idle.

    Idle connections are kept by endpoint and address, since an address may pass to another endpoint. Of those
    that `reuse` lets carry another call, the one used last is taken first; the oldest is closed where room is
    needed.

    `trusted_idle_ms` is how long (ms) a connection may have been idle and still be used, at most
    `idle_limit`: an endpoint may close an idle connection while the next call is being written to it, and
    then it is unknown whether that call was executed. A new connection costs less than that.
    """

    MIN_TRUSTED_IDLE_MS = 10.0  # `trusted_idle_ms` is not reduced below this

    def __init__(self, most, idle_limit):
        self.most, self.idle_limit, self.idle, self.used, self.listed = most, idle_limit, {}, 0, None
        self.trusted_idle_ms, self.fastest_answer_ms, self.answered_unlisted = idle_limit, {}, set()
        self.reuse = ReusePolicy()

    @property
    def count(self):
        """The number of idle connections."""
        return sum(map(len, self.idle.values()))

    @staticmethod
    def key(place):
        """The key under which idle connections to an endpoint are kept."""
        return place.ident, place.address

    def is_usable(self, idle, endpoint, now):
        """Whether an idle connection may still be used, as far as the time since its last call allows."""
        if now - idle.since >= self.trusted_idle_ms or not self.reuse.may_keep(idle.destination, now):
            return False
        if idle.connection.open_without_data():
            return True
        if (data := idle.connection.pending_data()) and not is_request_timeout(data):
            self.unsolicited(idle.destination, endpoint, now)
        return False

    def unsolicited(self, destination, endpoint, now):
        """Notes that an endpoint sent data that no call had asked for."""
        period = self.reuse.unsolicited(destination, now)
        logger.log(
            "INFO" if period else "DEBUG",
            "{endpoint} sent data that no call had asked for; connections to destination {destination} carry "
            "one call each for {seconds:.0f} s",
            event="connection.unsolicited",
            endpoint=endpoint,
            destination=destination,
            seconds=period / 1000.0,
        )

    def take(self, place, now):
        """A usable idle connection; None where the caller has to wait for one that rests (`take_resting`) or
        to open a new one, for which room was made.
        """
        self.used += 1
        idle_connections = self.idle.get(self.key(place), [])
        for idle in reversed(list(idle_connections)):
            if not self.reuse.has_settled(now - idle.since):
                continue
            idle_connections.remove(idle)
            if self.is_usable(idle, place.ident, now):
                idle.connection.idle_ms = now - idle.since
                return idle.connection
            close(idle.connection, place.ident, "idle for too long, closed by it, or not trusted")
        if not idle_connections and self.used + self.count > self.most:
            self.close_oldest()
        return None

    def take_resting(self, place, latest):
        """The idle connection that was answered first of those that rest after an answer; None if there is
        none whose rest ends by `latest` (ms).

        The caller waits until `reuse.settled_at(idle.since)` and then has to ask `is_usable`.
        """
        idle_connections = self.idle.get(self.key(place))
        if not idle_connections or self.reuse.settled_at(idle_connections[0].since) > latest:
            return None
        return idle_connections.pop(0)

    def close_oldest(self):
        """Closes the connection that has been idle for the longest time, if there is one."""
        oldest_by_key = [(idle[0].since, key) for key, idle in self.idle.items() if idle]
        if oldest_by_key:
            _, oldest = min(oldest_by_key)
            connection = self.idle[oldest].pop(0).connection
            close(connection, oldest[0], "its place is needed for another endpoint")

    def keep(self, place, connection, now):
        """Returns a connection to the pool for later calls; closes it if its endpoint is no longer listed or
        its destination not trusted.
        """
        if self.listed is not None and self.key(place) not in self.listed:
            self.drop(connection, place.ident, "its endpoint is no longer listed")
            return
        if not self.reuse.may_keep(place.dest, now):
            self.drop(connection, place.ident, "its destination has sent data that no call had asked for")
            return
        self.used -= 1
        self.idle.setdefault(self.key(place), []).append(IdleConnection(connection, now, place.dest))

    def drop(self, connection, endpoint="", why="it cannot be used for another call"):
        """Removes a connection that was taken and is not to be used again, or that could not be opened."""
        self.used -= 1
        if connection:
            close(connection, endpoint, why)

    def close_idle(self, place):
        """Closes the idle connections to an endpoint that may accept only a few from all its callers."""
        for idle in self.idle.pop(self.key(place), ()):
            close(idle.connection, place.ident, "the endpoint may accept only a few connections")

    def answered(self, place, elapsed):
        """Records how long an answer took (`elapsed`, ms). The fastest answer of an endpoint tells which
        connections were already closed when a call was written to them.
        """
        key = self.key(place)
        self.fastest_answer_ms[key] = min(elapsed, self.fastest_answer_ms.get(key, elapsed))
        if self.listed is not None and key not in self.listed:
            self.answered_unlisted.add(key)

    def was_closed_before(self, place, connection, elapsed):
        """Whether a connection that broke under a call had been closed before it: it had been idle, and broke
        after a shorter time (`elapsed`, ms) than the endpoint's fastest answer. `trusted_idle_ms` is then
        reduced to half the time that it had been idle.
        """
        closed_while_idle = connection.idle_ms is not None and elapsed < self.fastest_answer_ms.get(
            self.key(place), 0.0
        )
        if closed_while_idle:
            self.trusted_idle_ms = max(
                self.MIN_TRUSTED_IDLE_MS, min(self.trusted_idle_ms, connection.idle_ms / 2.0)
            )
        return closed_while_idle

    def set_listed(self, places):
        """Sets the endpoints that are listed now and closes idle connections to all others."""
        places = list(places)
        self.listed = {self.key(place) for place in places}
        self.reuse.forget_unlisted({place.dest for place in places})
        for key in [key for key in self.idle if key not in self.listed]:
            for idle in self.idle.pop(key):
                close(idle.connection, key[0], "its endpoint is no longer listed")
        self.fastest_answer_ms = {
            key: elapsed for key, elapsed in self.fastest_answer_ms.items() if key in self.listed
        }
        self.answered_unlisted.clear()

    def update_listed(self, removed, added):
        """Updates the listed endpoints at a cost that depends on the number of changes only. `removed` holds
        the changed endpoints as they were before, `added` as they are now.
        """
        removed = {self.key(place) for place in removed}
        self.listed.difference_update(removed)
        self.listed.update(self.key(place) for place in added)
        for key in (removed | self.answered_unlisted) - self.listed:
            self.fastest_answer_ms.pop(key, None)
            for idle in self.idle.pop(key, ()):
                close(idle.connection, key[0], "its endpoint is no longer listed")
        self.answered_unlisted.clear()

    def sweep(self, now):
        """Closes connections that were idle for too long or that the endpoint closed, and doubles
        `trusted_idle_ms` up to the idle limit.
        """
        self.trusted_idle_ms = min(self.idle_limit, 2.0 * self.trusted_idle_ms)
        for key, idle_connections in list(self.idle.items()):
            usable = []
            for idle in idle_connections:
                if self.is_usable(idle, key[0], now):
                    usable.append(idle)
                else:
                    close(idle.connection, key[0], "idle for too long, closed by it, or not trusted")
            if usable:
                self.idle[key] = usable
            else:
                del self.idle[key]
