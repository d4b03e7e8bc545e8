"""Reads the settings of a deployment into `CourierSettings`, for the simulator adapter and the courier.

Unknown keys are ignored.
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
    """Maps external ids to small integers, in the order of arrival; no integer is reused."""

    def __init__(self, idents=()):
        self.index, self.ident, self.next = {}, {}, count()
        for ident in idents:
            self(ident)

    def __call__(self, ident):
        """Returns the number of an id, and assigns the next one to an unknown id."""
        if ident not in self.index:
            self.index[ident] = number = next(self.next)
            self.ident[number] = ident
        return self.index[ident]

    def renumber(self, ident):
        """Returns a new number for an id; the former number keeps the id until it is forgotten."""
        del self.index[ident]
        return self(ident)

    def forget(self, number):
        """Removes a number, and its id unless that has a newer one; raises KeyError for an unknown number."""
        ident = self.ident.pop(number)
        if self.index.get(ident) == number:
            del self.index[ident]


REQUIRED_MINIMUMS = {  # required keys by section, with the smallest supported value
    "": {"slotNo": 0, "groupSize": 1, "tick": 0.0},
    "familyInfo": {"workers": 1},
    "ceilings": {"mostHeld": 1, "tryLimit": 1},
    "rules": {"coldFrom": 0.0, "cold": 0.0, "tipMultiple": 0.0, "fall": 0.0},
    "grades": {"aim": 1e-3, "giveUp": 1e-3},
}
OPTIONAL_MINIMUMS = {  # keys that may be absent or null
    "ceilings": {"connectTimeout": 0.0, "idleClose": 0.0, "maxRetryAfter": 0.0},
    "rules": {"orderSettle": 0.0, "askWithin": 0.0},
    "grades": {"points": 0.0, "lateWorth": 0.0, "keyTtl": 0.0},
}


def check(settings):
    """Raises ValueError with the path of the first invalid setting.

    Invalid settings are refused at startup, before they can fail a courier that is running.
    """

    def require_table(value, place):
        if not isinstance(value, dict):
            raise ValueError(f"{place}: {value!r:.40} is not a table of settings")
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
                raise ValueError(f"{prefix}{key}: {value!r:.40} is not a number from {least:g} upwards")

    check_numbers(require_table(settings, "settings"), "settings.", "")
    for section in ("familyInfo", "ceilings", "rules"):
        check_numbers(
            require_table(settings.get(section), f"settings.{section}"), f"settings.{section}.", section
        )
    grades = settings.get("grades")
    if not isinstance(grades, list) or not grades:
        raise ValueError("settings.grades: at least one grade is required")
    names = set()
    for position, grade in enumerate(grades):
        place = f"settings.grades[{position}]"
        name, repeat = require_table(grade, place).get("name"), grade.get("idempotency")
        if not isinstance(name, str) or not name or name in names:
            raise ValueError(f"{place}.name: {name!r:.40} is not a unique name")
        if repeat not in REPEAT_BY_IDEMPOTENCY:
            raise ValueError(
                f"{place}.idempotency: {repeat!r:.40} is not one of {', '.join(REPEAT_BY_IDEMPOTENCY)}"
            )
        names.add(name)
        check_numbers(grade, f"{place}.", "grades")
    if settings.get("loadInfo") is not None:
        require_table(settings["loadInfo"], "settings.loadInfo")


def milliseconds(value):
    """Converts seconds to milliseconds; None gives 0."""
    return (value or 0.0) * 1000.0


def key_memory(settings):
    """How long (ms) destinations know an idempotency key, by product; 0 for products without keys."""
    return [
        milliseconds(grade.get("keyTtl")) if grade["idempotency"] == "idempotency_key" else 0.0
        for grade in settings["grades"]
    ]


def product(grade, fades):
    """Builds a `Product` from one entry of `grades`."""
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
    """The `Partner` of each kind of destination, in the order of `kinds`."""
    family = settings["familyInfo"]
    apart, bundles = family.get("ownLimits") or [], family.get("bundleMax") or []
    kinds = max(len(settings.get("kinds") or []), len(apart), len(bundles), 1)
    return [
        Partner(
            max_bundle=max(1, int(bundles[i])) if i < len(bundles) else 1,
            per_endpoint_routes=bool(apart[i]) if i < len(apart) else False,
        )
        for i in range(kinds)
    ]


def lists_agreed_rates(settings):
    """Whether list entries carry the call rate agreed with the destination."""
    return settings.get("weights") in ("nominal", "rough", "live")


def list_is_pushed(settings):
    """Whether a local agent receives the list, so that asking it is immediate and free."""
    return settings.get("discovery") != "ask"


def closes_idle(ceilings):
    """Whether surplus idle connections are closed; by default, if `idleClose` is set."""
    return bool(ceilings.get("giveBack", ceilings.get("idleClose")))


def load_columns(settings):
    """The names of the load values that endpoints report, in order; empty if they report none."""
    return (settings.get("loadInfo") or {}).get("columns") or []


def courier(seed, settings, **overrides):
    """Builds a courier from the settings; `overrides` replaces fields of `CourierSettings`."""
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
            cold=max(1.0, milliseconds(rules["cold"])),  # 0: ends at once
            multiple=rules["tipMultiple"],
            span=max(1.0, milliseconds(rules["fall"])),
        ),
        settle=milliseconds(rules.get("orderSettle")),
        closes_idle=closes_idle(ceilings),
        max_retry_after=milliseconds(ceilings.get("maxRetryAfter")) if ceilings.get("retryAfter") else 0.0,
        requests_list=not list_is_pushed(settings),
        ask_within=milliseconds(rules.get("askWithin", 10.0)),
    )
    return Courier(CourierSettings(**(values | overrides)))
