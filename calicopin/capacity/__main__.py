"""`python -m calicopin.capacity`: prints the generated tables, or writes them into the pages under docs/."""

import argparse
import sys

from calicopin.capacity import page
from calicopin.capacity.size import PLANNED_SIZE


def main() -> int:
    """Returns exit code 0, or 2 if a page cannot be read or written or lacks its markers."""
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
        for path, generated in page.pages(PLANNED_SIZE).items():
            text = path.read_text(encoding="utf-8")
            path.write_text(page.with_generated(text, generated), encoding="utf-8")
    except (OSError, page.NoMarkersError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
