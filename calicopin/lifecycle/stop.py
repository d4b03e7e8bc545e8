"""Leaving on sockets: SIGTERM and the operators' call to quiesce walk through the steps of
`lifecycle/shutdown_steps.py`.
"""

from loguru import logger

from calicopin.lifecycle.shutdown_steps import DRAIN_STEPS, RETIRED_STEPS, STOP_STEPS, StepSequence
from calicopin.wire.loop import Event, Until

POLL_INTERVAL_MS = 20.0


class Shutdown:
    """`requested` is set for the stop.

    A courier that was quiesced stays so until it is told to resume, or ends.
    """

    def __init__(self, loop, runtime, clients):
        self.loop, self.runtime, self.clients = loop, runtime, clients
        self.requested, self.drain, self.stopping, self.task = Event(loop), None, False, None
        self.retired = False  # another process serves in its place

    def busy(self):
        """What is under way."""
        runtime = self.runtime
        under_way = dict(
            clients=self.clients.open,
            texts=runtime.facade.texts,
            notices=runtime.notices.owed,
            calls=runtime.out,
        )
        return frozenset(name for name, pending in under_way.items() if pending)

    def run_steps(self, sequence):
        """Through the steps, to the end of the last."""
        now = self.loop.now
        while step := sequence.step_at(now(), self.busy()):
            self.clients.leaving, self.runtime.calling = True, step.makes_calls
            self.runtime.refusing = self.runtime.refusing or step.refuses_messages
            if self.runtime.refusing:
                self.runtime.stop_waiting()
            if not step.accepts_connections:
                self.clients.stop_listening()
            if step.closes_connections:
                self.clients.close_between_requests()
            if step.hands_back and self.runtime.facade.texts:
                self.runtime.facade.hand_back()
            yield Until(now() + POLL_INTERVAL_MS)

    def wait_for_request(self):
        """Waits until it is asked to, then leaves in order."""
        yield Until(event=self.requested)
        runtime = self.runtime
        logger.info(
            "SIGTERM: {held} texts held, {out} calls out",
            event="stopping",
            held=len(runtime.facade.texts),
            out=runtime.out,
        )
        self.stopping = True
        self.end_drain()
        yield from self.run_steps(
            StepSequence(RETIRED_STEPS if self.retired else STOP_STEPS, self.loop.now())
        )
        # guards the last turn's texts where the process stood still through the steps: one turn keeps what
        # was taken on and its answers go out, and what is read from here on is refused, since nothing would
        # keep it
        runtime.calling, runtime.refusing = False, True
        runtime.stop_waiting()
        self.clients.close_between_requests()
        yield Until(self.loop.now())
        self.clients.end()
        self.loop.running = False

    def end_drain(self):
        """Ends a drain that is under way, if there is one."""
        if self.task:
            self.loop.cancel(self.task)
        self.drain = self.task = None

    def quiesce(self):
        """Empties the courier; once more changes nothing."""
        self.refuse_if_retired()
        if self.drain is None and not self.stopping:
            logger.info(
                "quiesced: {held} texts held, {out} calls out",
                event="quiesced",
                held=len(self.runtime.facade.texts),
                out=self.runtime.out,
            )
            self.begin_drain(self.loop.now())
        return self.status()

    def refuse_if_retired(self):
        """ValueError where another process has taken all over."""
        if self.retired:
            raise ValueError("all was handed over to a newer process: call that one")

    def begin_drain(self, began):
        """Walks through the steps of a drain; `began` in ms of the loop's clock."""
        self.drain, self.clients.leaving = StepSequence(DRAIN_STEPS, began), True
        self.task = self.loop.keep(lambda: self.run_steps(self.drain))

    def resume(self):
        """Back to work, at any moment of a drain; without one it changes nothing."""
        self.refuse_if_retired()
        if self.drain is not None:
            logger.info("resumed: {held} texts held", event="resumed", held=len(self.runtime.facade.texts))
            self.end_drain()
            self.clients.leaving = self.clients.closing = self.runtime.refusing = False
        return self.status()

    def status(self):
        """What the calls at the admin address answer."""
        step = self.drain and self.drain.step_at(self.loop.now(), self.busy())
        return {
            "quiesced": self.drain is not None,
            "step": step.name if step else "stopping" if self.stopping else "at work",
            "held": len(self.runtime.facade.texts),
            "clients": self.clients.open,
        }
