"""Interfaces between a router and its platform."""

from __future__ import annotations

from collections.abc import Callable
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
        Calls that the store allows, for all routers together.
    stop_grace_s : float
        Time from SIGTERM until the process is killed.
    drain_s : float
        Time after which a leaving endpoint must get no more requests.
    config_apply_s : float
        Time after which an acknowledged configuration must be in force.
    retry_share, retry_slack, retry_window_s : float
        Retries to a service that all routers may send in a window: a share of
        its requests plus the slack.
    prompt_reuse_s : float
        Time for which prompt prefixes count as cached by an endpoint.
    link_bytes_per_s : float
        Bandwidth of the VM's own link in each direction.
    is_first_start : bool
        Whether the whole fleet starts for the first time.
    store_partitions : int
        Partitions of each topic of the store.
    evacuate_s : float or None
        Time after which an evacuated data centre must get no more requests;
        None where operators evacuate none.
    cpu_share : float
        Share of a core that the process may use; 0 if unknown.
    admission_control : bool
        Whether less urgent prompts wait at the router while endpoints have no
        room.
    preview : bool
        Whether the metrics port tells where a request would go.
    cold_over, cold_slack : float
        Requests to a cold endpoint that all routers may send in a second: a
        multiple of the limit of its service plus the slack.
    memory_bytes : float
        Memory that the process may use; 0 if unknown.
    max_fds : int
        Descriptors that the process may open; 0 if unknown.
    digest : str
        Of the file that the settings were read from.
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
    config_apply_s: float = 2.0
    link_bytes_per_s: float = float('inf')
    is_first_start: bool = False
    store_partitions: int = 1
    evacuate_s: float | None = None
    cpu_share: float = 0.0
    admission_control: bool = False
    preview: bool = False
    cold_over: float = 1.5
    cold_slack: float = 5.0
    memory_bytes: float = 0.0
    max_fds: int = 0
    digest: str = ''


class LogUnavailableError(Exception):
    """The log gave no valid response; an append may have been executed."""


class LogTimeoutError(LogUnavailableError):
    """The log did not respond in time, as in an outage."""


class LogReaderBehindError(Exception):
    """More records follow an offset than the reader requested."""


class LogTrimmedError(Exception):
    """The log does not have the requested records, or no longer.

    Parameters
    ----------
    reason : str
    first_offset : int or None
        Offset of the first record that the log has, if it states it.
    """

    def __init__(self, reason: str, first_offset: int | None = None) -> None:
        super().__init__(reason)
        self.first_offset = first_offset


class LogEraChangedError(Exception):
    """A response is of another era of the log than those before."""


class LogAppendError(Exception):
    """An append was rejected because of its sequence number or epoch.

    Parameters
    ----------
    reason : str
    expected_sequence : int or None
        Next sequence number of the producer, if the log states it.
    """

    def __init__(
        self, reason: str, expected_sequence: int | None = None
    ) -> None:
        super().__init__(reason)
        self.expected_sequence = expected_sequence


@dataclasses.dataclass(slots=True, frozen=True)
class Record:
    """A record of a topic that retains the newest record of each key.

    Parameters
    ----------
    offset : int
    key : str
    value : bytes or None
        None removes the key.
    """

    offset: int
    key: str
    value: bytes | None


@dataclasses.dataclass(slots=True, frozen=True)
class LogPage:
    """Records in the order of their offsets and the end offset of the log.

    `era` is that of the response, see `Log`.
    """

    records: list[Record]
    end: int
    era: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class NewestPage:
    """Newest records of some keys; pages do not form a snapshot.

    `era` is that of the response, see `Log`.
    """

    records: list[Record]
    end: int
    has_more: bool
    era: int = 0


class ReadProgress:
    """Progress of the response to one read.

    Attributes
    ----------
    received_bytes : int
    log_end : int or None
        Offset after the last record of the topic; None until the response
        has named it.
    """

    __slots__ = ('log_end', 'received_bytes')

    def __init__(self) -> None:
        self.received_bytes = 0
        self.log_end: int | None = None


