"""The command line, as a process."""

import json
import os
import subprocess
import sys

from click.testing import CliRunner
from configuration_helper import calicopin, findings, put
from helper import free_address

from calicopin.command.__main__ import main


def test_without_words_and_variables_it_says_how_it_is_used():
    told = calicopin()
    assert "Usage: calicopin" in told.stdout + told.stderr and "Traceback" not in told.stderr


def test_a_folder_held_by_another_courier_is_refused(tmp_path):
    listen = free_address()
    (tmp_path / "c.toml").write_text(put("127.0.0.1:5000", listen))
    first = subprocess.Popen(
        [sys.executable, "-m", "calicopin", "run", str(tmp_path / "c.toml")],
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        assert any("ready on" in line for line in iter(first.stderr.readline, ""))
        second = calicopin("run", str(tmp_path / "c.toml"))
        assert (
            second.returncode == 2
            and "held by another courier" in second.stderr
            and "Traceback" not in second.stderr
        )
        assert "tells no status" in calicopin("status", str(tmp_path / "c.toml")).stderr
    finally:
        first.terminate()
        assert first.wait(10) == 0


def test_a_courier_on_a_unix_socket_tells_its_status(tmp_path):
    (tmp_path / "c.toml").write_text(
        put("127.0.0.1:5000", f"unix:{tmp_path}/s").replace("held = 50", "held = 50\nstatus = true")
    )
    for _ in range(2):  # the second finds what a killed one left
        one = subprocess.Popen(
            [sys.executable, "-m", "calicopin", "run", str(tmp_path / "c.toml")],
            stderr=subprocess.PIPE,
            text=True,
        )
        try:
            assert any("ready on" in line for line in iter(one.stderr.readline, ""))
            told = calicopin("status", str(tmp_path / "c.toml"), "--json")
            assert [one["destination"] for one in json.loads(told.stdout)["destinations"]] == [1, 2]
            assert "destination  mode" in calicopin("status", str(tmp_path / "c.toml")).stdout
        finally:
            one.kill()
            one.wait(10)


def test_the_examples_are_sound_and_as_they_are_written(tmp_path):
    folder = os.path.join(os.path.dirname(__file__), "..", "deploy", "examples")
    made = CliRunner().invoke(main, ["write", os.path.join(folder, "order-desk.application.toml")]).output
    with open(os.path.join(folder, "order-desk.toml"), encoding="utf-8") as file:
        assert file.read() == made
    (tmp_path / "c.toml").write_text(made)
    assert not findings(tmp_path / "c.toml")


def test_the_demo_loses_no_text():
    told = calicopin("demo", "--seconds", "3", "--rate", "20")
    assert told.returncode == 0 and " 0 without an end" in told.stdout.replace("\n", " ")
