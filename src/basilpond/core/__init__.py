"""Decisions of the router, without I/O, sockets, files, timers or clocks."""

from ._membership import GossipKind
from ._membership import Member
from ._membership import Membership
from ._membership import MembershipSettings
from ._membership import MemberState
from ._membership import Outgoing
from ._membership import split_incarnation_id

__all__ = [
    'GossipKind',
    'Member',
    'MemberState',
    'Membership',
    'MembershipSettings',
    'Outgoing',
    'split_incarnation_id',
]
