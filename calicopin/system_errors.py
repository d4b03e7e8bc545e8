"""Classifies errors of system calls: transient, caused by this machine, or caused by one connection. No I/O.

Source: the Linux manual pages, section 2 (accept, connect, recv, send, socket, epoll_ctl) and section 7 (ip,
tcp). `docs/system-calls.md` lists how each error is handled.
"""

import errno

# The kernel lacked resources for the call, or a signal interrupted it; the connection or file is unchanged.
TRANSIENT_ERRORS = frozenset((errno.EINTR, errno.EAGAIN, errno.ENOBUFS, errno.ENOMEM))

# This machine lacked resources for a connection; the peer was not contacted.
LOCAL_RESOURCE_ERRORS = TRANSIENT_ERRORS | {errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL}

# No route to the peer, as reported by this machine; ECONNABORTED: aborted by this machine.
NO_ROUTE_ERRORS = frozenset((errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ENETDOWN, errno.ECONNABORTED))

# accept: errors of one connection, which is gone; the connections queued behind it are not affected.
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

# Files: errors that may pass; a wrong path or a missing permission does not.
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


def is_transient_file_error(fault: OSError) -> bool:
    """Whether opening, reading or creating a file may succeed if retried."""
    return fault.errno in TRANSIENT_FILE_ERRORS


def is_transient(fault: OSError) -> bool:
    """Whether the same call on the same connection or file may succeed if retried."""
    return fault.errno in TRANSIENT_ERRORS


def lacks_local_resources(code: int | None) -> bool:
    """Whether a connection failed because this machine lacked resources."""
    return code in LOCAL_RESOURCE_ERRORS


def no_route(code: int | None) -> bool:
    """Whether this machine had no route to the peer."""
    return code in NO_ROUTE_ERRORS


def concerns_one_connection(fault: OSError) -> bool:
    """Whether an error of accept concerns one connection only, so that the next can be accepted."""
    return fault.errno in SINGLE_CONNECTION_ERRORS
