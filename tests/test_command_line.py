"""The command line, run as a process."""

import json
import os
import subprocess
import sys

from click.testing import CliRunner
from configuration_helper import base_with, findings, run_calicopin
from helper import free_address

from calicopin.command.__main__ import main


def test_without_arguments_and_variables_it_prints_its_usage():
    completed = run_calicopin()
    assert "Usage: calicopin" in completed.stdout + completed.stderr and "Traceback" not in completed.stderr


def test_a_folder_held_by_another_courier_is_refused(tmp_path):
    listen = free_address()
    (tmp_path / "c.toml").write_text(base_with("127.0.0.1:5000", listen))
    first = subprocess.Popen(
        [sys.executable, "-m", "calicopin", "run", str(tmp_path / "c.toml")],
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        assert any("ready on" in line for line in iter(first.stderr.readline, ""))
        second = run_calicopin("run", str(tmp_path / "c.toml"))
        assert (
            second.returncode == 2
            and "held by another courier" in second.stderr
            and "Traceback" not in second.stderr
        )
        assert "tells no status" in run_calicopin("status", str(tmp_path / "c.toml")).stderr
    finally:
        first.terminate()
        assert first.wait(10) == 0


def test_a_courier_on_a_unix_socket_reports_its_status(tmp_path):
    (tmp_path / "c.toml").write_text(
        base_with("127.0.0.1:5000", f"unix:{tmp_path}/s").replace("held = 50", "held = 50\nstatus = true")
    )
    for _ in range(2):  # the second start finds the socket of the killed first one
        courier = subprocess.Popen(
            [sys.executable, "-m", "calicopin", "run", str(tmp_path / "c.toml")],
            stderr=subprocess.PIPE,
            text=True,
        )
        try:
            assert any("ready on" in line for line in iter(courier.stderr.readline, ""))
            completed = run_calicopin("status", str(tmp_path / "c.toml"), "--json")
            assert [
                destination["destination"] for destination in json.loads(completed.stdout)["destinations"]
            ] == [1, 2]
            assert "destination  mode" in run_calicopin("status", str(tmp_path / "c.toml")).stdout
        finally:
            courier.kill()
            courier.wait(10)


def test_the_examples_are_valid_and_match_the_output_of_write(tmp_path):
    folder = os.path.join(os.path.dirname(__file__), "..", "deploy", "examples")
    written = CliRunner().invoke(main, ["write", os.path.join(folder, "order-desk.application.toml")]).output
    with open(os.path.join(folder, "order-desk.toml"), encoding="utf-8") as file:
        assert file.read() == written
    (tmp_path / "c.toml").write_text(written)
    assert not findings(tmp_path / "c.toml")


def test_the_demo_loses_no_message():
    completed = run_calicopin("demo", "--seconds", "3", "--rate", "20")
    assert completed.returncode == 0 and " 0 without an end" in completed.stdout.replace("\n", " ")
