"""Signal handling: signals are recorded from the start of the process and handled by the event loop."""

import os
import signal


class SignalReader:
    """Records SIGHUP, which requests a reload, and SIGTERM and SIGINT, which request the stop.

    Created before the rest of the program is imported, so that no signal ends the process by its default
    action. Signals that arrive before the loop runs are kept.
    """

    STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

    def __init__(self):
        self.received = set()
        for signal_number in (signal.SIGHUP, *self.STOP_SIGNALS):
            signal.signal(signal_number, lambda number, _: self.received.add(number))
        from calicopin.system import (  # after the handlers: this import takes long
            REAL_SYSTEM,
            call_with_retries,
        )

        self.fd, write_fd = call_with_retries(REAL_SYSTEM, os.pipe2, os.O_NONBLOCK | os.O_CLOEXEC)
        signal.set_wakeup_fd(write_fd, warn_on_full_buffer=False)
        if self.received:  # a signal came before the pipe was set up
            os.write(write_fd, b"\0")

    def take_signals(self):
        """The set of signals received since the last call."""
        try:
            while os.read(self.fd, 4096):
                pass
        except BlockingIOError:
            pass
        received, self.received = self.received, set()
        return received
