"""An operator's file for few couriers and its counterpart for many."""

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


def migrated(folder, *words, text=None):
    old = folder / "old.toml"
    old.write_text(text or OLD)
    before = old.read_bytes()
    done = CliRunner().invoke(main, ["migrate", str(old), *words])
    assert old.read_bytes() == before, "the old file is never changed"
    return done


def test_an_old_file_is_migrated_and_what_is_left_behind_is_told(tmp_path):
    new = tmp_path / "new.toml"
    done = migrated(tmp_path, "-o", str(new), "--senders", "200", "--no-reports", "--once-only", "order")
    assert done.exit_code == 0, done.output
    sheet = read(str(new)).sheet
    assert (sheet.courier.senders, sheet.courier.give_back, sheet.reports) == (200, True, False)
    assert (
        sheet.product[0].repeat == "once-only"
        and sheet.product[0].memory == "0s"
        and sheet.product[1].repeat == "resendable"
    )
    assert sheet.platform == {"settings": {"prices": {"turnedAwayPrice": 0.03}}}, (
        "what the move does not touch is passed on"
    )
    assert "changed: courier.senders: 1 -> 200" in done.output
    assert (
        "not carried over: platform.settings.groupSize" in done.output
        and "not carried over: product[order].memory: 15s" in done.output
    )
    assert not check.examine(read(str(new)))[0]
    told = convert.to_platform(read(str(new)))["settings"]
    assert (
        told["groupSize"] == 200
        and "giveBack" not in told["ceilings"]
        and told["grades"][0]["idempotency"] == "non_idempotent"
    )


def test_a_dry_run_of_a_migration_changes_nothing(tmp_path):
    done = migrated(tmp_path, "--senders", "40", "--dry-run")
    assert done.exit_code == 0 and "senders = 40" in done.output and "give_back = true" in done.output
    assert sorted(os.listdir(tmp_path)) == ["old.toml"]


@pytest.mark.parametrize(
    "words, code, part",
    [
        (
            ("--senders", "40", "--once-only", "stok", "-o", "{new}"),
            2,
            "--once-only stok: is not a product of the file; known products: order, stock",
        ),
        (("--senders", "40", "-o", "{old}"), 2, "is there already; nothing written"),
        (("--senders", "0", "-o", "{new}"), 2, "0 is not in the range"),
        (("--senders", "40"), 2, "give the new file with -o"),
    ],
)
def test_a_migration_that_cannot_be_done_writes_nothing_and_says_why(tmp_path, words, code, part):
    new = tmp_path / "new.toml"
    done = migrated(tmp_path, *(word.format(new=new, old=tmp_path / "old.toml") for word in words))
    assert done.exit_code == code and part in done.output and not new.exists(), done.output


def test_a_couriers_number_outside_the_new_senders_and_small_limits_are_told(tmp_path):
    done = migrated(
        tmp_path,
        "--senders",
        "3",
        "--dry-run",
        text=OLD.replace("slots = 10", "slots = 10\nsenders = 9\nnumber = 5"),
    )
    assert (
        done.exit_code == 2
        and "old.toml" in done.output
        and "courier.number: 5 is not among 3 senders" in done.output
    )
    done = migrated(
        tmp_path, "--senders", "200", "--dry-run", text=re.sub("limit = [0-9.]+", "limit = 2.0", OLD, count=1)
    )
    assert (
        done.exit_code == 0
        and "not carried over: partner[first].limit: 2 calls a second of 200 senders" in done.output
    ), done.output
