"""From a file of the old shape (few couriers, partners that tell much) to its counterpart for many couriers.

The form stays version 1: only values and keys change. What cannot be carried over is told, never dropped in
silence.
"""

import copy
import os

from calicopin.configuration import check, convert, units
from calicopin.configuration.read import PREFIX, Fault, Read, UnusableError

STANDS_OVER = {
    ("settings", "groupSize"): "courier.senders",
    ("settings", "loadInfo"): "reports",
    ("settings", "weights"): "limits_listed",
    ("settings", "ceilings", "giveBack"): "courier.give_back",
}  # of the platform's own keys, what would undo the new values


def taken_out(tables, way):
    """Removes the key at `way`, with tables that it leaves empty; whether it was there."""
    if way[0] not in tables:
        return False
    if len(way) == 1:
        del tables[way[0]]
        return True
    inner = tables[way[0]]
    done = isinstance(inner, dict) and taken_out(inner, way[1:])
    if done and not inner:
        del tables[way[0]]
    return done


def migrate(told, senders, reports=None, once_only=(), environ=os.environ):
    """(the new sheet, what was not carried over as (place, why) pairs).

    `told` is a file as it was read; `reports` says whether partners' answers still tell their limits (None:
    as before); `once_only` names products that may not run twice any more. UnusableError where a name is not
    in
    the file or the number of senders does not hold the courier's own.
    """
    sheet, lost, faults = copy.deepcopy(told.sheet), [], []
    names = [product.name for product in sheet.product]
    for name in once_only:
        if name not in names:
            faults.append(
                Fault(f"--once-only {name}", "is no product of the file", f"known are {', '.join(names)}")
            )
    if sheet.courier.number >= senders:
        faults.append(
            Fault(
                told.place("courier.number"),
                f"{sheet.courier.number} is not among {senders} senders, which count from 0",
                "give this courier its new number first",
            )
        )
    if faults:
        raise UnusableError(faults)
    if sheet.include:
        lost.append(
            (
                "include",
                f"{', '.join(sheet.include)} are written into the one new file; comments are left behind",
            )
        )
        sheet.include = []
    for name in sorted(environ):
        if name.startswith(PREFIX):
            lost.append(
                (name, "a variable of this process is not written down: set it again where the new file runs")
            )
    for way, key in STANDS_OVER.items():
        if taken_out(sheet.platform, way):
            lost.append(("platform." + ".".join(way), f"would stand over {key} and is left out"))
    for product in sheet.product:
        if product.name in once_only and product.repeat != "once-only":
            if product.repeat == "referenced":
                lost.append(
                    (
                        f"product[{product.name}].memory",
                        f"{product.memory}: once-only texts are sent with no reference",
                    )
                )
            product.repeat, product.memory, product.memory_by_zone = "once-only", "0s", False
    sheet.courier.senders, sheet.courier.give_back = senders, True
    if units.milliseconds(sheet.courier.idle) <= 0.0:
        lost.append(
            ("courier.idle", f"{sheet.courier.idle}: no idle connection is kept, so none is given back")
        )
        sheet.courier.give_back = False
    if reports is not None:
        sheet.reports = reports
    longest = max(units.milliseconds(product.validity) for product in sheet.product)
    for partner in sheet.partner:
        if partner.limit > 0.0 and check.calls_each(partner.limit, senders, longest) < 1.0:
            lost.append(
                (
                    f"partner[{partner.name}].limit",
                    f"{partner.limit:g} calls a second of {senders} senders are under one call of this "
                    "courier "
                    "in the longest validity period: it learns the pace from refusals instead",
                )
            )
            partner.limit = 0.0
    if sheet.partners_file:
        lost.append(
            (
                "partners_file",
                f"{sheet.partners_file} is not rewritten: its limits are read anew, "
                "and `calicopin check` tells of those that are too small",
            )
        )
    return sheet, lost


def written(sheet):
    """The file's text; defaults stay out."""
    return (
        "# Written by `calicopin migrate`; docs/migration.md has the steps of the move.\n"
        + convert.as_toml(sheet)
    )


def faults(sheet, told):
    """What `calicopin check` would say of the new file, by its keys."""
    return check.examine(Read(sheet, {}, told.paths))[0]
