"""The files of one machine. They survive a killed process and are lost with the machine."""

import errno


class Disk:
    """File contents by flat path.

    Faults: `capacity` (bytes in all), `error_odds` (odds that a write fails), `short_write_odds` (odds that a
    write takes only a part) and `write_delay_ms` (ms a write takes).
    """

    def __init__(self, rng, capacity=float("inf")):
        self.rng, self.files, self.capacity = rng, {}, capacity
        self.error_odds = self.short_write_odds = self.write_delay_ms = 0.0
        self.bytes_written = self.peak_size = 0

    def size(self):
        """Bytes in all files."""
        return sum(map(len, self.files.values()))

    def read(self, path):
        """The contents of a file. Raises FileNotFoundError."""
        if path not in self.files:
            raise FileNotFoundError(errno.ENOENT, "no such file", path)
        return bytes(self.files[path])

    def create(self, path):
        """Creates or truncates a file. Raises OSError where writes fail."""
        if self.error_odds and self.rng.random() < self.error_odds:
            raise OSError(errno.EIO, "input/output error", path)
        self.files[path] = file = bytearray()
        return file

    def write(self, file, data):
        """Writes as much as fits and returns the bytes written. Raises OSError where nothing fits, or by the
        odds.
        """
        if self.error_odds and self.rng.random() < self.error_odds:
            raise OSError(errno.EIO, "input/output error")
        size = (
            min(len(data), int(self.capacity - self.size())) if self.capacity != float("inf") else len(data)
        )
        if size <= 0 and len(data):
            raise OSError(errno.ENOSPC, "no space left on device")
        if self.short_write_odds and size > 1 and self.rng.random() < self.short_write_odds:
            size = self.rng.randrange(1, size)
        file += data[:size]
        self.bytes_written += size
        self.peak_size = max(self.peak_size, self.size())
        return size

    def clear(self):
        """Removes all files."""
        self.files.clear()
