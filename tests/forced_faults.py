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
        return self.system.fail_if_scheduled(name)

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
    """Fails calls by name: `scheduled` holds errno names for the next calls, `permanent` one for every call.

    `failed` counts the failures. Calls on connections of clients are named `client_recv`, `client_send` and
    `client_peek`.
    """

    def __init__(self):
        self.scheduled, self.permanent, self.failed = defaultdict(deque), {}, defaultdict(int)

    def next(self, name):
        error = self.scheduled[name].popleft() if self.scheduled[name] else self.permanent.get(name)
        self.failed[name] += error is not None
        return error

    def fail_if_scheduled(self, name):
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
        self.fail_if_scheduled("socket")
        return self.wrap(System.create_socket())

    def poller(self):
        return ForcedPoller(self)

    def read(self, path):
        self.fail_if_scheduled("read")
        return System.read(path)

    def boot_id(self):
        self.fail_if_scheduled("boot")
        return ""

    def create(self, path):
        self.fail_if_scheduled("create")
        return System.create(path)

    def write(self, file, data):
        return System.write(file, data[:1] if self.fail_if_scheduled("write") else data)

    def sync(self, file):
        self.fail_if_scheduled("sync")
        return System.sync(file)

    def sync_folder(self, path):
        self.fail_if_scheduled("sync_folder")
        return System.sync_folder(path)

    def truncate(self, file, size):
        self.fail_if_scheduled("cut")
        return System.truncate(file, size)

    def replace(self, old, new):
        self.fail_if_scheduled("replace")
        return System.replace(old, new)

    def remove(self, path):
        self.fail_if_scheduled("remove")
        return System.remove(path)


class ForcedPoller:
    """An epoll whose `register` and `modify` raise the errors scheduled for `epoll_ctl`."""

    def __init__(self, system):
        self.system, self.poller = system, System.poller()

    def register(self, fd, mask):
        self.system.fail_if_scheduled("epoll_ctl")
        self.poller.register(fd, mask)

    def modify(self, fd, mask):
        self.system.fail_if_scheduled("epoll_ctl")
        self.poller.modify(fd, mask)

    def unregister(self, fd):
        self.poller.unregister(fd)

    def poll(self, seconds):
        return self.poller.poll(seconds)
