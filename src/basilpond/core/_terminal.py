"""Last part of a streamed response."""

from __future__ import annotations

import msgspec

from ._codes import Outcome

DONE_EVENT = b'data: [DONE]\n\n'


class _TerminalFrame(msgspec.Struct):
    choices: list[msgspec.Raw] = []


def _is_usage_only(event: bytes) -> bool:
    payload = event.removeprefix(b'data:').strip()
    try:
        return not msgspec.json.decode(payload, type=_TerminalFrame).choices
    except msgspec.MsgspecError:
        return False


def outcome_comment(outcome: Outcome) -> bytes:
    """Return the SSE comment that states the outcome of a stream."""
    return b': basilpond-outcome %b\n\n' % outcome.value.encode()


def build_terminal(held: bytes, *, include_usage: bool) -> bytes:
    """Return the end of a complete stream.

    Parameters
    ----------
    held : bytes
        Terminal events of the endpoint, `DONE_EVENT` last.
    include_usage : bool
        Whether the caller requested the usage frame. The router always
        requests it from the endpoint.
    """
    events = [
        event + b'\n\n'
        for event in held.replace(b'\r\n', b'\n').split(b'\n\n')
        if event
    ]
    kept = [
        event
        for event in events
        if event != DONE_EVENT and (include_usage or not _is_usage_only(event))
    ]
    return b''.join(kept) + outcome_comment(Outcome.COMPLETE) + DONE_EVENT


def length_terminal(stream_id: str, model: str, created_s: int) -> bytes:
    """Return terminal events for a stream cut at its output limit.

    Parameters
    ----------
    stream_id : str
        Id of the stream's frames.
    model : str
    created_s : int
        Unix time in seconds.
    """
    frame = msgspec.json.encode(
        {
            'id': stream_id,
            'object': 'chat.completion.chunk',
            'created': created_s,
            'model': model,
            'choices': [{'index': 0, 'delta': {}, 'finish_reason': 'length'}],
        }
    )
    return b'data: %b\n\n' % frame + DONE_EVENT


def failure_terminal(body: bytes, outcome: Outcome) -> bytes:
    """Return the end of a stream that failed after output began.

    Parameters
    ----------
    body : bytes
        JSON error object; clients read it as an error event. It is not
        followed by ``[DONE]``, so that no client takes the stream for a
        complete response.
    outcome : Outcome
    """
    return b'data: %b\n\n' % body + outcome_comment(outcome)
