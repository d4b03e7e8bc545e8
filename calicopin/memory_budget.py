"""How the memory of a courier is shared out among what clients can make it hold. No I/O; sizes are bytes."""

from dataclasses import dataclass

PROCESS_BYTES = 26_000_000  # of a process whose clients are all idle
MIN_SHARE_BYTES = 2_000_000
SLOWED_REQUEST_MS = 10.0  # between two requests of one connection


@dataclass(frozen=True, slots=True)
class MemoryBudget:
    """`receive_bytes` for data of incomplete requests, `history_bytes` for ids and keys of messages that have
    ended, which are kept for a while so that none runs twice.
    """

    receive_bytes: int = MIN_SHARE_BYTES
    history_bytes: int = MIN_SHARE_BYTES

    def is_history_full(self, used):
        """Whether no further message can be accepted until older ids and keys have expired."""
        return used >= self.history_bytes

    def request_delay(self, used):
        """How long (ms) each connection has to wait before its next request is read. Once half of the history
        is used, no client may use up the rest alone; fewer requests than that are not delayed.
        """
        return SLOWED_REQUEST_MS if used >= self.history_bytes / 2 else 0.0


def memory_budget(limit):
    """The budget of a process that may take `limit` bytes; 0 where no limit is configured."""
    share = max(MIN_SHARE_BYTES, (limit - PROCESS_BYTES) // 4)
    return MemoryBudget(2 * share if share > MIN_SHARE_BYTES else share, share)
