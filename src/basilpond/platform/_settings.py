"""The platform's settings file."""

from __future__ import annotations

from pathlib import Path
import re
from typing import Annotated

import msgspec
import xxhash
import yaml

from ..node import NodeSettings
from ..node import settings_digest

# Same as in the deployment file, where operators' tools look it up.
METRICS_PORT = 9464
_BYTES_PER_MBIT = 125_000
_BYTES_PER_MB = 1_000_000
# Numbers of the settings are finite and not negative.
_Number = Annotated[float, msgspec.Meta(ge=0, le=2**53)]
_Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
# Names of machines are parts of keys in the log, which take 255 bytes.
_MAX_NODE_ID_BYTES = 128
_ADDRESS = re.compile(r'([0-9A-Za-z._-]{1,253}):([0-9]{1,5})')


class SettingsError(ValueError):
    """The settings file is invalid; the message names the field."""


class _Listen(msgspec.Struct):
    front: str
    ready: str


class _Limits(msgspec.Struct):
    # Per process: memory, and number of open file descriptors.
    memory_mb: _Number = 0.0
    max_fds: Annotated[int, msgspec.Meta(ge=0)] = 0
    # Bandwidth of the VM's link; 0 if unknown.
    link_mbps: _Number = 0.0
    # Share of a core; 0 if unknown.
    cpu_share: _Number = 0.0


class _Bounds(msgspec.Struct):
    # Time for the requests of a draining server to end.
    drain_ms: _Number = 2000.0
    # Time after which an acknowledged desired state must be in force.
    config_apply_ms: _Number = 2000.0
    # Time after which an evacuated data centre gets no more requests; present
    # only where operators evacuate data centres.
    evacuate_ms: _Number | None = None
    # Requests to a cold server that may be sent in a second: multiple of the
    # service's limit, and number beyond it.
    cold_over: _Number = 1.5
    cold_slack: _Number = 5.0
    # Time between SIGTERM and SIGKILL.
    grace_s: _Number = 8.0
    # Retry budget of the whole fleet: ratio and number of requests that may be
    # sent to a second server.
    retry_budget_ratio: _Number = 0.2
    budget_window_s: _Number = 10.0
    budget_slack: _Number = 56.0
    # Time for which a prompt part is worth finding again in a cache.
    reuse_window_s: _Number = 10.0


class _Platform(msgspec.Struct):
    address: str
    writes_per_s: _Number = 800.0
    reads_per_s: _Number = 2000.0
    # Partitions of each topic of the log.
    parts: Annotated[int, msgspec.Meta(ge=1, le=65_536)] = 1


class _SettingsFile(msgspec.Struct):
    node_name: str
    ip: str
    zone: str
    listen: _Listen
    port_range: tuple[_Port, _Port]
    platform: _Platform
    zones: dict[str, str] = {}
    # Whether the whole system starts for the first time.
    bootstrap: bool = False
    # Settings of this project; the platform does not write them.
    admission_control: bool = False
    preview: bool = False
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port.

    Raises
    ------
    ValueError
    """
    match = _ADDRESS.fullmatch(address)
    if match is None or not 0 < int(match[2]) < 65536:
        raise ValueError(f'{address!r} is no HOST:PORT')
    return match[1], int(match[2])


def _short_name(name: str) -> str:
    data = name.encode()
    if len(data) <= _MAX_NODE_ID_BYTES:
        return name
    # A digest of the whole name keeps machines with a common prefix apart.
    prefix = data[: _MAX_NODE_ID_BYTES - 33].decode(errors='ignore')
    return f'{prefix}-{xxhash.xxh3_128_hexdigest(data)}'


def load_settings(path: Path) -> NodeSettings:
    """Read and check the settings.

    Parameters
    ----------
    path : Path

    Returns
    -------
    NodeSettings

    Raises
    ------
    SettingsError
        The message has the name of the field, its value and what is allowed.
    """
    try:
        data = path.read_bytes()
        file = msgspec.convert(_load_yaml(data), _SettingsFile, strict=False)
        return NodeSettings(
            node_id=_short_name(file.node_name),
            host=file.ip,
            data_centre=file.zone,
            caller_address=split_address(file.listen.front),
            ready_address=split_address(file.listen.ready),
            peer_port=file.port_range[0],
            metrics_port=METRICS_PORT,
            store_address=split_address(file.platform.address),
            store_writes_per_s=file.platform.writes_per_s,
            store_reads_per_s=file.platform.reads_per_s,
            store_partitions=file.platform.parts,
            stop_grace_s=file.bounds.grace_s,
            drain_s=file.bounds.drain_ms / 1000,
            config_apply_s=file.bounds.config_apply_ms / 1000,
            evacuate_s=None
            if file.bounds.evacuate_ms is None
            else file.bounds.evacuate_ms / 1000,
            cold_over=file.bounds.cold_over,
            cold_slack=file.bounds.cold_slack,
            retry_share=file.bounds.retry_budget_ratio,
            retry_window_s=file.bounds.budget_window_s,
            retry_slack=file.bounds.budget_slack,
            prompt_reuse_s=file.bounds.reuse_window_s,
            link_bytes_per_s=file.limits.link_mbps * _BYTES_PER_MBIT
            or float('inf'),
            cpu_share=file.limits.cpu_share,
            is_first_start=file.bootstrap,
            admission_control=file.admission_control,
            preview=file.preview,
            memory_bytes=file.limits.memory_mb * _BYTES_PER_MB,
            max_fds=file.limits.max_fds,
            digest=settings_digest(data),
        )
    except (OSError, ValueError, RecursionError) as error:
        raise SettingsError(f'{path}: {error}') from error


def _load_yaml(data: bytes) -> object:
    try:
        return yaml.load(data, _yaml_loader())
    except Exception as error:
        # The library reports malformed input through many built-in types
        # (IndexError, KeyError, AttributeError, ...).
        raise ValueError(f'{type(error).__name__}: {error}') from error


def _yaml_loader() -> type:
    return getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
