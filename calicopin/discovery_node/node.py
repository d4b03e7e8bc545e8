"""Builds a discovery node from its settings and runs it until SIGTERM, or only checks its source."""

import os
import resource
import sys
from collections.abc import Iterator
from dataclasses import dataclass, field

from loguru import logger

from calicopin.discovery_node.catalogue import Catalogue, CatalogueStats
from calicopin.discovery_node.entry import Line
from calicopin.discovery_node.server import NodeServer, ServerBounds
from calicopin.discovery_node.source import Source, SourceError, open_source
from calicopin.discovery_node.upstream import Upstream
from calicopin.lifecycle.signals import SignalReader
from calicopin.subscription.leases import LeaseBounds, LeaseTable
from calicopin.system import REAL_SYSTEM, System
from calicopin.wire.loop import FOREVER, READ, Loop, Until

SPARE_DESCRIPTORS = 64  # besides connections: files, the log, connections being refused


class SettingsError(ValueError):
    """A setting that the limits of the machine do not allow."""


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The settings of the command line."""

    source: str
    host: str
    port: int
    fleet: str
    node: str
    upstream: str = ""  # address of a node whose list is copied to `source`
    leases: LeaseBounds = field(default_factory=LeaseBounds)
    server: ServerBounds = field(default_factory=ServerBounds)


@dataclass(frozen=True, slots=True)
class SourceReport:
    """The result of checking a source."""

    stats: CatalogueStats
    lines: int
    faults: list[Line]
    partial_last_line: bool


class Node:
    """A node with its components on one event loop."""

    def __init__(self, settings: NodeSettings, system: System = REAL_SYSTEM):
        self.loop = Loop(system=system)
        run = system.token(4)  # distinguishes the leases of this run from those of earlier runs
        self.table = LeaseTable(settings.fleet, settings.node, run, settings.leases)
        listener = system.listen(settings.host, settings.port)
        self.server = NodeServer(self.loop, listener, self.table, settings.server)
        if settings.upstream:
            self.server.upstream = Upstream(self.loop, settings.upstream, settings.source, settings.fleet)
        self.source = Source(
            self.loop, settings.source, settings.fleet, self.server.change, self.table.subscribed
        )
        self.server.source = self.source

    def stop_on_signal(self, signal_reader: SignalReader) -> None:
        """Stops the node on SIGTERM or SIGINT."""
        self.loop.spawn(self._wait_for_stop(signal_reader), urgent=True)

    def _wait_for_stop(self, signal_reader: SignalReader) -> Iterator[Until]:
        while not signal_reader.take_signals().intersection(SignalReader.STOP_SIGNALS):
            yield Until(FOREVER, signal_reader.fd, READ)
        logger.info("stopping", event="stopping")
        yield from self.server.stop()


def raise_descriptor_limit(connections: int) -> None:
    """Raises the limit to what the connections need; SettingsError if the hard limit is lower."""
    needed = connections + SPARE_DESCRIPTORS
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    unlimited = resource.RLIM_INFINITY
    if hard != unlimited and hard < needed:
        raise SettingsError(
            f"--connections {connections}: the hard limit is {hard} file descriptors, {needed} are needed"
        )
    if soft != unlimited and soft < needed:
        resource.setrlimit(resource.RLIMIT_NOFILE, (needed, hard))


def serve(settings: NodeSettings, signal_reader: SignalReader) -> None:
    """Runs a node until it is stopped; raises ValueError or OSError if it cannot start."""
    raise_descriptor_limit(settings.server.connections)
    if not settings.upstream or os.path.exists(settings.source):
        open_source(settings.source, settings.fleet).close()  # fails before the listening socket is opened
    logger.remove()
    logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level.name} {message}", level="INFO", backtrace=False)
    run(settings, signal_reader)


def run(settings: NodeSettings, signal_reader: SignalReader, system: System = REAL_SYSTEM) -> None:
    """Runs a node on that system until it is stopped."""
    node = Node(settings, system)
    node.stop_on_signal(signal_reader)
    system.freeze_loaded_objects()
    logger.info(
        "{node} listens on {host}:{port}",
        event="listening",
        node=settings.node,
        host=settings.host,
        port=settings.port,
    )
    node.loop.run()
    logger.info("{node} stopped", event="stopped", node=settings.node)


def check_source(path: str, fleet: str) -> SourceReport:
    """Reads a whole source; raises SourceError if it is not a source for this fleet."""
    file = open_source(path, fleet)
    try:
        if file.offset == 0:
            raise SourceError(f"{path}:1: the header line is incomplete")
        catalogue, faults = Catalogue(file.size_at_open), []

        def record_faults(lines: Iterator[Line]) -> Iterator[Line]:
            for line in lines:
                if line.entry is None:
                    faults.append(line)
                yield line

        for _ in catalogue.load(record_faults(file.lines(file.size_at_open))):
            pass
        return SourceReport(catalogue.stats(), file.splitter.number, faults, file.splitter.has_partial_line())
    finally:
        file.close()
