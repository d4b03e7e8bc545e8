"""Discovery nodes of a run: the real node program on emulated files and sockets, the source of the list, and
their troubles.

Each node reads a source file of its own, to which the changes of the one list are appended with a delay of
their own. Trace entries for the referee: `source` (a change is in a node's file), `answered` (a courier has
read an answer), `cut-off` (a courier and a node cannot reach each other).
"""

import json
import random
import signal
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial

import httptools

from calicopin.discovery_node.node import NodeSettings, run
from calicopin.emulator.net import End
from calicopin.emulator.process import Handle, ListeningSocket, Process, SystemCalls
from calicopin.emulator.scenario import Trouble
from calicopin.emulator.standins import MessageParser
from calicopin.lifecycle import courier_subscription as subscription_module
from calicopin.subscription.leases import LeaseBounds
from calicopin.wire.subscriber import Subscriber

FLEET = "emulated"
PORT = 7400
SOURCE = "list.log"
START_WITHIN_MS = 50.0
LEFT_AFTER_MS = 6000.0  # from the announcement of a leave to the leave
DESCRIPTORS = 1000
SOURCE_FIELDS = ("form", "fleet", "id", "addr", "cell", "kind", "zone", "state", "weight")


@dataclass(frozen=True, slots=True)
class FileStatus:
    """The fields of `os.stat_result` that a node reads."""

    st_dev: int
    st_ino: int
    st_size: int
    st_mtime_ns: int


class SourceHandle(Handle):
    """An open source file; it stays the same when another file is renamed into its place."""

    def __init__(self, data: bytearray, number: int):
        self.data, self.number = data, number

    def status(self) -> FileStatus:
        """Its present status."""
        return FileStatus(1, self.number, len(self.data), 0)


class NodeSystemCalls(SystemCalls):
    """The system calls of a node: those of a courier, files opened for reading, and monitored connections."""

    def listen(self, _, port):
        """A listening socket whose answers are recorded once they have been read."""
        self.enter("listen")
        return WatchedListeningSocket(self, port)

    def open_to_read(self, path):
        """Opens a file and returns its descriptor. Raises FileNotFoundError."""
        self.enter("open")
        self.process.disk.read(path)  # raises FileNotFoundError
        handle = SourceHandle(self.process.disk.files[path], self.process.file_number)
        handle.calls, handle.fd = self, self.take_fd(handle)
        return handle.fd

    def status(self, path):
        """The status of the file of that name."""
        self.enter("stat")
        self.process.disk.read(path)
        return SourceHandle(self.process.disk.files[path], self.process.file_number).status()

    def open_status(self, file):
        """The status of an open file."""
        self.enter("fstat")
        return self.handles[file].status()

    def read_at(self, file, size, offset):
        """Reads from an open file at an offset."""
        self.enter("pread")
        return bytes(self.handles[file].data[offset : offset + size])

    def token(self, size):
        """A random token of `size` bytes, drawn by the seed."""
        return self.process.rng.randbytes(size).hex()


class WatchedListeningSocket(ListeningSocket):
    """A node's listening socket."""

    def on_connection(self, end):
        """Accepts a connection and monitors the answers on it."""
        accepted = super().on_connection(end)
        if accepted:
            AnswerMonitor(self.calls.process, end)
        return accepted


