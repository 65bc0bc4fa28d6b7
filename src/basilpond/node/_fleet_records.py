"""Records of the topic that the routers share."""

from __future__ import annotations

import dataclasses

import msgspec
import xxhash

from ..routing import ClockReading
from ..routing import EraStatement
from ..routing import EscrowAccount
from ..routing import ServiceVersion

FLEET_TOPIC = 'keyed.fleet'
ROUTER_KIND = 'router'
BUDGET_KIND = 'budget'
HEARTBEAT_KIND = 'alive'
LOST_KIND = 'lost'
ERA_KIND = 'era'
VERSION_KIND = 'version'
# Holder of the tokens that nobody can account for after a restore of the log.
_RESERVE = 'reserve'

# Tokens and milliseconds are far below; larger numbers come from another
# writer, and would not fit into datagrams.
_MAX_NUMBER = 2**53
_MAX_VALUE_BYTES = 200
# Longest key of a record in the log.
_MAX_KEY_BYTES = 255
# First character of a digest that stands for a name in a key. Names of
# organisations have no control characters, so no name begins with it.
_DIGEST_MARK = '\x7f'
# First character of the holder in the key of a copy of an account, before a
# digest of the router that wrote it. Router ids have no control characters.
_COPY_MARK = '\x7f'
_COPY_PREFIX_CHARACTERS = 17
# Names of services and versions come from other writers.
_MAX_VERSION_BYTES = 2048

Record = tuple[str, bytes]


def router_record(router_id: str, address: str) -> Record:
    """Return the record that announces a router."""
    return f'{ROUTER_KIND}/{router_id}', address.encode()


@dataclasses.dataclass(slots=True, frozen=True)
class Heartbeat:
    """Clock reading of a holder, and what it states about its accounts."""

    reading: ClockReading
    statement: EraStatement


def heartbeat_record(holder: str, heartbeat: Heartbeat) -> Record:
    """Return the record of a holder's last heartbeat."""
    reading, statement = heartbeat.reading, heartbeat.statement
    numbers = [
        reading.boot_ms,
        reading.wall_ms,
        statement.written_era,
        statement.known_era,
        int(statement.remembers),
    ]
    if reading.fleet_ms is not None:
        numbers.append(reading.fleet_ms)
    value = b' '.join(b'%d' % number for number in numbers)
    return f'{HEARTBEAT_KIND}/{holder}', value


def ended_heartbeat_record(holder: str) -> Record:
    """Return the record that removes the heartbeat of a stopped holder."""
    return f'{HEARTBEAT_KIND}/{holder}', b''


def era_record(era: int) -> Record:
    """Return the record of an era in which all accounts are in the log."""
    return f'{ERA_KIND}/complete', b'%d' % era


def budget_record(
    organisation: str, holder: str, account: EscrowAccount
) -> Record:
    """Return the record of an escrow account."""
    return _organisation_record(
        BUDGET_KIND,
        organisation,
        holder,
        b'%d %d %d' % (account.owned, account.ceiling, account.revision),
    )


def account_copy_record(
    organisation: str, holder: str, account: EscrowAccount, writer: str
) -> Record:
    """Return the record of an account that another router remembers.

    Its key is the writer's own: the log may have a newer record of the holder
    that the writer has not read. Routers of earlier versions count a copy as
    a further account, so that they grant fewer tokens and never more.
    """
    digest = xxhash.xxh3_64_hexdigest(writer.encode())
    return budget_record(
        organisation, f'{_COPY_MARK}{digest}{holder}', account
    )


def copied_holder(holder: str) -> str | None:
    """Return whose account a record copies, or None if it is no copy."""
    if not holder.startswith(_COPY_MARK):
        return None
    return holder[_COPY_PREFIX_CHARACTERS:]


def lost_record(organisation: str, holder: str, tokens: int) -> Record:
    """Return the record of the tokens that a killed holder left unused."""
    return _organisation_record(
        LOST_KIND, organisation, holder, b'%d' % tokens
    )


