"""Runs `calicopin.simulator_adapter`, for deploy files that still use `python -m calicopin.drill`."""

import sys

from calicopin.simulator_adapter.__main__ import main

if __name__ == "__main__":
    sys.exit(main())
