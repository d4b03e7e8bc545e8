"""The event loop: `select.epoll` with generators as coroutines. Times are float milliseconds."""

import errno
import heapq
import select
from collections import deque
from dataclasses import dataclass
from itertools import count

from calicopin.fault_log import FaultLog
from calicopin.system import REAL_SYSTEM

READ = select.EPOLLIN | select.EPOLLRDHUP
HANG_UP = select.EPOLLRDHUP  # the peer has closed its sending side
WRITE = select.EPOLLOUT
FOREVER = float("inf")
RETRY_DELAY_MS = 100.0  # ms until a failed operation is retried
MIN_TIMERS_LIMIT = 1024  # timers that are kept without a look at which have become obsolete
LOW_PRIORITY_MS = 5.0  # of one pass, for coroutines that have yielded with low priority
OUT_OF_RESOURCES = (errno.ENOMEM, errno.ENOSPC)  # errors of epoll_ctl that leave the descriptor usable


@dataclass(slots=True, frozen=True)
class Until:
    """What a coroutine yields to wait for a descriptor, an event or a point in time (ms).

    The coroutine is resumed with True, or with False when the time `at` comes first. With `low_priority` it
    waits for nothing but its turn: it is resumed in the next pass or a later one, after all others.
    """

    at: float = FOREVER
    fd: int = -1
    mask: int = 0
    event: object = None
    low_priority: bool = False


class Event:
    """Wakes the one coroutine that waits for it; stays set if none is waiting yet."""

    def __init__(self, loop):
        self.loop, self.task, self.is_set = loop, None, False

    def set(self):
        """Resumes the waiting coroutine; if there is none, the next one to wait continues at once."""
        if self.task is None:
            self.is_set = True
        else:
            self.loop.resume(self.task, True)


class Task:
    """A coroutine and what it is waiting for."""

    __slots__ = ("gen", "wait", "wait_id", "finished", "urgent")

    def __init__(self, gen, urgent=False):
        self.gen, self.wait, self.wait_id, self.finished, self.urgent = gen, None, 0, False, urgent

    def started(self):
        """Whether it has run at all. If cancelled before that, not even its `finally` blocks run."""
        return self.wait is not None or self.wait_id > 0


def is_obsolete(timer):
    """Whether the wait that a timer belongs to has ended."""
    _, _, task, wait_id = timer
    return task.finished or task.wait_id != wait_id


