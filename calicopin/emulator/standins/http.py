"""HTTP/1.1 of the stand-ins, parsed with httptools: independent of the courier's h11."""

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
    """The bytes of a response."""
    lines = [b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n" % (status, REASONS.get(status, b"X"), len(body))]
    lines += [f"{name}: {value}\r\n".encode() for name, value in headers]
    return b"".join(lines) + b"\r\n" + body


class MessageParser:
    """Splits a stream into messages; `on_message(parser, body, started_at)` is called for each, with the time
    at which its first byte was sent.
    """

    def __init__(self, parser_type, on_message):
        self.parser, self.on_message, self.failed = parser_type(self), on_message, False
        self.started_at = None
        self.on_message_begin()

    def feed(self, data, sent_at=0.0):
        """Parses received data; malformed data sets `failed`."""
        if self.started_at is None:
            self.started_at = sent_at
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.failed = True

    def on_message_begin(self):
        """Called by httptools."""
        self.headers, self.body_chunks, self.target = {}, [], b""

    def on_url(self, url):
        """Called by httptools."""
        self.target += url

    def on_header(self, name, value):
        """Called by httptools."""
        self.headers[name.lower()] = value

    def on_body(self, data):
        """Called by httptools."""
        self.body_chunks.append(data)

    def on_message_complete(self):
        """Called by httptools."""
        started_at, self.started_at = self.started_at, None
        self.on_message(self, b"".join(self.body_chunks), started_at)


class ServerConnection:
    """One connection to a stand-in, with one request at a time.

    `handler(connection, target, headers, body, started_at)` handles a request, `on_closed(connection)` is
    called once the courier or the stand-in has ended it.
    """

    def __init__(self, end, handler, on_closed=None):
        self.end, self.handler, self.on_closed = end, handler, on_closed
        self.parser = MessageParser(httptools.HttpRequestParser, self.on_request)
        self.open, self.last_active = True, end.net.world.now
        end.on_data, end.on_end, end.on_peer_closed = self.parser.feed, self.on_end, self.mark_closed

    def on_request(self, message, body, started_at):
        """Passes a request to the handler."""
        self.last_active = self.end.net.world.now
        if self.open:
            self.handler(self, message.target, message.headers, body, started_at)

    def on_end(self, reset):
        """The courier ended its side: the connection is closed, and a request in progress is cancelled."""
        self.mark_closed()
        self.end.close()

    def mark_closed(self):
        """Marks the connection closed and reports it, once."""
        if self.open:
            self.open = False
            if self.on_closed:
                self.on_closed(self)

    def reply(self, data, on_read=None):
        """Sends a response; `on_read` is called once the courier has read it."""
        self.last_active = self.end.net.world.now
        if self.open:
            self.end.send(data, on_read)

    def close(self):
        """Closes the connection."""
        self.open = False
        self.end.close()
