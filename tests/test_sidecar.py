"""A courier as the sidecar of an application."""

import sys

from configuration_helper import BASE, base_with, run_calicopin
from helper import free_address

APPLICATION = """
import http.client, os, signal, sys, time
line = http.client.HTTPConnection(*os.environ["CALICOPIN_LISTEN"].split(":"), timeout=5)
def send_message(ident):
    for _ in range(100):
        try:
            headers = {"X-Request-ID": ident, "X-Timeout": "3", "X-Envelope": "dest=1"}
            line.request("POST", "/stock", b"", headers)
            return line.getresponse().read() is not None and line
        except OSError:
            line.close()
            time.sleep(0.05)
send_message("a")
line.request("GET", "/-/status")
import json
print(json.loads(line.getresponse().read())["taken"], flush=True)
"""


def run_beside(tmp_path, script):
    listen = free_address()
    (tmp_path / "c.toml").write_text(
        base_with("127.0.0.1:5000", listen).replace("held = 50", "held = 50\nstatus = true")
    )
    (tmp_path / "app.py").write_text(APPLICATION + script)
    return run_calicopin("run", str(tmp_path / "c.toml"), "--", sys.executable, str(tmp_path / "app.py"))


def test_a_courier_starts_before_its_application_and_stops_after_it(tmp_path):
    completed = run_beside(tmp_path, "sys.exit(7)")
    assert (
        completed.returncode == 7
        and completed.stdout == "1\n"
        and completed.stderr.rstrip().endswith("texts left in the journal")
    )


def test_a_courier_that_is_killed_is_restarted_while_its_application_runs(tmp_path):
    completed = run_beside(
        tmp_path,
        """
import pathlib
pids = {int(p.name) for p in pathlib.Path("/proc").iterdir() if p.name.isdigit()}
for pid in pids:
    try:
        words = pathlib.Path(f"/proc/{pid}/cmdline").read_bytes().split(b"\\0")
        parent = int(pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[1])
    except OSError:
        continue
    if parent == os.getppid() and words[-2:] == [b"calicopin", b""]:
        os.kill(pid, signal.SIGKILL)
line.close()
time.sleep(0.1)
send_message("b")
line.request("GET", "/-/status")
print(json.loads(line.getresponse().read())["taken"])
""",
    )
    assert (
        completed.returncode == 0
        and completed.stdout == "1\n1\n"
        and "the courier ended with -9" in completed.stderr
    )


def test_an_application_is_not_started_if_its_courier_does_not_start(tmp_path):
    (tmp_path / "c.toml").write_text(BASE.replace('sla = "4s"', 'sla = "40s"'))
    completed = run_calicopin("run", str(tmp_path / "c.toml"), "--", "/bin/echo", "started")
    assert (
        completed.returncode == 2
        and "started" not in completed.stdout
        and "longer than the validity" in completed.stderr
    )
