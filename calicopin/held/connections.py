"""The connections that are kept: idle ones to endpoints, and how many descriptors each use may hold."""


class Budget:
    """Shares the descriptors that the process may hold among calls and clients."""
    OWN = 16  # the loop, the listener, standard streams, the journal and its successor, discovery, notices, log

    def __init__(self, descriptors, slots):
        room = max(2, descriptors - self.OWN)
        self.calls = min(slots, max(1, room // 2))  # calls out at once
        self.idle = max(0, room // 2 - self.calls)  # kept beside them
        self.clients = max(1, room - self.calls - self.idle)


class Lines:
    """Idle connections by address; the one used last goes out first, the oldest is closed for want of room."""

    def __init__(self, most, idle_limit):
        self.most, self.idle_limit, self.idle, self.count = most, idle_limit, {}, 0

    def take(self, address, now):
        """An open one well clear of the idle limit, or None."""
        kept = self.idle.get(address, [])
        while kept:
            line, since = kept.pop()
            self.count -= 1
            if now - since < self.idle_limit and line.quiet():
                return line
            line.close()
        return None

    def keep(self, address, line, now):
        if self.count >= self.most:
            self.drop_oldest()
        if self.count >= self.most:
            line.close()
            return
        self.idle.setdefault(address, []).append((line, now))
        self.count += 1

    def drop_oldest(self):
        oldest = min((kept for kept in self.idle.values() if kept), key=lambda kept: kept[0][1], default=None)
        if oldest:
            oldest.pop(0)[0].close()
            self.count -= 1

    def sweep(self, now):
        """Closes what has stood idle too long or was closed by the other side."""
        for address, kept in list(self.idle.items()):
            stay = []
            for line, since in kept:
                if now - since < self.idle_limit and line.quiet():
                    stay.append((line, since))
                else:
                    line.close()
                    self.count -= 1
            if stay:
                self.idle[address] = stay
            else:
                del self.idle[address]
