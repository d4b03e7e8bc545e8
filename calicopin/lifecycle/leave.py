"""How a courier leaves, step by step: for good after SIGTERM, for a while after a call to quiesce.

No I/O: the time since it was asked and what is still under way go in, the step it is in comes out. Times are
milliseconds.
"""

from dataclasses import dataclass

LISTEN = 500.0  # new connections keep coming for so long at most, with some room
LAST_CALL = 2800.0  # a call that begins later may be cut off by the end
LAST_TEXT = 3200.0  # clients are served until then: what is taken on late is called after the restart
LEAVE = 3500.0  # the platform kills 3.7 s after the signal at the earliest
QUIET = 1500.0  # a quiesced courier takes texts on until then, for clients that have not heard yet
HAND_BACK = (
    3000.0  # what still waits then is handed back, to be well clear of the 4 s after which it has to be empty
)
FOREVER = float("inf")


@dataclass(frozen=True)
class Step:
    """Lasts until `least`, and then while something of `busy` is under way (always, where that is None),
    `most` at the most. What holds in it: `closing` (connections are given back), `refusing` (no text is
    taken on), `calling`, `listening`, and `emptying` (what waits is handed back).
    """

    name: str
    least: float
    most: float
    busy: frozenset | None = frozenset()
    closing: bool = False
    refusing: bool = False
    calling: bool = True
    listening: bool = True
    emptying: bool = False


UNREADY = Step("unready", LISTEN, LISTEN)  # what still comes is served as ever
STOP = (
    UNREADY,
    Step("finishing", 0.0, LAST_CALL, frozenset({"clients", "texts", "notices"})),
    Step("calling no more", 0.0, LAST_TEXT, frozenset({"clients"}), calling=False),
    Step(
        "closing",
        0.0,
        LEAVE,
        frozenset({"calls", "notices", "clients"}),
        closing=True,
        calling=False,
        listening=False,
    ),
)
RETIRED = (
    Step(
        "finishing answers", 0.0, LEAVE, frozenset({"clients"}), closing=True, calling=False, listening=False
    ),
)  # all else is another's
DRAIN = (
    UNREADY,
    Step("giving connections back", 0.0, QUIET, None, closing=True),
    Step("taking nothing on", 0.0, HAND_BACK, frozenset({"texts"}), closing=True, refusing=True),
    Step("empty", 0.0, FOREVER, None, closing=True, refusing=True, emptying=True),
)


class Leave:
    """One walk through `steps`, begun at `began`; a step that is over does not come back."""

    def __init__(self, steps, began):
        self.steps, self.began = list(steps), began

    def at(self, now, busy):
        """The step that holds now, or None at the end. `busy` names what is under way."""
        passed = now - self.began
        while self.steps:
            step = self.steps[0]
            if passed < step.least or passed < step.most and (step.busy is None or step.busy & busy):
                return step
            self.steps.pop(0)
        return None
