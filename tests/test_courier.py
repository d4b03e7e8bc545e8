"""Whole couriers on loopback that are killed and started again."""

import json
import os
import signal
from dataclasses import replace

import pytest
from courier_helper import CourierFixture, place
from helper import Clock, Listener, answer, client, spin, terms

from calicopin import decisions
from calicopin.lifecycle.runtime import FIRST_LIST_TIMEOUT_MS
from calicopin.lifecycle.shutdown_steps import LAST_ACCEPT_MS, LAST_CALL_MS, STOP_LIMIT_MS, UNREADY_MS
from calicopin.lifecycle.signals import SignalReader
from calicopin.lifecycle.start import initial_list, posted
from calicopin.lifecycle.stop import POLL_INTERVAL_MS
from calicopin.state.connections import Budget
from calicopin.state.texts import Text


def test_a_text_goes_from_its_client_to_its_endpoint(tmp_path):
    house = CourierFixture(tmp_path)
    assert house.post("a") == b"202"
    peer = house.endpoint.meet()
    peer.wait(b"\xfe\xfe\xfe")
    peer.say(answer(200))
    spin(house.loop, lambda: not house.runtime.journal.texts and not house.runtime.out)
    assert house.runtime.lines.count == 1 and not house.runtime.facade.texts


def test_a_text_is_on_disk_before_its_202_and_its_submit_before_the_first_byte(tmp_path):
    house = CourierFixture(tmp_path)
    house.post("a")
    data = (tmp_path / "journal").read_bytes()
    assert b'"a"' in data and b"\xfe\xfe\xfe" in data and data.index(b"S[") > data.index(b"\xfe\xfe\xfe")


def test_a_killed_courier_owes_each_text_its_one_end(tmp_path):
    house = CourierFixture(tmp_path)
    for ident, product in (("done", "notice"), ("again", "notice"), ("once", "once")):
        assert house.post(ident, product) == b"202"
    peers = [house.endpoint.meet() for _ in range(3)]
    for peer in peers:
        heard = peer.wait(b"\xfe\xfe\xfe")
        if b"done" in heard:
            peer.say(answer(200))
    spin(house.loop, lambda: len(house.runtime.journal.texts) == 2)
    house.kill()
    back = CourierFixture(tmp_path, clock=Clock(50_000.0), endpoint=house.endpoint)
    assert {ident: kept.tries for ident, kept in back.runtime.journal.texts.items()} == {
        "again": 2,
        "once": 1,
    }
    peer = back.endpoint.meet()
    assert b"again" in peer.wait(b"\xfe\xfe\xfe")
    assert back.notice() == [{"ref": "once", "result": "dead"}]
    peer.say(answer(200))
    spin(back.loop, lambda: not back.runtime.journal.texts)


def test_a_notice_not_yet_heard_is_owed_after_a_restart(tmp_path):
    house = CourierFixture(tmp_path)
    house.post("a", left=0.0)
    spin(house.loop, lambda: house.runtime.notices.owed)
    house.kill()
    assert CourierFixture(tmp_path, asked=False).notice() == [{"ref": "a", "result": "bounced"}]


def test_the_id_of_another_text_neither_replaces_nor_withdraws_it_nor_sends_it_again(tmp_path):
    """A second client's leaving once withdrew the first one's text, and an id just ended was sent once
    more.
    """
    house = CourierFixture(tmp_path)
    assert house.post("a") == b"202"
    peer = house.endpoint.meet()
    peer.wait(b"\xfe\xfe\xfe")
    assert house.post("a", size=9) == b"409" and len(house.runtime.journal.texts["a"].body) == 3
    peer.say(answer(200))
    spin(house.loop, lambda: not house.runtime.journal.texts)
    assert house.post("a") == b"409" and house.runtime.ledger.taken == 1
    house.loop.now.now += 20_001.0
    house.runtime.journal.past.add("b", house.loop.now())
    assert "a" not in house.runtime.journal.past


def test_a_destination_never_listed_is_not_taken_on(tmp_path):
    """It was held to its end, and took a place in every table for good."""
    house = CourierFixture(tmp_path, asked=False)
    assert house.post("a", dest=9) == b"503"
    house.tell(house.known)
    assert (
        house.post("b", dest=9) == b"404"
        and house.post("c") == b"202"
        and house.runtime.facade.dests.index == {7: 0}
    )


