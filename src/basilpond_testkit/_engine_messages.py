"""Settings, control orders and records of the engine stand-in."""

from __future__ import annotations

from typing import Annotated
from typing import Literal

import msgspec

from . import _answers
from . import _program

_Count = Annotated[int, msgspec.Meta(ge=1, le=10_000_000)]
_Share = Annotated[float, msgspec.Meta(ge=0, le=1)]

Patch = Literal[
    'other_frame_form',
    'no_usage',
    'wrong_usage',
    'ignore_max_tokens',
    'truncate_clean',
    'other_id',
    'duplicate_frames',
    'late_frames',
    'reorder',
]
PATCHES = frozenset(Patch.__args__)


class EngineSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Model of the engine.

    Parameters
    ----------
    models : list of str
    first_token_ms : int
        Time from the start of a request to its first token, with every prompt
        block in the prefix cache.
    prompt_block_ms : float
        Added for each prompt block of 256 bytes that is not in the cache.
    token_interval_ms : float
        Time of one step; each running request gets one token per step.
    batch_size : int
        Requests that run at the same time.
    queue_size : int
        Requests that wait; more are refused.
    step_groups : int
        Parts of the batch that step one after the other, spread over the
        interval. One process then stands for as many engines.
    cache_blocks : int
    cache_event_lag_ms, load_lag_ms : int
    cache_event_loss_share : float
        Share of the cache events that are never reported.
    version : int
        Software version, which the text of the answers depends on.
    """

    models: list[str] = msgspec.field(default_factory=lambda: ['model-a'])
    first_token_ms: _program.Milliseconds = 100
    prompt_block_ms: Annotated[float, msgspec.Meta(ge=0, le=10_000)] = 2.0
    token_interval_ms: Annotated[float, msgspec.Meta(gt=0, le=10_000)] = 20.0
    batch_size: _Count = 64
    queue_size: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 64
    step_groups: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 1
    cache_blocks: _Count = 4096
    cache_event_lag_ms: _program.Milliseconds = 200
    cache_event_loss_share: _Share = 0.0
    load_lag_ms: _program.Milliseconds = 200
    kept_runs: _Count = 100_000
    version: Annotated[int, msgspec.Meta(ge=1, le=_answers.MAX_VERSION)] = 1


class Settings(msgspec.Struct, forbid_unknown_fields=True):
    """Settings file of the program."""

    http: _program.HttpSettings = msgspec.field(
        default_factory=_program.HttpSettings
    )
    engine: EngineSettings = msgspec.field(default_factory=EngineSettings)


class FaultOrder(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control/faults``.

    Parameters
    ----------
    mode : str
        ``up`` ends all faults. ``crash`` closes all connections at once and
        refuses new ones for `down_ms`; ``crash_on_text`` does so for each
        request whose prompt contains `text`. ``refuse`` answers 503, with
        X-Not-Started when `not_started`. ``silent`` never answers again on
        the connections open now. ``silent_after_frames`` stops streams after
        `frames` tokens. ``slow`` delays the first token by `delay_ms` and
        sends a token every `every_steps` steps. The others are patches.
    for_ms : int, optional
        Without it the fault lasts until ``up``.
    """

    mode: (
        Literal[
            'up',
            'crash',
            'crash_on_text',
            'refuse',
            'silent',
            'silent_after_frames',
            'slow',
        ]
        | Patch
    )
    for_ms: _program.Milliseconds | None = None
    down_ms: _program.Milliseconds = 1000
    text: str = ''
    frames: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 3
    delay_ms: _program.Milliseconds = 0
    every_steps: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 1
    not_started: bool = True


class LeavingOrder(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control/leaving``.

    `refuse` makes a leaving engine refuse new requests as not started.
    """

    leaving: bool = True
    refuse: bool = False


class RunRecord(msgspec.Struct):
    """One run, for audits; times are wall-clock milliseconds, 0 = never.

    `tokens_sent` counts tokens generated and, for a stream, written.
    `content_digest` covers model and messages, `body_digest` the body's
    bytes. `version` is the software version that ran it.
    """

    attempt_id: str
    content_digest: str
    body_digest: str
    model: str
    stream: bool
    priority: int
    prompt_tokens: int
    received_ms: int
    leaving: bool
    started_ms: int = 0
    first_token_ms: int = 0
    ended_ms: int = 0
    tokens_sent: int = 0
    state: Literal[
        'waiting', 'running', 'finished', 'cancelled', 'crashed'
    ] = 'waiting'
    version: int = 1
