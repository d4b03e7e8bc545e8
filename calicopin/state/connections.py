"""The connections that are kept: idle ones to endpoints, and how many descriptors each use may hold."""

from loguru import logger


def close(line, endpoint, why):
    """Closes a connection to an endpoint, with the reason in the log (DEBUG)."""
    logger.debug(
        "connection to {endpoint} closed: {why}", event="connection.closed", endpoint=endpoint, why=why
    )
    line.close()


class Budget:
    """Shares the descriptors that the process may hold among calls and clients."""

    OWN = 16  # loop, listener, standard streams, journal and its successor, discovery, notices, signals

    def __init__(self, descriptors, slots, admin=False):
        self.admin = (
            max(4, min(16, descriptors // 16)) if admin else 0
        )  # callers at the admin address, and its listener
        room = max(2, descriptors - self.OWN - self.admin)
        self.calls = min(slots, max(1, room // 2))  # calls out at once
        self.endpoints = min(
            max(1, room // 2), 4 * self.calls
        )  # connections to endpoints, idle ones among them
        self.clients = max(1, min(descriptors // 3, room - self.endpoints))  # clients with requests
        self.porch = room - self.endpoints - self.clients  # more of them: new, idle, or being shown out


class Lines:
    """Connections to endpoints, `most` with those in use.

    Idle ones lie by endpoint and address, since an address may pass to another endpoint; the one used last is
    taken first, the oldest makes room.

    `trust` is how long one may stand idle and still be believed in: where idle ones turn out to be gone under
    the next call, a new one is cheaper than a call that may have run.
    """

    LEAST = 10.0  # a connection used just now is believed in

    def __init__(self, most, idle_limit):
        self.most, self.idle_limit, self.idle, self.used, self.listed = most, idle_limit, {}, 0, None
        self.trust, self.fastest, self.strays = idle_limit, {}, set()

    @property
    def count(self):
        """How many are idle."""
        return sum(map(len, self.idle.values()))

    @staticmethod
    def shelf(place):
        """The key under which idle connections to an endpoint are kept."""
        return place.ident, place.address

    def good(self, line, since, now):
        """Whether an idle one may still serve."""
        return now - since < self.trust and line.quiet()

    def take(self, place, now):
        """An idle one well clear of the idle limit; None where a new one is to be opened: it has room."""
        self.used += 1
        kept = self.idle.get(self.shelf(place), [])
        while kept:
            line, since = kept.pop()
            if self.good(line, since, now):
                line.stood = now - since
                return line
            close(line, place.ident, "idle too long, or ended by the endpoint")
        if self.used + self.count > self.most:
            shelves = [(kept[0][1], shelf) for shelf, kept in self.idle.items() if kept]
            if shelves:
                _, oldest = min(shelves)
                close(self.idle[oldest].pop(0)[0], oldest[0], "its room is needed")
        return None

    def keep(self, place, line, now):
        """One that was taken may serve again, unless its endpoint has left."""
        if self.listed is not None and self.shelf(place) not in self.listed:
            self.drop(line, place.ident, "its endpoint has left")
            return
        self.used -= 1
        self.idle.setdefault(self.shelf(place), []).append((line, now))

    def drop(self, line, endpoint="", why="it has served its last call"):
        """One that was taken has served its last, or never came up."""
        self.used -= 1
        if line:
            close(line, endpoint, why)

    def give_back(self, place):
        """Closes what stands idle to an endpoint: others may be waiting for its room."""
        for line, _ in self.idle.pop(self.shelf(place), ()):
            close(line, place.ident, "given back")

    def answered(self, place, elapsed):
        """Notes how long an answer took, in ms: the fastest of an endpoint tells what broke before its
        call.
        """
        shelf = self.shelf(place)
        self.fastest[shelf] = min(elapsed, self.fastest.get(shelf, elapsed))
        if self.listed is not None and shelf not in self.listed:
            self.strays.add(shelf)

    def gone(self, place, line, elapsed):
        """Whether a line that broke under a call was gone before it: it had stood idle, and broke sooner
        than any answer of this endpoint ever came. The next idle ones are believed in half as long.
        """
        gone = line.stood is not None and elapsed < self.fastest.get(self.shelf(place), 0.0)
        if gone:
            self.trust = max(self.LEAST, min(self.trust, line.stood / 2.0))
        return gone

    def list(self, places):
        """The endpoints as they are listed now; idle connections to any other are closed."""
        self.listed = {self.shelf(place) for place in places}
        for shelf in [shelf for shelf in self.idle if shelf not in self.listed]:
            for line, _ in self.idle.pop(shelf):
                close(line, shelf[0], "its endpoint has left")
        self.fastest = {shelf: best for shelf, best in self.fastest.items() if shelf in self.listed}
        self.strays.clear()

    def change(self, gone, come):
        """The same where the list changed in some places only: it costs by them. `gone` holds them as they
        were before, `come` as they are."""
        gone = {self.shelf(place) for place in gone}
        self.listed.difference_update(gone)
        self.listed.update(self.shelf(place) for place in come)
        for shelf in (gone | self.strays) - self.listed:
            self.fastest.pop(shelf, None)
            for line, _ in self.idle.pop(shelf, ()):
                close(line, shelf[0], "its endpoint has left")
        self.strays.clear()

    def sweep(self, now):
        """Closes what has stood idle too long or was closed by the other side; trust comes back with time."""
        self.trust = min(self.idle_limit, 2.0 * self.trust)
        for shelf, kept in list(self.idle.items()):
            stay = []
            for line, since in kept:
                if self.good(line, since, now):
                    stay.append((line, since))
                else:
                    close(line, shelf[0], "idle too long, or ended by the endpoint")
            if stay:
                self.idle[shelf] = stay
            else:
                del self.idle[shelf]
