"""HTTP/1.1 of the stand-ins, read by httptools: another reading of it than the courier's h11."""

import httptools

REASONS = {
    200: b"OK",
    204: b"No Content",
    400: b"Bad Request",
    429: b"Too Many Requests",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}


def response(status, body=b"", headers=()):
    lines = [b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n" % (status, REASONS.get(status, b"X"), len(body))]
    lines += [f"{name}: {value}\r\n".encode() for name, value in headers]
    return b"".join(lines) + b"\r\n" + body


class Parsed:
    """Whole messages out of a stream; `done(message)` has them as (line, headers, body, first byte's
    time).
    """

    def __init__(self, make, done):
        self.parser, self.done, self.fault = make(self), done, False
        self.begun = None
        self.on_message_begin()

    def feed(self, data, sent=0.0):
        if self.begun is None:
            self.begun = sent
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.fault = True

    def on_message_begin(self):
        self.headers, self.parts, self.target = {}, [], b""

    def on_url(self, url):
        self.target += url

    def on_header(self, name, value):
        self.headers[name.lower()] = value

    def on_body(self, data):
        self.parts.append(data)

    def on_message_complete(self):
        begun, self.begun = self.begun, None
        self.done(self, b"".join(self.parts), begun)


class Server:
    """One connection to a stand-in; one request at a time, and `answer(line, headers, body, begun)` deals
    with it.
    """

    def __init__(self, end, answer, closed=None):
        self.end, self.answer, self.closed = end, answer, closed
        self.parsed = Parsed(httptools.HttpRequestParser, self.whole)
        self.open, self.last = True, end.net.world.now
        end.on_data, end.on_end, end.on_peer_closed = self.parsed.feed, self.over, self.gone

    def whole(self, message, body, begun):
        self.last = self.end.net.world.now
        if self.open:
            self.answer(self, message.target, message.headers, body, begun)

    def over(self, reset):
        """The courier ended its side: a call that is out is given up."""
        self.gone()
        self.end.close()

    def gone(self):
        if self.open:
            self.open = False
            if self.closed:
                self.closed(self)

    def reply(self, data, heard=None):
        self.last = self.end.net.world.now
        if self.open:
            self.end.send(data, heard)

    def hang_up(self):
        self.open = False
        self.end.close()
