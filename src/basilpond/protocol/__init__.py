"""Messages between routers."""

from ._codec import FRAME_PAYLOADS
from ._codec import LENGTH_BYTES
from ._codec import MAX_DATAGRAM_BYTES
from ._codec import MAX_FRAME_BYTES
from ._codec import ProtocolError
from ._codec import decode_frame
from ._codec import decode_gossip
from ._codec import encode_frame
from ._codec import encode_gossip
from ._codec import encoded_size
from ._codec import frame_size
from ._messages import AskAllotment
from ._messages import AskAllotmentReply
from ._messages import CrashNotice
from ._messages import EndpointNotice
from ._messages import FetchAnswer
from ._messages import FetchAnswerReply
from ._messages import FetchManifest
from ._messages import FetchManifestReply
from ._messages import Frame
from ._messages import Gossip
from ._messages import Heartbeat
from ._messages import JournalAppend
from ._messages import JournalReply
from ._messages import MemberUpdate

__all__ = [
    'AskAllotment',
    'AskAllotmentReply',
    'CrashNotice',
    'EndpointNotice',
    'FRAME_PAYLOADS',
    'FetchAnswer',
    'FetchAnswerReply',
    'FetchManifest',
    'FetchManifestReply',
    'Frame',
    'Gossip',
    'Heartbeat',
    'JournalAppend',
    'JournalReply',
    'LENGTH_BYTES',
    'MAX_DATAGRAM_BYTES',
    'MAX_FRAME_BYTES',
    'MemberUpdate',
    'ProtocolError',
    'decode_frame',
    'decode_gossip',
    'encode_frame',
    'encode_gossip',
    'encoded_size',
    'frame_size',
]
