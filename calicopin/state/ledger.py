"""The one ledger of counts: written where a text's end, submit or refusal is decided, read by whoever
tells figures.
"""


class Ledger:
    """Counts since this process began, by product where `products` names one.

    Each text that is handed in ends under just one of `succeeded`, `declined`, `aborted` and `withdrawn`; the
    table in `docs/service.md` says which.
    """

    def __init__(self, products):
        self.products = list(products)
        self.succeeded, self.declined, self.aborted, self.withdrawn = (
            dict.fromkeys(self.products, 0) for _ in range(4)
        )
        self.taken = self.turned_away = self.noticed = self.forwards = 0

    def refused(self, text, again):
        """Turned away at the door; `again`: it may be handed in again."""
        (self.declined if again else self.aborted)[self.products[text.product]] += 1
        self.turned_away += again

    def ended(self, end):
        """The one final answer of a text that was taken on."""
        if end.verdict is None:
            kind = self.succeeded if end.delivered else self.withdrawn
        else:
            kind = self.declined if end.verdict == "bounced" else self.aborted
        kind[self.products[end.text.product]] += 1

    def told(self):
        """The counts by product and the messages written whole to endpoints."""
        return dict(
            succeeded=self.succeeded,
            declined=self.declined,
            aborted=self.aborted,
            withdrawn=self.withdrawn,
            forwards=self.forwards,
        )
