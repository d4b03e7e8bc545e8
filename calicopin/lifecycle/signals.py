"""Signals: heard from the first moment on, acted on by the loop."""

import os
import signal


class SignalReader:
    """SIGHUP calls for the configuration anew, SIGTERM and SIGINT for the stop.

    Made before anything else of the program, so that none of them ends it by default; what comes before the
    loop runs is not lost.
    """

    STOPS = (signal.SIGTERM, signal.SIGINT)

    def __init__(self):
        self.signs = set()
        for sign in (signal.SIGHUP, *self.STOPS):
            signal.signal(sign, lambda number, _: self.signs.add(number))
        from calicopin.system import HERE, patiently  # behind the handlers: reading it in takes a while

        self.fd, mouth = patiently(HERE, os.pipe2, os.O_NONBLOCK | os.O_CLOEXEC)
        signal.set_wakeup_fd(mouth, warn_on_full_buffer=False)
        if self.signs:  # it came before there was a pipe for it
            os.write(mouth, b"\0")

    def heard(self):
        """The signals that came since the last call, each once."""
        try:
            while os.read(self.fd, 4096):
                pass
        except BlockingIOError:
            pass
        signs, self.signs = self.signs, set()
        return signs
