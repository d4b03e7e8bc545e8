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


class MessageParser:
    """Whole messages out of a stream; `done(message)` has them as (line, headers, body, first byte's
    time).
    """

    def __init__(self, parser_type, on_message):
        self.parser, self.on_message, self.failed = parser_type(self), on_message, False
        self.started_at = None
        self.on_message_begin()

    def feed(self, data, sent_at=0.0):
        if self.started_at is None:
            self.started_at = sent_at
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.failed = True

    def on_message_begin(self):
        self.headers, self.body_chunks, self.target = {}, [], b""

    def on_url(self, url):
        self.target += url

    def on_header(self, name, value):
        self.headers[name.lower()] = value

    def on_body(self, data):
        self.body_chunks.append(data)

    def on_message_complete(self):
        started_at, self.started_at = self.started_at, None
        self.on_message(self, b"".join(self.body_chunks), started_at)


class ServerConnection:
    """One connection to a stand-in; one request at a time, and `answer(line, headers, body, begun)` deals
    with it.
    """

    def __init__(self, end, handler, on_closed=None):
        self.end, self.handler, self.on_closed = end, handler, on_closed
        self.parser = MessageParser(httptools.HttpRequestParser, self.on_request)
        self.open, self.last_active = True, end.net.world.now
        end.on_data, end.on_end, end.on_peer_closed = self.parser.feed, self.on_end, self.mark_closed

    def on_request(self, message, body, started_at):
        self.last_active = self.end.net.world.now
        if self.open:
            self.handler(self, message.target, message.headers, body, started_at)

    def on_end(self, reset):
        """The courier ended its side: a call that is out is given up."""
        self.mark_closed()
        self.end.close()

    def mark_closed(self):
        if self.open:
            self.open = False
            if self.on_closed:
                self.on_closed(self)

    def reply(self, data, on_read=None):
        self.last_active = self.end.net.world.now
        if self.open:
            self.end.send(data, on_read)

    def close(self):
        self.open = False
        self.end.close()
