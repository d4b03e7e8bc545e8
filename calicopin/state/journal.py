"""The lasting journal: what was taken on, sent and ended, so that a restart owes each text just its one end.

Records are appended with plain writes, batched by `flush`; a torn last one is cut off at the next start. When
the file has grown, what still lives is written to a new one that takes its place. Times in it are wall time.
"""

import json
import os
import struct
import zlib

from loguru import logger

from calicopin import route_state
from calicopin.slow_start import WELL
from calicopin.state.texts import Past, Text
from calicopin.system import HERE

HEAD = struct.Struct("<II")
BLOCK = 512
FOREVER = float("inf")
TAKEN, SENT, BACK, GIVEN_UP, OVER, PAST, BEGUN = b"T", b"S", b"B", b"G", b"O", b"P", b"H"
ROUTE = b"R"  # what is known of a route that met an outage or was told to wait
ENTRY = 48  # bytes that the id of an ended text takes, about


def blocks(size):
    """A size in bytes, rounded up to whole blocks of the disk."""
    return -(-size // BLOCK) * BLOCK


def write_all(system, file, data):
    """Plain writes until all is in the file."""
    view = memoryview(bytes(data))
    while view:
        view = view[system.write(file, view) :]


class KeptRoutes:
    """What is kept of routes, by destination and endpoint: the state of each, the one changed last at the
    end, and `size`, the bytes that their records take.
    """

    def __init__(self):
        self.states, self.sizes, self.size = {}, {}, 0

    def put(self, key, state, size):
        """The route's state from now on; None where nothing is kept of it."""
        self.size -= self.sizes.pop(key, 0)
        self.states.pop(key, None)
        if state is not None:
            self.states[key], self.sizes[key] = state, size
            self.size += size

    def of(self, place):
        """The state that holds for an endpoint: its own, or that of its destination; None where none does."""
        return self.states.get((place.dest, place.ident)) or self.states.get((place.dest, None))

    def keys_of(self, dest):
        """The keys under which something is kept of a destination."""
        return [key for key in self.states if key[0] == dest]

    def over(self, most):
        """Drops the ones that have not changed for longest until the rest takes `most` bytes, those that hold
        no outage first; their keys.
        """
        dropped = []
        while self.size > most and self.states:
            well = (key for key, state in self.states.items() if state["mode"] == WELL)
            key = next(well, None) or next(iter(self.states))
            self.put(key, None, 0)
            dropped.append(key)
        return dropped


class Journal:
    """`offset` turns the module's milliseconds into wall time; `lasting` is the longest validity period.

    `boot` names the run of the machine whose milliseconds these are: within it, a wall clock that was set
    matters to nobody; `now` tells them, the system's where it is not given. `out` are ids of texts whose
    calls another process still has out; then nothing is written before `begin`.
    """

    def __init__(self, folder, most, offset, system=HERE, lasting=FOREVER, boot="", out=None, now=None):
        self.path, self.offset, self.system = os.path.join(folder, "journal"), offset, system
        self.now = now or system.now
        self.lasting, self.boot, self.before = lasting, boot, offset  # before: the offset of what is read
        self.out = out or ()
        self.past = Past(lasting)
        self.limit(most)
        self.texts, self.costs, self.live, self.buffer, self.file = {}, {}, 0, bytearray(), None
        self.routes = KeptRoutes()
        self.interrupted = {}  # destinations to which the last process left a call out, in their order
        self.continuous = True  # whether the monotonic clock of what was read is this one
        self.torn = (
            False  # whether records that were not flushed may stand in the file, for a restart to read
        )
        self.size, self.again = 0, self._replay()
        if out is None:
            self.begin()

    def begin(self):
        """From here on it is written to."""
        try:
            self._rewrite()
        except (
            OSError
        ) as fault:  # a courier that ends here could not even wait for its disk: the next flush tries again
            logger.error(
                "the journal cannot be written at the start: {fault}", event="journal.refused", fault=fault
            )

    def limit(self, most):
        """So many bytes the folder may hold: the old file and its successor fit."""
        self.most, self.most_live, self.most_past = most // 2, most * 2 // 5, most // 20
        self.most_routes = most // 10

    # Reading.

    def _replay(self):
        try:
            data = self.system.read(self.path)
        except FileNotFoundError:
            return False
        place = 0
        while place + HEAD.size <= len(data):
            size, check = HEAD.unpack_from(data, place)
            record = data[place + HEAD.size : place + HEAD.size + size]
            if not size or len(record) < size or zlib.crc32(record) != check:
                break  # torn: it was not acted on, since acting waits for the whole write
            self._read(record[:1], record[1:])
            place += HEAD.size + size
        self._come_back()
        return True

    def _come_back(self):
        """What was out when the last process ended may have run."""
        for text in self.texts.values():
            if text.out_at is not None and text.ident not in self.out:
                self.interrupted[text.dest] = None
                text.came_back(True)

    def _read(self, kind, rest):
        if kind == TAKEN:
            head, _, body = rest.partition(b"\n")
            values = json.loads(head)
            left = values.pop("left", None)  # an older journal tells none
            for name in ("until", "ran_at", "out_at"):
                if values[name] is not None:
                    values[name] -= self.before
            if left is None or not self.continuous:
                # guards against a clock that was set back: none has more time than it had, or may have
                most = self.lasting if left is None else min(left, self.lasting)
                values["until"] = min(values["until"], self.now() + most)
            self.texts[values["ident"]] = Text(body=body, **values)
            return
        if kind == PAST:
            for ident, at in json.loads(rest):
                self.past.add(ident, min(at - self.before, self.now()))
            return
        ident, *values = json.loads(rest)
        if kind == BEGUN:  # (boot, offset)
            self.continuous = bool(ident) and ident == self.boot
            self.before = values[0] if self.continuous else self.offset
            return
        if kind == ROUTE:  # (endpoint or "", destination, state or None)
            dest, state = values
            known = None if state is None else route_state.moved(route_state.unpacked(state), -self.before)
            self.routes.put((dest, ident or None), known, known and len(rest))
            return
        text = self.texts.get(ident)
        if text is None:
            return
        if kind == SENT:
            text.went_out(values[0] - self.before, values[1])
        elif kind == BACK:
            text.came_back(values[0])
        elif kind == GIVEN_UP:
            text.verdict, text.wait = values
        elif kind == OVER:
            del self.texts[ident]
            for at in values:  # an older journal tells none
                self.past.add(ident, min(at - self.before, self.now()))

    # Writing.

    def _record(self, kind, payload):
        record = kind + payload
        return HEAD.pack(len(record), zlib.crc32(record)) + record

    def _taken(self, text):
        wall = [at if at is None else at + self.offset for at in (text.until, text.ran_at, text.out_at)]
        head = dict(
            ident=text.ident,
            dest=text.dest,
            product=text.product,
            reference=text.reference,
            key=text.key,
            until=wall[0],
            tries=text.tries,
            ran_at=wall[1],
            ran_zone=text.ran_zone,
            out_at=wall[2],
            out_zone=text.out_zone,
            verdict=text.verdict,
            wait=text.wait,
            left=round(text.until - self.now(), 1),  # ms
        )
        return self._record(TAKEN, json.dumps(head).encode() + b"\n" + text.body)

    def _put(self, kind, *values):
        self.buffer += self._record(kind, json.dumps(values).encode())

    def room(self, size):
        """Whether a text with so long a body can still be kept."""
        return self.live + self.routes.size + size + 2 * BLOCK <= self.most_live

    def _route(self, key, state):
        dest, endpoint = key
        told = state and route_state.packed(route_state.moved(state, self.offset))
        return self._record(ROUTE, json.dumps([endpoint or "", dest, told], separators=(",", ":")).encode())

    def route(self, dest, endpoint, state):
        """What the next process has to know of a route (`endpoint` None: of the whole destination): its
        state, times in ms, or None where there is nothing any more.
        """
        record = self._route((dest, endpoint), state)
        self.routes.put((dest, endpoint), state, state and len(record))
        self.buffer += record
        for key in self.routes.over(self.most_routes):
            logger.error(
                "no room to keep what is known of destination {destination}",
                event="journal.route-dropped",
                destination=key[0],
            )
            self.buffer += self._route(key, None)

    def _all_routes(self):
        """The records of all routes that are kept."""
        return b"".join(self._route(key, state) for key, state in self.routes.states.items())

    def _count(self, text, record):
        self.costs[text.ident] = len(record)
        self.live += len(record)
        return record

    def taken(self, text):
        """A text was accepted. It is safe once `flush` has returned."""
        self.texts[text.ident] = text
        self.buffer += self._count(text, self._taken(text))

    def sent(self, text, at, zone):
        """A submit of the text is about to go out to the zone; `at` in ms."""
        text.went_out(at, zone)
        self._put(SENT, text.ident, at + self.offset, zone)

    def back(self, text, may_have_run):
        """The submit that was out has ended; `may_have_run` says whether the other side may have executed
        it.
        """
        text.came_back(may_have_run)
        self._put(BACK, text.ident, may_have_run)

    def given_up(self, text, verdict, wait):
        """The text ends undelivered: `verdict` is the notice that is owed now, `wait` the ms that it
        tells.
        """
        text.verdict, text.wait = verdict, wait
        self._put(GIVEN_UP, text.ident, verdict, wait)

    def over(self, text, now):
        """Nothing is owed for the text any more; its id is remembered from `now` on, in ms."""
        if self.texts.pop(text.ident, None) is not None:
            self.live -= self.costs.pop(text.ident)
            self._put(OVER, text.ident, now + self.offset)
            self.past.add(text.ident, now)

    def knows(self, ident):
        """Whether a text of that id is held, or has ended within the longest validity period."""
        return ident in self.texts or ident in self.past

    def flush(self):
        """Everything so far is in the file once this returns."""
        if self.buffer:
            if self.file is None or blocks(self.size + len(self.buffer)) > self.most:
                self._rewrite()
                return
            try:
                write_all(self.system, self.file, self.buffer)
            except OSError:
                self._cut_off()
                raise
            self.size += len(self.buffer)
            self.buffer.clear()

    def _cut_off(self):
        """Takes a torn record away: in the middle it would hide all that follows. Where that fails too,
        nothing more goes into this file: the next flush begins a new one with all that lives.
        """
        try:
            self.system.cut(self.file, self.size)
        except OSError:
            self._leave_file()

    def _leave_file(self):
        """Nothing more goes into the file that was written so far: what stands under its name is not certain.
        The next flush begins a new one.
        """
        file, self.file, self.torn = self.file, None, True
        if file is not None:
            self.system.close(file)

    def _rewrite(self):
        """What lives, in a new file that then takes the place of the old one."""
        self.costs, self.live = {}, 0
        past = [(ident, at + self.offset) for ident, at in self.past.newest(self.most_past // ENTRY)]
        data = b"".join(
            [
                self._record(BEGUN, json.dumps([self.boot, self.offset]).encode()),
                self._record(PAST, json.dumps(past).encode()),
                self._all_routes(),
                *(self._count(text, self._taken(text)) for text in self.texts.values()),
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
            self._leave_file()
            raise
        if self.file is not None:
            self.system.close(self.file)
        self.file, self.size, self.torn = successor, len(data), False
        self.buffer.clear()
