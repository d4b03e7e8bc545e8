"""Conversion to and from the platform's JSON.

What the platform's JSON says beyond the keys of a configuration is kept under `platform`, so that nothing
is lost.
"""

import copy
import os
import zlib

from calicopin.configuration import partners as partner_list
from calicopin.configuration import units
from calicopin.configuration.model import Configuration, CourierPart, KindPart, ProductPart, ReturnPart
from calicopin.configuration.read import LoadedConfiguration, merge
from calicopin.deployment_settings import closes_idle

IDEMPOTENCY_BY_REPEAT = {
    "resendable": "read_like",
    "referenced": "idempotency_key",
    "once-only": "non_idempotent",
}
REPEAT_BY_IDEMPOTENCY = {value: key for key, value in IDEMPOTENCY_BY_REPEAT.items()}


def parse_seconds(text):
    """A duration in seconds; ValueError where the text is not one."""
    return units.milliseconds(text) / 1000.0


def platform_settings(configuration):
    """The `settings` object of the platform's JSON."""
    courier, returning = configuration.courier, configuration.returning
    products = []
    for product in configuration.product:
        product_settings = dict(
            name=product.name,
            idempotency=IDEMPOTENCY_BY_REPEAT[product.repeat],
            aim=parse_seconds(product.sla),
            giveUp=parse_seconds(product.validity),
            points=product.revenue,
            lateWorth=product.late_revenue,
            keyTtl=parse_seconds(product.memory),
            group="zone" if product.memory_by_zone else "all",
            inOrder=product.in_order,
        )
        products.append(product_settings)
    result = dict(
        slotNo=courier.number,
        groupSize=courier.senders,
        tick=parse_seconds(courier.tick),
        kinds=[kind.name for kind in configuration.kind],
        zones=list(configuration.zones),
        grades=products,
        familyInfo=dict(
            workers=courier.slots,
            bundleMax=[kind.bundle for kind in configuration.kind],
            ownLimits=[kind.apart for kind in configuration.kind],
            fades=configuration.late,
        ),
        ceilings=dict(
            mostHeld=courier.held,
            tryLimit=courier.tries,
            connectTimeout=parse_seconds(courier.connect),
            idleClose=parse_seconds(courier.idle),
            retryAfter=parse_seconds(courier.advice) > 0.0,
            maxRetryAfter=parse_seconds(courier.advice),
        ),
        rules=dict(
            coldFrom=returning.cold_from,
            cold=parse_seconds(returning.cold),
            tipMultiple=returning.multiple,
            fall=parse_seconds(returning.span),
            orderSettle=parse_seconds(courier.settle),
            askWithin=10.0,
        ),
        loadInfo=dict(
            columns=["x0", "x1"] if configuration.reports else [],
            source="piggyback" if configuration.reports else "silent",
        ),
        weights="nominal" if configuration.limits_listed else "silent",
        discovery="push",
    )
    if not courier.give_back:  # the platform's default is true
        result["ceilings"]["giveBack"] = False
    return merge(result, copy.deepcopy(configuration.platform.get("settings", {})))


def to_platform(loaded):
    """The platform's JSON as an object, from a configuration that was read and has no errors."""
    configuration, folder = (
        loaded.configuration,
        os.path.dirname(os.path.abspath(loaded.paths[-1])) if loaded.paths else os.getcwd(),
    )
    courier = configuration.courier
    partners = configuration.partner
    if configuration.partners_file:
        partners, _ = partner_list.load(os.path.join(folder, configuration.partners_file))
    result = dict(
        name=courier.name,
        listen=courier.listen,
        discovery=courier.agent,
        state=os.path.join(folder, courier.state),
        seed=f"{courier.seed or zlib.crc32(courier.name.encode()):x}",
        limits=dict(sockets=courier.descriptors, disk_mb=units.size(courier.disk) / 1e6),
        known=partner_list.discovery_list(partners)
        if partners
        else {"version": 0, "full": True, "servers": []},
        settings=platform_settings(configuration),
    )
    if configuration.partners_file:
        result["watched"] = os.path.join(folder, configuration.partners_file)
    if courier.admin:
        result["admin_addr"] = courier.admin
    if courier.nodes:
        result |= dict(
            nodes=list(courier.nodes), fleet=courier.fleet, list_age=parse_seconds(courier.list_age)
        )
    result |= dict(
        status=courier.status,
        notices=courier.notices,
        log=courier.log,
        store=courier.store,
        durability=courier.durability,
    )
    return merge(
        result,
        copy.deepcopy({key: value for key, value in configuration.platform.items() if key != "settings"}),
    )


