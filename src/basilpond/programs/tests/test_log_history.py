import io

from basilpond.programs._log_history import format_line
from basilpond.programs._log_history import read_lines
from basilpond.programs._log_history import request_history

LOG = """\
   1.0 front-1 {"t":10.0,"node":"a","event":"store_lost","topic":"f"}
{"t":10.4,"node":"b","event":"store_lost","topic":"f"}
{"t":10.5,"node":"a","event":"sent","request":"r1","endpoint":"e1"}
{"t":10.6,"node":"a","event":"endpoint_ejected","endpoint":"e2"}
{"t":10.7,"node":"a","event":"endpoint_ejected","endpoint":"e1"}
{"t":10.8,"node":"a","event":"refused","request":"r2","status":402}
{"t":10.9,"node":"a","event":"refused","request":"r1","organisation":"o"}
{"t":10.2,"node":"a","event":"allotment_denied","organisation":"o"}
{"t":10.2,"node":"a","event":"allotment_denied","organisation":"x"}
no log line {
"""


def test_history_has_the_request_and_related_events(tmp_path):
    """Guards against a history without the events that explain it."""
    path = tmp_path / 'log'
    path.write_text(LOG)
    history = request_history(read_lines([str(path)]), 'r1')
    assert [(line['t'], line['event']) for line in history] == [
        (10.0, 'store_lost'),
        (10.2, 'allotment_denied'),
        (10.5, 'sent'),
        (10.7, 'endpoint_ejected'),
        (10.9, 'refused'),
    ]


def test_unknown_request_has_no_history(monkeypatch):
    """Guards against output of lines of other requests."""
    monkeypatch.setattr('sys.stdin', io.StringIO(LOG))
    assert request_history(read_lines(['-']), 'r3') == []


def test_formatted_line_marks_events_of_requests():
    """Guards against request lines that look like other events."""
    line = {'t': 0.25, 'node': 'a', 'event': 'sent', 'request': 'r', 'x': 1}
    assert format_line(line) == '00:00:00.250 * a sent x=1'
