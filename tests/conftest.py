"""Fixtures of all tests: signals, log handlers and descriptors are restored, `loop` has a manual clock.

Also loads the hooks for the list of tests that are known to fail.
"""

import gc
import os
import signal
import sys

import pytest
from helper import Clock
from hypothesis import settings
from known_red import pytest_collection_modifyitems, pytest_terminal_summary
from loguru import logger

from calicopin.system import System
from calicopin.wire.loop import Loop

__all__ = [
    "pytest_collection_modifyitems",
    "pytest_terminal_summary",
    "signals",
    "log_handlers",
    "descriptors",
    "loop",
]


# Same examples in every run. Imported here: otherwise the plugin imports the library at the end of a run,
# when coroutines that tests left behind are collected. Their log lines parse source, which likely breaks the
# parse in progress.
settings.register_profile("calicopin", derandomize=True, deadline=None)
settings.load_profile("calicopin")


@pytest.fixture(autouse=True)
def signals():
    """Restores the signal handlers that a courier in the test process has replaced."""
    before = {sign: signal.getsignal(sign) for sign in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)}
    yield
    signal.set_wakeup_fd(-1)
    for sign, handler in before.items():
        signal.signal(sign, handler)


@pytest.fixture(autouse=True)
def log_handlers():
    """Replaces log handlers that write to a stream which was closed with its test."""
    yield
    logger.remove()
    logger.add(sys.stderr)


@pytest.fixture(autouse=True)
def descriptors(monkeypatch):
    """Closes the descriptors that couriers in the test process opened.

    A test leaves a killed courier as it is, and a plain descriptor, unlike a socket, is not closed when the
    object that held it is collected.
    """
    opened = []

    def recording(open_function):
        def open_and_record(*args, **keywords):
            result = open_function(*args, **keywords)
            numbers = result if isinstance(result, tuple) else (result,)
            opened.extend((number, identity(number)) for number in numbers)
            return result

        return open_and_record

    monkeypatch.setattr(os, "pipe2", recording(os.pipe2))
    for name in ("create", "lock", "open_to_read"):
        monkeypatch.setattr(System, name, staticmethod(recording(getattr(System, name))))
    yield
    signal.set_wakeup_fd(-1)
    if any(still_open(number, what) for number, what in opened):
        gc.collect()  # objects that close their own descriptors do so first
        for number, what in opened:
            if still_open(number, what):
                os.close(number)


def still_open(number, what):
    """Whether the descriptor still refers to the file that it was opened for."""
    return what is not None and identity(number) == what


def identity(number):
    """The device and inode of an open descriptor; None if it is not open."""
    try:
        status = os.fstat(number)
    except OSError:
        return None
    return status.st_dev, status.st_ino


@pytest.fixture
def loop():
    return Loop(now=Clock())
