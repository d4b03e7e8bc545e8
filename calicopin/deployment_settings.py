"""The terms of a deployment, read at start: the one reader for the adapter and for the courier on sockets.

Nothing here decides anything; keys that are not known are passed over.
"""

from itertools import count

from calicopin.decisions import Courier
from calicopin.interface import CourierSettings, FailBack, Partner, Product, Repeat

REPEAT_BY_IDEMPOTENCY = {
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


REQUIRED_MINIMUMS = {  # what has to be there, with the least that can be served
    "": {"slotNo": 0, "groupSize": 1, "tick": 0.0},
    "familyInfo": {"workers": 1},
    "ceilings": {"mostHeld": 1, "tryLimit": 1},
    "rules": {"coldFrom": 0.0, "cold": 0.0, "tipMultiple": 0.0, "fall": 0.0},
    "grades": {"aim": 1e-3, "giveUp": 1e-3},
}
OPTIONAL_MINIMUMS = {  # what may be absent or null
    "ceilings": {"connectTimeout": 0.0, "idleClose": 0.0, "maxRetryAfter": 0.0},
    "rules": {"orderSettle": 0.0, "askWithin": 0.0},
    "grades": {"points": 0.0, "lateWorth": 0.0, "keyTtl": 0.0},
}


def check(settings):
    """Raises ValueError with the place of the first setting that cannot be read by its meaning: another
    customer's settings are refused by name at the start, and not met by chance in the middle of a day.
    """

    def require_table(value, place):
        if not isinstance(value, dict):
            raise ValueError(f"{place}: {value!r:.40} is no table of settings")
        return value

    def check_numbers(values, prefix, section):
        for key, least in (
            REQUIRED_MINIMUMS.get(section, {}).items() | OPTIONAL_MINIMUMS.get(section, {}).items()
        ):
            value, required = values.get(key), key in REQUIRED_MINIMUMS.get(section, {})
            if value is None and not required:
                continue
            if (
                isinstance(value, bool)
                or not isinstance(value, (int, float))
                or not least <= value < float("inf")
            ):
                raise ValueError(f"{prefix}{key}: {value!r:.40} is no number from {least:g} up")

    check_numbers(require_table(settings, "settings"), "settings.", "")
    for section in ("familyInfo", "ceilings", "rules"):
        check_numbers(
            require_table(settings.get(section), f"settings.{section}"), f"settings.{section}.", section
        )
    grades = settings.get("grades")
    if not isinstance(grades, list) or not grades:
        raise ValueError("settings.grades: there has to be one at least")
    names = set()
    for position, grade in enumerate(grades):
        place = f"settings.grades[{position}]"
        name, repeat = require_table(grade, place).get("name"), grade.get("idempotency")
        if not isinstance(name, str) or not name or name in names:
            raise ValueError(f"{place}.name: {name!r:.40} is no name of its own")
        if repeat not in REPEAT_BY_IDEMPOTENCY:
            raise ValueError(
                f"{place}.idempotency: {repeat!r:.40} is none of {', '.join(REPEAT_BY_IDEMPOTENCY)}"
            )
        names.add(name)
        check_numbers(grade, f"{place}.", "grades")
    if settings.get("loadInfo") is not None:
        require_table(settings["loadInfo"], "settings.loadInfo")


def milliseconds(value):
    """Seconds as milliseconds; 0 where nothing is told."""
    return (value or 0.0) * 1000.0


def product(grade, fades):
    """One entry of `grades` in our words."""
    return Product(
        repeat=REPEAT_BY_IDEMPOTENCY[grade["idempotency"]],
        sla=milliseconds(grade["aim"]),
        validity=milliseconds(grade["giveUp"]),
        revenue=1.0 if grade.get("points") is None else grade["points"],
        late_revenue=grade.get("lateWorth") or 0.0,
        memory=milliseconds(grade.get("keyTtl")),
        memory_by_zone=grade.get("group", "all") != "all",
        in_order=bool(grade.get("inOrder", False)),
        late_halves=fades == "halving",
    )


def partners(settings):
    """What holds for each kind of destination."""
    family = settings["familyInfo"]
    apart, bundles = family.get("ownLimits") or [], family.get("bundleMax") or []
    kinds = max(len(settings.get("kinds") or []), len(apart), len(bundles), 1)
    return [
        Partner(
            bundle=max(1, int(bundles[i])) if i < len(bundles) else 1,
            apart=bool(apart[i]) if i < len(apart) else False,
        )
        for i in range(kinds)
    ]


def lists_agreed_rates(settings):
    """Whether the list tells the rate that a destination takes."""
    return settings.get("weights") in ("nominal", "rough", "live")


def pushed(settings):
    """Whether an agent beside the courier is sent the list, and answers at once and at no cost with what
    it has.
    """
    return settings.get("discovery") != "ask"


def gives_back(ceilings):
    """Whether idle connections are given back: unless it says otherwise, wherever partners keep them at
    all.
    """
    return bool(ceilings.get("giveBack", ceilings.get("idleClose")))


def load_columns(settings):
    """The columns of the load that endpoints report, in their order; empty where they report none."""
    return (settings.get("loadInfo") or {}).get("columns") or []


def courier(seed, settings, **overrides):
    """A courier from the settings; `other` stands in for what is given differently."""
    family, ceilings, rules = settings["familyInfo"], settings["ceilings"], settings["rules"]
    values = dict(
        seed=seed,
        number=settings["slotNo"],
        senders=settings["groupSize"],
        tick=milliseconds(settings["tick"]),
        slots=family["workers"],
        room=ceilings["mostHeld"],
        tries=ceilings["tryLimit"],
        products=[product(grade, family.get("fades")) for grade in settings["grades"]],
        partners=partners(settings),
        fail_back=FailBack(
            cold_from=rules["coldFrom"],
            cold=max(1.0, milliseconds(rules["cold"])),  # 0: over at once
            multiple=rules["tipMultiple"],
            span=max(1.0, milliseconds(rules["fall"])),
        ),
        settle=milliseconds(rules.get("orderSettle")),
        gives_back=gives_back(ceilings),
        most_advice=milliseconds(ceilings.get("maxRetryAfter")) if ceilings.get("retryAfter") else 0.0,
        asks=not pushed(settings),
        ask_within=milliseconds(rules.get("askWithin", 10.0)),
    )
    return Courier(CourierSettings(**(values | overrides)))
