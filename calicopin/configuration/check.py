"""What the types cannot say: settings that are legal one by one and wrong together.

Every finding says what to do.
"""

import math
import os
import stat

from calicopin.configuration import partners as lists
from calicopin.configuration import units
from calicopin.configuration.read import Fault, UnreadableNowError, UnusableError
from calicopin.state.connections import Budget

LEAST_BODY, RECORD = 512, 400  # bytes of disk for a text, without its body: what the journal counts with
TIMES = {
    "courier": ("connect", "idle", "advice", "settle", "tick", "list_age"),
    "returning": ("cold", "span"),
    "product": ("sla", "validity", "memory"),
    "kind": ("answers",),
}
LONGEST = 86_400_000.0  # a day: clients may name no longer validity period
SOCKET_PATH = 100  # bytes of a Unix socket's path


class Checks:
    """One configuration under examination; `faults` are what stops it, `doubts` what an operator should
    know.
    """

    def __init__(self, read):
        self.read, self.sheet, self.faults, self.doubts, self.ms = read, read.sheet, [], [], {}

    def fault(self, key, why, do=""):
        """Adds what stops the configuration, at the place where the key stands; `do` says what to do."""
        self.faults.append(Fault(self.read.place(key), why, do))

    def doubt(self, key, why, do=""):
        """Adds what an operator should know, at the place where the key stands; `do` says what to do."""
        self.doubts.append(Fault(self.read.place(key), why, do))

    def times(self):
        """Every time in milliseconds, by its key."""
        for table, names in TIMES.items():
            part = getattr(self.sheet, table)
            many = isinstance(part, list)
            for number, one in enumerate(part if many else [part]):
                for name in names:
                    key = f"{table}[{number}].{name}" if many else f"{table}.{name}"
                    try:
                        self.ms[key] = units.milliseconds(getattr(one, name))
                    except ValueError as fault:
                        self.fault(key, str(fault))
        try:
            self.disk = units.size(self.sheet.courier.disk)
        except ValueError as fault:
            self.fault("courier.disk", str(fault))
        return not self.faults

    def run(self):
        """All of it; what needs readable times is left out where one is not."""
        self.names()
        self.addresses()
        if self.times():
            self.products()
            self.courier()
            self.returning()
            self.kinds()
        self.partners()
        return self

    def names(self):
        """Names that stand twice, kinds that are not told, and a number beyond the senders."""
        for table in ("product", "kind"):
            seen = set()
            for number, one in enumerate(getattr(self.sheet, table)):
                if one.name in seen:
                    self.fault(
                        f"{table}[{number}].name", f"{one.name!r} stands twice", "give each a name of its own"
                    )
                seen.add(one.name)
        kinds = [kind.name for kind in self.sheet.kind]
        for number, product in enumerate(self.sheet.product):
            for kind in product.kinds:
                if kind not in kinds:
                    self.fault(
                        f"product[{number}].kinds",
                        f"{kind!r} is no kind of partner",
                        f"known are {', '.join(kinds)}",
                    )
        if len(set(self.sheet.zones)) < len(self.sheet.zones):
            self.fault("zones", "a zone stands twice", "name each once")
        if self.sheet.courier.number >= self.sheet.courier.senders:
            self.fault(
                "courier.number",
                f"{self.sheet.courier.number} is not among {self.sheet.courier.senders} senders, "
                "which count from 0",
                "raise senders or lower number",
            )

    def addresses(self):
        """Addresses that cannot be read, or that stand where another is needed."""
        courier = self.sheet.courier
        if courier.listen.startswith("unix:"):
            path = courier.listen[5:]
            if not path.startswith("/") or len(path.encode()) > SOCKET_PATH:
                self.fault(
                    "courier.listen",
                    f"{path!r} is no path for a socket",
                    f"give an absolute one of at most {SOCKET_PATH} bytes",
                )
        else:
            self.address("courier.listen", courier.listen)
        if courier.agent:
            self.address("courier.agent", courier.agent)
            if courier.agent == courier.listen:
                self.fault(
                    "courier.agent",
                    f"{courier.agent} is where the courier itself listens",
                    "give the platform's agent",
                )
        if courier.admin:
            self.address("courier.admin", courier.admin)
            if courier.admin in (courier.listen, courier.agent):
                self.fault(
                    "courier.admin",
                    f"{courier.admin} is taken by {'listen' if courier.admin == courier.listen else 'agent'}",
                    "give it a port of its own",
                )
        if courier.notices:
            self.address("courier.notices", courier.notices)
            if courier.agent:
                self.fault(
                    "courier.notices",
                    "notices go to the agent where there is one",
                    "take notices or agent out",
                )

        self.nodes()

    def nodes(self):
        """Discovery nodes and what goes with them."""
        courier = self.sheet.courier
        for number, node in enumerate(courier.nodes):
            self.address(f"courier.nodes[{number}]", node)
            if node in courier.nodes[:number]:
                self.fault(f"courier.nodes[{number}]", f"{node} stands there twice", "name each once")
            if node in (courier.listen, courier.admin):
                self.fault(
                    f"courier.nodes[{number}]",
                    f"{node} is where the courier itself listens",
                    "give the discovery node's address",
                )
        if courier.nodes and not courier.fleet:
            self.fault(
                "courier.fleet",
                "which fleet the nodes serve is not said",
                "give the name that the nodes were started with",
            )
        if courier.fleet and not courier.nodes:
            self.fault(
                "courier.fleet", "there are no nodes that serve it", "give courier.nodes, or take it out"
            )

    def address(self, key, word):
        """A fault at the key where the word is no address."""
        try:
            units.address(word)
        except ValueError as fault:
            self.fault(key, str(fault))

    def products(self):
        """Times, repeats and revenues of each product against one another and the courier's."""
        connect, courier = self.ms["courier.connect"], self.sheet.courier
        for number, product in enumerate(self.sheet.product):
            key = f"product[{number}]"
            sla, validity, memory = (self.ms[f"{key}.{name}"] for name in ("sla", "validity", "memory"))
            if sla <= 0.0:
                self.fault(
                    f"{key}.sla",
                    "no text can be delivered in no time",
                    "give the time in which a delivery earns in full",
                )
            if sla > validity:
                self.fault(
                    f"{key}.sla",
                    f"{product.sla} is longer than the validity period {product.validity}",
                    "lower it, or raise validity",
                )
            if validity > LONGEST:
                self.fault(
                    f"{key}.validity",
                    f"{product.validity} is over a day, the longest that a client may ask for",
                    "lower it",
                )
            if product.repeat == "referenced" and memory <= 0.0:
                self.fault(
                    f"{key}.memory",
                    f"{product.name!r} is referenced, and how long partners know a reference is not said",
                    "give memory, or make it once-only",
                )
            if product.repeat != "referenced" and (memory > 0.0 or product.memory_by_zone):
                self.fault(
                    f"{key}.memory",
                    f"{product.name!r} is {product.repeat}, so no reference is ever sent",
                    "take memory out, or make the product referenced",
                )
            if product.repeat == "referenced" and 0.0 < memory < min(sla, validity):
                self.fault(
                    f"{key}.memory",
                    f"partners forget a reference after {product.memory}, "
                    f"before a text's SLA time {product.sla} is over, "
                    "so it may not be sent again in time",
                    "ask the partner for a longer memory, or make it once-only",
                )
            kinds = [kind for kind in self.sheet.kind if not product.kinds or kind.name in product.kinds]
            answers = min((units_or(kind.answers) for kind in kinds), default=0.0)
            if answers >= validity:
                self.fault(
                    f"{key}.validity",
                    f"{product.validity} is over before any of its partners answers, "
                    f"which takes {units.spell(answers)}",
                    "raise validity",
                )
            elif product.repeat != "once-only" and validity < connect + 2.0 * answers:
                self.fault(
                    f"{key}.validity",
                    f"{product.validity} is shorter than one lost call ({units.spell(connect)} to connect, "
                    f"{units.spell(answers)} to answer) and its repeat",
                    "raise validity or lower courier.connect",
                )
            if answers > sla:
                self.doubt(
                    f"{key}.sla",
                    f"partners mostly answer after {units.spell(answers)}, beyond it",
                    "its texts will mostly be late",
                )
            if connect >= validity:
                self.fault(
                    "courier.connect",
                    f"{courier.connect} is longer than the validity period of {product.name!r}, "
                    f"{product.validity}",
                    "lower connect: a connection that does not come up must leave time for another",
                )
            if product.in_order and self.ms["courier.settle"] >= validity:
                self.fault(
                    "courier.settle",
                    f"an order key rests for {courier.settle}, "
                    f"longer than a text of {product.name!r} is valid",
                    "lower settle",
                )

    def courier(self):
        """Descriptors, disk, times, store and folder of the courier against what it is to hold and call."""
        courier = self.sheet.courier
        budget = Budget(courier.descriptors, courier.slots, bool(courier.admin))
        if budget.calls < courier.slots:
            self.fault(
                "courier.descriptors",
                f"{courier.descriptors} leave descriptors for {budget.calls} calls, "
                f"not for {courier.slots} slots",
                f"raise it to {least_descriptors(courier.slots)} at least, or lower slots",
            )
        needs = courier.held * (LEAST_BODY + RECORD)
        if needs > self.disk * 2 // 5:
            self.fault(
                "courier.disk",
                f"{courier.held} texts of {LEAST_BODY} bytes need "
                f"{units.spell_size(math.ceil(needs * 2.5 / 1e5) * 1e5)}; live "
                "texts may fill two fifths of it",
                "raise disk or lower held",
            )
        if courier.held < courier.slots:
            self.fault(
                "courier.held",
                f"holds {courier.held} texts, fewer than its {courier.slots} slots send at once",
                "raise held or lower slots",
            )
        idle, connect = self.ms["courier.idle"], self.ms["courier.connect"]
        if idle <= connect:
            self.doubt(
                "courier.idle",
                f"connections idle for {courier.idle} are closed in the time that one takes to open, "
                f"{courier.connect}",
                "few calls will find one",
            )
        if courier.give_back and idle <= 0.0:
            self.fault(
                "courier.give_back",
                f"partners close idle connections after {courier.idle}, so there is none to give back",
                "take it out, or say how long partners keep them",
            )
        if self.ms["courier.tick"] <= 0.0 or self.ms["courier.tick"] > 1000.0:
            self.fault(
                "courier.tick", f"{courier.tick} is no time between two turns", "give 1ms to 1s; 5ms is usual"
            )
        if self.ms["courier.list_age"] <= 0.0:
            self.fault("courier.list_age", "no list is as new as that", "give a time; 24h is usual")
        if courier.durability == "machine" and courier.store != "segments":
            self.fault(
                "courier.durability",
                "only segments are written through to the disk",
                'set store = "segments"',
            )
        self.folder("courier.state", courier.state)

    def folder(self, key, path):
        """The folder as far as it can be looked at without changing anything."""
        path = (
            os.path.join(os.path.dirname(self.read.paths[-1]), path)
            if self.read.paths and not os.path.isabs(path)
            else path
        )
        try:
            what = os.stat(path)
        except FileNotFoundError:
            parent = os.path.dirname(os.path.abspath(path))
            while not os.path.exists(parent) and parent != os.path.dirname(parent):
                parent = os.path.dirname(parent)
            if not os.path.isdir(parent) or not os.access(parent, os.W_OK | os.X_OK):
                self.fault(
                    key,
                    f"{path} does not exist and cannot be made in {parent}",
                    "make it, owned by the courier's user",
                )
            return
        except OSError as fault:
            self.fault(key, f"{path}: {fault.strerror}", "give a folder")
            return
        if not stat.S_ISDIR(what.st_mode):
            self.fault(key, f"{path} is no folder", "give a folder of the courier's own")
        elif not os.access(path, os.W_OK | os.X_OK):
            self.fault(key, f"{path} cannot be written", "give the courier's user the right to")

    def returning(self):
        """The rule on returning partners: its times, multiple and share against one another."""
        part = self.sheet.returning
        if self.ms["returning.span"] <= 0.0:
            self.fault("returning.span", "a span of no time cannot be counted over", "give a second or more")
        if self.ms["returning.cold"] < self.ms["returning.span"]:
            self.doubt(
                "returning.cold",
                f"{part.cold} is shorter than the span {part.span}",
                "partners will hardly be spared",
            )
        if part.cold_from * part.multiple >= 1.0:
            self.doubt(
                "returning.multiple",
                f"{part.multiple:g} times the {part.cold_from:g} that a cold partner can do is all it can "
                "do when warm",
                "nothing will be spared; lower one of them",
            )

    def kinds(self):
        """Revenues that have nothing left to fade."""
        if self.sheet.late == "linear":
            return
        for number, product in enumerate(self.sheet.product):
            if product.late_revenue >= 1.0:
                self.doubt(
                    f"product[{number}].late_revenue",
                    "all of the revenue is left at the end, so nothing fades",
                    "",
                )

    def partners(self):
        """The list, where it stands here or in a file of its own."""
        sheet = self.sheet
        ways = [
            bool(sheet.courier.agent or sheet.courier.nodes),
            bool(sheet.partner),
            bool(sheet.partners_file),
        ]
        if sum(ways) != 1:
            self.fault(
                "courier.agent" if not any(ways) else "partners_file" if ways[2] else "partner",
                "there is no list of partners" if not any(ways) else "the list of partners is given twice",
                "give one of courier.agent, courier.nodes, [[partner]] tables or partners_file",
            )
            return
        some, place = sheet.partner, self.read.place
        if sheet.partners_file:
            path = (
                os.path.join(os.path.dirname(self.read.paths[-1]), sheet.partners_file)
                if self.read.paths
                else sheet.partners_file
            )
            try:
                some, origin = lists.load(path)
            except UnreadableNowError:
                raise
            except UnusableError as faults:
                self.faults += faults.faults
                return
            place = lambda key: f"{origin.get(key, path)}: {key}"  # noqa: E731
        self.faults += lists.faults(some, sheet, place)
        if not sheet.courier.nodes:  # the nodes tell which partners there are
            self.reach(some, place)
        if self.faults:
            return
        for number, partner in enumerate(some):
            if partner.limit > 0.0:
                longest = max(self.ms[f"product[{at}].validity"] for at, _ in enumerate(sheet.product))
                each = calls_each(partner.limit, sheet.courier.senders, longest)
                if each < 1.0:
                    self.fault(
                        place(f"partner[{number}].limit").rpartition(": ")[2]
                        if not sheet.partners_file
                        else "partners_file",
                        f"{partner.limit:g} calls a second of {sheet.courier.senders} senders are "
                        f"{each:.2f} calls of this one "
                        f"to {partner.name!r} in the longest validity period",
                        "agree a higher limit, or send from fewer couriers",
                    )

    def reach(self, some, place):
        """Products that nobody gets, and kinds that a product may not reach though a partner is to get it."""
        kinds = {partner.kind for partner in some}
        for number, product in enumerate(self.sheet.product):
            if product.kinds and not kinds & set(product.kinds):
                self.fault(
                    f"product[{number}].kinds",
                    f"{product.name!r} may go to {', '.join(product.kinds)} only, and no partner is one",
                    "give a partner that kind, or allow another",
                )


def calls_each(limit, senders, longest):
    """Calls of one sender at a limit in calls a second of all, in the longest validity period in
    milliseconds.
    """
    return limit / senders * longest / 1000.0


def units_or(word):
    """A time in ms; 0 where the word is none."""
    try:
        return units.milliseconds(word)
    except ValueError:
        return 0.0


def least_descriptors(slots):
    """The fewest descriptors that leave room for so many calls at once."""
    count = 32
    while Budget(count, slots).calls < slots:
        count += 1
    return count


def examine(read):
    """(faults, doubts) of a configuration that was read."""
    done = Checks(read).run()
    return done.faults, done.doubts
