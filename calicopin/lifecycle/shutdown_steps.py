"""How a courier leaves, step by step: for good after SIGTERM, for a while after a call to quiesce.

No I/O: the time since it was asked and what is still under way go in, the step it is in comes out. Times are
milliseconds.
"""

from dataclasses import dataclass

UNREADY_MS = 500.0  # new connections keep coming for so long at most, with some room
LAST_CALL_MS = 2800.0  # a call that begins later may be cut off by the end
LAST_ACCEPT_MS = 3200.0  # clients are served until then: what is taken on late is called after the restart
STOP_LIMIT_MS = 3500.0  # the platform kills 3.7 s after the signal at the earliest
DRAIN_ACCEPT_MS = 1500.0  # a quiesced courier takes texts on until then, for clients that have not heard yet
DRAIN_HAND_BACK_MS = (
    3000.0  # what still waits then is handed back, to be well clear of the 4 s after which it has to be empty
)
FOREVER = float("inf")


@dataclass(frozen=True)
class Step:
    """Lasts until `earliest_end`, and then while something of `busy` is under way (always, where that is None),
    `latest_end` at the most. What holds in it: `closing` (connections are given back), `refusing` (no text is
    taken on), `calling`, `listening`, and `emptying` (what waits is handed back).
    """

    name: str
    earliest_end: float
    latest_end: float
    waits_for: frozenset | None = frozenset()
    closes_connections: bool = False
    refuses_messages: bool = False
    makes_calls: bool = True
    accepts_connections: bool = True
    hands_back: bool = False


UNREADY_STEP = Step("unready", UNREADY_MS, UNREADY_MS)  # what still comes is served as ever
STOP_STEPS = (
    UNREADY_STEP,
    Step("finishing", 0.0, LAST_CALL_MS, frozenset({"clients", "texts", "notices"})),
    Step("calling no more", 0.0, LAST_ACCEPT_MS, frozenset({"clients"}), makes_calls=False),
    Step(
        "closing",
        0.0,
        STOP_LIMIT_MS,
        frozenset({"calls", "notices", "clients"}),
        closes_connections=True,
        makes_calls=False,
        accepts_connections=False,
    ),
)
RETIRED_STEPS = (
    Step(
        "finishing answers",
        0.0,
        STOP_LIMIT_MS,
        frozenset({"clients"}),
        closes_connections=True,
        makes_calls=False,
        accepts_connections=False,
    ),
)  # all else is another's
DRAIN_STEPS = (
    UNREADY_STEP,
    Step("giving connections back", 0.0, DRAIN_ACCEPT_MS, None, closes_connections=True),
    Step(
        "taking nothing on",
        0.0,
        DRAIN_HAND_BACK_MS,
        frozenset({"texts"}),
        closes_connections=True,
        refuses_messages=True,
    ),
    Step("empty", 0.0, FOREVER, None, closes_connections=True, refuses_messages=True, hands_back=True),
)


class StepSequence:
    """One walk through `steps`, begun at `began`; a step that is over does not come back."""

    def __init__(self, steps, began):
        self.steps, self.began = list(steps), began

    def step_at(self, now, busy):
        """The step that holds now, or None at the end. `busy` names what is under way."""
        passed = now - self.began
        while self.steps:
            step = self.steps[0]
            if (
                passed < step.earliest_end
                or passed < step.latest_end
                and (step.waits_for is None or step.waits_for & busy)
            ):
                return step
            self.steps.pop(0)
        return None
