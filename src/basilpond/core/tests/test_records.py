from basilpond.core import _records


def test_batch_is_unchanged_by_encoding_and_decoding():
    """Guards against a record type that the decoder does not know."""
    bill = _records.Bill(
        allotment='a1',
        seq=1,
        organisation='org',
        request_id='r1',
        tokens=3,
        outcome='complete',
        body_digest='d',
        endpoint='e1',
    )
    batch = _records.Batch(
        writer='r~1',
        seq=1,
        records=[
            _records.BudgetSet('org', 10, 1),
            _records.Grant('a1', 'org', 5, 1, 'r~1', 'r2~1'),
            bill,
            _records.Transfer('a1', 2, 'org', 1, 'a2', 'r2~1'),
            _records.Return('a1', 3, 'org', 1),
            _records.Close('a1', 'org', 'r~1', [bill]),
            _records.Claim('org', 'r2', 'd', 'r~1'),
            _records.ClaimAbandon('org', 'r2', 'r~1'),
        ],
    )
    assert _records.decode_batch(_records.encode_record(batch)) == batch
