"""A message that comes again under its key is submitted only while its destination knows the key."""

import json
import random
import re
import signal
import tracemalloc

import pytest
from courier_helper import CourierFixture
from helper import PRODUCT, Clock, DecisionsFixture, Peer, answer, submits, terms
from platform_helper import Platform

from calicopin.interface import How, Nack, Taken
from calicopin.state.journal import KEY_WINDOW_BYTES, Journal, allocated_bytes
from calicopin.state.key_windows import LATE_READ_MS, KeyWindows
from calicopin.state.texts import Text
from calicopin.store.segments import Segments
from calicopin.system import REAL_SYSTEM, System

WINDOW_MS = 15_000.0  # of the product `order` in `terms`
ONE_TRY = dict(
    mostHeld=40, tryLimit=1, connectTimeout=1.5, idleClose=10.0, retryAfter=True, maxRetryAfter=2.0
)
REQUEST_ID = re.compile(rb"X-Request-ID: (\S+)", re.IGNORECASE)


class ScriptedPeers:
    """The other side of all connections to one listener: collects requests and answers some at once."""

    def __init__(self, listener):
        self.listener, self.peers = listener, []

    def requests(self):
        """(connection, request) of each request that has come; a request ends with its body."""
        try:
            while True:
                self.peers.append(Peer(self.listener.loop, self.listener.sock.accept()[0]))
        except BlockingIOError:
            pass
        for peer in self.peers:
            if peer.hear().endswith((b"\xfe\xfe\xfe", b"}\n")):
                request, peer.heard = peer.heard, b""
                yield peer, request


class Order:
    """A courier whose order `a` under the key `k` failed, so that it may have run, and was bounced.

    `calls` holds the ids of the messages that were called, `notices` those of the notices.
    """

    ANSWERS = {"a": answer(500), "pause": answer(429, X_Retry_In_Ms=14_000)}

    def __init__(self, folder, **settings):
        grades = [grade | {"lateWorth": 0.9} for grade in terms()["grades"]]  # worth a wait
        self.folder, self.settings = folder, dict(ceilings=ONE_TRY, grades=grades) | settings
        self.courier, self.calls, self.notices = None, [], []
        self.start(Clock(50_000.0), None)
        self.hand_in("warm")
        self.sent_at = self.courier.loop.now()
        self.hand_in("a", "k")
        assert self.notices == [{"ref": "a", "result": "bounced"}]
        assert not self.courier.runtime.journal.texts
        self.hand_in("warm-again")  # the destination is in no doubt

    def start(self, clock, endpoint):
        self.courier = CourierFixture(
            self.folder, clock=clock, endpoint=endpoint, system=System(), **self.settings
        )
        self.endpoint = ScriptedPeers(self.courier.endpoint)
        self.platform = ScriptedPeers(self.courier.platform)

    def hand_in(self, ident, key=None):
        product = "order" if key else "notice"
        assert self.courier.post(ident, product, reference=key, left=18.0) == b"202"
        self.run(200.0)

    def run(self, span):
        """Runs the courier, its endpoint and its platform for `span` ms."""
        clock = self.courier.loop.now
        until = clock.now + span
        while clock.now < until:
            for _ in range(4):
                self.courier.loop.once(clock.now)
                self.serve()
            clock.now += 20.0

    def serve(self):
        for peer, request in self.endpoint.requests():
            ident = REQUEST_ID.search(request)[1].decode()
            self.calls.append(ident)
            peer.say(self.ANSWERS.get(ident, answer(200)))
        for peer, request in self.platform.requests():
            self.notices += [json.loads(line) for line in request.split(b"\r\n\r\n")[-1].splitlines()]
            peer.say(answer(204))

    def restart(self):
        self.courier.kill()
        self.start(self.courier.loop.now, self.courier.endpoint)

    def play(self, passages):
        for passage in passages.split():
            self.restart() if passage == "kill" else self.courier.runtime.journal._rewrite()


@pytest.mark.parametrize("store", ["file", "segments"])
@pytest.mark.parametrize("passages", ["", "kill", "rewrite kill", "kill rewrite kill"])
def test_a_bounced_message_that_comes_again_is_not_sent_behind_its_window(tmp_path, passages, store):
    """It took effect twice, also over a restart between its notice and its second hand-in (issue 61)."""
    order = Order(tmp_path, store=store)
    order.run(4_000.0)
    order.play(passages)
    order.hand_in("pause")
    order.hand_in("b", "k")
    order.run(order.sent_at + WINDOW_MS - 200.0 - order.courier.loop.now())
    assert [notice["ref"] for notice in order.notices] == ["a", "pause"], "it had time until now"
    order.run(300.0)
    assert order.notices[-1] == {"ref": "b", "result": "bounced"}
    order.run(6_000.0)
    assert order.calls == ["warm", "a", "warm-again", "pause"]


