"""Stop and drain of a courier: SIGTERM and the quiesce call of the admin address run the steps of
`lifecycle/shutdown_steps.py`.
"""

from loguru import logger

from calicopin.lifecycle.shutdown_steps import DRAIN_STEPS, RETIRED_STEPS, STOP_STEPS, StepSequence
from calicopin.wire.loop import Event, Until

POLL_INTERVAL_MS = 20.0  # between two checks whether a step has ended


class Shutdown:
    """Runs the stop once the event `requested` is set, and drains on request of an operator.

    A courier that was quiesced stays so until it is resumed or stopped.
    """

    def __init__(self, loop, runtime, clients):
        self.loop, self.runtime, self.clients = loop, runtime, clients
        self.requested, self.drain, self.stopping, self.task = Event(loop), None, False, None
        self.retired = False  # another process has taken over

    def busy(self):
        """The kinds of work in progress, as named in `Step.waits_for`."""
        runtime = self.runtime
        under_way = dict(
            clients=self.clients.open,
            texts=runtime.facade.texts,
            notices=runtime.notices.owed,
            calls=runtime.calls_in_progress,
        )
        return frozenset(name for name, pending in under_way.items() if pending)

    def run_steps(self, sequence):
        """A coroutine that applies each step in turn until the last has ended."""
        now = self.loop.now
        while step := sequence.step_at(now(), self.busy()):
            self.clients.leaving, self.runtime.calls_enabled = True, step.makes_calls
            self.runtime.refuses_messages = self.runtime.refuses_messages or step.refuses_messages
            if self.runtime.refuses_messages:
                self.runtime.stop_waiting()
            if not step.accepts_connections:
                self.clients.stop_listening()
            if step.closes_connections:
                self.clients.close_between_requests()
            if step.hands_back and self.runtime.facade.texts:
                self.runtime.facade.nack_waiting_texts()
            yield Until(now() + POLL_INTERVAL_MS)

    def wait_for_request(self):
        """A coroutine that waits for the request to stop, then stops the courier step by step."""
        yield Until(event=self.requested)
        runtime = self.runtime
        logger.info(
            "SIGTERM: {held} texts held, {out} calls out",
            event="stopping",
            held=len(runtime.facade.texts),
            out=runtime.calls_in_progress,
        )
        self.stopping = True
        self.end_drain()
        yield from self.run_steps(
            StepSequence(RETIRED_STEPS if self.retired else STOP_STEPS, self.loop.now())
        )
        # If the process was suspended during the steps, accepted messages may not be in the journal yet: one
        # more turn writes them and answers their clients. Messages read from now on are refused, because no
        # turn would journal them.
        runtime.calls_enabled, runtime.refuses_messages = False, True
        runtime.stop_waiting()
        self.clients.close_between_requests()
        yield Until(self.loop.now())
        self.clients.refuse_outstanding_requests()
        self.loop.running = False

    def end_drain(self):
        """Cancels the drain, if there is one."""
        if self.task:
            self.loop.cancel(self.task)
        self.drain = self.task = None

    def quiesce(self):
        """Starts a drain unless one is running or the courier is stopping; returns the status."""
        self.refuse_if_retired()
        if self.drain is None and not self.stopping:
            logger.info(
                "quiesced: {held} texts held, {out} calls out",
                event="quiesced",
                held=len(self.runtime.facade.texts),
                out=self.runtime.calls_in_progress,
            )
            self.begin_drain(self.loop.now())
        return self.status()

    def refuse_if_retired(self):
        """Raises ValueError if another process has taken over."""
        if self.retired:
            raise ValueError("all was handed over to a newer process: call that one")

    def begin_drain(self, began):
        """Runs the steps of a drain that was requested at `began`, in ms of the loop's clock."""
        self.drain, self.clients.leaving = StepSequence(DRAIN_STEPS, began), True
        self.task = self.loop.spawn_restarting(lambda: self.run_steps(self.drain))

    def resume(self):
        """Ends the drain at any step, if there is one; returns the status."""
        self.refuse_if_retired()
        if self.drain is not None:
            logger.info("resumed: {held} texts held", event="resumed", held=len(self.runtime.facade.texts))
            self.end_drain()
            self.clients.leaving = self.clients.closing = self.runtime.refuses_messages = False
        return self.status()

    def status(self):
        """The answer to `/admin/quiesce` and `/admin/resume`."""
        step = self.drain and self.drain.step_at(self.loop.now(), self.busy())
        return {
            "quiesced": self.drain is not None,
            "step": step.name if step else "stopping" if self.stopping else "at work",
            "held": len(self.runtime.facade.texts),
            "clients": self.clients.open,
        }
