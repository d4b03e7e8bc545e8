"""Fleet mode: the decision logic alone through the same scenarios, for hundreds of couriers without sockets,
processes or disks.

Partners and referee are those of the emulated network. Troubles of couriers, platform and network are
skipped, since there is nothing that they could affect.
"""

import time
import zlib
from dataclasses import replace

import msgspec

from calicopin.emulator.partners import NEVER, Destination, Endpoint
from calicopin.emulator.referee import Referee
from calicopin.emulator.runs import Result
from calicopin.emulator.scenario import PARTNER_TROUBLES
from calicopin.emulator.simulation import CLIENTS_START_MS, arrivals, draw_troubles, settings
from calicopin.emulator.world import World
from calicopin.facade import CallProgress, CallResult, Facade, Place
from calicopin.state.texts import Text

FLEET_TROUBLES = ("refuse", "hang", "shut", "vanish", "slow", "errors", "lose", "spoil")


class CourierInstance:
    """The decision logic of one courier and its next wake-up."""

    def __init__(self, fleet, number):
        self.fleet, self.world, self.name = fleet, fleet.world, f"courier{number}"
        seed = zlib.crc32(f"{fleet.seed}/{self.name}".encode())
        self.facade = Facade(
            seed, settings(fleet.scenario, number), fleet.scenario.couriers.slots, self.world.now
        )
        self.facade.update_list([replace(place) for place in fleet.places], True)
        self.next_due, self.wake_serial = float("inf"), 0
        self.world.record("start", self.name)

    def process(self):
        """Decides on pending input and carries the decisions out."""
        facade, world = self.facade, self.world
        due = facade.tick(world.now)
        while returned := facade.next_returned_text():
            returned[0].mark_ended(returned[1])
        while facade.next_log_line():
            pass
        while call := facade.next_call():
            self.fleet.call(self, call)
        while end := facade.next_final_answer():
            if end.verdict is not None:
                world.record("notice", self.name, end.text.ident, end.verdict, end.wait)
                self.fleet.on_notice(end.text.ident, end.verdict, end.wait)
        if due < float("inf"):
            self.wake_serial += 1
            world.call_at(max(due, world.now), self.wake, self.wake_serial)

    def wake(self, wake_serial):
        """Processes what is due, unless a later wake-up has been scheduled."""
        if wake_serial == self.wake_serial:
            self.process()


