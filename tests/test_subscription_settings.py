"""Tests of discovery nodes in the configuration file and in the platform's JSON, and of a handover between
two subscribing processes."""

import json
import signal
import subprocess
import sys

import pytest
from click.testing import CliRunner
from configuration_helper import BASE, findings
from helper import free_address, terms
from test_handover import platform
from test_subscribed_courier import entry_line

from calicopin.command.__main__ import main
from calicopin.configuration import compare, convert
from calicopin.configuration.read import read
from calicopin.lifecycle.signals import SignalReader
from calicopin.lifecycle.start import load_configuration
from calicopin.lifecycle.start import main as serve

__all__ = ["platform"]

COURIER_ONLY = BASE.split("[[partner]]")[0]
NODES_OPTIONS = 'held = 50\nnodes = ["127.0.0.1:7001", "127.0.0.1:7002"]\nfleet = "lahore"'


def sheet(options):
    return COURIER_ONLY.replace("held = 50", options)


def write_config(tmp_path, options):
    path = tmp_path / "c.toml"
    path.write_text(sheet(options))
    return path


def test_a_configuration_file_with_nodes_configures_a_subscribing_courier(tmp_path):
    path = write_config(tmp_path, NODES_OPTIONS)
    configuration = load_configuration({"LB_CONFIG": str(path)})
    assert configuration.nodes == ("127.0.0.1:7001", "127.0.0.1:7002") and configuration.fleet == "lahore"
    assert configuration.max_age == 24 * 3_600_000.0 and configuration.discovery == ""
    payload = convert.to_platform(read(str(path)))
    assert payload["nodes"] == list(configuration.nodes) and payload["list_age"] == 86400.0
    back = convert.from_platform(payload)
    assert back.courier.nodes == list(configuration.nodes) and back.courier.fleet == "lahore"


def test_without_nodes_the_platform_json_has_no_subscription_fields(tmp_path):
    (tmp_path / "c.toml").write_text(BASE)
    payload = convert.to_platform(read(str(tmp_path / "c.toml")))
    assert not {"nodes", "fleet", "list_age"} & set(payload)
    assert load_configuration({"LB_CONFIG": str(tmp_path / "c.toml")}).nodes == ()


def test_a_changed_list_of_nodes_applies_at_sighup_and_another_fleet_needs_a_restart(tmp_path):
    (tmp_path / "a").mkdir(), (tmp_path / "b").mkdir()
    old = read(str(write_config(tmp_path / "a", NODES_OPTIONS))).configuration
    new = read(
        str(write_config(tmp_path / "b", NODES_OPTIONS.replace("7002", "7003").replace("lahore", "quetta")))
    ).configuration
    when = {key: at for key, _, _, at in compare.changes(old, new)}
    assert when == {"courier.nodes": "SIGHUP", "courier.fleet": "restart"}


@pytest.mark.parametrize(
    "options,place,why",
    [
        (NODES_OPTIONS.replace("127.0.0.1:7002", "node-2:7002"), "courier.nodes: ", "is not an address"),
        (
            NODES_OPTIONS.replace("127.0.0.1:7002", "127.0.0.1"),
            "courier.nodes: '127.0.0.1'",
            "is not an address",
        ),
        (NODES_OPTIONS.replace("7002", "7001"), "courier.nodes: 127.0.0.1:7001", "twice"),
        (NODES_OPTIONS.replace("7002", "5000"), "courier.nodes: 127.0.0.1:5000", "itself listens"),
        (NODES_OPTIONS.split("\nfleet")[0], "c.toml:4: courier", "which fleet"),
        ('held = 50\nfleet = "lahore"', "courier.fleet", "no nodes"),
        (NODES_OPTIONS + '\nlist_age = "0s"', "courier.list_age", "must be longer than 0"),
        (NODES_OPTIONS + '\nlist_age = "soon"', "courier.list_age", "is not a duration"),
        (NODES_OPTIONS + "\nnode = 3", "courier", "node"),
        (
            NODES_OPTIONS.replace('["127.0.0.1:7001", "127.0.0.1:7002"]', '"127.0.0.1:7001"'),
            "courier.nodes",
            "array",
        ),
        ("held = 50", "courier", "no list of partners"),
    ],
)
def test_invalid_settings_are_reported_with_their_place(tmp_path, options, place, why):
    path = write_config(tmp_path, options)
    reported = [str(fault) for fault in findings(path)]
    assert any(place in line and why in line for line in reported) and all(
        "\n" not in line for line in reported
    ), reported
    assert CliRunner().invoke(main, ["check", str(path)]).exit_code == 1


