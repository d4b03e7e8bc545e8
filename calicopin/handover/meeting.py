"""Where the process that serves and the one that is to follow it meet: a Unix socket, frames of JSON,
descriptors beside them.
"""

import json
import os
import socket
import struct
import zlib

HEAD = struct.Struct("<I")
MOST_FRAME = 64 << 20
MOST_FDS = 64  # with one frame
CHUNK = 1 << 18
CREDENTIALS = struct.Struct("3i")


class HandoverError(ConnectionAbortedError):
    """The other side is gone, silent for too long, or says what cannot be read."""


def name(folder):
    """The socket's name, of its own for each folder that lasts."""
    return f"calicopin-{zlib.crc32(os.path.abspath(folder).encode()):08x}"


class Place:
    """The meeting place of the courier whose texts lie in `folder`; `where` is a folder that both
    processes see.
    """

    def __init__(self, where, folder):
        self.where, self.name = where, name(folder)

    def _socket(self, act):
        """A Unix socket with which `act(sock, path, parent)` was done, the folder being open as `parent`."""
        parent = os.open(self.where, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
            try:
                act(
                    sock, f"/proc/self/fd/{parent}/{self.name}", parent
                )  # however long the folder's own path is
            except OSError:
                sock.close()
                raise
            return sock
        finally:
            os.close(parent)

    def listen(self):
        """A listening socket that does not block, in place of any that lies there."""

        def bind(sock, path, parent):
            try:
                os.unlink(self.name, dir_fd=parent)
            except FileNotFoundError:
                pass
            sock.bind(path)
            sock.listen(4)
            sock.setblocking(False)

        return self._socket(bind)

    def visit(self):
        """A connection to whoever listens there; OSError where nobody does."""
        return self._socket(lambda sock, path, parent: sock.connect(path))


def ours(sock):
    """Whether the other side runs under our own user: nobody else is given a thing."""
    return (
        CREDENTIALS.unpack(sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size))[1]
        == os.getuid()
    )


class Talk:
    """Frames on one connection. `patience` (seconds) bounds each wait for the other side."""

    def __init__(self, sock, patience):
        self.sock, self.data, self.fds = sock, bytearray(), []
        sock.settimeout(patience)

    def say(self, what, fds=()):
        """One frame, with descriptors that become the other side's."""
        data = json.dumps(what).encode()
        data = HEAD.pack(len(data)) + data
        try:
            done = socket.send_fds(self.sock, [data], list(fds)) if fds else 0
            self.sock.sendall(memoryview(data)[done:])
        except OSError as fault:
            raise HandoverError(f"it does not listen: {fault}") from None

    def hear(self):
        """(what, descriptors) of the next frame; they are the caller's to close."""
        while True:
            if len(self.data) >= HEAD.size:
                (size,) = HEAD.unpack_from(self.data)
                if size > MOST_FRAME:
                    raise HandoverError("a frame that is too long")
                if len(self.data) >= HEAD.size + size:
                    break
            try:
                data, fds, _, _ = socket.recv_fds(self.sock, CHUNK, MOST_FDS, socket.MSG_CMSG_CLOEXEC)
            except OSError as fault:
                raise HandoverError(f"it does not answer: {fault}") from None
            if not data:
                raise HandoverError("it is gone")
            self.data += data
            self.fds += fds
        try:
            what = json.loads(bytes(self.data[HEAD.size : HEAD.size + size]))
            count = int(what.get("fds", 0))
        except (ValueError, AttributeError, TypeError, RecursionError) as fault:
            raise HandoverError(f"a frame that cannot be read: {fault}") from None
        del self.data[: HEAD.size + size]
        fds, self.fds = self.fds[:count], self.fds[count:]
        if len(fds) < count:
            raise HandoverError("a frame without its descriptors")
        return what, fds

    def close(self):
        """Closes the connection, and descriptors that came and were not taken."""
        for fd in self.fds:
            os.close(fd)
        self.fds = []
        self.sock.close()
