"""The journal's calls on a log of segments.

Segments are numbered and only the newest is written to. A text's home is the segment that holds its whole
record; state records behind it lie in the same segment or in later ones. The oldest segment is cleaned first:
what lives there is written whole to the newest, which makes every record before that worthless, and then its
file is removed. No other order of removal is possible, so a text whose end stands in a later segment never
comes back, and no manifest is needed: one file's removal is the only step that takes anything away, and it
comes after what replaces it was written.

Taken from LFS and Bitcask (a log that is the store), and from TigerBeetle (recovery that believes checksums,
not lengths).
"""

import json
import os
import zlib
from collections import deque

from loguru import logger

from calicopin.fault_log import FaultLog
from calicopin.state.journal import BEGUN, ENTRY, HEAD, OVER, PAST, TAKEN, Journal, blocks, write_all
from calicopin.store import plan

ENDING = ".segment"
SEALED = b"Z"
FORM = 1  # of the segments; a newer one is not read
MOST_RECORD = 1 << 18  # bytes: what claims to be longer is damaged
CHUNK = 200  # ids of ended texts in one record


class NewerFormError(Exception):
    """A folder that a newer version wrote."""


def frames(data, check):
    """(place, kind, rest) of every sound record, and (place, None, size) for every span that is none."""
    place, bad = 0, None
    while place < len(data):
        size, crc = HEAD.unpack_from(data, place) if place + HEAD.size <= len(data) else (0, 0)
        record = data[place + HEAD.size : place + HEAD.size + size] if 0 < size <= MOST_RECORD else b""
        if record and len(record) == size and check(record) == crc:
            if bad is not None:
                yield bad, None, place - bad
                bad = None
            yield place, record[:1], record[1:]
            place += HEAD.size + size
        else:  # the next sound record may lie anywhere behind it
            bad = place if bad is None else bad
            place += 1
    if bad is not None:
        yield bad, None, place - bad


