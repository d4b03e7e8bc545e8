"""All slopes of the model.

Times are seconds of one core of the machine named in the source; memory and traffic are in bytes.
"""

from calicopin.capacity import encoded
from calicopin.capacity.slope import Basis, Kind, Row, Run, Slope

SCALE_COMMAND = "python -m calicopin.scale "
LIST_BEFORE_FILE = "docs/scale/slopes-list-before.json"
LIST_AFTER_FILE = "docs/scale/slopes-list-after.json"
MESSAGES_FILE = "docs/scale/slopes-messages.json"
SENDER_COUNT_FILE = "docs/scale/sender-count.json"
LIST_SIZES = (1_000, 10_000, 50_000)
MESSAGE_SIZES = (10_000, 30_000, 100_000)
BEFORE_SUBSCRIPTIONS = "the program before subscriptions"


def _list_run(figure: str, factor: float = 1.0) -> Run:
    return Run(LIST_BEFORE_FILE, figure, SCALE_COMMAND + "slopes list list-memory entry", factor=factor)


def _messages_run(figure: str) -> Run:
    return Run(MESSAGES_FILE, figure, SCALE_COMMAND + "slopes messages kept-messages rate journal")


LISTED_MEMORY = Slope(
    "memory of a listed destination",
    6_391.0,
    "B / destination",
    Basis.RUN,
    BEFORE_SUBSCRIPTIONS,
    LIST_SIZES,
    0.0037,
    _list_run("memory of the list in the decisions"),
)
LIST_PROCESSING_TIME = Slope(
    "whole list taken in",
    3.048e-5,
    "s / destination",
    Basis.RUN,
    BEFORE_SUBSCRIPTIONS,
    LIST_SIZES,
    0.1163,
    _list_run("time of the first whole list", 1e-3),
)
CHANGE_TIME = Slope(
    "one change, a known destination",
    1.512e-6,
    "s / destination",
    Basis.RUN,
    BEFORE_SUBSCRIPTIONS,
    LIST_SIZES,
    0.1284,
    _list_run("time of one changed entry (median in a process)", 1e-3),
)
ENTRY_BYTES = Slope(
    "an entry of the list",
    131.8,
    "B / destination",
    Basis.RUN,
    "",
    (1_000, 10_000, 100_000),
    0.0015,
    _list_run("bytes of the list as JSON"),
)
WAITING_DECISIONS = Slope(
    "memory of a waiting message in the decisions alone",
    552.7,
    "B / message",
    Basis.RUN,
    "",
    MESSAGE_SIZES,
    0.0011,
    _messages_run("memory of waiting messages in the decisions"),
)
WAITING_MEMORY = Slope(
    "memory of a waiting message, all of it",
    1_353.0,
    "B / message",
    Basis.RUN,
    "decisions, message with a body of 256 B, journal",
    MESSAGE_SIZES,
    0.0018,
    _messages_run("memory of waiting messages with text, 256 B body, journal"),
)
JOURNAL_BYTES = Slope(
    "a waiting message in the journal",
    512.8,
    "B / message",
    Basis.RUN,
    "body of 256 B",
    MESSAGE_SIZES,
    0.0,
    _messages_run("journal file of waiting messages, 256 B body"),
)
JOURNAL_TRAFFIC = Slope(
    "a message in the journal from its taking on to its end",
    647.8,
    "B / message",
    Basis.RUN,
    "body of 256 B, delivered at its first call",
    (1_320, 3_960, 13_200),
    0.0003,
    _messages_run("journal bytes of delivered messages, 256 B body"),
)
DECISION_TIME = Slope(
    "an event in the decisions",
    1.504e-4,
    "s / event",
    Basis.RUN,
    "90 destinations, delivered at its first call",
    (33, 132, 528),
    0.0613,
    Run(
        MESSAGES_FILE,
        "processor time of the decisions a second",
        SCALE_COMMAND + "slopes messages kept-messages rate journal",
        factor=1e-3,
    ),
)
TRAFFIC_COMMAND = "python -m calicopin.capacity.traffic --json docs/scale/traffic.json"
BACKLOG_COMMAND = "python -m calicopin.capacity.backlog --json docs/scale/backlog.json"
DOWN_SCAN_TIME = Slope(
    "a waiting message a second, its destination down",
    2.167e-6,
    "s / message",
    Basis.RUN,
    "no limit told in answers; an event each 0.68 s for the destination",
    (10_000, 30_000, 100_000),
    0.0889,
    Run(
        "docs/scale/backlog.json",
        "processor time a second, the destination down",
        BACKLOG_COMMAND,
        factor=1e-3,
    ),
)
DELIVERY_SCAN_TIME = Slope(
    "a waiting message at each delivery of its destination",
    7.498e-7,
    "s / message",
    Basis.RUN,
    "the first 100 deliveries of a backlog",
    (10_000, 30_000, 100_000),
    0.0639,
    Run("docs/scale/backlog.json", "processor time of one delivery", BACKLOG_COMMAND, factor=1e-3),
)
PROCESS_MEMORY = Slope(
    "a courier's process with no events",
    22_650_000.0,
    "B",
    Basis.RUN,
    "three destinations listed",
    (33, 66, 132),
    0.0033,
    Run("docs/scale/traffic.json", "resident memory of a courier", TRAFFIC_COMMAND, Kind.INTERCEPT),
)
STORE_BYTES = Slope(
    "a live message in the segmented store",
    120.6e6 / 200_000,
    "B / message",
    Basis.PAGE,
    "docs/store-design.md, `python -m calicopin.store measure`, bodies of 300 B",
    (1_000, 10_000, 200_000),
)
STORE_START = Slope(
    "a live message read at a start",
    2.68 / 200_000,
    "s / message",
    Basis.PAGE,
    "docs/store-design.md, `python -m calicopin.store measure`",
    (1_000, 10_000, 200_000),
)
EVENT_TIME = Slope(
    "an event from its request to its end",
    1.737e-3,
    "s / event",
    Basis.RUN,
    "a whole courier on loopback, every event delivered at its first call; 15 ms a second more at any rate",
    (33, 66, 132),
    0.1204,
    Run("docs/scale/traffic.json", "processor time of a courier a second", TRAFFIC_COMMAND, factor=1e-3),
)
POLL_BYTES = Slope(
    "a call for the list with no news",
    float(encoded.poll_bytes()),
    "B / call",
    Basis.ENCODED,
    "request and answer of today's exchange with their heads",
)
RENEWAL_BYTES = Slope(
    "a renewal with no news",
    float(encoded.renewal_bytes()),
    "B / call",
    Basis.ENCODED,
    "calicopin/subscription/messages.py with heads",
)
NEW_LEASE_BYTES = Slope(
    "a subscribed destination of a new lease",
    float(encoded.subscribed_bytes()),
    "B / destination",
    Basis.ENCODED,
    "its number in the request and in `complete`, and its entry",
)
STATUS_BYTES = Slope(
    "a destination in an answer to operators",
    float(encoded.status_bytes()),
    "B / destination",
    Basis.ENCODED,
    "a row of `Facade.state` as JSON",
)
NODE_FILE = "docs/scale/node.json"
NODE_DESTINATIONS_FILE = "docs/scale/node-slopes-destinations.json"
NODE_COURIERS_FILE = "docs/scale/node-slopes-couriers.json"
NODE_SIZES = (100_000, 400_000, 1_700_000)
COURIER_SIZES = (200, 613, 1_731)
NODE_COURIERS = 613
DAILY_CHANGES = Row(NODE_COURIERS, "changes of a day")
TENFOLD_CHANGES = Row(NODE_COURIERS, "ten times")
BYTES_PER_MIB = float(1 << 20)
SHARE_PER_PERCENT = 0.01


