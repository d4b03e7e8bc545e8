"""The steps of a stop after SIGTERM and of a drain after a quiesce call, decided without I/O.

Input is the time since the request and the kinds of work in progress; output is the current step. Times are
milliseconds since the request.
"""

from dataclasses import dataclass

UNREADY_MS = 500.0  # new connections still come this long at most after the courier reports not ready
LAST_CALL_MS = 2800.0  # a call that begins later may be cut off by the end of the process
LAST_ACCEPT_MS = 3200.0  # messages are accepted until then; late ones are sent after the restart
STOP_LIMIT_MS = 3500.0  # the platform kills the process 3.7 s after the signal at the earliest
DRAIN_ACCEPT_MS = 1500.0  # a draining courier accepts messages until then from clients that still connect
DRAIN_HAND_BACK_MS = 3000.0  # waiting messages are nacked then; the courier has to be empty after 4 s
FOREVER = float("inf")


@dataclass(frozen=True)
class Step:
    """One step: lasts until `earliest_end`, then while any work of `waits_for` is in progress (None: always),
    and until `latest_end` at most.

    During the step `closes_connections` closes client connections between requests, `refuses_messages`
    refuses new messages, `makes_calls` and `accepts_connections` permit both, and `hands_back` nacks waiting
    messages.
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


UNREADY_STEP = Step("unready", UNREADY_MS, UNREADY_MS)  # requests are still served as usual
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
)  # all other work was handed over
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
    """One run through `steps` that began at `began`; a step that has ended is not entered again."""

    def __init__(self, steps, began):
        self.steps, self.began = list(steps), began

    def step_at(self, now, busy):
        """The current step, or None after the last. `busy` names the kinds of work in progress."""
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
