"""The journal's interface on a log of segments.

Segments are numbered files, and only the newest is written to. A text belongs to the segment that holds its
complete record; its state records follow in the same segment or in later ones. The oldest segment is cleaned
first: its live texts are written completely to the newest segment, which makes all their earlier records
obsolete, and then its file is removed.

Segments are removed in this order only. A text whose end stands in a later segment therefore never reappears,
and no manifest is needed: the removal of a file is the only destructive step, and it follows the write of the
records that replace it.

The design follows LFS and Bitcask (the log is the store) and TigerBeetle (recovery relies on checksums, not
on lengths).
"""

import json
import os
import zlib
from collections import deque

from loguru import logger

from calicopin.fault_log import FaultLog
from calicopin.state.journal import (
    ACCEPTED,
    ENDED,
    ENDED_ID_BYTES,
    ENDED_IDS,
    FILE_HEADER,
    KEY_WINDOW_BYTES,
    KEY_WINDOWS,
    RAN,
    RECORD_HEADER,
    SUBMIT_ENDED,
    Journal,
    allocated_bytes,
    write_all,
)
from calicopin.store import plan

SEGMENT_SUFFIX = ".segment"
SEALED = b"Z"
FORMAT_VERSION = 1  # of the segments; folders with a newer one are not read
MAX_RECORD_BYTES = 1 << 18  # a record with a longer length field is damaged
IDS_PER_RECORD = 200  # ids of ended texts in one record


class NewerFormatError(Exception):
    """The folder was written by a newer version."""


def scan_records(data, checksum):
    """Yields (position, kind, payload) of every intact record, and (position, None, size) of every span that
    cannot be read.
    """
    position, damage_start = 0, None
    while position < len(data):
        size, crc = (
            RECORD_HEADER.unpack_from(data, position)
            if position + RECORD_HEADER.size <= len(data)
            else (0, 0)
        )
        record = (
            data[position + RECORD_HEADER.size : position + RECORD_HEADER.size + size]
            if 0 < size <= MAX_RECORD_BYTES
            else b""
        )
        if record and len(record) == size and checksum(record) == crc:
            if damage_start is not None:
                yield damage_start, None, position - damage_start
                damage_start = None
            yield position, record[:1], record[1:]
            position += RECORD_HEADER.size + size
        else:  # the next intact record may begin at any byte after this one
            damage_start = position if damage_start is None else damage_start
            position += 1
    if damage_start is not None:
        yield damage_start, None, position - damage_start