def assert_only_the_new_endpoint_is_called(house, other):
    """The agent tells that the endpoint known is leaving, and that `other` has come."""
    house.tell(
        {
            "version": 4,
            "full": True,
            "servers": [
                house.known["servers"][0] | {"state": "leaving"},
                house.known["servers"][0] | {"id": "s-2", "addr": other.address},
            ],
        }
    )
    assert b"\xfe\xfe\xfe" in other.meet().wait(b"\xfe\xfe\xfe")
    with pytest.raises(BlockingIOError):
        house.endpoint.sock.accept()


def test_a_start_calls_nobody_by_an_old_list_where_an_agent_has_a_newer_one(tmp_path):
    """In a roll of 186 couriers a new process asked up to ten seconds late, and called endpoints announced
    as leaving before it began.
    """
    house = CourierFixture(tmp_path, asked=False)
    other = Listener(house.loop)
    assert house.post("a") == b"202", "taken on at once all the same"
    assert_only_the_new_endpoint_is_called(house, other)


@pytest.mark.parametrize("late", [400.0, 800.0])
def test_a_start_calls_nobody_by_an_old_list_where_its_agent_answers_late(tmp_path, late):
    """On a busy machine the first answer took over 250 ms, and an endpoint that had left was called."""
    house = CourierFixture(tmp_path, asked=False)
    other = Listener(house.loop)
    assert house.post("a") == b"202", "taken on at once all the same"
    house.pass_time(late)
    with pytest.raises(BlockingIOError):
        house.endpoint.sock.accept()
    house.platform.meet()  # the first call, given up after 250 ms; the second is more patient
    assert_only_the_new_endpoint_is_called(house, other)


def test_a_message_ends_in_time_while_a_start_awaits_its_first_list(tmp_path):
    house = CourierFixture(tmp_path, asked=False)
    assert house.post("a", left=0.3) == b"202"
    house.pass_time(350.0)
    assert house.notice() == [{"ref": "a", "result": "bounced"}]
    with pytest.raises(BlockingIOError):
        house.endpoint.sock.accept()


@pytest.mark.parametrize("trouble", ["silent", "turns away", "garbles"])
def test_a_start_whose_agent_tells_no_list_goes_by_the_one_it_knows(tmp_path, trouble):
    house = CourierFixture(tmp_path, asked=False)
    assert house.post("a") == b"202"
    watch = house.platform.meet()
    watch.wait(b"\r\n\r\n")
    with pytest.raises(BlockingIOError):
        house.endpoint.sock.accept()
    if trouble == "silent":
        house.pass_time(FIRST_LIST_TIMEOUT_MS - 1.0)
        with pytest.raises(BlockingIOError):
            house.endpoint.sock.accept()
        house.loop.now.now += 1.0
    else:
        watch.say(answer(503) if trouble == "turns away" else answer(200, b"{"))
    house.endpoint.meet().wait(b"\xfe\xfe\xfe")
    house.loop.now.now += 100.0
    again = house.platform.meet()
    assert b"GET /api/targets HTTP" in again.wait(b"\r\n\r\n"), "asked again soon, for the whole list"


def test_a_list_of_1024_endpoints_is_taken_changed_and_served_by_one_of_1024_couriers(tmp_path, monkeypatch):
    """Each entry once had its destination look at all endpoints anew: five seconds of a core for such a
    list.
    """
    asked = []
    monkeypatch.setattr(
        decisions.Route,
        "opens",
        lambda route, opens=decisions.Route.opens: asked.append(route) or opens(route),
    )
    house = CourierFixture(tmp_path, asked=False, groupSize=1024)
    assert house.post("a") == b"202"
    entry, other = house.known["servers"][0], Listener(house.loop)
    many = [entry | {"id": f"s-{number}"} for number in range(1024)]
    house.tell({"version": 4, "full": True, "servers": many})
    house.endpoint.meet().wait(b"\xfe\xfe\xfe")
    assert len(house.runtime.facade.places) == len(house.runtime.facade.module.dests[0].endpoints) == 1024
    assert len(asked) < 20, "the route that they share is asked a few times, not for each of them"
    change = {
        "version": 5,
        "full": False,
        "servers": [one | {"state": "leaving"} for one in many]
        + [entry | {"id": "s-new", "addr": other.address}],
    }
    house.watch.say(answer(200, json.dumps(change, indent=1).encode()))
    house.watch.wait(b"index=5")
    assert house.post("b") == b"202"
    assert b"\xfe\xfe\xfe" in other.meet().wait(b"\xfe\xfe\xfe")
    assert len(house.runtime.facade.places) == 1025 and len(asked) < 40