def test_nodes_and_a_list_of_partners_exclude_each_other(tmp_path):
    (tmp_path / "c.toml").write_text(BASE.replace("held = 50", NODES_OPTIONS))
    assert any("given twice" in str(fault) for fault in findings(tmp_path / "c.toml"))


NODE = "127.0.0.1:7001"


@pytest.mark.parametrize(
    "payload,message",
    [
        (dict(nodes=[NODE]), "fleet: is not given"),
        (dict(fleet="lahore"), "nodes: is not given"),
        (dict(nodes=NODE, fleet="lahore"), "nodes: is not a list"),
        (dict(nodes=[NODE, 7], fleet="lahore"), "nodes[1]: 7 is not an address"),
        (dict(nodes=[NODE, "127.0.0.1:0"], fleet="lahore"), "nodes[1]: '127.0.0.1:0' is not an address"),
        (dict(nodes=[NODE, NODE], fleet="lahore"), "nodes[1]: 127.0.0.1:7001 is listed twice"),
        (dict(nodes=[NODE], fleet=["lahore"]), "fleet: is not a word"),
        (dict(nodes=[NODE], fleet="l" * 300), "fleet: is not a word"),
        (dict(nodes=[NODE], fleet="lahore", list_age=0), "list_age: 0 is not a number"),
        (dict(nodes=[NODE], fleet="lahore", list_age=True), "list_age: True is not a number"),
        (dict(nodes=[NODE], fleet="lahore", list_age="24h"), "list_age: '24h' is not a number"),
    ],
)
def test_invalid_platform_json_is_refused_with_its_place(tmp_path, monkeypatch, capsys, payload, message):
    path = tmp_path / "c.json"
    config = {"listen": "127.0.0.1:1", "state": str(tmp_path), "settings": terms()} | payload
    path.write_text(json.dumps(config))
    monkeypatch.setattr("os.environ", {"LB_CONFIG": str(path)})
    assert serve(SignalReader()) == 2
    line = capsys.readouterr().err.strip()
    assert line.startswith(f"{path}: {message}") and "\n" not in line


def test_a_courier_without_nodes_imports_no_subscription_module():
    code = (
        "import sys, calicopin.lifecycle.start\n"
        "names = [name for name in sys.modules if 'subscri' in name or name.endswith('known_list')]\n"
        "assert not names, names"
    )
    subprocess.run([sys.executable, "-c", code], check=True)


def test_a_new_process_continues_the_subscription_of_the_old_one(platform):  # noqa: F811
    """The new process opens its own lease for the destinations known to the old one, and sends before the
    node answers."""
    folder, listen = platform.folder, free_address()
    served = platform.known()["servers"][0]
    (folder / "list").write_bytes(b'{"form":1,"fleet":"lahore"}\n' + entry_line(served))
    options = ["--source", str(folder / "list"), "--fleet", "lahore", "--listen", listen, "--node", "n1"]
    node = subprocess.Popen(
        [sys.executable, "-m", "calicopin", "discovery-node", *options], stderr=subprocess.DEVNULL
    )
    (folder / "c.toml").write_text(f"""
version = 1
[courier]
listen = "{platform.address}"
state = "{folder}/state"
nodes = ["{listen}"]
fleet = "lahore"
[[product]]
name = "once"
repeat = "once-only"
sla = "4s"
validity = "15s"
[[kind]]
name = "one"
""")
    config = dict(LB_CONFIG=str(folder / "c.toml"))
    try:
        old = platform.up(platform.start(**config))
        assert platform.post("hold-1", "once") == 202
        platform.until(lambda: platform.heard == ["hold-1"])
    finally:
        node.kill()
        node.wait()
    new = platform.up(platform.start(**config))
    old.send_signal(signal.SIGTERM)
    assert old.wait(5.0) == 0
    assert platform.post("hold-1", "once") == 409 and platform.post("second", "once") == 202
    platform.release.set()
    platform.until(lambda: (platform.call(new, "stats") or {}).get("succeeded") == {"once": 2})
    assert sorted(platform.heard) == ["hold-1", "second"]
