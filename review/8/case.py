"""Two kills with the segmented store: is a submit that may have run still known after the second one?"""

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
    response,
    run_case,
    settings,
    trouble,
)

STORE = "segments"
VALIDITY_S, WINDOW_S = 20.0, 5.0
FIRST_KILL_S, SECOND_KILL_S, DOWN_S = 4.0, 7.5, 0.6
SHUT_FOR_S = 10.0  # from the first kill on
MESSAGES, EVERY_S = 180, 0.03
SHARE = 9, 20  # of the messages are for the partner that is shut
END_S = FIRST_KILL_S + VALIDITY_S + 3.0


class Shutting(Endpoint):
    """An endpoint that is shut for a while, and that drops the repeat of a key within the window.

    It runs on when a call is given up. `effects` holds the times at which each key took effect.
    """

    def __init__(self, *args, **others):
        super().__init__(*args, **others)
        self.shut_from = self.shut_until = float("inf")
        self.known, self.effects = {}, {}

    async def answer(self, idents, single, headers, body, reader, writer):
        """Refuses while it is shut; else runs the call, then answers it."""
        if self.shut_from <= self.record.now() < self.shut_until:
            self.record.note("refused", endpoint=self.ident, ids=",".join(idents))
            writer.write(response(503))
            await writer.drain()
            return True
        key, at = headers["idempotency-key"], self.record.now()
        if at >= self.known.get(key, (0.0, 0.0))[1]:
            self.known[key] = at, at + WINDOW_S
            self.effects.setdefault(key, []).append(at)
            self.record.note("effect", endpoint=self.ident, key=key, ids=",".join(idents))
        await asyncio.sleep(self.work)
        return await self.deliver(idents, single, writer)


async def play(record, folder, couriers):
    """Returns the keys that took effect twice though each was handed in once."""
    partner = await Shutting(record, "s-1", 1, work=0.3).start()
    other = await Endpoint(record, "s-2", 2, work=0.1).start()
    platform = await Platform(record, [partner, other]).start()
    terms = settings([grade("order-handoff", "idempotency_key", VALIDITY_S, keyTtl=WINDOW_S)])
    courier = Courier(record, terms, platform, folder, store=STORE)
    couriers.append(courier)
    await courier.start()
    client = Client(record, courier.port)
    if not await client.ready():
        raise UnusableError("the courier did not become ready")
    began = record.now()

    async def restart(at):
        await asyncio.sleep(max(0.0, began + at - record.now()))
        await courier.kill()
        await asyncio.sleep(DOWN_S)
        await courier.start()

    async def disrupt():
        partner.shut_from = began + FIRST_KILL_S
        partner.shut_until = partner.shut_from + SHUT_FOR_S
        await restart(FIRST_KILL_S)
        await restart(SECOND_KILL_S)

    async def hand_in_all():
        hand_ins = []
        for number in range(MESSAGES):
            dest = 1 if number % SHARE[1] < SHARE[0] else 2
            message = client.hand_in(
                "order-handoff", f"m{number:03d}", dest, VALIDITY_S, key=f"k{number:03d}"
            )
            hand_ins.append(asyncio.create_task(message))
            await asyncio.sleep(EVERY_S)
        await asyncio.gather(*hand_ins)

    await asyncio.gather(hand_in_all(), *([disrupt()] if trouble() else []))
    await asyncio.sleep(max(0.0, began + END_S - record.now()))
    taken = {f"k{ident[1:]}" for ident, status in client.answers.items() if status == 202}
    twice = [key for key, times in partner.effects.items() if len(times) > 1 and key in taken]
    record.note("count", effects=sum(map(len, partner.effects.values())), twice=len(twice))
    if not partner.effects:
        raise UnusableError("no message took effect")
    return [
        f"{key} took effect at {' and '.join(f'{at:.2f}' for at in partner.effects[key])} s" for key in twice
    ]


if __name__ == "__main__":
    run_case(HERE, play)
