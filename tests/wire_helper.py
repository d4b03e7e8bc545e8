"""Shared by the tests of the network code: calls to endpoints, requests of clients, and an acceptor."""

from helper import free_address, spin

from calicopin.facade import Call, Place
from calicopin.state.connections import Budget, ConnectionPool
from calicopin.state.texts import Text
from calicopin.wire.clients import Clients, JournalledEvent
from calicopin.wire.endpoints import OutstandingCall, submit


def call(address, texts=1, timeout=500.0):
    texts = [
        Text(f"id{i}", 7, 0, "r\xe9f" if i else None, None, 9000.0, b"\x00\xff" * (i + 1))
        for i in range(texts)
    ]
    return Call(Place("s-1", address, 7, "one", "a", True, 0.0), texts, timeout)


class Out:
    """A call under way; `told` collects the outcomes reported before its end."""

    def __init__(self, loop, new_call, lines=None):
        self.loop, self.lines, self.answer, self.wanted, self.told = (
            loop,
            lines or ConnectionPool(4, 1000.0),
            None,
            True,
            [],
        )
        loop.spawn(self.run(new_call))

    def run(self, new_call):
        self.answer = yield from submit(
            self.loop,
            self.lines,
            OutstandingCall(new_call, self.loop.now() + new_call.timeout),
            200.0,
            lambda call, now: self.wanted,
            lambda: None,
            self.told.append,
        )

    def end(self):
        spin(self.loop, lambda: self.answer is not None)
        return self.answer


class Acceptor:
    """Takes texts on or refuses them, and notes them as stored when the test calls `keep`."""

    def __init__(self, loop):
        self.loop, self.unanswered_requests = loop, []
        self.texts, self.events, self.refusal, self.withdrawn, self.heard = [], [], None, [], []

    def first_answer(self, _):
        return None

    def request_delay(self):
        return 0.0

    def accept(self, text):
        if self.refusal is None:
            self.texts.append(text)
        return self.refusal

    def journalled_event(self, text):
        self.events.append(JournalledEvent(self.loop, text))
        return self.events[-1]

    def withdraw(self, text):
        self.withdrawn.append(text)

    def acknowledged(self, text):
        self.heard.append(text)

    def unanswered(self, request):
        self.unanswered_requests.append(request)

    def keep(self):
        for event in self.events:
            event.set()
        self.events = []


def clients(loop, most=10):
    address, budget = free_address(), Budget(256, 8)
    budget.clients, budget.other_clients = most, 1
    return Clients(loop, address, {"notice": 0, "order": 1}, budget, Acceptor(loop)), address


def request(path="/notice", body=b"hello", **other):
    headers = {
        "Host": "api.internal",
        "X-Request-ID": "9b1f",
        "X-Timeout": "0.480",
        "X-Envelope": "dest=7",
        "Content-Length": str(len(body)),
    } | {name.replace("_", "-"): value for name, value in other.items()}
    lines = [f"POST {path} HTTP/1.1"] + [
        f"{name}: {value}" for name, value in headers.items() if value is not None
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
