"""Decides when the segmented store cleans its oldest segment and how many bytes it moves. No I/O; sizes are
in bytes.
"""

MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES = 4096, 8 << 20
SEGMENTS_PER_LIMIT = 16  # approximate number of segments at the disk limit
MAX_TOTAL_TO_LIVE_RATIO = 2.2  # the log is cleaned once it is larger than this many times its live records
MOVED_PER_WRITTEN_BYTE = 2  # more than 1, so that cleaning keeps ahead of the traffic
MIN_MOVED_BYTES, MAX_MOVED_BYTES = 2048, 65536


def segment_size(limit):
    """The size at which a segment is sealed, for a folder that may hold `limit` bytes."""
    return max(MIN_SEGMENT_BYTES, min(MAX_SEGMENT_BYTES, limit // SEGMENTS_PER_LIMIT))


def bytes_to_move(total, live, limit, segment, written, oldest_live):
    """Bytes of the oldest segment's live records to move to the newest segment now.

    `total` is the size of the log on disk, `live` the size of what it has to keep, `limit` what it may take,
    `segment` the size of a segment; `written` is what this flush wrote, `oldest_live` what is still live in
    the oldest segment.

    Nothing is moved while the log is small in relation to its live records. Otherwise the amount follows the
    traffic, within bounds, so that no flush takes long. All of the oldest segment is moved if the disk limit
    could otherwise be exceeded before the next flush.
    """
    if total + segment + oldest_live > limit:
        return oldest_live
    if total <= max(3 * segment, MAX_TOTAL_TO_LIVE_RATIO * live):
        return 0
    return max(MIN_MOVED_BYTES, min(MAX_MOVED_BYTES, MOVED_PER_WRITTEN_BYTE * written))