def test_an_empty_list_is_passed_over_and_a_list_known_that_cannot_be_read_stops_no_start(tmp_path):
    house = CourierFixture(tmp_path)
    house.watch.say(answer(200, b'{"version": 9, "full": true, "servers": []}'))
    house.watch.wait(b"index=9")
    assert house.post("a") == b"202" and house.endpoint.meet().wait(b"\xfe\xfe\xfe")
    for known in (
        {},
        {"version": 1, "full": True, "servers": [house.known["servers"][0]] * 2},
        {"version": 1, "full": True, "servers": [{}]},
    ):
        assert initial_list(known) == (None, [])


def test_an_endpoint_that_left_is_forgotten_with_its_connections(tmp_path):
    """Each once kept its place in the tables, and its connections, for good."""
    house = CourierFixture(tmp_path)
    house.post("a")
    peer = house.endpoint.meet()
    peer.wait(b"\xfe\xfe\xfe")
    peer.say(answer(200))
    spin(house.loop, lambda: house.runtime.lines.count)
    facade = house.runtime.facade
    for number in range(200):
        house.runtime.update_list(
            [place(f"t-{number}", house.endpoint.address), place("s-1", ready=False, left=True)], False
        )
        house.runtime.update_list([place(f"t-{number}", ready=False, left=True)], False)
        house.loop.now.now += 1000.0
        house.loop.once(house.loop.now())
    assert not house.runtime.lines.count and not peer.wait_end() and not facade.places
    assert (
        max(len(table) for table in (facade.endpoints.index, facade.endpoints.ident, facade.module.endpoints))
        <= 62
    )


def test_a_first_line_with_200_delivers_at_once_and_a_later_wait_still_binds(tmp_path):
    house = CourierFixture(tmp_path)
    house.post("a")
    peer = house.endpoint.meet()
    peer.wait(b"\xfe\xfe\xfe")
    peer.say(b"HTTP/1.1 200 OK\r\n")
    spin(house.loop, lambda: not house.runtime.journal.texts)
    assert house.runtime.out == 1
    peer.say(b"X-Retry-In-Ms: 700\r\nContent-Length: 0\r\n\r\n")
    spin(house.loop, lambda: not house.runtime.out)
    house.post("b")
    for at in (0.0, 699.0):
        assert not house.runtime.out
        house.loop.now.now += at
        house.loop.once(house.loop.now())
    house.loop.now.now += 6.0
    spin(house.loop, lambda: house.runtime.out)


def test_without_room_for_the_body_a_text_is_refused(tmp_path):
    house = CourierFixture(tmp_path, disk=150_000)
    assert [house.post("a", size=30000), house.post("b", size=30000)] == [b"202", b"503"]


def test_a_fault_in_a_call_is_an_outcome(tmp_path, monkeypatch):
    house = CourierFixture(tmp_path)
    monkeypatch.setattr("calicopin.wire.endpoints.encode", None)
    house.post("a", product="once")
    assert house.notice() == [{"ref": "a", "result": "dead"}]


def test_a_fault_in_the_decisions_does_not_stop_the_program(tmp_path, monkeypatch):
    house = CourierFixture(tmp_path)
    tick, house.runtime.facade.tick = house.runtime.facade.tick, None
    house.loop.once(house.loop.now())
    assert house.post("a") == b"503" and house.post("b") == b"503" and not house.runtime.ledger.taken
    house.runtime.facade.tick = tick
    house.loop.once(house.loop.now())
    assert house.post("a") == b"202" and not house.runtime.stuck