class Log(Protocol):
    """The platform's log.

    A log that is restored from a copy starts a new era: it lacks the records
    of its last seconds, and offsets and sequence numbers are given out again.

    Attributes
    ----------
    era : int
        Highest era that any response has named, also one of an error; 0 if
        none has.
    on_new_era : callable
        Called when the era rises.
    """

    era: int
    on_new_era: Callable[[], None]

    async def append(
        self,
        topic: str,
        records: list[tuple[str, bytes]],
        *,
        producer: str,
        epoch: int,
        sequence: int,
    ) -> int:
        """Append records, all or none, and return the first offset.

        Appends of an epoch are rejected after the first one of a higher
        epoch of the producer, which may start at any sequence number.
        """

    async def add(
        self, topic: str, partition: int, records: list[tuple[str, bytes]]
    ) -> None:
        """Append records that may be repeated, and read in any order."""

    async def read(
        self,
        topic: str,
        offset: int,
        wait_s: float,
        progress: ReadProgress,
        *,
        max_records: int | None = None,
        partition: int = 0,
    ) -> LogPage:
        """Read from an offset, waiting for the first record.

        If more than `max_records` follow, raises LogReaderBehindError before
        they are transferred.
        """

    async def read_newest(
        self, topic: str, after: str | None, progress: ReadProgress
    ) -> NewestPage:
        """Read the newest record of each key, in pages."""


class ColdTimeError(ValueError):
    """Only the time for which an endpoint is cold is invalid in its entry.

    Parameters
    ----------
    reason : str
    endpoint : Endpoint
        The rest of the entry.
    """

    def __init__(self, reason: str, endpoint: Endpoint) -> None:
        super().__init__(reason)
        self.endpoint = endpoint


class RequestMetadataError(ValueError):
    """A request lacks a mandatory header field or has an invalid one."""


class ResponseResult(enum.Enum):
    """Result of a request according to the head of its response."""

    SUCCESS = 'success'
    FAILED = 'failed'
    NOT_RUN = 'not_run'
    # The address belongs to another server; the request was not run.
    MISDIRECTED = 'misdirected'
    # A success without the server's signature, or with a content coding.
    UNPROVEN = 'unproven'


@dataclasses.dataclass(slots=True, frozen=True)
class EndpointSignals:
    """What an endpoint says of itself in a response.

    Parameters
    ----------
    leaving : bool
        Whether it is about to end.
    quiet_s : float or None
        Time for which it wants no requests from this router, in a response
        that turns one away. None if it names none.
    cold_s : float or None
        Time for which it still is cold; None if it names none.
    survived_rejections : int or None
        Rejections for want of room, of all routers' requests in one second,
        that it survives; None if it names none.
    problems : tuple of str
        Fields without a defined value, with their values; they say nothing.
    """

    leaving: bool
    quiet_s: float | None = None
    cold_s: float | None = None
    survived_rejections: int | None = None
    problems: tuple[str, ...] = ()


class PlatformCodec(Protocol):
    """Encoding of header fields and records on the platform."""

    configuration_topic: str
    configuration_key: str
    endpoints_topic: str
    ready_path: bytes

    def decode_configuration(self, data: bytes) -> Configuration:
        """Decode a configuration; raise ValueError if it is unreadable."""

    def decode_endpoint(self, endpoint_id: str, data: bytes) -> Endpoint:
        """Decode a server's entry; raise ValueError if it is unreadable.

        Raises ColdTimeError if only the time is for which it is cold.
        """

    def decode_evacuation(
        self, key: str, value: bytes | None
    ) -> tuple[str, bool | None] | None:
        """Decode the record of an evacuation in the configuration's topic.

        Returns the data centre, and whether it is evacuated or None if the
        value is unreadable; None if the key is that of another record. Raises
        ValueError if it names no data centre.
        """

    def decode_request_metadata(
        self, headers: list[Header]
    ) -> RequestMetadata:
        """Decode metadata of a request; raise RequestMetadataError."""

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
        """Return the field that the response must repeat."""

    def classify_response(self, head: ResponseHead) -> ResponseResult:
        """Return the result that the head of a response proves."""

    def request_limit_per_s(self, head: ResponseHead) -> float | None:
        """Return the requests a second that the endpoint takes, if limited."""

    def endpoint_signals(
        self, head: ResponseHead, wall_s: float
    ) -> EndpointSignals:
        """Return what the endpoint says of itself in a response.

        `wall_s` is the time of day of the response, in Unix seconds.
        """

    def response_fields(self, head: ResponseHead) -> list[Header]:
        """Return the fields of a response to forward to the caller."""

    def refusal_fields(
        self, metadata: RequestMetadata | None, retry_after_s: float | None
    ) -> list[Header]:
        """Return the fields of a refusal by the router."""