@pytest.mark.parametrize("passages", ["", "kill"])
def test_a_bounced_message_that_comes_again_inside_its_window_is_delivered(tmp_path, passages):
    """To refuse or hold back what a destination would drop as a repeat is no mend (issue 61)."""
    order = Order(tmp_path)
    order.run(4_000.0)
    order.play(passages)
    order.hand_in("b", "k")
    order.hand_in("c", "other")
    assert order.calls == ["warm", "a", "warm-again", "b", "c"] and not order.courier.runtime.facade.texts


def test_a_key_is_new_again_behind_its_window(tmp_path):
    """A message that is handed in later under the same key has its whole validity (issue 61)."""
    order = Order(tmp_path)
    order.run(WINDOW_MS + LATE_READ_MS)
    order.hand_in("b", "k")
    assert order.calls[-1] == "b"


def test_a_message_that_is_read_just_behind_its_window_is_not_sent(tmp_path):
    """Its request may have waited since before the window ended, as in a restart (issue 61)."""
    order = Order(tmp_path)
    order.run(order.sent_at + WINDOW_MS + 500.0 - order.courier.loop.now())
    order.hand_in("b", "k")
    assert order.notices[-1] == {"ref": "b", "result": "bounced"} and "b" not in order.calls


@pytest.mark.parametrize("chain", ["upgrade upgrade", "kill-successor upgrade"])
def test_a_window_passes_to_later_processes(tmp_path, chain):
    """A key ran twice behind a new version between its notice and its second hand-in (issue 61)."""
    platform = Platform(tmp_path)
    grades = [
        grade | ({"keyTtl": 8.0, "lateWorth": 0.9} if "keyTtl" in grade else {})
        for grade in terms()["grades"]
    ]
    platform.configuration["settings"] = terms(grades=grades, ceilings=ONE_TRY)
    platform.wait_ms = 9_000
    try:
        courier = platform.up(platform.start())
        assert platform.post("fail", "order", reference="k") == 202
        platform.until(lambda: platform.notices == [{"ref": "fail", "result": "bounced"}])
        for step in chain.split():
            successor = platform.up(platform.start())
            if step == "upgrade":
                courier.send_signal(signal.SIGTERM)
                assert courier.wait(10.0) == 0
                courier = successor
            else:
                successor.kill()
                successor.wait()
                platform.up(courier)
        assert platform.post("wait") == 202
        platform.until(lambda: "wait" in platform.heard)
        assert platform.post("again", "order", reference="k") == 202
        platform.until(lambda: {"ref": "again", "result": "bounced"} in platform.notices)
        assert "again" not in platform.heard
    finally:
        platform.release.set()
        platform.end()


def keyed(decisions, ident, name="k", valid=24_000.0):
    return decisions.step([Taken(ident, 0, 0, decisions.now + valid, reference=name)])


def test_a_call_that_is_out_limits_another_text_under_its_reference():
    """Two ids under one key: the client never heard that the first one was accepted (issue 61)."""
    decisions = DecisionsFixture()
    assert len(submits(keyed(decisions, 1))) == 1
    decisions.courier.route(decisions.courier.dest(0), None).apply_wait(20_000.0)
    assert not submits(keyed(decisions, 2, valid=23_000.0)) and not submits(keyed(decisions, 3, name="other"))
    ended = [action for action in decisions.step(after=PRODUCT.memory + 10.0) if isinstance(action, Nack)]
    assert [nack.text for nack in ended] == [2], "behind the window of the first text's call"
    assert set(decisions.courier.registry.texts) == {1, 3}, "another reference has its own window"


def test_a_text_under_the_reference_of_one_that_never_ran_keeps_its_validity():
    """A refused call limits no other text (issue 61)."""
    decisions = DecisionsFixture()
    (first,) = submits(keyed(decisions, 1))
    decisions.courier.route(decisions.courier.dest(0), None).apply_wait(16_000.0)
    keyed(decisions, 2, valid=23_000.0)
    decisions.outcome(first, How.FULL)
    decisions.step(after=PRODUCT.memory + 500.0)
    assert set(decisions.courier.registry.texts) == {1, 2}


