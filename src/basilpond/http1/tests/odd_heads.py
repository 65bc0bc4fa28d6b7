"""Responses whose heads RFC 9110 and RFC 9112 forbid."""

FIELDS = b'X-Request-Id: %s\r\nX-Response-Stamp: s\r\n'
OK = b'HTTP/1.1 200 OK\r\n' + FIELDS
LENGTH = b'Content-Length: 2\r\n\r\nok'
WHOLE = OK + LENGTH
CHUNKS = b'2\r\nok\r\n0\r\n\r\n'
ODD_HEADS = {
    # RFC 9110, section 15: 100 to 599.
    **{
        f'status {status}': b'HTTP/1.1 %s A\r\n' % status.encode()
        + FIELDS
        + LENGTH
        for status in ('000', '001', '099', '600', '999')
    },
    # RFC 9110, section 15.2: an interim response has no body.
    **{
        f'status {status} with a body': b'HTTP/1.1 %s A\r\n' % status.encode()
        + FIELDS
        + LENGTH
        for status in ('100', '102', '199')
    },
    'status 199 with chunks': b'HTTP/1.1 199 A\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n' + CHUNKS,
    # RFC 9110, section 7.8: only where the request offered another protocol.
    'status 101': b'HTTP/1.1 101 Switching Protocols\r\n\r\n',
    # RFC 9112, sections 6.1 and 7: no other coding was asked for.
    **{
        f'coding {coding}': OK
        + b'Transfer-Encoding: %s\r\n\r\n' % coding.encode()
        + CHUNKS
        for coding in (
            'gzip, chunked',
            'chunked, chunked',
            'chunked\r\nTransfer-Encoding: chunked',
            'gzip\r\nTransfer-Encoding: chunked',
            'chunked;a=b',
        )
    },
    **{
        f'coding {coding} to the end of the connection': OK
        + b'Transfer-Encoding: %s\r\n\r\n' % coding.encode()
        + b'ok'
        for coding in ('wibble', 'gzip', 'chunked, gzip', '')
    },
    'coding in HTTP/1.0': b'HTTP/1.0 200 OK\r\n'
    + FIELDS
    + b'Transfer-Encoding: chunked\r\n\r\n'
    + CHUNKS,
    # RFC 9112, section 2.3.
    'version 2.0': WHOLE.replace(b'HTTP/1.1', b'HTTP/2.0'),
    'version 0.9': WHOLE.replace(b'HTTP/1.1', b'HTTP/0.9'),
}
