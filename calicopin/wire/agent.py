"""What the watch and the notices share: one lasting connection to the platform's agent, whose address may
change.
"""

from calicopin.wire.http import open_connection


class Agent:
    """`talk` is the coroutine that must not end; it begins on a new connection, also after a fault."""

    def __init__(self, loop, address):
        self.loop, self.address, self.line = loop, address, None
        self.task = loop.keep(self.talk)

    def move(self, address):
        """Goes on at another address, from a new connection."""
        self.retire()
        self.address, self.task = address, self.loop.keep(self.talk)

    def retire(self):
        """It talks no more: another process has taken its place, or a new address is to."""
        self.loop.cancel(self.task)
        self.hang_up()

    def hang_up(self):
        """Closes the connection, if there is one."""
        line, self.line = self.line, None
        if line:
            line.close()

    def connect(self, until):
        """The connection, a new one where there is none; None where it did not come up."""
        if self.line is None:
            self.line = (yield from open_connection(self.loop, self.address, until)) or None
        return self.line
