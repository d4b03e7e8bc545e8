"""The terms of a deployment, read at start: the one reader for the adapter and for the courier on sockets.

Nothing here decides anything; keys that are not known are passed over.
"""

from itertools import count

from calicopin.decisions import Courier
from calicopin.interface import CourierSettings, FailBack, Partner, Product, Repeat

REPEATS = {
    "read_like": Repeat.RESENDABLE,
    "idempotency_key": Repeat.REFERENCED,
    "non_idempotent": Repeat.ONCE_ONLY,
}


class Indices:
    """Gives each outside id a small index, in the order of arrival; none is given twice."""

    def __init__(self, idents=()):
        self.index, self.ident, self.next = {}, {}, count()
        for ident in idents:
            self(ident)

    def __call__(self, ident):
        """The number of an id; a new one where it has none yet."""
        if ident not in self.index:
            self.index[ident] = number = next(self.next)
            self.ident[number] = ident
        return self.index[ident]

    def forget(self, ident):
        """Drops an id and its number; KeyError where it is not known."""
        del self.ident[self.index.pop(ident)]


LEAST = {  # what has to be there, with the least that can be served
    "": {"slotNo": 0, "groupSize": 1, "tick": 0.0},
    "familyInfo": {"workers": 1},
    "ceilings": {"mostHeld": 1, "tryLimit": 1},
    "rules": {"coldFrom": 0.0, "cold": 0.0, "tipMultiple": 0.0, "fall": 0.0},
    "grades": {"aim": 1e-3, "giveUp": 1e-3},
}
LEFT_OUT = {  # what may be absent or null
    "ceilings": {"connectTimeout": 0.0, "idleClose": 0.0, "maxRetryAfter": 0.0},
    "rules": {"orderSettle": 0.0, "askWithin": 0.0},
    "grades": {"points": 0.0, "lateWorth": 0.0, "keyTtl": 0.0},
}


def check(env):
    """Raises ValueError with the place of the first setting that cannot be read by its meaning: another
    customer's settings are refused by name at the start, and not met by chance in the middle of a day.
    """

    def table(value, place):
        if not isinstance(value, dict):
            raise ValueError(f"{place}: {value!r:.40} is no table of settings")
        return value

    def numbers(values, place, kind):
        for key, least in LEAST.get(kind, {}).items() | LEFT_OUT.get(kind, {}).items():
            value, needed = values.get(key), key in LEAST.get(kind, {})
            if value is None and not needed:
                continue
            if (
                isinstance(value, bool)
                or not isinstance(value, (int, float))
                or not least <= value < float("inf")
            ):
                raise ValueError(f"{place}{key}: {value!r:.40} is no number from {least:g} up")

    numbers(table(env, "settings"), "settings.", "")
    for kind in ("familyInfo", "ceilings", "rules"):
        numbers(table(env.get(kind), f"settings.{kind}"), f"settings.{kind}.", kind)
    grades = env.get("grades")
    if not isinstance(grades, list) or not grades:
        raise ValueError("settings.grades: there has to be one at least")
    names = set()
    for place, grade in enumerate(grades):
        where = f"settings.grades[{place}]"
        name, repeat = table(grade, where).get("name"), grade.get("idempotency")
        if not isinstance(name, str) or not name or name in names:
            raise ValueError(f"{where}.name: {name!r:.40} is no name of its own")
        if repeat not in REPEATS:
            raise ValueError(f"{where}.idempotency: {repeat!r:.40} is none of {', '.join(REPEATS)}")
        names.add(name)
        numbers(grade, f"{where}.", "grades")
    if env.get("loadInfo") is not None:
        table(env["loadInfo"], "settings.loadInfo")


def ms(value):
    """Seconds as milliseconds; 0 where nothing is told."""
    return (value or 0.0) * 1000.0


def product(grade, fades):
    """One entry of `grades` in our words."""
    return Product(
        repeat=REPEATS[grade["idempotency"]],
        sla=ms(grade["aim"]),
        validity=ms(grade["giveUp"]),
        revenue=1.0 if grade.get("points") is None else grade["points"],
        late_revenue=grade.get("lateWorth") or 0.0,
        memory=ms(grade.get("keyTtl")),
        memory_by_zone=grade.get("group", "all") != "all",
        in_order=bool(grade.get("inOrder", False)),
        late_halves=fades == "halving",
    )


def partners(env):
    """What holds for each kind of destination."""
    family = env["familyInfo"]
    apart, bundles = family.get("ownLimits") or [], family.get("bundleMax") or []
    kinds = max(len(env.get("kinds") or []), len(apart), len(bundles), 1)
    return [
        Partner(
            bundle=max(1, int(bundles[i])) if i < len(bundles) else 1,
            apart=bool(apart[i]) if i < len(apart) else False,
        )
        for i in range(kinds)
    ]


def agreed(env):
    """Whether the list tells the rate that a destination takes."""
    return env.get("weights") in ("nominal", "rough", "live")


def pushed(env):
    """Whether an agent beside the courier is sent the list, and answers at once and at no cost with what
    it has.
    """
    return env.get("discovery") != "ask"


def gives_back(ceilings):
    """Whether idle connections are given back: unless it says otherwise, wherever partners keep them at
    all.
    """
    return bool(ceilings.get("giveBack", ceilings.get("idleClose")))


def reports(env):
    """The columns of the load that endpoints report, in their order; empty where they report none."""
    return (env.get("loadInfo") or {}).get("columns") or []


def courier(seed, env, **other):
    """A courier from the settings; `other` stands in for what is given differently."""
    family, ceilings, rules = env["familyInfo"], env["ceilings"], env["rules"]
    told = dict(
        seed=seed,
        number=env["slotNo"],
        senders=env["groupSize"],
        tick=ms(env["tick"]),
        slots=family["workers"],
        room=ceilings["mostHeld"],
        tries=ceilings["tryLimit"],
        products=[product(grade, family.get("fades")) for grade in env["grades"]],
        partners=partners(env),
        fail_back=FailBack(
            cold_from=rules["coldFrom"],
            cold=max(1.0, ms(rules["cold"])),  # 0: over at once
            multiple=rules["tipMultiple"],
            span=max(1.0, ms(rules["fall"])),
        ),
        settle=ms(rules.get("orderSettle")),
        gives_back=gives_back(ceilings),
        most_advice=ms(ceilings.get("maxRetryAfter")) if ceilings.get("retryAfter") else 0.0,
        asks=not pushed(env),
        ask_within=ms(rules.get("askWithin", 10.0)),
    )
    return Courier(CourierSettings(**(told | other)))