class AnswerMonitor:
    """Parses both directions of one connection: what the courier unsubscribes from with a request, and an
    answer once the courier has read all of it.
    """

    def __init__(self, node: "NodeProcess", end: End):
        self.node, self.end, self.node_send, self.host = node, end, end.send, end.peer.machine.address
        self.answer_parser = MessageParser(httptools.HttpResponseParser, self._on_answer_parsed)
        self.answers: list[dict] = []
        end.send = self._node_sent
        self.request_parser = MessageParser(httptools.HttpRequestParser, self._on_request_parsed)
        self.client_send, end.peer.send = end.peer.send, self._client_sent

    def _client_sent(self, data, on_read=None):
        self.request_parser.feed(data)
        self.client_send(data, on_read)

    def _on_request_parsed(self, message, body, started_at):
        self.node.on_request(self.host, json.loads(body)["subscription"])

    def _node_sent(self, data, on_read=None):
        self.answer_parser.feed(data)
        answers, self.answers = self.answers, []
        if answers and self.node.drops_answer():
            self.end.abort()
            return
        if answers:
            on_read = partial(self._answers_read, answers)
        self.node_send(data, on_read)

    def _on_answer_parsed(self, message, body, started_at):
        if message.parser.get_status_code() == 200:
            self.answers.append(json.loads(body))

    def _answers_read(self, answers: list[dict]):
        for answer in answers:
            self.node.on_answer(self.node.name, self.host, answer)


class NodeProcess(Process):
    """A node's machine and the process on it; `file_number` is the inode of its source."""

    system_calls_type = NodeSystemCalls
    file_number = 1
    answer_loss_odds = 0.0

    def drops_answer(self) -> bool:
        """Whether the answer that is due now is lost with its connection."""
        return self.answer_loss_odds > 0.0 and self.rng.random() < self.answer_loss_odds

    def write_source(self, data: bytes):
        """Renames a new file into the place of the source."""
        self.file_number += 1
        self.disk.files[SOURCE] = bytearray(data)

    def append_source(self, line: bytes):
        """Appends a line to the source."""
        self.disk.files[SOURCE].extend(line)


class ListSource:
    """The list as the platform has it, written to each node's source; `entries` by endpoint."""

    def __init__(
        self, world, processes: list[NodeProcess], entries: dict[str, dict], delay_range, rng: random.Random
    ):
        self.world, self.processes, self.entries = world, processes, entries
        self.delay_range, self.rng, self.change_count = delay_range, rng, 0
        # when the last change reaches each node, which gets the changes in order
        self.last_arrival = [0.0] * len(processes)
        for process in processes:
            process.write_source(self.encode_all())

    def encode_all(self) -> bytes:
        """A source file with the whole list."""
        header = {"form": 1, "fleet": FLEET}
        return b"".join(encode(line) for line in (header, *self.entries.values()))

    def change(self, entry: dict):
        """Publishes a changed entry; it reaches each node after a delay, in order."""
        self.change_count += 1
        if entry["state"] == "left":
            self.entries.pop(entry["id"], None)
        else:
            self.entries[entry["id"]] = dict(entry)
        low, high = self.delay_range
        for number, process in enumerate(self.processes):
            at = max(self.last_arrival[number], self.world.now + low + (high - low) * self.rng.random())
            self.last_arrival[number] = at
            self.world.call_at(at, self._append, process, self.change_count, dict(entry))

    def replace(self):
        """Replaces each node's source by a file without history, once all changes so far are in it."""
        content = self.encode_all()
        for number, process in enumerate(self.processes):
            self.world.call_at(max(self.last_arrival[number], self.world.now), process.write_source, content)

    def _append(self, process: NodeProcess, serial: int, entry: dict):
        process.append_source(encode(entry))
        self.world.record(
            "source", serial, process.name, entry["id"], entry["cell"], entry["state"], len(self.processes)
        )


def encode(line: dict) -> bytes:
    """One line of a source, with the fields that a source may have, in their order."""
    fields = {name: line[name] for name in SOURCE_FIELDS if name in line}
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


