"""Base class of clients that keep one connection to an agent, whose address may change."""

from calicopin.wire.http import open_connection


class Agent:
    """A persistent connection, driven by the coroutine `talk`, which is restarted after an exception.

    `talk` has to begin with `hang_up`, so that it continues on a new connection.
    """

    def __init__(self, loop, address):
        self.loop, self.address, self.connection = loop, address, None
        self.task = loop.spawn_restarting(self.talk)

    def move(self, address):
        """Continues at another address on a new connection."""
        self.retire()
        self.address, self.task = address, self.loop.spawn_restarting(self.talk)

    def retire(self):
        """Stops the coroutine and closes the connection."""
        self.loop.cancel(self.task)
        self.hang_up()

    def hang_up(self):
        """Closes the connection, if there is one."""
        connection, self.connection = self.connection, None
        if connection:
            connection.close()

    def connect(self, until):
        """The open connection or a new one; None if it could not be opened by `until` (ms)."""
        if self.connection is None:
            self.connection = (yield from open_connection(self.loop, self.address, until)) or None
        return self.connection