class Segments(Journal):
    """A journal in segments, with the same interface, `texts` and `past`.

    `sizes` holds the size of each file in bytes, `live_sizes` the live texts of each segment with the sizes
    of their records, `segment_of` the segment of each live text, `ended_by_segment` the ids whose end stands
    in each segment, `keys_by_segment` the names of the key windows whose keys do; `damage_count` counts the
    spans that could not be read.
    """

    def __init__(
        self,
        folder,
        most,
        offset,
        system,
        max_validity,
        boot="",
        durable=False,
        in_flight_elsewhere=None,
        now=None,
        key_memory=(),
    ):
        self.folder, self.durable, self.fault_log = folder, durable, FaultLog(now or system.now)
        self.legacy_file = False  # whether a journal in the single-file format is still beside the segments
        self.segment_head = b""  # first records of the newest segment, until they are written
        self.to_rewrite = {}  # ids of texts in a segment that could not be synced
        (
            self.sizes,
            self.live_sizes,
            self.ended_by_segment,
            self.segment_of,
            self.number,
            self.damage_count,
            self.moved_bytes,
            self.written_bytes,
        ) = (
            {},
            {},
            {},
            {},
            0,
            0,
            0,
            0,
        )
        self.keys_by_segment = {}
        super().__init__(
            folder, most, offset, system, max_validity, boot, in_flight_elsewhere, now, key_memory
        )

    def limit(self, most):
        """Sets the number of bytes that the folder may hold.

        Live records may fill half of it, since a second copy of all of them is never written.
        """
        self.segment_bytes = plan.segment_size(most)
        self.max_bytes, self.max_live_bytes, self.max_ended_id_bytes = (
            most - most // 20,
            most // 2,
            most // 20,
        )
        self.max_route_bytes = self.segment_bytes // 2  # all of them are written at the head of each segment

    def _path(self, number):
        return os.path.join(self.folder, f"{number:08d}{SEGMENT_SUFFIX}")

    # Reading.

    def _replay(self):
        numbers = sorted(
            int(name[: -len(SEGMENT_SUFFIX)])
            for name in self.system.list_directory(self.folder)
            if name.endswith(SEGMENT_SUFFIX) and name[: -len(SEGMENT_SUFFIX)].isdecimal()
        )
        self.legacy_file = super()._replay()  # in the format of earlier versions, converted once
        for ident in self.texts:
            self._assign(ident, 0)
        self.keys_by_segment[0] = deque(self.keys.windows)
        for number, following in zip(numbers, [*numbers[1:], None], strict=False):
            self.number = number
            self._replay_segment(number)
            if following is not None and following != number + 1:
                self._record_damage(
                    number + 1,
                    0,
                    "segments are missing",
                    "texts recorded there are lost or may be submitted again",
                )
        self._complete_replay()
        return self.legacy_file or bool(numbers)

    def _replay_segment(self, number):
        data, count, sealed, damaged = self.system.read(self._path(number)), 0, None, []
        self.sizes[number], self.live_sizes[number], self.ended_by_segment[number] = len(data), {}, deque()
        self.keys_by_segment[number] = deque()
        for position, kind, payload in scan_records(data, self._checksum):
            if kind is None:
                damaged.append((position, payload))
                continue
            count += 1
            if kind == SEALED:
                sealed = json.loads(payload)[0]
            elif kind == FILE_HEADER and json.loads(payload)[2:3] != [FORMAT_VERSION]:
                raise NewerFormatError(f"{self._path(number)} has a format that this version does not read")
            else:
                self._apply_in_segment(number, kind, payload)
        torn = sealed is None and damaged and damaged[-1][0] + damaged[-1][1] == len(data)
        for position, size in damaged[:-1] if torn else damaged:
            self._record_damage(
                number,
                position,
                f"{size} bytes cannot be read",
                "a text may be lost, and live texts are treated as possibly executed",
            )
        if sealed is not None and not damaged and count != sealed + 1:
            self._record_damage(number, 0, f"holds {count - 1} of {sealed} records", "a text may be lost")

    def _apply_in_segment(self, number, kind, payload):
        if kind == ACCEPTED:
            ident = json.loads(payload.partition(b"\n")[0])["ident"]
            self._apply_record(kind, payload)
            self._assign(ident, number, len(payload) + 1 + RECORD_HEADER.size)
        elif kind == ENDED:
            ident, *ended_at = json.loads(payload)
            text, segment = self.texts.get(ident), self.segment_of.get(ident)
            self._apply_record(kind, payload)
            self.ended_by_segment[number].append(ident)
            if text is not None:
                self._unassign(ident)
                self._assign_window(text, segment)
            for at in ended_at:  # the segment with the text's record may be gone
                self.ended_ids.add(ident, min(at - self.read_offset, self.now()))
        elif kind == ENDED_IDS:
            self._apply_record(kind, payload)
            self.ended_by_segment[number] += [ident for ident, _ in json.loads(payload)]
        elif kind == KEY_WINDOWS:
            self._apply_record(kind, payload)
            self.keys_by_segment[number] += [name for name, *_ in json.loads(payload)[2]]
        else:
            self._apply_record(kind, payload)

    def _record_damage(self, number, position, problem, effect):
        """Logs a damaged span. It may have held a submit or an end of any live text, so each live text is
        marked as one that may have been executed: it is not submitted again where that could cause a second
        effect.
        """
        self.damage_count += 1
        logger.error(
            "{path} damaged at byte {place}: {what}; {cost}",
            event="store.damaged",
            path=self._path(number),
            place=position,
            what=problem,
            cost=effect,
        )
        for text in self.texts.values():
            if text.ran_at is None:
                text.ran_at, text.ran_zone = text.until - self.max_validity, text.out_zone
                self.limited_texts[text.ident] = None

    _checksum = staticmethod(zlib.crc32)

    # Live texts by segment.

    def _assign(self, ident, number, size=0):
        """Records that the text's complete record stands in that segment."""
        self._unassign(ident)
        self.segment_of[ident] = number
        self.live_sizes.setdefault(number, {})[ident] = size
        self.record_sizes[ident] = size
        self.live_bytes += size

    def _unassign(self, ident):
        number = self.segment_of.pop(ident, None)
        if number is not None:
            self.live_bytes -= self.live_sizes[number].pop(ident)
            self.record_sizes.pop(ident, None)

    def _assign_window(self, text, number):
        """Records that the window of the text's key goes with that segment, which holds the key."""
        if (name := self.keys.name(text)) in self.keys.windows:
            self.keys_by_segment.setdefault(number, deque()).append(name)

    # Writing.

    def _add_cost(self, text, record):
        self._assign(text.ident, self.number, len(record))
        return record

    def ended(self, text, now):
        """Records that nothing is owed for the text any more; its id is kept in the segment written now, from
        `now` (ms) on.
        """
        if text.ident in self.texts:
            segment = self.segment_of.get(text.ident, self.number)
            del self.texts[text.ident], self.acceptance_order[text.ident]
            self._unassign(text.ident)
            self._buffer_record(ENDED, text.ident, now + self.offset)
            self.ended_ids.add(text.ident, now)
            # segment 0 stands for the first segment if that could not be created yet
            self.ended_by_segment.setdefault(self.number, deque()).append(text.ident)
            self.keys.ended(text, now)
            self._assign_window(text, segment)

    def _rewrite(self):
        """Begins a segment with the live texts of a legacy file and of a segment that could not be synced."""
        self.to_rewrite |= dict.fromkeys(self.live_sizes.get(0, ()))
        self._open_segment()
        self._write()
        for written in (self.to_rewrite, self.interrupted_texts, self.limited_texts):
            written.clear()
        try:
            self._remove_legacy_file()
        except OSError as fault:
            self._log_deferral(fault)

    def _remove_legacy_file(self):
        """Removes the legacy file once all its texts are in segments. Until then no segment may be removed,
        as it may hold the end of a text in the legacy file.
        """
        if self.legacy_file and os.path.basename(self.path) in self.system.list_directory(self.folder):
            self.system.remove(self.path)
        self.legacy_file = False

    def _open_segment(self):
        """Creates the next segment, or the same one again if nothing was written to it. `segment_head` holds
        its first records: the header, the discovery address, all routes, the texts and key windows to be
        written again, and what a restart found out.
        """
        number = self.number if self.sizes.get(self.number) == 0 else self.number + 1
        file = self.system.create(self._path(number))
        if self.durable:
            self._sync_folder(file)
        if self.file is not None:
            self.system.close(self.file)
        self.file, self.size, self.number, self.record_count = file, 0, number, 0
        self.sizes.setdefault(number, 0)
        self.live_sizes.setdefault(number, {})
        self.ended_by_segment.setdefault(number, deque()).extend(self.ended_by_segment.pop(0, ()))
        keys = self.keys_by_segment.setdefault(number, deque())
        keys.extend(self.keys_by_segment.pop(0, ()))
        header = self._record(FILE_HEADER, json.dumps([self.boot, self.offset, FORMAT_VERSION]).encode())
        moved = [self.texts[ident] for ident in self.to_rewrite if ident in self.texts]
        self.segment_head = (
            header
            + self._state_records()
            + self._key_record(keys)
            + b"".join(self._add_cost(text, self._text_record(text)) for text in moved)
            + self._restart_records()
        )
        if not self.live_sizes.get(0):
            self.live_sizes.pop(0, None)

    def _restart_records(self):
        """What a restart found out of texts whose records stay in earlier segments: the next one could no
        longer tell, once a further submit has ended or the window of a key is over.
        """
        ended = [ident for ident in self.interrupted_texts if ident in self.texts]
        limited = [self.texts[ident] for ident in self.limited_texts if ident in self.texts]
        return b"".join(
            [self._record(SUBMIT_ENDED, json.dumps([ident, True]).encode()) for ident in ended]
            + [
                self._record(RAN, json.dumps([text.ident, text.ran_at + self.offset, text.ran_zone]).encode())
                for text in limited
                if text.ran_at is not None
            ]
        )

    def _sync_folder(self, file):
        """Makes the new segment's name durable; if that fails, the segment is not used."""
        try:
            self.system.sync_folder(self.folder)
        except OSError:
            self.system.close(file)
            raise

    def _write(self):
        """Writes the segment head and the buffer to the newest segment."""
        data = self.segment_head + self.buffer
        if data:
            self._append(data)
            self.may_hold_unflushed, self.segment_head = False, b""
            self.buffer.clear()

    def _append(self, data):
        """Appends complete records to the newest segment: all, or none if the rest can be cut off again."""
        try:
            write_all(self.system, self.file, data)
        except OSError:  # a torn record in the middle would be read as damage
            self._truncate()
            raise
        if self.durable:
            self._sync()
        position = 0
        while position < len(data):
            position += RECORD_HEADER.size + RECORD_HEADER.unpack_from(data, position)[0]
            self.record_count += 1
        self.size += len(data)
        self.written_bytes += len(data)
        self.sizes[self.number] = self.size

    def _sync(self):
        """Syncs the newest segment. After a failed sync the page cache may mark pages as clean that never
        reached the disk, so the segment is not written to any more: what was not synced is cut off and goes
        to the next segment, and the live texts of this one are written there again.
        """
        try:
            self.system.sync(self.file)
        except OSError:
            self._truncate()
            if self.file is not None:
                self._abandon_file()
                self.may_hold_unflushed = False  # the records that were not synced were cut off
            for ident in list(self.live_sizes[self.number]):
                if ident in self.texts:
                    self.to_rewrite[ident] = None
            raise

    def flush(self):
        """Writes the buffered records to the log, then cleans a bounded amount. An error in cleaning is only
        logged, since the records are written; cleaning goes on with the next flush.
        """
        if self.file is None:
            self._rewrite()
        size = len(self.buffer)
        if not size:
            return
        self._write()
        try:
            self._remove_legacy_file()
            if self.size >= self.segment_bytes:
                self._seal()
            self._clean(size)
        except OSError as fault:
            self._log_deferral(fault)

    def _log_deferral(self, fault):
        """Logs that cleaning was refused by the system and is deferred."""
        self.fault_log.log_system_error(
            "store.cleaning-refused", "cleaning the segmented store is deferred", fault
        )

    def _seal(self):
        # not through the buffer: after a failure the buffer may go to another segment
        self._append(self._record(SEALED, json.dumps([self.record_count]).encode()))
        self.system.close(self.file)
        self.file = None  # nothing is written after the seal, even if the next segment cannot be created
        self._rewrite()

    def total(self):
        """The size of the log on disk, in bytes."""
        return sum(map(allocated_bytes, self.sizes.values()))

    def _clean(self, written_bytes):
        """Moves live records of the oldest segment to the newest, some at a time, and removes a segment
        without any.

        Goes on with the next segments as long as the disk limit would otherwise be exceeded.
        """
        cleaned = False
        # segments that are created below are left for later steps
        for oldest in sorted(self.sizes)[:-1]:
            live_sizes, total = self.live_sizes[oldest], self.total()
            keys = self.keys_by_segment[oldest]
            remaining = (
                sum(live_sizes.values())
                + ENDED_ID_BYTES * len(self.ended_by_segment[oldest])
                + KEY_WINDOW_BYTES * len(keys)
            )
            urgent = total + self.segment_bytes + remaining > self.max_bytes
            if remaining and cleaned and not urgent:
                return
            budget = plan.bytes_to_move(
                total,
                self.live_bytes
                + min(self.max_ended_id_bytes, ENDED_ID_BYTES * len(self.ended_ids.idents))
                + KEY_WINDOW_BYTES * len(self.keys),
                self.max_bytes,
                self.segment_bytes,
                written_bytes,
                remaining,
            )
            if remaining and not budget:
                return
            while live_sizes and budget > 0:
                text = self.texts[next(iter(live_sizes))]
                record = self._add_cost(text, self._text_record(text))
                self.buffer += record
                budget, self.moved_bytes = budget - len(record), self.moved_bytes + len(record)
            ended_ids, cleaned = self.ended_by_segment[oldest], cleaned or bool(remaining)
            while ended_ids and not live_sizes and budget > 0:
                budget -= self._carry_over(
                    [ended_ids.popleft() for _ in range(min(IDS_PER_RECORD, len(ended_ids)))]
                )
            while keys and not (live_sizes or ended_ids) and budget > 0:
                budget -= self._carry_over_windows(
                    [keys.popleft() for _ in range(min(IDS_PER_RECORD, len(keys)))]
                )
            self._write()
            if live_sizes or ended_ids or keys:
                return
            self.system.remove(self._path(oldest))
            del self.sizes[oldest], self.live_sizes[oldest], self.ended_by_segment[oldest]
            del self.keys_by_segment[oldest]
            if self.size >= self.segment_bytes:
                self._seal()

    def _carry_over_windows(self, names):
        """Writes the key windows that are still kept to the newest segment, before the segment with their
        keys is removed; returns the size of the record in bytes.
        """
        record = self._key_record(names)
        self.buffer += record
        self.keys_by_segment[self.number] += self.keys.kept(names, self.now())
        return len(record)

    def _carry_over(self, idents):
        """Writes the ended ids that may still be submitted again to the newest segment, before the segment
        with their end is removed; returns the size of the record in bytes.
        """
        max_ids = self.max_ended_id_bytes // ENDED_ID_BYTES
        kept = [
            (ident, at + self.offset)
            for ident in dict.fromkeys(idents)
            if (at := self.ended_ids.ended_at(ident, max_ids)) is not None
        ]
        if not kept:
            return 0
        record = self._record(ENDED_IDS, json.dumps(kept).encode())
        self.buffer += record
        self.ended_by_segment[self.number] += [ident for ident, _ in kept]
        return len(record)
