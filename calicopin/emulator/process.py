"""A process that runs the real program: its greenlet, system calls, signals and exits.

The program runs unchanged on `SystemCalls`, which replaces `calicopin.system.System`. Every system call may
be the last one (a kill between two calls), may find the process suspended, and is counted, so that a busy
loop is detected.
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
from calicopin.emulator.world import MONOTONIC_START_MS, WALL_CLOCK_START_MS

MAX_CALLS_PER_INSTANT = 200_000  # system calls at one moment of virtual time; beyond it is a busy loop


class Killed(BaseException):
    """SIGKILL: raised in a system call and never caught by the program."""


class BusyLoop(BaseException):
    """The program makes system calls in a loop that never waits."""


class Handle:
    """What a descriptor refers to; `mask` holds the events that the poller watches it for."""

    calls, fd, mask = None, -1, 0

    def fileno(self):
        """The descriptor."""
        return self.fd

    def ready(self):
        """The events that are ready, as an epoll mask."""
        return 0

    def notify(self):
        """Wakes the poller if a watched event is ready."""
        calls = self.calls
        if (
            calls is not None
            and self.fd >= 0
            and self.mask
            and self.mask & (self.ready() | select.EPOLLONESHOT)
        ):
            calls.active_poller.mark_changed(self)


class Socket(Handle):
    """A courier's end of a connection, as a non-blocking socket."""

    def __init__(self, calls, end=None):
        self.calls, self.end, self.fd = calls, end, calls.take_fd(self)
        if end is not None:
            end.on_change = self.notify

    def setblocking(self, _):
        """Ignored: the socket never blocks."""
        pass

    def setsockopt(self, *_):
        """Ignored."""
        pass

    def getsockopt(self, *_):
        """SO_ERROR."""
        return self.end.error

    def connect(self, address):
        """Starts to connect; raises BlockingIOError."""
        self.calls.enter("connect")
        self.end = self.calls.net.connect(self.calls.machine, *address, lambda result: None)
        self.end.on_change = self.notify
        raise BlockingIOError(errno.EINPROGRESS, "operation now in progress")

    def ready(self):
        """The events that are ready, as an epoll mask."""
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
        return mask | (select.EPOLLOUT if end.send_window() > 0 or end.reset else 0)

    def recv(self, size, flags=0):
        """Reads up to `size` bytes; b"" at the end. Raises BlockingIOError or ConnectionResetError."""
        self.calls.enter("recv")
        end = self.end
        if end.buffer:
            if flags & socket.MSG_PEEK:
                return bytes(end.buffer[:size])
            size = self.calls.maybe_shortened(size)
            data = bytes(end.buffer[:size])
            del end.buffer[:size]
            end.consume(len(data))
            end.peer.notify_change()
            return data
        if end.reset:
            raise ConnectionResetError(errno.ECONNRESET, "connection reset by peer")
        if end.fin:
            return b""
        raise BlockingIOError(errno.EAGAIN, "no data available")

    def send(self, data):
        """Sends what there is room for and returns the bytes taken. Raises BlockingIOError or
        BrokenPipeError.
        """
        calls = self.calls
        end = self.end
        calls.enter("send", (end, data))
        if end.reset or end.sending_ended:
            raise BrokenPipeError(errno.EPIPE, "broken pipe")
        size = min(len(data), end.send_window())
        if size <= 0:
            raise BlockingIOError(errno.EAGAIN, "send buffer full")
        if size > 512:  # a kernel takes less only where its buffer is nearly full
            size = calls.maybe_shortened(size)
        end.send(data[:size])
        return size

    def shutdown(self, _):
        """Ends sending. Raises OSError if not connected."""
        self.calls.enter("shutdown")
        if self.end is None or self.end.reset or not self.end.connected:
            raise OSError(errno.ENOTCONN, "not connected")
        self.end.end_sending()

    def close(self):
        """Closes the descriptor and the connection."""
        if self.fd >= 0:
            self.calls.drop_fd(self)
            if self.end is not None:
                self.end.close()


