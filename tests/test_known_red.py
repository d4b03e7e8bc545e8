"""The list of tests that are known to fail, run on a small test suite."""

import os
import pathlib
import subprocess
import sys

import pytest
from known_red import known_red, unknown_tests

LINE = "tests/test_a.py::test_fails | pytest tests/test_a.py, seed 3 | it is broken | issue 7\n"


def run(folder, listed):
    """Runs the suite; returns the exit code and the output."""
    (folder / "tests").mkdir(exist_ok=True)
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (folder / "tests" / "conftest.py").write_text(
        (pathlib.Path(__file__).parent / "known_red.py").read_text()
    )
    (folder / "tests" / "test_a.py").write_text(
        "def test_fails():\n    assert False\n\n\ndef test_passes():\n    pass\n"
    )
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"],
        cwd=folder,
        capture_output=True,
        text=True,
        env={name: value for name, value in os.environ.items() if not name.startswith("PYTEST")},
    )
    return done.returncode, done.stdout + done.stderr


@pytest.mark.parametrize(
    "listed,code,output",
    [
        (None, 1, "1 failed, 1 passed"),
        ("", 1, "1 failed, 1 passed"),
        (LINE, 0, f"known red: {LINE.strip()}"),
        (LINE.replace("fails", "passes"), 1, "XPASS(strict)"),
        (LINE.replace("fails", "nowhere"), 4, "names no test: tests/test_a.py::test_nowhere"),
        (LINE.replace("test_a", "test_b"), 4, "names no test"),
        (LINE + "more\n", 4, "KNOWN-RED.txt:2"),
    ],
)
def test_only_listed_tests_may_fail_and_they_must(tmp_path, listed, code, output):
    status, printed = run(tmp_path, listed)
    assert (status, output in printed) == (code, True), printed


def test_any_number_of_lines_is_read_and_a_duplicate_or_incomplete_one_is_refused():
    rows = [LINE.replace("fails", f"fails_{number}") for number in range(4)]
    assert [entry.test for entry in known_red("\n".join(rows))] == [
        f"tests/test_a.py::test_fails_{number}" for number in range(4)
    ]
    for listed in (
        LINE + LINE,
        "tests/test_a.py::test_fails | it is broken | issue 7",
        "tests/test_a.py::test_fails | pytest tests/test_a.py | it is broken |",
        "test_fails | pytest tests/test_a.py | why | issue 7",
    ):
        with pytest.raises(ValueError):
            known_red(listed)
    assert unknown_tests(known_red(LINE), {"tests/test_c.py::test"}, full_run=False) == []
