"""Whole couriers on loopback, with kills, restarts and signals."""

import json
import os
import signal
from dataclasses import replace

import pytest
from courier_helper import CourierFixture, make_place
from helper import Clock, Listener, answer, client, spin, terms

from calicopin import decisions
from calicopin.lifecycle.runtime import FIRST_LIST_TIMEOUT_MS
from calicopin.lifecycle.shutdown_steps import LAST_ACCEPT_MS, LAST_CALL_MS, STOP_LIMIT_MS, UNREADY_MS
from calicopin.lifecycle.signals import SignalReader
from calicopin.lifecycle.start import initial_list, load_configuration
from calicopin.lifecycle.stop import POLL_INTERVAL_MS
from calicopin.state.connections import Budget
from calicopin.state.texts import Text


def test_a_message_is_delivered_from_its_client_to_its_endpoint(tmp_path):
    courier = CourierFixture(tmp_path)
    assert courier.post("a") == b"202"
    peer = courier.endpoint.meet()
    peer.wait(b"\xfe\xfe\xfe")
    peer.say(answer(200))
    spin(courier.loop, lambda: not courier.runtime.journal.texts and not courier.runtime.calls_in_progress)
    assert courier.runtime.pool.count == 1 and not courier.runtime.facade.texts


def test_a_message_is_journalled_before_its_202_and_its_submit_before_the_first_byte(tmp_path):
    courier = CourierFixture(tmp_path)
    courier.post("a")
    data = (tmp_path / "journal").read_bytes()
    assert b'"a"' in data and b"\xfe\xfe\xfe" in data and data.index(b"S[") > data.index(b"\xfe\xfe\xfe")


def test_after_a_kill_each_message_gets_its_one_final_answer(tmp_path):
    courier = CourierFixture(tmp_path)
    for ident, product in (("done", "notice"), ("again", "notice"), ("once", "once")):
        assert courier.post(ident, product) == b"202"
    peers = [courier.endpoint.meet() for _ in range(3)]
    for peer in peers:
        request = peer.wait(b"\xfe\xfe\xfe")
        if b"done" in request:
            peer.say(answer(200))
    spin(courier.loop, lambda: len(courier.runtime.journal.texts) == 2)
    courier.kill()
    restarted = CourierFixture(tmp_path, clock=Clock(50_000.0), endpoint=courier.endpoint)
    assert {ident: kept.tries for ident, kept in restarted.runtime.journal.texts.items()} == {
        "again": 2,
        "once": 1,
    }
    peer = restarted.endpoint.meet()
    assert b"again" in peer.wait(b"\xfe\xfe\xfe")
    assert restarted.notice() == [{"ref": "once", "result": "dead"}]
    peer.say(answer(200))
    spin(restarted.loop, lambda: not restarted.runtime.journal.texts)


def test_a_notice_that_was_not_acknowledged_is_sent_after_a_restart(tmp_path):
    courier = CourierFixture(tmp_path)
    courier.post("a", left=0.0)
    spin(courier.loop, lambda: courier.runtime.notices.owed)
    courier.kill()
    assert CourierFixture(tmp_path, list_answered=False).notice() == [{"ref": "a", "result": "bounced"}]


def test_a_message_with_a_known_id_is_refused_and_leaves_the_first_one_unchanged(tmp_path):
    """When a second client with the same id disconnected, the first one's message was withdrawn, and a
    message that had just ended was sent again under its id.
    """
    courier = CourierFixture(tmp_path)
    assert courier.post("a") == b"202"
    peer = courier.endpoint.meet()
    peer.wait(b"\xfe\xfe\xfe")
    assert courier.post("a", size=9) == b"409" and len(courier.runtime.journal.texts["a"].body) == 3
    peer.say(answer(200))
    spin(courier.loop, lambda: not courier.runtime.journal.texts)
    assert courier.post("a") == b"409" and courier.runtime.counters.taken == 1
    courier.loop.now.now += 20_001.0
    courier.runtime.journal.ended_ids.add("b", courier.loop.now())
    assert "a" not in courier.runtime.journal.ended_ids


def test_a_message_for_a_destination_that_was_never_listed_is_refused(tmp_path):
    """Such messages were held until they expired, and their destinations stayed in every table."""
    courier = CourierFixture(tmp_path, list_answered=False)
    assert courier.post("a", dest=9) == b"503"
    courier.answer_list_request(courier.known)
    assert (
        courier.post("b", dest=9) == b"404"
        and courier.post("c") == b"202"
        and courier.runtime.facade.dests.index == {7: 0}
    )


