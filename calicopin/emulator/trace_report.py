"""Readable text of a trace: of the whole run, or of one text."""

TEMPLATES = {
    "start": "{0} starts",
    "ready": "{0} is ready",
    "end": "{0} ends: {1}, {2}",
    "stands": "{0} is suspended for {1:.0f} ms",
    "term": "{0} gets SIGTERM",
    "disk": "{0}'s disk is faulty for {1:.0f} ms",
    "trouble": "trouble: {0} at {1} for {2:.0f} ms",
    "cold": "destination {0} is back and warms up",
    "fell": "destination {0} is overloaded: {1} calls in the window, limit {2}, {3} by informed couriers",
    "hand-in": "a client submits {0} (text {1}) to {2} for destination {3}, key {5}, valid until {8:.1f}",
    "answer": "the client gets {1} for {0}",
    "left": "the client of {0} times out and disconnects",
    "cut": "{1} closes the connection of {0}'s client without an answer",
    "call": "call {0}: {1} to {2} in {3}, started {6:.1f}, with {5}",
    "ran": "call {0}: {1} carried out",
    "reply": "call {0}: answered {1}, wait {2:.0f} ms {3}",
    "heard": "call {0}: the courier has read the answer",
    "hung-up": "call {0}: the connection is closed",
    "lost": "call {0}: the answer is lost",
    "notice": "{0} tells the platform: {1} is {2}, wait {3:.0f} ms",
    "told": "discovery updates {0}: on {2}, off {3}",
    "had": "the agent of {0} gets: on {1}, off {2}",
    "asked": "{0} starts a watch: served {1}",
    "fault": "error in {0}: {1}",
    "lost-machine": "{0}'s machine is lost with its files",
    "operator": "admin call to {0}: {1} at {2:.1f}, answer {3}",
    "emptied": "{0} drains: clients hold {1} connections",
    "source": "source of {1}: {2} of destination {3} is {4}",
    "answered": "{1} answers {0}: destinations {2}, unknown {3}",
    "gives-up": "{0} unsubscribes from destinations {1}",
    "cut-off": "{0} and {1} are partitioned for {2:.0f} ms",
    "machine-gone": "{0}'s machine is unreachable for {1:.0f} ms",
    "leaves-service": "{0} gets SIGTERM",
    "agents-gone": "the platform's agents are unreachable for {0:.0f} ms",
}
OMITTED_KINDS = (
    "refused",
    "asked",
    "told",
    "had",
    "heard",
    "ran",
    "answered",
)  # left out for a whole run


def describe_event(entry):
    """One line for a trace entry."""
    at, kind, *details = entry
    template = TEMPLATES.get(kind, kind + " " + " ".join("{%d}" % i for i in range(len(details))))
    return f"{at:12.1f} ms  " + template.format(*details)


def describe_trace(trace, ident=None):
    """Lines for the whole run, or for what concerns one text."""
    if ident is None:
        return [describe_event(entry) for entry in trace if entry[1] not in OMITTED_KINDS]
    calls = {entry[2] for entry in trace if entry[1] == "call" and any(text[0] == ident for text in entry[7])}
    lifecycle_kinds = ("start", "end", "ready", "term", "stands", "disk", "trouble", "lost-machine")
    return [
        describe_event(entry)
        for entry in trace
        if entry[1] in lifecycle_kinds
        or ident in entry[2:4]
        or entry[1] in ("call", "ran", "reply", "heard", "hung-up", "lost")
        and entry[2] in calls
    ]
