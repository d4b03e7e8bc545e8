"""The log without the event loop that comes with it."""

import importlib
import sys
import types


def no_event_loop():
    """What stands in for asyncio's loop; RuntimeError always."""
    raise RuntimeError("there is no event loop of asyncio's in a courier")


def load_logging():
    """Reads loguru in without asyncio, which it needs for sinks that are coroutines only; with asyncio
    come ssl, subprocess and concurrent: 5.9 MB of 25 and a fifth of the CPU of a start. Guards couriers
    with little memory, above all while two versions run side by side. It would hurt whoever adds a sink
    that is a coroutine: that is told by `no_event_loop`. asyncio itself may be imported as ever.
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
