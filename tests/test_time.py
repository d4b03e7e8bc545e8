"""Clocks: who reads one, and that a step of the wall clock moves no time."""

import ast
import re
from dataclasses import replace
from pathlib import Path

import pytest
from courier_helper import CourierFixture
from helper import Clock, answer, spin
from test_state import text
from test_subscribed_courier import known_list, places, written

from calicopin.state.journal import Journal
from calicopin.system import System

ROOT = Path(__file__).parent.parent
READERS = {"time", "time_ns", "monotonic", "monotonic_ns", "perf_counter", "process_time", "clock_gettime"}
READERS |= {"now", "utcnow", "today", "localtime", "gmtime", "ctime"}
STEPS = [span * side for span in (500.0, 5000.0, 3_600_000.0) for side in (1.0, -1.0)]


def clocks_read(path):
    """The clocks that a module reads, as the page names them."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Attribute):
            base = ast.unparse(node.value)
            if base in ("time", "datetime", "datetime.datetime") and node.attr in READERS:
                found.add(f"{base}.{node.attr}")
            elif node.attr == "wall" and base.endswith(("system", "System")):
                found.add("wall")
        elif isinstance(node, ast.ImportFrom) and node.module == "time":
            found |= {f"time.{name.name}" for name in node.names}
        elif isinstance(node, ast.FunctionDef) and node.name == "wall" and path.name == "faulty_system.py":
            found.add("wall")
    return found


def test_the_page_names_each_reader_of_a_clock_and_no_other():
    page, told = (ROOT / "docs" / "time.md").read_text(encoding="utf-8"), {}
    for line in page.splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        for name in re.findall(r"`([a-z_/]+\.py)`", cells[0]) if line.startswith("|") else ():
            if not name.startswith("test_"):
                told[name] = set(re.findall(r"`([a-z._]+)`", cells[1]))
    package = ROOT / "calicopin"
    read = {str(path.relative_to(package)): clocks_read(path) for path in package.rglob("*.py")}
    assert {name: clocks for name, clocks in read.items() if clocks} == told


class OneRun(System):
    """One run of the machine, in which the test sets the wall clock."""

    step = 0.0

    def boot(self):
        return "b"

    def wall(self):
        return System.wall() + self.step


STATES = ("waiting", "called", "told to wait", "may have run", "ended")


def brought_into(state, folder, system):
    """A courier that holds the message a in that state."""
    house = CourierFixture(folder, system=system)
    if state == "waiting":
        house.runtime.calling = False
    assert house.post("a", left=60.0) == b"202"
    if state == "waiting":
        return house
    peer = house.endpoint.meet()
    peer.wait(b"\xfe\xfe\xfe")
    if state == "told to wait":
        peer.say(answer(503, X_Retry_In_Ms="9000"))
        spin(house.loop, lambda: house.runtime.journal.texts["a"].out_at is None)
    elif state == "may have run":
        peer.say(answer(500))
        spin(house.loop, lambda: house.runtime.journal.texts["a"].ran_at is not None)
    elif state == "ended":
        peer.say(answer(200))
        spin(house.loop, lambda: not house.runtime.journal.texts)
    return house


def times(house):
    """All times that the courier holds of the message, in ms of the clock that goes on."""
    held, journal = house.runtime.journal.texts.get("a"), house.runtime.journal
    pauses = {key: state["pause"] for key, state in journal.routes.states.items()}
    return held and (held.until, held.ran_at), journal.past.idents.get("a"), pauses


def check_after_start(state, folder, house, system):
    before = times(house)
    house.kill()
    back = CourierFixture(folder, clock=Clock(house.loop.now()), endpoint=house.endpoint, system=system)
    after = times(back)
    if before[0] is not None:
        assert after[0][0] == pytest.approx(before[0][0], abs=100.0)
    assert after[1] == (before[1] if before[1] is None else pytest.approx(before[1], abs=100.0))
    assert back.runtime.journal.knows("a"), "a second copy is refused"
    assert {key: after[2][key] for key in before[2]} == {
        key: pytest.approx(pause, abs=100.0) for key, pause in before[2].items()
    }
    assert before[2] or state != "told to wait"


@pytest.mark.parametrize("state", STATES)
@pytest.mark.parametrize("step", STEPS)
def test_a_step_between_a_kill_and_the_start_moves_no_time_of_a_message(tmp_path, state, step):
    system = OneRun()
    house = brought_into(state, tmp_path, system)
    system.step = step
    check_after_start(state, tmp_path, house, system)


@pytest.mark.parametrize("state", STATES)
@pytest.mark.parametrize("step", STEPS)
def test_a_step_while_the_process_runs_moves_no_time_of_a_message(tmp_path, state, step):
    system = OneRun()
    house = brought_into(state, tmp_path, system)
    system.step = step
    house.loop.once(house.loop.now())
    if state != "ended":
        assert house.runtime.journal.texts["a"].verdict is None and not house.runtime.given_up
    assert house.post("b", left=60.0) == b"202", "journalled behind the step"
    until = house.runtime.journal.texts["b"].until
    check_after_start(state, tmp_path, house, system)
    last = Journal(str(tmp_path), 3_000_000, system.wall() - house.loop.now(), system, 60_000.0, "b")
    assert last.texts["b"].until == pytest.approx(until, abs=100.0)


@pytest.mark.parametrize("step", [3.6e6, -3.6e6, 40 * 86_400_000.0])
def test_a_step_within_one_run_makes_no_list_older_or_younger(tmp_path, step):
    system = OneRun()
    written(tmp_path, places(3), system)
    system.step = step
    assert known_list(tmp_path, system).read() == places(3)


def test_after_a_reboot_no_message_has_more_time_than_it_had(tmp_path):
    now, offset = System.now(), System.wall() - System.now()
    book = Journal(str(tmp_path), 3_000_000, offset, System(), 60_000.0, "b")
    book.taken(replace(text("a"), until=now + 5000.0))
    book.flush()
    back = Journal(str(tmp_path), 3_000_000, offset - 3.6e6, System(), 60_000.0, "another")
    assert 0.0 < back.texts["a"].until - System.now() <= 5000.0, "the wall clock went back by an hour"
