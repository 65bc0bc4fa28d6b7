"""Committed workload: its requests and the HTTP calls they stand for."""

from __future__ import annotations

import importlib.resources
from typing import Any
from typing import Literal

import msgspec

Kind = Literal[
    'chat',
    'summary',
    'pattern',
    'counter',
    'photo_tags',
    'claim',
    'release',
    'spot_status',
    'booking',
    'order_status',
]

SERVICE = 'desk'
MODELS = {
    'chat': 'wagen-chat',
    'summary': 'wagen-chat',
    'pattern': 'lanterna-pattern',
    'counter': 'lanterna-counter',
    'photo_tags': 'lanterna-counter',
}

# Long enough for a prefix cache to hold two blocks of each.
SYSTEM_PROMPTS = {
    'chat': (
        'You are the assistant of Wagenpark. Parents ask where their pram is '
        'parked and how to move it. Answer in one or two short sentences. '
        'Name the building, the floor and the spot. Never name the owner of '
        'another pram. If the tag is not known, ask the parent to scan it '
        'again and to show it to the front desk. Spots are numbered from the '
        'lift; spots 1 to 40 are indoors, 41 to 90 are under the roof. Prams '
        'that block an exit are towed after thirty minutes.'
    ),
    'summary': (
        'You write the monthly summary of a pram parking site for its front '
        'desk. Give the number of scans, the busiest days, the spots that '
        'were full most often, towed prams and complaints, and end with two '
        'suggestions. Use plain sentences without tables. Do not name '
        'parents or children. Leave out days without scans. Round hours to '
        'quarters. The month and the counters follow in the message.'
    ),
    'pattern': (
        'You write folding patterns for paper lanterns. Give the sheet size, '
        'the folds in order with mountain or valley and the distance in '
        'millimetres, the cuts, the glue points and the place of the lamp. '
        'Number every step. A shop assistant folds while reading, so a step '
        'has one fold only. Warn before a fold that cannot be undone. Paper '
        'is 120 grams unless the message names another weight.'
    ),
    'counter': (
        'You help at the counter of a paper lantern shop. A customer waits, '
        'so answer in one sentence. Prices are in euro with tax. If the '
        'question is about a delivery, give the order desk number. Do not '
        'promise a date. Lanterns with candles are not sold for indoor use; '
        'lanterns with lamps are. Sizes are small, medium, large and '
        'procession. Colours can be mixed from twelve sheets on.'
    ),
    'photo_tags': (
        'You tag photos of paper lanterns for the catalogue. Answer with '
        'five to nine tags, separated by commas: shape, size, main colour, '
        'second colour, paper, occasion. Use only words from the catalogue '
        'list: star, sphere, boat, fish, lemon, tower, rosette, red, ochre, '
        'indigo, white, plain, waxed, wedding, procession, shop window, '
        'christmas, saint. If the photo shows no lantern, answer: none.'
    ),
}

_SERVICE_CALLS = {
    'claim': ('POST', '/spots/{target}/claim', 'tag'),
    'release': ('POST', '/spots/{target}/release', 'tag'),
    'spot_status': ('GET', '/spots/{target}', None),
    'booking': ('POST', '/bookings', 'festival'),
    'order_status': ('GET', '/orders/{target}', None),
}
NON_IDEMPOTENT = frozenset({'claim', 'release', 'booking'})


class Request(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """One line of the workload.

    Parameters
    ----------
    id : str
    at_ms : int
        Send time since the start.
    organisation : str
    kind : str
    text : str
        Prompt, tag of a pram, or festival.
    target : str
        Spot or order of a service call.
    stream : bool
    max_tokens : int
    image : str
        URL of a photo.
    key : str
        Label of an idempotency key. Lines with the same label are the same
        request sent again, unless `other_body` is set. The player makes a
        UUID version 7 of each label, because its time must be current.
    other_body : bool
        The key was used with another body; a refusal is expected.
    abandon_after_tokens : int
        The caller hangs up after as many tokens; 0 = never.
    """

    id: str
    at_ms: int
    organisation: str
    kind: Kind
    text: str = ''
    target: str = ''
    stream: bool = False
    max_tokens: int = 0
    image: str = ''
    key: str = ''
    other_body: bool = False
    abandon_after_tokens: int = 0

    @property
    def is_chat(self) -> bool:
        """Whether a model engine answers."""
        return self.kind in MODELS

    def http(self) -> tuple[str, str, bytes]:
        """Return method, path at the router and body."""
        if self.is_chat:
            body = msgspec.json.encode(self._chat())
            return 'POST', '/v1/chat/completions', body
        method, path, field = _SERVICE_CALLS[self.kind]
        body = (
            b'' if field is None else msgspec.json.encode({field: self.text})
        )
        path = path.format(target=self.target)
        return method, f'/v1/services/{SERVICE}{path}', body

    def _chat(self) -> dict[str, Any]:
        content: Any = self.text
        if self.image:
            content = [
                {'type': 'text', 'text': self.text},
                {'type': 'image_url', 'image_url': {'url': self.image}},
            ]
        body = {
            'model': MODELS[self.kind],
            'messages': [
                {'role': 'system', 'content': SYSTEM_PROMPTS[self.kind]},
                {'role': 'user', 'content': content},
            ],
            'max_tokens': self.max_tokens,
        }
        if self.stream:
            body['stream'] = True
            body['stream_options'] = {'include_usage': True}
        return body


def parse(lines: str) -> list[Request]:
    """Decode a workload, one JSON object a line."""
    return [
        msgspec.json.decode(line, type=Request) for line in lines.splitlines()
    ]


def load() -> list[Request]:
    """Return the committed workload in the order of its send times."""
    file = importlib.resources.files(__package__) / 'workload.jsonl'
    return parse(file.read_text(encoding='utf-8'))
