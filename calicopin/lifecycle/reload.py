"""Reload of the configuration on SIGHUP, while the courier keeps running."""

from loguru import logger

from calicopin.state.connections import Budget
from calicopin.wire.discovery import decode_list
from calicopin.wire.loop import AGAIN, FOREVER, READ, Until

PATIENCE = 3000.0  # ms of retries: the platform relies on a new configuration 4 s after its signal

RESTART_ONLY = (
    "name",
    "listen",
    "folder",
    "admin",
    "fleet",
    "max_age",
)  # attributes of `Post` that change only with a restart, as do the terms


class Renewal:
    """Handles signals. A new configuration's discovery, descriptors and disk limit take effect at once."""

    def __init__(self, loop, signal_reader, post, read_configuration, stop, discovery, clients, runtime):
        self.loop, self.signal_reader, self.post, self.read_configuration, self.stop = (
            loop,
            signal_reader,
            post,
            read_configuration,
            stop,
        )
        self.discovery, self.clients, self.runtime, self.renewed = discovery, clients, runtime, False
        self.subscribes = bool(post.nodes)
        self.retry_at, self.retry_deadline = FOREVER, -FOREVER  # ms, of a reload that failed with an OSError

    def wait(self):
        """A coroutine that waits for signals: SIGTERM and SIGINT request the stop, SIGHUP the reload."""
        while True:
            yield Until(self.retry_at, self.signal_reader.fd, READ)
            signals = self.signal_reader.take_pending()
            if signals.intersection(self.signal_reader.STOP_SIGNALS):
                self.stop.requested.set()
            if signals.difference(self.signal_reader.STOP_SIGNALS):
                self.retry_deadline = self.loop.now() + PATIENCE
                self.retry_at = self.loop.now()
            if self.loop.now() >= self.retry_at and not self.stop.retired:
                # a retired process does not reload: its successor does
                self.retry_at = FOREVER
                self.renew()

    def apply_partner_list(self, post, old):
        """Applies the list of partners of an operator's file, which was checked as a whole."""
        if post.partner_file and self.discovery is not None:
            self.discovery.path = post.partner_file
            self.discovery.take()
        elif post.configured_list != old.configured_list:
            _, _, places = decode_list(post.configured_list)
            self.runtime.update_list(places, True)

    def limit_disk(self, disk):
        """Sets the size limit of the folder in bytes; with subscriptions the list in it has a share."""
        if self.subscribes:
            from calicopin.state.known_list import journal_bytes

            self.runtime.subscribed.known_list.limit(disk)
            disk = journal_bytes(disk)
        self.runtime.journal.limit(disk)

    def renew(self):
        """Reads and applies the configuration. One that cannot be read changes nothing; after an OSError it
        is tried again until the deadline.
        """
        try:
            post = self.read_configuration()
        except (OSError, ValueError, KeyError, TypeError, AttributeError, RecursionError) as fault:
            logger.error(
                "SIGHUP: the configuration cannot be read, nothing changes: {fault!r}",
                event="reload.refused",
                fault=fault,
            )
            if isinstance(fault, OSError) and self.loop.now() < self.retry_deadline:
                self.retry_at = self.loop.now() + AGAIN
            return
        old, self.post, self.renewed = self.post, post, True
        logger.info(
            "SIGHUP: discovery at {agent}, {notices} notices unacknowledged",
            event="reload",
            agent=post.discovery,
            notices=len(self.runtime.notices.owed),
        )
        if self.subscribes and post.nodes:
            self.discovery.move(list(post.nodes))
        if post.discovery and old.discovery:
            if not self.subscribes:
                self.discovery.move(post.discovery)
            self.runtime.notices.move(post.discovery)
        elif post.notices and old.notices:
            self.runtime.notices.move(post.notices)
        if post.configuration and not (post.discovery or old.discovery or self.subscribes or post.nodes):
            self.apply_partner_list(post, old)
        if post.descriptors != old.descriptors:
            budget = Budget(post.descriptors, old.terms["familyInfo"]["workers"], bool(old.admin))
            self.clients.budget, self.runtime.lines.most = budget, budget.endpoints
            logger.info(
                "SIGHUP: {now} descriptors, {before} before",
                event="reload.descriptors",
                now=post.descriptors,
                before=old.descriptors,
            )
        if post.disk != old.disk:
            self.limit_disk(post.disk)
            logger.info(
                "SIGHUP: {now} bytes of disk, {before} before",
                event="reload.disk",
                now=post.disk,
                before=old.disk,
            )
        restart_keys = [name for name in RESTART_ONLY if getattr(post, name) != getattr(old, name)]
        restart_keys += ["nodes"] if bool(post.nodes) != self.subscribes else []
        restart_keys += sorted(
            name for name in {**old.terms, **post.terms} if post.terms.get(name) != old.terms.get(name)
        )
        if restart_keys:
            logger.warning(
                "SIGHUP: {keys} changed and needs a restart",
                event="reload.restart",
                keys=", ".join(restart_keys),
            )
