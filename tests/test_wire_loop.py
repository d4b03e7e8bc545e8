"""The event loop: events, timers, exceptions and descriptors."""

import socket

from helper import Listener, answer, spin
from wire_helper import Out, call

from calicopin.state.connections import ConnectionPool
from calicopin.wire.loop import READ, Event, Until


def test_an_event_set_early_is_kept_and_one_set_after_the_time_out_does_not_wake_again(loop):
    event, results = Event(loop), []

    def waits():
        results.append((yield Until(event=event)))
        results.append((yield Until(2000.0, event=event)))
        results.append((yield Until(3000.0)))

    event.set()
    loop.spawn(waits())
    spin(loop, lambda: results == [True])
    loop.now.now = 2000.0
    spin(loop, lambda: results == [True, False])
    event.set()
    for _ in range(5):
        loop.once(loop.now())
    assert results == [True, False]


def test_a_persistent_coroutine_is_restarted_after_an_exception(loop):
    """Without a restart, one list that raised an exception would end all updates of the list."""
    starts = []

    def watch():
        starts.append(1)
        yield Until(0.0)
        raise RecursionError("raised by the test")

    loop.spawn_restarting(watch)
    for times in (1, 2, 3):
        spin(
            loop, lambda times=times: len(starts) == times and loop.timers and loop.timers[0][0] > loop.now()
        )
        loop.now.now += 100.0


def test_the_number_of_a_socket_closed_outside_the_loop_can_be_reused(loop):
    got = []

    def waits(sock):
        got.append((yield Until(1e9, sock.fileno(), READ)))

    one, other = socket.socketpair()
    loop.spawn(waits(one))
    spin(loop, lambda: loop.fds)
    fd = one.fileno()
    one.close()
    two, three = socket.socketpair()
    assert two.fileno() == fd
    loop.spawn(waits(two))
    for _ in range(5):
        loop.once(loop.now())
    assert not got
    three.send(b"x")
    spin(loop, lambda: got == [True])


def test_an_exception_ends_one_coroutine_only(loop):
    done = []

    def broken():
        yield Until(loop.now())
        raise RuntimeError("raised by the test")

    def sound():
        yield Until(loop.now())
        done.append(1)

    loop.spawn(broken())
    loop.spawn(sound())
    spin(loop, lambda: done)


def test_unread_data_takes_precedence_over_a_time_out_after_a_suspension(loop):
    """If the process is suspended right after the poll, answers that arrived must not count as time-outs."""
    listener, lines = Listener(loop), ConnectionPool(4, 1000.0)
    out = Out(loop, call(listener.address), lines)
    peer = listener.meet()
    peer.wait(b"\x00\xff")
    poller = loop.epoll

    class SuspendedPoller:
        """Polls without a result, then lets the answer arrive and the time run out."""

        def poll(self, _):
            loop.epoll = poller
            events = poller.poll(0)
            peer.say(answer(200))
            loop.now.now += 900.0
            return [*events, (-1, READ)]  # another descriptor's event, polled before the suspension

    loop.epoll = SuspendedPoller()
    loop.once(loop.now())
    assert out.end().status == 200


def test_timers_of_waits_that_have_ended_do_not_fill_the_memory(loop):
    event, resumed = Event(loop), []

    def wait_again_and_again():
        for _ in range(20000):
            resumed.append((yield Until(loop.now() + 2500.0, event=event)))

    def wait_once():
        yield Until(loop.now() + 2500.0)

    loop.spawn(wait_once())  # its timer stays the first
    loop.spawn(wait_again_and_again())
    for _ in range(5000):
        event.set()
        loop.once(loop.now())
        assert len(loop.timers) < 1100
    assert set(resumed) == {True}
    loop.now.now += 2500.0
    loop.once(loop.now())
    assert resumed[-1] is False
