"""Discovery answers each call late: does the courier still hear that an endpoint leaves?"""

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

LATE_S = 0.4  # how late discovery answers each call while it is slow
TOLD_S = 6.0  # after which a change counts as told, heard or not
GRACE_S = 0.5 + 0.05  # of the drain rule, and 50 ms of the sockets' rules
HOLD_S = 0.15  # a courier may be held up so long between its clock and a write


async def play(record, folder, couriers):
    """Returns the calls that came to the leaving endpoint after the grace."""
    staying, leaving = [await Endpoint(record, f"s-{name}", 7).start() for name in ("stays", "leaves")]
    platform = await Platform(record, [staying, leaving]).start()
    terms = settings([grade("order-confirm", "idempotency_key", 24.0)])
    courier = Courier(record, terms, platform, folder)
    couriers.append(courier)
    await courier.start()
    client = Client(record, courier.port)
    if not await client.ready():
        raise UnusableError("the courier did not become ready")
    began, hand_ins, listed_at, slow_at = record.now(), [], None, None
    for number in range(500):
        passed = record.now() - began
        if trouble() and slow_at is None and passed >= 5.0:
            platform.answer_delay, slow_at = LATE_S, record.note("trouble", what="discovery answers late")
        if listed_at is None and passed >= 10.0:
            leaving.state, listed_at = "leaving", record.now()
            await platform.change(leaving)
        hand_ins.append(
            asyncio.create_task(client.hand_in("order-confirm", f"m{number:04d}", 7, 24.0, key=f"k{number}"))
        )
        await asyncio.sleep(0.05)
    await asyncio.gather(*hand_ins)
    await asyncio.sleep(1.0)
    allowed_until = listed_at + TOLD_S + GRACE_S + HOLD_S
    late = [(at, ids) for at, _, ids, _ in leaving.arrivals if at > allowed_until]
    record.note("count", calls=len(leaving.arrivals) + len(staying.arrivals), late=len(late))
    if not staying.arrivals or not leaving.arrivals:
        raise UnusableError("an endpoint got no call")
    if not late:
        return []
    first, last = late[0][0] - listed_at, late[-1][0] - listed_at
    return [
        f"{len(late)} calls to a leaving endpoint {first:.1f} to {last:.1f} s after it was listed as that"
    ]


if __name__ == "__main__":
    run_case(HERE, play)
