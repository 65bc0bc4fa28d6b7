from hypothesis import given
from hypothesis import strategies as st
import pytest

from basilpond.node.relay._frames import FrameError
from basilpond.node.relay._frames import FrameKind
from basilpond.node.relay._frames import FrameReader
from basilpond.node.relay._frames import encode_frame


def read(data, cuts):
    """Return the content and the other frames, read in pieces."""
    reader = FrameReader()
    content, others = b'', []
    for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
        for kind, part in reader.feed(data[start:end]):
            if kind is FrameKind.DATA:
                content += bytes(part)
            else:
                others.append((kind, len(content)))
    return content, others


@given(
    st.lists(st.binary(max_size=300), max_size=6),
    st.lists(st.integers(0, 2000), max_size=6),
)
def test_frames_are_read_in_any_pieces(parts, cuts):
    data = b''.join(encode_frame(FrameKind.DATA, len(p)) + p for p in parts)
    data += encode_frame(FrameKind.LEAVING) + encode_frame(FrameKind.END)
    cuts = sorted(min(cut, len(data)) for cut in cuts)
    content, others = read(data, cuts)
    assert content == b''.join(parts)
    assert others == [
        (FrameKind.LEAVING, len(content)),
        (FrameKind.END, len(content)),
    ]


@pytest.mark.parametrize(
    'data', [b'\x09\0\0\0\0', b'\x01\0\0\0\x05', b'HTTP/1.1 200 OK\r\n\r\n']
)
def test_other_bytes_are_no_frames(data):
    with pytest.raises(FrameError):
        read(data, [])
