"""One answer with a load report that is no share: does the courier go on serving its other destinations?"""

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

SLACK_S = 0.55  # half a second after its time, and 50 ms of the sockets' rules
VALIDITY_S = 8.0


class Reporting(Endpoint):
    """An endpoint that reports the share of its limit that is left; the report of one answer is spoilt."""

    is_spoilt = False

    async def answer(self, idents, single, headers, body, reader, writer):
        """Delivers each call."""
        await asyncio.sleep(self.work)
        report, self.is_spoilt = ("80000000" if self.is_spoilt else "0.8"), False
        return await self.deliver(idents, single, writer, f'X-Server-Load: {{"x0":{report},"x1":25}}')


async def play(record, folder, couriers):
    """Returns the messages that were taken on and never got their end."""
    partners = [await Reporting(record, f"s-{dest}", dest).start() for dest in (1, 2, 3)]
    platform = await Platform(record, partners).start()
    terms = settings([grade("order-confirm", "idempotency_key", VALIDITY_S)])
    courier = Courier(record, terms, platform, folder)
    couriers.append(courier)
    await courier.start()
    client = Client(record, courier.port)
    if not await client.ready():
        raise UnusableError("the courier did not become ready")
    hand_ins = []
    for number in range(400):  # in clumps
        if number == 120 and trouble():
            partners[0].is_spoilt = True
            record.note("trouble", what="the next answer of s-1 holds a spoilt report")
        ident, dest = f"m{number:04d}", 1 + number % 3
        hand_ins.append(
            asyncio.create_task(client.hand_in("order-confirm", ident, dest, VALIDITY_S, key=f"k{number}"))
        )
        if number % 8 == 7:
            await asyncio.sleep(0.2)
    await asyncio.gather(*hand_ins)
    await asyncio.sleep(VALIDITY_S + SLACK_S + 1.5)
    delivered = {ident for partner in partners for ident in partner.ran}
    taken = [ident for ident, status in client.answers.items() if status in (200, 202)]
    lost = [ident for ident in taken if ident not in delivered and ident not in platform.notices]
    unanswered = [ident for ident, status in client.answers.items() if status is None]
    if not taken:
        raise UnusableError("no message was taken on")
    breaks = (
        [f"{len(lost)} of {len(taken)} messages taken on got no end: {' '.join(lost[:8])}"] if lost else []
    )
    if unanswered:
        breaks.append(f"{len(unanswered)} messages got no answer: {' '.join(unanswered[:8])}")
    refused = sum(status not in (None, 200, 202) for status in client.answers.values())
    record.note("count", taken=len(taken), refused=refused, delivered=len(delivered))
    return breaks


if __name__ == "__main__":
    run_case(HERE, play)
