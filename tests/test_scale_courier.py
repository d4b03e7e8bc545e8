"""One real courier with the whole list and with a subscription. Asserts counts, no times."""

import json

from click.testing import CliRunner

from calicopin.scale.__main__ import main
from calicopin.scale.one_courier import IN_FORCE_TIMEOUT_S


def test_a_subscribing_courier_knows_the_used_endpoints_and_gets_each_change(tmp_path):
    path = tmp_path / "record.json"
    arguments = "courier --destinations 300 --all-destinations 600 --used 20 --seconds 1 --in-force 3"
    done = CliRunner().invoke(main, [*arguments.split(), "--json", str(path)])
    assert done.exit_code == 0, done.output
    record = json.loads(path.read_text())
    assert record["void"] == ""
    known = [(row["list_held"], row["destinations"], row["endpoints_known"]) for row in record["rows"]]
    assert known == [("whole list", 300, 300), ("subscribed", 300, 20), ("subscribed", 600, 20)]
    assert all(row["in_force_ms_worst"] < IN_FORCE_TIMEOUT_S * 1000.0 for row in record["rows"])


def test_inconsistent_sizes_are_refused_with_one_line():
    for arguments in ("courier --destinations 100 --used 101", "courier --used 5 --in-force 6"):
        done = CliRunner().invoke(main, arguments.split())
        assert done.exit_code == 2 and len(done.output.splitlines()) == 1, done.output
    done = CliRunner().invoke(main, ["courier", "--memory-mib", "10"])
    assert done.exit_code == 2 and "refused" in done.output
