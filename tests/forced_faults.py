"""A `System` whose calls fail as scheduled by a test: one errno per call, by the name of the call."""

import errno
import os
import socket
from collections import defaultdict, deque

from helper import Rebooted

from calicopin.system import System

SHORT = "short"  # in place of an errno name: the call transfers one byte


class ForcedSocket(socket.socket):
    """A socket whose calls raise the errors scheduled in its system."""

    system = None

    def _meet(self, name):
        return self.system.meet(name)

    def accept(self):
        self._meet("accept")
        descriptor, address = self._accept()
        return self.system.wrap(socket.socket(fileno=descriptor), "client_"), address

    def connect(self, address):
        self._meet("connect")
        return super().connect(address)

    def getsockopt(self, *what):
        if what == (socket.SOL_SOCKET, socket.SO_ERROR) and (error := self.system.next("so_error")):
            return getattr(errno, error)
        return super().getsockopt(*what)

    def send(self, data, *flags):
        return super().send(data[:1] if self._meet(self.prefix + "send") else data, *flags)

    def recv(self, size, *flags):
        name = "peek" if flags else "recv"
        return super().recv(1 if self._meet(self.prefix + name) else size, *flags)

    def close(self):
        super().close()
        self._meet("close")


class ForcedFaults(Rebooted):
    """Fails calls by name: `told` holds the errno names for the next calls, `always` one for every call.

    `met` counts the failures. Calls on connections of clients are named `client_recv`, `client_send` and
    `client_peek`.
    """

    def __init__(self):
        self.told, self.always, self.met = defaultdict(deque), {}, defaultdict(int)

    def next(self, name):
        error = self.told[name].popleft() if self.told[name] else self.always.get(name)
        self.met[name] += error is not None
        return error

    def meet(self, name):
        """Raises the scheduled error; returns whether the call is to be a short one."""
        error = self.next(name)
        if error is None or error == SHORT:
            return error == SHORT
        raise OSError(getattr(errno, error), os.strerror(getattr(errno, error)))

    def wrap(self, plain, prefix=""):
        forced = ForcedSocket(plain.family, plain.type, plain.proto, fileno=plain.detach())
        forced.setblocking(False)
        forced.system, forced.prefix = self, prefix
        return forced

    def listen(self, host, port):
        return self.wrap(System.listen(host, port))

    def create_socket(self):
        self.meet("socket")
        return self.wrap(System.create_socket())

    def poller(self):
        return ForcedPoller(self)

    def read(self, path):
        self.meet("read")
        return System.read(path)

    def boot_id(self):
        self.meet("boot")
        return ""

    def create(self, path):
        self.meet("create")
        return System.create(path)

    def write(self, file, data):
        return System.write(file, data[:1] if self.meet("write") else data)

    def sync(self, file):
        self.meet("sync")
        return System.sync(file)

    def sync_folder(self, path):
        self.meet("sync_folder")
        return System.sync_folder(path)

    def truncate(self, file, size):
        self.meet("cut")
        return System.truncate(file, size)

    def replace(self, old, new):
        self.meet("replace")
        return System.replace(old, new)

    def remove(self, path):
        self.meet("remove")
        return System.remove(path)


class ForcedPoller:
    """An epoll whose `register` and `modify` raise the errors scheduled for `epoll_ctl`."""

    def __init__(self, system):
        self.system, self.poller = system, System.poller()

    def register(self, fd, mask):
        self.system.meet("epoll_ctl")
        self.poller.register(fd, mask)

    def modify(self, fd, mask):
        self.system.meet("epoll_ctl")
        self.poller.modify(fd, mask)

    def unregister(self, fd):
        self.poller.unregister(fd)

    def poll(self, seconds):
        return self.poller.poll(seconds)
