"""What a system call's fault says of the call, of the other side and of this machine. No I/O.

Source: the manual pages of Linux, section 2 (accept, connect, recv, send, socket, epoll_ctl) and section 7
(ip, tcp); the table with what is done on each stands in `docs/system-calls.md`.
"""

import errno

# The kernel had no room for the call; the connection or the file is as it was before.
PASSING = frozenset((errno.EINTR, errno.EAGAIN, errno.ENOBUFS, errno.ENOMEM))

# This machine had nothing to make a connection with: the other side was never asked.
LOCAL_RESOURCE_ERRORS = PASSING | {errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL}

# No way to the other side just now, told by this machine without asking; ECONNABORTED: broken off by it.
NO_ROUTE_ERRORS = frozenset((errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ENETDOWN, errno.ECONNABORTED))

# accept: of the one connection that was next, which is gone; the ones behind it are as good as before.
SINGLE_CONNECTION_ERRORS = frozenset(
    (
        errno.ECONNABORTED,
        errno.EINTR,
        errno.EPROTO,
        errno.EPERM,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ECONNRESET,
        errno.ETIMEDOUT,
    )
)

# Of files: what another moment may mend; a path that is wrong, or rights that are missing, it does not.
TRANSIENT_FILE_ERRORS = frozenset(
    (
        errno.EINTR,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EMFILE,
        errno.ENFILE,
        errno.EIO,
        errno.ENOSPC,
        errno.EDQUOT,
    )
)


def of_a_moment(fault: OSError) -> bool:
    """Whether opening, reading or making a file may succeed a moment later."""
    return fault.errno in TRANSIENT_FILE_ERRORS


def passes(fault: OSError) -> bool:
    """Whether the same call may succeed a moment later on the same connection or file."""
    return fault.errno in PASSING


def no_room_here(code: int | None) -> bool:
    """Whether a connection was not made for want of something on this machine."""
    return code in LOCAL_RESOURCE_ERRORS


def no_route(code: int | None) -> bool:
    """Whether this machine knew no way to the other side."""
    return code in NO_ROUTE_ERRORS


def of_one_connection(fault: OSError) -> bool:
    """Whether a fault of accept leaves the connections behind it to be accepted."""
    return fault.errno in SINGLE_CONNECTION_ERRORS
