import pytest

from basilpond_testkit import reference


@pytest.mark.parametrize('page', reference.PAGES)
def test_page_lists_the_fields_of_the_code(page):
    """Guards against a reference page that the code has moved away from."""
    text = (reference.DOCS / page).read_text()
    table = reference.reference_table(reference.PAGES[page])
    assert reference.rewrite_page(text, table) == text
