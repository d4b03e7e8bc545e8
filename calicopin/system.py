"""The courier's only interface to the operating system: clocks, sleeping, sockets and files.

The emulator replaces it by a simulated system. Signals are handled in `lifecycle/signals.py`, which has to be
loaded before anything else. Failures are raised as the operating system's own OSError.
"""

import errno
import fcntl
import gc
import os
import select
import socket
import sys
import time

from calicopin.system_errors import is_transient_file_error

RETRY_LIMIT_MS = 5000.0  # how long a start retries an operation that fails with a transient error
RETRY_INTERVAL_MS = 50.0


class HangUpProbe:
    """Asks an epoll of its own about one connection at a time, without waiting."""

    def __init__(self):
        self.epoll = select.epoll()

    def hung_up(self, sock):
        """Whether the peer has left; also where the system lacks the resources to tell."""
        try:
            self.epoll.register(sock.fileno(), select.EPOLLRDHUP)
            try:
                return bool(self.epoll.poll(0))
            finally:
                self.epoll.unregister(sock.fileno())
        except OSError:
            return True


class System:
    """The operating system.

    Times are float milliseconds; open files are descriptors, paths are str and contents are bytes.
    """

    @staticmethod
    def now():
        """The monotonic clock, in ms."""
        return time.monotonic() * 1000.0

    @staticmethod
    def wall_clock_ms():
        """Unix time in ms; it may be set forwards or backwards at any moment."""
        return time.time() * 1000.0

    @staticmethod
    def boot_id():
        """The id of the current boot; while it is the same, the monotonic clock keeps running.

        Returns "" where the system has no boot id; raises OSError for a transient error.
        """
        try:
            with open("/proc/sys/kernel/random/boot_id", encoding="ascii") as file:
                return file.read().strip()
        except OSError as fault:
            if is_transient_file_error(fault):
                raise
            return ""

    @staticmethod
    def sleep(duration):
        """Sleeps for `duration` ms; for startup and shutdown only, when the event loop does not run."""
        time.sleep(duration / 1000.0)

    @staticmethod
    def poller():
        """An object with `register`, `modify`, `unregister` and `poll` (seconds), like `select.epoll`."""
        return select.epoll()

    @staticmethod
    def hang_up_probe():
        """An object whose `hung_up(sock)` tells whether the peer has closed its sending side or reset the
        connection, also where data that it sent before is unread.
        """
        return HangUpProbe()

    @staticmethod
    def listen(host, port):
        """A non-blocking listening TCP socket."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((host, port))
        except OSError as fault:
            listener.close()
            raise OSError(fault.errno, f"{host}:{port}: {fault.strerror}") from None
        listener.listen(1024)
        listener.setblocking(False)
        return listener

    @staticmethod
    def inherited_listener(descriptor):
        """The listening socket inherited under the given descriptor number, made non-blocking.

        Raises ValueError if it is not a listening socket.
        """
        try:
            sock = socket.socket(fileno=int(descriptor))
            listening = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        except (ValueError, OverflowError, OSError) as fault:
            raise ValueError(
                f"LB_PASSED_SOCKET: {descriptor[:40]!r} is not an open socket: {fault}"
            ) from None
        if not listening:
            sock.detach()
            raise ValueError(f"LB_PASSED_SOCKET: descriptor {descriptor} is not a listening socket")
        sock.setblocking(False)
        return sock

    @staticmethod
    def restart_process():
        """Replaces this process by a new run of the same command line; does not return."""
        os.execv(sys.executable, [sys.executable, *sys.orig_argv[1:]])

    @staticmethod
    def listen_path(path):
        """A non-blocking listening Unix socket; replaces a stale socket file of a dead process."""
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
        try:
            listener.bind(path)
        except OSError as fault:
            with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
                if fault.errno != errno.EADDRINUSE or not probe.connect_ex(path):
                    listener.close()
                    raise
            os.unlink(path)
            listener.bind(path)
        listener.listen(1024)
        listener.setblocking(False)
        return listener

    @staticmethod
    def lock(folder):
        """Creates the folder if needed and locks it until the process ends.

        Raises OSError if another process holds the lock.
        """
        os.makedirs(folder, mode=0o700, exist_ok=True)
        file = os.open(os.path.join(folder, "lock"), os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(file)
            raise
        return file

    @staticmethod
    def stamp(path):
        """A value that changes when a file is replaced or written; None if there is no such file."""
        try:
            status = os.stat(path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino

    @staticmethod
    def create_socket():
        """A non-blocking, unconnected TCP socket."""
        return socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)

    @staticmethod
    def read(path):
        """A file's contents; raises FileNotFoundError if there is no such file."""
        with open(path, "rb") as file:
            return file.read()

    @staticmethod
    def open_to_read(path):
        """Opens a file for reading; the descriptor stays valid when another file takes its name."""
        return os.open(path, os.O_RDONLY | os.O_CLOEXEC)

    @staticmethod
    def read_at(file, size, offset):
        """Reads up to `size` bytes of an open file, starting at `offset`."""
        return os.pread(file, size, offset)

    @staticmethod
    def token(size):
        """`size` random bytes as hexadecimal digits, different for each process."""
        return os.urandom(size).hex()

    @staticmethod
    def create(path):
        """Opens an empty file for appending; truncates an existing one."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, 0o600)

    @staticmethod
    def sync_folder(path):
        """Syncs a folder to disk; syncing a new file does not make its name durable."""
        folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    @staticmethod
    def freeze_loaded_objects():
        """Excludes the objects of the loaded program from later garbage collections."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(20000, 20, 50)

    @staticmethod
    def list_directory(folder):
        """The names in a folder."""
        return os.listdir(folder)

    status = staticmethod(os.stat)  # (path) -> os.stat_result
    open_status = staticmethod(os.fstat)  # (file) -> os.stat_result
    remove = staticmethod(os.unlink)  # (path)
    sync = staticmethod(os.fdatasync)  # (file)
    write = staticmethod(os.write)  # (file, data) -> bytes written, possibly fewer than given
    truncate = staticmethod(os.ftruncate)  # (file, size)
    replace = staticmethod(os.replace)  # (old path, new path), atomic

    @staticmethod
    def close(file):
        """Closes a file and ignores errors.

        Linux frees the descriptor in any case, and what has to survive a loss of power was synced before.
        """
        try:
            os.close(file)
        except OSError:
            pass


REAL_SYSTEM = System()


def call_with_retries(system, operation, *args):
    """Calls `operation(*args)` and retries it after transient errors; for startup only, since it sleeps.

    Raises the OSError of the operation after `RETRY_LIMIT_MS`, and at once if it is not transient.
    """
    deadline = system.now() + RETRY_LIMIT_MS
    while True:
        try:
            return operation(*args)
        except OSError as fault:
            if not is_transient_file_error(fault) or system.now() >= deadline:
                raise
        system.sleep(RETRY_INTERVAL_MS)
