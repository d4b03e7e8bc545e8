"""Reload of the configuration on SIGHUP, while the courier keeps running."""

from loguru import logger

from calicopin.memory_budget import memory_budget
from calicopin.state.connections import Budget
from calicopin.wire.discovery import decode_list
from calicopin.wire.loop import FOREVER, READ, RETRY_DELAY_MS, Event, Until

RELOAD_RETRY_WINDOW_MS = (
    3000.0  # ms of retries: the platform relies on a new configuration 4 s after its signal
)

RESTART_ONLY = (
    "name",
    "listen",
    "folder",
    "admin",
    "fleet",
    "max_age",
)  # attributes of `CourierConfiguration` that change only with a restart, as do the terms


class ConfigurationReload:
    """Handles signals. A new configuration's discovery and limits take effect at once."""

    def __init__(
        self, loop, signal_reader, configuration, read_configuration, stop, discovery, clients, runtime
    ):
        self.loop, self.signal_reader, self.configuration, self.read_configuration, self.stop = (
            loop,
            signal_reader,
            configuration,
            read_configuration,
            stop,
        )
        self.discovery, self.clients, self.runtime = discovery, clients, runtime
        self.subscribes = bool(configuration.nodes)
        self.retry_at, self.retry_deadline = FOREVER, -FOREVER  # ms, of a reload that failed with an OSError
        self.requested = Event(loop)
        self.pass_on = None  # once this process has retired: has its successor reload

    def wait(self):
        """A coroutine that waits for signals: SIGTERM and SIGINT request the stop, SIGHUP the reload."""
        while True:
            yield Until(self.retry_at, self.signal_reader.fd, READ, self.requested)
            signals = self.signal_reader.take_signals()
            if signals.intersection(self.signal_reader.STOP_SIGNALS):
                self.stop.requested.set()
            if signals.difference(self.signal_reader.STOP_SIGNALS):
                self.schedule()
            if self.loop.now() >= self.retry_at:
                self.retry_at = FOREVER
                (self.pass_on or self.reload)()

    def schedule(self):
        """Has the configuration reloaded in this pass, and retried until the deadline."""
        self.retry_at = self.loop.now()
        self.retry_deadline = self.retry_at + RELOAD_RETRY_WINDOW_MS

    def request(self):
        """The process that retired before this one was signalled to reload."""
        self.schedule()
        self.requested.set()

    def apply_partner_list(self, configuration, old):
        """Applies the list of partners of an operator's file, which was checked as a whole."""
        if configuration.partner_file and self.discovery is not None:
            self.discovery.path = configuration.partner_file
            self.discovery.take()
        elif configuration.configured_list != old.configured_list:
            _, _, places = decode_list(configuration.configured_list)
            self.runtime.update_list(places, True)

    def limit_disk(self, disk):
        """Sets the size limit of the folder in bytes; with subscriptions the list in it has a share."""
        if self.subscribes:
            from calicopin.state.known_list import journal_bytes

            self.runtime.subscription.known_list.limit(disk)
            disk = journal_bytes(disk)
        self.runtime.journal.limit(disk)

    def reload(self):
        """Reads and applies the configuration. One that cannot be read changes nothing; after an OSError it
        is tried again until the deadline.
        """
        try:
            configuration = self.read_configuration()
        except (OSError, ValueError, KeyError, TypeError, AttributeError, RecursionError) as fault:
            logger.error(
                "SIGHUP: the configuration cannot be read, nothing changes: {fault!r}",
                event="reload.refused",
                fault=fault,
            )
            if isinstance(fault, OSError) and self.loop.now() < self.retry_deadline:
                self.retry_at = self.loop.now() + RETRY_DELAY_MS
            return
        old, self.configuration = self.configuration, configuration
        if configuration.discovery_address is not None:
            self.runtime.journal.put_discovery_address(configuration.discovery_address)
        logger.info(
            "SIGHUP: discovery at {agent}, {notices} notices unacknowledged",
            event="reload",
            agent=configuration.discovery,
            notices=len(self.runtime.notices.owed),
        )
        if self.subscribes and configuration.nodes:
            self.discovery.change_address(list(configuration.nodes))
        if configuration.discovery and old.discovery:
            if not self.subscribes:
                self.discovery.change_address(configuration.discovery)
            self.runtime.notices.change_address(configuration.discovery)
        elif configuration.notices and old.notices:
            self.runtime.notices.change_address(configuration.notices)
        if configuration.operator_configuration and not (
            configuration.discovery or old.discovery or self.subscribes or configuration.nodes
        ):
            self.apply_partner_list(configuration, old)
        if configuration.descriptors != old.descriptors:
            budget = Budget(configuration.descriptors, old.terms["familyInfo"]["workers"], bool(old.admin))
            self.clients.budget, self.runtime.pool.most = budget, budget.endpoints
            logger.info(
                "SIGHUP: {now} descriptors, {before} before",
                event="reload.descriptors",
                now=configuration.descriptors,
                before=old.descriptors,
            )
        if configuration.memory != old.memory:
            self.runtime.memory_budget = memory_budget(configuration.memory)
            self.clients.buffers.limit = self.runtime.memory_budget.receive_bytes
            logger.info(
                "SIGHUP: {now} bytes of memory, {before} before",
                event="reload.memory",
                now=configuration.memory,
                before=old.memory,
            )
        if configuration.disk != old.disk:
            self.limit_disk(configuration.disk)
            logger.info(
                "SIGHUP: {now} bytes of disk, {before} before",
                event="reload.disk",
                now=configuration.disk,
                before=old.disk,
            )
        restart_keys = [name for name in RESTART_ONLY if getattr(configuration, name) != getattr(old, name)]
        restart_keys += ["nodes"] if bool(configuration.nodes) != self.subscribes else []
        restart_keys += sorted(
            name
            for name in {**old.terms, **configuration.terms}
            if configuration.terms.get(name) != old.terms.get(name)
        )
        if restart_keys:
            logger.warning(
                "SIGHUP: {keys} changed, which needs a restart",
                event="reload.restart",
                keys=", ".join(restart_keys),
            )
