"""`python -m calicopin.capacity`: prints the tables of docs/CAPACITY.md, or writes them into the page."""

import argparse
import sys

from calicopin.capacity import page
from calicopin.capacity.size import IN_TWO_YEARS


def main() -> int:
    """Exit code 0; 2 where the page cannot be read or lacks its markers."""
    parser = argparse.ArgumentParser(
        prog="python -m calicopin.capacity", description="The capacity model's tables."
    )
    parser.add_argument(
        "--write", action="store_true", help="write them into docs/CAPACITY.md between its two markers"
    )
    if not parser.parse_args().write:
        print(page.generated(IN_TWO_YEARS), end="")
        return 0
    try:
        text = page.PAGE.read_text(encoding="utf-8")
        page.PAGE.write_text(page.with_generated(text, IN_TWO_YEARS), encoding="utf-8")
    except (OSError, page.NoMarkers) as fault:
        print(f"{page.PAGE.name}: {fault}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
