"""The terms of a deployment, read at start: the one reader for the adapter and for the courier on sockets.

Nothing here decides anything; keys that are not known are passed over.
"""
from itertools import count

from calicopin.brain import Courier
from calicopin.interface import FailBack, Partner, Product, Repeat

REPEATS = {"read_like": Repeat.RESENDABLE, "idempotency_key": Repeat.REFERENCED,
           "non_idempotent": Repeat.ONCE_ONLY}


class Indices:
    """Gives each outside id a small index, in the order of arrival; none is given twice."""

    def __init__(self, idents=()):
        self.index, self.ident, self.next = {}, {}, count()
        for ident in idents:
            self(ident)

    def __call__(self, ident):
        if ident not in self.index:
            self.index[ident] = number = next(self.next)
            self.ident[number] = ident
        return self.index[ident]

    def forget(self, ident):
        del self.ident[self.index.pop(ident)]


def ms(value):
    return (value or 0.0) * 1000.0


def product(grade, fades):
    """One entry of `grades` in our words."""
    return Product(
        repeat=REPEATS[grade["idempotency"]], sla=ms(grade["aim"]), validity=ms(grade["giveUp"]),
        revenue=grade.get("points", 1.0), late_revenue=grade.get("lateWorth", 0.0),
        memory=ms(grade.get("keyTtl")), memory_by_zone=grade.get("group", "all") != "all",
        in_order=bool(grade.get("inOrder", False)), late_halves=fades == "halving")


def partners(env):
    """What holds for each kind of destination."""
    family = env["familyInfo"]
    apart, bundles = family.get("ownLimits") or [], family.get("bundleMax") or []
    kinds = max(len(env.get("kinds") or []), len(apart), len(bundles), 1)
    return [Partner(bundle=max(1, int(bundles[i])) if i < len(bundles) else 1,
                    apart=bool(apart[i]) if i < len(apart) else False) for i in range(kinds)]


def agreed(env):
    """Whether the list tells the rate that a destination takes."""
    return env.get("weights") in ("nominal", "rough", "live")


def pushed(env):
    """Whether an agent beside the courier is sent the list, and answers at once and at no cost with what it has."""
    return env.get("discovery") != "ask"


def gives_back(ceilings):
    """Whether idle connections are given back: unless it says otherwise, wherever partners keep them at all."""
    return bool(ceilings.get("giveBack", ceilings.get("idleClose")))


def reports(env):
    return env.get("loadInfo", {}).get("columns") or []


def courier(seed, env, **other):
    """A courier from the settings; `other` stands in for what is given differently."""
    family, ceilings, rules = env["familyInfo"], env["ceilings"], env["rules"]
    told = dict(
        seed=seed, number=env["slotNo"], senders=env["groupSize"], tick=ms(env["tick"]),
        slots=family["workers"], room=ceilings["mostHeld"], tries=ceilings["tryLimit"],
        products=[product(grade, family.get("fades")) for grade in env["grades"]], partners=partners(env),
        fail_back=FailBack(cold_from=rules["coldFrom"], cold=ms(rules["cold"]),
                           multiple=rules["tipMultiple"], span=ms(rules["fall"])),
        settle=ms(rules.get("orderSettle")), gives_back=gives_back(ceilings),
        most_advice=ms(ceilings.get("maxRetryAfter")) if ceilings.get("retryAfter") else 0.0,
        asks=not pushed(env), ask_within=ms(rules.get("askWithin", 10.0)))
    return Courier(**(told | other))