class Nodes:
    """The nodes of a run and the troubles of subscriptions."""

    def __init__(self, simulation):
        self.simulation, self.world, self.net, self.settings = (
            simulation,
            simulation.world,
            simulation.net,
            simulation.scenario.nodes,
        )
        self.rng = self.world.random_stream("nodes")
        self.processes = [self._process(number) for number in range(self.settings.count)]
        self.by_name = {process.name: process for process in self.processes}
        self.serving_node: dict[str, str] = {}  # the node that answered each courier last
        self.known_by_courier: dict[str, dict[int, set[str]]] = defaultdict(dict)
        delay_range = tuple(simulation.scenario.platform.late_ms)
        absent = [int(trouble.whom[12:]) for trouble in simulation.troubles if trouble.kind == "publish"]
        entries = {
            ident: entry for ident, entry in simulation.server_list.items() if entry["cell"] not in absent
        }
        self.initial_entries = dict(entries)
        self.source = ListSource(self.world, self.processes, entries, delay_range, self.rng)

    def _process(self, number: int) -> NodeProcess:
        name, host = f"node{number}", f"10.5.0.{number + 1}"
        process = NodeProcess(
            self.world, self.net, name, host, self._begin, {}, DESCRIPTORS, self.world.random_stream(name)
        )
        process.pass_ms = self.simulation.scenario.couriers.pass_ms
        process.on_answer, process.on_request = self._on_answer, self._on_request
        return process

    def _begin(self, environ, signal_reader, system):
        """Runs the real program, as the command line does."""
        process = system.process
        leases = LeaseBounds(lease_ms=self.settings.lease_s * 1000.0)
        settings = NodeSettings(SOURCE, process.host, PORT, FLEET, process.name, leases=leases)
        run(settings, signal_reader, system)

    def begin(self):
        """Starts all nodes."""
        for process in self.processes:
            self.world.call_at(self.rng.uniform(0.0, START_WITHIN_MS), process.start)

    def end(self):
        """Kills all nodes at the end of the run."""
        for process in self.processes:
            process.kill()

    def courier_settings(self) -> dict:
        """The part of a courier's configuration that names the nodes."""
        if not self.processes:
            return {}
        addresses = [f"{process.host}:{PORT}" for process in self.processes]
        return {"nodes": addresses, "fleet": FLEET, "list_age": self.settings.list_age_s}

    def _on_request(self, host: str, subscription: dict):
        """A courier sends a request. One for a new lease lists all destinations: those missing were
        unsubscribed before.
        """
        courier = self.simulation.courier_by_host[host]
        unsubscribed = subscription["unsubscribe"]
        if subscription["lease"] is None:
            unsubscribed = sorted(self.known_by_courier[courier].keys() - set(subscription["subscribe"]))
        for destination in unsubscribed:
            self.known_by_courier[courier].pop(destination, None)
        if unsubscribed:
            self.world.record("gives-up", courier, tuple(unsubscribed))

    def _on_answer(self, node: str, host: str, answer: dict):
        """A courier has read an answer."""
        courier = self.simulation.courier_by_host[host]
        self.serving_node[courier] = node
        subscription, known = answer["subscription"], self.known_by_courier[courier]
        listed: dict[int, set[str]] = {destination: set() for destination in subscription["complete"]}
        for entry in answer["servers"]:
            if entry["state"] == "active":
                listed.setdefault(entry["cell"], set()).add(entry["id"])
        for destination in subscription["unknown"]:
            listed[destination] = set()
        on = [ident for idents in listed.values() for ident in sorted(idents)]
        off = [entry["id"] for entry in answer["servers"] if entry["state"] != "active"]
        for destination, idents in listed.items():
            off.extend(sorted(known.get(destination, set()) - idents - set(off)))
        known.update(listed)
        self.world.record("told", courier, False, tuple(on), tuple(off))
        self.world.record(
            "answered", courier, node, tuple(subscription["complete"]), tuple(subscription["unknown"])
        )

    # Troubles: each handler is named after its kind.

    def begin_trouble(self, trouble: Trouble):
        """Starts a trouble of subscriptions with the handler named after its kind."""
        duration = trouble.for_s * 1000.0
        self.world.record("trouble", trouble.kind, trouble.whom, duration)
        getattr(self, "_" + trouble.kind.replace("-", "_"))(trouble, duration)

    def _target_node(self, trouble: Trouble) -> NodeProcess:
        kind, _, name = trouble.whom.partition(":")
        return self.processes[int(name)] if kind == "node" else self.rng.choice(self.processes)

    def _node_kill(self, trouble, duration):
        node = self._target_node(trouble)
        node.kill()
        self.world.call_later(max(duration, 1.0), node.start)

    def _node_term(self, trouble, duration):
        """Sends SIGTERM; the node is killed if it has not ended by then, and started again."""
        node = self._target_node(trouble)
        node.signal(signal.SIGTERM)
        self.world.record("leaves-service", node.name)
        self.world.call_later(max(duration, 1000.0), self._restart_node, node)

    def _restart_node(self, node):
        node.kill()
        node.start()

    def _node_stand(self, trouble, duration):
        self._target_node(trouble).suspend(duration)

    def _node_vanish(self, trouble, duration):
        """The machine becomes unreachable: couriers keep half-open connections to it."""
        node = self._target_node(trouble)
        machine = self.net.machine(node.host)
        self.net.take_down(machine)
        self.world.record("machine-gone", node.name, duration)
        node.kill()
        self.world.call_later(max(duration, 1.0), self._restore_machine, node, machine)

    def _restore_machine(self, node, machine):
        machine.up = True
        node.start()

    def _node_cut(self, trouble, duration):
        """Cuts the node off from all couriers."""
        node = self._target_node(trouble)
        for courier in self.simulation.couriers:
            self._partition_pair(courier, node, duration)

    def _node_partition(self, trouble, duration):
        """Cuts a courier off from the node that serves it; with size 2, from all nodes."""
        for courier in self.simulation.targets(trouble):
            serving = self.by_name.get(self.serving_node.get(courier.name, ""), self.processes[0])
            for node in self.processes if trouble.size >= 2.0 else [serving]:
                self._partition_pair(courier, node, duration)

    def _partition_pair(self, courier, node, duration):
        here, there = self.net.machine(courier.host), self.net.machine(node.host)
        self.net.set_partition(here, there)
        self.world.record("cut-off", courier.name, node.name, duration)
        self.world.call_later(duration, self.net.set_partition, here, there, False)

    def _answers_lost(self, trouble, duration):
        """Each answer of any node is lost by these odds, together with its connection."""
        for node in self.processes:
            node.answer_loss_odds = trouble.size
            self.world.call_later(duration, setattr, node, "answer_loss_odds", 0.0)

    def _source_replaced(self, trouble, duration):
        self.source.replace()

    def _courier_herd(self, trouble, duration):
        """Kills that share of the couriers at once and starts them again with their files."""
        many = max(1, round(trouble.size * len(self.simulation.couriers)))
        for courier in self.rng.sample(self.simulation.couriers, many):
            courier.kill()
            self.world.call_later(
                max(duration, self.simulation.scenario.couriers.restart_ms), self.simulation.start, courier
            )

    def _publish(self, trouble, duration):
        """Adds a destination to the list."""
        for destination in self.simulation.targets(trouble):
            for endpoint in destination.endpoints:
                self.simulation.announce(destination, endpoint, "active")

    def _withdraw(self, trouble, duration):
        """Announces that all endpoints of a destination leave, and removes them later (size 0: at once);
        after `for_s`, if set, they are listed again.
        """
        gap = LEFT_AFTER_MS if trouble.size else 0.0
        for destination in self.simulation.targets(trouble):
            for endpoint in destination.endpoints:
                if gap:
                    self.simulation.announce(destination, endpoint, "leaving")
                self.world.call_later(gap, self.simulation.announce, destination, endpoint, "left")
                if duration:
                    self.world.call_later(
                        gap + duration, self.simulation.announce, destination, endpoint, "active"
                    )


@contextmanager
def unsubscribe_after(seconds: float) -> Iterator[None]:
    """Within the context couriers unsubscribe from a destination this long after its last message, in place
    of the program's own time.
    """
    if not seconds:
        yield
        return
    original = subscription_module.Subscriber
    subscription_module.Subscriber = partial(Subscriber, idle=seconds * 1000.0)
    try:
        yield
    finally:
        subscription_module.Subscriber = original