def test_a_disk_that_fails_keeps_answers_and_calls_back(tmp_path, monkeypatch):
    """Nothing may go out that the journal does not hold."""
    house = CourierFixture(tmp_path)
    flush, house.runtime.journal.flush = house.runtime.journal.flush, lambda: os.write(-1, b"")
    peer = client(house.loop, house.listen)
    peer.say(
        b"POST /notice HTTP/1.1\r\nHost: x\r\nX-Request-ID: a\r\nX-Timeout: 9\r\nX-Envelope: dest=7\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    spin(house.loop, lambda: house.runtime.ledger.taken)
    house.runtime.take(Text("late", 7, 0, None, None, 0.0, b""))
    for _ in range(20):
        house.loop.once(house.loop.now())
    assert not peer.hear() and not house.runtime.out and not house.runtime.notices.owed
    house.runtime.journal.flush = flush
    house.loop.now.now += 100.0
    assert peer.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 202") and house.runtime.out == 1


def test_sigterm_before_the_first_list_and_again_ends_once_and_in_order_behind_a_torn_record(tmp_path):
    house = CourierFixture(tmp_path, asked=False)
    assert house.post("a") == b"202"
    for _ in range(2):
        os.kill(os.getpid(), signal.SIGTERM)
        spin(house.loop, lambda: any(at == house.loop.now() + POLL_INTERVAL_MS for at, *_ in house.loop.due))
    assert house.loop.running and house.post("b") == b"202", "what still comes is served"
    with pytest.raises(BlockingIOError):
        house.endpoint.sock.accept()
    house.loop.now.now += STOP_LIMIT_MS + 1.0
    spin(house.loop, lambda: not house.loop.running)
    assert {ident: text.tries for ident, text in house.runtime.journal.texts.items()} == {"a": 0, "b": 0}
    house.kill()
    with open(tmp_path / "journal", "ab") as file:
        file.write(b"\x40\x00\x00\x00torn")
    back = CourierFixture(tmp_path, clock=Clock(50_000.0), endpoint=house.endpoint)
    peers = [back.endpoint.meet() for _ in range(2)]
    heard = {peer.wait(b"\xfe\xfe\xfe").split(b"X-Request-ID: ")[-1][:1] for peer in peers}
    assert heard == {b"a", b"b"} and {text.tries for text in back.runtime.journal.texts.values()} == {1}


def test_sigterm_finishes_what_it_can_and_leaves_the_rest_journalled(tmp_path):
    house = CourierFixture(tmp_path)
    house.post("a")
    peer = house.endpoint.meet()
    peer.wait(b"\xfe\xfe\xfe")
    os.kill(os.getpid(), signal.SIGTERM)
    spin(house.loop, lambda: any(at == house.loop.now() + POLL_INTERVAL_MS for at, *_ in house.loop.due))
    assert house.post("b") == b"202", "what still comes is served"
    peer2 = client(house.loop, house.listen)
    peer2.say(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    assert peer2.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 503")
    house.loop.now.now += UNREADY_MS + 1.0
    assert house.post("c") == b"202"
    peer.say(answer(200))
    spin(house.loop, lambda: set(house.runtime.journal.texts) == {"b", "c"})
    house.loop.now.now += LAST_CALL_MS - UNREADY_MS
    spin(house.loop, lambda: not house.runtime.calling)
    out = house.runtime.out
    assert house.post("d") == b"202" and house.runtime.out == out, "taken on for the time after the restart"
    house.loop.now.now += LAST_ACCEPT_MS - LAST_CALL_MS
    assert not peer2.wait_end() and refused(house)
    house.loop.now.now += STOP_LIMIT_MS
    spin(house.loop, lambda: not house.loop.running)
    assert set(house.runtime.journal.texts) == {"b", "c", "d"}


def renew(house, **other):
    """The file is replaced, or cannot be read, and SIGHUP comes."""
    house.posts.append(replace(house.posts[0], **other))
    os.kill(os.getpid(), signal.SIGHUP)


def test_sighup_begins_a_new_watch_and_tells_unheard_notices_at_the_new_address(tmp_path):
    """It once ended the program."""
    house = CourierFixture(tmp_path)
    house.post("a", left=0.0)
    old = house.platform.meet()
    old.wait(b"\r\n\r\n")
    spin(house.loop, lambda: house.runtime.notices.owed)
    new = Listener(house.loop)
    renew(house, discovery=new.address, descriptors=40, disk=6_000_000)
    heard = {peer.wait(b"\r\n\r\n")[:8]: peer for peer in (new.meet(), new.meet())}
    old.wait_end()
    watch, notices = heard[b"GET /api"], heard[b"POST /v1"]
    notices.say(answer(204))
    spin(house.loop, lambda: not house.runtime.journal.texts)
    other = {"id": "s-2", "addr": "127.0.0.1:9", "zone": "a", "kind": "one", "cell": 8, "state": "active"}
    watch.say(answer(200, json.dumps({"version": 2, "full": True, "servers": [other]}).encode()))
    assert b"index=2&wait=2000" in watch.wait(b"\r\n\r\n")
    assert (
        house.runtime.lines.most == Budget(40, 8).endpoints < Budget(256, 8).endpoints
        and house.runtime.journal.most == 3_000_000
    )
    assert house.loop.running and house.post("b") == b"202"


def test_a_configuration_that_cannot_be_read_changes_nothing(tmp_path):
    house = CourierFixture(tmp_path)
    old = house.watch
    before = house.runtime.notices.task
    for broken in (
        {},
        {"discovery": 7},
        {"discovery": "nowhere"},
        "[",
        {"settings": terms(), "discovery": "1.2.3.4:x"},
    ):
        (tmp_path / "c.json").write_text(
            broken if broken == "[" else json.dumps({"listen": "x", "state": "y"} | broken)
        )
        house.again = lambda: posted({"LB_CONFIG": str(tmp_path / "c.json")}, renewed=True)
        os.kill(os.getpid(), signal.SIGHUP)
        for _ in range(10):
            house.loop.once(house.loop.now())
    assert not old.hear() and not old.ended and house.loop.running and house.runtime.notices.task is before


def test_a_signal_before_the_start_is_not_lost(tmp_path):
    signal_reader = SignalReader()
    os.kill(os.getpid(), signal.SIGHUP)
    os.kill(os.getpid(), signal.SIGTERM)
    assert signal_reader.heard() == {signal.SIGHUP, signal.SIGTERM} and not signal_reader.heard()


def refused(house):
    try:
        client(house.loop, house.listen)
    except OSError:
        return True


def test_what_is_told_at_start(tmp_path):
    told = {
        "name": "n3",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 300, "disk_mb": 3},
        "settings": terms(),
        "more": 1,
    }
    (tmp_path / "c.json").write_text(json.dumps(told))
    post = posted({"LB_CONFIG": str(tmp_path / "c.json"), "LB_STATE": "/x"})
    assert (
        posted(
            {"LB_CONFIG": str(tmp_path / "c.json"), "LB_STATE": "/x", "LB_DISCOVERY": "127.0.0.1:3"}
        ).discovery
        == "127.0.0.1:3"
    )
    assert (
        posted(
            {"LB_CONFIG": str(tmp_path / "c.json"), "LB_STATE": "/x", "LB_DISCOVERY": "127.0.0.1:3"},
            renewed=True,
        ).discovery
        == "127.0.0.1:2"
    )
    assert (post.name, post.folder, post.seed, post.descriptors, post.disk) == (
        "n3",
        "/x",
        0x8C1F30D27A5BE964,
        300,
        3_000_000,
    )


def test_a_call_that_the_journal_held_up_is_decided_anew(tmp_path):
    """It once went out when the disk was back, after its text's time and beyond the memory of its
    reference.
    """
    house = CourierFixture(tmp_path)
    flush, house.runtime.journal.flush = house.runtime.journal.flush, lambda: os.write(-1, b"")
    house.runtime.take(Text("a", 7, 0, None, None, house.loop.now() + 5000.0, b""))
    house.runtime.take(Text("b", 7, 0, None, None, house.loop.now() + 90000.0, b""))
    for _ in range(5):
        house.loop.once(house.loop.now())
    house.loop.now.now += 6000.0
    house.runtime.journal.flush = flush
    assert b"X-Request-ID: b" in house.endpoint.meet().wait(b"\r\n\r\n")
    assert house.notice() == [{"ref": "a", "result": "bounced"}] and house.runtime.out == 1
