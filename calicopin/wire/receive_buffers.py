"""Which incomplete requests have to give way when the data received of all of them takes too much memory.

No I/O. Sizes are bytes.
"""

SIZE_STEP_BYTES = 4096


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

    def next_to_refuse(self, may_give_way):
        """The client whose request gives way; None if there is none.

        Of those that `may_give_way` allows it is the one with most data, in steps of `SIZE_STEP_BYTES`, and
        of equal ones the one that began first. A small request that is just being sent stays, and so does a
        large one that is sent without a pause.
        """
        candidates = filter(may_give_way, self.sizes)
        return max(candidates, key=lambda client: self.sizes[client] // SIZE_STEP_BYTES, default=None)
