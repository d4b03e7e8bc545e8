"""Checks beyond the types: settings that are valid one by one and contradict each other.

Every finding says what to do.
"""

import math
import os
import stat

from calicopin.configuration import partners as partner_list
from calicopin.configuration import units
from calicopin.configuration.read import Finding, TemporarilyUnreadableError, UnusableError
from calicopin.state.connections import Budget

# bytes that the journal counts on disk for a text: its body, and its records without the body
MIN_BODY_BYTES, RECORD_BYTES = 512, 400
DURATION_KEYS = {
    "courier": ("connect", "idle", "advice", "settle", "tick", "list_age"),
    "returning": ("cold", "span"),
    "product": ("sla", "validity", "memory"),
    "kind": ("answers",),
}
MAX_VALIDITY_MS = 86_400_000.0  # a day: the longest that a client may ask for
MAX_SOCKET_PATH_BYTES = 100  # below the kernel's limit of 108 for a Unix socket's path


class Checks:
    """Checks of one configuration: `errors` prevent a start, `warnings` are left to the operator."""

    def __init__(self, loaded):
        self.loaded, self.configuration, self.errors, self.warnings, self.durations_ms = (
            loaded,
            loaded.configuration,
            [],
            [],
            {},
        )

    def add_error(self, key, reason, remedy=""):
        """Adds an error at the location of the key; `remedy` says what to do."""
        self.errors.append(Finding(self.loaded.place(key), reason, remedy))

    def add_warning(self, key, reason, remedy=""):
        """Adds a warning at the location of the key; `remedy` says what to do."""
        self.warnings.append(Finding(self.loaded.place(key), reason, remedy))

    def parse_durations(self):
        """Reads durations as milliseconds and the disk limit as bytes; returns whether no error was found."""
        for table_name, keys in DURATION_KEYS.items():
            value = getattr(self.configuration, table_name)
            is_list = isinstance(value, list)
            for index, entry in enumerate(value if is_list else [value]):
                for entry_key in keys:
                    key = f"{table_name}[{index}].{entry_key}" if is_list else f"{table_name}.{entry_key}"
                    try:
                        self.durations_ms[key] = units.milliseconds(getattr(entry, entry_key))
                    except ValueError as error:
                        self.add_error(key, str(error))
        try:
            self.disk_bytes = units.size(self.configuration.courier.disk)
        except ValueError as error:
            self.add_error("courier.disk", str(error))
        return not self.errors

    def run(self):
        """Runs all checks; those that need durations are skipped where one is invalid."""
        self.check_names()
        self.check_addresses()
        if self.parse_durations():
            self.check_products()
            self.check_courier()
            self.check_returning()
            self.check_late_revenue()
        self.check_partners()
        return self

    def check_names(self):
        """Duplicate names, unknown kinds, and a courier number that is not below the number of senders."""
        for table in ("product", "kind"):
            seen = set()
            for index, entry in enumerate(getattr(self.configuration, table)):
                if entry.name in seen:
                    self.add_error(
                        f"{table}[{index}].name",
                        f"{entry.name!r} is used twice",
                        "give each its own name",
                    )
                seen.add(entry.name)
        kinds = [kind.name for kind in self.configuration.kind]
        for index, product in enumerate(self.configuration.product):
            for kind in product.kinds:
                if kind not in kinds:
                    self.add_error(
                        f"product[{index}].kinds",
                        f"{kind!r} is not a kind of partner",
                        f"known kinds: {', '.join(kinds)}",
                    )
        if len(set(self.configuration.zones)) < len(self.configuration.zones):
            self.add_error("zones", "a zone is listed twice", "list each once")
        if self.configuration.courier.number >= self.configuration.courier.senders:
            self.add_error(
                "courier.number",
                f"{self.configuration.courier.number} is not among "
                f"{self.configuration.courier.senders} senders, which count from 0",
                "raise senders or lower number",
            )

    def check_addresses(self):
        """Invalid addresses, and addresses that conflict with each other."""
        courier = self.configuration.courier
        if courier.listen.startswith("unix:"):
            path = courier.listen[5:]
            if not path.startswith("/") or len(path.encode()) > MAX_SOCKET_PATH_BYTES:
                self.add_error(
                    "courier.listen",
                    f"{path!r} is not a path for a socket",
                    f"give an absolute path of at most {MAX_SOCKET_PATH_BYTES} bytes",
                )
        else:
            self.check_address("courier.listen", courier.listen)
        if courier.agent:
            self.check_address("courier.agent", courier.agent)
            if courier.agent == courier.listen:
                self.add_error(
                    "courier.agent",
                    f"{courier.agent} is where the courier itself listens",
                    "give the address of the platform's agent",
                )
        if courier.admin:
            self.check_address("courier.admin", courier.admin)
            if courier.admin in (courier.listen, courier.agent):
                self.add_error(
                    "courier.admin",
                    f"{courier.admin} is already used by "
                    f"{'listen' if courier.admin == courier.listen else 'agent'}",
                    "give it its own port",
                )
        if courier.notices:
            self.check_address("courier.notices", courier.notices)
            if courier.agent:
                self.add_error(
                    "courier.notices",
                    "notices are sent to the agent where there is one",
                    "remove notices or agent",
                )

        self.check_discovery_nodes()

    def check_discovery_nodes(self):
        """Discovery nodes and the name of their fleet."""
        courier = self.configuration.courier
        for index, node in enumerate(courier.nodes):
            self.check_address(f"courier.nodes[{index}]", node)
            if node in courier.nodes[:index]:
                self.add_error(f"courier.nodes[{index}]", f"{node} is listed twice", "list each once")
            if node in (courier.listen, courier.admin):
                self.add_error(
                    f"courier.nodes[{index}]",
                    f"{node} is where the courier itself listens",
                    "give the discovery node's address",
                )
        if courier.nodes and not courier.fleet:
            self.add_error(
                "courier.fleet",
                "which fleet the nodes serve is not given",
                "give the name that the nodes were started with",
            )
        if courier.fleet and not courier.nodes:
            self.add_error(
                "courier.fleet", "there are no nodes that serve it", "give courier.nodes, or remove it"
            )

    def check_address(self, key, text):
        """Adds an error at the key where the text is not an address."""
        try:
            units.address(text)
        except ValueError as error:
            self.add_error(key, str(error))

    def check_products(self):
        """Durations and repeat rule of each product against each other, its partners and the courier."""
        connect_ms, courier = self.durations_ms["courier.connect"], self.configuration.courier
        for index, product in enumerate(self.configuration.product):
            key = f"product[{index}]"
            sla_ms, validity_ms, memory_ms = (
                self.durations_ms[f"{key}.{name}"] for name in ("sla", "validity", "memory")
            )
            if sla_ms <= 0.0:
                self.add_error(
                    f"{key}.sla",
                    "an SLA time of 0 cannot be met",
                    "give the time in which a delivery earns in full",
                )
            if sla_ms > validity_ms:
                self.add_error(
                    f"{key}.sla",
                    f"{product.sla} is longer than the validity period {product.validity}",
                    "lower it, or raise validity",
                )
            if validity_ms > MAX_VALIDITY_MS:
                self.add_error(
                    f"{key}.validity",
                    f"{product.validity} is over a day, the longest that a client may ask for",
                    "lower it",
                )
            if product.repeat == "referenced" and memory_ms <= 0.0:
                self.add_error(
                    f"{key}.memory",
                    f"{product.name!r} is referenced, but "
                    "how long partners remember a reference is not given",
                    "give memory, or make it once-only",
                )
            if product.repeat != "referenced" and (memory_ms > 0.0 or product.memory_by_zone):
                self.add_error(
                    f"{key}.memory",
                    f"{product.name!r} is {product.repeat}, so no reference is ever sent",
                    "remove memory, or make the product referenced",
                )
            if product.repeat == "referenced" and 0.0 < memory_ms < min(sla_ms, validity_ms):
                self.add_error(
                    f"{key}.memory",
                    f"partners forget a reference after {product.memory}, "
                    f"before a text's SLA time {product.sla} is over, "
                    "so it may not be sent again in time",
                    "ask the partner for a longer memory, or make it once-only",
                )
            kinds = [
                kind for kind in self.configuration.kind if not product.kinds or kind.name in product.kinds
            ]
            answer_ms = min((milliseconds_or_zero(kind.answers) for kind in kinds), default=0.0)
            if answer_ms >= validity_ms:
                self.add_error(
                    f"{key}.validity",
                    f"{product.validity} ends before any of its partners answers, "
                    f"which takes {units.format_duration(answer_ms)}",
                    "raise validity",
                )
            elif product.repeat != "once-only" and validity_ms < connect_ms + 2.0 * answer_ms:
                self.add_error(
                    f"{key}.validity",
                    f"{product.validity} is shorter than one failed call "
                    f"({units.format_duration(connect_ms)} to connect, "
                    f"{units.format_duration(answer_ms)} to answer) and its retry",
                    "raise validity or lower courier.connect",
                )
            if answer_ms > sla_ms:
                self.add_warning(
                    f"{key}.sla",
                    f"partners mostly answer after {units.format_duration(answer_ms)}, which is longer",
                    "its texts will mostly be late",
                )
            if connect_ms >= validity_ms:
                self.add_error(
                    "courier.connect",
                    f"{courier.connect} is longer than the validity period of {product.name!r}, "
                    f"{product.validity}",
                    "lower connect: a connection that does not come up must leave time for another",
                )
            if product.in_order and self.durations_ms["courier.settle"] >= validity_ms:
                self.add_error(
                    "courier.settle",
                    f"an order key is paused for {courier.settle}, "
                    f"longer than a text of {product.name!r} is valid",
                    "lower settle",
                )

    def check_courier(self):
        """Limits, durations, store and folder of the courier against its slots and the texts it may hold."""
        courier = self.configuration.courier
        budget = Budget(courier.descriptors, courier.slots, bool(courier.admin))
        if budget.calls < courier.slots:
            self.add_error(
                "courier.descriptors",
                f"{courier.descriptors} leaves descriptors for {budget.calls} calls, "
                f"not for {courier.slots} slots",
                f"raise it to {min_descriptors(courier.slots)} at least, or lower slots",
            )
        required_bytes = courier.held * (MIN_BODY_BYTES + RECORD_BYTES)
        if required_bytes > self.disk_bytes * 2 // 5:
            self.add_error(
                "courier.disk",
                f"{courier.held} texts of {MIN_BODY_BYTES} bytes need "
                f"{units.format_size(math.ceil(required_bytes * 2.5 / 1e5) * 1e5)}; live "
                "texts may fill two fifths of it",
                "raise disk or lower held",
            )
        if courier.held < courier.slots:
            self.add_error(
                "courier.held",
                f"holds {courier.held} texts, fewer than its {courier.slots} slots send at once",
                "raise held or lower slots",
            )
        idle_ms, connect_ms = self.durations_ms["courier.idle"], self.durations_ms["courier.connect"]
        if idle_ms <= connect_ms:
            self.add_warning(
                "courier.idle",
                f"idle connections are closed after {courier.idle}, no longer than one may take to open, "
                f"{courier.connect}",
                "few calls will find an idle connection",
            )
        if courier.give_back and idle_ms <= 0.0:
            self.add_error(
                "courier.give_back",
                f"partners close idle connections after {courier.idle}, so there is none to close",
                "remove it, or say how long partners keep them",
            )
        if self.durations_ms["courier.tick"] <= 0.0 or self.durations_ms["courier.tick"] > 1000.0:
            self.add_error(
                "courier.tick",
                f"{courier.tick} is not a usable time between two turns",
                "give 1ms to 1s; 5ms is usual",
            )
        if self.durations_ms["courier.list_age"] <= 0.0:
            self.add_error("courier.list_age", "must be longer than 0", "give a time; 24h is usual")
        if courier.durability == "machine" and courier.store != "segments":
            self.add_error(
                "courier.durability",
                "only segments are written through to the disk",
                'set store = "segments"',
            )
        self.check_folder("courier.state", courier.state)

    def check_folder(self, key, path):
        """Whether the folder can be used or created, without changing anything."""
        path = (
            os.path.join(os.path.dirname(self.loaded.paths[-1]), path)
            if self.loaded.paths and not os.path.isabs(path)
            else path
        )
        try:
            status = os.stat(path)
        except FileNotFoundError:
            parent = os.path.dirname(os.path.abspath(path))
            while not os.path.exists(parent) and parent != os.path.dirname(parent):
                parent = os.path.dirname(parent)
            if not os.path.isdir(parent) or not os.access(parent, os.W_OK | os.X_OK):
                self.add_error(
                    key,
                    f"{path} does not exist and cannot be created in {parent}",
                    "create it, owned by the courier's user",
                )
            return
        except OSError as error:
            self.add_error(key, f"{path}: {error.strerror}", "give a folder")
            return
        if not stat.S_ISDIR(status.st_mode):
            self.add_error(key, f"{path} is not a folder", "give the courier a folder of its own")
        elif not os.access(path, os.W_OK | os.X_OK):
            self.add_error(key, f"{path} cannot be written", "give the courier's user write permission")

    def check_returning(self):
        """The rule on returning partners: its durations, multiple and share against each other."""
        returning = self.configuration.returning
        if self.durations_ms["returning.span"] <= 0.0:
            self.add_error("returning.span", "a span of 0 cannot be measured over", "give a second or more")
        if self.durations_ms["returning.cold"] < self.durations_ms["returning.span"]:
            self.add_warning(
                "returning.cold",
                f"{returning.cold} is shorter than the span {returning.span}",
                "the rule will hardly protect partners",
            )
        if returning.cold_from * returning.multiple >= 1.0:
            self.add_warning(
                "returning.multiple",
                f"{returning.multiple:g} times the capacity share {returning.cold_from:g} of a "
                "returning partner is its full capacity or more",
                "the rule will have no effect; lower one of them",
            )

    def check_late_revenue(self):
        """Late revenues that leave nothing to decline."""
        if self.configuration.late == "linear":
            return
        for index, product in enumerate(self.configuration.product):
            if product.late_revenue >= 1.0:
                self.add_warning(
                    f"product[{index}].late_revenue",
                    "all of the revenue is left at the end of the validity period, so late has no effect",
                    "",
                )

    def check_partners(self):
        """The partner list, in this file or in a file of its own."""
        configuration = self.configuration
        sources = [
            bool(configuration.courier.agent or configuration.courier.nodes),
            bool(configuration.partner),
            bool(configuration.partners_file),
        ]
        if sum(sources) != 1:
            self.add_error(
                "courier.agent" if not any(sources) else "partners_file" if sources[2] else "partner",
                "there is no list of partners" if not any(sources) else "the list of partners is given twice",
                "give one of courier.agent, courier.nodes, [[partner]] tables or partners_file",
            )
            return
        partners, place = configuration.partner, self.loaded.place
        if configuration.partners_file:
            path = (
                os.path.join(os.path.dirname(self.loaded.paths[-1]), configuration.partners_file)
                if self.loaded.paths
                else configuration.partners_file
            )
            try:
                partners, origin = partner_list.load(path)
            except TemporarilyUnreadableError:
                raise
            except UnusableError as error:
                self.errors += error.findings
                return
            place = lambda key: f"{origin.get(key, path)}: {key}"  # noqa: E731
        self.errors += partner_list.check_partners(partners, configuration, place)
        if not configuration.courier.nodes:  # with nodes, the partners are known only from them
            self.check_reachable_products(partners, place)
        if self.errors:
            return
        for index, partner in enumerate(partners):
            if partner.limit > 0.0:
                max_validity_ms = max(
                    self.durations_ms[f"product[{product_index}].validity"]
                    for product_index, _ in enumerate(configuration.product)
                )
                calls = calls_per_sender(partner.limit, configuration.courier.senders, max_validity_ms)
                if calls < 1.0:
                    self.add_error(
                        place(f"partner[{index}].limit").rpartition(": ")[2]
                        if not configuration.partners_file
                        else "partners_file",
                        f"{partner.limit:g} calls a second of {configuration.courier.senders} senders leave "
                        f"this one {calls:.2f} calls "
                        f"to {partner.name!r} in the longest validity period",
                        "agree on a higher limit, or send from fewer couriers",
                    )

    def check_reachable_products(self, partners, place):
        """Products that no listed partner may get."""
        listed_kinds = {partner.kind for partner in partners}
        for index, product in enumerate(self.configuration.product):
            if product.kinds and not listed_kinds & set(product.kinds):
                self.add_error(
                    f"product[{index}].kinds",
                    f"{product.name!r} may go to {', '.join(product.kinds)} only, "
                    "and no partner is of such a kind",
                    "give a partner that kind, or allow another",
                )


def calls_per_sender(limit, senders, period_ms):
    """Calls of one sender in `period_ms`; `limit` is in calls a second of all senders together."""
    return limit / senders * period_ms / 1000.0


def milliseconds_or_zero(text):
    """A duration in milliseconds; 0 where the text is not one."""
    try:
        return units.milliseconds(text)
    except ValueError:
        return 0.0


def min_descriptors(slots):
    """The fewest descriptors that leave room for a call in every slot."""
    count = 32
    while Budget(count, slots).calls < slots:
        count += 1
    return count


def examine(loaded):
    """(errors, warnings) of a configuration that was read."""
    checks = Checks(loaded).run()
    return checks.errors, checks.warnings
