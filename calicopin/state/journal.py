"""The journal: a file that records which texts were accepted, submitted and ended, so that a restart gives
each text exactly one end.

`flush` appends the buffered records with plain writes; a torn record at the end is cut off at the next start.
When the file has grown, the live records are written to a new file that replaces it. Times in the file are
wall time.
"""

import json
import os
import struct
import zlib
from dataclasses import astuple
from math import floor

from loguru import logger

from calicopin import route_state
from calicopin.discovery_address import DiscoveryAddress
from calicopin.slow_start import WELL
from calicopin.state.key_windows import KeyWindows
from calicopin.state.texts import EndedIds, Text
from calicopin.system import REAL_SYSTEM

RECORD_HEADER = struct.Struct("<II")
BLOCK_BYTES = 512
UNLIMITED = float("inf")
ACCEPTED, SENT, SUBMIT_ENDED, GIVEN_UP, ENDED, ENDED_IDS, FILE_HEADER = (
    b"T",
    b"S",
    b"B",
    b"G",
    b"O",
    b"P",
    b"H",
)
ROUTE = b"R"  # state of a route with an outage, or with a wait that an endpoint asked for
# Versions that do not know the kind of a record take its first value for the id of a text, and pass over it.
DISCOVERY_ADDRESS = b"D"
KEY_WINDOWS = b"K"
RAN = b"M"  # when and where the first submit of a text may have run, as a restart found it
NO_IDENT = ""
ENDED_ID_BYTES = 48  # approximate size of the id of an ended text
KEY_WINDOW_BYTES = 48  # approximate size of one window of a key
ENDED_ID_MEMORY_BYTES, KEY_WINDOW_MEMORY_BYTES = 140, 270  # the same in memory
KEY_WINDOWS_PER_RECORD = 512  # limits the memory that a rewrite takes


