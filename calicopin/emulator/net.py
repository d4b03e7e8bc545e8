"""The network: machines, connections with latency and bandwidth, partitions and resets.

A connection has two `End`s. Data sent on one is delivered in segments, in order, to the other. A segment that
meets a partition is retransmitted with a growing delay, as TCP does. Stand-ins are called back as data
arrives; a courier reads its end through `process.Socket`.
"""

from collections import deque

WINDOW_BYTES = 1 << 18  # bytes in flight and unread, at most
RETRANSMIT_MIN_MS, RETRANSMIT_MAX_MS = 200.0, 2000.0
SEGMENT_BYTES = 1460


class Machine:
    """A host with one address. While `up` is false it neither sends nor receives, and no connection to it is
    refused.
    """

    def __init__(self, address):
        self.address, self.up, self.boot_count, self.listeners, self.ends = address, True, 0, {}, {}


class Listener:
    """Accepts connections to one port. `on_connection(end)` returns whether there was room for it in the
    backlog; `handshake` is in ms.
    """

    def __init__(self, machine, on_connection, handshake=0.0):
        self.machine, self.on_connection, self.handshake = machine, on_connection, handshake


class Pipe:
    """One direction of a connection: segments in order, the first of them under way."""

    __slots__ = ("queue", "last_arrival", "retransmit_ms", "busy")

    def __init__(self):
        self.queue, self.last_arrival, self.retransmit_ms, self.busy = deque(), 0.0, RETRANSMIT_MIN_MS, False


class End:
    """One side of a connection.

    Callbacks, where set: `on_data(data, sent_at)`, `on_end(reset)`, `on_change()` (readable, writable or
    closed), `on_peer_closed()` (called at once, without latency; only for the referee's records).
    """

    def __init__(self, net, machine):
        self.net, self.machine, self.boot, self.peer = net, machine, machine.boot_count, None
        self.pipe, self.buffer, self.in_flight = Pipe(), bytearray(), 0
        self.fin = self.reset = self.closed = self.sending_ended = False
        self.connected, self.error = True, 0
        self.bytes_arrived = self.bytes_read = 0
        self.read_callbacks = deque()  # (bytes_read to reach, callback)
        self.on_data = self.on_end = self.on_change = self.on_peer_closed = None
        machine.ends[self] = True

    def consume(self, size):
        """Counts `size` bytes as read and calls the callbacks of messages that are now read whole."""
        self.bytes_read += size
        while self.read_callbacks and self.read_callbacks[0][0] <= self.bytes_read:
            self.read_callbacks.popleft()[1]()

    def send_window(self):
        """How many bytes may be sent now."""
        return WINDOW_BYTES - self.in_flight - len(self.peer.buffer) if self.peer else 0

    def send(self, data, on_read=None):
        """Sends bytes; `on_read` is called once the other side has read the last of them."""
        if not (self.sending_ended or self.closed or self.reset):
            self.in_flight += len(data)
            self.net.enqueue(self, bytes(data), on_read)

    def end_sending(self):
        """Ends this direction, as `shutdown(SHUT_WR)` does."""
        if not self.sending_ended and not self.closed:
            self.sending_ended = True
            self.net.enqueue(self, None)

    def close(self):
        """Closes as the kernel does: with a reset where bytes are unread."""
        if self.closed:
            return
        has_unread, self.closed = bool(self.buffer), True
        self.machine.ends.pop(self, None)
        if self.peer is not None:
            if self.peer.on_peer_closed:
                self.peer.on_peer_closed()
            if has_unread and not self.reset:
                self.net.enqueue(self, ConnectionResetError)
            elif not self.sending_ended:
                self.net.enqueue(self, None)
        self.sending_ended = True

    def abort(self):
        """Closes with a reset, as when the process was killed with bytes unread."""
        if not self.closed:
            self.closed = self.sending_ended = True
            self.machine.ends.pop(self, None)
            if self.peer is not None:
                if self.peer.on_peer_closed:
                    self.peer.on_peer_closed()
                self.net.enqueue(self, ConnectionResetError)

    def notify_change(self):
        """Tells the owner that readiness may have changed."""
        if self.on_change:
            self.on_change()


