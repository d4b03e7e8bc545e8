"""The courier on sockets: `python -m calicopin`."""
import sys

from calicopin.boot.ear import Ear

if __name__ == "__main__":
    ear = Ear()  # before the rest is read in, which takes its time
    from calicopin.boot.start import main
    sys.exit(main(ear))