def _organisation_record(
    kind: str, organisation: str, holder: str, numbers: bytes
) -> Record:
    # A name that fits stays in the key, also for routers of earlier versions,
    # which read no others.
    key = f'{kind}/{organisation}/{holder}'
    if len(key.encode()) <= _MAX_KEY_BYTES:
        return key, numbers
    name = organisation.encode()
    digest = xxhash.xxh3_128_hexdigest(name)
    return f'{kind}/{_DIGEST_MARK}{digest}/{holder}', numbers + b'\n' + name


def split_organisation_record(
    key: str, value: bytes | None
) -> tuple[str, str, bytes | None]:
    """Return the organisation, the holder and the numbers of a record.

    Parameters
    ----------
    key : str
        Key without its kind.
    value : bytes or None

    Raises
    ------
    ValueError
        The value does not name the organisation whose digest is in the key.
    """
    organisation, _, holder = key.rpartition('/')
    if not organisation.startswith(_DIGEST_MARK):
        return organisation, holder, value
    numbers, _, name = (value or b'').partition(b'\n')
    digest = xxhash.xxh3_128_hexdigest(name)
    if organisation != f'{_DIGEST_MARK}{digest}':
        raise ValueError(f'{name[:_MAX_VALUE_BYTES]!r}: name of another key')
    return name.decode(), holder, numbers


def parse_lost(value: bytes | None) -> int:
    """Return the tokens of a record of `lost_record`.

    Raises
    ------
    ValueError
    """
    (tokens,) = _parse_numbers(value or b'0', (1,))
    if tokens < 0:
        raise ValueError(f'{tokens}: negative number of tokens')
    return tokens


def parse_account(value: bytes | None) -> EscrowAccount:
    """Return the escrow account of the numbers of a record.

    Raises
    ------
    ValueError
    """
    owned, ceiling, revision = _parse_numbers(value or b'0 0 0', (3,))
    return EscrowAccount(owned, ceiling, revision)


def parse_heartbeat(value: bytes | None) -> Heartbeat:
    """Return a holder's last heartbeat.

    Raises
    ------
    ValueError
    """
    numbers = _parse_numbers(value or b'', (5, 6))
    boot_ms, wall_ms, written_era, known_era, remembers, *fleet_ms = numbers
    return Heartbeat(
        ClockReading(boot_ms, wall_ms, *fleet_ms),
        EraStatement(written_era, known_era, remembers=bool(remembers)),
    )


def parse_era(value: bytes | None) -> int:
    """Return the era of a record of `era_record`.

    Raises
    ------
    ValueError
    """
    (era,) = _parse_numbers(value or b'-1', (1,))
    return era


def version_record(version: ServiceVersion) -> Record:
    """Return the record that registers a software version of a service."""
    value = msgspec.json.encode(version)
    # Keys of the log are short, and names may be long.
    return f'{VERSION_KIND}/{xxhash.xxh3_64_hexdigest(value)}', value


def parse_version(value: bytes) -> ServiceVersion:
    """Return the version that a record registers.

    Raises
    ------
    ValueError
    """
    if len(value) > _MAX_VERSION_BYTES:
        raise ValueError(f'{value[:_MAX_VALUE_BYTES]!r}: too long')
    try:
        return msgspec.json.decode(value, type=tuple[str | None, str])
    except RecursionError as error:
        raise ValueError(str(error)) from error


def _parse_numbers(value: bytes, counts: tuple[int, ...]) -> list[int]:
    items = value.split()
    if len(items) not in counts or len(value) > _MAX_VALUE_BYTES:
        raise ValueError(f'{value[:_MAX_VALUE_BYTES]!r}: {len(items)} numbers')
    numbers = [int(item) for item in items]
    if not all(abs(number) <= _MAX_NUMBER for number in numbers):
        raise ValueError(f'{value!r}: number out of range')
    return numbers


def reserve_holder(era: int) -> str:
    """Return the holder of the tokens that are reserved in an era."""
    return f'{_RESERVE}~{era}'


def is_reserve_holder(holder: str) -> bool:
    """Whether a holder stands for tokens that are reserved in an era."""
    return router_of(holder) == _RESERVE


def new_holder(router_id: str, suffix: str) -> str:
    """Return an id that is unique to one incarnation of a router."""
    return f'{router_id}~{suffix}'


def router_of(holder: str) -> str:
    """Return the id of the router that a holder is an incarnation of."""
    return holder.rpartition('~')[0]
