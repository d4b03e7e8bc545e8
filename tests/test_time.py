"""Clocks: which modules read one, and that a step of the wall clock does not move any deadline."""

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
    """The clocks that a module reads, under the names used in docs/time.md."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Attribute):
            base = ast.unparse(node.value)
            if base in ("time", "datetime", "datetime.datetime") and node.attr in READERS:
                found.add(f"{base}.{node.attr}")
            elif node.attr == "wall_clock_ms" and base.endswith(("system", "System")):
                found.add("wall")
        elif isinstance(node, ast.ImportFrom) and node.module == "time":
            found |= {f"time.{name.name}" for name in node.names}
        elif (
            isinstance(node, ast.FunctionDef)
            and node.name == "wall_clock_ms"
            and path.name == "faulty_system.py"
        ):
            found.add("wall")
    return found


def test_docs_time_lists_exactly_the_modules_that_read_a_clock():
    page, documented = (ROOT / "docs" / "time.md").read_text(encoding="utf-8"), {}
    for line in page.splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        for name in re.findall(r"`([a-z_/]+\.py)`", cells[0]) if line.startswith("|") else ():
            if not name.startswith("test_"):
                documented[name] = set(re.findall(r"`([a-z._]+)`", cells[1]))
    package = ROOT / "calicopin"
    read = {str(path.relative_to(package)): clocks_read(path) for path in package.rglob("*.py")}
    assert {name: clocks for name, clocks in read.items() if clocks} == documented


class SteppedWallClock(System):
    """A system without reboots, whose wall clock the test steps."""

    step = 0.0

    def boot_id(self):
        return "b"

    def wall_clock_ms(self):
        return System.wall_clock_ms() + self.step


STATES = ("waiting", "called", "wait advised", "may have run", "ended")


def courier_in_state(state, folder, system):
    """A courier that holds the message "a" in the given state."""
    courier = CourierFixture(folder, system=system)
    if state == "waiting":
        courier.runtime.calls_enabled = False
    assert courier.post("a", left=60.0) == b"202"
    if state == "waiting":
        return courier
    peer = courier.endpoint.meet()
    peer.wait(b"\xfe\xfe\xfe")
    if state == "wait advised":
        peer.say(answer(503, X_Retry_In_Ms="9000"))
        spin(courier.loop, lambda: courier.runtime.journal.texts["a"].out_at is None)
    elif state == "may have run":
        peer.say(answer(500))
        spin(courier.loop, lambda: courier.runtime.journal.texts["a"].ran_at is not None)
    elif state == "ended":
        peer.say(answer(200))
        spin(courier.loop, lambda: not courier.runtime.journal.texts)
    return courier


def times(courier):
    """All times that the courier holds of the message "a", in ms of the monotonic clock."""
    held_text, journal = courier.runtime.journal.texts.get("a"), courier.runtime.journal
    pauses = {key: state["pause"] for key, state in journal.routes.states.items()}
    return held_text and (held_text.until, held_text.ran_at), journal.ended_ids.idents.get("a"), pauses


def check_after_start(state, folder, courier, system):
    before = times(courier)
    courier.kill()
    restarted = CourierFixture(
        folder, clock=Clock(courier.loop.now()), endpoint=courier.endpoint, system=system
    )
    after = times(restarted)
    if before[0] is not None:
        assert after[0][0] == pytest.approx(before[0][0], abs=100.0)
    assert after[1] == (before[1] if before[1] is None else pytest.approx(before[1], abs=100.0))
    assert restarted.runtime.journal.knows("a"), "a second copy is refused"
    assert {key: after[2][key] for key in before[2]} == {
        key: pytest.approx(pause, abs=100.0) for key, pause in before[2].items()
    }
    assert before[2] or state != "wait advised"


@pytest.mark.parametrize("state", STATES)
@pytest.mark.parametrize("step", STEPS)
def test_a_step_between_a_kill_and_the_start_moves_no_deadline(tmp_path, state, step):
    system = SteppedWallClock()
    courier = courier_in_state(state, tmp_path, system)
    system.step = step
    check_after_start(state, tmp_path, courier, system)


@pytest.mark.parametrize("state", STATES)
@pytest.mark.parametrize("step", STEPS)
def test_a_step_while_the_process_runs_moves_no_deadline(tmp_path, state, step):
    system = SteppedWallClock()
    courier = courier_in_state(state, tmp_path, system)
    system.step = step
    courier.loop.once(courier.loop.now())
    if state != "ended":
        assert courier.runtime.journal.texts["a"].verdict is None and not courier.runtime.pending_notices
    assert courier.post("b", left=60.0) == b"202", "journalled after the step"
    until = courier.runtime.journal.texts["b"].until
    check_after_start(state, tmp_path, courier, system)
    reloaded = Journal(
        str(tmp_path), 3_000_000, system.wall_clock_ms() - courier.loop.now(), system, 60_000.0, "b"
    )
    assert reloaded.texts["b"].until == pytest.approx(until, abs=100.0)


@pytest.mark.parametrize("step", [3.6e6, -3.6e6, 40 * 86_400_000.0])
def test_a_step_without_a_reboot_does_not_change_the_age_of_the_list(tmp_path, step):
    system = SteppedWallClock()
    written(tmp_path, places(3), system)
    system.step = step
    assert known_list(tmp_path, system).read() == places(3)


def test_a_reboot_never_extends_the_time_left_of_a_message(tmp_path):
    now, offset = System.now(), System.wall_clock_ms() - System.now()
    journal = Journal(str(tmp_path), 3_000_000, offset, System(), 60_000.0, "b")
    journal.accepted(replace(text("a"), until=now + 5000.0))
    journal.flush()
    reloaded = Journal(str(tmp_path), 3_000_000, offset - 3.6e6, System(), 60_000.0, "another")
    assert 0.0 < reloaded.texts["a"].until - System.now() <= 5000.0, "the wall clock was set back by an hour"
