"""A list of partners in a watched file, validated as a whole before use."""

from loguru import logger

from calicopin.wire.loop import Until

CHECK_INTERVAL_MS = 500.0  # between two checks of the file


class ListFile:
    """Watches the file and passes each new valid list to `heard(places, True)`.

    `load` returns the places, or raises ValueError with one line for each error in the list, or OSError if
    the file cannot be read at the moment. A damaged, truncated or missing file changes nothing.
    """

    def __init__(self, loop, path, load, heard):
        self.loop, self.path, self.load, self.heard = loop, path, load, heard
        self.stamp, self.places = loop.system.stamp(path), None
        self.task = loop.spawn_restarting(self.watch)

    def stop(self):
        """Stops watching: another process does so now."""
        self.loop.cancel(self.task)

    def watch(self):
        """A coroutine that checks the file every `CHECK_INTERVAL_MS` and reads it when it has changed."""
        while True:
            yield Until(self.loop.now() + CHECK_INTERVAL_MS)
            stamp = self.loop.system.stamp(self.path)
            if stamp != self.stamp and self.take():
                self.stamp = stamp

    def take(self):
        """Reads the file now; False if that failed and has to be repeated."""
        try:
            places = self.load(self.path)
        except (ValueError, OSError) as fault:
            logger.error(
                "the list of partners was refused, the previous one stays in use: {fault}",
                event="list.refused",
                fault=fault,
            )
            return not isinstance(fault, OSError)
        if places != self.places:
            self.places = places
            logger.info(
                "loaded a new list of partners: {endpoints} endpoints",
                event="list.taken",
                endpoints=len(places),
            )
            self.heard([*places], True)
        return True
