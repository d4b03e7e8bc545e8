"""The process that serves: hears the one that is to follow it, gives it all, and stands by until SIGTERM.

Until `go` is out nothing here has changed and whatever fails leaves this process serving. From `go` on the
other one decides, and this one does nothing but end what cannot change hands. If the other one dies before
SIGTERM comes, this one begins anew from the folder, as after a crash.
"""

import base64

from loguru import logger

from calicopin.handover.meeting import HandoverError, Talk, ours
from calicopin.handover.state import FORM, written
from calicopin.wire.loop import AGAIN, FOREVER, READ, Until

PATIENCE = 2.0  # seconds: this process stands still meanwhile
HELLO = 1000.0
MOST_HELLO = 4096
AT_ONCE = 24  # connections in one frame: so few more descriptors than one courier's are open at any moment


def coded(data):
    """Bytes as they go into a frame: base64."""
    return base64.b64encode(bytes(data)).decode()


class Giver:
    """Gives away the courier whose parts it is handed.

    `lock` is the folder's; `again` begins this process anew.
    """

    def __init__(self, place, lock, again, loop, runtime, clients, discovery, renewal, stop):
        self.lock, self.again = lock, again
        self.loop, self.runtime, self.clients, self.discovery, self.renewal, self.stop = (
            loop,
            runtime,
            clients,
            discovery,
            renewal,
            stop,
        )
        self.listener = place.listen()
        self.task = loop.keep(self.host)

    def host(self):
        """A coroutine that waits for new versions at the meeting place and begins the handover with each."""
        while True:
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                yield Until(FOREVER, self.listener.fileno(), READ)
                continue
            except OSError as fault:
                logger.warning("accept of a new version failed: {fault}", event="accept.failed", fault=fault)
                yield Until(self.loop.now() + AGAIN)
                continue
            sock.setblocking(False)
            data, until = b"", self.loop.now() + HELLO
            while b"\n" not in data and len(data) < MOST_HELLO:
                if not (yield Until(until, sock.fileno(), READ)):
                    break
                try:
                    more = sock.recv(MOST_HELLO)
                except OSError:
                    break
                if not more:
                    break
                data += more
            self.loop.close(sock) if not self.fit(sock, data) else self.loop.after.append(
                lambda sock=sock: self.give(sock)
            )

    def fit(self, sock, data):
        """Whether all may be given to whoever said so."""
        why = (
            "another user's"
            if not ours(sock)
            else "it says nothing that can be read"
            if data != b"calicopin %d\n" % FORM
            else "a stop is under way"
            if self.stop.stopping
            else "the journal cannot be written"
            if self.runtime.stuck
            else None
        )
        if why:
            logger.warning("a new version is given nothing: {why}", event="handover.refused", why=why)
        return not why

    def settle(self):
        """Calls that have not begun come back, what is decided is in the journal, and answers are on their
        way.
        """
        for _ in range(8):
            self.loop.step()
            for flight in [flight for flight in self.runtime.flights if not flight.far]:
                self.loop.cancel(flight.task)
            self.runtime.turn()
            if self.runtime.stuck or not self.loop.ready:
                break

    def give(self, sock):
        """The handover itself: where it fails before `go` this process serves on as it was, behind it this
        process retires.
        """
        runtime, began = self.runtime, self.loop.now()
        self.loop.forget(sock)
        calling, runtime.calling = runtime.calling, False
        try:
            talk = Talk(sock, PATIENCE)
            self.settle()
            if runtime.stuck:
                raise HandoverError("the journal cannot be written")
            flights = [flight for flight in runtime.flights if flight.call.open]
            talk.say(self.told(flights))
            if talk.hear()[0].get("ready") is not True:
                raise HandoverError("it is not ready")
            if self.stop.stopping or runtime.journal.buffer:
                raise HandoverError("this process has gone on")
            talk.say({"go": True, "fds": 1}, [self.lock])
        except Exception as fault:  # whatever it is, this process serves on
            logger.warning(
                "a new version takes nothing over, this one serves on: {fault!r}",
                event="handover.refused",
                fault=fault,
            )
            runtime.calling = calling
            sock.close()
            return
        held = len(runtime.facade.texts)
        try:
            self.part(talk, flights)
        except Exception as fault:  # behind `go` nothing may bring this process to serve on
            logger.error("the new version broke off: {fault}", event="handover.broken", fault=fault)
        self.retire(sock)
        logger.info(
            "handed over in {ms:.0f} ms: {texts} texts, {out} calls out",
            event="handover.given",
            ms=self.loop.now() - began,
            texts=held,
            out=len(flights),
        )

    def told(self, flights):
        """What the new version is told of decisions, calls out, the list and connections."""
        stop, calls = self.stop, [flight.call for flight in flights]
        lines = self.runtime.lines
        return written(self.runtime.facade, calls) | dict(
            until=[flight.until for flight in flights],
            began=[flight.began for flight in flights],
            version=None if self.runtime.subscribed else getattr(self.discovery, "version", None),
            current=self.runtime.current,
            renewed=self.renewal.renewed,
            trust=lines.trust,
            fastest=[[*shelf, best] for shelf, best in lines.fastest.items()],
            drained=stop.drain.began if stop.drain else None,
        )

    def part(self, talk, flights):
        """Connections, a few at a time; each is closed here as soon as it is on its way."""
        runtime, clients = self.runtime, self.clients
        moved = []
        for number, flight in enumerate(flights):
            flight.given = True
            moved.append(("call", dict(call=number, heard=coded(flight.line.heard)), flight.line))
            self.loop.cancel(flight.task)
        for flight in list(runtime.flights):  # its texts have all ended, the rest of its answer is nobody's
            self.loop.cancel(flight.task)
        for visit in list(clients.visits):
            if line := clients.give(visit):
                moved.append(
                    (
                        "client",
                        dict(
                            heard=coded(line.heard),
                            fresh=visit.fresh,
                            since=visit.since,
                            until=min(visit.until, 1e15),
                        ),
                        line,
                    )
                )
        for shelf, kept in runtime.lines.idle.items():
            moved += [("idle", dict(shelf=shelf, since=since), line) for line, since in kept]
        runtime.lines.idle = {}
        for at in range(0, len(moved), AT_ONCE):
            some = moved[at : at + AT_ONCE]
            talk.say(
                {"connections": [dict(what, kind=kind) for kind, what, _ in some], "fds": len(some)},
                [line.sock.fileno() for _, _, line in some],
            )
            for _, _, line in some:
                line.close()
        talk.say({"end": True})

    def retire(self, sock):
        """From here on this process decides nothing."""
        loop, runtime = self.loop, self.runtime
        loop.turn = lambda: FOREVER
        for task in (self.clients.accepting, self.task):
            loop.cancel(task)
        for part in filter(None, (self.discovery, runtime.notices)):
            part.retire()
        loop.close(self.listener)
        loop.system.close(self.lock)
        if runtime.journal.file is not None:
            loop.system.close(runtime.journal.file)
        runtime.journal.file, runtime.journal.texts, runtime.facade.texts, runtime.notices.owed = (
            None,
            {},
            {},
            [],
        )
        runtime.refusing = self.stop.retired = True
        if runtime.subscribed is not None:
            runtime.subscribed.retire()
        self.stop.end_drain()
        self.clients.closing = self.clients.leaving = True
        sock.setblocking(False)
        loop.keep(lambda: self.stand_by(sock))

    def stand_by(self, sock):
        """Until SIGTERM ends this process, or the other one dies."""
        while True:
            yield Until(FOREVER, sock.fileno(), READ)
            try:
                if sock.recv(1):
                    continue
            except BlockingIOError:
                continue
            except OSError:
                pass
            if self.stop.stopping:
                return
            logger.error("the new version is gone: this one begins again", event="handover.again")
            self.again()
