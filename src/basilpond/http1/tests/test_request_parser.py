import pytest

from basilpond.http1._request_parser import RequestParser

HEAD = b'Host: h\r\nX-Request-Id: 1\r\n'
OFFER = (
    b'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n'
    b'HTTP2-Settings: AAMAAABkAAQAAP__\r\n'
)
WITH_LENGTH = b'Content-Length: 5\r\n\r\nabcde'
IN_CHUNKS = (
    b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
)


class Requests:
    """Records the requests of a connection."""

    def __init__(self):
        self.parser = RequestParser(self)
        self.complete = []

    def on_message_begin(self):
        self.target, self.headers, self.body = b'', [], b''

    def on_url(self, url):
        self.target += url

    def on_header(self, name, value):
        self.headers.append((name, value))

    def on_headers_complete(self):
        self.headers_complete = True

    def on_body(self, data):
        self.body += data

    def on_message_complete(self):
        self.complete.append(
            (
                self.parser.get_method(),
                self.target,
                self.body,
                self.parser.should_keep_alive(),
            )
        )

    def feed(self, data, segment_bytes):
        for start in range(0, len(data), segment_bytes):
            self.parser.feed_data(data[start : start + segment_bytes])


@pytest.mark.parametrize('segment_bytes', [1, 7, 1000])
@pytest.mark.parametrize('rest', [WITH_LENGTH, IN_CHUNKS])
@pytest.mark.parametrize('before', [0, 1])
def test_offer_of_another_protocol_keeps_the_body(rest, before, segment_bytes):
    """Guards against a request that is forwarded without its body.

    The library ends a request with an Upgrade field after its head.
    """
    requests = Requests()
    post = b'POST /x%2F?q HTTP/1.1\r\n' + HEAD
    requests.feed((post + rest) * before + post + OFFER + rest, segment_bytes)
    expected = [(b'POST', b'/x%2F?q', b'abcde', True)] * before
    expected.append((b'POST', b'/x%2F?q', b'abcde', False))
    assert requests.complete == expected
    assert (b'Upgrade', b'h2c') in requests.headers


@pytest.mark.parametrize('rest', [WITH_LENGTH[:-1], IN_CHUNKS[:-3]])
def test_cut_body_behind_an_offer_is_no_request(rest):
    """Guards against handling a request of which only a part arrived."""
    requests = Requests()
    requests.feed(b'POST / HTTP/1.1\r\n' + HEAD + OFFER + rest, 11)
    assert not requests.complete
    assert requests.headers_complete


@pytest.mark.parametrize('offer', [b'', OFFER])
def test_trailer_fields_are_not_header_fields(offer):
    """Guards against trailers that replace metadata of the request."""
    requests = Requests()
    chunks = IN_CHUNKS[:-2] + b'X-Model: other\r\n\r\n'
    requests.feed(b'POST / HTTP/1.1\r\n' + HEAD + offer + chunks, 9)
    assert [body for _, _, body, _ in requests.complete] == [b'abcde']
    assert not [name for name, _ in requests.headers if name == b'X-Model']
