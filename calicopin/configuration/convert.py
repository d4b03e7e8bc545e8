"""To and from the platform's JSON.

What the platform says beyond our keys is kept as it is, so that nothing is lost.
"""

import copy
import os
import zlib

from calicopin.configuration import partners as lists
from calicopin.configuration import units
from calicopin.configuration.model import CourierPart, KindPart, ProductPart, ReturnPart, Sheet
from calicopin.configuration.read import Read, merge
from calicopin.deployment_settings import gives_back

REPEATS = {"resendable": "read_like", "referenced": "idempotency_key", "once-only": "non_idempotent"}
BACK = {value: key for key, value in REPEATS.items()}


def seconds(word):
    """A time with its unit as seconds; ValueError where it is none."""
    return units.milliseconds(word) / 1000.0


def settings(sheet):
    """The settings that the module reads."""
    courier, returning = sheet.courier, sheet.returning
    grades = []
    for product in sheet.product:
        grade = dict(
            name=product.name,
            idempotency=REPEATS[product.repeat],
            aim=seconds(product.sla),
            giveUp=seconds(product.validity),
            points=product.revenue,
            lateWorth=product.late_revenue,
            keyTtl=seconds(product.memory),
            group="zone" if product.memory_by_zone else "all",
            inOrder=product.in_order,
        )
        grades.append(grade)
    told = dict(
        slotNo=courier.number,
        groupSize=courier.senders,
        tick=seconds(courier.tick),
        kinds=[kind.name for kind in sheet.kind],
        zones=list(sheet.zones),
        grades=grades,
        familyInfo=dict(
            workers=courier.slots,
            bundleMax=[kind.bundle for kind in sheet.kind],
            ownLimits=[kind.apart for kind in sheet.kind],
            fades=sheet.late,
        ),
        ceilings=dict(
            mostHeld=courier.held,
            tryLimit=courier.tries,
            connectTimeout=seconds(courier.connect),
            idleClose=seconds(courier.idle),
            retryAfter=seconds(courier.advice) > 0.0,
            maxRetryAfter=seconds(courier.advice),
        ),
        rules=dict(
            coldFrom=returning.cold_from,
            cold=seconds(returning.cold),
            tipMultiple=returning.multiple,
            fall=seconds(returning.span),
            orderSettle=seconds(courier.settle),
            askWithin=10.0,
        ),
        loadInfo=dict(
            columns=["x0", "x1"] if sheet.reports else [], source="piggyback" if sheet.reports else "silent"
        ),
        weights="nominal" if sheet.limits_listed else "silent",
        discovery="push",
    )
    if not courier.give_back:  # on the platform they are given back unless it says otherwise
        told["ceilings"]["giveBack"] = False
    return merge(told, copy.deepcopy(sheet.platform.get("settings", {})))


def to_platform(read):
    """The platform's JSON as an object, from a configuration that was read and found sound."""
    sheet, folder = (
        read.sheet,
        os.path.dirname(os.path.abspath(read.paths[-1])) if read.paths else os.getcwd(),
    )
    courier = sheet.courier
    some = sheet.partner
    if sheet.partners_file:
        some, _ = lists.load(os.path.join(folder, sheet.partners_file))
    told = dict(
        name=courier.name,
        listen=courier.listen,
        discovery=courier.agent,
        state=os.path.join(folder, courier.state),
        seed=f"{courier.seed or zlib.crc32(courier.name.encode()):x}",
        limits=dict(sockets=courier.descriptors, disk_mb=units.size(courier.disk) / 1e6),
        known=lists.listed(some) if some else {"version": 0, "full": True, "servers": []},
        settings=settings(sheet),
    )
    if sheet.partners_file:
        told["watched"] = os.path.join(folder, sheet.partners_file)
    if courier.admin:
        told["admin_addr"] = courier.admin
    if courier.nodes:
        told |= dict(nodes=list(courier.nodes), fleet=courier.fleet, list_age=seconds(courier.list_age))
    told |= dict(
        status=courier.status,
        notices=courier.notices,
        log=courier.log,
        store=courier.store,
        durability=courier.durability,
    )
    return merge(
        told, copy.deepcopy({key: value for key, value in sheet.platform.items() if key != "settings"})
    )