def test_what_an_ended_text_did_limits_another_one_under_its_reference():
    """The second text outlives the first one (issue 61)."""
    decisions = DecisionsFixture()
    (first,) = submits(keyed(decisions, 1))
    decisions.courier.route(decisions.courier.dest(0), None).apply_wait(20_000.0)
    keyed(decisions, 2, valid=23_000.0)
    decisions.outcome(first, How.DELIVERED)
    assert not submits(decisions.step(after=21_000.0))
    assert [nack.text for nack in decisions.done if isinstance(nack, Nack)] == [2]


def message(ident, key, **other):
    return Text(ident, 7, 0, key, None, 60_000.0, b"xyz", **other)


STORES = {
    "file": lambda folder, disk, now: Journal(
        str(folder), disk, 0.0, REAL_SYSTEM, 20_000.0, "b", None, now, [WINDOW_MS]
    ),
    "segments": lambda folder, disk, now: Segments(
        str(folder), disk, 0.0, REAL_SYSTEM, 20_000.0, "b", False, None, now, [WINDOW_MS]
    ),
}


@pytest.mark.parametrize("store", STORES)
@pytest.mark.parametrize("seed", range(3))
def test_windows_outlive_a_kill_at_any_moment_of_a_full_folder(tmp_path, store, seed):
    """Rewriting and cleaning remove the records that hold a key (issue 61)."""
    rng, clock, sent_at = random.Random(seed), Clock(1000.0), {}
    journal = STORES[store](tmp_path, 60_000, clock)
    for number in range(1500):
        clock.now += rng.uniform(0.0, 40.0)
        text = message(f"m{number}", f"k{number}")
        if journal.room(len(text.body)):
            journal.accepted(text)
            if rng.random() < 0.8:
                journal.sent(text, clock.now, "a")
                sent_at[text.reference] = clock.now
                if rng.random() < 0.5:
                    journal.submit_ended(text, True)
            if rng.random() < 0.5:
                journal.given_up(text, "bounced", 0.0)
            journal.ended(text, clock.now)
        journal.flush()
        assert sum(allocated_bytes(path.stat().st_size) for path in tmp_path.iterdir()) <= 60_000
        if rng.random() < 0.01:
            journal = STORES[store](tmp_path, 60_000, clock)
        if rng.random() < 0.05:
            for key, at in sent_at.items():
                again = message("again", key)
                repeated = journal.keys.apply_to(again, clock.now)
                if clock.now < at + WINDOW_MS:
                    assert repeated and at - 1.0 <= again.ran_at <= at and again.ran_zone == "a", key
    assert len(sent_at) > 500


def test_a_wall_clock_that_was_set_makes_no_window_longer(tmp_path):
    """Behind a reboot the times in the journal are wall times (issue 61)."""
    clock = Clock(1000.0)
    journal = Journal(str(tmp_path), 60_000, 5e11, REAL_SYSTEM, 20_000.0, "b", None, clock, [WINDOW_MS])
    text = message("a", "k")
    journal.accepted(text)
    journal.sent(text, clock.now, "a")
    journal.ended(text, clock.now)
    journal._rewrite()
    hour_back = 5e11 - 3.6e6
    journal = Journal(
        str(tmp_path), 60_000, hour_back, REAL_SYSTEM, 20_000.0, "other", None, clock, [WINDOW_MS]
    )
    again = message("b", "k")
    assert journal.keys.apply_to(again, clock.now) and again.ran_at == clock.now
    assert not journal.keys.apply_to(message("b", "k"), clock.now + WINDOW_MS + LATE_READ_MS)


def test_the_windows_of_keys_take_a_stated_amount_of_memory_and_journal(tmp_path):
    """By need: keys of any length take the same, and none stays behind its window (issue 61)."""
    windows, texts = KeyWindows([WINDOW_MS], 20_000.0), []
    for number in range(10_000):
        texts.append(message(f"m{number}", f"{'k' * 200}{number}", ran_at=float(number), ran_zone="a"))
    tracemalloc.start()
    for text in texts:
        windows.ended(text, text.ran_at)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    journal = Journal(str(tmp_path), 3_000_000, 0.0, REAL_SYSTEM, 20_000.0, "b", None, Clock(10_000.0))
    journal.keys = windows
    assert used / 10_000 < 400 and len(journal._key_record(windows.windows)) / 10_000 < KEY_WINDOW_BYTES
    windows.forget_expired(30_000.0)
    assert not windows.windows and not windows.expiries
