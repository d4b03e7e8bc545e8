"""A kill with the segmented store: do messages with one key still go in the order in which they came?"""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stage2 import (  # noqa: E402
    Client,
    Courier,
    Endpoint,
    Platform,
    UnusableError,
    grade,
    run_case,
    settings,
    trouble,
)

HANGS_AT_S, HANGS_FOR_S = 5.0, 12.0
KILL_AT_S, DOWN_S = 14.0, 0.6
PAIRS = 6
END_S = 34.0


class Hanging(Endpoint):
    """An endpoint that takes calls and answers none for a while."""

    hangs_until = 0.0

    async def answer(self, idents, single, headers, body, reader, writer):
        """Answers nothing while it hangs."""
        if self.record.now() < self.hangs_until:
            await reader.read(1)  # until the courier gives the call up
            return False
        return await super().answer(idents, single, headers, body, reader, writer)


def plan():
    """(time, id, class, destination, key or None, validity, size of the body) of each message."""
    messages = [(number * 0.02, f"f{number:04d}", "notice", 2, None, 12.0, 2000) for number in range(1100)]
    messages += [(number * 0.25, f"u{number:02d}", "notice", 1, None, 12.0, 200) for number in range(18)]
    messages += [(6.0 + number * 0.1, f"w{number:02d}", "notice", 1, None, 12.0, 200) for number in range(12)]
    for pair in range(PAIRS):
        at = 8.0 + pair * 0.25
        messages.append((at, f"p{pair}-1", "order", 1, f"K{pair}", 18.0, 200))
        messages.append((at + 2.0, f"p{pair}-2", "order", 1, f"K{pair}", 18.0, 200))
    return sorted(messages)


async def hand_in_all(record, client, began):
    """Hands in each message at its time, but for those of the time in which the courier is down."""
    hand_ins = []
    for at, ident, product, dest, key, validity, size in plan():
        await asyncio.sleep(max(0.0, began + at - record.now()))
        if trouble() and KILL_AT_S - 0.5 <= at <= KILL_AT_S + 2.5:
            continue
        path = f"{product}/{key}" if key else product
        reference = f"k-{ident}" if product == "notice" else None
        hand_ins.append(
            asyncio.create_task(client.hand_in(path, ident, dest, validity, b"x" * size, reference))
        )
    await asyncio.gather(*hand_ins)


def out_of_turn(record, endpoint, client, platform):
    """The pairs whose second message went out while the first was unfinished."""
    breaks = []
    for pair in range(PAIRS):
        first, second = (f"p{pair}-{place}" for place in (1, 2))
        if not all(client.answers.get(ident) == 202 for ident in (first, second)):
            continue
        came = {ident: at for _, at, idents, _ in reversed(endpoint.arrivals) for ident in idents}
        ended = min(endpoint.ended.get(first, float("inf")), platform.noticed_at.get(first, float("inf")))
        if second in came and came[second] < ended:
            breaks.append(f"{second} went out at {came[second]:.2f}, {first} ended at {ended:.2f}")
    return breaks


async def play(record, folder, couriers):
    """Returns the messages that went out of turn."""
    ordered = await Hanging(record, "s-1", 1).start()
    other = await Endpoint(record, "s-2", 2, work=0.03).start()
    platform = await Platform(record, [ordered, other]).start()
    terms = settings(
        [
            grade("notice", "idempotency_key", 12.0, keyTtl=1.0),
            grade("order", "non_idempotent", 18.0, inOrder=True),
        ],
        rules={"orderSettle": 0.4},
        ceilings={"tryLimit": 9},
    )
    courier = Courier(record, terms, platform, folder, store="segments")
    couriers.append(courier)
    await courier.start()
    client = Client(record, courier.port)
    if not await client.ready():
        raise UnusableError("the courier did not become ready")
    began = record.now()
    ordered.hangs_until = began + HANGS_AT_S + HANGS_FOR_S

    async def disrupt():
        await asyncio.sleep(HANGS_AT_S)
        if trouble():
            record.note("trouble", what=f"s-1 hangs for {HANGS_FOR_S} s")
            await asyncio.sleep(KILL_AT_S - HANGS_AT_S)
            await courier.kill()
            await asyncio.sleep(DOWN_S)
            await courier.start()

    if not trouble():
        ordered.hangs_until = 0.0
    await asyncio.gather(disrupt(), hand_in_all(record, client, began))
    await asyncio.sleep(max(0.0, began + END_S - record.now()))
    sent = [ident for _, _, idents, _ in ordered.arrivals for ident in idents if ident.startswith("p")]
    record.note("count", ordered_calls=len(sent))
    if not sent:
        raise UnusableError("no message of the ordered class went out")
    return out_of_turn(record, ordered, client, platform)


if __name__ == "__main__":
    run_case(HERE, play)
