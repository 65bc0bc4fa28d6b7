import pathlib

import pytest

from basilpond_testkit import _capacity_page
from basilpond_testkit import capacity

PAGE = pathlib.Path(__file__).parents[3] / 'docs' / 'CAPACITY.md'


def test_page_has_every_row():
    """Guards against a page that was not generated after a new row."""
    _, _, rest = PAGE.read_text().partition(_capacity_page.BEGIN)
    generated, end, _ = rest.partition(_capacity_page.END)
    assert end
    first_cells = {
        line.split('|')[1].strip()
        for line in generated.splitlines()
        if line.startswith('|')
    }
    assert set(_capacity_page.row_names(capacity.EXPERIMENTS)) <= first_cells


def test_text_outside_the_markers_is_kept():
    """Guards against a run that drops what was written by hand."""
    begin, end = _capacity_page.BEGIN, _capacity_page.END
    page = f'before\n{begin}\nold\n{end}\nafter\n'
    changed = _capacity_page.replace_generated(page, 'new')
    assert changed == f'before\n{begin}\n\nnew\n{end}\nafter\n'
    with pytest.raises(ValueError, match='generated'):
        _capacity_page.replace_generated('no markers', 'new')
