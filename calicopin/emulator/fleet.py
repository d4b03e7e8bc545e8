"""The decisions alone through the same scenarios: hundreds of couriers without sockets, processes or disks.

Partners are those of the emulated network, and the referee is the same; troubles of couriers, platform and
network are passed over, as there is nothing for them to meet.
"""

import time
import zlib
from dataclasses import replace

import msgspec

from calicopin.emulator.day import CLIENTS_START_MS, arrivals, draw_troubles, settings
from calicopin.emulator.partners import NEVER, Destination, Endpoint
from calicopin.emulator.referee import Referee
from calicopin.emulator.runs import Result
from calicopin.emulator.scenario import PARTNER_TROUBLES
from calicopin.emulator.world import World
from calicopin.facade import Answer, Facade, Far, Place
from calicopin.state.texts import Text

FLEET_TROUBLES = ("refuse", "hang", "shut", "vanish", "slow", "errors", "lose", "spoil")


class Instance:
    """One courier's decisions, with the wake-up that is due for them."""

    def __init__(self, fleet, number):
        self.fleet, self.world, self.name = fleet, fleet.world, f"courier{number}"
        seed = zlib.crc32(f"{fleet.seed}/{self.name}".encode())
        self.facade = Facade(
            seed, settings(fleet.scenario, number), fleet.scenario.couriers.slots, self.world.now
        )
        self.facade.listed([replace(place) for place in fleet.places], True)
        self.due, self.serial = float("inf"), 0
        self.world.record("start", self.name)

    def turn(self):
        """What came in is decided and carried out."""
        facade, world = self.facade, self.world
        due = facade.tick(world.now)
        while back := facade.back():
            back[0].came_back(back[1])
        while facade.said():
            pass
        while call := facade.pick():
            self.fleet.call(self, call)
        while end := facade.ended():
            if end.verdict is not None:
                world.record("notice", self.name, end.text.ident, end.verdict, end.wait)
                self.fleet.noticed(end.text.ident, end.verdict, end.wait)
        if due < float("inf"):
            self.serial += 1
            world.call_at(max(due, world.now), self.wake, self.serial)

    def wake(self, serial):
        if serial == self.serial:
            self.turn()


