"""Records of the topic that the routers share."""

from __future__ import annotations

from ..routing import ClockReading
from ..routing import EscrowAccount

FLEET_TOPIC = 'keyed.fleet'
ROUTER_KIND = 'router'
BUDGET_KIND = 'budget'
HEARTBEAT_KIND = 'alive'

Record = tuple[str, bytes]


def router_record(router_id: str, address: str) -> Record:
    """Return the record that announces a router."""
    return f'{ROUTER_KIND}/{router_id}', address.encode()


def heartbeat_record(holder: str, reading: ClockReading) -> Record:
    """Return the record of a holder's last heartbeat."""
    times = [reading.boot_ms, reading.wall_ms]
    if reading.fleet_ms is not None:
        times.append(reading.fleet_ms)
    return f'{HEARTBEAT_KIND}/{holder}', b' '.join(b'%d' % t for t in times)


def budget_record(
    organisation: str, holder: str, account: EscrowAccount
) -> Record:
    """Return the record of an escrow account."""
    return (
        f'{BUDGET_KIND}/{organisation}/{holder}',
        b'%d %d' % (account.owned, account.ceiling),
    )


def parse_account(value: bytes | None) -> tuple[int, int]:
    """Return what an escrow account owns, and its ceiling.

    Raises
    ------
    ValueError
    """
    first, second = (value or b'0 0').split()
    return int(first), int(second)


def parse_heartbeat(value: bytes | None) -> ClockReading:
    """Return the clock reading of a holder's last heartbeat.

    Raises
    ------
    ValueError
    """
    times = [int(item) for item in (value or b'').split()]
    if len(times) not in (2, 3):
        raise ValueError(f'{value!r} is not a heartbeat')
    return ClockReading(*times)


def new_holder(router_id: str, suffix: str) -> str:
    """Return an id that is unique to one incarnation of a router."""
    return f'{router_id}~{suffix}'


def router_of(holder: str) -> str:
    """Return the id of the router that a holder is an incarnation of."""
    return holder.rpartition('~')[0]
