"""Entry point, `python -m calicopin`: a courier configured by environment variables, or the command line.

The command line runs if there are arguments or `LB_CONFIG` is not set.
"""

import os
import sys

from calicopin.lifecycle.signals import SignalReader

EXIT_UNUSABLE = 2  # also for configurations that cannot be read
OPERATOR_LIBRARIES = (
    "click",
    "msgspec",
    "tomli_w",
)  # needed by the command line and configuration files, not by a courier


def main():
    """Runs a courier or the command line; returns the exit code."""
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
    """Runs the command line on the arguments of this process; exits the process itself."""
    from calicopin.command.__main__ import main as command

    return command(prog_name="calicopin")


def run_courier():
    """Runs a courier until a signal stops it; returns the exit code."""
    signal_reader = SignalReader()  # before the slow imports below, so that no signal is lost
    from calicopin.lifecycle.log_import import load_logging

    load_logging()
    from calicopin.lifecycle.start import main as serve

    return serve(signal_reader)


if __name__ == "__main__":
    sys.exit(main())