def assert_only_the_new_endpoint_is_called(courier, other):
    """The agent reports that the configured endpoint is leaving and that `other` is new."""
    courier.answer_list_request(
        {
            "version": 4,
            "full": True,
            "servers": [
                courier.known["servers"][0] | {"state": "leaving"},
                courier.known["servers"][0] | {"id": "s-2", "addr": other.address},
            ],
        }
    )
    assert b"\xfe\xfe\xfe" in other.meet().wait(b"\xfe\xfe\xfe")
    with pytest.raises(BlockingIOError):
        courier.endpoint.sock.accept()


def test_a_start_makes_no_call_by_an_old_list_where_an_agent_has_a_newer_one(tmp_path):
    """In a rolling restart of 186 couriers, a new process requested the list up to ten seconds late and
    called endpoints that had been announced as leaving before it started.
    """
    courier = CourierFixture(tmp_path, list_answered=False)
    other = Listener(courier.loop)
    assert courier.post("a") == b"202", "accepted at once anyway"
    assert_only_the_new_endpoint_is_called(courier, other)


@pytest.mark.parametrize("delay", [400.0, 800.0])
def test_a_start_makes_no_call_by_an_old_list_where_its_agent_answers_late(tmp_path, delay):
    """On a busy machine the first answer took over 250 ms, and an endpoint that had left was called."""
    courier = CourierFixture(tmp_path, list_answered=False)
    other = Listener(courier.loop)
    assert courier.post("a") == b"202", "accepted at once anyway"
    courier.pass_time(delay)
    with pytest.raises(BlockingIOError):
        courier.endpoint.sock.accept()
    courier.platform.meet()  # the first request times out after 250 ms, the second later
    assert_only_the_new_endpoint_is_called(courier, other)


def test_a_message_ends_in_time_while_a_start_awaits_its_first_list(tmp_path):
    courier = CourierFixture(tmp_path, list_answered=False)
    assert courier.post("a", left=0.3) == b"202"
    courier.pass_time(350.0)
    assert courier.notice() == [{"ref": "a", "result": "bounced"}]
    with pytest.raises(BlockingIOError):
        courier.endpoint.sock.accept()


@pytest.mark.parametrize("fault", ["silent", "refuses", "garbles"])
def test_a_start_whose_agent_sends_no_list_uses_the_configured_one(tmp_path, fault):
    courier = CourierFixture(tmp_path, list_answered=False)
    assert courier.post("a") == b"202"
    watch = courier.platform.meet()
    watch.wait(b"\r\n\r\n")
    with pytest.raises(BlockingIOError):
        courier.endpoint.sock.accept()
    if fault == "silent":
        courier.pass_time(FIRST_LIST_TIMEOUT_MS - 1.0)
        with pytest.raises(BlockingIOError):
            courier.endpoint.sock.accept()
        courier.loop.now.now += 1.0
    else:
        watch.say(answer(503) if fault == "refuses" else answer(200, b"{"))
    courier.endpoint.meet().wait(b"\xfe\xfe\xfe")
    courier.loop.now.now += 100.0
    again = courier.platform.meet()
    assert b"GET /api/targets HTTP" in again.wait(b"\r\n\r\n"), "the whole list is soon requested again"


def test_a_list_of_1024_endpoints_is_applied_changed_and_used_by_one_of_1024_couriers(tmp_path, monkeypatch):
    """Each entry made its destination check all its endpoints again, which took five seconds of CPU time for
    such a list.
    """
    checked = []
    monkeypatch.setattr(
        decisions.Route,
        "next_call_at",
        lambda route, next_call_at=decisions.Route.next_call_at: checked.append(route) or next_call_at(route),
    )
    courier = CourierFixture(tmp_path, list_answered=False, groupSize=1024)
    assert courier.post("a") == b"202"
    entry, other = courier.known["servers"][0], Listener(courier.loop)
    many = [entry | {"id": f"s-{number}"} for number in range(1024)]
    courier.answer_list_request({"version": 4, "full": True, "servers": many})
    courier.endpoint.meet().wait(b"\xfe\xfe\xfe")
    assert (
        len(courier.runtime.facade.places) == len(courier.runtime.facade.decisions.dests[0].endpoints) == 1024
    )
    assert len(checked) < 20, "their common route is checked a few times, not for each of them"
    change = {
        "version": 5,
        "full": False,
        "servers": [one | {"state": "leaving"} for one in many]
        + [entry | {"id": "s-new", "addr": other.address}],
    }
    courier.list_client.say(answer(200, json.dumps(change, indent=1).encode()))
    courier.list_client.wait(b"index=5")
    assert courier.post("b") == b"202"
    assert b"\xfe\xfe\xfe" in other.meet().wait(b"\xfe\xfe\xfe")
    assert len(courier.runtime.facade.places) == 1025 and len(checked) < 40


