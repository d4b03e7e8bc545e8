"""The courier on sockets, told by the platform's variables: `python -m calicopin`. With words behind it, the command line."""

import os
import sys

from calicopin.boot.signals import SignalReader


def main():
    if len(sys.argv) > 1 or "LB_CONFIG" not in os.environ:
        from calicopin.command.__main__ import main as command

        return command(prog_name="calicopin")
    signal_reader = SignalReader()  # before the rest is read in, which takes its time
    from calicopin.boot.log_import import load_logging

    load_logging()
    from calicopin.boot.start import main as serve

    return serve(signal_reader)


if __name__ == "__main__":
    sys.exit(main())
