"""From a file of the old shape (few couriers, partners that tell much) to its counterpart for many couriers.

The form stays version 1: only values and keys change. What cannot be carried over is told, never dropped in
silence.
"""

import copy
import os

from calicopin.configuration import check, convert, units
from calicopin.configuration.read import ENVIRONMENT_PREFIX, Finding, LoadedConfiguration, UnusableError

OVERRIDING_KEYS = {
    ("settings", "groupSize"): "courier.senders",
    ("settings", "loadInfo"): "reports",
    ("settings", "weights"): "limits_listed",
    ("settings", "ceilings", "giveBack"): "courier.give_back",
}  # of the platform's own keys, what would undo the new values


def remove_key(tables, path):
    """Removes the key at `way`, with tables that it leaves empty; whether it was there."""
    if path[0] not in tables:
        return False
    if len(path) == 1:
        del tables[path[0]]
        return True
    inner = tables[path[0]]
    removed = isinstance(inner, dict) and remove_key(inner, path[1:])
    if removed and not inner:
        del tables[path[0]]
    return removed


def migrate(loaded, senders, reports=None, once_only=(), environ=os.environ):
    """(the new sheet, what was not carried over as (place, why) pairs).

    `told` is a file as it was read; `reports` says whether partners' answers still tell their limits (None:
    as before); `once_only` names products that may not run twice any more. UnusableError where a name is not
    in
    the file or the number of senders does not hold the courier's own.
    """
    configuration, not_carried_over, findings = copy.deepcopy(loaded.sheet), [], []
    names = [product.name for product in configuration.product]
    for name in once_only:
        if name not in names:
            findings.append(
                Finding(f"--once-only {name}", "is no product of the file", f"known are {', '.join(names)}")
            )
    if configuration.courier.number >= senders:
        findings.append(
            Finding(
                loaded.place("courier.number"),
                f"{configuration.courier.number} is not among {senders} senders, which count from 0",
                "give this courier its new number first",
            )
        )
    if findings:
        raise UnusableError(findings)
    if configuration.include:
        not_carried_over.append(
            (
                "include",
                f"{', '.join(configuration.include)} are written into the one new file; "
                "comments are left behind",
            )
        )
        configuration.include = []
    for name in sorted(environ):
        if name.startswith(ENVIRONMENT_PREFIX):
            not_carried_over.append(
                (name, "a variable of this process is not written down: set it again where the new file runs")
            )
    for path, key in OVERRIDING_KEYS.items():
        if remove_key(configuration.platform, path):
            not_carried_over.append(("platform." + ".".join(path), f"would stand over {key} and is left out"))
    for product in configuration.product:
        if product.name in once_only and product.repeat != "once-only":
            if product.repeat == "referenced":
                not_carried_over.append(
                    (
                        f"product[{product.name}].memory",
                        f"{product.memory}: once-only texts are sent with no reference",
                    )
                )
            product.repeat, product.memory, product.memory_by_zone = "once-only", "0s", False
    configuration.courier.senders, configuration.courier.give_back = senders, True
    if units.milliseconds(configuration.courier.idle) <= 0.0:
        not_carried_over.append(
            (
                "courier.idle",
                f"{configuration.courier.idle}: no idle connection is kept, so none is given back",
            )
        )
        configuration.courier.give_back = False
    if reports is not None:
        configuration.reports = reports
    max_validity_ms = max(units.milliseconds(product.validity) for product in configuration.product)
    for partner in configuration.partner:
        if partner.limit > 0.0 and check.calls_per_sender(partner.limit, senders, max_validity_ms) < 1.0:
            not_carried_over.append(
                (
                    f"partner[{partner.name}].limit",
                    f"{partner.limit:g} calls a second of {senders} senders are under one call of this "
                    "courier "
                    "in the longest validity period: it learns the pace from refusals instead",
                )
            )
            partner.limit = 0.0
    if configuration.partners_file:
        not_carried_over.append(
            (
                "partners_file",
                f"{configuration.partners_file} is not rewritten: its limits are read anew, "
                "and `calicopin check` tells of those that are too small",
            )
        )
    return configuration, not_carried_over


def written(configuration):
    """The file's text; defaults stay out."""
    return (
        "# Written by `calicopin migrate`; docs/migration.md has the steps of the move.\n"
        + convert.as_toml(configuration)
    )


def faults(configuration, loaded):
    """What `calicopin check` would say of the new file, by its keys."""
    return check.examine(LoadedConfiguration(configuration, {}, loaded.paths))[0]
