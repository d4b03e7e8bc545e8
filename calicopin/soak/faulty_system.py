"""System calls that fail for a while, in the ways that Linux documents, and a wall clock that is stepped.

It replaces `System` in a courier process; the courier's other code is the same as in production.
"""

import errno
import random
import socket
import time
from collections.abc import Iterable
from dataclasses import dataclass

from calicopin.system import System
from calicopin.system_errors import TRANSIENT_ERRORS


@dataclass(frozen=True, slots=True)
class Fault:
    """From `begin` to `end` (s, monotonic) a share of the calls of one kind fails.

    `error` is the name of an errno, or `short`: only a part of the data is transferred. For `wall`, the clock
    is off by `step` seconds.

    Kinds: accept, socket, connect, send, recv, epoll_ctl, read, write, cut, sync, create, replace, wall.
    """

    call: str
    begin: float
    end: float
    share: float = 1.0
    error: str = ""
    step: float = 0.0


def parse_faults(values: Iterable[dict]) -> list[Fault]:
    """The faults from JSON objects; raises TypeError for a missing or unknown key."""
    return [Fault(**value) for value in values]


class FaultInjector:
    """Decides for each system call whether it fails, with a random generator of its own."""

    def __init__(self, faults: list[Fault], seed: int):
        self.faults, self.rng = faults, random.Random(seed)

    def find_active(self, call: str) -> Fault | None:
        """The fault that affects this call, or None."""
        now = time.monotonic()
        for fault in self.faults:
            if fault.call == call and fault.begin <= now < fault.end and self.rng.random() < fault.share:
                return fault
        return None

    def inject(self, call: str, breakable: bool = True) -> bool:
        """Raises the OSError of an active fault; returns whether the call is to be a short one.

        If not `breakable`, only transient errors are raised.
        """
        fault = self.find_active(call)
        if fault is None:
            return False
        if fault.error == "short":
            return True
        code = getattr(errno, fault.error)
        if not breakable and code not in TRANSIENT_ERRORS:
            return False
        raise OSError(code, f"{fault.error} (injected by the soak)")


class FaultySocket(socket.socket):
    """A socket whose calls may fail; `injector` has to be set after it is created.

    Connections accepted from clients are not `breakable`, since the clients are alive and wait for their
    answers: only transient errors are raised on them.
    """

    injector: FaultInjector
    breakable = True

    def accept(self):
        """Accepts a connection, or raises the active fault."""
        self.injector.inject("accept")
        descriptor, address = self._accept()
        accepted = FaultySocket(self.family, self.type, self.proto, fileno=descriptor)
        accepted.injector, accepted.breakable = self.injector, False
        return accepted, address

    def connect(self, address):
        """Connects, or raises the active fault."""
        self.injector.inject("connect")
        return super().connect(address)

    def send(self, data, *flags):
        """Sends the data or only its first byte, or raises the active fault."""
        short = self.injector.inject("send", self.breakable)
        return super().send(data[:1] if short else data, *flags)

    def recv(self, size, *flags):
        """Receives up to `size` bytes or one byte, or raises the active fault.

        Calls with flags (MSG_PEEK) are not affected.
        """
        if flags:
            return super().recv(size, *flags)
        return super().recv(1 if self.injector.inject("recv", self.breakable) else size)


class FaultyPoller:
    """An epoll that may fail to register or modify a descriptor."""

    def __init__(self, injector: FaultInjector):
        self.injector, self.poller = injector, System.poller()

    def register(self, descriptor, mask):
        """Registers the descriptor, or raises the active fault."""
        self.injector.inject("epoll_ctl")
        self.poller.register(descriptor, mask)

    def modify(self, descriptor, mask):
        """Modifies the registration, or raises the active fault."""
        self.injector.inject("epoll_ctl")
        self.poller.modify(descriptor, mask)

    def unregister(self, descriptor):
        """Unregisters the descriptor."""
        self.poller.unregister(descriptor)

    def poll(self, seconds):
        """Polls for up to so many seconds."""
        return self.poller.poll(seconds)


class FaultySystem(System):
    """The operating system with injected faults."""

    def __init__(self, injector: FaultInjector):
        self.injector = injector

    def _wrap_socket(self, plain: socket.socket) -> FaultySocket:
        faulty = FaultySocket(plain.family, plain.type, plain.proto, fileno=plain.detach())
        faulty.setblocking(False)
        faulty.injector = self.injector
        return faulty

    def wall_clock_ms(self):
        """Unix time in ms, stepped while such a fault is active."""
        fault = self.injector.find_active("wall")
        return System.wall_clock_ms() + (fault.step * 1000.0 if fault else 0.0)

    def listen(self, host, port):
        """A listening socket on which accept may fail."""
        return self._wrap_socket(System.listen(host, port))

    def create_socket(self):
        """A socket for one connection, whose calls may fail; raises the active fault."""
        self.injector.inject("socket")
        return self._wrap_socket(System.create_socket())

    def poller(self):
        """An epoll whose calls may fail."""
        return FaultyPoller(self.injector)

    def read(self, path):
        """A file's contents, or raises the active fault."""
        self.injector.inject("read")
        return System.read(path)

    def boot_id(self):
        """The machine's boot id, or raises the active fault."""
        self.injector.inject("read")
        return System.boot_id()

    def truncate(self, file, size):
        """Truncates a file, or raises the active fault."""
        self.injector.inject("cut")
        return System.truncate(file, size)

    def write(self, file, data):
        """Writes the data or only a part of it, or raises the active fault."""
        fault = self.injector.find_active("write")
        if fault is None:
            return System.write(file, data)
        if fault.error == "short":
            return System.write(file, data[: max(1, len(data) // 2)])
        raise OSError(getattr(errno, fault.error), f"{fault.error} (injected by the soak)")

    def create(self, path):
        """Creates a file, or raises the active fault."""
        self.injector.inject("create")
        return System.create(path)

    def replace(self, old, new):
        """Renames a file, or raises the active fault."""
        self.injector.inject("replace")
        return System.replace(old, new)

    def sync(self, file):
        """Syncs a file, or raises the active fault."""
        self.injector.inject("sync")
        return System.sync(file)
