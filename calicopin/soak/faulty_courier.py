"""A courier process with faults of system calls: `python -m calicopin.soak.faulty_courier`, configured as any
courier, with the faults as JSON in `LB_SOAK_FAULTS`. Without them it is a courier as in service.

`LB_SOAK_VARIANT=forgets` makes the fault of issue 43 again, for the tests of the soak itself: a start passes
over what the last process knew of outages, and the guard lets everything go.
"""

import json
import os
import sys

from calicopin.lifecycle.signals import SignalReader
from calicopin.soak.faulty_system import FaultInjector, FaultySystem, parse_faults

VARIANT_VARIABLE, FORGETS = "LB_SOAK_VARIANT", "forgets"


def disable_outage_recovery() -> None:
    """From here on outages are forgotten by a restart, and nothing holds a call back for it."""
    from calicopin.facade import Facade
    from calicopin.send_guard import SendGuard

    Facade.restore_route = lambda *_: None
    Facade.interrupted = lambda *_: None
    SendGuard.may_call = lambda *_: True


def main() -> int:
    """Serves until a signal; the exit code is a courier's own."""
    signal_reader = SignalReader()
    from calicopin.lifecycle.log_import import load_logging

    load_logging()
    from calicopin.lifecycle import start

    if os.environ.get(VARIANT_VARIABLE) == FORGETS:
        disable_outage_recovery()
    faults = json.loads(os.environ.get("LB_SOAK_FAULTS") or "[]")
    if faults:
        return start.main(signal_reader, FaultySystem(FaultInjector(parse_faults(faults), os.getpid())))
    return start.main(signal_reader)


if __name__ == "__main__":
    sys.exit(main())
