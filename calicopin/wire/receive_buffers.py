"""Which incomplete requests have to give way when the data received of all of them takes too much memory.

No I/O. Sizes are bytes.
"""


class ReceiveBuffers:
    """The sizes of what is buffered for each client, in the order in which their requests began."""

    def __init__(self, limit):
        self.limit, self.total, self.sizes = limit, 0, {}
        self.refused = 0  # requests that had to give way

    def grow(self, client, size):
        """Adds `size` bytes that were received of the client's current request."""
        self.sizes[client] = self.sizes.get(client, 0) + size
        self.total += size

    def release(self, client):
        """The request of the client has ended."""
        self.total -= self.sizes.pop(client, 0)

    @property
    def exhausted(self):
        """Whether more is buffered than the limit allows."""
        return self.total > self.limit

    def candidates(self, current):
        """The clients other than `current` with buffered data, the one whose request began first at the
        front: a request that is sent without a pause is complete long before it is the oldest.
        """
        return [client for client in self.sizes if client is not current]
