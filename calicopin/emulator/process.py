"""A process of the real program: its greenlet, its system calls, its signals and its ends.

The program runs unchanged on `Calls`, which stands where `calicopin.system.System` does. Each call may be the
last (a kill between any two of them), may find the process stopped, and is counted, so that a loop that never
waits is found.
"""

import errno
import select
import signal
import socket
from collections import deque

import greenlet
from loguru import logger

from calicopin.emulator.disk import Disk
from calicopin.emulator.net import Listener
from calicopin.emulator.world import START, UPTIME

AT_ONCE = 200_000  # calls at one moment of virtual time, from which on it is a loop that never waits


class Killed(BaseException):
    """SIGKILL: raised at a call, never caught by the program."""


class Busy(BaseException):
    """A loop that never waits."""


class Handle:
    """What a descriptor stands for; `mask` is what the poller watches it for."""

    calls, fd, mask = None, -1, 0

    def fileno(self):
        return self.fd

    def ready(self):
        """What it is ready for, as epoll's mask."""
        return 0

    def touch(self):
        """Something about it has changed."""
        calls = self.calls
        if (
            calls is not None
            and self.fd >= 0
            and self.mask
            and self.mask & (self.ready() | select.EPOLLONESHOT)
        ):
            calls.poller_.stir(self)


class Socket(Handle):
    """One connection as a courier holds it. It never blocks."""

    def __init__(self, calls, end=None):
        self.calls, self.end, self.fd = calls, end, calls.take_fd(self)
        if end is not None:
            end.on_change = self.touch

    def setblocking(self, _):
        pass

    def setsockopt(self, *_):
        pass

    def getsockopt(self, *_):
        return self.end.error

    def connect(self, where):
        self.calls.enter("connect")
        self.end = self.calls.net.connect(self.calls.machine, *where, lambda done: None)
        self.end.on_change = self.touch
        raise BlockingIOError(errno.EINPROGRESS, "in progress")

    def ready(self):
        end = self.end
        if end is None:
            return 0
        if not end.connected:
            return select.EPOLLOUT | select.EPOLLERR if end.error else 0
        mask = (
            select.EPOLLIN | select.EPOLLRDHUP
            if end.fin or end.reset
            else select.EPOLLIN
            if end.buffer
            else 0
        )
        return mask | (select.EPOLLOUT if end.room() > 0 or end.reset else 0)

    def recv(self, most, flags=0):
        self.calls.enter("recv")
        end = self.end
        if end.buffer:
            if flags & socket.MSG_PEEK:
                return bytes(end.buffer[:most])
            most = self.calls.shorter(most)
            data = bytes(end.buffer[:most])
            del end.buffer[:most]
            end.took(len(data))
            end.peer.changed()
            return data
        if end.reset:
            raise ConnectionResetError(errno.ECONNRESET, "reset by the other side")
        if end.fin:
            return b""
        raise BlockingIOError(errno.EAGAIN, "nothing yet")

    def send(self, data):
        calls = self.calls
        end = self.end
        calls.enter("send", (end, data))
        if end.reset or end.shut:
            raise BrokenPipeError(errno.EPIPE, "broken pipe")
        size = min(len(data), end.room())
        if size <= 0:
            raise BlockingIOError(errno.EAGAIN, "no room")
        if size > 512:  # a system takes less only where its buffer is nearly full
            size = calls.shorter(size)
        end.send(data[:size])
        return size

    def shutdown(self, _):
        self.calls.enter("shutdown")
        if self.end is None or self.end.reset or not self.end.connected:
            raise OSError(errno.ENOTCONN, "not connected")
        self.end.end_sending()

    def close(self):
        if self.fd >= 0:
            self.calls.drop_fd(self)
            if self.end is not None:
                self.end.close()


class Ears(Handle, Listener):
    """A courier's listening socket."""

    BACKLOG = 1024

    def __init__(self, calls, port):
        Listener.__init__(self, calls.machine, self.met)
        self.calls, self.port, self.queue, self.fd = calls, port, deque(), calls.take_fd(self)
        if port in calls.machine.listeners:
            raise OSError(errno.EADDRINUSE, "address in use")
        calls.machine.listeners[port] = self

    def met(self, end):
        if len(self.queue) >= self.BACKLOG:
            return False
        self.queue.append(end)
        self.touch()
        return True

    def ready(self):
        return select.EPOLLIN if self.queue else 0

    def accept(self):
        self.calls.enter("accept")
        if not self.queue:
            raise BlockingIOError(errno.EAGAIN, "nobody")
        sock = Socket(self.calls, self.queue[0])  # without a descriptor it stays in the queue
        self.queue.popleft()
        return sock, None

    def close(self):
        if self.fd >= 0:
            self.calls.drop_fd(self)
            self.machine.listeners.pop(self.port, None)
            while self.queue:
                self.queue.popleft().abort()


