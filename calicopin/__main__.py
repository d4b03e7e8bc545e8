"""The courier on sockets: `python -m calicopin`."""
import sys

from calicopin.boot.start import main

if __name__ == "__main__":
    sys.exit(main())
