"""Migrates a file for few couriers, with partners that report their limits, to one for many couriers.

The format stays version 1: only values and keys change. What cannot be carried over is reported, never
dropped silently.
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
}  # keys of the platform's own settings that would override the new values


def remove_key(tables, path):
    """Removes the key at `path` and the tables that this leaves empty; returns whether it was there."""
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
    """(the new configuration, what was not carried over as (place, reason) pairs).

    `loaded` is a file as it was read; `reports` says whether partners' answers still report their limits
    (None: as before); `once_only` names products that may no longer run twice. UnusableError where a name is
    not in the file or the courier's own number is not below the number of senders.
    """
    configuration, not_carried_over, findings = copy.deepcopy(loaded.configuration), [], []
    names = [product.name for product in configuration.product]
    for name in once_only:
        if name not in names:
            findings.append(
                Finding(
                    f"--once-only {name}",
                    "is not a product of the file",
                    f"known products: {', '.join(names)}",
                )
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
                f"{', '.join(configuration.include)} are merged into the one new file; comments are not kept",
            )
        )
        configuration.include = []
    for name in sorted(environ):
        if name.startswith(ENVIRONMENT_PREFIX):
            not_carried_over.append(
                (
                    name,
                    "a variable of this process is not written to the file: "
                    "set it again where the new file is used",
                )
            )
    for path, key in OVERRIDING_KEYS.items():
        if remove_key(configuration.platform, path):
            not_carried_over.append(("platform." + ".".join(path), f"would override {key} and is left out"))
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
                f"{configuration.courier.idle}: no idle connection is kept, so there is none to close",
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
                    f"{partner.limit:g} calls a second of {senders} senders are less than one call of "
                    "this courier in the longest validity period: it adapts its rate to refusals instead",
                )
            )
            partner.limit = 0.0
    if configuration.partners_file:
        not_carried_over.append(
            (
                "partners_file",
                f"{configuration.partners_file} is not rewritten: its limits stay, "
                "and `calicopin check` reports those that are too small",
            )
        )
    return configuration, not_carried_over


def render(configuration):
    """The text of the new file; defaults are left out."""
    return (
        "# Written by `calicopin migrate`; docs/migration.md has the steps of the move.\n"
        + convert.as_toml(configuration)
    )


def check_migrated(configuration, loaded):
    """The errors that `calicopin check` would report for the new file, by key."""
    return check.examine(LoadedConfiguration(configuration, {}, loaded.paths))[0]
