"""Base class of clients that keep one connection to an agent, whose address may change."""

from calicopin.wire.http import open_connection


class PersistentClient:
    """A persistent connection, driven by the coroutine `run`, which is restarted after an exception.

    `run` has to begin with `close_connection`, so that it continues on a new connection.
    """

    def __init__(self, loop, address):
        self.loop, self.address, self.connection = loop, address, None
        self.task = loop.spawn_restarting(self.run)

    def change_address(self, address):
        """Continues at another address on a new connection."""
        self.stop()
        self.address, self.task = address, self.loop.spawn_restarting(self.run)

    def stop(self):
        """Stops the coroutine and closes the connection."""
        self.loop.cancel(self.task)
        self.close_connection()

    def close_connection(self):
        """Closes the connection, if there is one."""
        connection, self.connection = self.connection, None
        if connection:
            connection.close()

    def connect(self, until):
        """The open connection or a new one; None if it could not be opened by `until` (ms).

        A connection on which the agent has sent something unasked, or which it closed, is not used again.
        """
        if self.connection is not None and self.connection.has_extra_data():
            self.close_connection()
        if self.connection is None:
            self.connection = (yield from open_connection(self.loop, self.address, until)) or None
        return self.connection
