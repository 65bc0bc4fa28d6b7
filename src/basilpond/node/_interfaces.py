"""What a router needs of the platform."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol

from ..http1 import CallerRequest
from ..http1 import Header
from ..http1 import ResponseHead
from ..routing import Configuration
from ..routing import Endpoint
from ..routing import RequestMetadata


@dataclasses.dataclass(slots=True, frozen=True)
class NodeSettings:
    """Settings of one router.

    Parameters
    ----------
    node_id, host, data_centre : str
    caller_address, ready_address, store_address : (str, int)
    peer_port, metrics_port : int
        At `host`.
    store_writes_per_s, store_reads_per_s : float
        Calls that the store allows all routers together.
    stop_grace_s : float
        From SIGTERM until the process is killed.
    drain_s : float
        Time for a leaving endpoint to lose its requests.
    retry_share, retry_slack, retry_window_s : float
        Repeats to a service that all routers may make in a window: the share
        of its requests and the slack beyond.
    prompt_reuse_s : float
        Time for which it is worth finding a prompt part again.
    link_bytes_per_s : float
        Bandwidth of the VM's own link, each way.
    """

    node_id: str
    host: str
    data_centre: str
    caller_address: tuple[str, int]
    ready_address: tuple[str, int]
    store_address: tuple[str, int]
    peer_port: int
    metrics_port: int
    store_writes_per_s: float
    store_reads_per_s: float
    stop_grace_s: float
    drain_s: float
    retry_share: float
    retry_slack: float
    retry_window_s: float
    prompt_reuse_s: float
    link_bytes_per_s: float = float('inf')


class LogUnavailableError(Exception):
    """The log gave no answer; an append may have been executed."""


class LogTimeoutError(LogUnavailableError):
    """The log did not answer in time, as in an outage."""


class LogReaderBehindError(Exception):
    """More records follow an offset than the reader wants."""


class LogTrimmedError(Exception):
    """Records that were asked for are gone."""


class LogAppendError(Exception):
    """An append was rejected for its producer's sequence."""


@dataclasses.dataclass(slots=True, frozen=True)
class Record:
    """A record of a topic that keeps the newest of each key.

    Parameters
    ----------
    offset : int
    key : str
    value : bytes or None
        None drops the key.
    """

    offset: int
    key: str
    value: bytes | None


@dataclasses.dataclass(slots=True, frozen=True)
class LogPage:
    """Records in the order of their offsets, and the end of the log."""

    records: list[Record]
    end: int


@dataclasses.dataclass(slots=True, frozen=True)
class NewestPage:
    """Newest records of some keys; pages are no consistent snapshot."""

    records: list[Record]
    end: int
    has_more: bool


class ReadProgress:
    """How far the answer of one read has come."""

    __slots__ = ('received_bytes',)

    def __init__(self) -> None:
        self.received_bytes = 0


class Log(Protocol):
    """The platform's log."""

    async def append(
        self,
        topic: str,
        records: list[tuple[str, bytes]],
        *,
        producer: str,
        sequence: int,
    ) -> int:
        """Append records, all or none, and return the first offset."""

    async def read(
        self,
        topic: str,
        offset: int,
        wait_s: float,
        progress: ReadProgress,
        *,
        max_records: int | None = None,
    ) -> LogPage:
        """Read from an offset, waiting for the first record.

        If more than `max_records` follow, raises LogBehindError before they
        are transferred.
        """

    async def read_newest(
        self, topic: str, after: str | None, progress: ReadProgress
    ) -> NewestPage:
        """Read the newest record of each key, in pages."""


class RequestMetadataError(ValueError):
    """A request lacks a field that all callers send."""


class ResponseResult(enum.Enum):
    """What the head of an answer tells of the request."""

    SUCCESS = 'success'
    FAILED = 'failed'
    NOT_RUN = 'not_run'
    # Another server has the address; nothing was run.
    MISDIRECTED = 'misdirected'
    # A success that the server did not sign, or whose bytes were recoded.
    UNPROVEN = 'unproven'


class PlatformCodec(Protocol):
    """Header fields and records as the platform spells them."""

    configuration_topic: str
    configuration_key: str
    endpoints_topic: str
    ready_path: bytes

    def decode_configuration(self, data: bytes) -> Configuration:
        """Decode what the operators declare; ValueError if unreadable."""

    def decode_endpoint(self, endpoint_id: str, data: bytes) -> Endpoint:
        """Decode a server's entry; ValueError if unreadable."""

    def decode_request_metadata(
        self, headers: list[Header]
    ) -> RequestMetadata:
        """Decode what a request tells of itself; CallError if it lacks it."""

    def encode_request(
        self,
        request: CallerRequest,
        *,
        endpoint: Endpoint,
        remaining_s: float,
        organisation: str | None,
        priority: int | None,
        last_event_id: bytes | None,
    ) -> bytes:
        """Encode a request for an endpoint."""

    def echo_field(self, metadata: RequestMetadata) -> Header:
        """Return the field that an answer repeats."""

    def classify_response(self, head: ResponseHead) -> ResponseResult:
        """Return what the head of an answer proves."""

    def response_fields(self, head: ResponseHead) -> list[Header]:
        """Return the fields of an answer that go to the caller."""

    def refusal_fields(
        self, metadata: RequestMetadata | None, retry_after_s: float | None
    ) -> list[Header]:
        """Return the fields of an answer of the router's own."""
