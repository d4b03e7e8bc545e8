"""The loop: events, times, faults and descriptors."""

import socket

from helper import Listener, answer, spin
from wire_helper import Out, call

from calicopin.state.connections import Lines
from calicopin.wire.loop import READ, Event, Until


def test_an_event_set_early_is_not_forgotten_and_a_late_one_is_no_second_wake(loop):
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


def test_what_must_not_end_is_begun_again_after_a_fault(loop):
    """A list that a coroutine choked on would otherwise have been the last one heard."""
    starts = []

    def watch():
        starts.append(1)
        yield Until(0.0)
        raise RecursionError("a fault for the test")

    loop.keep(watch)
    for times in (1, 2, 3):
        spin(loop, lambda times=times: len(starts) == times and loop.due and loop.due[0][0] > loop.now())
        loop.now.now += 100.0


def test_a_descriptor_that_was_closed_without_a_word_can_be_used_again(loop):
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


def test_a_fault_ends_one_coroutine_only(loop):
    done = []

    def broken():
        yield Until(loop.now())
        raise RuntimeError("a fault for the test")

    def sound():
        yield Until(loop.now())
        done.append(1)

    loop.spawn(broken())
    loop.spawn(sound())
    spin(loop, lambda: done)


def test_what_lies_unread_goes_before_a_time_out_after_a_standstill(loop):
    """A process that stood still just after it asked for events once held answers that lay there for
    time-outs.
    """
    listener, lines = Listener(loop), Lines(4, 1000.0)
    out = Out(loop, call(listener.address), lines)
    peer = listener.meet()
    peer.wait(b"\x00\xff")
    poller = loop.epoll

    class Standing:
        """Nothing is ready; then the process stands still while the answer comes and the time runs out."""

        def poll(self, _):
            loop.epoll = poller
            events = poller.poll(0)
            peer.say(answer(200))
            loop.now.now += 900.0
            return [*events, (-1, READ)]  # another's event: what was asked for before the standstill

    loop.epoll = Standing()
    loop.once(loop.now())
    assert out.end().status == 200
