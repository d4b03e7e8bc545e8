"""What the store cleans, when and how much. No I/O: sizes in bytes go in, a number of bytes comes out."""

LEAST_SEGMENT, MOST_SEGMENT = 4096, 8 << 20
PARTS = 16  # segments that the disk's share is cut into, about
SLACK = 2.2  # the log may be so many times what lives in it before it is cleaned
STRIDE = 2  # bytes moved for each byte written, so that cleaning keeps ahead of traffic
LEAST_STEP, MOST_STEP = 2048, 65536


def segment_size(most):
    """The size at which a segment is sealed."""
    return max(LEAST_SEGMENT, min(MOST_SEGMENT, most // PARTS))


def step(total, live, most, segment, written, oldest_live):
    """Bytes of the oldest segment's live records to move forward now.

    `total` is what the log holds on disk, `live` what it has to hold, `most` what it may; `written` is what
    this turn wrote, `oldest_live` what is left of the oldest.

    Nothing while the log is small against what lives; else in step with traffic, bounded, so that no turn
    waits long; all of the oldest where the disk would else be full before the next turn.
    """
    if total + segment + oldest_live > most:
        return oldest_live
    if total <= max(3 * segment, SLACK * live):
        return 0
    return max(LEAST_STEP, min(MOST_STEP, STRIDE * written))