def test_an_empty_list_is_ignored_and_an_unreadable_configured_list_stops_no_start(tmp_path):
    courier = CourierFixture(tmp_path)
    courier.list_client.say(answer(200, b'{"version": 9, "full": true, "servers": []}'))
    courier.list_client.wait(b"index=9")
    assert courier.post("a") == b"202" and courier.endpoint.meet().wait(b"\xfe\xfe\xfe")
    for known in (
        {},
        {"version": 1, "full": True, "servers": [courier.known["servers"][0]] * 2},
        {"version": 1, "full": True, "servers": [{}]},
    ):
        assert initial_list(known) == (None, [])


def test_an_endpoint_that_left_is_removed_with_its_connections(tmp_path):
    """Endpoints that had left kept their entries in the tables and their connections."""
    courier = CourierFixture(tmp_path)
    courier.post("a")
    peer = courier.endpoint.meet()
    peer.wait(b"\xfe\xfe\xfe")
    peer.say(answer(200))
    spin(courier.loop, lambda: courier.runtime.pool.count)
    facade = courier.runtime.facade
    for number in range(200):
        courier.runtime.update_list(
            [make_place(f"t-{number}", courier.endpoint.address), make_place("s-1", ready=False, left=True)],
            False,
        )
        courier.runtime.update_list([make_place(f"t-{number}", ready=False, left=True)], False)
        courier.loop.now.now += 1000.0
        courier.loop.once(courier.loop.now())
    assert not courier.runtime.pool.count and not peer.wait_end() and not facade.places
    assert (
        max(
            len(table)
            for table in (facade.endpoints.index, facade.endpoints.ident, facade.decisions.endpoints)
        )
        <= 62
    )


def test_a_status_line_with_200_delivers_at_once_and_a_later_wait_still_applies(tmp_path):
    courier = CourierFixture(tmp_path)
    courier.post("a")
    peer = courier.endpoint.meet()
    peer.wait(b"\xfe\xfe\xfe")
    peer.say(b"HTTP/1.1 200 OK\r\n")
    spin(courier.loop, lambda: not courier.runtime.journal.texts)
    assert courier.runtime.calls_in_progress == 1
    peer.say(b"X-Retry-In-Ms: 700\r\nContent-Length: 0\r\n\r\n")
    spin(courier.loop, lambda: not courier.runtime.calls_in_progress)
    courier.post("b")
    for at in (0.0, 699.0):
        assert not courier.runtime.calls_in_progress
        courier.loop.now.now += at
        courier.loop.once(courier.loop.now())
    courier.loop.now.now += 6.0
    spin(courier.loop, lambda: courier.runtime.calls_in_progress)


def test_a_message_whose_body_exceeds_the_disk_limit_is_refused(tmp_path):
    courier = CourierFixture(tmp_path, disk=150_000)
    assert [courier.post("a", size=30000), courier.post("b", size=30000)] == [b"202", b"503"]


def test_an_exception_in_a_call_is_an_outcome(tmp_path, monkeypatch):
    courier = CourierFixture(tmp_path)
    monkeypatch.setattr("calicopin.wire.endpoints.encode", None)
    courier.post("a", product="once")
    assert courier.notice() == [{"ref": "a", "result": "dead"}]


def test_an_exception_in_the_decisions_does_not_stop_the_courier(tmp_path, monkeypatch):
    courier = CourierFixture(tmp_path)
    tick, courier.runtime.facade.tick = courier.runtime.facade.tick, None
    courier.loop.once(courier.loop.now())
    assert courier.post("a") == b"503" and courier.post("b") == b"503" and not courier.runtime.counters.taken
    courier.runtime.facade.tick = tick
    courier.loop.once(courier.loop.now())
    assert courier.post("a") == b"202" and not courier.runtime.failed_turns


