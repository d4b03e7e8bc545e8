"""Leaving on sockets: SIGTERM and the operators' call to quiesce walk through the steps of `boot/leave.py`."""
from loguru import logger

from calicopin.boot.leave import DRAIN, RETIRED, STOP, Leave
from calicopin.wire.loop import Bell, Until

STEP = 20.0


class Stop:
    """`asked` rings for the stop. A courier that was quiesced stays so until it is told to resume, or ends."""

    def __init__(self, loop, shift, clients):
        self.loop, self.shift, self.clients = loop, shift, clients
        self.asked, self.drain, self.stopping, self.task = Bell(loop), None, False, None
        self.retired = False  # another process serves in its place

    def busy(self):
        """What is under way."""
        shift = self.shift
        under_way = dict(clients=self.clients.open, texts=shift.facade.texts, notices=shift.notices.owed, calls=shift.out)
        return frozenset(name for name, what in under_way.items() if what)

    def walk(self, leave):
        """Through the steps, to the end of the last."""
        now = self.loop.now
        while step := leave.at(now(), self.busy()):
            self.clients.leaving, self.shift.calling = True, step.calling
            self.shift.refusing = self.shift.refusing or step.refusing
            if not step.listening:
                self.clients.stop_listening()
            if step.closing:
                self.clients.close_between_requests()
            if step.emptying and self.shift.facade.texts:
                self.shift.facade.hand_back()
            yield Until(now() + STEP)

    def wait(self):
        """Waits until it is asked to, then leaves in order."""
        yield Until(bell=self.asked)
        shift = self.shift
        logger.info("SIGTERM: {held} texts held, {out} calls out", event="stopping", held=len(shift.facade.texts), out=shift.out)
        self.stopping = True
        self.end_drain()
        yield from self.walk(Leave(RETIRED if self.retired else STOP, self.loop.now()))
        # guards the last turn's texts where the process stood still through the steps: one turn keeps what was taken on and its
        # answers go out, and what is read from here on is refused, since nothing would keep it
        shift.calling, shift.refusing = False, True
        self.clients.close_between_requests()
        yield Until(self.loop.now())
        self.clients.end()
        self.loop.running = False

    def end_drain(self):
        if self.task:
            self.loop.cancel(self.task)
        self.drain = self.task = None

    def quiesce(self):
        """Empties the courier; once more changes nothing."""
        self.check()
        if self.drain is None and not self.stopping:
            logger.info("quiesced: {held} texts held, {out} calls out", event="quiesced", held=len(self.shift.facade.texts), out=self.shift.out)
            self.begin_drain(self.loop.now())
        return self.told()

    def check(self):
        if self.retired:
            raise ValueError("all was handed over to a newer process: call that one")

    def begin_drain(self, began):
        self.drain, self.clients.leaving = Leave(DRAIN, began), True
        self.task = self.loop.keep(lambda: self.walk(self.drain))

    def resume(self):
        """Back to work, at any moment of a drain; without one it changes nothing."""
        self.check()
        if self.drain is not None:
            logger.info("resumed: {held} texts held", event="resumed", held=len(self.shift.facade.texts))
            self.end_drain()
            self.clients.leaving = self.clients.closing = self.shift.refusing = False
        return self.told()

    def told(self):
        """What the calls at the admin address answer."""
        step = self.drain and self.drain.at(self.loop.now(), self.busy())
        return {"quiesced": self.drain is not None, "step": step.name if step else "stopping" if self.stopping else "at work",
                "held": len(self.shift.facade.texts), "clients": self.clients.open}