class Network:
    """All machines and the links between them.

    `latency` is the range of the delay of one segment in ms, `bandwidth` is in bytes a ms (0: unlimited),
    `split_odds` the odds that data arrives in two segments. `partitions` holds pairs of addresses that cannot
    reach each other.
    """

    def __init__(self, world, latency=(1.0, 3.0), bandwidth=0.0, split_odds=0.0):
        self.world, self.latency_range, self.bandwidth, self.split_odds = (
            world,
            latency,
            bandwidth,
            split_odds,
        )
        self.machines, self.partitions, self.rng = {}, {}, world.random_stream("network")
        self.latency_factor, self.far_latency_range, self.far_prefixes = 1.0, latency, ()

    def machine(self, address):
        """The machine of an address, made at its first use."""
        if address not in self.machines:
            self.machines[address] = Machine(address)
        return self.machines[address]

    def latency(self, end=None):
        """Draws a delay in ms; connections with machines under `far_prefixes` use `far_latency_range`."""
        low, high = self.latency_range
        if (
            end is not None
            and end.machine.address.startswith(self.far_prefixes)
            or (
                end is not None
                and end.peer is not None
                and end.peer.machine.address.startswith(self.far_prefixes)
            )
        ):
            low, high = self.far_latency_range
        return self.latency_factor * (low + (high - low) * self.rng.random())

    def reachable(self, machine, peer):
        """Whether segments pass between two machines."""
        return (
            machine.up
            and peer.up
            and not (self.partitions and (machine.address, peer.address) in self.partitions)
        )

    def set_partition(self, machine, peer, partitioned=True):
        """Cuts two machines off from each other, or connects them again."""
        for pair in ((machine.address, peer.address), (peer.address, machine.address)):
            if partitioned:
                self.partitions[pair] = True
            else:
                self.partitions.pop(pair, None)

    def take_down(self, machine):
        """Takes a machine down without notice to its peers; its connections and listeners are lost."""
        machine.up, machine.boot_count = False, machine.boot_count + 1
        ends, machine.ends = list(machine.ends), {}
        for end in ends:
            end.closed = True
            if end.peer is not None and end.peer.on_peer_closed:
                end.peer.on_peer_closed()
        machine.listeners.clear()

    # Connecting.

    def connect(self, machine, host, port, on_done):
        """Connects: `on_done(end)` once it is established, `on_done(errno)` if refused; neither while the
        host is unreachable.
        """
        end = End(self, machine)
        end.connected = False
        self.world.call_later(self.latency(), self._try_connect, end, host, port, on_done, RETRANSMIT_MIN_MS)
        return end

    def _try_connect(self, end, host, port, on_done, delay):
        if end.closed:
            return
        target = self.machines.get(host)
        if target is None or not self.reachable(end.machine, target):
            self.world.call_later(
                delay, self._try_connect, end, host, port, on_done, min(2.0 * delay, RETRANSMIT_MAX_MS)
            )
            return
        listener = target.listeners.get(port)
        if listener is None:
            self.world.call_later(self.latency(), self._connect_refused, end, on_done)
            return
        remote_end = End(self, target)
        remote_end.peer, end.peer = end, remote_end
        # with a full backlog the SYN is dropped and sent again
        if not listener.on_connection(remote_end):
            target.ends.pop(remote_end, None)
            end.peer = None
            self.world.call_later(
                delay, self._try_connect, end, host, port, on_done, min(2.0 * delay, RETRANSMIT_MAX_MS)
            )
            return
        self.world.call_later(self.latency(end) + listener.handshake, self._connected, end, on_done)

    def _connect_refused(self, end, on_done):
        if not end.closed:
            end.error = 111
            on_done(111)
            end.notify_change()

    def _connected(self, end, on_done):
        if not end.closed:
            end.connected = True
            on_done(end)
            end.notify_change()

    # Transmission.

    def enqueue(self, end, payload, on_read=None):
        """Sends `payload`: bytes, None for the end of sending, or ConnectionResetError."""
        pipe, world = end.pipe, self.world
        chunks = [payload]
        if (
            self.split_odds
            and isinstance(payload, bytes)
            and len(payload) > 1
            and self.rng.random() < self.split_odds
        ):
            split_at = self.rng.randrange(1, len(payload))
            chunks = [payload[:split_at], payload[split_at:]]
        for index, chunk in enumerate(chunks):
            size = len(chunk) if isinstance(chunk, bytes) else 0
            transmit_ms = size / self.bandwidth if self.bandwidth else 0.0
            pipe.last_arrival = max(pipe.last_arrival, world.now + self.latency(end)) + transmit_ms
            is_last = index == len(chunks) - 1
            pipe.queue.append((pipe.last_arrival, chunk, world.now, on_read if is_last else None))
        if not pipe.busy:
            pipe.busy = True
            world.call_at(pipe.queue[0][0], self._arrive, end)

    def _arrive(self, end):
        pipe, peer = end.pipe, end.peer
        if peer is None:
            pipe.queue.clear()
            pipe.busy = False
            return
        if end.machine.boot_count != end.boot:  # the sending machine was lost, and its segments with it
            pipe.queue.clear()
            return
        if not self.reachable(end.machine, peer.machine):
            self.world.call_later(pipe.retransmit_ms, self._arrive, end)
            pipe.retransmit_ms = min(2.0 * pipe.retransmit_ms, RETRANSMIT_MAX_MS)
            return
        pipe.retransmit_ms = RETRANSMIT_MIN_MS
        _, payload, sent_at, on_read = pipe.queue.popleft()
        self._deliver(end, peer, payload, sent_at, on_read)
        if pipe.queue:
            self.world.call_at(pipe.queue[0][0], self._arrive, end)
        else:
            pipe.busy = False

    def _deliver(self, end, peer, payload, sent_at, on_read):
        if isinstance(payload, bytes):
            end.in_flight -= len(payload)
            if peer.closed:
                if not end.closed:
                    self.world.call_later(self.latency(), self._receive_reset, end)
                return
            self.world.record_payload(payload)
            peer.bytes_arrived += len(payload)
            if on_read:
                peer.read_callbacks.append((peer.bytes_arrived, on_read))
            if peer.on_data:
                peer.on_data(payload, sent_at)
                peer.consume(len(payload))
            else:
                peer.buffer += payload
            peer.notify_change()
            end.notify_change()
        elif payload is None:
            if not peer.closed:
                peer.fin = True
                if peer.on_end:
                    peer.on_end(False)
                peer.notify_change()
        else:
            self._receive_reset(peer)

    def _receive_reset(self, end):
        """Handles a reset; by chance unread bytes are discarded with it."""
        if end.closed or end.reset:
            return
        end.reset = True
        if self.rng.random() < 0.5:
            end.buffer.clear()
            end.read_callbacks.clear()
        if end.on_end:
            end.on_end(True)
        end.notify_change()
