"""A partner that fails most calls for a while comes back cold, and is pushed over at full rate."""

import asyncio
import math
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import stage  # noqa: E402

RULE = dict(cold_from=0.24, cold=9.5, multiple=1.5, span=3.0)  # the site's figures of the rule
# The small twin of pasay-main: two couriers, the limits and the products of its site file.
SETTINGS = {
    "ceilings": {
        "cancel": True,
        "connectTimeout": 1.5,
        "cpuUsPerRequest": 0.0,
        "cpuUsPerS": 500000,
        "idleClose": 15.0,
        "maxRetryAfter": 2.0,
        "mayDuplicate": False,
        "mostHeld": 110,
        "peerMessages": False,
        "probes": True,
        "retryAfter": True,
        "streamsPerConn": 1,
        "tryLimit": 8,
    },
    "clientHabits": {"marksRetry": False},
    "discovery": "push",
    "domainType": "deliver",
    "familyInfo": {"bundleMax": [20, 1], "fades": "halving", "ownLimits": [False, False], "workers": 6},
    "grades": [
        {
            "aim": 4.0,
            "giveUp": 20.0,
            "group": "all",
            "idempotency": "idempotency_key",
            "keyTtl": 5.0,
            "lateWorth": 0.5,
            "name": "order-handoff",
            "points": 1.0,
            "stream": False,
        },
        {
            "aim": 0.8,
            "giveUp": 6.0,
            "group": "all",
            "idempotency": "read_like",
            "keyTtl": 5.0,
            "lateWorth": 0.0,
            "name": "order-status",
            "points": 1.0,
            "stream": False,
        },
        {
            "aim": 4.0,
            "giveUp": 28.0,
            "group": "all",
            "idempotency": "non_idempotent",
            "keyTtl": 0.0,
            "lateWorth": 0.5,
            "name": "payment-capture",
            "points": 3.0,
            "stream": False,
        },
    ],
    "groupSize": 2,
    "kinds": ["big-partner", "small-partner"],
    "loadInfo": {"columns": [], "source": "silent"},
    "locality": 0,
    "rules": {
        "answerSlack": 0.02,
        "askWithin": 10.0,
        "cold": RULE["cold"],
        "coldFrom": RULE["cold_from"],
        "fall": RULE["span"],
        "stopSendingWithin": 0.5,
        "tipMultiple": RULE["multiple"],
    },
    "tick": 0.005,
    "weights": "silent",
    "zones": ["pasay-dc"],
}
PRODUCTS = (("order-handoff", 20.0, 0.57), ("order-status", 6.0, 0.23), ("payment-capture", 28.0, 0.20))
CAPACITY = 30.0  # calls a second of the partner that is struck, warm
STRUCK, OTHERS = 1, 7
RATE, STRUCK_SHARE = 27.0, 0.444  # messages a second at each courier; 24 a second go to the struck partner
OUTAGE = (15.0, 29.0)  # 14 s; the site has 8.6 to 20 s
FAILING = 0.65  # of the calls; the site has 0.30 to 0.99, the rule speaks of most
LAST_AT = OUTAGE[1] + RULE["cold"] + 1.0
END = LAST_AT + 3.0


class StruckPartner(stage.Partner):
    """A partner that fails most calls for a while, is cold behind that, and falls if it is pushed over."""

    def __init__(self, *args):
        super().__init__(*args)
        self.accepted, self.arrived, self.told, self.fall = [], [], set(), None

    def capacity(self, at):
        """Calls a second that it can do at a time."""
        if not stage.TROUBLE or at < OUTAGE[1]:
            return CAPACITY
        warm = min(1.0, (at - OUTAGE[1]) / RULE["cold"])
        return CAPACITY * (RULE["cold_from"] + (1.0 - RULE["cold_from"]) * warm)

    def allowed(self, since):
        """(N, the calls over which it falls) in the rule's time from `since` on."""
        steps = 60
        step = RULE["span"] / steps
        n = RULE["multiple"] * step * sum(self.capacity(since + (i + 0.5) * step) for i in range(steps))
        return n, n + 2.0 * math.sqrt(n) + 2.0 if n >= 30.0 else n + 3.0 * math.sqrt(n) + 3.0

    def behave(self, idents):
        """Counts a call that has arrived, and says what becomes of it."""
        at, courier = self.record.now(), idents[0].partition("-")[0]
        if stage.TROUBLE and OUTAGE[0] <= at < OUTAGE[1]:
            if self.rng.random() < FAILING:
                self.told.add(courier)
                return "error"
            return "deliver"
        if stage.TROUBLE and OUTAGE[1] <= at < OUTAGE[1] + RULE["cold"] and self.fall is None:
            self.arrived.append((at, courier))
            since = max(OUTAGE[1], at - RULE["span"])
            window = [entry for entry in self.arrived if entry[0] >= since]
            n, most = self.allowed(since)
            if len(window) > most:
                self.fall = (at, since, n, most, window)
                self.record.add("fallen", calls=len(window), most=f"{most:.1f}")
                for server in self.servers:  # it stays down
                    server.accept_no_more()
                    server.reset_connections()
        self.accepted = [one for one in self.accepted if one > at - 1.0]
        if len(self.accepted) >= self.capacity(at):
            return "full"
        self.accepted.append(at)
        return "deliver"


