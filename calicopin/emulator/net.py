"""The network: machines, connections with latency and bandwidth, and everything that may go wrong with them.

A connection has two `End`s. What is sent on one travels in pieces, in order, to the other; a piece that meets
a cut network is tried again as TCP does it, later each time. Stand-ins hear by callbacks at once; a courier's
end is read through `process.Socket`.
"""

from collections import deque

WINDOW = 1 << 18  # bytes under way and unread, at most
RETRY, LONGEST = 200.0, 2000.0  # of a piece that did not come through
PIECE = 1460


class Machine:
    """One address. `up` is false while it has vanished: nothing comes in or goes out, nothing is said."""

    def __init__(self, address):
        self.address, self.up, self.boots, self.listeners, self.ends = address, True, 0, {}, {}


class Listener:
    """Where connections to one port arrive; `met(end)` takes one, false where there is no room for it."""

    def __init__(self, machine, met, handshake=0.0):
        self.machine, self.met, self.handshake = machine, met, handshake


class Pipe:
    """One direction of a connection: pieces in order, the first of them on its way."""

    __slots__ = ("queue", "last", "wait", "busy")

    def __init__(self):
        self.queue, self.last, self.wait, self.busy = deque(), 0.0, RETRY, False


class End:
    """One side of a connection.

    Callbacks, where set: `on_data(data, sent_at)`, `on_end(reset)`, `on_change()` (readable, writable or
    over), `on_peer_closed()` (at once: what only the referee may see).
    """

    def __init__(self, net, machine):
        self.net, self.machine, self.boot, self.peer = net, machine, machine.boots, None
        self.pipe, self.buffer, self.under_way = Pipe(), bytearray(), 0
        self.fin = self.reset = self.closed = self.shut = False
        self.connected, self.error = True, 0
        self.arrived = self.read = 0  # bytes
        self.marks = deque()  # (bytes, what to call once they are read)
        self.on_data = self.on_end = self.on_change = self.on_peer_closed = None
        machine.ends[self] = True

    def took(self, size):
        """So many bytes were read."""
        self.read += size
        while self.marks and self.marks[0][0] <= self.read:
            self.marks.popleft()[1]()

    def room(self):
        return WINDOW - self.under_way - len(self.peer.buffer) if self.peer else 0

    def send(self, data, heard=None):
        """Puts bytes on their way; `heard` is called once the other side has read the last of them."""
        if not (self.shut or self.closed or self.reset):
            self.under_way += len(data)
            self.net.post(self, bytes(data), heard)

    def end_sending(self):
        if not self.shut and not self.closed:
            self.shut = True
            self.net.post(self, None)

    def close(self):
        """As the kernel closes: unread bytes turn the farewell into a reset."""
        if self.closed:
            return
        rude, self.closed = bool(self.buffer), True
        self.machine.ends.pop(self, None)
        if self.peer is not None:
            if self.peer.on_peer_closed:
                self.peer.on_peer_closed()
            if rude and not self.reset:
                self.net.post(self, ConnectionResetError)
            elif not self.shut:
                self.net.post(self, None)
        self.shut = True

    def abort(self):
        """A reset, as when the process died with bytes unread."""
        if not self.closed:
            self.closed = self.shut = True
            self.machine.ends.pop(self, None)
            if self.peer is not None:
                if self.peer.on_peer_closed:
                    self.peer.on_peer_closed()
                self.net.post(self, ConnectionResetError)

    def changed(self):
        if self.on_change:
            self.on_change()


