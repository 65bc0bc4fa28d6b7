from pathlib import Path
import re

from basilpond.core import _codes

TABLE = Path(__file__).parents[4] / 'docs' / 'result-codes.md'


def test_table_lists_every_code():
    """Guards against a result code that the documentation does not list."""
    rows = re.findall(r'^\| (\d{4}) \| (\w+) \|', TABLE.read_text(), re.M)
    expected = [
        (str(int(code)), code.name.lower()) for code in _codes.ResultCode
    ]
    assert rows == expected
