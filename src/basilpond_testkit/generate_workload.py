"""Writes workload.jsonl; run it only to change the committed workload."""

from __future__ import annotations

from collections.abc import Iterator
import pathlib
import random

import defopt
import msgspec

from . import workload

REQUESTS = 300
DURATION_MS = 40_000

# Organisation, weight, deployment. The first of each deployment is large.
ORGANISATIONS = (
    ('wagen-centrum', 26, 'wagen'),
    ('wagen-station', 14, 'wagen'),
    ('wagen-zwembad', 6, 'wagen'),
    ('wagen-museum', 4, 'wagen'),
    ('wagen-bieb', 3, 'wagen'),
    ('lanterne-palermo', 22, 'lanterne'),
    ('lanterne-messina', 8, 'lanterne'),
    ('lanterne-siracusa', 4, 'lanterne'),
    ('lanterne-noto', 3, 'lanterne'),
    # Runs out of its budget; the demo tops it up.
    ('lanterne-catania', 10, 'lanterne'),
)
KINDS = {
    'wagen': {
        'chat': 50,
        'summary': 8,
        'claim': 18,
        'release': 12,
        'spot_status': 12,
    },
    'lanterne': {
        'pattern': 14,
        'counter': 40,
        'photo_tags': 14,
        'booking': 12,
        'order_status': 14,
    },
}
MAX_TOKENS = {
    'chat': 80,
    'summary': 260,
    'pattern': 320,
    'counter': 50,
    'photo_tags': 30,
}
CHATS = (
    'Where is our pram? The tag says {tag}.',
    'I left pram {tag} by the lift this morning. Is it still there?',
    'Which floor is {tag} on, and is the lift working?',
    'The scan of {tag} failed twice. What now?',
    'Can my sister fetch {tag} for me? She is at the entrance.',
    'Is {tag} under the roof? It is starting to rain.',
    'How long may {tag} stay where it is?',
)
SUMMARIES = (
    'Summary for {month}, site {tag}: scans {n}, towed 2, complaints 5, '
    'busiest Saturdays. Two pages. [220 tokens]',
    'Write the {month} report of site {tag}. Scans {n}, full on 9 days, '
    'lift out of order from the 3rd to the 7th. [180 tokens]',
)
PATTERNS = (
    'Full folding pattern for a {shape} lantern, medium, order {tag}. '
    '[240 tokens]',
    'Pattern for a {shape}, procession size, waxed paper, job {tag}. '
    '[300 tokens]',
    'Give the pattern of the {shape} again, left-handed folder, job {tag}. '
    '[200 tokens]',
)
COUNTERS = (
    'Customer {tag} asks the price of a large {shape} lantern.',
    'Does the {shape} fold flat? Customer {tag} travels by ferry.',
    'Which colours go with an indigo {shape}? Ticket {tag}.',
    'Ticket {tag}: is a {shape} with a lamp safe in a shop window?',
)
SHAPES = ('star', 'sphere', 'boat', 'fish', 'lemon', 'tower', 'rosette')
MONTHS = ('August', 'September', 'October', 'November')
FESTIVALS = (
    'Santa Rosalia, Palermo',
    'Sant Agata, Catania',
    'Infiorata, Noto',
    'Vara, Messina',
    'Santa Lucia, Siracusa',
)


def _fields(numbers: random.Random, kind: str, number: int) -> dict:
    """Return text, target and options of one request."""
    tag = f'WP-{number:04d}' if kind in ('chat', 'claim') else f'L{number:04d}'
    choose = numbers.choice
    texts = {
        'chat': CHATS,
        'summary': SUMMARIES,
        'pattern': PATTERNS,
        'counter': COUNTERS,
        'photo_tags': ('Tags for photo {tag}, a {shape} lantern.',),
    }
    if kind in texts:
        text = choose(texts[kind]).format(
            tag=tag, shape=choose(SHAPES), month=choose(MONTHS), n=number * 7
        )
        return {
            'text': text,
            'max_tokens': MAX_TOKENS[kind],
            'stream': kind != 'photo_tags' and numbers.random() < 0.8,
            'image': f'https://photos.example/{tag}.jpg'
            if kind == 'photo_tags'
            else '',
        }
    if kind == 'booking':
        festival = choose(FESTIVALS)
        van = f'{festival}, {numbers.randrange(2, 40)} crates, van {number}'
        return {'text': van}
    if kind == 'order_status':
        return {'target': f'desk-{numbers.randrange(1, 30)}'}
    spot = str(numbers.randrange(1, 91))
    if kind == 'spot_status':
        return {'target': spot}
    # Each claim has a spot of its own, so that no answer depends on another.
    return {'target': str(1000 + number), 'text': f'WP-{number:04d}'}


def generate(seed: int) -> list[workload.Request]:
    """Return a workload in the order of its send times."""
    numbers = random.Random(seed)
    requests = list(_requests(numbers))
    return sorted(requests, key=lambda request: request.at_ms)


def _requests(numbers: random.Random) -> Iterator[workload.Request]:
    weights = [weight for _, weight, _ in ORGANISATIONS]
    number = 0
    while number < REQUESTS:
        number += 1
        ((organisation, _, deployment),) = numbers.choices(
            ORGANISATIONS, weights
        )
        kinds = KINDS[deployment]
        (kind,) = numbers.choices(list(kinds), kinds.values())
        request = workload.Request(
            id=f'w{number:03d}',
            at_ms=numbers.randrange(DURATION_MS) // 10 * 10,
            organisation=organisation,
            kind=kind,
            **_fields(numbers, kind, number),
        )
        if kind in workload.NON_IDEMPOTENT or (
            request.is_chat and numbers.random() < 0.85
        ):
            request.key = f'key-{number:03d}'
        if request.stream and numbers.random() < 0.06:
            request.abandon_after_tokens = numbers.randrange(3, 20)
        yield request
        if request.key and number < REQUESTS and numbers.random() < 0.12:
            number += 1
            yield _repeat(numbers, request, number)


def _repeat(
    numbers: random.Random, request: workload.Request, number: int
) -> workload.Request:
    """Return the same request sent again, sometimes with another body."""
    repeat = msgspec.structs.replace(
        request,
        id=f'w{number:03d}',
        # Some repeats arrive while the first is still running.
        at_ms=request.at_ms + numbers.choice((30, 200, 1500, 6000)),
        abandon_after_tokens=0,
    )
    if numbers.random() < 0.15:
        repeat.other_body = True
        repeat.text += ' (changed)'
    return repeat


def write(*, seed: int = 7) -> None:
    """Write the workload beside this module.

    Parameters
    ----------
    seed : int
    """
    lines = [msgspec.json.encode(request) for request in generate(seed)]
    path = pathlib.Path(__file__).with_name('workload.jsonl')
    path.write_bytes(b'\n'.join(lines) + b'\n')


if __name__ == '__main__':
    defopt.run(write)
