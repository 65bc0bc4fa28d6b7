import jsonschema
import msgspec
import pytest

from basilpond.core import _manifest
from basilpond.core import _manifest_index
from basilpond.core import _validation


def document() -> dict:
    return {
        'organisations': [
            {
                'id': 'creche',
                'key_sha256': [_manifest_index.key_sha256('sk-1')],
                'top_ups': [{'id': 't1', 'tokens': 100}],
                'endpoints': ['engine-1', 'desk-1'],
            }
        ],
        'models': [{'id': 'chat'}],
        'services': [
            {
                'id': 'spots',
                'routes': [
                    {
                        'method': 'POST',
                        'path': '/claims/*',
                        'idempotent': False,
                    }
                ],
            }
        ],
        'endpoints': [
            {
                'id': 'engine-1',
                'data_centre': 'dc1',
                'url': 'http://127.0.0.1:9000',
                'models': ['chat'],
            },
            {
                'id': 'desk-1',
                'data_centre': 'dc1',
                'url': 'http://127.0.0.1:9001',
                'service': 'spots',
            },
        ],
    }


def _set(path, value):
    def change(raw):
        *steps, last = path
        for step in steps:
            raw = raw[step]
        raw[last] = value

    return change


@pytest.mark.parametrize(
    ('change', 'path'),
    [
        (
            _set(['organisations', 0, 'priority'], 10),
            'organisations[0].priority',
        ),
        (_set(['models', 0, 'id'], 'a b'), 'models[0].id'),
        (_set(['endpoints', 0, 'url'], 'x'), 'endpoints[0].url'),
        (_set(['endpoints', 0, 'models'], ['no']), 'endpoints[0].models[0]'),
        (_set(['endpoints', 1, 'service'], 'no'), 'endpoints[1].service'),
        (_set(['endpoints', 1, 'id'], 'engine-1'), 'endpoints[1].id'),
        (
            _set(['organisations', 0, 'endpoints'], ['gone']),
            'organisations[0].endpoints[0]',
        ),
        (_set(['organisations', 0, 'extra'], 1), 'organisations[0].extra'),
        (
            _set(['organisations', 0, 'top_ups'], None),
            'organisations[0].top_ups',
        ),
    ],
)
def test_invalid_field_is_reported_by_path(change, path):
    """Guards against an invalid manifest that is accepted, and against an
    error that doesn't name the field.
    """
    raw = document()
    change(raw)
    with pytest.raises(_validation.InvalidFieldError) as caught:
        _manifest.check_manifest(raw)
    assert caught.value.path == path


def test_missing_field_is_reported_by_path():
    """Guards against an error that names only the surrounding object."""
    raw = document()
    del raw['organisations'][0]['top_ups']
    with pytest.raises(_validation.InvalidFieldError, match='missing'):
        _manifest.check_manifest(raw)


def test_schema_accepts_what_check_accepts():
    """Guards against a published schema that differs from the check."""
    schema = _manifest.manifest_schema()
    jsonschema.validate(document(), schema)
    bad = document()
    bad['organisations'][0]['priority'] = 10
    with pytest.raises(jsonschema.ValidationError):
        jsonschema.validate(bad, schema)


def test_diff_matches_items_by_id():
    """Guards against a diff that reports a reordering as changes."""
    old = _manifest.check_manifest(document())
    raw = document()
    raw['endpoints'].reverse()
    raw['organisations'][0]['top_ups'].append({'id': 't2', 'tokens': 5})
    new = _manifest.check_manifest(raw)
    changes = list(_manifest.diff_manifests(old, new))
    assert [change.path for change in changes] == [
        'organisations.creche.top_ups.t2'
    ]
    assert _manifest.budget_tokens(new.organisations[0]) == 105


def test_index_resolves_keys_routes_and_models():
    """Guards against a key that gives access to another organisation, and
    against a route that matches other requests.
    """
    index = _manifest_index.ManifestIndex(
        _manifest.decode_manifest(msgspec.json.encode(document())), 1
    )
    organisation = index.organisation_of_key('sk-1')
    assert organisation.id == 'creche'
    assert index.organisation_of_key('sk-2') is None
    assert index.reachable_models(organisation) == {'chat'}
    service = index.service('spots')
    assert not index.route(service, 'POST', '/claims/3').idempotent
    assert index.route(service, 'GET', '/claims/3') is None
    assert index.route(service, 'POST', '/claims') is None
