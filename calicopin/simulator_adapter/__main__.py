"""Hosts many couriers, each for itself, on the wire's standard input and output."""

import sys
import traceback

from calicopin.simulator_adapter.codec import WireError, batches, plain
from calicopin.simulator_adapter.instance import Instance


def answer(clock, events, instances, pages):
    """The reply to one batch, without its last line."""
    notes, reply, who = {}, [], None
    page, left = None, 0
    for number, name, values in events:
        if left and name != "ENDPOINT":
            raise WireError(f"line {number}: page {page} lacks {left} of its entries")
        if name == "FOR":
            who = values[0]
        elif name == "PAGE":
            page, left = values
            pages[page] = []
        elif name == "ENDPOINT":
            if not left:
                raise WireError(f"line {number}: ENDPOINT outside a page")
            pages[page].append(values)
            left -= 1
        elif who is None:
            raise WireError(f"line {number}: {name} before any FOR")
        elif name == "DETACH":
            instances.pop(who, None)
            notes.pop(who, None)
        elif name == "HELLO":
            instances[who], notes[who] = Instance(values[0], values[1], number), []
        elif who not in instances:
            raise WireError(f"line {number}: {name} for instance {who}, which has not begun")
        else:
            event = instances[who].read(number, name, values, pages)
            notes.setdefault(who, [])
            if event is not None:
                notes[who].append(event)
    if left:
        raise WireError(f"page {page} lacks {left} of its entries at the end of the batch")
    for who in list(notes):
        try:
            lines = instances[who].act(clock * 1000.0, notes[who])
        except Exception as fault:
            traceback.print_exc()
            place = traceback.extract_tb(fault.__traceback__)[-1]
            cause = f"instance {who}: {type(fault).__name__}: {fault} ({place.name}, line {place.lineno})"
            return reply + [f"INSTANCE {who}", f"BAIL_OUT {plain(cause)}"]
        if lines:
            reply.append(f"INSTANCE {who}")
            reply.extend(lines)
    return reply


def main(source=sys.stdin, sink=sys.stdout):
    """Answers every batch until the input ends; 2 where a line cannot be read."""
    instances, pages = {}, {}
    try:
        for clock, number, events in batches(source):
            reply = answer(clock, events, instances, pages)
            sink.write("".join(line + "\n" for line in reply) + f"YIELD {number}\n")
            sink.flush()
    except WireError as fault:
        print(f"calicopin.simulator_adapter: {fault}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
