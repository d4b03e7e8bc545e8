"""Migration of an operator's file for few couriers to one for many."""

import os
import re

import pytest
from click.testing import CliRunner
from configuration_helper import BASE

from calicopin.command.__main__ import main
from calicopin.configuration import check, convert
from calicopin.configuration.read import read

OLD = (
    BASE
    + """
[platform.settings]
groupSize = 2

[platform.settings.prices]
turnedAwayPrice = 0.03
"""
)


def run_migrate(folder, *arguments, text=None):
    old = folder / "old.toml"
    old.write_text(text or OLD)
    before = old.read_bytes()
    result = CliRunner().invoke(main, ["migrate", str(old), *arguments])
    assert old.read_bytes() == before, "the old file is never changed"
    return result


def test_a_migration_writes_the_new_file_and_reports_what_is_not_carried_over(tmp_path):
    new = tmp_path / "new.toml"
    result = run_migrate(tmp_path, "-o", str(new), "--senders", "200", "--no-reports", "--once-only", "order")
    assert result.exit_code == 0, result.output
    configuration = read(str(new)).configuration
    assert (configuration.courier.senders, configuration.courier.give_back, configuration.reports) == (
        200,
        True,
        False,
    )
    assert (
        configuration.product[0].repeat == "once-only"
        and configuration.product[0].memory == "0s"
        and configuration.product[1].repeat == "resendable"
    )
    assert configuration.platform == {"settings": {"prices": {"turnedAwayPrice": 0.03}}}, (
        "platform settings that the migration does not change are kept"
    )
    assert "changed: courier.senders: 1 -> 200" in result.output
    assert (
        "not carried over: platform.settings.groupSize" in result.output
        and "not carried over: product[order].memory: 15s" in result.output
    )
    assert not check.examine(read(str(new)))[0]
    settings = convert.to_platform(read(str(new)))["settings"]
    assert (
        settings["groupSize"] == 200
        and "giveBack" not in settings["ceilings"]
        and settings["grades"][0]["idempotency"] == "non_idempotent"
    )


def test_a_dry_run_of_a_migration_changes_nothing(tmp_path):
    result = run_migrate(tmp_path, "--senders", "40", "--dry-run")
    assert result.exit_code == 0 and "senders = 40" in result.output and "give_back = true" in result.output
    assert sorted(os.listdir(tmp_path)) == ["old.toml"]


@pytest.mark.parametrize(
    "arguments, exit_code, message",
    [
        (
            ("--senders", "40", "--once-only", "stok", "-o", "{new}"),
            2,
            "--once-only stok: is not a product of the file; known products: order, stock",
        ),
        (("--senders", "40", "-o", "{old}"), 2, "already exists; nothing written"),
        (("--senders", "0", "-o", "{new}"), 2, "0 is not in the range"),
        (("--senders", "40"), 2, "give the new file with -o"),
    ],
)
def test_a_migration_that_cannot_be_done_writes_nothing_and_gives_the_reason(
    tmp_path, arguments, exit_code, message
):
    new = tmp_path / "new.toml"
    result = run_migrate(
        tmp_path, *(argument.format(new=new, old=tmp_path / "old.toml") for argument in arguments)
    )
    assert result.exit_code == exit_code and message in result.output and not new.exists(), result.output


def test_a_courier_number_beyond_the_senders_is_refused_and_a_small_limit_is_reported(tmp_path):
    result = run_migrate(
        tmp_path,
        "--senders",
        "3",
        "--dry-run",
        text=OLD.replace("slots = 10", "slots = 10\nsenders = 9\nnumber = 5"),
    )
    assert (
        result.exit_code == 2
        and "old.toml" in result.output
        and "courier.number: 5 is not among 3 senders" in result.output
    )
    result = run_migrate(
        tmp_path, "--senders", "200", "--dry-run", text=re.sub("limit = [0-9.]+", "limit = 2.0", OLD, count=1)
    )
    assert (
        result.exit_code == 0
        and "not carried over: partner[first].limit: 2 calls a second of 200 senders" in result.output
    ), result.output
