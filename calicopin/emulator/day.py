"""One run: the parties of a scenario put into a world, its traffic and its troubles, played to the end."""

import gc
import json
import signal
import zlib

import msgspec
from loguru import logger

from calicopin.emulator.net import Network
from calicopin.emulator.nodes import Nodes
from calicopin.emulator.partners import Destination, Endpoint
from calicopin.emulator.process import Process, current
from calicopin.emulator.scenario import (
    COURIER_TROUBLES,
    PARTNER_TROUBLES,
    SUBSCRIPTION_TROUBLES,
    Trouble,
)
from calicopin.emulator.standins import Clients, Operator, Partners, Platform, Registry
from calicopin.emulator.world import World

OPENING = 1000.0  # couriers start, clients come after it
AFTER = 1500.0  # beyond the last validity period
REPEATS = {"resendable": "read_like", "referenced": "idempotency_key", "once-only": "non_idempotent"}


def settings(scenario, number):
    """The settings of one courier, as the platform tells them."""
    couriers, rules = scenario.couriers, scenario.rules
    grades = [
        dict(
            name=product.name,
            idempotency=REPEATS[product.repeat],
            aim=product.sla_s,
            giveUp=product.validity_s,
            points=product.revenue,
            lateWorth=product.late_revenue,
            keyTtl=product.memory_s,
            group="zone" if product.memory_by_zone else "all",
            inOrder=product.in_order,
        )
        for product in scenario.product
    ]
    kinds = [partner.name for partner in scenario.partner]
    return dict(
        slotNo=number,
        groupSize=couriers.count,
        tick=0.005,
        kinds=kinds,
        zones=["z0", "z1"],
        grades=grades,
        familyInfo=dict(
            workers=couriers.slots,
            bundleMax=[partner.bundle for partner in scenario.partner],
            ownLimits=[partner.apart for partner in scenario.partner],
            fades="linear",
        ),
        ceilings=dict(
            mostHeld=couriers.held,
            tryLimit=couriers.tries,
            connectTimeout=couriers.connect_ms / 1000.0,
            idleClose=couriers.idle_s,
            retryAfter=couriers.advice_s > 0,
            maxRetryAfter=couriers.advice_s,
        ),
        rules=dict(
            coldFrom=rules.cold_from,
            cold=rules.cold_s,
            tipMultiple=rules.multiple,
            fall=rules.span_s,
            orderSettle=couriers.settle_ms / 1000.0,
            askWithin=10.0,
        ),
        loadInfo=dict(columns=["x0", "x1"], source="piggyback"),
        weights="silent",
        discovery="push" if couriers.lists == "pushed" else "ask",
    )


def shares(scenario):
    """The share of the traffic that each destination gets."""
    made = [
        (partner.share / partner.destinations * (rank + 1) ** -scenario.traffic.tail)
        for _, partner, rank in scenario.destinations()
    ]
    return [share / sum(made) for share in made]


def arrivals(scenario, world):
    """The texts of a run, in the order in which they are due: the same whatever the couriers do."""
    traffic, rng = scenario.traffic, world.chance("traffic")
    weights, now, number, out = shares(scenario), 0.0, 0, []
    products, mix = scenario.product, [product.share for product in scenario.product]
    bursts = [trouble for trouble in scenario.trouble if trouble.kind in ("burst", "clump")]
    while True:
        rate = traffic.texts
        if traffic.shape == "bursts" and int(now / 4000.0) % 2:
            rate *= 1.7
        elif traffic.shape == "bursts":
            rate *= 0.3
        elif traffic.shape == "ramp":
            rate *= 0.2 + 1.6 * now / (scenario.length_s * 1000.0)
        aim = None
        for burst in bursts:
            if burst.at_s * 1000.0 <= now < (burst.at_s + burst.for_s) * 1000.0:
                rate *= 1.0 + burst.size
                if burst.kind == "clump" and rng.random() < burst.size / (1.0 + burst.size):
                    kind, _, name = burst.whom.partition(":")
                    aim = int(name) if kind == "destination" else 0
        now += rng.expovariate(rate / 1000.0)
        if now >= scenario.length_s * 1000.0:
            return out
        product = rng.choices(range(len(products)), mix)[0]
        dest = aim if aim is not None else rng.choices(range(len(weights)), weights)[0]
        kind = products[product]
        key = f"k{rng.randrange(kind.keys)}" if kind.in_order else None
        reference = f"r{number:08x}" if kind.repeat == "referenced" else None
        low, high = traffic.body
        body = b"%d:" % number + bytes(rng.randrange(low, high + 1))
        out.append(
            dict(
                number=number,
                dest=dest,
                product=product,
                key=key,
                reference=reference,
                body=body,
                due=OPENING + now,
                until=OPENING + now + kind.validity_s * 1000.0,
            )
        )
        number += 1