class Segments(Journal):
    """`texts`, `past` and the calls are the journal's own.

    `sizes` holds each file's size, `homes` the live texts of each segment with what they take, `ended` the
    ids whose end stands there; `damage` counts spans that could not be read.
    """

    def __init__(self, folder, most, offset, system, lasting, boot="", durable=False, out=None, now=None):
        self.folder, self.durable, self.faults = folder, durable, FaultLog(now or system.now)
        self.single_file = False  # whether a journal of the single-file form lies beside the segments
        self.head = b""  # of the newest segment, until it is written
        self.rewritten = {}  # ids whose home could not be synced: they are written anew to the next segment
        self.sizes, self.homes, self.ended, self.home, self.number, self.damage, self.moved, self.written = (
            {},
            {},
            {},
            {},
            0,
            0,
            0,
            0,
        )
        super().__init__(folder, most, offset, system, lasting, boot, out, now)

    def limit(self, most):
        """So many bytes the folder may hold.

        Live records may fill half: no second copy of all is ever written.
        """
        self.segment = plan.segment_size(most)
        self.most, self.most_live, self.most_past = most - most // 20, most // 2, most // 20
        self.most_routes = self.segment // 2  # all of them stand at the head of each segment

    def _path(self, number):
        return os.path.join(self.folder, f"{number:08d}{ENDING}")

    # Reading.

    def _replay(self):
        numbers = sorted(
            int(name[: -len(ENDING)])
            for name in self.system.names(self.folder)
            if name.endswith(ENDING) and name[: -len(ENDING)].isdecimal()
        )
        self.single_file = super()._replay()  # of before, carried over once
        for ident in self.texts:
            self._settle(ident, 0)
        for number, after in zip(numbers, [*numbers[1:], None], strict=False):
            self.number = number
            self._segment(number)
            if after is not None and after != number + 1:
                self._damaged(
                    number + 1,
                    0,
                    "segments are missing",
                    "texts whose records stood there are lost or may go again",
                )
        self._come_back()
        return self.single_file or bool(numbers)

    def _segment(self, number):
        data, count, sealed, holes = self.system.read(self._path(number)), 0, None, []
        self.sizes[number], self.homes[number], self.ended[number] = len(data), {}, deque()
        for place, kind, rest in frames(data, self._check):
            if kind is None:
                holes.append((place, rest))
                continue
            count += 1
            if kind == SEALED:
                sealed = json.loads(rest)[0]
            elif kind == BEGUN and json.loads(rest)[2:3] != [FORM]:
                raise NewerFormError(f"{self._path(number)} has a form that this version does not read")
            else:
                self._apply(number, kind, rest)
        torn = sealed is None and holes and holes[-1][0] + holes[-1][1] == len(data)
        for place, size in holes[:-1] if torn else holes:
            self._damaged(
                number,
                place,
                f"{size} bytes cannot be read",
                "a text may be lost, and none that lives may go again",
            )
        if sealed is not None and not holes and count != sealed + 1:
            self._damaged(
                number, 0, f"holds {count - 1} records where {sealed} were written", "a text may be lost"
            )

    def _apply(self, number, kind, rest):
        if kind == TAKEN:
            ident = json.loads(rest.partition(b"\n")[0])["ident"]
            self._read(kind, rest)
            self._settle(ident, number, len(rest) + 1 + HEAD.size)
        elif kind == OVER:
            ident = json.loads(rest)[0]
            known = ident in self.texts
            self._read(kind, rest)
            if known:
                self._leave(ident)
                self.ended[number].append(ident)
        elif kind == PAST:
            self._read(kind, rest)
            self.ended[number] += [ident for ident, _ in json.loads(rest)]
        else:
            self._read(kind, rest)

    def _damaged(self, number, place, what, cost):
        """What could not be read may have been a submit or an end of any text that lives: none of them may
        go again where that would be a second effect.
        """
        self.damage += 1
        logger.error(
            "{path} at {place}: {what}; {cost}",
            event="store.damaged",
            path=self._path(number),
            place=place,
            what=what,
            cost=cost,
        )
        for text in self.texts.values():
            if text.ran_at is None:
                text.ran_at, text.ran_zone = text.until - self.lasting, text.out_zone

    _check = staticmethod(zlib.crc32)

    # Homes.

    def _settle(self, ident, number, size=0):
        """The text's whole record stands in that segment now."""
        self._leave(ident)
        self.home[ident] = number
        self.homes.setdefault(number, {})[ident] = size
        self.costs[ident] = size
        self.live += size

    def _leave(self, ident):
        number = self.home.pop(ident, None)
        if number is not None:
            self.live -= self.homes[number].pop(ident)
            self.costs.pop(ident, None)

    # Writing.

    def _count(self, text, record):
        self._settle(text.ident, self.number, len(record))
        return record

    def over(self, text, now):
        """Nothing is owed for the text any more; its id stands in the segment written now, from `now` (ms)
        on.
        """
        if text.ident in self.texts:
            del self.texts[text.ident]
            self._leave(text.ident)
            self._put(OVER, text.ident, now + self.offset)
            self.past.add(text.ident, now)
            # segment 0 stands for the first one, where that could not be made yet
            self.ended.setdefault(self.number, deque()).append(text.ident)

    def _rewrite(self):
        """A new segment, with what the single file of before held and what lives in an unsynced segment."""
        self.rewritten |= dict.fromkeys(self.homes.get(0, ()))
        self._open()
        self._write()
        self.rewritten.clear()
        try:
            self._remove_single_file()
        except OSError as fault:
            self._put_off(fault)

    def _remove_single_file(self):
        """The single file of before goes once all of it stands here. Until then no segment may go: it may
        hold the end of a message that stands there.
        """
        if self.single_file and os.path.basename(self.path) in self.system.names(self.folder):
            self.system.remove(self.path)
        self.single_file = False

    def _open(self):
        """The next segment; the same one again while nothing is in it. `head` is what it begins with: its
        header, all routes, and the messages that are to be written anew.
        """
        number = self.number if self.sizes.get(self.number) == 0 else self.number + 1
        file = self.system.create(self._path(number))
        if self.durable:
            self._sync_name(file)
        if self.file is not None:
            self.system.close(self.file)
        self.file, self.size, self.number, self.records = file, 0, number, 0
        self.sizes.setdefault(number, 0)
        self.homes.setdefault(number, {})
        self.ended.setdefault(number, deque()).extend(self.ended.pop(0, ()))
        header = self._record(BEGUN, json.dumps([self.boot, self.offset, FORM]).encode())
        moved = [self.texts[ident] for ident in self.rewritten if ident in self.texts]
        self.head = (
            header + self._all_routes() + b"".join(self._count(text, self._taken(text)) for text in moved)
        )
        if not self.homes.get(0):
            self.homes.pop(0, None)

    def _sync_name(self, file):
        """The name of a new segment is on the disk; where it is not, the segment is not written to."""
        try:
            self.system.sync_folder(self.folder)
        except OSError:
            self.system.close(file)
            raise

    def _write(self):
        """The head and the buffer, to the newest segment."""
        data = self.head + self.buffer
        if data:
            self._append(data)
            self.torn, self.head = False, b""
            self.buffer.clear()

    def _append(self, data):
        """Whole records, to the newest segment: all of them or, as far as can be had, none."""
        try:
            write_all(self.system, self.file, data)
        except OSError:  # a torn record in the middle would look like damage
            self._cut_off()
            raise
        if self.durable:
            self._sync()
        place = 0
        while place < len(data):
            place += HEAD.size + HEAD.unpack_from(data, place)[0]
            self.records += 1
        self.size += len(data)
        self.written += len(data)
        self.sizes[self.number] = self.size

    def _sync(self):
        """The newest segment is on the disk. Behind a sync that failed the page cache may call clean what
        the disk never took: nothing more goes into this segment, what was not synced is cut off and written
        to the next one, and what lives here from before is written there anew.
        """
        try:
            self.system.sync(self.file)
        except OSError:
            self._cut_off()
            if self.file is not None:
                self._leave_file()
                self.torn = False  # it was cut off
            for ident in list(self.homes[self.number]):
                if ident in self.texts:
                    self.rewritten[ident] = None
            raise

    def flush(self):
        """Everything so far is in the log once this returns; then a bounded step of cleaning. A fault of that
        step is none of what was flushed: the step is taken again with the next flush.
        """
        if self.file is None:
            self._rewrite()
        size = len(self.buffer)
        if not size:
            return
        self._write()
        try:
            self._remove_single_file()
            if self.size >= self.segment:
                self._seal()
            self._clean(size)
        except OSError as fault:
            self._put_off(fault)

    def _put_off(self, fault):
        """Cleaning that the system refuses is done later."""
        self.faults.tell_refusal("store.cleaning-refused", "cleaning the store is put off", fault)

    def _seal(self):
        # not by way of the buffer: where it fails, the buffer may go to another segment
        self._append(self._record(SEALED, json.dumps([self.records]).encode()))
        self.system.close(self.file)
        self.file = None  # nothing goes behind the seal, also where the next segment cannot be made
        self._rewrite()

    def total(self):
        """Bytes of the log on disk."""
        return sum(map(blocks, self.sizes.values()))

    def _clean(self, written):
        """The oldest segment's live records move forward, a few at a time; an empty one goes.

        Where the disk would else be full, one after the other until it is not.
        """
        stepped = False
        for oldest in sorted(self.sizes)[
            :-1
        ]:  # those that are there now: what this writes itself is left for later turns
            homes, total = self.homes[oldest], self.total()
            all_ = sum(homes.values()) + ENTRY * len(self.ended[oldest])
            urgent = total + self.segment + all_ > self.most
            if all_ and stepped and not urgent:
                return
            left = plan.step(
                total,
                self.live + min(self.most_past, ENTRY * len(self.past.idents)),
                self.most,
                self.segment,
                written,
                all_,
            )
            if all_ and not left:
                return
            while homes and left > 0:
                text = self.texts[next(iter(homes))]
                record = self._count(text, self._taken(text))
                self.buffer += record
                left, self.moved = left - len(record), self.moved + len(record)
            ended, stepped = self.ended[oldest], stepped or bool(all_)
            while ended and not homes and left > 0:
                left -= self._carry([ended.popleft() for _ in range(min(CHUNK, len(ended)))])
            self._write()
            if homes or ended:
                return
            self.system.remove(self._path(oldest))
            del self.sizes[oldest], self.homes[oldest], self.ended[oldest]
            if self.size >= self.segment:
                self._seal()

    def _carry(self, idents):
        """Ids that ended, for which a copy may still come, are written on before the segment of their end
        goes.
        """
        most = self.most_past // ENTRY
        kept = [
            (ident, at + self.offset)
            for ident in dict.fromkeys(idents)
            if (at := self.past.when(ident, most)) is not None
        ]
        if not kept:
            return 0
        record = self._record(PAST, json.dumps(kept).encode())
        self.buffer += record
        self.ended[self.number] += [ident for ident, _ in kept]
        return len(record)
