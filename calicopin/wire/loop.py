"""The one loop: select.epoll, with generators as coroutines. Times are float milliseconds."""

import errno
import heapq
import select
from collections import deque
from dataclasses import dataclass
from itertools import count

from calicopin.fault_log import FaultLog
from calicopin.system import HERE

READ = select.EPOLLIN | select.EPOLLRDHUP
WRITE = select.EPOLLOUT
FOREVER = float("inf")
AGAIN = 100.0  # after which what failed is tried once more
OUT_OF_RESOURCES = (errno.ENOMEM, errno.ENOSPC)  # of epoll_ctl: the descriptor is as good as before


@dataclass(slots=True, frozen=True)
class Until:
    """What a coroutine yields to wait: for a descriptor, for a event, or for a time alone.
    It is resumed with True, or with False once the time has come first."""

    at: float = FOREVER
    fd: int = -1
    mask: int = 0
    event: object = None


class Event:
    """Wakes the coroutine that waits for it; rung before that, it is not forgotten."""

    def __init__(self, loop):
        self.loop, self.task, self.is_set = loop, None, False

    def set(self):
        """Resumes the coroutine that waits; where none does, the next to wait goes on at once."""
        if self.task is None:
            self.is_set = True
        else:
            self.loop.resume(self.task, True)


class Task:
    """One coroutine, with the wait it is in."""

    __slots__ = ("gen", "wait", "wait_id", "over", "ahead")

    def __init__(self, gen, ahead=False):
        self.gen, self.wait, self.wait_id, self.over, self.ahead = gen, None, 0, False, ahead

    def started(self):
        """Whether it took its first step: cancelled before, it runs no part of its own."""
        return self.wait is not None or self.wait_id > 0


class Loop:
    """Resumes coroutines; after each pass `turn` handles what it brought and tells when it is due again."""

    def __init__(self, turn=lambda: FOREVER, now=None, system=HERE):
        self.now, self.turn, self.system = now or system.now, turn, system
        self.epoll, self.fds, self.faults = system.poller(), {}, FaultLog(self.now)
        self.due, self.sequence, self.ready, self.running = [], count(), deque(), True
        self.lateness, self.current = 0.0, None
        self.after = []  # done once behind the next turn, when no coroutine is in the middle of a step

    def spawn(self, gen, ahead=False):
        """`ahead`: it is resumed before all others that are ready."""
        task = Task(gen, ahead)
        self._enqueue(task, None)
        return task

    def _enqueue(self, task, value):
        (self.ready.appendleft if task.ahead else self.ready.append)((task, task.wait_id, value))

    def keep(self, begin, ahead=False):
        """A coroutine that must not end: it is begun again after a fault."""

        def run():
            while True:
                try:
                    yield from begin()
                    return
                except Exception as fault:
                    self.faults.tell("coroutine.again", "a coroutine that must not end is begun again", fault)
                    yield Until(self.now() + AGAIN)

        return self.spawn(run(), ahead)

    def resume(self, task, value):
        """Once only for each wait: what comes later belongs to a wait that is over."""
        if task.wait is not None:
            self._disarm(task)
            task.wait_id += 1
            self._enqueue(task, value)

    def cancel(self, task):
        """Ends a coroutine where it waits."""
        if not task.over:
            if task.wait is not None:
                self._disarm(task)
            task.over = True
            task.gen.close()

    def _disarm(self, task):
        """What a coroutine waited for no longer wakes it."""
        wait, task.wait = task.wait, None
        if wait.event is not None:
            wait.event.task = None
        if self.fds.get(wait.fd) is task:
            self.fds[wait.fd] = None

    def close(self, sock):
        """Closes a socket and forgets its descriptor before the number is used again."""
        self.forget(sock)
        try:
            sock.close()
        except OSError:  # the descriptor is free whatever close says
            pass

    def forget(self, sock):
        """The loop no longer watches it; it stays open."""
        fd = sock.fileno()
        if fd in self.fds:
            del self.fds[fd]
            try:
                self.epoll.unregister(fd)
            except OSError:  # it is not watched any more
                pass

    def _arm(self, fd, mask, task):
        mask |= select.EPOLLONESHOT
        try:
            (self.epoll.modify if fd in self.fds else self.epoll.register)(fd, mask)
        except FileNotFoundError:  # the number belonged to a socket that was closed without a word
            self.epoll.register(fd, mask)
        self.fds[fd] = task

    def _step(self, task, value):
        self.current = task
        try:
            wait = task.gen.send(value)
        except StopIteration:
            task.over = True
            return
        except Exception as fault:  # guards the others: a fault ends one coroutine, never the program
            task.over = True
            self.faults.tell("coroutine.fault", "a coroutine ended by a fault", fault)
            return
        task.wait = wait
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
                if fault.errno not in OUT_OF_RESOURCES:  # it counts as ready: the next call on it tells why
                    self.resume(task, True)
                    return
                # guards against a coroutine that is resumed over and over: it looks again a moment later
                heapq.heappush(self.due, (self.now() + AGAIN, next(self.sequence), task, task.wait_id))
        if wait.at < FOREVER:
            heapq.heappush(self.due, (wait.at, next(self.sequence), task, task.wait_id))

    def once(self, until=FOREVER):
        """One pass: wait, resume what is ready until nothing is, then the turn."""
        while self.due and (self.due[0][2].over or self.due[0][2].wait_id != self.due[0][3]):
            heapq.heappop(self.due)
        at = min(until, self.due[0][0] if self.due else FOREVER)
        polled_at = self.now()
        wait = 0.0 if self.ready else min(1.0, max(0.0, (at - polled_at) / 1000.0))
        events = self.epoll.poll(wait)
        for fd, _ in events:
            task = self.fds.get(fd)
            if task is not None:
                self.resume(task, True)
        # Guards answers that lie there unread against a time-out when the process stood still since it asked
        # for them: only what was due by then is over; the rest is due in the next pass, behind what that one
        # brings.
        now = self.now()
        expired_until = min(now, max(polled_at, at) if wait and not events else polled_at)
        while self.due and self.due[0][0] <= expired_until:
            at, _, task, wait_id = heapq.heappop(self.due)
            if not task.over and task.wait_id == wait_id:
                self.lateness = max(self.lateness, now - at)
                self.resume(
                    task, task.wait.at > expired_until
                )  # before its time: what it waits for may be there
        self.step()
        until = self.turn()
        after, self.after = self.after, []
        for callback in after:
            callback()
        return until

    def step(self):
        """Resumes what is ready until nothing is."""
        while self.ready:
            task, wait_id, value = self.ready.popleft()
            if not task.over and task.wait_id == wait_id:
                self._step(task, value)

    def run(self):
        """Passes until `running` is false; each waits for events until the turn of the last has something
        due.
        """
        until = FOREVER
        while self.running:
            until = self.once(until)
