"""The courier on sockets, told by the platform's variables: `python -m calicopin`.

With words behind it, the command line.
"""

import os
import sys

from calicopin.lifecycle.signals import SignalReader

EXIT_UNUSABLE = 2  # as for everything that cannot be read
OPERATOR_LIBRARIES = (
    "click",
    "msgspec",
    "tomli_w",
)  # the command line and operators' files need them, a courier doesn't


def main():
    """Serves as a courier where the platform's variables ask for it, else runs the command line; returns
    the exit code.
    """
    try:
        if len(sys.argv) > 1 or "LB_CONFIG" not in os.environ:
            return run_command_line()
        return run_courier()
    except ModuleNotFoundError as error:
        if error.name not in OPERATOR_LIBRARIES:
            raise
        print(
            f"the command line and operators' files need the library {error.name}, which is not installed:"
            " pip install calicopin (in its repository: pip install -r requirements-emulator.txt)",
            file=sys.stderr,
        )
        return EXIT_UNUSABLE


def run_command_line():
    """The command line on this process's words; ends the process itself."""
    from calicopin.command.__main__ import main as command

    return command(prog_name="calicopin")


def run_courier():
    """A courier until a signal ends it; returns the exit code."""
    signal_reader = SignalReader()  # before the rest is read in, which takes its time
    from calicopin.lifecycle.log_import import load_logging

    load_logging()
    from calicopin.lifecycle.start import main as serve

    return serve(signal_reader)


if __name__ == "__main__":
    sys.exit(main())