async def traffic(record, name, clients, seed):
    """Hands messages in at random times until `LAST_AT`."""
    rng, number, tasks, at = random.Random(seed), 0, [], record.now()
    while (at := at + rng.expovariate(RATE)) < LAST_AT:
        await asyncio.sleep(max(0.0, at - record.now()))
        number += 1
        product, validity, _ = rng.choices(PRODUCTS, [share for _, _, share in PRODUCTS])[0]
        destination = STRUCK if rng.random() < STRUCK_SHARE else rng.randint(2, 1 + OTHERS)
        ident = f"{name}-{number}"
        reference = f"key-{ident}" if product == "order-handoff" else None
        message = stage.Message(ident, product, destination, validity, reference, 0.0)
        tasks.append(asyncio.ensure_future(clients.hand_in(message)))
    await asyncio.gather(*tasks)


async def day(record, scratch, couriers):
    """Plays the day and judges it."""
    struck = StruckPartner(record, STRUCK, 2, 0.1, "small-partner", "pasay-dc", 3)
    others = [
        stage.Partner(record, number, 1, 0.1, "small-partner", "pasay-dc", 3)
        for number in range(2, 2 + OTHERS)
    ]
    for partner in (struck, *others):
        await partner.open()
    agent = stage.Agent(record, "agent", [entry for one in (struck, *others) for entry in one.entries()])
    await agent.server.open()
    for position, name in enumerate(("n1", "n2")):
        settings = SETTINGS | {"slotNo": position}
        couriers.append(
            stage.Courier(record, scratch / name, name, settings, agent.address, agent.whole_list())
        )
    for courier in couriers:
        courier.start()
    for courier in couriers:
        await courier.until_ready()
    record.began = stage.time.monotonic()
    clients = [stage.Clients(record, courier.address) for courier in couriers]
    await asyncio.gather(
        *(
            traffic(record, courier.name, client, 21 + position)
            for position, (courier, client) in enumerate(zip(couriers, clients, strict=True))
        )
    )
    await asyncio.sleep(max(0.0, END - record.now()))
    return judge(struck, couriers, clients)


def judge(struck, couriers, clients):
    """The rule is broken at a fall of which over two thirds came from couriers that had seen calls fail."""
    taken = sum(message.status in (200, 202) for client in clients for message in client.messages)
    failed = sum(what == "error" for _, _, what in struck.calls)
    in_outage = sum(OUTAGE[0] <= at < OUTAGE[1] for at, _, _ in struck.calls)
    summary = [f"messages taken on {taken}, calls to the partner {len(struck.calls)}"]
    if stage.TROUBLE:
        summary.append(f"failed {failed} of {in_outage} calls during the outage; told: {sorted(struck.told)}")
    if any(courier.processes[-1].poll() is not None for courier in couriers) or taken < 500:
        return stage.NOT_RUN, [*summary, "a courier ended, or too little was taken on"]
    if stage.TROUBLE and (not struck.told or failed * 2 <= in_outage):
        return stage.NOT_RUN, [*summary, "the outage did not fail most calls"]
    if struck.fall is None:
        return stage.HELD, [*summary, "the partner did not fall"]
    at, since, n, most, window = struck.fall
    from_told = sum(courier in struck.told for _, courier in window)
    summary.append(
        f"fell {at - OUTAGE[1]:.2f} s behind its return: {len(window)} calls in {at - since:.2f} s, "
        f"N {n:.1f}, at most {most:.1f} in {RULE['span']} s; {from_told} from couriers that were told"
    )
    return (stage.BROKEN if from_told * 3 > 2 * len(window) else stage.HELD), summary


if __name__ == "__main__":
    stage.play(Path(__file__).resolve().parent, day)
