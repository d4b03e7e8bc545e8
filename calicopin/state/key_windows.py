"""Idempotency keys whose message may have taken effect, kept beyond the message: one that comes again under
the same key has to be submitted while its destination still knows the key. Times are milliseconds of the
monotonic clock. No I/O.
"""

import base64
import heapq
from dataclasses import dataclass
from hashlib import blake2b
from math import floor, inf

DIGEST_BYTES = 12
# A message that was handed in before the window ended may be read this much later.
LATE_READ_MS = 1000.0


@dataclass(slots=True, frozen=True)
class KeyWindow:
    """When the first submit under a key that may have run was sent, and to which zone; the window is kept
    until `kept_until`.
    """

    ran_at: float
    ran_zone: str | None
    kept_until: float


def digest(dest, key):
    """The name under which the window of a key at a destination is kept, of one size for any key."""
    hashed = blake2b(f"{dest} {key}".encode(), digest_size=DIGEST_BYTES)
    return base64.b64encode(hashed.digest()).decode()


class KeyWindows:
    """The windows of keys, by destination and key.

    `memory` holds, by product, how long (ms) destinations know a key, 0 where there are none. A window is
    kept no longer than `retention` (ms) beyond the end of its message: later the same key is a new message.
    """

    def __init__(self, memory, retention):
        self.memory, self.retention = tuple(memory), retention
        self.windows, self.expiries = {}, []  # expiries: a heap of (kept_until, digest)

    def __len__(self):
        return len(self.windows)

    def _window_ms(self, text):
        """How long the destination knows the text's key; 0 if it has none."""
        known = text.reference is not None and text.product < len(self.memory)
        return self.memory[text.product] if known else 0.0

    def name(self, text):
        """The name of the window of a text's key; None if no window is kept for its product."""
        return digest(text.dest, text.reference) if self._window_ms(text) else None

    def ended(self, text, now):
        """A text has got its final answer: keeps the window of its key if a submit may have run."""
        window_ms, ran_at, zone = self._window_ms(text), *text.first_run()
        if window_ms and ran_at is not None:
            kept_until = min(ran_at + window_ms, now + self.retention) + LATE_READ_MS
            self.put(self.name(text), KeyWindow(ran_at, zone, kept_until), now)

    def put(self, name, window, now):
        """Keeps a window unless an earlier one of its key is still kept; forgets those that are over."""
        self.forget_expired(now)
        if window.kept_until > now and name not in self.windows:
            self.windows[name] = window
            heapq.heappush(self.expiries, (window.kept_until, name))

    def forget_expired(self, now):
        """Forgets the windows that are over at `now`."""
        while self.expiries and self.expiries[0][0] <= now:
            del self.windows[heapq.heappop(self.expiries)[1]]

    def apply_to(self, text, now):
        """Has a text that comes under a kept key go on from the submit that may have run; returns whether
        there was one.
        """
        self.forget_expired(now)
        window = self.windows.get(self.name(text))
        if window is None or (text.ran_at is not None and text.ran_at <= window.ran_at):
            return False
        text.ran_at, text.ran_zone = window.ran_at, window.ran_zone
        return True

    def kept(self, names, now):
        """Those of the names whose windows are kept at `now`, each once."""
        self.forget_expired(now)
        return [name for name in dict.fromkeys(names) if name in self.windows]

    def values(self, names, origin):
        """The windows of these names as values that JSON can hold; times in whole ms from `origin` on."""
        windows = [(name, self.windows[name]) for name in names]
        return [
            [name, floor(window.ran_at - origin), window.ran_zone, floor(window.kept_until - origin)]
            for name, window in windows
        ]

    def restore(self, values, origin, now):
        """Restores what `values` returned, and returns the names. No submit counts as made later than `now`,
        and no window lasts longer than one that begins now.
        """
        latest_end = now + max(self.memory, default=inf) + LATE_READ_MS
        for name, ran_at, zone, kept_until in values:
            window = KeyWindow(min(origin + ran_at, now), zone, min(origin + kept_until, latest_end))
            self.put(name, window, now)
        return [name for name, *_ in values]
