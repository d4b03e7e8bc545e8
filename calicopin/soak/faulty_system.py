"""System calls that fail for a while, in the ways that Linux documents, and a wall clock that is stepped.

It stands in `System`'s place in a courier process; the courier's own code is as it is in service.
"""

import errno
import random
import socket
import time
from collections.abc import Iterable
from dataclasses import dataclass

from calicopin.system import System
from calicopin.system_errors import PASSING


@dataclass(frozen=True, slots=True)
class Fault:
    """Between two times (s, monotonic) a share of the calls of a kind fail with an errno's name, or with
    `short` move one byte only; for `wall`, the clock is `step` seconds off.

    Kinds: accept, socket, connect, send, recv, epoll_ctl, read, write, cut, sync, create, replace, wall.
    """

    call: str
    begin: float
    end: float
    share: float = 1.0
    error: str = ""
    step: float = 0.0


def parse_faults(values: Iterable[dict]) -> list[Fault]:
    """From plain values; TypeError where one is none."""
    return [Fault(**value) for value in values]


class FaultInjector:
    """What is due now, by its own draws."""

    def __init__(self, faults: list[Fault], seed: int):
        self.faults, self.rng = faults, random.Random(seed)

    def find_active(self, call: str) -> Fault | None:
        """The fault that this call meets, or None."""
        now = time.monotonic()
        for fault in self.faults:
            if fault.call == call and fault.begin <= now < fault.end and self.rng.random() < fault.share:
                return fault
        return None

    def inject(self, call: str, breakable: bool = True) -> bool:
        """Raises what is due, where a call of that kind may break; whether it is to be a short one."""
        fault = self.find_active(call)
        if fault is None:
            return False
        if fault.error == "short":
            return True
        code = getattr(errno, fault.error)
        if not breakable and code not in PASSING:
            return False
        raise OSError(code, f"{fault.error} (soak)")


class FaultySocket(socket.socket):
    """A socket whose calls may fail; its `faults` are set behind its making. Connections of clients do not
    `break`: their other sides are whole, and wait for their answers. They meet faults that pass.
    """

    injector: FaultInjector
    breakable = True

    def accept(self):
        """As a socket's own, or the fault that is due."""
        self.injector.inject("accept")
        descriptor, address = self._accept()
        accepted = FaultySocket(self.family, self.type, self.proto, fileno=descriptor)
        accepted.injector, accepted.breakable = self.injector, False
        return accepted, address

    def connect(self, address):
        """As a socket's own, or the fault that is due."""
        self.injector.inject("connect")
        return super().connect(address)

    def send(self, data, *flags):
        """As a socket's own, one byte alone, or the fault that is due."""
        short = self.injector.inject("send", self.breakable)
        return super().send(data[:1] if short else data, *flags)

    def recv(self, size, *flags):
        """As a socket's own, one byte alone, or the fault that is due; a look at what lies there is left as
        it is."""
        if flags:
            return super().recv(size, *flags)
        return super().recv(1 if self.injector.inject("recv", self.breakable) else size)


class FaultyPoller:
    """An epoll that may have no room to watch one more descriptor."""

    def __init__(self, injector: FaultInjector):
        self.injector, self.poller = injector, System.poller()

    def register(self, descriptor, mask):
        """As epoll's own, or the fault that is due."""
        self.injector.inject("epoll_ctl")
        self.poller.register(descriptor, mask)

    def modify(self, descriptor, mask):
        """As epoll's own, or the fault that is due."""
        self.injector.inject("epoll_ctl")
        self.poller.modify(descriptor, mask)

    def unregister(self, descriptor):
        """As epoll's own."""
        self.poller.unregister(descriptor)

    def poll(self, seconds):
        """As epoll's own."""
        return self.poller.poll(seconds)


class FaultySystem(System):
    """The operating system with these faults."""

    def __init__(self, injector: FaultInjector):
        self.injector = injector

    def _wrap_socket(self, plain: socket.socket) -> FaultySocket:
        faulty = FaultySocket(plain.family, plain.type, plain.proto, fileno=plain.detach())
        faulty.setblocking(False)
        faulty.injector = self.injector
        return faulty

    def wall(self):
        """Unix time in ms, stepped while that is due."""
        fault = self.injector.find_active("wall")
        return System.wall() + (fault.step * 1000.0 if fault else 0.0)

    def listen(self, host, port):
        """A listening socket whose accepts may fail."""
        return self._wrap_socket(System.listen(host, port))

    def stream(self):
        """A socket for one connection, whose calls may fail."""
        self.injector.inject("socket")
        return self._wrap_socket(System.stream())

    def poller(self):
        """An epoll whose calls may fail."""
        return FaultyPoller(self.injector)

    def read(self, path):
        """A file's contents, or the fault that is due."""
        self.injector.inject("read")
        return System.read(path)

    def boot(self):
        """The machine's run, or the fault that is due."""
        self.injector.inject("read")
        return System.boot()

    def cut(self, file, size):
        """A cut, or the fault that is due."""
        self.injector.inject("cut")
        return System.cut(file, size)

    def write(self, file, data):
        """A plain write, a short one, or the fault that is due, then perhaps behind a half write."""
        fault = self.injector.find_active("write")
        if fault is None:
            return System.write(file, data)
        if fault.error == "short":
            return System.write(file, data[: max(1, len(data) // 2)])
        raise OSError(getattr(errno, fault.error), f"{fault.error} (soak)")

    def create(self, path):
        """A new file, or the fault that is due."""
        self.injector.inject("create")
        return System.create(path)

    def replace(self, old, new):
        """A rename, or the fault that is due."""
        self.injector.inject("replace")
        return System.replace(old, new)

    def sync(self, file):
        """A sync, or the fault that is due."""
        self.injector.inject("sync")
        return System.sync(file)
