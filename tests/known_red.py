"""KNOWN-RED.txt: tests that fail because of a real fault that is not fixed yet.

Each is a strict xfail: a listed test that passes fails the run until its line is removed. A missing or empty
file lists no tests.
"""

import pathlib

import pytest

MAX_LINES = 3


def known_red(content):
    """Returns (test, cause, issue) of each line; raises ValueError for an invalid, repeated or extra line."""
    rows = []
    for number, line in enumerate(content.splitlines(), 1):
        if not line.strip():
            continue
        row = [part.strip() for part in line.split("|")]
        if len(row) != 3 or not all(row) or not row[0].startswith("tests/") or "::" not in row[0]:
            raise ValueError(f"KNOWN-RED.txt:{number}: a line is `tests/FILE.py::TEST | cause | issue`")
        rows.append(tuple(row))
    if len(rows) > MAX_LINES:
        raise ValueError(f"KNOWN-RED.txt: {len(rows)} lines, {MAX_LINES} at most")
    if len({row[0] for row in rows}) < len(rows):
        raise ValueError("KNOWN-RED.txt: a test is listed twice")
    return rows


def unknown_tests(rows, collected, full_run):
    """Listed tests that do not exist; in a partial run only those of collected files are checked."""
    files = {name.partition("::")[0] for name in collected}
    return [
        test
        for test, _, _ in rows
        if test not in collected and (full_run or test.partition("::")[0] in files)
    ]


def read_list(config):
    path = pathlib.Path(config.rootpath) / "KNOWN-RED.txt"
    try:
        return known_red(path.read_text() if path.exists() else "")
    except ValueError as fault:
        raise pytest.UsageError(str(fault)) from None


def pytest_terminal_summary(terminalreporter, config):
    for row in read_list(config):
        terminalreporter.write_line(f"known red: {' | '.join(row)}")


def pytest_collection_modifyitems(config, items):
    rows, collected = read_list(config), {item.nodeid for item in items}
    full_run = config.args == config.getini("testpaths") and not config.option.keyword
    if missing := unknown_tests(rows, collected, full_run):
        raise pytest.UsageError(f"KNOWN-RED.txt names no test: {', '.join(missing)}")
    red = {test: cause for test, cause, _ in rows}
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(reason=red[item.nodeid], strict=True))
