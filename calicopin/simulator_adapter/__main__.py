"""Runs many independent couriers; reads events from standard input and writes actions to standard output."""

import sys
import traceback

from calicopin.simulator_adapter.codec import WireError, batches, single_line
from calicopin.simulator_adapter.instance import Instance


def answer(clock, events, instances, pages):
    """Returns the lines of the reply to one batch, without the final YIELD."""
    events_of, reply, instance_id = {}, [], None
    page, missing = None, 0
    for number, name, values in events:
        if missing and name != "ENDPOINT":
            raise WireError(f"line {number}: page {page} lacks {missing} of its entries")
        if name == "FOR":
            instance_id = values[0]
        elif name == "PAGE":
            page, missing = values
            pages[page] = []
        elif name == "ENDPOINT":
            if not missing:
                raise WireError(f"line {number}: ENDPOINT outside a page")
            pages[page].append(values)
            missing -= 1
        elif instance_id is None:
            raise WireError(f"line {number}: {name} before any FOR")
        elif name == "DETACH":
            instances.pop(instance_id, None)
            events_of.pop(instance_id, None)
        elif name == "HELLO":
            instances[instance_id], events_of[instance_id] = Instance(values[0], values[1], number), []
        elif instance_id not in instances:
            raise WireError(f"line {number}: {name} for instance {instance_id}, which sent no HELLO")
        else:
            event = instances[instance_id].read(number, name, values, pages)
            events_of.setdefault(instance_id, [])
            if event is not None:
                events_of[instance_id].append(event)
    if missing:
        raise WireError(f"page {page} lacks {missing} of its entries at the end of the batch")
    for instance_id in list(events_of):
        try:
            lines = instances[instance_id].act(clock * 1000.0, events_of[instance_id])
        except Exception as fault:
            traceback.print_exc()
            frame = traceback.extract_tb(fault.__traceback__)[-1]
            cause = (
                f"instance {instance_id}: {type(fault).__name__}: {fault} ({frame.name}, line {frame.lineno})"
            )
            return reply + [f"INSTANCE {instance_id}", f"BAIL_OUT {single_line(cause)}"]
        if lines:
            reply.append(f"INSTANCE {instance_id}")
            reply.extend(lines)
    return reply


def main(source=sys.stdin, sink=sys.stdout):
    """Answers each batch until the input ends; returns the exit code, 2 for a line that cannot be read."""
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
