"""Measure the processor time of `StreamCheck` per frame.

Writes one JSON line per figure with name, value and unit.
"""

from __future__ import annotations

import json
import sys
import time

from basilpond.core import _frames

_ROUNDS = 5


def _frame(content: str) -> bytes:
    choice = {
        'index': 0,
        'delta': {'content': content},
        'logprobs': None,
        'finish_reason': None,
    }
    fields = {
        'id': 'chatcmpl-att1',
        'object': 'chat.completion.chunk',
        'created': 1,
        'model': 'm1',
        'choices': [choice],
    }
    return f'data: {json.dumps(fields)}\n\n'.encode()


def _feed_ns(chunks: list[bytes], frames: int) -> float:
    best = float('inf')
    for _ in range(_ROUNDS):
        check = _frames.StreamCheck(
            attempt_id='att1', model='m1', max_output_tokens=frames
        )
        start_ns = time.process_time_ns()
        for chunk in chunks:
            step = check.feed(chunk)
        best = min(best, (time.process_time_ns() - start_ns) / frames)
        if step.problem is not None or step.cut:
            raise RuntimeError('the benchmark stream failed its checks')
    return best


def main() -> None:
    """Run all measurements."""
    frames = [_frame(f' token{i % 100}') for i in range(100_000)]
    stream = b''.join(frames)
    length = len(stream) // len(frames) + 7
    cases = {
        'chunk_of_1_frame': frames,
        'chunk_of_10_frames': [
            b''.join(frames[i : i + 10]) for i in range(0, len(frames), 10)
        ],
        'chunk_not_at_frame_end': [
            stream[i : i + length] for i in range(0, len(stream), length)
        ],
    }
    for name, chunks in cases.items():
        figure = {
            'name': f'stream_check_{name}',
            'value': round(_feed_ns(chunks, len(frames))),
            'unit': 'ns/frame',
        }
        sys.stdout.write(json.dumps(figure) + '\n')


if __name__ == '__main__':
    main()
