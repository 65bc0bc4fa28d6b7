"""Idempotency keys and body digests."""

from __future__ import annotations

import dataclasses
import hashlib
import re
import uuid

from ._codes import Outcome
from ._codes import RefusalError
from ._codes import ResultCode

# Tolerance for clocks of callers that are ahead of the router's clock.
MAX_FUTURE_MS = 5 * 60 * 1000
DIGEST_BYTES = 16
# Not a setting, because the ledgers of all routers must use the same window.
DEDUPLICATION_WINDOW_S = 86_400

_PRINTABLE_ASCII = re.compile(r'[\x20-\x7e]{1,128}')
_UUID = re.compile(r'[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}')


@dataclasses.dataclass(slots=True, frozen=True)
class IdempotencyKey:
    """Key of a request.

    `issued_ms` is the issue time in milliseconds since 1970, set for
    non-idempotent requests only.
    """

    value: str
    issued_ms: int | None = None


def _refusal(
    code: ResultCode, message: str, outcome: Outcome = Outcome.NOT_RUN
) -> RefusalError:
    return RefusalError(code, message, outcome=outcome, http_status=400)


def parse_key(text: str) -> IdempotencyKey:
    """Parse the key of an idempotent request.

    Raises
    ------
    RefusalError
        `INVALID_IDEMPOTENCY_KEY` unless `text` has 1 to 128 printable ASCII
        characters.
    """
    if not _PRINTABLE_ASCII.fullmatch(text):
        raise _refusal(
            ResultCode.INVALID_IDEMPOTENCY_KEY,
            'Idempotency-Key must have 1 to 128 printable ASCII characters',
        )
    return IdempotencyKey(text)


def parse_issued_key(
    text: str | None, *, wall_time_ms: int, deduplication_window_s: int
) -> IdempotencyKey:
    """Parse the key of a non-idempotent request.

    The key is a UUID version 7 (RFC 9562), whose first 48 bits are its issue
    time. Upper-case digits are converted to lower case, because both forms are
    the same UUID and must not give two claims.

    Parameters
    ----------
    text : str or None
        Value of the header; None if it is missing.
    wall_time_ms : int
        Current time in milliseconds since 1970.
    deduplication_window_s : int
        Maximum age of a key.

    Raises
    ------
    RefusalError
        `INVALID_IDEMPOTENCY_KEY` if the key is missing, malformed or issued
        more than `MAX_FUTURE_MS` in the future; `KEY_EXPIRED` if it is older
        than the deduplication window.
    """
    if text is None:
        raise _refusal(
            ResultCode.INVALID_IDEMPOTENCY_KEY,
            'this call needs an Idempotency-Key that is a UUID version 7',
        )
    value = text.lower()
    if not text.isascii() or not _UUID.fullmatch(value):
        raise _refusal(
            ResultCode.INVALID_IDEMPOTENCY_KEY,
            'Idempotency-Key must be a UUID version 7',
        )
    key = uuid.UUID(value)
    if key.variant != uuid.RFC_4122 or key.version != 7:
        raise _refusal(
            ResultCode.INVALID_IDEMPOTENCY_KEY,
            'Idempotency-Key must be a UUID version 7',
        )
    issued_ms = key.int >> 80
    if issued_ms > wall_time_ms + MAX_FUTURE_MS:
        raise _refusal(
            ResultCode.INVALID_IDEMPOTENCY_KEY,
            'issue time of the Idempotency-Key is '
            f'{issued_ms - wall_time_ms} ms in the future; '
            f'allowed 0 to {MAX_FUTURE_MS}',
        )
    if issued_ms < wall_time_ms - deduplication_window_s * 1000:
        raise _refusal(
            ResultCode.KEY_EXPIRED,
            f'Idempotency-Key is {wall_time_ms - issued_ms} ms old; '
            f'allowed 0 to {deduplication_window_s * 1000}',
            # An earlier request with the key may have run; the record of it
            # has expired.
            Outcome.UNKNOWN,
        )
    return IdempotencyKey(value, issued_ms)


def body_digest(method: str, path: str, body: bytes) -> str:
    """Return a hexadecimal digest of a request.

    The method and the path are part of the digest. The hash is cryptographic
    because crashes of endpoints are counted by digest: a caller must not be
    able to create a request with the digest of another caller's request.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method.upper().encode(), path.encode()):
        # With the length as prefix, ('a', 'bc') and ('ab', 'c') differ.
        digest.update(len(part).to_bytes(4, 'big'))
        digest.update(part)
    digest.update(body)
    return digest.hexdigest()
