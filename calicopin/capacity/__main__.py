"""`python -m calicopin.capacity`: prints the tables of docs/CAPACITY.md, or writes them."""

import argparse
import sys

from calicopin.capacity import page
from calicopin.capacity.size import PLANNED_SIZE


def main() -> int:
    """Exit code 0; 2 where the page cannot be read or lacks its markers."""
    parser = argparse.ArgumentParser(
        prog="python -m calicopin.capacity", description="The capacity model's tables."
    )
    parser.add_argument(
        "--write",
        action="store_true",
        help="write them between the markers of docs/CAPACITY.md and docs/subscriptions-design.md",
    )
    if not parser.parse_args().write:
        print("\n".join(page.pages(PLANNED_SIZE).values()), end="")
        return 0
    try:
        for path, made in page.pages(PLANNED_SIZE).items():
            text = path.read_text(encoding="utf-8")
            path.write_text(page.with_generated(text, made), encoding="utf-8")
    except (OSError, page.NoMarkersError) as fault:
        print(f"{path}: {fault}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
