"""Discovery answers late: does the courier hear that another partner's endpoint has come to an address?"""

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

VALIDITY_S = 24.0
SLOW_S, LEAVES_S = 5.0, 8.0  # when discovery becomes slow, and when the endpoint leaves
LATE_S = 0.4  # how late discovery answers each call while it is slow
TOLD_S = 6.0  # after which a change counts as told, heard or not
GRACE_S = 0.5 + 0.05  # of the drain rule, and 50 ms of the sockets' rules
HOLD_S = 0.15  # a courier may be held up so long between its clock and a write


async def play(record, folder, couriers):
    """Returns the calls that came to the endpoint that has gone, or to the other partner's at its address."""
    staying, leaving = [await Endpoint(record, f"s-{name}", 7).start() for name in ("stays", "leaves")]
    platform = await Platform(
        record, [staying, leaving, await Endpoint(record, "s-other", 8).start()]
    ).start()
    terms = settings([grade("order-confirm", "idempotency_key", VALIDITY_S)])
    courier = Courier(record, terms, platform, folder)
    couriers.append(courier)
    await courier.start()
    client = Client(record, courier.port)
    if not await client.ready():
        raise UnusableError("the courier did not become ready")
    began, hand_ins, left_at = record.now(), [], []
    foreign = Endpoint(record, "s-other-2", 8)

    async def replace():
        await asyncio.sleep(LEAVES_S)
        leaving.state = "leaving"
        await platform.change(leaving)
        await asyncio.sleep(2.0)
        leaving.stop()
        leaving.state = "left"
        left_at.append(record.now())
        await platform.change(leaving)
        await asyncio.sleep(1.0)
        platform.endpoints.append(await foreign.start(leaving.port))
        await platform.change(foreign)

    replacing = asyncio.create_task(replace())
    for number in range(520):
        if trouble() and not platform.answer_delay and record.now() - began >= SLOW_S:
            platform.answer_delay = LATE_S
            record.note("trouble", what="discovery answers late")
        ident = f"m{number:04d}"
        hand_ins.append(
            asyncio.create_task(client.hand_in("order-confirm", ident, 7, VALIDITY_S, key=f"k{number}"))
        )
        await asyncio.sleep(0.05)
    await asyncio.gather(replacing, *hand_ins)
    await asyncio.sleep(1.0)
    allowed_until = left_at[0] + TOLD_S + GRACE_S + HOLD_S
    late = [at for at, _, _, _ in leaving.arrivals + foreign.arrivals if at > allowed_until]
    record.note("count", at_other_partner=len(foreign.arrivals), late=len(late), kept=len(staying.arrivals))
    if not (staying.arrivals and leaving.arrivals):
        raise UnusableError("an endpoint got no call")
    if not late:
        return []
    first, last = late[0] - left_at[0], late[-1] - left_at[0]
    return [
        f"{len(late)} messages of one partner went to another's endpoint, "
        f"{first:.1f} to {last:.1f} s after their own endpoint was listed as gone"
    ]


if __name__ == "__main__":
    run_case(HERE, play)
