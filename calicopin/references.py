"""Texts under one reference: a destination drops the repeat of any of them while it knows the reference, so
the first submit that may have run counts for all. Decisions only, no I/O. Times are float milliseconds.
"""

from operator import itemgetter

NO_RUN = (None, None)


class Reference:
    """The texts that are held for a destination under one reference, in the order in which they came."""

    def __init__(self):
        self.texts = []

    def first_run(self, text):
        """(time, zone) of the first submit that may have run, or NO_RUN. A call in flight with another text
        than this one counts from when it was sent.
        """
        runs = [(other.ran_at, other.ran_zone) for other in self.texts if other.ran_at is not None]
        runs += [
            (other.call.sent_at, other.call.endpoint.zone)
            for other in self.texts
            if other is not text and other.call is not None
        ]
        return min(runs, default=NO_RUN, key=itemgetter(0))

    def waiting_beside(self, text):
        """The other texts that are in no call."""
        return [other for other in self.texts if other is not text and other.call is None]

    def remove(self, text):
        """Removes a text; what its submits may have done goes over to the others."""
        self.texts.remove(text)
        for other in self.texts:
            if text.ran_at is not None and (other.ran_at is None or text.ran_at < other.ran_at):
                other.ran_at, other.ran_zone = text.ran_at, text.ran_zone


class References:
    """The references under which texts are held, by destination."""

    def __init__(self):
        self.by_name = {}

    def add(self, text, name):
        """Adds a text under the reference `name` of its destination."""
        text.reference = self.by_name.setdefault((text.dest.ident, name), Reference())
        text.reference.texts.append(text)
        text.reference_name = name

    def remove(self, text):
        """Removes a text, if it is held under a reference."""
        reference, text.reference = text.reference, None
        if reference is not None:
            reference.remove(text)
            if not reference.texts:
                del self.by_name[text.dest.ident, text.reference_name]
