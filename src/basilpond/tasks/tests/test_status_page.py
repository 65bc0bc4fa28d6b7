"""Status page of a running router."""

import html.parser
import json

from basilpond.tasks.tests.small_system import BUDGET_TOKENS
from basilpond.tasks.tests.small_system import chat
from basilpond.tasks.tests.small_system import running_system


class Tables(html.parser.HTMLParser):
    """Parser that collects the rows of each table by its heading."""

    def __init__(self):
        super().__init__()
        self.tables = {}
        self._rows = None
        self._tag = ''

    def handle_starttag(self, tag, attrs):
        self._tag = tag
        if tag == 'tr':
            self._rows.append([])

    def handle_endtag(self, tag):
        self._tag = ''

    def handle_data(self, data):
        if self._tag == 'h2':
            self._rows = self.tables[data] = []
        elif self._tag in ('th', 'td'):
            self._rows[-1].append(data)


async def test_page_shows_each_figure_of_the_state():
    """Guards against a page that differs from the state."""
    async with running_system(2) as system:
        await system.call('POST', '/v1/chat/completions', json=chat())
        assert await system.operator('POST', '/endpoints/engine-2/drain') == (
            200,
            b'{"endpoint":"engine-2","order":"drain"}',
        )
        _, text = await system.operator('GET', '/state')
        state = json.loads(text)
        status, page = await system.operator('GET', '/')
    assert status == 200
    parser = Tables()
    parser.feed(page.decode())
    for name, title in (
        ('budgets', 'Budgets'),
        ('endpoints', 'Endpoints'),
        ('members', 'Members'),
    ):
        head, *rows = parser.tables[title]
        assert state[name]
        assert [dict(zip(head, row, strict=True)) for row in rows] == [
            {field: str(value) for field, value in item.items()}
            for item in state[name]
        ]
    # The state agrees with the requests and commands above.
    acme = state['budgets'][0]
    assert acme['organisation'] == 'acme'
    assert acme['spent_tokens'] == system.spent_tokens() > 0
    assert acme['budget_tokens'] == BUDGET_TOKENS
    assert (
        acme['spent_tokens'] + acme['outstanding_tokens'] + acme['free_tokens']
        == BUDGET_TOKENS
    )
    leaving = {x['endpoint']: x['leaving'] for x in state['endpoints']}
    assert leaving == {'engine-1': False, 'engine-2': True, 'desk-1': False}
    (member,) = state['members']
    assert member['incarnation_id'] == system.routers[1].incarnation
