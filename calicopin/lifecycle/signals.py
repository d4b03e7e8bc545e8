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
        self.received = set()
        for signal_number in (signal.SIGHUP, *self.STOPS):
            signal.signal(signal_number, lambda number, _: self.received.add(number))
        from calicopin.system import HERE, patiently  # behind the handlers: reading it in takes a while

        self.fd, write_fd = patiently(HERE, os.pipe2, os.O_NONBLOCK | os.O_CLOEXEC)
        signal.set_wakeup_fd(write_fd, warn_on_full_buffer=False)
        if self.received:  # it came before there was a pipe for it
            os.write(write_fd, b"\0")

    def heard(self):
        """The signals that came since the last call, each once."""
        try:
            while os.read(self.fd, 4096):
                pass
        except BlockingIOError:
            pass
        received, self.received = self.received, set()
        return received
