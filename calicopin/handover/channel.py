"""The channel of a handover between the serving process and its successor: a Unix socket that carries frames
of JSON, and descriptors with them.
"""

import json
import os
import socket
import struct
import zlib

FRAME_HEADER = struct.Struct("<I")
MAX_FRAME_BYTES = 64 << 20
MAX_FRAME_DESCRIPTORS = 64  # in one frame
RECEIVE_BYTES = 1 << 18
RELOAD = b"R"  # sent behind the frames, by a retired process that was signalled to reload
PEER_CREDENTIALS = struct.Struct("3i")


class HandoverError(ConnectionAbortedError):
    """The other process has gone, did not answer in time, or sent something that cannot be read."""


def socket_name(folder):
    """The socket's name, different for each courier folder."""
    return f"calicopin-{zlib.crc32(os.path.abspath(folder).encode()):08x}"


class HandoverSocket:
    """The handover socket of the courier whose texts are stored in `folder`; `shared_folder` is a folder that
    both processes can see.
    """

    def __init__(self, shared_folder, folder):
        self.shared_folder, self.socket_name = shared_folder, socket_name(folder)

    def _open_socket(self, action):
        """A Unix socket after `action(sock, path, folder_descriptor)`, where the descriptor is that of the
        shared folder.
        """
        folder_descriptor = os.open(self.shared_folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
            try:
                # short enough for a socket address, however long the folder's path is
                action(sock, f"/proc/self/fd/{folder_descriptor}/{self.socket_name}", folder_descriptor)
            except OSError:
                sock.close()
                raise
            return sock
        finally:
            os.close(folder_descriptor)

    def listen(self):
        """A non-blocking listening socket, which replaces any socket file of the same name."""

        def bind(sock, path, folder_descriptor):
            try:
                os.unlink(self.socket_name, dir_fd=folder_descriptor)
            except FileNotFoundError:
                pass
            sock.bind(path)
            sock.listen(4)
            sock.setblocking(False)

        return self._open_socket(bind)

    def connect(self):
        """A connection to the listening process; OSError if there is none."""
        return self._open_socket(lambda sock, path, folder_descriptor: sock.connect(path))


def is_same_user(sock):
    """Whether the peer process runs as the same user; a handover is made with no other."""
    return (
        PEER_CREDENTIALS.unpack(
            sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
        )[1]
        == os.getuid()
    )


class Channel:
    """Frames on one connection. `timeout` (seconds) bounds each wait for the other process."""

    def __init__(self, sock, timeout):
        self.sock, self.buffer, self.descriptors = sock, bytearray(), []
        sock.settimeout(timeout)

    def send(self, message, descriptors=()):
        """Sends one frame, with descriptors that the other process receives. Raises HandoverError."""
        data = json.dumps(message).encode()
        data = FRAME_HEADER.pack(len(data)) + data
        try:
            sent = socket.send_fds(self.sock, [data], list(descriptors)) if descriptors else 0
            self.sock.sendall(memoryview(data)[sent:])
        except OSError as fault:
            raise HandoverError(f"sending to the other process failed: {fault}") from None

    def receive(self):
        """(message, descriptors) of the next frame; the caller closes them. Raises HandoverError."""
        while True:
            if len(self.buffer) >= FRAME_HEADER.size:
                (size,) = FRAME_HEADER.unpack_from(self.buffer)
                if size > MAX_FRAME_BYTES:
                    raise HandoverError("frame is longer than 64 MiB")
                if len(self.buffer) >= FRAME_HEADER.size + size:
                    break
            try:
                data, descriptors, _, _ = socket.recv_fds(
                    self.sock, RECEIVE_BYTES, MAX_FRAME_DESCRIPTORS, socket.MSG_CMSG_CLOEXEC
                )
            except OSError as fault:
                raise HandoverError(f"no answer from the other process: {fault}") from None
            if not data:
                raise HandoverError("the other process closed the connection")
            self.buffer += data
            self.descriptors += descriptors
        try:
            message = json.loads(bytes(self.buffer[FRAME_HEADER.size : FRAME_HEADER.size + size]))
            count = int(message.get("fds", 0))
        except (ValueError, AttributeError, TypeError, RecursionError) as fault:
            raise HandoverError(f"frame cannot be decoded: {fault}") from None
        del self.buffer[: FRAME_HEADER.size + size]
        descriptors, self.descriptors = self.descriptors[:count], self.descriptors[count:]
        if len(descriptors) < count:
            raise HandoverError("frame without its descriptors")
        return message, descriptors

    def close(self):
        """Closes the connection, and received descriptors that were not handed to a caller."""
        for fd in self.descriptors:
            os.close(fd)
        self.descriptors = []
        self.sock.close()