def _node_run(figure: str, row: Row | None = None) -> Run:
    return Run(NODE_FILE, figure, SCALE_COMMAND + "node", Kind.VALUE if row is None else Kind.ROW, row=row)


def _destinations_run(figure: str, factor: float = 1.0) -> Run:
    return Run(NODE_DESTINATIONS_FILE, figure, SCALE_COMMAND + "node-slopes destinations", factor=factor)


def _couriers_run(figure: str, factor: float) -> Run:
    return Run(NODE_COURIERS_FILE, figure, SCALE_COMMAND + "node-slopes couriers", factor=factor)


COURIER_CORE = Slope(
    "a courier's processor time for its subscription at one node",
    2.380e-4,
    "core",
    Basis.RUN,
    "control-only couriers, no changes",
    COURIER_SIZES,
    0.0857,
    _couriers_run("processor time of all couriers", SHARE_PER_PERCENT),
)
COURIER_MEMORY = Slope(
    "a courier's memory for its subscription",
    118_900.0,
    "B / courier",
    Basis.RUN,
    "control-only couriers, without the decisions' own list; what the run compares is counted in",
    COURIER_SIZES,
    0.0328,
    _couriers_run("memory of all couriers for control", BYTES_PER_MIB),
)
COURIER_SENT = Slope(
    "bytes a second that a courier sends for its subscription",
    130.4,
    "B / s",
    Basis.RUN,
    "control-only couriers, the changes of a day",
    (NODE_COURIERS,),
    None,
    _node_run("courier_sent_bytes_s", DAILY_CHANGES),
)
COURIER_RECEIVED = Slope(
    "bytes a second that a courier receives for its subscription",
    123.6,
    "B / s",
    Basis.RUN,
    "the same",
    (NODE_COURIERS,),
    None,
    _node_run("courier_received_bytes_s", DAILY_CHANGES),
)
NODE_CORE = Slope(
    "a node's processor time for one courier",
    2.399e-4,
    "core / courier",
    Basis.RUN,
    "no changes",
    COURIER_SIZES,
    0.0850,
    _couriers_run("processor time of the node", SHARE_PER_PERCENT),
)
NEW_LEASES_TIME = Slope(
    "613 new leases at one node, until the last courier has its set",
    4.401,
    "s / start",
    Basis.RUN,
    "control-only couriers that begin at once, 1.7 million destinations;"
    " a run of 2,000 couriers went on beside it",
    (NODE_COURIERS,),
    None,
    _node_run("613 couriers: first answer, last"),
)
CHANGE_PROPAGATION_WORST = Slope(
    "a change in force at the last courier, the worst, at ten times the changes",
    0.2840,
    "s / change",
    Basis.RUN,
    "control-only couriers; from the time at which the change was due",
    (NODE_COURIERS,),
    None,
    _node_run("last_courier_worst_s", TENFOLD_CHANGES),
)
SUBSCRIBED_MEMORY = Slope(
    "memory of a listed destination, with subscriptions' program",
    6_707.0,
    "B / destination",
    Basis.RUN,
    "a change costs by what it names",
    LIST_SIZES,
    0.0055,
    Run(LIST_AFTER_FILE, "memory of the list in the decisions", SCALE_COMMAND + "slopes list list-memory"),
)
SUBSCRIBED_LIST_TIME = Slope(
    "whole list taken in, with subscriptions' program",
    3.023e-5,
    "s / destination",
    Basis.RUN,
    "the same",
    LIST_SIZES,
    0.0423,
    Run(
        LIST_AFTER_FILE,
        "time of the first whole list",
        SCALE_COMMAND + "slopes list list-memory",
        factor=1e-3,
    ),
)
SUBSCRIBED_CHANGE_TIME = Slope(
    "one change, whatever is known",
    3.837e-5,
    "s / change",
    Basis.RUN,
    "the line's value at no destinations; its slope is 0.12 ns a known destination",
    LIST_SIZES,
    0.1089,
    Run(
        LIST_AFTER_FILE,
        "time of one changed entry (median in a process)",
        SCALE_COMMAND + "slopes list list-memory",
        Kind.INTERCEPT,
        factor=1e-3,
    ),
)
NODE_PAGE = "docs/discovery-node.md, `python -m calicopin.discovery_node.measure`"
NODE_PROCESS_RUN = "docs/discovery-node.md, one run of a whole process"
NEW_LEASE_NODE_TIME = Slope(
    "a subscribed destination of a new lease at the node",
    0.7 / 613 / 90,
    "s / destination",
    Basis.PAGE,
    NODE_PROCESS_RUN + "; 613 new leases of 90 destinations took 0.7 s of a core",
    (90,),
)
NODE_LISTED_MEMORY = Slope(
    "memory of a destination at the node",
    177.0,
    "B / destination",
    Basis.RUN,
    "a whole process; 31.7 MB more at any size",
    NODE_SIZES,
    0.0004,
    _destinations_run("memory of the node", BYTES_PER_MIB),
)
NODE_CHANGED_MEMORY = Slope(
    "memory of a destination that changed since a node's start",
    366.0,
    "B / destination",
    Basis.PAGE,
    NODE_PAGE,
    (11_000,),
)
NODE_LEASE_MEMORY = Slope(
    "memory of a lease with its connection and 90 destinations at the node",
    17_950.0,
    "B / courier",
    Basis.RUN,
    "",
    COURIER_SIZES,
    0.0262,
    _couriers_run("growth of the node's memory", BYTES_PER_MIB),
)
NODE_LOAD_TIME = Slope(
    "a destination read by a node's start",
    9.396e-6,
    "s / destination",
    Basis.RUN,
    "a whole process",
    NODE_SIZES,
    0.0260,
    _destinations_run("processor time until the node serves"),
)
NODE_CHANGE_TIME = Slope(
    "a change at the node, told to one courier",
    3.057e-4,
    "s / change",
    Basis.RUN,
    "calls on sockets counted in; the line at no destinations, falling by 0.02 ns a destination known",
    NODE_SIZES,
    0.0507,
    Run(
        "docs/scale/bench-slopes.json",
        "processor time of the node for a change that one courier hears",
        SCALE_COMMAND + "bench slopes",
        Kind.INTERCEPT,
        factor=0.001,
        revision="5f1c46c96502",
    ),
)


