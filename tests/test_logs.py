"""Logs: stable names, fields, and a log that cannot be written."""

import json
import os
import re
import subprocess
import sys

from configuration_helper import calicopin, put
from helper import free_address

from calicopin.boot import events


def test_a_log_of_json_has_one_object_a_line_with_stable_names(tmp_path):
    listen = free_address()
    (tmp_path / "c.toml").write_text(
        put("127.0.0.1:5000", listen).replace("held = 50", 'held = 50\nlog = "json"')
    )
    one = subprocess.Popen(
        [sys.executable, "-m", "calicopin", "run", str(tmp_path / "c.toml")],
        stderr=subprocess.PIPE,
        text=True,
    )
    first = json.loads(one.stderr.readline())
    assert (first["event"], first["courier"], first["listen"], first["endpoints"]) == (
        "ready",
        "desk",
        listen,
        3,
    )
    one.terminate()
    lines = [json.loads(line) for line in one.stderr.read().splitlines()]
    assert one.wait(10) == 0 and [line["event"] for line in lines] == ["stopping", "stopped"]
    assert all({"time", "level", "courier", "event", "message"} <= line.keys() for line in lines)


def test_the_decisions_lines_tell_their_destination_as_a_field():
    told = events.fields(
        {"event": "decided", "line": "destination 5 route 3 out: 5 failures in 460 ms, last unreached"}
    )
    assert (told["event"], told["destination"], told["route"]) == ("destination.out", 5, 3)
    assert events.fields({"event": "decided", "line": "something else"})["event"] == "decided"


def test_every_event_of_the_program_is_on_its_page():
    root = os.path.join(os.path.dirname(__file__), "..")
    with open(os.path.join(root, "docs", "events.md"), encoding="utf-8") as file:
        page = file.read()
    names = set()
    for folder in ("admin", "boot", "handover", "wire", "held"):
        for name in os.listdir(os.path.join(root, "calicopin", folder)):
            if name.endswith(".py"):
                with open(os.path.join(root, "calicopin", folder, name), encoding="utf-8") as file:
                    names |= set(re.findall(r'event="([^"]+)"', file.read()))
    assert len(names) > 15 and not [name for name in names if f"`{name}`" not in page]


def test_a_log_that_cannot_be_written_does_not_stop_the_courier(tmp_path):
    listen = free_address()
    (tmp_path / "c.toml").write_text(
        put("127.0.0.1:5000", listen).replace("held = 50", 'held = 50\nlog = "json"\nstatus = true')
    )
    with open("/dev/full", "w", encoding="utf-8") as full:
        one = subprocess.Popen(
            [sys.executable, "-m", "calicopin", "run", str(tmp_path / "c.toml")], stderr=full
        )
        try:
            for _ in range(100):
                if calicopin("status", str(tmp_path / "c.toml")).returncode == 0:
                    break
            else:
                raise AssertionError("it never became ready")
        finally:
            one.terminate()
            assert one.wait(10) == 0
