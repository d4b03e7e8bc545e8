"""A courier process with faults of system calls: `python -m calicopin.soak.faulty_courier`.

It is configured like any courier, with the faults as JSON in `LB_SOAK_FAULTS`. Without faults it is
the same as in production.

`LB_SOAK_VARIANT` is for the tests of the soak itself. With `forgets`, a restarted courier ignores the outages
that its previous process recorded, and the send guard lets every call pass. With `believes`, a courier calls
again on a connection at once, and takes any answer for the one that it waits for.
"""

import json
import os
import sys

from calicopin.lifecycle.signals import SignalReader
from calicopin.soak.faulty_system import FaultInjector, FaultySystem, parse_faults

VARIANT_VARIABLE, FORGETS, BELIEVES = "LB_SOAK_VARIANT", "forgets", "believes"


def disable_outage_recovery() -> None:
    """Makes restarts ignore recorded outages, and the send guard hold back no call."""
    from calicopin.facade import Facade
    from calicopin.send_guard import SendGuard

    Facade.restore_route = lambda *_: None
    Facade.interrupted = lambda *_: None
    SendGuard.may_call = lambda *_: True


def believe_every_answer() -> None:
    """Makes the courier reuse connections at once and tell no answer from another."""
    from calicopin.connection_reuse import ReusePolicy

    ReusePolicy.has_settled = staticmethod(lambda idle_ms: True)
    ReusePolicy.may_keep = lambda *_: True
    ReusePolicy.is_copy = lambda *_: False


def main() -> int:
    """Serves until a signal; returns the courier's exit code."""
    signal_reader = SignalReader()
    from calicopin.lifecycle.log_import import load_logging

    load_logging()
    from calicopin.lifecycle import start

    if os.environ.get(VARIANT_VARIABLE) == FORGETS:
        disable_outage_recovery()
    if os.environ.get(VARIANT_VARIABLE) == BELIEVES:
        believe_every_answer()
    faults = json.loads(os.environ.get("LB_SOAK_FAULTS") or "[]")
    if faults:
        return start.main(signal_reader, FaultySystem(FaultInjector(parse_faults(faults), os.getpid())))
    return start.main(signal_reader)


if __name__ == "__main__":
    sys.exit(main())