def allocated_bytes(size):
    """A size in bytes, rounded up to whole disk blocks."""
    return -(-size // BLOCK_BYTES) * BLOCK_BYTES


def write_all(system, file, data):
    """Writes until all of `data` is in the file."""
    remaining = memoryview(bytes(data))
    while remaining:
        remaining = remaining[system.write(file, remaining) :]


class RouteStates:
    """The kept state of routes, by destination and endpoint, the one changed last at the end; `size` is the
    number of bytes that their records take.
    """

    def __init__(self):
        self.states, self.sizes, self.size = {}, {}, 0

    def put(self, key, state, size):
        """Sets the state of a route; None drops it."""
        self.size -= self.sizes.pop(key, 0)
        self.states.pop(key, None)
        if state is not None:
            self.states[key], self.sizes[key] = state, size
            self.size += size

    def state_of(self, place):
        """The state that applies to an endpoint: its own, or that of its destination; else None."""
        return self.states.get((place.dest, place.ident)) or self.states.get((place.dest, None))

    def keys_of(self, dest):
        """The keys under which states of a destination are kept."""
        return [key for key in self.states if key[0] == dest]

    def evict_beyond(self, most):
        """Drops states until the rest takes at most `most` bytes, and returns their keys. Those that hold no
        outage are dropped first, in each case the ones unchanged for longest.
        """
        dropped = []
        while self.size > most and self.states:
            without_outage = (key for key, state in self.states.items() if state["mode"] == WELL)
            key = next(without_outage, None) or next(iter(self.states))
            self.put(key, None, 0)
            dropped.append(key)
        return dropped


class Journal:
    """Reads the journal of the last process and appends to it.

    `offset` converts the monotonic clock (ms) to wall time; `max_validity` is the longest validity period in
    ms. `boot` identifies the machine's run to which that clock belongs: within one run, a change of the wall
    clock has no effect. `now` reads the monotonic clock, by default the system's. `in_flight_elsewhere` are
    ids of texts whose calls another process still has in flight; if it is given, nothing is written before
    `begin`. `key_memory` holds, by product, how long (ms) destinations know an idempotency key.
    """

    def __init__(
        self,
        folder,
        most,
        offset,
        system=REAL_SYSTEM,
        max_validity=UNLIMITED,
        boot="",
        in_flight_elsewhere=None,
        now=None,
        key_memory=(),
    ):
        self.path, self.offset, self.system = os.path.join(folder, "journal"), offset, system
        self.now = now or system.now
        # read_offset: that of the records being read
        self.max_validity, self.boot, self.read_offset = max_validity, boot, offset
        self.in_flight_elsewhere = in_flight_elsewhere or ()
        self.ended_ids = EndedIds(max_validity)
        self.keys = KeyWindows(key_memory, max_validity)
        self.limit(most)
        self.texts, self.record_sizes, self.live_bytes, self.buffer, self.file = {}, {}, 0, bytearray(), None
        self.acceptance_order, self.next_order = {}, 0  # of the live texts, by id
        # live texts of which a restart found out more than their records say: by submits that were in flight,
        # and in other ways
        self.interrupted_texts, self.limited_texts = {}, {}
        self.routes = RouteStates()
        self.discovery_address = None  # `DiscoveryAddress` as told to the last process, once one is known
        self.interrupted = {}  # destinations to which the last process had a call in flight, in order
        self.continuous = True  # whether the records read are of this boot's monotonic clock
        self.may_hold_unflushed = False  # whether a restart may read records that were not flushed
        self.size, self.is_restart = 0, self._replay()
        if in_flight_elsewhere is None:
            self.begin()

    def begin(self):
        """Opens the journal for writing."""
        try:
            self._rewrite()
        except OSError as fault:  # not fatal: the courier waits for its disk, and the next flush tries again
            logger.error(
                "the journal cannot be opened for writing, the next flush tries again: {fault}",
                event="journal.refused",
                fault=fault,
            )

    def limit(self, most):
        """Sets the number of bytes that the folder may hold; the old file and its successor both fit."""
        self.max_bytes, self.max_live_bytes, self.max_ended_id_bytes = most // 2, most * 2 // 5, most // 20
        self.max_route_bytes = most // 10

    # Reading.

    def _replay(self):
        try:
            data = self.system.read(self.path)
        except FileNotFoundError:
            return False
        position = 0
        while position + RECORD_HEADER.size <= len(data):
            size, checksum = RECORD_HEADER.unpack_from(data, position)
            record = data[position + RECORD_HEADER.size : position + RECORD_HEADER.size + size]
            if not size or len(record) < size or zlib.crc32(record) != checksum:
                break  # torn: it was not acted on, since acting waits for the complete write
            self._apply_record(record[:1], record[1:])
            position += RECORD_HEADER.size + size
        self._complete_replay()
        return True

    def _complete_replay(self):
        """Derives what follows from all records together."""
        order = self.acceptance_order
        self.texts = {ident: self.texts[ident] for ident in sorted(self.texts, key=order.__getitem__)}
        self._mark_interrupted()
        for text in self.texts.values():
            if self.keys.apply_to(text, self.now()):
                self.limited_texts[text.ident] = None

    def _mark_interrupted(self):
        """Marks each submit that was in flight when the last process ended as one that may have been
        executed.
        """
        for text in self.texts.values():
            if text.out_at is not None and text.ident not in self.in_flight_elsewhere:
                self.interrupted[text.dest] = self.interrupted_texts[text.ident] = None
                text.mark_ended(True)

    def _apply_record(self, kind, payload):
        if kind == ACCEPTED:
            head, _, body = payload.partition(b"\n")
            values = json.loads(head)
            left_ms = values.pop("left", None)  # not in journals of older versions
            self._note_order(values["ident"], values.pop("number", None))
            for name in ("until", "ran_at", "out_at"):
                if values[name] is not None:
                    values[name] -= self.read_offset
            if left_ms is None or not self.continuous:
                # limits the validity in case the wall clock was set back meanwhile
                max_left = self.max_validity if left_ms is None else min(left_ms, self.max_validity)
                values["until"] = min(values["until"], self.now() + max_left)
            text = self.texts[values["ident"]] = Text(body=body, **values)
            if text.verdict is not None:
                self.keys.ended(text, self.now())
            return
        if kind == ENDED_IDS:
            for ident, at in json.loads(payload):
                self.ended_ids.add(ident, min(at - self.read_offset, self.now()))
            return
        ident, *values = json.loads(payload)
        if kind == FILE_HEADER:  # (boot, offset)
            self.continuous = bool(ident) and ident == self.boot
            self.read_offset = values[0] if self.continuous else self.offset
            return
        if kind == ROUTE:  # (endpoint or "", destination, state or None)
            dest, state = values
            state_here = (
                None
                if state is None
                else route_state.shift_times(route_state.unpacked(state), -self.read_offset)
            )
            self.routes.put((dest, ident or None), state_here, state_here and len(payload))
            return
        if kind == DISCOVERY_ADDRESS:
            self.discovery_address = DiscoveryAddress(*values)
            return
        if kind == KEY_WINDOWS:  # (wall time in ms, windows with times from there on)
            self.keys.restore(values[1], values[0] - self.read_offset, self.now())
            return
        text = self.texts.get(ident)
        if text is None:
            return
        if kind == SENT:
            text.mark_sent(values[0] - self.read_offset, values[1])
        elif kind == SUBMIT_ENDED:
            text.mark_ended(values[0])
        elif kind == GIVEN_UP:
            text.verdict, text.wait = values
            self.keys.ended(text, self.now())
        elif kind == RAN:
            text.limit_first_run(values[0] - self.read_offset, values[1])
        elif kind == ENDED:
            del self.texts[ident], self.acceptance_order[ident]
            self.keys.ended(text, self.now())
            for at in values:  # not in journals of older versions
                self.ended_ids.add(ident, min(at - self.read_offset, self.now()))

    def _note_order(self, ident, order=None):
        """Notes which text was accepted before which: its record may be written again behind later ones. A
        record of an older version has no order.
        """
        if ident not in self.acceptance_order:
            self.acceptance_order[ident] = self.next_order if order is None else order
            self.next_order = max(self.next_order, self.acceptance_order[ident] + 1)

    # Writing.

    def _record(self, kind, payload):
        record = kind + payload
        return RECORD_HEADER.pack(len(record), zlib.crc32(record)) + record

    def _text_record(self, text):
        wall_times = [at if at is None else at + self.offset for at in (text.until, text.ran_at, text.out_at)]
        head = dict(
            ident=text.ident,
            dest=text.dest,
            product=text.product,
            reference=text.reference,
            key=text.key,
            until=wall_times[0],
            tries=text.tries,
            ran_at=wall_times[1],
            ran_zone=text.ran_zone,
            out_at=wall_times[2],
            out_zone=text.out_zone,
            verdict=text.verdict,
            wait=text.wait,
            left=round(text.until - self.now(), 1),  # ms
            # the order of acceptance, under a name that older versions read and assign anew
            number=self.acceptance_order[text.ident],
        )
        return self._record(ACCEPTED, json.dumps(head).encode() + b"\n" + text.body)

    def _buffer_record(self, kind, *values):
        self.buffer += self._record(kind, json.dumps(values).encode())

    def history_bytes(self):
        """Approximately the memory that ids and keys of ended messages take."""
        ids, windows = len(self.ended_ids.idents), len(self.keys)
        return ids * ENDED_ID_MEMORY_BYTES + windows * KEY_WINDOW_MEMORY_BYTES

    def forget_expired(self):
        """Forgets the ids and keys of ended messages whose time is over."""
        self.ended_ids.forget_expired(self.now())
        self.keys.forget_expired(self.now())

    def room(self, size):
        """Whether there is room for a text with a body of `size` bytes."""
        kept_bytes = self.live_bytes + self.routes.size + len(self.keys) * KEY_WINDOW_BYTES
        return kept_bytes + size + 2 * BLOCK_BYTES <= self.max_live_bytes

    def _route_record(self, key, state):
        dest, endpoint = key
        packed = state and route_state.packed(route_state.shift_times(state, self.offset))
        return self._record(ROUTE, json.dumps([endpoint or "", dest, packed], separators=(",", ":")).encode())

    def route(self, dest, endpoint, state):
        """Records the state of a route (times in ms) for the next process; None where nothing has to be kept
        any more. An `endpoint` of None stands for the whole destination.
        """
        record = self._route_record((dest, endpoint), state)
        self.routes.put((dest, endpoint), state, state and len(record))
        self.buffer += record
        for key in self.routes.evict_beyond(self.max_route_bytes):
            logger.error(
                "no room in the journal for the route state of destination {destination}, dropped",
                event="journal.route-dropped",
                destination=key[0],
            )
            self.buffer += self._route_record(key, None)

    def put_discovery_address(self, discovery_address):
        """Records the discovery addresses that this process was told, for the next one."""
        if discovery_address != self.discovery_address:
            self.discovery_address = discovery_address
            self.buffer += self._discovery_record()

    def _discovery_record(self):
        if self.discovery_address is None:
            return b""
        return self._record(
            DISCOVERY_ADDRESS, json.dumps([NO_IDENT, *astuple(self.discovery_address)]).encode()
        )

    def _state_records(self):
        """The records of all that is kept beside texts and ids: the discovery address and the routes."""
        return self._discovery_record() + b"".join(
            self._route_record(key, state) for key, state in self.routes.states.items()
        )

    def _add_cost(self, text, record):
        self.record_sizes[text.ident] = len(record)
        self.live_bytes += len(record)
        return record

    def accepted(self, text):
        """Records that a text was accepted; it survives a crash of the process once `flush` has returned."""
        self.texts[text.ident] = text
        self._note_order(text.ident)
        self.buffer += self._add_cost(text, self._text_record(text))

    def sent(self, text, at, zone):
        """Records that a submit of the text is about to be sent to the zone; `at` in ms."""
        text.mark_sent(at, zone)
        self._buffer_record(SENT, text.ident, at + self.offset, zone)

    def submit_ended(self, text, may_have_run):
        """Records the end of the submit that was in flight; `may_have_run`: the endpoint may have executed
        it.
        """
        text.mark_ended(may_have_run)
        self._buffer_record(SUBMIT_ENDED, text.ident, may_have_run)

    def given_up(self, text, verdict, wait):
        """Records that the text ends undelivered: `verdict` is the notice that is owed now, `wait` the ms
        that the notice tells.
        """
        text.verdict, text.wait = verdict, wait
        self.keys.ended(text, self.now())
        self._buffer_record(GIVEN_UP, text.ident, verdict, wait)

    def ended(self, text, now):
        """Records that nothing is owed for the text any more; its id is kept from `now` (ms) on."""
        if self.texts.pop(text.ident, None) is not None:
            del self.acceptance_order[text.ident]
            self.live_bytes -= self.record_sizes.pop(text.ident)
            self._buffer_record(ENDED, text.ident, now + self.offset)
            self.ended_ids.add(text.ident, now)
            self.keys.ended(text, now)

    def _key_records(self):
        """Records with all windows that are kept, some in each."""
        names = list(self.keys.windows)
        for start in range(0, len(names), KEY_WINDOWS_PER_RECORD):
            yield self._key_record(names[start : start + KEY_WINDOWS_PER_RECORD])

    def _key_record(self, names):
        """A record with the windows of those of the names that are kept; empty if none is."""
        now = self.now()
        names = self.keys.kept(names, now)
        if not names:
            return b""
        origin = floor(now)
        payload = [NO_IDENT, origin + self.offset, self.keys.values(names, origin)]
        return self._record(KEY_WINDOWS, json.dumps(payload, separators=(",", ":")).encode())

    def knows(self, ident):
        """Whether the id is that of a live text or of one that ended within the longest validity period."""
        return ident in self.texts or ident in self.ended_ids

    def flush(self):
        """Writes the buffered records to the file. On OSError they stay in the buffer."""
        if self.buffer:
            if self.file is None or allocated_bytes(self.size + len(self.buffer)) > self.max_bytes:
                self._rewrite()
                return
            try:
                write_all(self.system, self.file, self.buffer)
            except OSError:
                self._truncate()
                raise
            self.size += len(self.buffer)
            self.buffer.clear()

    def _truncate(self):
        """Cuts off a torn record, which would hide all records behind it. If that fails too, the file is
        abandoned and the next flush begins a new one with all live records.
        """
        try:
            self.system.truncate(self.file, self.size)
        except OSError:
            self._abandon_file()

    def _abandon_file(self):
        """Closes the current file, whose contents are uncertain; the next flush begins a new one."""
        file, self.file, self.may_hold_unflushed = self.file, None, True
        if file is not None:
            self.system.close(file)

    def _rewrite(self):
        """Writes the live records to a new file, which then replaces the old one."""
        self.record_sizes, self.live_bytes = {}, 0
        ended_ids = [
            (ident, at + self.offset)
            for ident, at in self.ended_ids.newest(self.max_ended_id_bytes // ENDED_ID_BYTES)
        ]
        data = b"".join(
            [
                self._record(FILE_HEADER, json.dumps([self.boot, self.offset]).encode()),
                self._record(ENDED_IDS, json.dumps(ended_ids).encode()),
                self._state_records(),
                *self._key_records(),
                *(self._add_cost(text, self._text_record(text)) for text in self.texts.values()),
            ]
        )
        successor = self.system.create(self.path + ".new")
        try:
            write_all(self.system, successor, data)
        except OSError:
            self.system.close(successor)
            raise
        try:
            self.system.replace(self.path + ".new", self.path)
        except OSError:
            self.system.close(successor)
            self._abandon_file()
            raise
        if self.file is not None:
            self.system.close(self.file)
        self.file, self.size, self.may_hold_unflushed = successor, len(data), False
        self.buffer.clear()
