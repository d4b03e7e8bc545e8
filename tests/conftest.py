"""What all tests share: signals, log handlers and descriptors as they were, a loop with a clock that the test
moves, and the list of tests known to fail.
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


# One verdict in every run. Read in here: the plugin would otherwise read the library in at the end of a
# run, when coroutines that tests left behind are collected; their log lines parse source, which likely
# breaks the parse under way.
settings.register_profile("calicopin", derandomize=True, deadline=None)
settings.load_profile("calicopin")


@pytest.fixture(autouse=True)
def signals():
    """Whatever a courier in the test's own process does to them is undone."""
    before = {sign: signal.getsignal(sign) for sign in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)}
    yield
    signal.set_wakeup_fd(-1)
    for sign, handler in before.items():
        signal.signal(sign, handler)


@pytest.fixture(autouse=True)
def log_handlers():
    """No handler stays behind that writes to a stream which ended with its test."""
    yield
    logger.remove()
    logger.add(sys.stderr)


@pytest.fixture(autouse=True)
def descriptors(monkeypatch):
    """What couriers of the test's own process opened by number is closed behind them. A test leaves a killed
    courier as it is, and a number, unlike a socket, is not closed with the object that held it.
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
        gc.collect()  # what would close some of them by itself does it now
        for number, what in opened:
            if still_open(number, what):
                os.close(number)


def still_open(number, what):
    """Whether that number stands for what it stood for when it was opened."""
    return what is not None and identity(number) == what


def identity(number):
    """Which file or pipe an open descriptor stands for; None where it is not open."""
    try:
        status = os.fstat(number)
    except OSError:
        return None
    return status.st_dev, status.st_ino


@pytest.fixture
def loop():
    return Loop(now=Clock())
