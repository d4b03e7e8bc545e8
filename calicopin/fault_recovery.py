"""Repairs the state of the decisions after an exception in one of them. Decisions only, no I/O.

An exception leaves a step undone: a text may be neither queued nor in a call, and a slot may be taken for a
call that was never made. Afterwards each text that was accepted is in the queue of its destination, in a call
or gone, so that it gets its final answer in time, however often the same exception comes again.
"""


class FaultRecovery:
    """Repairs a `decisions.Courier` between two batches, while no message is under way inside it."""

    def __init__(self, courier):
        self.courier, self.scheduler = courier, courier.scheduler
        self.registry, self.pool = courier.registry, courier.pool

    def run(self):
        """Repairs all texts, then all slots."""
        queued = {text for dest in self.courier.dests.values() for text in dest.queue}
        for text in list(self.registry.texts.values()):
            if text.call is not None and text.submitted_in is not text.call:
                self._undo_call(text)
            if text.finished:
                self._forget(text)
            elif text.call is None and text not in queued:
                self._queue_again(text)
        for dest in self.courier.dests.values():
            self._count_slots(dest)
        self.scheduler.post(self.pool, "resume")

    def _undo_call(self, text):
        """A call was begun, but the submit of this text was not decided."""
        call, text.call = text.call, None
        call.pending -= 1
        if not call.pending and call in call.endpoint.calls:
            call.endpoint.calls.remove(call)

    def _forget(self, text):
        """Forgets a text that has its final answer; one in a call goes with the outcome."""
        if text.call is None:
            text.dest.on_remove(text)
            self.registry.remove(text)

    def _queue_again(self, text):
        """A text waits for its next submit, or for its end if it has no attempt left."""
        if text.tries >= text.dest.max_attempts:
            self.registry.on_give_up(text, 0.0, "no attempts left")
        else:
            text.dest.requeue(text)

    def _count_slots(self, dest):
        """The slots in use are those of the calls in flight."""
        endpoints = [endpoint for endpoint in self.courier.endpoints.values() if endpoint.dest is dest]
        in_use = sum(len(endpoint.calls) for endpoint in endpoints)
        self.pool.free += dest.slots_in_use - in_use
        dest.slots_in_use = in_use
        dest.slot_requested = any(request[0] is dest for request in self.pool.requests)
