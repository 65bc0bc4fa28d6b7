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
    return (
        f'{BUDGET_KIND}/{organisation}/{holder}',
        b'%d %d %d' % (account.owned, account.ceiling, account.revision),
    )


def lost_record(organisation: str, holder: str, tokens: int) -> Record:
    """Return the record of the tokens that a killed holder left unused."""
    return f'{LOST_KIND}/{organisation}/{holder}', b'%d' % tokens


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
    """Return the escrow account of a record.

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


def new_holder(router_id: str, suffix: str) -> str:
    """Return an id that is unique to one incarnation of a router."""
    return f'{router_id}~{suffix}'


def router_of(holder: str) -> str:
    """Return the id of the router that a holder is an incarnation of."""
    return holder.rpartition('~')[0]
