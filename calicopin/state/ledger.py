"""Counters behind the courier's figures, updated where the end, submit or refusal of a text is decided."""


class Counters:
    """Counts since the start of the process, by product for each name in `products`.

    Each text that is handed in ends under exactly one of `succeeded`, `declined`, `aborted` and `withdrawn`;
    the table in `docs/service.md` says which.
    """

    def __init__(self, products):
        self.products = list(products)
        self.succeeded, self.declined, self.aborted, self.withdrawn = (
            dict.fromkeys(self.products, 0) for _ in range(4)
        )
        self.taken = self.turned_away = self.notices_heard = self.forwards = 0

    def refused(self, text, again):
        """Counts a text that was not accepted; `again` says whether it may be handed in again."""
        (self.declined if again else self.aborted)[self.products[text.product]] += 1
        self.turned_away += again

    def ended(self, end):
        """Counts the final answer of a text that was accepted."""
        if end.verdict is None:
            counts = self.succeeded if end.delivered else self.withdrawn
        else:
            counts = self.declined if end.verdict == "bounced" else self.aborted
        counts[self.products[end.text.product]] += 1

    def by_product(self):
        """The counts by product, and the number of texts written completely to endpoints (`forwards`)."""
        return dict(
            succeeded=self.succeeded,
            declined=self.declined,
            aborted=self.aborted,
            withdrawn=self.withdrawn,
            forwards=self.forwards,
        )
