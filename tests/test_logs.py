"""Logs: stable event names, fields, and a log that cannot be written."""

import json
import os
import re
import subprocess
import sys

import pytest
from configuration_helper import base_with, run_calicopin
from courier_helper import CourierFixture
from helper import answer, free_address, spin
from loguru import logger

from calicopin.lifecycle import json_log
from calicopin.lifecycle.start import log_level


def test_a_json_log_has_one_object_per_line_with_stable_names(tmp_path):
    listen = free_address()
    (tmp_path / "c.toml").write_text(
        base_with("127.0.0.1:5000", listen).replace("held = 50", 'held = 50\nlog = "json"')
    )
    courier_process = subprocess.Popen(
        [sys.executable, "-m", "calicopin", "run", str(tmp_path / "c.toml")],
        stderr=subprocess.PIPE,
        text=True,
    )
    first = json.loads(courier_process.stderr.readline())
    assert (first["event"], first["courier"], first["listen"], first["endpoints"]) == (
        "ready",
        "desk",
        listen,
        3,
    )
    courier_process.terminate()
    lines = [json.loads(line) for line in courier_process.stderr.read().splitlines()]
    assert courier_process.wait(10) == 0 and [line["event"] for line in lines] == ["stopping", "stopped"]
    assert all({"time", "level", "courier", "event", "message"} <= line.keys() for line in lines)


def test_lines_of_the_decisions_have_their_destination_as_a_field():
    fields = json_log.event_fields(
        {"event": "decided", "line": "destination 5 route 3 out: 5 failures in 460 ms, last unreached"}
    )
    assert (fields["event"], fields["destination"], fields["route"]) == ("destination.out", 5, 3)
    assert json_log.event_fields({"event": "decided", "line": "something else"})["event"] == "decided"


def test_every_event_name_is_documented():
    root = os.path.join(os.path.dirname(__file__), "..")
    with open(os.path.join(root, "docs", "events.md"), encoding="utf-8") as file:
        page = file.read()
    names = set()
    for folder in ("admin", "lifecycle", "handover", "wire", "state"):
        for name in os.listdir(os.path.join(root, "calicopin", folder)):
            if name.endswith(".py"):
                with open(os.path.join(root, "calicopin", folder, name), encoding="utf-8") as file:
                    names |= set(re.findall(r'event="([^"]+)"', file.read()))
    assert len(names) > 15 and not [name for name in names if f"`{name}`" not in page]


def test_a_log_that_cannot_be_written_does_not_stop_the_courier(tmp_path):
    listen = free_address()
    (tmp_path / "c.toml").write_text(
        base_with("127.0.0.1:5000", listen).replace("held = 50", 'held = 50\nlog = "json"\nstatus = true')
    )
    with open("/dev/full", "w", encoding="utf-8") as full:
        courier_process = subprocess.Popen(
            [sys.executable, "-m", "calicopin", "run", str(tmp_path / "c.toml")], stderr=full
        )
        try:
            for _ in range(100):
                if run_calicopin("status", str(tmp_path / "c.toml")).returncode == 0:
                    break
            else:
                raise AssertionError("it never became ready")
        finally:
            courier_process.terminate()
            assert courier_process.wait(10) == 0


def test_a_failed_call_and_a_message_given_up_are_logged_with_their_ids_and_reasons(tmp_path):
    lines = []
    sink = logger.add(lambda message: lines.append(message.record["extra"]), level="DEBUG")
    try:
        courier = CourierFixture(tmp_path)
        assert courier.post("a-1", product="once") == b"202"
        peer = courier.endpoint.meet()
        peer.wait(b"\r\n\r\n")
        peer.say(answer(500))
        assert courier.notice() == [{"ref": "a-1", "result": "dead"}]
        assert courier.post("a-2", dest=99) == b"404"
    finally:
        logger.remove(sink)
    by_event = {line["event"]: line for line in lines if "event" in line}
    failed, ended, refused = (
        by_event["call.failed"],
        by_event["message.given-up"],
        by_event["message.refused"],
    )
    assert (failed["messages"], failed["outcome"], failed["destination"]) == ("a-1", "error", 7)
    assert (ended["message"], ended["why"], ended["attempts"]) == ("a-1", "no time left to repeat it", 1)
    assert (refused["message"], refused["status"], refused["why"]) == (
        "a-2",
        404,
        "its destination is not listed",
    )


@pytest.mark.parametrize(
    "status,event,level,why",
    [
        (200, "message.delivered", "DEBUG", "delivered to s-1"),
        (410, "message.over", "INFO", "ended by s-1"),
    ],
)
def test_a_message_that_ends_without_a_notice_is_logged(tmp_path, status, event, level, why):
    lines = []
    sink = logger.add(lambda message: lines.append(message.record), level="DEBUG")
    try:
        courier = CourierFixture(tmp_path)
        assert courier.post("a-1") == b"202"
        peer = courier.endpoint.meet()
        peer.wait(b"\r\n\r\n")
        peer.say(answer(status))
        spin(courier.loop, lambda: not courier.runtime.facade.texts)
    finally:
        logger.remove(sink)
    by_event = {line["extra"]["event"]: line for line in lines if "event" in line["extra"]}
    assert (by_event[event]["extra"]["message"], by_event[event]["extra"]["why"]) == ("a-1", why)
    assert by_event[event]["level"].name == level and by_event[event]["extra"]["left_ms"] > 0.0
    assert (
        by_event["message.taken"]["extra"]["message"] == by_event["call.sent"]["extra"]["messages"] == "a-1"
    )


def test_a_call_that_is_garbage_collected_with_its_loop_has_no_outcome(tmp_path):
    """Garbage collection may happen within any other code: nothing may be decided or logged in it."""
    lines, outcomes = [], []
    courier = CourierFixture(tmp_path)
    assert courier.post("a-1", product="once") == b"202"
    peer = courier.endpoint.meet()
    peer.wait(b"\r\n\r\n")
    courier.runtime.facade.report = lambda *outcome: outcomes.append(outcome)
    sink = logger.add(lambda message: lines.append(message.record["extra"]["event"]), level="DEBUG")
    try:
        next(iter(courier.runtime.outstanding_calls)).task.gen.close()  # as garbage collection does
        assert not outcomes and set(lines) <= {"connection.closed"}
    finally:
        logger.remove(sink)


def test_an_unknown_log_level_is_refused_with_its_name():
    with pytest.raises(ValueError, match="LB_LOG_LEVEL: 'LOUD' is not one of DEBUG, INFO"):
        log_level({"LB_LOG_LEVEL": "LOUD"})
    assert (log_level({}), log_level({"LB_LOG_LEVEL": "DEBUG"})) == ("INFO", "DEBUG")