def test_no_answer_or_call_is_sent_while_the_disk_fails(tmp_path, monkeypatch):
    """Nothing may be sent that the journal does not hold."""
    courier = CourierFixture(tmp_path)
    flush, courier.runtime.journal.flush = courier.runtime.journal.flush, lambda: os.write(-1, b"")
    peer = client(courier.loop, courier.listen)
    peer.say(
        b"POST /notice HTTP/1.1\r\nHost: x\r\nX-Request-ID: a\r\nX-Timeout: 9\r\nX-Envelope: "
        b"dest=7\r\nContent-Length: 0\r\n\r\n"
    )
    spin(courier.loop, lambda: courier.runtime.counters.taken)
    courier.runtime.accept(Text("late", 7, 0, None, None, 0.0, b""))
    for _ in range(20):
        courier.loop.once(courier.loop.now())
    assert not peer.hear() and not courier.runtime.calls_in_progress and not courier.runtime.notices.owed
    courier.runtime.journal.flush = flush
    courier.loop.now.now += 100.0
    assert peer.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 202") and courier.runtime.calls_in_progress == 1


def test_repeated_sigterm_before_the_first_list_stops_once_and_a_torn_record_is_tolerated(tmp_path):
    courier = CourierFixture(tmp_path, list_answered=False)
    assert courier.post("a") == b"202"
    for _ in range(2):
        os.kill(os.getpid(), signal.SIGTERM)
        spin(
            courier.loop,
            lambda: any(at == courier.loop.now() + POLL_INTERVAL_MS for at, *_ in courier.loop.timers),
        )
    assert courier.loop.running and courier.post("b") == b"202", "new requests are still served"
    with pytest.raises(BlockingIOError):
        courier.endpoint.sock.accept()
    courier.loop.now.now += STOP_LIMIT_MS + 1.0
    spin(courier.loop, lambda: not courier.loop.running)
    assert {ident: text.tries for ident, text in courier.runtime.journal.texts.items()} == {"a": 0, "b": 0}
    courier.kill()
    with open(tmp_path / "journal", "ab") as file:
        file.write(b"\x40\x00\x00\x00torn")
    restarted = CourierFixture(tmp_path, clock=Clock(50_000.0), endpoint=courier.endpoint)
    peers = [restarted.endpoint.meet() for _ in range(2)]
    heard = {peer.wait(b"\xfe\xfe\xfe").split(b"X-Request-ID: ")[-1][:1] for peer in peers}
    assert heard == {b"a", b"b"} and {text.tries for text in restarted.runtime.journal.texts.values()} == {1}