class Loop:
    """Resumes coroutines that are ready.

    After each pass `turn` is called; it returns the time (ms) at which it has to be called again. `lateness`
    is the longest delay of a timer in ms, until a reader resets it.
    """

    def __init__(self, turn=lambda: FOREVER, now=None, system=REAL_SYSTEM):
        self.now, self.turn, self.system = now or system.now, turn, system
        self.epoll, self.fds, self.faults = system.poller(), {}, FaultLog(self.now)
        self.hang_up_probe = system.hang_up_probe()
        # timers: heap of (time, sequence number, task, wait id); ready: queue of (task, wait id, value)
        self.timers, self.sequence, self.ready, self.running = [], count(), deque(), True
        self.timers_limit = MIN_TIMERS_LIMIT
        self.low_priority = deque()  # (task, wait id) of coroutines that yielded with low priority
        self.lateness, self.current = 0.0, None
        self.longest_step_ms, self.longest_step_name = 0.0, ""  # of one coroutine, until a reader resets them
        self.deferred_calls = []  # called once after the next turn, while no coroutine is running

    def spawn(self, gen, urgent=False):
        """Starts a coroutine; with `urgent` it is resumed before all others that are ready."""
        task = Task(gen, urgent)
        self._enqueue(task, None)
        return task

    def _enqueue(self, task, value):
        (self.ready.appendleft if task.urgent else self.ready.append)((task, task.wait_id, value))

    def spawn_restarting(self, begin, urgent=False):
        """Starts a coroutine that is restarted `RETRY_DELAY_MS` after it ended by an exception."""

        def run():
            while True:
                try:
                    yield from begin()
                    return
                except Exception as fault:
                    self.faults.log_exception(
                        "coroutine.again", "restarting a coroutine after an unexpected exception", fault
                    )
                    yield Until(self.now() + RETRY_DELAY_MS)

        return self.spawn(run(), urgent)

    def resume(self, task, value):
        """Resumes a coroutine once per wait; later wake-ups for the same wait are ignored."""
        if task.wait is not None:
            self._disarm(task)
            task.wait_id += 1
            self._enqueue(task, value)

    def cancel(self, task):
        """Closes a coroutine at the point where it waits."""
        if not task.finished:
            if task.wait is not None:
                self._disarm(task)
            task.finished = True
            task.gen.close()

    def _disarm(self, task):
        """Removes the coroutine from the event and the descriptor it waits for."""
        wait, task.wait = task.wait, None
        if wait.event is not None:
            wait.event.task = None
        if self.fds.get(wait.fd) is task:
            self.fds[wait.fd] = None

    def close(self, sock):
        """Closes a socket, after removing its descriptor, whose number may be reused at once."""
        self.forget(sock)
        try:
            sock.close()
        except OSError:  # the descriptor is released even if close reports an error
            pass

    def forget(self, sock):
        """Stops watching a socket, which stays open."""
        fd = sock.fileno()
        if fd in self.fds:
            del self.fds[fd]
            try:
                self.epoll.unregister(fd)
            except OSError:  # already removed from epoll
                pass

    def _arm(self, fd, mask, task):
        mask |= select.EPOLLONESHOT
        try:
            (self.epoll.modify if fd in self.fds else self.epoll.register)(fd, mask)
        except FileNotFoundError:  # the number's former socket was closed without calling `close`
            self.epoll.register(fd, mask)
        self.fds[fd] = task

    def _step(self, task, value):
        self.current = task
        try:
            wait = task.gen.send(value)
        except StopIteration:
            task.finished = True
            return
        except Exception as fault:  # an exception ends this coroutine only, not the process
            task.finished = True
            self.faults.log_exception(
                "coroutine.fault", "a coroutine ended by an unexpected exception", fault
            )
            return
        task.wait = wait
        if wait.low_priority:
            self.low_priority.append((task, task.wait_id))
            return
        if wait.event is not None:
            wait.event.task = task
            if wait.event.is_set:
                wait.event.is_set = False
                self.resume(task, True)
                return
        if wait.fd >= 0:
            try:
                self._arm(wait.fd, wait.mask, task)
            except OSError as fault:
                if fault.errno not in OUT_OF_RESOURCES:  # as if ready: its next system call reports the error
                    self.resume(task, True)
                    return
                # retried after a delay: resuming it at once would make it spin
                heapq.heappush(
                    self.timers, (self.now() + RETRY_DELAY_MS, next(self.sequence), task, task.wait_id)
                )
        if wait.at < FOREVER:
            heapq.heappush(self.timers, (wait.at, next(self.sequence), task, task.wait_id))

    def once(self, until=FOREVER):
        """One pass: waits for events, resumes coroutines until none is ready, then calls `turn`.

        Waits until `until` (ms) at most. Returns the time at which `turn` is due again.
        """
        if len(self.timers) > self.timers_limit:
            self._drop_obsolete_timers()
        while self.timers and is_obsolete(self.timers[0]):
            heapq.heappop(self.timers)
        at = min(until, self.timers[0][0] if self.timers else FOREVER)
        polled_at, yielded = self.now(), len(self.low_priority)
        wait = 0.0 if self.ready or yielded else min(1.0, max(0.0, (at - polled_at) / 1000.0))
        events = self.epoll.poll(wait)
        for fd, _ in events:
            task = self.fds.get(fd)
            if task is not None:
                self.resume(task, True)
        # If the process was suspended around the poll, data may have arrived that the poll has not reported.
        # Only timers that were due at the poll, or that it waited for, expire now; later ones wait for the
        # next pass, which reads that data first. Else answers already received would count as time-outs.
        now = self.now()
        expired_until = min(now, max(polled_at, at) if wait and not events else polled_at)
        while self.timers and self.timers[0][0] <= expired_until:
            at, _, task, wait_id = heapq.heappop(self.timers)
            if not task.finished and task.wait_id == wait_id:
                self.lateness = max(self.lateness, now - at)
                self.resume(task, task.wait.at > expired_until)  # True for a retry of epoll_ctl
        self.step()
        self._step_low_priority(yielded)
        until = self.turn()
        deferred_calls, self.deferred_calls = self.deferred_calls, []
        for callback in deferred_calls:
            callback()
        return until

    def _drop_obsolete_timers(self):
        """Drops the timers of waits that have ended: a peer that sends byte by byte begins one with each."""
        self.timers = [timer for timer in self.timers if not is_obsolete(timer)]
        heapq.heapify(self.timers)
        self.timers_limit = max(MIN_TIMERS_LIMIT, 2 * len(self.timers))

    def step(self):
        """Resumes coroutines until none is ready."""
        began = self.now()
        while self.ready:
            task, wait_id, value = self.ready.popleft()
            if not task.finished and task.wait_id == wait_id:
                self._step(task, value)
                ended = self.now()
                if ended - began > self.longest_step_ms:
                    self.longest_step_ms, self.longest_step_name = ended - began, task.gen.__qualname__
                began = ended

    def _step_low_priority(self, count):
        """Resumes up to `count` coroutines that yielded with low priority, for `LOW_PRIORITY_MS`."""
        end = self.now() + LOW_PRIORITY_MS if count else 0.0
        for _ in range(count):
            task, wait_id = self.low_priority.popleft()
            if not task.finished and task.wait_id == wait_id:
                self.resume(task, True)
                self.step()
            if self.now() >= end:
                return

    def run(self):
        """Makes passes until `running` is false, each waiting until the last `turn` is due again at most."""
        until = FOREVER
        while self.running:
            until = self.once(until)