def drawn(scenario, world):
    """The troubles of a run: those that are written down, and those that the seed draws."""
    out = list(scenario.trouble)
    if scenario.mixed:
        rng = world.chance("troubles")
        for _ in range(scenario.mixed.troubles):
            kind = rng.choice(scenario.mixed.kinds)
            at = rng.uniform(0.05, 0.8) * scenario.length_s
            size = {
                "errors": 0.4,
                "answers-lost": 0.3,
                "courier-herd": 0.5,
                "lose": 0.3,
                "spoil": 0.3,
                "slow": rng.choice([5.0, 20.0]),
                "limit": 0.5,
                "burst": 1.5,
                "clump": 2.0,
                "clock": rng.choice([-300.0, 300.0]),
                "net-slow": 8.0,
                "resets": 0.3,
                "stand": 1.0,
                "disk-errors": 0.2,
                "disk-short": 0.5,
                "disk-slow": 40.0,
            }.get(kind, 1.0)
            out.append(
                Trouble(kind=kind, at_s=round(at, 3), for_s=round(rng.uniform(1.0, 9.0), 3), size=size)
            )
    return sorted(out, key=lambda trouble: trouble.at_s)


class Day:
    """A scenario and a seed, played by `play`; the trace lies in `world.trace`.

    `begin` is the program under test. `kills` are the numbers of system calls at which the first courier's
    processes end, one after the other.
    """

    def __init__(self, scenario, seed, begin, troubles=None, texts=None, kills=()):
        self.scenario, self.seed, self.world = scenario, seed, World(seed)
        world, net = self.world, scenario.net
        self.net = Network(world, net.latency_ms, net.bandwidth_mb_s * 1000.0, net.pieces)
        self.net.far, self.net.outer = (
            net.partner_ms,
            tuple(
                f"10.{part}."
                for part in (
                    6,
                    *range(
                        10,
                        11
                        + sum(one.destinations for one in scenario.partner) // 200
                        + 40 * (max(one.endpoints for one in scenario.partner) // 250),
                    ),
                )
            ),
        )
        self.rng = world.chance("day")
        self.troubles = drawn(scenario, world) if troubles is None else list(troubles)
        with_drawn = msgspec.structs.replace(scenario, trouble=tuple(self.troubles), mixed=None)
        self.texts = arrivals(with_drawn, world) if texts is None else texts
        self.products = scenario.product
        self.partners = Partners(
            world, self.net, lambda end: self.hosts.get(end.peer.machine.address, "nobody")
        )
        self.destinations, self.list = {}, {}
        for number, partner, _ in scenario.destinations():
            self._destination(number, partner)
        self.hosts, self.couriers, self.platforms, self.registry = {}, [], {}, Registry()
        self.nodes = Nodes(self)
        for number in range(scenario.couriers.count):
            self._courier(number, begin)
        self.clients = Clients(world, self.net, scenario.traffic, self.products, self.couriers)
        self.clients.front = scenario.couriers.front
        self.operator = Operator(world, self.net)
        self.spare, self.lines = len(self.list), []
        if kills:
            self.couriers[0].planned.extend(kills)
            self.couriers[0].replaced = lambda one: world.after(scenario.couriers.restart_ms, self.start, one)

    # The parties.

    def _entry(self, endpoint, destination, state="active"):
        return {
            "id": endpoint.ident,
            "addr": f"{endpoint.host}:80",
            "zone": endpoint.zone,
            "kind": destination.spec.name,
            "cell": destination.number,
            "state": state,
            "weight": 1.0,
            "started_ms": 0,
        }

    def _destination(self, number, partner):
        endpoints = [
            Endpoint(
                f"e{number}.{i}",
                f"10.{10 + number // 200 + 40 * (i // 250)}.{number % 200}.{i % 250 + 1}",
                f"z{i % partner.zones}",
            )
            for i in range(partner.endpoints)
        ]
        destination = self.destinations[number] = Destination(
            self.world, number, partner, self.scenario.rules, endpoints
        )
        for endpoint in endpoints:
            self.partners.listen(destination, endpoint)
            self.list[endpoint.ident] = self._entry(endpoint, destination)

    def _courier(self, number, begin):
        couriers, name = self.scenario.couriers, f"courier{number}"
        host, agent = f"10.8.{number // 200}.{number % 200 + 1}", f"10.7.{number // 200}.{number % 200 + 1}"
        environ = {
            "LB_NAME": name,
            "LB_CONFIG": "config",
            "LB_STATE": "state",
            "LB_LISTEN": f"{host}:5000",
            "LB_DISCOVERY": f"{agent}:8500",
        }
        if couriers.scrape_s:
            environ["LB_ADMIN_ADDR"] = f"{host}:{Operator.PORT}"
        process = Process(
            self.world,
            self.net,
            name,
            host,
            begin,
            environ,
            couriers.descriptors,
            self.world.chance(name),
            couriers.pass_ms,
            couriers.short,
        )
        process.number_ = number
        late = tuple(self.scenario.platform.late_ms)
        self.platforms[name] = platform = Platform(
            self.world,
            self.net,
            name,
            agent,
            self.list,
            late,
            self.world.chance(f"{name} agent"),
            self.registry,
        )
        platform.heard = lambda *notice: self.clients.noticed(*notice)
        self.hosts[host] = name
        self.couriers.append(process)
        process.config = self.config(process, platform)
        process.first = platform.known()

    def config(self, process, platform, **other):
        couriers, seed = (
            self.scenario.couriers,
            zlib.crc32(f"{self.seed}/{process.name}/{process.number}".encode()),
        )
        told = {
            "name": process.name,
            "listen": process.environ["LB_LISTEN"],
            "seed": f"{seed:x}",
            "discovery": process.environ["LB_DISCOVERY"],
            "limits": {"sockets": couriers.descriptors, "disk_mb": couriers.disk_mb},
            "known": platform.known(),
            "settings": settings(self.scenario, process.number_),
            "store": couriers.store,
        }
        return json.dumps(told | self.nodes.told() | other).encode()

    def start(self, process):
        if process.over:
            platform = self.platforms[process.name]
            stale = self.scenario.platform.stale and self.rng.random() < self.scenario.platform.stale
            process.disk.files["config"] = bytearray(
                self.config(process, platform, **({"known": process.first} if stale else {}))
            )
            process.disk.room = float("inf")
            process.start()
            self.world.after(1.0, self.ready, process, process.number)

    def ready(self, process, number):
        """The platform sees that it listens."""
        if process.number == number and not process.over:
            if 5000 in self.net.machine(process.host).listeners:
                self.world.note("ready", process.name)
            else:
                self.world.after(5.0, self.ready, process, number)

    # Troubles.

    def whom(self, trouble):
        """The destinations or couriers that a trouble meets."""
        kind, _, name = trouble.whom.partition(":")
        if trouble.kind in PARTNER_TROUBLES or trouble.kind in ("publish", "withdraw"):
            if kind == "partner":
                return [one for one in self.destinations.values() if one.spec.name == name]
            return [
                self.destinations[int(name)]
                if kind == "destination"
                else self.rng.choice(list(self.destinations.values()))
            ]
        if kind == "courier":
            return [self.couriers[int(name)]]
        return [self.rng.choice(self.couriers)]

    def strike(self, trouble):
        if trouble.kind in ("burst", "clump"):  # in the traffic
            return
        if trouble.kind in SUBSCRIPTION_TROUBLES:
            self.nodes.strike(trouble)
            return
        what, lasts = trouble.kind.replace("-", "_"), trouble.for_s * 1000.0
        if trouble.kind in PARTNER_TROUBLES:
            for one in self.whom(trouble):
                self.world.note("trouble", trouble.kind, f"destination {one.number}", lasts)
                getattr(self, f"_{what}", self._mode)(one, trouble, lasts)
        elif trouble.kind in COURIER_TROUBLES:
            for one in self.whom(trouble):
                self.world.note("trouble", trouble.kind, one.name, lasts)
                getattr(self, f"_{what}")(one, trouble, lasts)
        else:
            self.world.note("trouble", trouble.kind, trouble.whom, lasts)
            getattr(self, f"_{what}")(trouble, lasts)

    def _mode(self, one, trouble, lasts):
        one.begin(trouble.kind, trouble.size)
        if trouble.kind == "refuse":
            for endpoint in one.endpoints:
                self.partners.restart(endpoint)
        one.shut_until = max(one.shut_until, self.world.now + lasts)
        self.world.after(lasts, one.end, trouble.kind)

    def _limit(self, one, trouble, lasts):
        one.factor = trouble.size
        self.world.after(lasts, setattr, one, "factor", 1.0)

    def _vanish(self, one, trouble, lasts):
        one.begin("vanish")
        for endpoint in one.endpoints:
            self.net.vanish(self.net.machine(endpoint.host))
        self.world.after(lasts, self._reappear, one)

    def _reappear(self, one):
        for endpoint in one.endpoints:
            self.net.machine(endpoint.host).up = True
            self.partners.listen(one, endpoint)
        one.end("vanish")

    def _stall_some(self, one, trouble, lasts):
        endpoint = self.rng.choice(one.endpoints)
        endpoint.held = True
        self.world.after(lasts, setattr, endpoint, "held", False)

    def _drain(self, one, trouble, lasts):
        """An endpoint leaves, and another may come in its place at once."""
        endpoint = self.rng.choice(one.endpoints)
        if endpoint.state != "active" or sum(e.state == "active" for e in one.endpoints) < 2:
            return
        endpoint.state = "leaving"
        self.tell(one, endpoint, "leaving")
        self.world.after(lasts + 6000.0, self._left, one, endpoint)

    def _left(self, one, endpoint):
        self.tell(one, endpoint, "left")
        one.endpoints.remove(endpoint)

    def _replace(self, one, trouble, lasts):
        self.spare += 1
        fresh = Endpoint(
            f"e{one.number}.n{self.spare}",
            f"10.6.{self.spare // 200}.{self.spare % 200}",
            f"z{self.spare % one.spec.zones}",
        )
        one.endpoints.append(fresh)
        self.partners.listen(one, fresh)
        self.tell(one, fresh, "active")
        self._drain(one, trouble, lasts)

    def tell(self, one, endpoint, state):
        for platform in self.platforms.values():
            platform.change(self._entry(endpoint, one, state))
        self.nodes.source.change(self._entry(endpoint, one, state))

    def _kill(self, one, trouble, lasts):
        """At a call of its own choosing within the next few."""
        one.kill_soon(self.rng.randrange(1, 400))
        self.world.after(max(lasts, self.scenario.couriers.restart_ms), self._again, one, trouble)

    def _again(self, one, trouble):
        if one.over:
            self.start(one)
            if trouble.size >= 2.0 and trouble.kind == "kill":  # and again while it recovers
                one.kill_soon(self.rng.randrange(1, 40))
                self.world.after(self.scenario.couriers.restart_ms, self.start, one)
        elif trouble.kind in ("kill", "lose-machine"):  # it had little to do: killed where it waits
            one.kill()
            self.world.after(self.scenario.couriers.restart_ms, self.start, one)

    def _term(self, one, trouble, lasts):
        one.signal(signal.SIGTERM)
        self.world.note("term", one.name)
        self.world.after(3700.0, self._must_end, one, one.number)

    def _must_end(self, one, number):
        if one.number == number and not one.over:
            one.kill()
        self.world.after(self.scenario.couriers.restart_ms, self.start, one)

    def _roll(self, trouble, lasts):
        """All couriers are restarted, one after the other over that time: one is told to end, the next one
        killed outright.
        """
        for place, one in enumerate(self.couriers):
            self.world.after(lasts * place / len(self.couriers), self._restart, one, place % 2 == 1)

    def _restart(self, one, outright):
        if one.over:
            return
        if not outright:
            self._term(one, None, 0.0)
            return
        one.kill()
        self.world.after(self.scenario.couriers.restart_ms, self.start, one)

    def _quiesce(self, one, trouble, lasts):
        self.operator.call(one, "quiesce", "POST")
        self.world.after(4000.0, self._emptied, one, one.number, lasts)
        self.world.after(lasts, self.operator.call, one, "resume", "POST")

    def _emptied(self, one, number, lasts):
        """What clients still hold there 4 s after the call."""
        if one.number == number and not one.over and lasts > 4000.0:
            self.world.note("emptied", one.name, len(self.clients.idle[one.name]))

    def scrape(self, one):
        """An operator's round, for as long as the run lasts; the holders' connections end and begin with
        it.
        """
        if not one.over:
            self.operator.call(one, "stats")
            for _ in range(self.scenario.couriers.holders):
                self.operator.hold(one)
        self.world.after(self.scenario.couriers.scrape_s * 1000.0, self.scrape, one)

    def _reload(self, one, trouble, lasts):
        one.disk.files["config"] = bytearray(self.config(one, self.platforms[one.name]))
        one.signal(signal.SIGHUP)

    def _bad_reload(self, one, trouble, lasts):
        whole = self.config(one, self.platforms[one.name])
        one.disk.files["config"] = bytearray(whole[: self.rng.randrange(len(whole))])
        one.signal(signal.SIGHUP)

    def _stand(self, one, trouble, lasts):
        one.stand(min(lasts, 4000.0) * trouble.size)

    def _lose_machine(self, one, trouble, lasts):
        """Process, machine and folder are gone; it comes back empty."""
        one.kill()
        self.net.vanish(self.net.machine(one.host))
        one.disk.lose()
        self.world.note("lost-machine", one.name)
        self.world.after(max(lasts, 1000.0), self._machine_back, one)

    def _machine_back(self, one):
        self.net.machine(one.host).up = True
        self.start(one)

    def _disk(self, one, lasts, **values):
        for name, value in values.items():
            before = {"room": float("inf")}.get(name, 0.0)
            setattr(one.disk, name, value)
            self.world.after(lasts, setattr, one.disk, name, before)
        self.world.note("disk", one.name, lasts)

    def _disk_full(self, one, trouble, lasts):
        self._disk(one, lasts, room=one.disk.size())

    def _disk_errors(self, one, trouble, lasts):
        self._disk(one, lasts, broken=min(1.0, trouble.size))

    def _disk_short(self, one, trouble, lasts):
        self._disk(one, lasts, short=min(1.0, trouble.size))

    def _disk_slow(self, one, trouble, lasts):
        self._disk(one, lasts, slow=trouble.size)

    def _partition(self, trouble, lasts):
        """A courier and one destination's machines cannot speak."""
        courier = self.rng.choice(self.couriers)
        one = self.rng.choice(list(self.destinations.values()))
        here = self.net.machine(courier.host)
        for endpoint in one.endpoints:
            there = self.net.machine(endpoint.host)
            self.net.cut(here, there)
            self.world.after(lasts, self.net.cut, here, there, False)

    def _net_slow(self, trouble, lasts):
        self.net.slower = max(1.0, trouble.size)
        self.world.after(lasts, setattr, self.net, "slower", 1.0)

    def _resets(self, trouble, lasts):
        """Connections to partners are reset one after the other."""
        until = self.world.now + lasts

        def one():
            ends = [
                end
                for courier in self.couriers
                for end in self.net.machine(courier.host).ends
                if end.peer is not None
                and end.connected
                and end.peer.machine.address[:5] not in ("10.7.", "10.9.")
            ]
            if ends:
                end = self.rng.choice(ends)
                self.world.note("struck", self.hosts[end.machine.address])
                end.peer.abort()
            if self.world.now < until:
                self.world.after(self.rng.expovariate(trouble.size / 100.0), one)

        one()

    def _platform_silent(self, trouble, lasts):
        for platform in self.platforms.values():
            platform.silent += 1
            platform.watchers.clear()
            self.world.after(lasts, platform.speak)

    def _platform_busy(self, trouble, lasts):
        self.registry.work = trouble.size
        self.world.after(lasts, setattr, self.registry, "work", 0.0)

    def _platform_cut(self, trouble, lasts):
        """Agents are gone: not even notices are heard."""
        for platform in self.platforms.values():
            platform.machine.listeners.clear()
            for end in list(platform.machine.ends):
                end.abort()
            self.world.after(lasts, platform.listen)
        self.world.note("agents-gone", lasts)

    def _clock(self, trouble, lasts):
        self.world.wall_step += trouble.size * 1000.0
        self.world.after(lasts, self._clock_back, trouble.size * 1000.0)

    def _clock_back(self, step):
        self.world.wall_step -= step

    # The run.

    def length(self):
        return (
            OPENING
            + self.scenario.length_s * 1000.0
            + AFTER
            + max(product.validity_s for product in self.products) * 1000.0
        )

    def play(self):
        """To its end; returns the world."""
        # what another program in this process left behind would else end, and log, in the middle of the run
        gc.collect()
        collecting = gc.isenabled()
        gc.disable()
        sink = logger.add(self.log, format=lambda record: "{message}", level="INFO", catch=False)
        try:
            self.nodes.begin()
            for courier in self.couriers:
                self.world.at(self.rng.uniform(0.0, 200.0), self.start, courier)
                if self.scenario.couriers.scrape_s:
                    self.world.at(OPENING, self.scrape, courier)
            for text in self.texts:
                courier = self.rng.choice(self.couriers)
                self.world.at(text["due"], self.clients.hand_in, text, courier)
            for trouble in self.troubles:
                self.world.at(OPENING + trouble.at_s * 1000.0, self.strike, trouble)
            self.world.run(self.length())
        finally:
            for courier in self.couriers:
                courier.kill()
            self.nodes.end()
            logger.remove(sink)
            if collecting:
                gc.enable()
        return self.world

    def log(self, message):
        """A courier's line; one with a fault behind it is noted for the referee."""
        record, process = message.record, current.process
        if (
            process is None or process not in self.couriers + self.nodes.processes
        ):  # none of this run's: another program in this process
            return
        name = process.name
        self.lines.append((self.world.now, name, record["level"].name, record["message"]))
        if record["exception"] is not None and not isinstance(record["exception"].value, OSError):
            self.world.note("fault", name, f"{record['message']}: {record['exception'].value!r}")