def difference(whole, ours):
    """What `whole` says beyond `ours`, or differently."""
    out = {}
    for key, value in whole.items():
        if isinstance(value, dict) and isinstance(ours.get(key), dict):
            inner = difference(value, ours[key])
            if inner:
                out[key] = inner
        elif key not in ours or ours[key] != value:
            out[key] = value
    return out


def time_word(value):
    """Seconds as a time with its unit."""
    return units.spell(float(value or 0.0) * 1000.0)


def from_platform(told):
    """A sheet that converts back to the same JSON; ValueError where the JSON lacks what a courier needs."""
    try:
        env, limits = told["settings"], told.get("limits", {})
        family, ceilings, rules = env["familyInfo"], env["ceilings"], env["rules"]
        kinds = env.get("kinds") or ["any"]
        if told.get("watched"):
            raise KeyError("a list of its own: it was made from a file with partners_file")
        bundles, apart = family.get("bundleMax") or [], family.get("ownLimits") or []
        sheet = Sheet(
            version=1,
            late=family.get("fades", "linear"),
            zones=list(env.get("zones") or []),
            reports=bool(env.get("loadInfo", {}).get("columns")),
            limits_listed=env.get("weights") in ("nominal", "rough", "live"),
            courier=CourierPart(
                name=told.get("name") or "courier",
                listen=told["listen"],
                state=told.get("state") or "state",
                agent=told.get("discovery") or "",
                admin=told.get("admin_addr") or "",
                nodes=list(told.get("nodes") or []),
                fleet=told.get("fleet") or "",
                list_age=time_word(told["list_age"]) if told.get("list_age") else "24h",
                status=bool(told.get("status")),
                log=told.get("log") or "lines",
                store=told.get("store") or "file",
                durability=told.get("durability") or "process",
                notices=told.get("notices") or "",
                number=env["slotNo"],
                senders=env["groupSize"],
                seed=int(str(told.get("seed") or "0"), 16),
                slots=family["workers"],
                held=ceilings["mostHeld"],
                tries=ceilings["tryLimit"],
                descriptors=int(limits.get("sockets") or 1024),
                disk=units.spell_size(float(limits.get("disk_mb") or 3) * 1e6),
                connect=time_word(ceilings.get("connectTimeout", 1.0)),
                idle=time_word(ceilings.get("idleClose", 10.0)),
                give_back=gives_back(ceilings),
                advice=time_word(ceilings.get("maxRetryAfter") if ceilings.get("retryAfter") else 0.0),
                settle=time_word(rules.get("orderSettle")),
                tick=time_word(env["tick"]),
            ),
            returning=ReturnPart(
                cold_from=rules["coldFrom"],
                cold=time_word(rules["cold"]),
                multiple=rules["tipMultiple"],
                span=time_word(rules["fall"]),
            ),
            product=[
                ProductPart(
                    name=grade["name"],
                    repeat=BACK[grade["idempotency"]],
                    sla=time_word(grade["aim"]),
                    validity=time_word(grade["giveUp"]),
                    memory=time_word(
                        grade.get("keyTtl") if grade["idempotency"] == "idempotency_key" else 0.0
                    ),
                    memory_by_zone=grade.get("group", "all") != "all"
                    and grade["idempotency"] == "idempotency_key",
                    revenue=float(grade.get("points", 1.0)),
                    late_revenue=float(grade.get("lateWorth", 0.0)),
                    in_order=bool(grade.get("inOrder")),
                )
                for grade in env["grades"]
            ],
            kind=[
                KindPart(
                    name=name,
                    bundle=int(bundles[i]) if i < len(bundles) else 1,
                    apart=bool(apart[i]) if i < len(apart) else False,
                )
                for i, name in enumerate(kinds)
            ],
        )
    except (KeyError, TypeError, AttributeError, IndexError) as fault:
        raise ValueError(f"the platform's JSON lacks or garbles {fault}") from None
    ours = to_platform(Read(sheet, {}, []))
    sheet.platform = difference(told, ours)
    return sheet


def as_toml(sheet):
    """An operator's file. Its libraries are read in here: a courier that starts from one never writes one."""
    import msgspec
    import tomli_w

    return tomli_w.dumps({"version": 1} | msgspec.to_builtins(sheet))
