"""Settings of the stand-alone router."""

from __future__ import annotations

from typing import Annotated

import msgspec

from ..core import IP_ADDRESS
from ..core import PATTERN_END
from ..core import SOCKET_ADDRESS

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Name = Annotated[
    str,
    msgspec.Meta(
        min_length=1, max_length=64, pattern='^[A-Za-z0-9._-]+' + PATTERN_END
    ),
]
IpAddress = Annotated[str, msgspec.Meta(pattern=f'^{IP_ADDRESS}{PATTERN_END}')]
SocketAddress = Annotated[
    str, msgspec.Meta(pattern=f'^{SOCKET_ADDRESS}{PATTERN_END}')
]
HttpUrl = Annotated[
    str, msgspec.Meta(pattern=f'^http://{SOCKET_ADDRESS}{PATTERN_END}')
]
Sha256 = Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}' + PATTERN_END)]


class RouterSection(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Identity and addresses of the router process.

    `peer_port` is used for both UDP and TCP. `seeds` are peer addresses of a
    few other routers.
    """

    id: Name
    data_centre: Name
    host: IpAddress
    caller_port: Port
    operator_port: Port
    peer_port: Port
    seeds: list[SocketAddress] = []
    operator_key_sha256: Sha256
    drain_notice_ms: Annotated[int, msgspec.Meta(ge=0, le=120_000)] = 5_000
    drain_timeout_ms: Annotated[int, msgspec.Meta(ge=0, le=600_000)] = 130_000


class LogSection(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Connection to the platform's append-only log."""

    url: HttpUrl
    append_budget_per_s: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 200
    append_timeout_ms: Annotated[int, msgspec.Meta(ge=50, le=60_000)] = 2_000
    snapshot_every_records: Annotated[
        int, msgspec.Meta(ge=100, le=10_000_000)
    ] = 20_000
    patience_ms: Annotated[int, msgspec.Meta(ge=10, le=10_000)] = 250


class VmsSection(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Source of the platform's VM list, which is not read without a URL."""

    url: HttpUrl | None = None


class LimitsSection(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Limits on caller input, queues, durations and retries."""

    body_bytes: Annotated[int, msgspec.Meta(ge=1_024, le=64_000_000)] = (
        1_000_000
    )
    upload_timeout_ms: Annotated[int, msgspec.Meta(ge=100, le=120_000)] = (
        10_000
    )
    open_requests: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 4_000
    queue_requests: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 500
    queue_timeout_ms: Annotated[int, msgspec.Meta(ge=0, le=60_000)] = 5_000
    hold_timeout_ms: Annotated[int, msgspec.Meta(ge=10, le=60_000)] = 3_000
    claim_timeout_ms: Annotated[int, msgspec.Meta(ge=10, le=60_000)] = 5_000
    settle_timeout_ms: Annotated[int, msgspec.Meta(ge=10, le=120_000)] = 10_000
    connect_timeout_ms: Annotated[int, msgspec.Meta(ge=10, le=30_000)] = 1_000
    first_byte_timeout_ms: Annotated[int, msgspec.Meta(ge=50, le=300_000)] = (
        10_000
    )
    frame_timeout_ms: Annotated[int, msgspec.Meta(ge=50, le=300_000)] = 5_000
    total_timeout_ms: Annotated[int, msgspec.Meta(ge=1_000, le=3_600_000)] = (
        120_000
    )
    margin_tokens_per_message: Annotated[
        int, msgspec.Meta(ge=0, le=10_000)
    ] = 16
    stored_answers_bytes: Annotated[
        int, msgspec.Meta(ge=0, le=1_000_000_000)
    ] = 16_000_000
    stored_answer_s: Annotated[int, msgspec.Meta(ge=1, le=86_400)] = 600
    attempts: Annotated[int, msgspec.Meta(ge=1, le=10)] = 3
    rerun_limit: Annotated[int, msgspec.Meta(ge=0, le=100)] = 3
    # Of the process; 0 if unknown.
    memory_mb: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0
    max_fds: Annotated[int, msgspec.Meta(ge=0, le=10_000_000)] = 0


class TelemetrySection(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Logs, metrics and traces; metrics and traces are off by default."""

    statsd_address: SocketAddress | None = None
    traces: bool = False
    log_level: Annotated[
        str, msgspec.Meta(pattern='^(debug|info|warning|error)$')
    ] = 'info'


class RouterSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings file of ``basilpond-router``."""

    router: RouterSection
    log: LogSection
    vms: VmsSection = VmsSection()
    limits: LimitsSection = LimitsSection()
    telemetry: TelemetrySection = TelemetrySection()
