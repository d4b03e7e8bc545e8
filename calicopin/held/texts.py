"""A text as it is kept from its 202 to its end. Times are the module's, in milliseconds."""
from dataclasses import dataclass


@dataclass(slots=True)
class Text:
    ident: str
    dest: int
    product: int
    reference: str | None
    key: str | None
    until: float
    body: bytes
    number: int = -1
    tries: int = 0
    ran_at: float | None = None  # when the first submit that may have run was sent
    ran_zone: str | None = None
    out_at: float | None = None  # when the submit that is out now was sent
    out_zone: str | None = None
    verdict: str | None = None  # given up: the notice that is still owed
    wait: float = 0.0

    def went_out(self, at, zone):
        self.tries, self.out_at, self.out_zone = self.tries + 1, at, zone

    def came_back(self, may_have_run):
        if may_have_run and self.ran_at is None:
            self.ran_at, self.ran_zone = self.out_at, self.out_zone
        self.out_at = self.out_zone = None