class Fleet:
    """A scenario in fleet mode."""

    def __init__(self, scenario, seed):
        self.scenario, self.seed, self.world = scenario, seed, World(seed)
        self.rng, self.numbers, self.calls, self.open = self.world.random_stream("fleet"), {}, 0, {}
        self.destinations, self.places, self.endpoints = {}, [], {}
        for number, partner, _ in scenario.destinations():
            endpoints = [
                Endpoint(f"e{number}.{i}", "", f"z{i % partner.zones}") for i in range(partner.endpoints)
            ]
            self.destinations[number] = Destination(self.world, number, partner, scenario.rules, endpoints)
            for endpoint in endpoints:
                self.endpoints[endpoint.ident] = endpoint
                self.places.append(Place(endpoint.ident, "", number, partner.name, endpoint.zone, True, 1.0))
        self.troubles = draw_troubles(scenario, self.world)
        self.texts = arrivals(
            msgspec.structs.replace(scenario, trouble=tuple(self.troubles), mixed=None), self.world
        )
        self.asked = {}
        self.couriers = [Instance(self, number) for number in range(scenario.couriers.count)]

    def latency(self):
        low, high = self.scenario.net.partner_ms
        return low + (high - low) * self.rng.random()

    # Clients.

    def hand_in(self, text, courier):
        now = self.world.now
        if now >= text["until"] - 20.0:
            return
        tries = self.numbers[text["number"]] = self.numbers.get(text["number"], 0) + 1
        ident = f"{text['number']:x}.{tries}"
        made = Text(
            ident, text["dest"], text["product"], text["reference"], text["key"], text["until"], text["body"]
        )
        self.asked[ident] = text, courier
        self.world.record(
            "hand-in",
            ident,
            text["number"],
            courier.name,
            text["dest"],
            text["product"],
            text["key"],
            text["reference"],
            zlib.crc32(text["body"]),
            text["until"],
        )
        if courier.facade.full():
            self.world.record("answer", ident, 503)
            self.again(text, courier, courier.facade.advice(made))
            return
        self.world.record("answer", ident, 202)
        courier.facade.hand_in(made)
        courier.turn()

    def noticed(self, ident, verdict, wait):
        text, courier = self.asked[ident]
        if verdict == "bounced":
            self.again(text, courier, wait)

    def again(self, text, courier, wait):
        traffic = self.scenario.traffic
        if traffic.again != "never" and self.numbers[text["number"]] <= traffic.agains:
            heeds = self.rng.random() < traffic.honour
            self.world.call_later(
                max(wait if heeds else 0.0, self.rng.uniform(200.0, 800.0)), self.hand_in, text, courier
            )

    # Calls.

    def call(self, courier, call):
        """On its way; what ends it first is what it ends with."""
        self.calls += 1
        number, begun = self.calls, self.world.now
        self.open[number] = False  # not there yet
        for text in call.texts:
            text.went_out(begun, call.place.zone)
        self.world.call_later(self.latency(), self.arrive, number, courier, call, begun)
        self.world.call_later(
            call.timeout, self.end, number, courier, call, begun, Answer(Far.SENT, late=True), False
        )

    def arrive(self, number, courier, call, begun):
        if number not in self.open:
            return
        endpoint = self.endpoints[call.place.ident]
        one = self.destinations[call.place.dest]
        idents = tuple(text.ident for text in call.texts)
        if one.overloaded or one.active_troubles.get("refuse"):
            one.met.add(courier.name)
            self.world.call_later(
                self.latency(), self.end, number, courier, call, begun, Answer(Far.UNCONNECTED), False
            )
            return
        if one.active_troubles.get("vanish"):
            one.met.add(courier.name)
            self.world.call_later(
                self.scenario.couriers.connect_ms,
                self.end,
                number,
                courier,
                call,
                begun,
                Answer(Far.UNCONNECTED),
                False,
            )
            return
        self.open[number] = True
        texts = tuple((text.ident, text.reference, zlib.crc32(text.body)) for text in call.texts)
        self.world.record(
            "call", number, courier.name, endpoint.ident, endpoint.zone, one.number, texts, begun
        )
        reply = one.arrive(endpoint, courier.name, idents)
        if reply.processed:
            self.world.call_later(reply.processed_after_ms, self.world.record, "ran", number, reply.processed)
        if reply.delay_ms != NEVER:
            self.world.call_later(reply.delay_ms, self.reply, number, courier, call, begun, reply)

    def reply(self, number, courier, call, begun, reply):
        if number not in self.open:
            return
        lost = reply.drop_connection or reply.corrupt
        states = reply.states
        if len(call.texts) > 1 and reply.status == 200:
            states = states or {ident: "delivered" for ident in reply.processed}
        if lost:
            self.world.record("lost", number)
            answer = Answer(Far.SENT)
        else:
            self.world.record(
                "reply", number, reply.status, reply.retry_after_ms, tuple((states or {}).items())
            )
            answer = Answer(
                Far.ANSWERED,
                status=reply.status,
                wait=reply.retry_after_ms,
                load=reply.load or {},
                ends=states,
            )
        self.world.call_later(self.latency(), self.end, number, courier, call, begun, answer, not lost)

    def end(self, number, courier, call, begun, answer, heard):
        met = self.open.pop(number, None)
        if met is not None:
            if met:
                self.world.record("heard" if heard else "hung-up", number)
            courier.facade.report(call, answer, self.world.now - begun)
            courier.turn()

    # The run.

    def strike(self, trouble):
        if trouble.kind not in PARTNER_TROUBLES or trouble.kind not in (*FLEET_TROUBLES, "limit"):
            return
        kind, _, name = trouble.whom.partition(":")
        some = [
            one
            for one in self.destinations.values()
            if kind == "partner"
            and one.spec.name == name
            or kind == "destination"
            and one.number == int(name)
        ]
        for one in some or [self.rng.choice(list(self.destinations.values()))]:
            lasts = trouble.for_s * 1000.0
            self.world.record("trouble", trouble.kind, f"destination {one.number}", lasts)
            if trouble.kind == "limit":
                one.limit_factor = trouble.size
                self.world.call_later(lasts, setattr, one, "limit_factor", 1.0)
            else:
                one.begin_trouble(trouble.kind, trouble.size)
                one.shut_until = max(one.shut_until, self.world.now + lasts)
                self.world.call_later(lasts, one.end_trouble, trouble.kind)

    def play(self):
        for courier in self.couriers:
            courier.turn()
        for text in self.texts:
            self.world.call_at(text["due"], self.hand_in, text, self.rng.choice(self.couriers))
        for trouble in self.troubles:
            self.world.call_at(CLIENTS_START_MS + trouble.at_s * 1000.0, self.strike, trouble)
        last = max(product.validity_s for product in self.scenario.product) * 1000.0
        self.world.run(CLIENTS_START_MS + self.scenario.length_s * 1000.0 + last + 1500.0)


def play(scenario, seed, couriers=None, texts=None):
    """One run in fleet mode, judged."""
    if couriers is not None:
        scenario = msgspec.structs.replace(
            scenario, couriers=msgspec.structs.replace(scenario.couriers, count=couriers)
        )
    if texts is not None:
        scenario = msgspec.structs.replace(
            scenario, traffic=msgspec.structs.replace(scenario.traffic, texts=texts)
        )
    began = time.process_time()
    fleet = Fleet(scenario, seed)
    fleet.play()
    cpu = time.process_time() - began
    referee = Referee(fleet)
    return Result(
        scenario.name,
        seed,
        fleet.world.digest(),
        fleet.world.now / 1000.0,
        cpu,
        referee.breaks,
        referee.figures(),
        fleet.world.events_run,
    )