class ListeningSocket(Handle, Listener):
    """A courier's listening socket."""

    BACKLOG = 1024

    def __init__(self, calls, port):
        Listener.__init__(self, calls.machine, self.on_connection)
        self.calls, self.port, self.queue, self.fd = calls, port, deque(), calls.take_fd(self)
        if port in calls.machine.listeners:
            raise OSError(errno.EADDRINUSE, "address already in use")
        calls.machine.listeners[port] = self

    def on_connection(self, end):
        """Queues a connection; false where the backlog is full."""
        if len(self.queue) >= self.BACKLOG:
            return False
        self.queue.append(end)
        self.notify()
        return True

    def ready(self):
        """The events that are ready, as an epoll mask."""
        return select.EPOLLIN if self.queue else 0

    def accept(self):
        """The next connection. Raises BlockingIOError where there is none."""
        self.calls.enter("accept")
        if not self.queue:
            raise BlockingIOError(errno.EAGAIN, "no pending connection")
        sock = Socket(self.calls, self.queue[0])  # stays in the queue if no descriptor is free
        self.queue.popleft()
        return sock, None

    def close(self):
        """Stops listening and resets connections that were not accepted."""
        if self.fd >= 0:
            self.calls.drop_fd(self)
            self.machine.listeners.pop(self.port, None)
            while self.queue:
                self.queue.popleft().abort()