SERVED_FIGURE = "delivered before the last was offered"


def _sender_count_run(size: float, figure: str = SERVED_FIGURE) -> Run:
    return Run(SENDER_COUNT_FILE, figure, SCALE_COMMAND + "sender-count", Kind.MEDIAN, size)


SERVED_TOTAL_COUNT = Slope(
    "served within a minute, 20 senders told that they are 19,000",
    0.5607,
    "share",
    Basis.RUN,
    "limit 50 a second, 40 a second offered; median of ten",
    (19_000,),
    None,
    _sender_count_run(19_000),
)
SERVED_ACTUAL_COUNT = Slope(
    "served within a minute, 20 senders that know they are 20",
    0.9367,
    "share",
    Basis.RUN,
    "the same",
    (20,),
    None,
    _sender_count_run(20),
)


GIVEN_UP_TOTAL_COUNT = Slope(
    "given up, 20 senders told that they are 19,000",
    0.2238,
    "share",
    Basis.RUN,
    "the same; none is where they know that they are 20",
    (19_000,),
    None,
    _sender_count_run(19_000, "given up"),
)


def _fault_duration(name: str, value: float, figure: str) -> Slope:
    """Returns the duration of a fault, measured with 2,000 control-only couriers.

    They run against four discovery nodes that hold 20,000 destinations.
    """
    run = Run("docs/scale/fault-2000.json", figure, SCALE_COMMAND + "fault --couriers 2000", Kind.VALUE)
    return Slope(name, value, "s / fault", Basis.RUN, FAULT_RUN_CONDITIONS, (FAULT_RUN_COURIERS,), None, run)


FAULT_RUN_CONDITIONS = (
    "2,000 control-only couriers in one process, four nodes, 20,000 destinations, ten changes a second"
)
FAULT_RUN_COURIERS = 2_000
FAULT_NODE_KILLED = _fault_duration(
    "a node killed: all its couriers at another",
    4.087,
    "node-killed: until the last of them asked another node and was answered",
)
FAULT_NODE_HALF_OPEN = _fault_duration(
    "a node half-open: all its couriers at another",
    5.418,
    "half-open: until the last of them was answered by another",
)
FAULT_ALL_NODES_RESTARTED = _fault_duration(
    "all nodes gone and back: all couriers at a node",
    7.025,
    "all-gone-and-back: until the last courier had a lease again, from then",
)
FAULT_COURIERS_RESTARTED = _fault_duration(
    "a tenth of the couriers restarted: all have their set",
    2.348,
    "restart-tenth: until the last of them was answered",
)


def all_slopes() -> tuple[Slope, ...]:
    """Returns every slope of the model in order of definition."""
    return tuple(value for value in globals().values() if isinstance(value, Slope))