class Fleet:
    """A scenario in fleet mode."""

    def __init__(self, scenario, seed):
        self.scenario, self.seed, self.world = scenario, seed, World(seed)
        self.rng, self.attempts, self.call_count, self.open_calls = (
            self.world.random_stream("fleet"),
            {},
            0,
            {},
        )
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
        self.submissions = {}
        self.couriers = [CourierInstance(self, number) for number in range(scenario.couriers.count)]

    def latency(self):
        """Draws the latency to a partner in ms."""
        low, high = self.scenario.net.partner_ms
        return low + (high - low) * self.rng.random()

    # Clients.

    def send_text(self, text, courier):
        """Submits a text to a courier."""
        now = self.world.now
        if now >= text["until"] - 20.0:
            return
        attempt = self.attempts[text["number"]] = self.attempts.get(text["number"], 0) + 1
        ident = f"{text['number']:x}.{attempt}"
        message = Text(
            ident, text["dest"], text["product"], text["reference"], text["key"], text["until"], text["body"]
        )
        self.submissions[ident] = text, courier
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
            self.retry(text, courier, courier.facade.retry_after(message))
            return
        self.world.record("answer", ident, 202)
        courier.facade.add_text(message)
        courier.process()

    def on_notice(self, ident, verdict, wait):
        """A notice has arrived; a text that had no effect is submitted again."""
        text, courier = self.submissions[ident]
        if verdict == "bounced":
            self.retry(text, courier, wait)

    def retry(self, text, courier, wait):
        """Submits the text again after `wait` ms or more, if the scenario says so."""
        traffic = self.scenario.traffic
        if traffic.again != "never" and self.attempts[text["number"]] <= traffic.agains:
            honours_wait = self.rng.random() < traffic.honour
            self.world.call_later(
                max(wait if honours_wait else 0.0, self.rng.uniform(200.0, 800.0)),
                self.send_text,
                text,
                courier,
            )

    # Calls.

    def call(self, courier, call):
        """Starts a call; it ends with its answer or its time-out, whichever is first."""
        self.call_count += 1
        number, started_at = self.call_count, self.world.now
        self.open_calls[number] = False  # not yet arrived
        for text in call.texts:
            text.mark_sent(started_at, call.place.zone)
        self.world.call_later(self.latency(), self.arrive, number, courier, call, started_at)
        self.world.call_later(
            call.timeout,
            self.end,
            number,
            courier,
            call,
            started_at,
            CallResult(CallProgress.SENT, timed_out=True),
            False,
        )

    def arrive(self, number, courier, call, started_at):
        """The call reaches the destination."""
        if number not in self.open_calls:
            return
        endpoint = self.endpoints[call.place.ident]
        destination = self.destinations[call.place.dest]
        idents = tuple(text.ident for text in call.texts)
        if destination.overloaded or destination.active_troubles.get("refuse"):
            destination.couriers_in_outage.add(courier.name)
            self.world.call_later(
                self.latency(),
                self.end,
                number,
                courier,
                call,
                started_at,
                CallResult(CallProgress.UNCONNECTED),
                False,
            )
            return
        if destination.active_troubles.get("vanish"):
            destination.couriers_in_outage.add(courier.name)
            self.world.call_later(
                self.scenario.couriers.connect_ms,
                self.end,
                number,
                courier,
                call,
                started_at,
                CallResult(CallProgress.UNCONNECTED),
                False,
            )
            return
        self.open_calls[number] = True
        texts = tuple((text.ident, text.reference, zlib.crc32(text.body)) for text in call.texts)
        self.world.record(
            "call", number, courier.name, endpoint.ident, endpoint.zone, destination.number, texts, started_at
        )
        reply = destination.handle_call(endpoint, courier.name, idents)
        if reply.processed:
            self.world.call_later(reply.processed_after_ms, self.world.record, "ran", number, reply.processed)
        if reply.delay_ms != NEVER:
            self.world.call_later(reply.delay_ms, self.reply, number, courier, call, started_at, reply)

    def reply(self, number, courier, call, started_at, reply):
        """The destination answers."""
        if number not in self.open_calls:
            return
        lost = reply.drop_connection or reply.corrupt
        states = reply.states
        if len(call.texts) > 1 and reply.status == 200:
            states = states or {ident: "delivered" for ident in reply.processed}
        if lost:
            self.world.record("lost", number)
            answer = CallResult(CallProgress.SENT)
        else:
            self.world.record(
                "reply", number, reply.status, reply.retry_after_ms, tuple((states or {}).items())
            )
            answer = CallResult(
                CallProgress.ANSWERED,
                status=reply.status,
                wait=reply.retry_after_ms,
                load=reply.load or {},
                text_states=states,
            )
        self.world.call_later(self.latency(), self.end, number, courier, call, started_at, answer, not lost)

    def end(self, number, courier, call, started_at, answer, answer_read):
        """Reports the outcome of a call to the courier, once."""
        arrived = self.open_calls.pop(number, None)
        if arrived is not None:
            if arrived:
                self.world.record("heard" if answer_read else "hung-up", number)
            courier.facade.report(call, answer, self.world.now - started_at)
            courier.process()

    # The run.

    def begin_trouble(self, trouble):
        """Starts a trouble of partners."""
        if trouble.kind not in PARTNER_TROUBLES or trouble.kind not in (*FLEET_TROUBLES, "limit"):
            return
        kind, _, name = trouble.whom.partition(":")
        targets = [
            destination
            for destination in self.destinations.values()
            if kind == "partner"
            and destination.spec.name == name
            or kind == "destination"
            and destination.number == int(name)
        ]
        for destination in targets or [self.rng.choice(list(self.destinations.values()))]:
            duration = trouble.for_s * 1000.0
            self.world.record("trouble", trouble.kind, f"destination {destination.number}", duration)
            if trouble.kind == "limit":
                destination.limit_factor = trouble.size
                self.world.call_later(duration, setattr, destination, "limit_factor", 1.0)
            else:
                destination.begin_trouble(trouble.kind, trouble.size)
                destination.shut_until = max(destination.shut_until, self.world.now + duration)
                self.world.call_later(duration, destination.end_trouble, trouble.kind)

    def play(self):
        """Plays the run to its end."""
        for courier in self.couriers:
            courier.process()
        for text in self.texts:
            self.world.call_at(text["due"], self.send_text, text, self.rng.choice(self.couriers))
        for trouble in self.troubles:
            self.world.call_at(CLIENTS_START_MS + trouble.at_s * 1000.0, self.begin_trouble, trouble)
        longest_validity_ms = max(product.validity_s for product in self.scenario.product) * 1000.0
        self.world.run(CLIENTS_START_MS + self.scenario.length_s * 1000.0 + longest_validity_ms + 1500.0)


def play(scenario, seed, couriers=None, texts=None):
    """Plays and judges one run in fleet mode."""
    if couriers is not None:
        scenario = msgspec.structs.replace(
            scenario, couriers=msgspec.structs.replace(scenario.couriers, count=couriers)
        )
    if texts is not None:
        scenario = msgspec.structs.replace(
            scenario, traffic=msgspec.structs.replace(scenario.traffic, texts=texts)
        )
    started = time.process_time()
    fleet = Fleet(scenario, seed)
    fleet.play()
    cpu = time.process_time() - started
    referee = Referee(fleet)
    return Result(
        scenario.name,
        seed,
        fleet.world.digest(),
        fleet.world.now / 1000.0,
        cpu,
        referee.violations,
        referee.figures(),
        fleet.world.events_run,
    )
