"""Table form of the preview of a request."""

from __future__ import annotations

from typing import Any

from ._output import write_line
from ._output import write_table


def write_preview(answer: dict[str, Any]) -> None:
    """Write the answer of a router for people."""
    route = answer['route']
    load = answer['load']
    rows = [
        ('router', f'{answer["router"]}, version {answer["version"]}'),
        (
            'route',
            f'{route["name"]} ({route["host"]}{route["prefix"]},'
            f' {route["kind"]}, priority {route["priority"]})',
        ),
        ('key', answer['key']),
        ('organisation', answer['organisation'] or '-'),
        (
            'service',
            f'{answer["service"] or "-"} of '
            + ', '.join(
                f'{item["service"]} {item["weight"]:g}'
                for item in answer['services']
            ),
        ),
        (
            'load',
            f'{load["reason"] or "admitted"}, wait {_seconds(load["wait_s"])}'
            f' of at most {_seconds(load["max_wait_s"])}',
        ),
        ('budget', _budget(answer)),
    ]
    if answer['admission_control']:
        rows.append(('admission', 'less urgent prompts may wait for room'))
    rows.append(('outcome', _outcome(answer)))
    for name, text in rows:
        write_line(f'{name + ":":<14}{text}')
    write_line('')
    places = {
        item['endpoint']: (str(place), _seconds(item['cost_s']))
        for place, item in enumerate(answer['compared'], 1)
    }
    endpoints = sorted(
        answer['endpoints'],
        key=lambda item: (
            int(places.get(item['endpoint'], ('1000000',))[0]),
            item['endpoint'],
        ),
    )
    write_table(
        (
            'place',
            'endpoint',
            'cost',
            'forecast',
            'speed',
            'work',
            'pending',
            'cached',
            'running',
            'data centre',
            'version',
            'excluded',
        ),
        [
            (
                places.get(item['endpoint'], ('-',))[0],
                item['endpoint'],
                places.get(item['endpoint'], ('', '-'))[1],
                _seconds(item['forecast_s']),
                str(item['tokens_per_s']),
                str(item['work']),
                str(item['pending_work']),
                str(item['cached_tokens']),
                f'{item["running"]}/{item["slots"]}',
                item['data_centre'],
                item['version'] or '-',
                ', '.join(map(_reason, item['excluded'])) or '-',
            )
            for item in endpoints
        ],
    )


def _outcome(answer: dict[str, Any]) -> str:
    text = answer['outcome']
    if answer['chosen']:
        text += f' to {answer["chosen"]}'
    if answer['reason']:
        status = f'{answer["status"]} ' if answer['status'] else ''
        text += f': {status}{answer["reason"]}'
    if answer['wait_s'] is not None:
        text += f', {_seconds(answer["wait_s"])}'
    return text


def _budget(answer: dict[str, Any]) -> str:
    budget = answer['budget']
    if budget is None:
        return 'unlimited' if answer['organisation'] else '-'
    fits = 'fit' if budget['fits'] else 'do not fit'
    return (
        f'{budget["tokens"]} tokens {fits}; owned here {budget["owned"]},'
        f' used {budget["used"]}, free {budget["free"]}; owned by all'
        f' {budget["owned_by_all"]} of {budget["budget"]}'
    )


def _reason(item: dict[str, Any]) -> str:
    if item['wait_s'] is None:
        return item['reason']
    return f'{item["reason"]} {_seconds(item["wait_s"])}'


def _seconds(value_s: float | None) -> str:
    return '-' if value_s is None else f'{value_s:.4g} s'
