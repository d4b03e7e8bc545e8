"""The one narrow place through which the courier asks its surroundings: clocks, waiting, sockets and files.

The emulator puts a world of its own in its place; signals come through `lifecycle/signals.py`, which has to
be there before anything else. Nothing here decides anything, and faults come as the operating system's own
OSError.
"""

import errno
import fcntl
import gc
import os
import select
import socket
import sys
import time

from calicopin.system_errors import of_a_moment

RETRY_LIMIT_MS = 5000.0  # ms for which a start tries again what the system refuses for a moment
RETRY_INTERVAL_MS = 50.0  # ms between two tries


class System:
    """The operating system.

    Times are float milliseconds; files are descriptors, paths and contents are plain.
    """

    @staticmethod
    def now():
        """The monotonic clock."""
        return time.monotonic() * 1000.0

    @staticmethod
    def wall():
        """Unix time; it may be set at any moment, in either direction."""
        return time.time() * 1000.0

    @staticmethod
    def boot():
        """A name for the machine's run since it was started, as long as which the monotonic clock goes on;
        "" where there is none to be had, OSError where it could not be read just now.
        """
        try:
            with open("/proc/sys/kernel/random/boot_id", encoding="ascii") as file:
                return file.read().strip()
        except OSError as fault:
            if of_a_moment(fault):
                raise
            return ""

    @staticmethod
    def pause(duration):
        """Stands still for so long, in ms: for a start, and for the end, when the loop waits no more."""
        time.sleep(duration / 1000.0)

    @staticmethod
    def poller():
        """Something with `register`, `modify`, `unregister` and `poll` (seconds), as `select.epoll` has
        them.
        """
        return select.epoll()

    @staticmethod
    def listen(host, port):
        """A listening socket that does not block."""
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
    def passed(descriptor):
        """The listening socket that this process inherited as the descriptor of that number, as one that
        does not block; ValueError where it is none.
        """
        try:
            sock = socket.socket(fileno=int(descriptor))
            listening = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        except (ValueError, OverflowError, OSError) as fault:
            raise ValueError(f"LB_PASSED_SOCKET: {descriptor[:40]!r} is no open socket: {fault}") from None
        if not listening:
            sock.detach()
            raise ValueError(f"LB_PASSED_SOCKET: descriptor {descriptor} does not listen")
        sock.setblocking(False)
        return sock

    @staticmethod
    def again():
        """This process begins anew, as it was started; it does not return."""
        os.execv(sys.executable, [sys.executable, *sys.orig_argv[1:]])

    @staticmethod
    def listen_path(path):
        """The same on a Unix socket; what a dead process left under that path makes room."""
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
        """Makes the folder where there is none and holds it until the process ends; OSError where another
        holds it.
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
        """What tells that a file was replaced or written to; None where there is none."""
        try:
            status = os.stat(path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino

    @staticmethod
    def stream():
        """A socket for one connection, not yet connected, that does not block."""
        return socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)

    @staticmethod
    def read(path):
        """A file's contents; FileNotFoundError where there is none."""
        with open(path, "rb") as file:
            return file.read()

    @staticmethod
    def open_to_read(path):
        """A file held open for reading: its name may go to another one."""
        return os.open(path, os.O_RDONLY | os.O_CLOEXEC)

    @staticmethod
    def read_at(file, size, offset):
        """Up to so many bytes of an open file from there on."""
        return os.pread(file, size, offset)

    @staticmethod
    def token(size):
        """So many random bytes as hexadecimal digits, not the same for two processes."""
        return os.urandom(size).hex()

    @staticmethod
    def create(path):
        """A new empty file for appending, in place of any other under its name."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, 0o600)

    @staticmethod
    def sync_folder(path):
        """The names in a folder are on the disk: a new file's own sync does not put its name there."""
        folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    @staticmethod
    def settle():
        """The program is read in and stays: its objects are left out of later collections."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(20000, 20, 50)

    @staticmethod
    def names(folder):
        """The files in a folder."""
        return os.listdir(folder)

    status = staticmethod(os.stat)  # (path), as an os.stat_result
    open_status = staticmethod(os.fstat)  # (file), the same
    remove = staticmethod(os.unlink)  # (path)
    sync = staticmethod(os.fdatasync)  # (file)
    write = staticmethod(os.write)  # (file, data) -> bytes written, fewer than given perhaps
    cut = staticmethod(os.ftruncate)  # (file, size)
    replace = staticmethod(os.replace)  # (path, path), at once

    @staticmethod
    def close(file):
        """Closes a file. The descriptor is free behind it whatever the system says, and what has to outlast a
        loss of power was synced before: a fault of the close itself tells nothing that could be done."""
        try:
            os.close(file)
        except OSError:
            pass


HERE = System()


def patiently(system, operation, *args):
    """What `operation(*args)` returns. For a start alone: what the system refuses for a moment is tried again
    `RETRY_LIMIT_MS`; then, or for any other reason at once, its OSError is raised.
    """
    deadline = system.now() + RETRY_LIMIT_MS
    while True:
        try:
            return operation(*args)
        except OSError as fault:
            if not of_a_moment(fault) or system.now() >= deadline:
                raise
        system.pause(RETRY_INTERVAL_MS)