def difference(full, converted):
    """The keys of `full` that `converted` lacks or has with another value."""
    rest = {}
    for key, value in full.items():
        if isinstance(value, dict) and isinstance(converted.get(key), dict):
            inner = difference(value, converted[key])
            if inner:
                rest[key] = inner
        elif key not in converted or converted[key] != value:
            rest[key] = value
    return rest


def format_seconds(value):
    """Seconds as a duration with its unit; None counts as 0."""
    return units.format_duration(float(value or 0.0) * 1000.0)


def from_platform(platform):
    """A configuration that converts back to the same JSON; ValueError where the JSON lacks what a courier
    needs.
    """
    try:
        settings, limits = platform["settings"], platform.get("limits", {})
        family_info, ceilings, rules = settings["familyInfo"], settings["ceilings"], settings["rules"]
        kinds = settings.get("kinds") or ["any"]
        if platform.get("watched"):
            raise KeyError("a partner list: it was made from a file with partners_file")
        bundles, apart = family_info.get("bundleMax") or [], family_info.get("ownLimits") or []
        configuration = Configuration(
            version=1,
            late=family_info.get("fades", "linear"),
            zones=list(settings.get("zones") or []),
            reports=bool(settings.get("loadInfo", {}).get("columns")),
            limits_listed=settings.get("weights") in ("nominal", "rough", "live"),
            courier=CourierPart(
                name=platform.get("name") or "courier",
                listen=platform["listen"],
                state=platform.get("state") or "state",
                agent=platform.get("discovery") or "",
                admin=platform.get("admin_addr") or "",
                nodes=list(platform.get("nodes") or []),
                fleet=platform.get("fleet") or "",
                list_age=format_seconds(platform["list_age"]) if platform.get("list_age") else "24h",
                status=bool(platform.get("status")),
                log=platform.get("log") or "lines",
                store=platform.get("store") or "file",
                durability=platform.get("durability") or "process",
                notices=platform.get("notices") or "",
                number=settings["slotNo"],
                senders=settings["groupSize"],
                seed=int(str(platform.get("seed") or "0"), 16),
                slots=family_info["workers"],
                held=ceilings["mostHeld"],
                tries=ceilings["tryLimit"],
                descriptors=int(limits.get("sockets") or 1024),
                disk=units.format_size(float(limits.get("disk_mb") or 3) * 1e6),
                connect=format_seconds(ceilings.get("connectTimeout", 1.0)),
                idle=format_seconds(ceilings.get("idleClose", 10.0)),
                give_back=closes_idle(ceilings),
                advice=format_seconds(ceilings.get("maxRetryAfter") if ceilings.get("retryAfter") else 0.0),
                settle=format_seconds(rules.get("orderSettle")),
                tick=format_seconds(settings["tick"]),
            ),
            returning=ReturnPart(
                cold_from=rules["coldFrom"],
                cold=format_seconds(rules["cold"]),
                multiple=rules["tipMultiple"],
                span=format_seconds(rules["fall"]),
            ),
            product=[
                ProductPart(
                    name=grade["name"],
                    repeat=REPEAT_BY_IDEMPOTENCY[grade["idempotency"]],
                    sla=format_seconds(grade["aim"]),
                    validity=format_seconds(grade["giveUp"]),
                    memory=format_seconds(
                        grade.get("keyTtl") if grade["idempotency"] == "idempotency_key" else 0.0
                    ),
                    memory_by_zone=grade.get("group", "all") != "all"
                    and grade["idempotency"] == "idempotency_key",
                    revenue=float(grade.get("points", 1.0)),
                    late_revenue=float(grade.get("lateWorth", 0.0)),
                    in_order=bool(grade.get("inOrder")),
                )
                for grade in settings["grades"]
            ],
            kind=[
                KindPart(
                    name=name,
                    bundle=int(bundles[index]) if index < len(bundles) else 1,
                    apart=bool(apart[index]) if index < len(apart) else False,
                )
                for index, name in enumerate(kinds)
            ],
        )
    except (KeyError, TypeError, AttributeError, IndexError) as error:
        raise ValueError(f"the platform's JSON is incomplete or invalid: {error}") from None
    converted = to_platform(LoadedConfiguration(configuration, {}, []))
    configuration.platform = difference(platform, converted)
    return configuration


def as_toml(configuration):
    """The text of an operator's file.

    Imports its libraries here: a courier reads such a file and never writes one.
    """
    import msgspec
    import tomli_w

    return tomli_w.dumps({"version": 1} | msgspec.to_builtins(configuration))