class Poller:
    """epoll with EPOLLONESHOT, as the event loop uses it."""

    def __init__(self, calls):
        self.calls, self.changed = calls, {}
        calls.active_poller = self

    def register(self, fd, mask):
        """Watches a descriptor."""
        handle = self.calls.handles.get(fd)
        if handle is None:
            raise OSError(errno.EBADF, "bad file descriptor")
        handle.mask = mask
        self.changed[handle] = True

    def modify(self, fd, mask):
        """Watches a registered descriptor again."""
        handle = self.calls.handles.get(fd)
        if handle is None:
            raise OSError(errno.EBADF, "bad file descriptor")
        if not handle.mask:
            raise FileNotFoundError(errno.ENOENT, "descriptor was never registered")
        handle.mask = mask
        self.changed[handle] = True

    def unregister(self, fd):
        """Stops watching a descriptor."""
        handle = self.calls.handles.get(fd)
        if handle is not None:
            handle.mask = 0

    def mark_changed(self, handle):
        """Checks a handle at the next poll and wakes the process."""
        self.changed[handle] = True
        self.calls.process.wake()

    def collect_ready(self):
        """Ready descriptors in the order of their changes, each once until it is watched again."""
        events = []
        if self.changed:
            changed, self.changed = self.changed, {}
            for handle in changed:
                watched = handle.mask & ~select.EPOLLONESHOT
                ready = handle.ready() & (watched | select.EPOLLERR) if watched and handle.fd >= 0 else 0
                if ready:
                    # still registered, but not reported until it is watched again
                    handle.mask = select.EPOLLONESHOT
                    events.append((handle.fd, ready))
        return events

    def poll(self, timeout):
        """(descriptor, events) of those that are ready, after up to `timeout` s."""
        calls = self.calls
        calls.enter("poll")
        events = self.collect_ready()
        if not events and timeout > 0.0:
            calls.process.sleep(-(-timeout * 1000.0 // 1), True)
            events = self.collect_ready()
        if events and calls.process.pass_ms:
            calls.process.sleep(calls.process.pass_ms * calls.process.rng.random(), False)
        return events


class HangUpProbe:
    """Tells whether the peer of a socket has closed its sending side, also behind unread data."""

    @staticmethod
    def hung_up(sock):
        """Whether the peer has left."""
        return bool(sock.ready() & select.EPOLLRDHUP)


class SignalReader(Handle):
    """Pending signals, with the interface of `lifecycle/signals.py`."""

    STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

    def __init__(self, calls):
        self.calls, self.pending, self.fd = calls, set(), calls.take_fd(self)

    def ready(self):
        """The events that are ready, as an epoll mask."""
        return select.EPOLLIN if self.pending else 0

    def deliver(self, number):
        """Adds a pending signal."""
        self.pending.add(number)
        self.notify()

    def take_signals(self):
        """The signals since the last call, each once."""
        pending, self.pending = self.pending, set()
        return pending


class SystemCalls:
    """The system calls of one process; errors are raised as OSError, as by the system."""

    def __init__(self, process, descriptors):
        self.process, self.net, self.machine = process, process.net, process.net.machine(process.host)
        self.max_descriptors, self.handles, self.free_fds, self.next_fd = descriptors, {}, [], 3
        self.active_poller, self.call_count, self.calls_at_instant, self.instant, self.kill_at = (
            None,
            0,
            0,
            -1.0,
            -1,
        )
        self.short_odds = process.short_odds

    def enter(self, call, data=None):
        """Accounts for a system call: kills, suspensions and busy loops take effect here."""
        process, world = self.process, self.process.world
        if process.ended:
            raise Killed
        self.call_count += 1
        if self.call_count == self.kill_at:
            process.killed_in_call(call, data)
            raise Killed
        if process.suspended_until > world.now:
            process.sleep(process.suspended_until - world.now, False)
        if world.now != self.instant:
            self.calls_at_instant, self.instant = 0, world.now
        self.calls_at_instant += 1
        if self.calls_at_instant > MAX_CALLS_PER_INSTANT:
            raise BusyLoop(f"{MAX_CALLS_PER_INSTANT} system calls without waiting, the last {call}")

    def maybe_shortened(self, size):
        """By the odds, a smaller size: a short read or write."""
        if self.short_odds and size > 1 and self.process.rng.random() < self.short_odds:
            return self.process.rng.randrange(1, size)
        return size

    def take_fd(self, handle):
        """Allocates a descriptor. Raises OSError where too many are open."""
        if len(self.handles) + 3 >= self.max_descriptors:
            raise OSError(errno.EMFILE, "too many open files")
        fd = self.free_fds.pop() if self.free_fds else self.next_fd
        self.next_fd += fd == self.next_fd
        self.handles[fd] = handle
        return fd

    def drop_fd(self, handle):
        """Frees a descriptor."""
        self.handles.pop(handle.fd, None)
        self.free_fds.append(handle.fd)
        handle.fd, handle.mask = -1, 0

    # The interface of calicopin.system.System.

    def now(self):
        """The monotonic clock in ms."""
        return MONOTONIC_START_MS + self.process.world.now

    def wall_clock_ms(self):
        """The wall clock in ms."""
        return WALL_CLOCK_START_MS + self.process.world.now + self.process.world.wall_clock_offset

    def boot_id(self):
        """An id of the machine's boot."""
        return f"{self.machine.address}/{self.machine.boot_count}"

    def sleep(self, span):
        """Sleeps for `span` ms."""
        self.enter("pause")
        self.process.sleep(span, False)

    def poller(self):
        """A new poller."""
        return Poller(self)

    def hang_up_probe(self):
        """A new probe."""
        return HangUpProbe()

    def listen(self, _, port):
        """A listening socket."""
        self.enter("listen")
        return ListeningSocket(self, port)

    def create_socket(self):
        """A new socket."""
        self.enter("socket")
        return Socket(self)

    def freeze_loaded_objects(self):
        """The program has been loaded; nothing to do here."""
        pass

    def read(self, path):
        """The contents of a file."""
        self.enter("read")
        return self.process.disk.read(path)

    def create(self, path):
        """Creates or truncates a file and returns its descriptor."""
        self.enter("create")
        file = self.process.disk.create(path)
        fd = self.take_fd(file)
        return fd

    def write(self, file, data):
        """Writes to a file and returns the bytes written."""
        self.enter("write", (file, data))
        if self.process.disk.write_delay_ms:
            self.process.sleep(self.process.disk.write_delay_ms, False)
        return self.process.disk.write(self.handles[file], bytes(data))

    def truncate(self, file, size):
        """Truncates a file to `size` bytes."""
        self.enter("cut")
        del self.handles[file][size:]

    def replace(self, old, new):
        """Renames a file over another."""
        self.enter("replace")
        files = self.process.disk.files
        files[new] = files.pop(old)

    def list_directory(self, folder):
        """The names in a directory."""
        self.enter("names")
        return [path[len(folder) + 1 :] for path in self.process.disk.files if path.startswith(f"{folder}/")]

    def remove(self, path):
        """Deletes a file."""
        self.enter("remove")
        del self.process.disk.files[path]

    def sync(self, file):
        """fsync of a file; raises OSError by the odds."""
        self.enter("sync")
        if self.process.disk.error_odds and self.process.rng.random() < self.process.disk.error_odds:
            raise OSError(errno.EIO, "input/output error")

    def sync_folder(self, path):
        """fsync of a directory."""
        self.sync(path)

    def close(self, file):
        """Closes a file."""
        if self.handles.pop(file, None) is not None:
            self.free_fds.append(file)


class Process:
    """A machine and the process that runs on it; `begin(environ, signal_reader, system)` is the program.

    `pass_ms` is the longest time that one pass of the event loop takes.
    """

    system_calls_type = SystemCalls

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
        self.disk = Disk(world.random_stream(f"{name} disk"))
        self.ended, self.greenlet, self.calls, self.signal_reader, self.resume_serial, self.wakeable = (
            True,
            None,
            None,
            None,
            0,
            False,
        )
        self.suspended_until = 0.0
        self.start_count = 0
        # call counts at which the next processes are killed; callback after such a kill
        self.planned_kills, self.on_killed_in_call = deque(), None

    def start(self):
        """Starts the program unless it runs."""
        if not self.ended:
            return
        self.ended, self.suspended_until, self.start_count = False, 0.0, self.start_count + 1
        self.calls = self.system_calls_type(self, self.descriptors)
        if self.planned_kills:
            self.calls.kill_at = self.planned_kills.popleft()
        self.world.record("start", self.name)
        self.greenlet = greenlet.greenlet(self._body)
        self._resume(self.resume_serial)

    def _body(self):
        try:
            self.signal_reader = SignalReader(self.calls)
            self.begin(self.environ, self.signal_reader, self.calls)
            self._end("exit")
        except Killed:
            pass
        except BusyLoop as error:
            self._end("busy", str(error))
        except Exception as error:
            logger.opt(exception=True).debug("the program ended with an uncaught exception")
            self._end("crash", f"{type(error).__name__}: {error}")

    def _resume(self, serial):
        if serial == self.resume_serial and self.greenlet is not None and not self.greenlet.dead:
            self.resume_serial += 1
            self.wakeable = False
            previous = current.process
            current.process = self
            try:
                self.greenlet.switch()
            finally:
                current.process = previous

    def sleep(self, ms, wakeable):
        """Suspends the greenlet for `ms` of virtual time; `wakeable` sleeps end early by `wake`."""
        self.wakeable = wakeable
        self.world.call_later(ms, self._resume, self.resume_serial)
        greenlet.getcurrent().parent.switch()
        if self.ended:
            raise Killed
        if self.suspended_until > self.world.now:
            self.sleep(self.suspended_until - self.world.now, False)

    def wake(self):
        """Ends a wakeable sleep."""
        if self.wakeable:
            self.wakeable = False
            self.world.call_later(0.0, self._resume, self.resume_serial)

    # Signals and exits.

    def signal(self, number):
        """Sends a signal to the program."""
        if not self.ended and self.signal_reader is not None:
            self.signal_reader.deliver(number)

    def suspend(self, ms):
        """SIGSTOP for `ms`."""
        if not self.ended:
            self.suspended_until = self.world.now + ms
            self.world.record("stands", self.name, ms)

    def kill_after_calls(self, count):
        """SIGKILL in the system call that is `count` calls ahead."""
        if not self.ended:
            self.calls.kill_at = self.calls.call_count + max(1, count)

    def killed_in_call(self, call, data):
        """Ends the process inside a system call; a write or send may have taken effect in part."""
        if call == "write":
            file, data = data
            written = self.rng.randrange(len(data) + 1)
            self.calls.handles[file].extend(bytes(data[:written]))
        elif call == "send" and (written := self.rng.randrange(len(data[1]) + 1)):
            data[0].send(data[1][:written])
        self._end("killed", call)
        if self.on_killed_in_call:
            self.on_killed_in_call(self)

    def kill(self):
        """SIGKILL while it waits."""
        if not self.ended:
            self._end("killed", "where it waits")
            self.resume_serial += 1
            target = self.greenlet
            if target is not None and not target.dead and target is not greenlet.getcurrent():
                target.throw(Killed)

    def _end(self, how, detail=""):
        """Records the end; the kernel closes what was open."""
        self.ended = True
        self.world.record("end", self.name, how, detail)
        self.calls.kill_at = -1
        for handle in list(self.calls.handles.values()):
            if isinstance(handle, ListeningSocket):
                handle.close()
            elif isinstance(handle, Socket) and handle.end is not None:
                handle.fd = -1
                handle.end.close()


class Current:
    """The process that runs now; log lines are attributed to it."""

    process = None


current = Current()
