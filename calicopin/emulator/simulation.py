"""One run: the parties of a scenario in one world, with their traffic and troubles, played to the end."""

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
from calicopin.emulator.standins import Clients, DiscoveryService, Operator, Partners, PlatformAgent
from calicopin.emulator.world import World

CLIENTS_START_MS = 1000.0  # time for the couriers to start
RUN_OUT_MS = 1500.0  # after the end of the last validity period
IDEMPOTENCY_OF_REPEAT = {
    "resendable": "read_like",
    "referenced": "idempotency_key",
    "once-only": "non_idempotent",
}


def settings(scenario, number):
    """The settings of one courier, in the form in which the platform gives them."""
    couriers, rules = scenario.couriers, scenario.rules
    grades = [
        dict(
            name=product.name,
            idempotency=IDEMPOTENCY_OF_REPEAT[product.repeat],
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


def traffic_shares(scenario):
    """The share of the traffic that each destination gets."""
    weights = [
        (partner.share / partner.destinations * (rank + 1) ** -scenario.traffic.tail)
        for _, partner, rank in scenario.destinations()
    ]
    return [share / sum(weights) for share in weights]


def arrivals(scenario, world):
    """The texts of a run in the order in which they are due; they don't depend on what the couriers do."""
    traffic, rng = scenario.traffic, world.random_stream("traffic")
    weights, now, number, texts = traffic_shares(scenario), 0.0, 0, []
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
        target = None
        for burst in bursts:
            if burst.at_s * 1000.0 <= now < (burst.at_s + burst.for_s) * 1000.0:
                rate *= 1.0 + burst.size
                if burst.kind == "clump" and rng.random() < burst.size / (1.0 + burst.size):
                    kind, _, name = burst.whom.partition(":")
                    target = int(name) if kind == "destination" else 0
        now += rng.expovariate(rate / 1000.0)
        if now >= scenario.length_s * 1000.0:
            return texts
        product = rng.choices(range(len(products)), mix)[0]
        dest = target if target is not None else rng.choices(range(len(weights)), weights)[0]
        kind = products[product]
        key = f"k{rng.randrange(kind.keys)}" if kind.in_order else None
        reference = f"r{number:08x}" if kind.repeat == "referenced" else None
        low, high = traffic.body
        body = b"%d:" % number + bytes(rng.randrange(low, high + 1))
        texts.append(
            dict(
                number=number,
                dest=dest,
                product=product,
                key=key,
                reference=reference,
                body=body,
                due=CLIENTS_START_MS + now,
                until=CLIENTS_START_MS + now + kind.validity_s * 1000.0,
            )
        )
        number += 1


def draw_troubles(scenario, world):
    """The troubles of a run: those of the scenario and those drawn by the seed."""
    troubles = list(scenario.trouble)
    if scenario.mixed:
        rng = world.random_stream("troubles")
        for _ in range(scenario.mixed.troubles):
            kind = rng.choice(scenario.mixed.kinds)
            begin_s = rng.uniform(0.05, 0.8) * scenario.length_s
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
            troubles.append(
                Trouble(kind=kind, at_s=round(begin_s, 3), for_s=round(rng.uniform(1.0, 9.0), 3), size=size)
            )
    return sorted(troubles, key=lambda trouble: trouble.at_s)


class Simulation:
    """A scenario and a seed, run by `play`; the trace is in `world.trace`.

    `begin` is the program under test. `kills` are the system calls, by number, in which successive processes
    of the first courier are killed.
    """

    def __init__(self, scenario, seed, begin, troubles=None, texts=None, kills=()):
        self.scenario, self.seed, self.world = scenario, seed, World(seed)
        world, network_settings = self.world, scenario.net
        self.net = Network(
            world,
            network_settings.latency_ms,
            network_settings.bandwidth_mb_s * 1000.0,
            network_settings.pieces,
        )
        self.net.far_latency_range, self.net.far_prefixes = (
            network_settings.partner_ms,
            tuple(
                f"10.{octet}."
                for octet in (
                    6,
                    *range(
                        10,
                        11
                        + sum(make.destinations for make in scenario.partner) // 200
                        + 40 * (max(make.endpoints for make in scenario.partner) // 250),
                    ),
                )
            ),
        )
        self.rng = world.random_stream("day")
        self.troubles = draw_troubles(scenario, world) if troubles is None else list(troubles)
        scenario_with_troubles = msgspec.structs.replace(scenario, trouble=tuple(self.troubles), mixed=None)
        self.texts = arrivals(scenario_with_troubles, world) if texts is None else texts
        self.products = scenario.product
        self.partners = Partners(
            world, self.net, lambda end: self.courier_by_host.get(end.peer.machine.address, "nobody")
        )
        self.destinations, self.server_list = {}, {}
        for number, partner, _ in scenario.destinations():
            self._destination(number, partner)
        self.courier_by_host, self.couriers, self.platforms, self.discovery = {}, [], {}, DiscoveryService()
        self.nodes = Nodes(self)
        for number in range(scenario.couriers.count):
            self._courier(number, begin)
        self.clients = Clients(world, self.net, scenario.traffic, self.products, self.couriers)
        self.clients.load_balanced = scenario.couriers.front
        self.operator = Operator(world, self.net)
        self.endpoints_created, self.log_lines = len(self.server_list), []
        if kills:
            self.couriers[0].planned_kills.extend(kills)
            self.couriers[0].on_killed_in_call = lambda courier: world.call_later(
                scenario.couriers.restart_ms, self.start, courier
            )

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
            self.server_list[endpoint.ident] = self._entry(endpoint, destination)

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
            self.world.random_stream(name),
            couriers.pass_ms,
            couriers.short,
        )
        process.slot_number = number
        late = tuple(self.scenario.platform.late_ms)
        self.platforms[name] = platform = PlatformAgent(
            self.world,
            self.net,
            name,
            agent,
            self.server_list,
            late,
            self.world.random_stream(f"{name} agent"),
            self.discovery,
        )
        platform.on_notice = lambda *notice: self.clients.on_notice(*notice)
        self.courier_by_host[host] = name
        self.couriers.append(process)
        process.config = self.config(process, platform)
        process.initial_list = platform.snapshot()

    def config(self, process, platform, **other):
        """The configuration file of a courier."""
        couriers, seed = (
            self.scenario.couriers,
            zlib.crc32(f"{self.seed}/{process.name}/{process.start_count}".encode()),
        )
        config = {
            "name": process.name,
            "listen": process.environ["LB_LISTEN"],
            "seed": f"{seed:x}",
            "discovery": process.environ["LB_DISCOVERY"],
            "limits": {"sockets": couriers.descriptors, "disk_mb": couriers.disk_mb},
            "known": platform.snapshot(),
            "settings": settings(self.scenario, process.slot_number),
            "store": couriers.store,
        }
        return json.dumps(config | self.nodes.courier_settings() | other).encode()

    def start(self, process):
        """Writes the configuration and starts a courier that has ended."""
        if process.ended:
            platform = self.platforms[process.name]
            stale = self.scenario.platform.stale and self.rng.random() < self.scenario.platform.stale
            process.disk.files["config"] = bytearray(
                self.config(process, platform, **({"known": process.initial_list} if stale else {}))
            )
            process.disk.capacity = float("inf")
            process.start()
            self.world.call_later(1.0, self.check_ready, process, process.start_count)

    def check_ready(self, process, number):
        """Records when the courier listens, as the platform's readiness check would see it."""
        if process.start_count == number and not process.ended:
            if 5000 in self.net.machine(process.host).listeners:
                self.world.record("ready", process.name)
            else:
                self.world.call_later(5.0, self.check_ready, process, number)

    # Troubles: each handler is named after its kind.

    def targets(self, trouble):
        """The destinations or couriers that a trouble affects."""
        kind, _, name = trouble.whom.partition(":")
        if trouble.kind in PARTNER_TROUBLES or trouble.kind in ("publish", "withdraw"):
            if kind == "partner":
                return [
                    destination for destination in self.destinations.values() if destination.spec.name == name
                ]
            return [
                self.destinations[int(name)]
                if kind == "destination"
                else self.rng.choice(list(self.destinations.values()))
            ]
        if kind == "courier":
            return [self.couriers[int(name)]]
        return [self.rng.choice(self.couriers)]

    def begin_trouble(self, trouble):
        """Starts a trouble with the handler named after its kind."""
        if trouble.kind in ("burst", "clump"):  # already part of the traffic
            return
        if trouble.kind in SUBSCRIPTION_TROUBLES:
            self.nodes.begin_trouble(trouble)
            return
        handler, duration = trouble.kind.replace("-", "_"), trouble.for_s * 1000.0
        if trouble.kind in PARTNER_TROUBLES:
            for destination in self.targets(trouble):
                self.world.record("trouble", trouble.kind, f"destination {destination.number}", duration)
                getattr(self, f"_{handler}", self._set_mode)(destination, trouble, duration)
        elif trouble.kind in COURIER_TROUBLES:
            for courier in self.targets(trouble):
                self.world.record("trouble", trouble.kind, courier.name, duration)
                getattr(self, f"_{handler}")(courier, trouble, duration)
        else:
            self.world.record("trouble", trouble.kind, trouble.whom, duration)
            getattr(self, f"_{handler}")(trouble, duration)

    def _set_mode(self, destination, trouble, duration):
        destination.begin_trouble(trouble.kind, trouble.size)
        if trouble.kind == "refuse":
            for endpoint in destination.endpoints:
                self.partners.reset_connections(endpoint)
        destination.shut_until = max(destination.shut_until, self.world.now + duration)
        self.world.call_later(duration, destination.end_trouble, trouble.kind)

    def _limit(self, destination, trouble, duration):
        destination.limit_factor = trouble.size
        self.world.call_later(duration, setattr, destination, "limit_factor", 1.0)

    def _vanish(self, destination, trouble, duration):
        destination.begin_trouble("vanish")
        for endpoint in destination.endpoints:
            self.net.take_down(self.net.machine(endpoint.host))
        self.world.call_later(duration, self._end_vanish, destination)

    def _end_vanish(self, destination):
        for endpoint in destination.endpoints:
            self.net.machine(endpoint.host).up = True
            self.partners.listen(destination, endpoint)
        destination.end_trouble("vanish")

    def _stall_some(self, destination, trouble, duration):
        endpoint = self.rng.choice(destination.endpoints)
        endpoint.stalled = True
        self.world.call_later(duration, setattr, endpoint, "stalled", False)

    def _drain(self, destination, trouble, duration):
        """Announces that an endpoint leaves; it has left 6 s after the trouble's time."""
        endpoint = self.rng.choice(destination.endpoints)
        if endpoint.state != "active" or sum(e.state == "active" for e in destination.endpoints) < 2:
            return
        endpoint.state = "leaving"
        self.announce(destination, endpoint, "leaving")
        self.world.call_later(duration + 6000.0, self._remove_endpoint, destination, endpoint)

    def _remove_endpoint(self, destination, endpoint):
        self.announce(destination, endpoint, "left")
        destination.endpoints.remove(endpoint)

    def _replace(self, destination, trouble, duration):
        self.endpoints_created += 1
        endpoint = Endpoint(
            f"e{destination.number}.n{self.endpoints_created}",
            f"10.6.{self.endpoints_created // 200}.{self.endpoints_created % 200}",
            f"z{self.endpoints_created % destination.spec.zones}",
        )
        destination.endpoints.append(endpoint)
        self.partners.listen(destination, endpoint)
        self.announce(destination, endpoint, "active")
        self._drain(destination, trouble, duration)

    def announce(self, destination, endpoint, state):
        """Publishes a change of the list to all agents and nodes."""
        for platform in self.platforms.values():
            platform.publish_change(self._entry(endpoint, destination, state))
        self.nodes.source.change(self._entry(endpoint, destination, state))

    def _kill(self, courier, trouble, duration):
        """Kills the courier in one of its next 400 system calls."""
        courier.kill_after_calls(self.rng.randrange(1, 400))
        self.world.call_later(
            max(duration, self.scenario.couriers.restart_ms), self._restart_killed, courier, trouble
        )

    def _restart_killed(self, courier, trouble):
        if courier.ended:
            self.start(courier)
            if trouble.size >= 2.0 and trouble.kind == "kill":  # killed again during recovery
                courier.kill_after_calls(self.rng.randrange(1, 40))
                self.world.call_later(self.scenario.couriers.restart_ms, self.start, courier)
        elif trouble.kind in ("kill", "lose-machine"):  # too few system calls: killed while waiting
            courier.kill()
            self.world.call_later(self.scenario.couriers.restart_ms, self.start, courier)

    def _term(self, courier, trouble, duration):
        courier.signal(signal.SIGTERM)
        self.world.record("term", courier.name)
        self.world.call_later(3700.0, self._kill_if_running, courier, courier.start_count)

    def _kill_if_running(self, courier, number):
        if courier.start_count == number and not courier.ended:
            courier.kill()
        self.world.call_later(self.scenario.couriers.restart_ms, self.start, courier)

    def _roll(self, trouble, duration):
        """Restarts all couriers one after the other: every second one is killed, the others get SIGTERM."""
        for place, courier in enumerate(self.couriers):
            self.world.call_later(
                duration * place / len(self.couriers), self._restart, courier, place % 2 == 1
            )

    def _restart(self, courier, outright):
        if courier.ended:
            return
        if not outright:
            self._term(courier, None, 0.0)
            return
        courier.kill()
        self.world.call_later(self.scenario.couriers.restart_ms, self.start, courier)

    def _quiesce(self, courier, trouble, duration):
        self.operator.call(courier, "quiesce", "POST")
        self.world.call_later(4000.0, self._record_idle_connections, courier, courier.start_count, duration)
        self.world.call_later(duration, self.operator.call, courier, "resume", "POST")

    def _record_idle_connections(self, courier, number, duration):
        """Records how many connections clients hold to the courier 4 s after it was told to drain."""
        if courier.start_count == number and not courier.ended and duration > 4000.0:
            self.world.record("emptied", courier.name, len(self.clients.idle[courier.name]))

    def scrape(self, courier):
        """An operator's round, repeated until the end: reads the statistics, renews the held connections."""
        if not courier.ended:
            self.operator.call(courier, "stats")
            for _ in range(self.scenario.couriers.holders):
                self.operator.hold_connection(courier)
        self.world.call_later(self.scenario.couriers.scrape_s * 1000.0, self.scrape, courier)

    def _reload(self, courier, trouble, duration):
        courier.disk.files["config"] = bytearray(self.config(courier, self.platforms[courier.name]))
        courier.signal(signal.SIGHUP)

    def _bad_reload(self, courier, trouble, duration):
        config = self.config(courier, self.platforms[courier.name])
        courier.disk.files["config"] = bytearray(config[: self.rng.randrange(len(config))])
        courier.signal(signal.SIGHUP)

    def _stand(self, courier, trouble, duration):
        courier.suspend(min(duration, 4000.0) * trouble.size)

    def _lose_machine(self, courier, trouble, duration):
        """The machine is lost with its process and files, and comes back empty."""
        courier.kill()
        self.net.take_down(self.net.machine(courier.host))
        courier.disk.clear()
        self.world.record("lost-machine", courier.name)
        self.world.call_later(max(duration, 1000.0), self._restore_machine, courier)

    def _restore_machine(self, courier):
        self.net.machine(courier.host).up = True
        self.start(courier)

    def _disk(self, courier, duration, **values):
        for name, value in values.items():
            normal = {"capacity": float("inf")}.get(name, 0.0)
            setattr(courier.disk, name, value)
            self.world.call_later(duration, setattr, courier.disk, name, normal)
        self.world.record("disk", courier.name, duration)

    def _disk_full(self, courier, trouble, duration):
        self._disk(courier, duration, capacity=courier.disk.size())

    def _disk_errors(self, courier, trouble, duration):
        self._disk(courier, duration, error_odds=min(1.0, trouble.size))

    def _disk_short(self, courier, trouble, duration):
        self._disk(courier, duration, short_write_odds=min(1.0, trouble.size))

    def _disk_slow(self, courier, trouble, duration):
        self._disk(courier, duration, write_delay_ms=trouble.size)

    def _partition(self, trouble, duration):
        """Cuts a courier off from all endpoints of one destination."""
        courier = self.rng.choice(self.couriers)
        destination = self.rng.choice(list(self.destinations.values()))
        here = self.net.machine(courier.host)
        for endpoint in destination.endpoints:
            there = self.net.machine(endpoint.host)
            self.net.set_partition(here, there)
            self.world.call_later(duration, self.net.set_partition, here, there, False)

    def _net_slow(self, trouble, duration):
        self.net.latency_factor = max(1.0, trouble.size)
        self.world.call_later(duration, setattr, self.net, "latency_factor", 1.0)

    def _resets(self, trouble, duration):
        """Resets connections to partners, one after the other."""
        until = self.world.now + duration

        def reset_next():
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
                self.world.record("struck", self.courier_by_host[end.machine.address])
                end.peer.abort()
            if self.world.now < until:
                self.world.call_later(self.rng.expovariate(trouble.size / 100.0), reset_next)

        reset_next()

    def _platform_silent(self, trouble, duration):
        for platform in self.platforms.values():
            platform.silence_count += 1
            platform.watchers.clear()
            self.world.call_later(duration, platform.end_silence)

    def _platform_busy(self, trouble, duration):
        self.discovery.work_ms = trouble.size
        self.world.call_later(duration, setattr, self.discovery, "work_ms", 0.0)

    def _platform_cut(self, trouble, duration):
        """The agents stop listening: no list and no notices get through."""
        for platform in self.platforms.values():
            platform.machine.listeners.clear()
            for end in list(platform.machine.ends):
                end.abort()
            self.world.call_later(duration, platform.listen)
        self.world.record("agents-gone", duration)

    def _clock(self, trouble, duration):
        self.world.wall_clock_offset += trouble.size * 1000.0
        self.world.call_later(duration, self._restore_clock, trouble.size * 1000.0)

    def _restore_clock(self, step):
        self.world.wall_clock_offset -= step

    # The run.

    def length_ms(self):
        """How long the run lasts, in ms."""
        return (
            CLIENTS_START_MS
            + self.scenario.length_s * 1000.0
            + RUN_OUT_MS
            + max(product.validity_s for product in self.products) * 1000.0
        )

    def play(self):
        """Plays the run to its end and returns the world."""
        # collects objects of earlier runs now: their finalizers would log during this one
        gc.collect()
        collecting = gc.isenabled()
        gc.disable()
        sink = logger.add(self.log, format=lambda record: "{message}", level="INFO", catch=False)
        try:
            self.nodes.begin()
            for courier in self.couriers:
                self.world.call_at(self.rng.uniform(0.0, 200.0), self.start, courier)
                if self.scenario.couriers.scrape_s:
                    self.world.call_at(CLIENTS_START_MS, self.scrape, courier)
            for text in self.texts:
                courier = self.rng.choice(self.couriers)
                self.world.call_at(text["due"], self.clients.send_text, text, courier)
            for trouble in self.troubles:
                self.world.call_at(CLIENTS_START_MS + trouble.at_s * 1000.0, self.begin_trouble, trouble)
            self.world.run(self.length_ms())
        finally:
            for courier in self.couriers:
                courier.kill()
            self.nodes.end()
            logger.remove(sink)
            if collecting:
                gc.enable()
        return self.world

    def log(self, message):
        """Keeps a courier's log line; exceptions other than OSError are recorded for the referee."""
        record, process = message.record, current.process
        # lines of anything else in this interpreter are not part of the run
        if process is None or process not in self.couriers + self.nodes.processes:
            return
        name = process.name
        self.log_lines.append((self.world.now, name, record["level"].name, record["message"]))
        if record["exception"] is not None and not isinstance(record["exception"].value, OSError):
            self.world.record("fault", name, f"{record['message']}: {record['exception'].value!r}")