class Network:
    """`latency(one, other)` draws the time of one piece in ms; `cuts` holds pairs of machines that cannot
    speak.
    """

    def __init__(self, world, latency=(1.0, 3.0), bandwidth=0.0, pieces=0.0):
        self.world, self.span, self.bandwidth, self.pieces = world, latency, bandwidth, pieces
        self.machines, self.cuts, self.rng = {}, {}, world.chance("network")
        self.slower, self.far, self.outer = 1.0, latency, ()

    def machine(self, address):
        if address not in self.machines:
            self.machines[address] = Machine(address)
        return self.machines[address]

    def latency(self, end=None):
        """Between couriers and the machines of `outer` it is drawn from another span, `far`."""
        low, high = self.span
        if (
            end is not None
            and end.machine.address.startswith(self.outer)
            or (end is not None and end.peer is not None and end.peer.machine.address.startswith(self.outer))
        ):
            low, high = self.far
        return self.slower * (low + (high - low) * self.rng.random())

    def through(self, one, other):
        return one.up and other.up and not (self.cuts and (one.address, other.address) in self.cuts)

    def cut(self, one, other, apart=True):
        for pair in ((one.address, other.address), (other.address, one.address)):
            if apart:
                self.cuts[pair] = True
            else:
                self.cuts.pop(pair, None)

    def vanish(self, machine):
        """Nothing is said. What lived on it is gone for good."""
        machine.up, machine.boots = False, machine.boots + 1
        ends, machine.ends = list(machine.ends), {}
        for end in ends:
            end.closed = True
            if end.peer is not None and end.peer.on_peer_closed:
                end.peer.on_peer_closed()
        machine.listeners.clear()

    # Opening.

    def connect(self, machine, host, port, done):
        """`done(end)` once it is up, or `done(errno)`; neither where nothing is ever heard."""
        end = End(self, machine)
        end.connected = False
        self.world.after(self.latency(), self._knock, end, host, port, done, RETRY)
        return end

    def _knock(self, end, host, port, done, wait):
        if end.closed:
            return
        other = self.machines.get(host)
        if other is None or not self.through(end.machine, other):
            self.world.after(wait, self._knock, end, host, port, done, min(2.0 * wait, LONGEST))
            return
        listener = other.listeners.get(port)
        if listener is None:
            self.world.after(self.latency(), self._failed, end, done)
            return
        far = End(self, other)
        far.peer, end.peer = end, far
        if not listener.met(far):  # no room in the backlog: the first piece is lost and comes again
            other.ends.pop(far, None)
            end.peer = None
            self.world.after(wait, self._knock, end, host, port, done, min(2.0 * wait, LONGEST))
            return
        self.world.after(self.latency(end) + listener.handshake, self._up, end, done)

    def _failed(self, end, done):
        if not end.closed:
            end.error = 111
            done(111)
            end.changed()

    def _up(self, end, done):
        if not end.closed:
            end.connected = True
            done(end)
            end.changed()

    # Carrying.

    def post(self, end, what, heard=None):
        """`what` is bytes, None for the end of sending, or ConnectionResetError. Pieces are cut by chance."""
        pipe, world = end.pipe, self.world
        parts = [what]
        if self.pieces and isinstance(what, bytes) and len(what) > 1 and self.rng.random() < self.pieces:
            at = self.rng.randrange(1, len(what))
            parts = [what[:at], what[at:]]
        for number, part in enumerate(parts):
            size = len(part) if isinstance(part, bytes) else 0
            took = size / self.bandwidth if self.bandwidth else 0.0
            pipe.last = max(pipe.last, world.now + self.latency(end)) + took
            last = number == len(parts) - 1
            pipe.queue.append((pipe.last, part, world.now, heard if last else None))
        if not pipe.busy:
            pipe.busy = True
            world.at(pipe.queue[0][0], self._arrive, end)

    def _arrive(self, end):
        pipe, peer = end.pipe, end.peer
        if peer is None:
            pipe.queue.clear()
            pipe.busy = False
            return
        if end.machine.boots != end.boot:  # it went with its machine
            pipe.queue.clear()
            return
        if not self.through(end.machine, peer.machine):
            self.world.after(pipe.wait, self._arrive, end)
            pipe.wait = min(2.0 * pipe.wait, LONGEST)
            return
        pipe.wait = RETRY
        _, what, sent, heard = pipe.queue.popleft()
        self._hand_over(end, peer, what, sent, heard)
        if pipe.queue:
            self.world.at(pipe.queue[0][0], self._arrive, end)
        else:
            pipe.busy = False

    def _hand_over(self, end, peer, what, sent, heard):
        if isinstance(what, bytes):
            end.under_way -= len(what)
            if peer.closed:  # nobody reads it any more
                if not end.closed:
                    self.world.after(self.latency(), self._struck, end)
                return
            self.world.carry(what)
            peer.arrived += len(what)
            if heard:
                peer.marks.append((peer.arrived, heard))
            if peer.on_data:
                peer.on_data(what, sent)
                peer.took(len(what))
            else:
                peer.buffer += what
            peer.changed()
            end.changed()
        elif what is None:
            if not peer.closed:
                peer.fin = True
                if peer.on_end:
                    peer.on_end(False)
                peer.changed()
        else:
            self._struck(peer)

    def _struck(self, end):
        """A reset arrives; by chance it takes with it what was not read yet."""
        if end.closed or end.reset:
            return
        end.reset = True
        if self.rng.random() < 0.5:
            end.buffer.clear()
            end.marks.clear()
        if end.on_end:
            end.on_end(True)
        end.changed()
