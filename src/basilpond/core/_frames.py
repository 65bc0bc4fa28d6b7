"""Check of a streamed response of the chat completions API.

Not every frame (the JSON document of an event) is parsed. The bytes around the
content string of a parsed frame form a template; a frame that differs from the
template only in its content string is accepted without parsing. A quote inside
a JSON string is always escaped, so content cannot imitate the template.
"""

from __future__ import annotations

import re
from typing import Any

import msgspec

from ._codes import ResultCode
from ._response_parts import FINISH_REASONS
from ._response_parts import InvalidResponseError
from ._response_parts import Usage
from ._response_parts import check_usage
from ._response_parts import decode_json
from ._response_parts import text_bytes

# A larger event is treated as malformed, so that an endpoint that never ends
# an event cannot exhaust the router's memory.
MAX_EVENT_BYTES = 262_144
DONE_EVENT = b'data: [DONE]\n\n'

_DELTA_KEYS = frozenset(
    (
        'role',
        'content',
        'reasoning',
        'reasoning_content',
        'refusal',
        'tool_calls',
        'function_call',
    )
)
_FIRST_DELIMITER = re.compile(rb'\r?\n\r?\n')
_CONTENT_START = re.compile(rb'"content": ?"')
_STRING_CONTENT = re.compile(rb'(?:[^"\\]|\\.)*+')
_decode_str = msgspec.json.Decoder(str).decode


class StreamStep(msgspec.Struct, frozen=True, gc=False):
    """Result of the check of one chunk.

    Parameters
    ----------
    relay : bytes
        Checked bytes to send to the caller now.
    held : bytes
        Terminal events in this chunk, held back until the bill is committed.
    problem : ResultCode or None
        First fault of the stream; the faulty event and all later ones are
        not relayed.
    cut : bool
        The output limit is exceeded; the attempt must be cancelled.
    """

    relay: bytes = b''
    held: bytes = b''
    problem: ResultCode | None = None
    cut: bool = False


class StreamSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Result of the check of a stream at its end.

    `frames` counts frames with content, `usage` is None unless plausible, and
    `usage_problem` is ``''``, ``'missing'`` or ``'implausible'``.
    `terminal_bytes` ends with `DONE_EVENT` and is empty unless the stream is
    complete.
    """

    complete: bool
    problem: ResultCode | None
    frames: int
    content_bytes: int
    usage: Usage | None
    usage_problem: str
    finish_reason: str | None
    terminal_bytes: bytes
    cut: bool


class _Choice(msgspec.Struct):
    index: int
    delta: dict[str, Any]
    finish_reason: str | None = None


class _Frame(msgspec.Struct):
    id: str
    model: str
    choices: list[_Choice]
    usage: Usage | None = None


class StreamCheck:
    """Check of one stream of server-sent events with a single choice.

    Parameters
    ----------
    attempt_id : str or None
        Must be part of the frames' id; None when the endpoint does not echo
        it.
    model : str
        Must be the frames' model.
    max_output_tokens : int
        Maximum number of content frames to relay. A content frame carries at
        least one token.
    prompt_bound_tokens : int, optional
        Largest plausible prompt size.
    """

    __slots__ = (
        '_attempt_id',
        '_choice_keys',
        '_content_bytes',
        '_cut',
        '_delimiter',
        '_done',
        '_end_offset',
        '_finish_reason',
        '_frame_keys',
        '_frames',
        '_held',
        '_id',
        '_max_frame_bytes',
        '_max_output_tokens',
        '_min_frame_bytes',
        '_model',
        '_prefix',
        '_problem',
        '_prompt_bound_tokens',
        '_quote_offset',
        '_separator',
        '_suffix',
        '_tail',
        '_usage',
    )

    def __init__(
        self,
        *,
        attempt_id: str | None,
        model: str,
        max_output_tokens: int,
        prompt_bound_tokens: int | None = None,
    ) -> None:
        self._attempt_id = attempt_id
        self._model = model
        self._max_output_tokens = max_output_tokens
        self._prompt_bound_tokens = prompt_bound_tokens
        self._id: str | None = None
        self._frame_keys: frozenset[str] = frozenset()
        self._choice_keys: frozenset[str] | None = None
        self._delimiter = b''
        # Template of a content frame: the bytes before and after the content,
        # and `_separator`, the bytes between the contents of two frames in
        # sequence. An empty prefix means that there is no template.
        self._prefix = b''
        self._suffix = b''
        self._separator = b''
        self._min_frame_bytes = 0
        self._max_frame_bytes = 0
        self._quote_offset = 0
        self._end_offset = 0
        self._tail = b''
        self._frames = 0
        self._content_bytes = 0
        self._usage: Usage | None = None
        self._finish_reason: str | None = None
        self._done = False
        self._held: list[bytes] = []
        self._problem: ResultCode | None = None
        self._cut = False

    @property
    def stream_id(self) -> str | None:
        """Id of the frames, None before the first frame."""
        return self._id

    def feed(self, chunk: bytes) -> StreamStep:
        """Check the next bytes of the stream.

        Parameters
        ----------
        chunk : bytes
            Any part of the stream; events may span several chunks.

        Returns
        -------
        StreamStep
        """
        data = self._tail + chunk if self._tail else chunk
        prefix = self._prefix
        if prefix and data.startswith(prefix):
            suffix = self._suffix
            if data.endswith(suffix):
                size = len(data)
                # One frame with short content: `data` is too short for two
                # frames with content.
                if self._min_frame_bytes <= size <= self._max_frame_bytes:
                    try:
                        text = _decode_str(
                            data[self._quote_offset : size - self._end_offset]
                        )
                    except (msgspec.DecodeError, UnicodeDecodeError):
                        return self._feed_events(data)
                    if text:
                        if self._frames >= self._max_output_tokens:
                            return self._feed_events(data)
                        self._frames += 1
                        self._content_bytes += (
                            len(text) if text.isascii() else len(text.encode())
                        )
                    self._tail = b''
                    return StreamStep(data)
                if self._match_template(data):
                    self._tail = b''
                    return StreamStep(data)
            else:
                delimiter = self._delimiter
                end = data.rfind(delimiter) + len(delimiter)
                events = data[:end]
                if events.endswith(suffix) and self._match_template(events):
                    self._tail = data[end:]
                    if len(self._tail) <= MAX_EVENT_BYTES:
                        return StreamStep(events)
                    self._fail(ResultCode.ANSWER_INVALID)
                    return StreamStep(events, problem=self._problem)
        return self._feed_events(data)

    def finish(self) -> StreamSummary:
        """Return the result of the check after the last chunk."""
        if self._problem is None:
            if self._done:
                if self._tail.strip():
                    self._fail(ResultCode.ANSWER_INVALID)
            elif not self._cut:
                self._fail(ResultCode.ANSWER_TRUNCATED)
        if (
            self._problem is None
            and self._usage is not None
            and self._frames > self._usage.completion_tokens
        ):
            # More frames than generated tokens: frames were duplicated or
            # belong to another stream, so the caller must not take the text
            # for a complete response.
            self._fail(ResultCode.ANSWER_INVALID)
        complete = self._problem is None and self._done
        usage_problem = check_usage(
            self._usage,
            frames=self._frames,
            content_bytes=self._content_bytes,
            max_output_tokens=self._max_output_tokens,
            prompt_bound_tokens=self._prompt_bound_tokens,
        )
        return StreamSummary(
            complete=complete,
            problem=self._problem,
            frames=self._frames,
            content_bytes=self._content_bytes,
            usage=None if usage_problem else self._usage,
            usage_problem=usage_problem,
            finish_reason=self._finish_reason,
            terminal_bytes=b''.join(self._held) if complete else b'',
            cut=self._cut,
        )

    def _match_template(self, data: bytes) -> bool:
        """Count the frames of `data` if all of them match the template.

        `data` must start with the prefix and end with the suffix. Returns
        False, with nothing counted, if a frame differs or the output limit
        would be exceeded.
        """
        start = len(self._prefix) - 1
        end = len(data) - len(self._suffix) + 1
        # The slice contains the quotes around the content.
        body = data[start:end]
        if end - start < 2 or len(data) > MAX_EVENT_BYTES:
            return False
        frames = 1
        if self._separator in body:
            parts = body[1:-1].split(self._separator)
            separators = len(parts) - 1
            frames = len(parts) - parts.count(b'')
            # Joined with spaces, because an escape sequence that is cut off
            # by a separator stays invalid before a space.
            body = b'"%b"' % b' '.join(parts)
        else:
            separators = 0
        try:
            text = _decode_str(body)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return False
        if not text:
            frames = 0
        total = self._frames + frames
        if total > self._max_output_tokens:
            return False
        self._frames = total
        self._content_bytes += (
            len(text) if text.isascii() else len(text.encode())
        ) - separators
        return True

    def _feed_events(self, data: bytes) -> StreamStep:
        """Check `data` event by event; keep an incomplete last event."""
        relay: list[bytes] = []
        held_before = len(self._held)
        start = 0
        while self._problem is None and not self._cut:
            end = self._event_end(data, start)
            if not end:
                if len(data) - start > MAX_EVENT_BYTES:
                    self._fail(ResultCode.ANSWER_INVALID)
                break
            event = data[start:end]
            start = end
            prefix = self._prefix
            if (
                prefix
                and event.startswith(prefix)
                and event.endswith(self._suffix)
                and self._match_template(event)
            ):
                relay.append(event)
                continue
            try:
                self._check_event(event, relay)
            except InvalidResponseError as error:
                self._fail(error.code)
        self._tail = b'' if self._problem or self._cut else data[start:]
        return StreamStep(
            b''.join(relay),
            b''.join(self._held[held_before:]),
            self._problem,
            self._cut,
        )

    def _event_end(self, data: bytes, start: int) -> int:
        """Return the end of the event at `start`, 0 if it is incomplete.

        The first event determines the delimiter of the stream.
        """
        if not self._delimiter:
            match = _FIRST_DELIMITER.search(data, start)
            if match is None:
                return 0
            self._delimiter = (
                b'\r\n\r\n' if match[0].startswith(b'\r') else b'\n\n'
            )
        at = data.find(self._delimiter, start)
        return 0 if at < 0 else at + len(self._delimiter)

    def _check_event(self, event: bytes, relay: list[bytes]) -> None:
        """Parse an event; append what may be sent to the caller to `relay`."""
        if len(event) > MAX_EVENT_BYTES:
            raise InvalidResponseError
        lines = [line for line in event.splitlines() if line]
        if self._done:
            if lines:
                raise InvalidResponseError
            return
        fields = [line for line in lines if not line.startswith(b':')]
        if not fields:
            # Comments keep the connection alive and are relayed until the
            # finish reason, but without their text, which could imitate the
            # router's outcome comment.
            if lines and self._finish_reason is None:
                relay.append(b':\n\n')
            return
        if fields[0].startswith(b'event:'):
            if fields[0][6:].strip() == b'error':
                raise InvalidResponseError(ResultCode.ENDPOINT_FAILED)
            raise InvalidResponseError
        if len(lines) != 1 or not fields[0].startswith(b'data:'):
            raise InvalidResponseError
        payload = fields[0][5:].strip(b' ')
        if payload == b'[DONE]':
            if self._finish_reason is None:
                raise InvalidResponseError(ResultCode.ANSWER_TRUNCATED)
            self._done = True
            self._held.append(DONE_EVENT)
            return
        self._check_frame(event, payload, relay)

    def _check_frame(
        self, event: bytes, payload: bytes, relay: list[bytes]
    ) -> None:
        """Check an event's JSON document; relay or hold back the event."""
        fields, frame = self._parse(payload)
        choice = frame.choices[0] if frame.choices else None
        size = 0
        if choice is None:
            if frame.usage is None:
                raise InvalidResponseError
        else:
            self._check_choice(choice, fields['choices'][0])
            size = text_bytes(choice.delta)
        if self._finish_reason is not None:
            # Only a single usage frame may follow the finish reason.
            if choice is not None or self._holds_usage():
                raise InvalidResponseError
            self._usage = frame.usage
            self._held.append(event)
            return
        if size and self._frames >= self._max_output_tokens:
            self._cut = True
            self._prefix = b''
            return
        if frame.usage is not None:
            self._usage = frame.usage
        self._frames += bool(size)
        self._content_bytes += size
        if choice is not None and choice.finish_reason is not None:
            self._finish_reason = choice.finish_reason
            self._prefix = b''
            self._held.append(event)
            return
        relay.append(event)
        if choice is not None and frame.usage is None:
            self._set_template(event, choice)

    def _holds_usage(self) -> bool:
        return len(self._held) > 1

    def _parse(self, payload: bytes) -> tuple[dict[str, Any], _Frame]:
        try:
            fields = decode_json(payload)
            if isinstance(fields, dict) and fields.get('error') is not None:
                raise InvalidResponseError(ResultCode.ENDPOINT_FAILED)
            frame = msgspec.convert(fields, _Frame)
        except (
            msgspec.DecodeError,
            msgspec.ValidationError,
            UnicodeDecodeError,
            RecursionError,
        ) as error:
            raise InvalidResponseError from error
        if len(frame.choices) > 1 or frame.model != self._model:
            raise InvalidResponseError
        frame_keys = frozenset(fields) - {'usage'}
        if self._id is None:
            if self._attempt_id is not None and (
                self._attempt_id not in frame.id
            ):
                raise InvalidResponseError
            self._id = frame.id
            self._frame_keys = frame_keys
        terminal = frame.usage is not None or any(
            choice.finish_reason is not None for choice in frame.choices
        )
        # Inference engines add fields to terminal frames only.
        if frame.id != self._id or not (
            frame_keys >= self._frame_keys
            if terminal
            else frame_keys == self._frame_keys
        ):
            raise InvalidResponseError
        return fields, frame

    def _check_choice(self, choice: _Choice, fields: dict[str, Any]) -> None:
        if choice.index != 0 or not choice.delta.keys() <= _DELTA_KEYS:
            raise InvalidResponseError
        if not isinstance(choice.delta.get('content'), str | None):
            raise InvalidResponseError
        keys = frozenset(fields)
        if self._choice_keys is None:
            self._choice_keys = keys
        if choice.finish_reason is None:
            if keys != self._choice_keys:
                raise InvalidResponseError
        elif (
            choice.finish_reason not in FINISH_REASONS
            or not keys >= self._choice_keys
        ):
            raise InvalidResponseError

    def _set_template(self, event: bytes, choice: _Choice) -> None:
        """Make `event` the template if its only text is the content."""
        if not choice.delta.get('content') or any(
            value is not None and key not in ('content', 'role')
            for key, value in choice.delta.items()
        ):
            return
        starts = list(_CONTENT_START.finditer(event))
        if len(starts) != 1:
            return
        start = starts[0].end()
        end = _STRING_CONTENT.match(event, start).end()
        self._prefix = event[:start]
        self._suffix = event[end:]
        self._separator = self._suffix + self._prefix
        self._min_frame_bytes = len(self._separator)
        self._max_frame_bytes = min(MAX_EVENT_BYTES, 2 * self._min_frame_bytes)
        self._quote_offset = start - 1
        self._end_offset = len(self._suffix) - 1

    def _fail(self, code: ResultCode) -> None:
        self._problem = code
        self._prefix = b''
        self._tail = b''
