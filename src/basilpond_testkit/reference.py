"""Tables of settings and manifest fields for the docs.

``python -m basilpond_testkit.reference`` rewrites the part of both pages
between the markers; a test compares the pages with the code.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from basilpond.core import IP_ADDRESS
from basilpond.core import PATTERN_END
from basilpond.core import SOCKET_ADDRESS
from basilpond.core import Manifest
from basilpond.settings import RouterSettings

DOCS = Path(__file__).parents[2] / 'docs'
BEGIN = '<!-- generated: begin -->'
END = '<!-- generated: end -->'
PAGES = {'settings.md': RouterSettings, 'manifest.md': Manifest}

_LIMITS = {
    'minimum': '>= {}',
    'maximum': '<= {}',
    'minLength': 'at least {} characters',
    'maxLength': 'at most {} characters',
    'pattern': 'matches `{}`',
    'minItems': 'at least {} items',
}


def _readable(limit: object) -> object:
    # Names the parts of patterns that are too long for a table.
    if not isinstance(limit, str):
        return limit
    return (
        limit.replace(SOCKET_ADDRESS, 'IP:PORT')
        .replace(IP_ADDRESS, 'IP')
        .replace(PATTERN_END, '$')
    )


def _range(schema: dict[str, Any]) -> str:
    if 'anyOf' in schema:
        return ' or '.join(_range(part) for part in schema['anyOf'])
    if 'enum' in schema:
        return 'one of ' + ', '.join(map(str, schema['enum']))
    parts = [schema.get('type', '')]
    parts += [
        text.format(_readable(schema[name]))
        for name, text in _LIMITS.items()
        if name in schema
    ]
    if schema.get('type') == 'array':
        parts.append('of ' + _range(schema['items']))
    return ', '.join(filter(None, parts)).replace('|', '\\|')


def _nested(schema: dict[str, Any]) -> tuple[str, str] | None:
    """Return the name of a nested struct and the suffix of its path."""
    items = schema.get('items', {})
    if '$ref' in items:
        return items['$ref'].rpartition('/')[2], '[]'
    for part in (schema, *schema.get('anyOf', ()), *schema.get('allOf', ())):
        if '$ref' in part:
            return part['$ref'].rpartition('/')[2], ''
    return None


def _rows(
    structs: dict[str, Any], name: str, path: str
) -> Iterator[tuple[str, str, str]]:
    struct = structs[name]
    required = struct.get('required', ())
    for field, schema in struct['properties'].items():
        nested = _nested(schema)
        if nested is not None:
            yield from _rows(structs, nested[0], f'{path}{field}{nested[1]}.')
            continue
        default = (
            'required'
            if field in required
            else msgspec.json.encode(schema.get('default')).decode()
        )
        yield f'{path}{field}', _range(schema), default


def reference_table(type_: type) -> str:
    """Return a Markdown table of all fields of a struct."""
    (schema,), structs = msgspec.json.schema_components([type_])
    root = schema['$ref'].rpartition('/')[2]
    structs = {
        name.rpartition('/')[2]: value for name, value in structs.items()
    }
    lines = ['| field | allowed | default |', '|---|---|---|']
    lines += [
        f'| `{path}` | {allowed} | `{default}` |'
        for path, allowed, default in _rows(structs, root, '')
    ]
    return '\n'.join(lines)


def rewrite_page(text: str, table: str) -> str:
    """Return a page with its generated part replaced."""
    head, _, rest = text.partition(BEGIN)
    _, _, tail = rest.partition(END)
    return f'{head}{BEGIN}\n\n{table}\n\n{END}{tail}'


def main() -> None:
    """Rewrite both pages."""
    for name, type_ in PAGES.items():
        path = DOCS / name
        path.write_text(rewrite_page(path.read_text(), reference_table(type_)))


if __name__ == '__main__':
    main()
