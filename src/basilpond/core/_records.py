"""Typed records of the ``ledger`` and ``config`` streams, and their codec.

Records are msgspec structs, encoded as JSON with a ``type`` tag. Amounts are
whole budget tokens. `allotment` and `new_allotment` are allotment ids.
`holder`, `closer` and `journal_peer` are incarnation ids of routers,
``<router_id>~<start time ms>``. The journal peer of an allotment stores copies
of its entries until they are in the log. `seq` numbers the entries (bills,
transfers, returns) of an allotment from 1.
"""

from __future__ import annotations

import msgspec

from ._validation import JsonDecoder


class BudgetSet(msgspec.Struct, tag='budget_set', frozen=True):
    """Total prepaid budget of an organisation, copied from a manifest.

    `Allotments.apply_budget` ignores it if `manifest_version` is outdated.
    """

    organisation: str
    budget_tokens: int
    manifest_version: int


class Grant(msgspec.Struct, tag='grant', frozen=True, omit_defaults=True):
    """Request for an allotment of `want_tokens`, at least `min_tokens`.

    It is granted in full, in part or not at all.
    """

    allotment: str
    organisation: str
    want_tokens: int
    min_tokens: int
    holder: str
    journal_peer: str | None = None


class Bill(msgspec.Struct, tag='bill', frozen=True, omit_defaults=True):
    """Cost of one request that ran.

    `keyed` marks a request with an ``Idempotency-Key``, which is its
    `request_id`; only one bill of it counts. `answer` is the response body of
    a non-idempotent request, set if it is text of at most 2,048 bytes;
    `answer_status` is its HTTP status.
    """

    allotment: str
    seq: int
    organisation: str
    request_id: str
    tokens: int
    outcome: str
    body_digest: str
    endpoint: str
    keyed: bool = False
    answer_status: int = 0
    answer: str | None = None


class Transfer(
    msgspec.Struct, tag='transfer', frozen=True, omit_defaults=True
):
    """Unspent tokens that move into a new allotment of another holder."""

    allotment: str
    seq: int
    organisation: str
    tokens: int
    new_allotment: str
    holder: str
    journal_peer: str | None = None


class Return(msgspec.Struct, tag='return', frozen=True):
    """Unspent tokens that go back to the budget."""

    allotment: str
    seq: int
    organisation: str
    tokens: int


AllotmentEntry = Bill | Transfer | Return


class Close(msgspec.Struct, tag='close', frozen=True, omit_defaults=True):
    """End of an allotment; its unspent tokens return to the budget.

    `entries` are applied first. Only the holder and the journal peer may close
    an allotment, unless it has no journal peer or an operator sets `forced`.
    """

    allotment: str
    organisation: str
    closer: str
    entries: list[AllotmentEntry] = []
    forced: bool = False


class Claim(msgspec.Struct, tag='claim', frozen=True):
    """Request of a router for the right to run a non-idempotent request."""

    organisation: str
    request_id: str
    body_digest: str
    holder: str


class ClaimAbandon(msgspec.Struct, tag='claim_abandon', frozen=True):
    """Withdrawal of a claim by its holder, which never sent the request."""

    organisation: str
    request_id: str
    holder: str


class LedgerSnapshot(msgspec.Struct, tag='ledger_snapshot', frozen=True):
    """State of the ledger after the entry at `offset`."""

    offset: int
    state: msgspec.Raw


LedgerRecord = (
    BudgetSet
    | Grant
    | Bill
    | Transfer
    | Return
    | Close
    | Claim
    | ClaimAbandon
    | LedgerSnapshot
)


class Batch(msgspec.Struct, frozen=True):
    """Payload of one ledger append; applied once per `(writer, seq)`.

    Parameters
    ----------
    writer : str
        Incarnation id of the router.
    seq : int
        Number of the batch, counted by the writer from 1.
    records : list of LedgerRecord
    """

    writer: str
    seq: int
    records: list[LedgerRecord]


class ManifestPublish(msgspec.Struct, tag='manifest_publish', frozen=True):
    """Manifest published by an operator.

    It takes effect only if `replaces_version` is the version in force. With
    `publish_id` its writer recognises it when it reads the stream.
    """

    publish_id: str
    replaces_version: int
    document: msgspec.Raw


class ManifestSnapshot(msgspec.Struct, tag='manifest_snapshot', frozen=True):
    """Manifest in force, written again before log retention drops it."""

    version: int
    document: msgspec.Raw


ConfigRecord = ManifestPublish | ManifestSnapshot

_batch_decoder = JsonDecoder(Batch)
_config_decoder = JsonDecoder(ConfigRecord)


def encode_record(record: msgspec.Struct) -> bytes:
    """Encode a batch or a record as UTF-8 JSON."""
    return msgspec.json.encode(record)


def decode_batch(payload: bytes | str) -> Batch:
    """Decode a ledger payload.

    Raises
    ------
    msgspec.MsgspecError
        If the payload is not a batch.
    """
    return _batch_decoder.decode(payload)


def decode_config(payload: bytes | str) -> ConfigRecord:
    """Decode a config payload.

    Raises
    ------
    msgspec.MsgspecError
        If the payload is not a config record.
    """
    return _config_decoder.decode(payload)
