"""Imports loguru without asyncio."""

import importlib
import sys
import types


def no_event_loop():
    """Replaces `asyncio.get_running_loop`; always raises RuntimeError."""
    raise RuntimeError("a courier runs no asyncio event loop")


def load_logging():
    """Imports loguru with a placeholder for asyncio, which it needs only for sinks that are coroutines.

    asyncio also imports ssl, subprocess and concurrent: 5.9 MB of a courier's 25 MB and a fifth of the CPU
    time of a start. This matters most while two versions run side by side. A sink that is a coroutine fails
    with the error of `no_event_loop`. asyncio can still be imported afterwards.
    """
    if "asyncio" in sys.modules or "loguru" in sys.modules:
        return
    placeholder = types.ModuleType("asyncio")
    placeholder.get_running_loop = no_event_loop
    sys.modules["asyncio"] = placeholder
    try:
        importlib.import_module("loguru")
    finally:
        del sys.modules["asyncio"]