def test_sigterm_finishes_what_it_can_and_leaves_the_rest_in_the_journal(tmp_path):
    courier = CourierFixture(tmp_path)
    courier.post("a")
    peer = courier.endpoint.meet()
    peer.wait(b"\xfe\xfe\xfe")
    os.kill(os.getpid(), signal.SIGTERM)
    spin(
        courier.loop,
        lambda: any(at == courier.loop.now() + POLL_INTERVAL_MS for at, *_ in courier.loop.timers),
    )
    assert courier.post("b") == b"202", "new requests are still served"
    ready_client = client(courier.loop, courier.listen)
    ready_client.say(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    assert ready_client.wait(b"\r\n\r\n").startswith(b"HTTP/1.1 503")
    courier.loop.now.now += UNREADY_MS + 1.0
    assert courier.post("c") == b"202"
    peer.say(answer(200))
    spin(courier.loop, lambda: set(courier.runtime.journal.texts) == {"b", "c"})
    courier.loop.now.now += LAST_CALL_MS - UNREADY_MS
    spin(courier.loop, lambda: not courier.runtime.calls_enabled)
    out = courier.runtime.calls_in_progress
    assert courier.post("d") == b"202" and courier.runtime.calls_in_progress == out, (
        "accepted, to be sent after the restart"
    )
    courier.loop.now.now += LAST_ACCEPT_MS - LAST_CALL_MS
    assert not ready_client.wait_end() and refuses_connections(courier)
    courier.loop.now.now += STOP_LIMIT_MS
    spin(courier.loop, lambda: not courier.loop.running)
    assert set(courier.runtime.journal.texts) == {"b", "c", "d"}


def send_reload(courier, **other):
    """Replaces the configuration and sends SIGHUP."""
    courier.configurations.append(replace(courier.configurations[0], **other))
    os.kill(os.getpid(), signal.SIGHUP)


def test_sighup_polls_the_new_address_and_sends_unacknowledged_notices_there(tmp_path):
    """SIGHUP ended the process."""
    courier = CourierFixture(tmp_path)
    courier.post("a", left=0.0)
    old = courier.platform.meet()
    old.wait(b"\r\n\r\n")
    spin(courier.loop, lambda: courier.runtime.notices.owed)
    new = Listener(courier.loop)
    send_reload(courier, discovery=new.address, descriptors=40, disk=6_000_000)
    heard = {peer.wait(b"\r\n\r\n")[:8]: peer for peer in (new.meet(), new.meet())}
    old.wait_end()
    watch, notices = heard[b"GET /api"], heard[b"POST /v1"]
    notices.say(answer(204))
    spin(courier.loop, lambda: not courier.runtime.journal.texts)
    other = {"id": "s-2", "addr": "127.0.0.1:9", "zone": "a", "kind": "one", "cell": 8, "state": "active"}
    watch.say(answer(200, json.dumps({"version": 2, "full": True, "servers": [other]}).encode()))
    assert b"index=2&wait=2000" in watch.wait(b"\r\n\r\n")
    assert (
        courier.runtime.pool.most == Budget(40, 8).endpoints < Budget(256, 8).endpoints
        and courier.runtime.journal.max_bytes == 3_000_000
    )
    assert courier.loop.running and courier.post("b") == b"202"


def test_a_configuration_that_cannot_be_read_changes_nothing(tmp_path):
    courier = CourierFixture(tmp_path)
    old = courier.list_client
    before = courier.runtime.notices.task
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
        courier.again = lambda: load_configuration({"LB_CONFIG": str(tmp_path / "c.json")}, reloaded=True)
        os.kill(os.getpid(), signal.SIGHUP)
        for _ in range(10):
            courier.loop.once(courier.loop.now())
    assert (
        not old.hear() and not old.ended and courier.loop.running and courier.runtime.notices.task is before
    )


def test_a_signal_before_the_start_is_not_lost(tmp_path):
    signal_reader = SignalReader()
    os.kill(os.getpid(), signal.SIGHUP)
    os.kill(os.getpid(), signal.SIGTERM)
    assert (
        signal_reader.take_signals() == {signal.SIGHUP, signal.SIGTERM} and not signal_reader.take_signals()
    )


def refuses_connections(courier):
    try:
        client(courier.loop, courier.listen)
    except OSError:
        return True


def test_the_configuration_is_read_from_the_file_and_the_variables(tmp_path):
    configuration = {
        "name": "n3",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 300, "disk_mb": 3},
        "settings": terms(),
        "more": 1,
    }
    (tmp_path / "c.json").write_text(json.dumps(configuration))
    loaded = load_configuration({"LB_CONFIG": str(tmp_path / "c.json"), "LB_STATE": "/x"})
    assert (
        load_configuration(
            {"LB_CONFIG": str(tmp_path / "c.json"), "LB_STATE": "/x", "LB_DISCOVERY": "127.0.0.1:3"}
        ).discovery
        == "127.0.0.1:3"
    )
    assert (
        load_configuration(
            {"LB_CONFIG": str(tmp_path / "c.json"), "LB_STATE": "/x", "LB_DISCOVERY": "127.0.0.1:3"},
            reloaded=True,
        ).discovery
        == "127.0.0.1:2"
    )
    assert (loaded.name, loaded.folder, loaded.seed, loaded.descriptors, loaded.disk) == (
        "n3",
        "/x",
        0x8C1F30D27A5BE964,
        300,
        3_000_000,
    )


def test_a_call_that_the_journal_delayed_is_decided_again(tmp_path):
    """It was sent once the disk worked again, after the validity period of its message and the repeat window
    of its reference.
    """
    courier = CourierFixture(tmp_path)
    flush, courier.runtime.journal.flush = courier.runtime.journal.flush, lambda: os.write(-1, b"")
    courier.runtime.accept(Text("a", 7, 0, None, None, courier.loop.now() + 5000.0, b""))
    courier.runtime.accept(Text("b", 7, 0, None, None, courier.loop.now() + 90000.0, b""))
    for _ in range(5):
        courier.loop.once(courier.loop.now())
    courier.loop.now.now += 6000.0
    courier.runtime.journal.flush = flush
    assert b"X-Request-ID: b" in courier.endpoint.meet().wait(b"\r\n\r\n")
    assert courier.notice() == [{"ref": "a", "result": "bounced"}] and courier.runtime.calls_in_progress == 1