class Poller:
    """epoll with EPOLLONESHOT, as the loop uses it."""

    def __init__(self, calls):
        self.calls, self.stirred = calls, {}
        calls.poller_ = self

    def register(self, fd, mask):
        handle = self.calls.handles.get(fd)
        if handle is None:
            raise OSError(errno.EBADF, "no such descriptor")
        handle.mask = mask
        self.stirred[handle] = True

    def modify(self, fd, mask):
        handle = self.calls.handles.get(fd)
        if handle is None:
            raise OSError(errno.EBADF, "no such descriptor")
        if not handle.mask:
            raise FileNotFoundError(errno.ENOENT, "never registered")
        handle.mask = mask
        self.stirred[handle] = True

    def unregister(self, fd):
        handle = self.calls.handles.get(fd)
        if handle is not None:
            handle.mask = 0

    def stir(self, handle):
        self.stirred[handle] = True
        self.calls.process.wake()

    def gather(self):
        """What is ready, in the order in which it came to be; each is reported once for each watch."""
        out = []
        if self.stirred:
            stirred, self.stirred = self.stirred, {}
            for handle in stirred:
                watched = handle.mask & ~select.EPOLLONESHOT
                what = handle.ready() & (watched | select.EPOLLERR) if watched and handle.fd >= 0 else 0
                if what:
                    handle.mask = select.EPOLLONESHOT  # registered, and silent until it is watched again
                    out.append((handle.fd, what))
        return out

    def poll(self, timeout):
        calls = self.calls
        calls.enter("poll")
        ready = self.gather()
        if not ready and timeout > 0.0:
            calls.process.sleep(-(-timeout * 1000.0 // 1), True)
            ready = self.gather()
        if ready and calls.process.pass_ms:
            calls.process.sleep(calls.process.pass_ms * calls.process.rng.random(), False)
        return ready


class SignalReader(Handle):
    """Signals, as `lifecycle/signals.py` hears them."""

    STOPS = (signal.SIGTERM, signal.SIGINT)

    def __init__(self, calls):
        self.calls, self.signs, self.fd = calls, set(), calls.take_fd(self)

    def ready(self):
        return select.EPOLLIN if self.signs else 0

    def hear(self, sign):
        self.signs.add(sign)
        self.touch()

    def heard(self):
        signs, self.signs = self.signs, set()
        return signs


class Calls:
    """The system calls of one process; OSError as the system raises it."""

    def __init__(self, process, descriptors):
        self.process, self.net, self.machine = process, process.net, process.net.machine(process.host)
        self.most, self.handles, self.free, self.next = descriptors, {}, [], 3
        self.poller_, self.number, self.here, self.moment, self.kill_at = None, 0, 0, -1.0, -1
        self.short_odds = process.short_odds

    def enter(self, what, data=None):
        """Every call passes here."""
        process, world = self.process, self.process.world
        if process.over:
            raise Killed
        self.number += 1
        if self.number == self.kill_at:
            process.ended_by(what, data)
            raise Killed
        if process.stands_until > world.now:
            process.sleep(process.stands_until - world.now, False)
        if world.now != self.moment:
            self.here, self.moment = 0, world.now
        self.here += 1
        if self.here > AT_ONCE:
            raise Busy(f"{AT_ONCE} calls at one moment, the last {what}")

    def shorter(self, size):
        if self.short_odds and size > 1 and self.process.rng.random() < self.short_odds:
            return self.process.rng.randrange(1, size)
        return size

    def take_fd(self, handle):
        if len(self.handles) + 3 >= self.most:
            raise OSError(errno.EMFILE, "too many open files")
        fd = self.free.pop() if self.free else self.next
        self.next += fd == self.next
        self.handles[fd] = handle
        return fd

    def drop_fd(self, handle):
        self.handles.pop(handle.fd, None)
        self.free.append(handle.fd)
        handle.fd, handle.mask = -1, 0

    # As calicopin.system.System has them.

    def now(self):
        return UPTIME + self.process.world.now

    def wall(self):
        return START + self.process.world.now + self.process.world.wall_step

    def boot(self):
        return f"{self.machine.address}/{self.machine.boots}"

    def pause(self, span):
        self.enter("pause")
        self.process.sleep(span, False)

    def poller(self):
        return Poller(self)

    def listen(self, _, port):
        self.enter("listen")
        return Ears(self, port)

    def stream(self):
        self.enter("socket")
        return Socket(self)

    def settle(self):
        pass

    def read(self, path):
        self.enter("read")
        return self.process.disk.read(path)

    def create(self, path):
        self.enter("create")
        file = self.process.disk.create(path)
        fd = self.take_fd(file)
        return fd

    def write(self, file, data):
        self.enter("write", (file, data))
        if self.process.disk.slow:
            self.process.sleep(self.process.disk.slow, False)
        return self.process.disk.write(self.handles[file], bytes(data))

    def cut(self, file, size):
        self.enter("cut")
        del self.handles[file][size:]

    def replace(self, old, new):
        self.enter("replace")
        files = self.process.disk.files
        files[new] = files.pop(old)

    def names(self, folder):
        self.enter("names")
        return [path[len(folder) + 1 :] for path in self.process.disk.files if path.startswith(f"{folder}/")]

    def remove(self, path):
        self.enter("remove")
        del self.process.disk.files[path]

    def sync(self, file):
        self.enter("sync")
        if self.process.disk.broken and self.process.rng.random() < self.process.disk.broken:
            raise OSError(errno.EIO, "input/output error")

    def sync_folder(self, path):
        self.sync(path)

    def close(self, file):
        if self.handles.pop(file, None) is not None:
            self.free.append(file)


class Process:
    """A courier's machine and the process that runs on it; `begin(environ, signal_reader, system)` is the
    real program.
    """

    make_calls = Calls

    def __init__(self, world, net, name, host, begin, environ, descriptors, rng, pass_ms=0.0, short_odds=0.0):
        self.world, self.net, self.name, self.host, self.begin, self.environ = (
            world,
            net,
            name,
            host,
            begin,
            environ,
        )
        self.descriptors, self.rng, self.pass_ms, self.short_odds = descriptors, rng, pass_ms, short_odds
        self.disk = Disk(world.chance(f"{name} disk"))
        self.over, self.green, self.calls, self.signal_reader, self.serial, self.waits = (
            True,
            None,
            None,
            None,
            0,
            False,
        )
        self.stands_until = 0.0
        self.number = 0  # of starts
        self.planned, self.replaced = (
            deque(),
            None,
        )  # calls at which its next processes are killed; what starts the one after

    def start(self):
        if not self.over:
            return
        self.over, self.stands_until, self.number = False, 0.0, self.number + 1
        self.calls = self.make_calls(self, self.descriptors)
        if self.planned:
            self.calls.kill_at = self.planned.popleft()
        self.world.note("start", self.name)
        self.green = greenlet.greenlet(self._body)
        self._resume(self.serial)

    def _body(self):
        try:
            self.signal_reader = SignalReader(self.calls)
            self.begin(self.environ, self.signal_reader, self.calls)
            self._end("exit")
        except Killed:
            pass
        except Busy as fault:
            self._end("busy", str(fault))
        except Exception as fault:
            logger.opt(exception=True).debug("the program ended by a fault")
            self._end("crash", f"{type(fault).__name__}: {fault}")

    def _resume(self, serial):
        if serial == self.serial and self.green is not None and not self.green.dead:
            self.serial += 1
            self.waits = False
            now = current.process
            current.process = self
            try:
                self.green.switch()
            finally:
                current.process = now

    def sleep(self, ms, wakeable):
        """Gives the world back its turn."""
        self.waits = wakeable
        self.world.after(ms, self._resume, self.serial)
        greenlet.getcurrent().parent.switch()
        if self.over:
            raise Killed
        if self.stands_until > self.world.now:
            self.sleep(self.stands_until - self.world.now, False)

    def wake(self):
        if self.waits:
            self.waits = False
            self.world.after(0.0, self._resume, self.serial)

    # Signals and ends.

    def signal(self, sign):
        if not self.over and self.signal_reader is not None:
            self.signal_reader.hear(sign)

    def stand(self, ms):
        """SIGSTOP for so long."""
        if not self.over:
            self.stands_until = self.world.now + ms
            self.world.note("stands", self.name, ms)

    def kill_soon(self, calls):
        """SIGKILL at the call that lies so many ahead."""
        if not self.over:
            self.calls.kill_at = self.calls.number + max(1, calls)

    def ended_by(self, what, data):
        """Killed in a call: of what it was writing a part may be in the file or on its way."""
        if what == "write":
            file, data = data
            part = self.rng.randrange(len(data) + 1)
            self.calls.handles[file].extend(bytes(data[:part]))
        elif what == "send" and (part := self.rng.randrange(len(data[1]) + 1)):
            data[0].send(data[1][:part])
        self._end("killed", what)
        if self.replaced:
            self.replaced(self)

    def kill(self):
        """SIGKILL where it waits."""
        if not self.over:
            self._end("killed", "where it waits")
            self.serial += 1
            green = self.green
            if green is not None and not green.dead and green is not greenlet.getcurrent():
                green.throw(Killed)

    def _end(self, how, why=""):
        """The kernel closes what was open."""
        self.over = True
        self.world.note("end", self.name, how, why)
        self.calls.kill_at = -1
        for handle in list(self.calls.handles.values()):
            if isinstance(handle, Ears):
                handle.close()
            elif isinstance(handle, Socket) and handle.end is not None:
                handle.fd = -1
                handle.end.close()


class Current:
    """Which process runs now: whose lines the log gets."""

    process = None


current = Current()
