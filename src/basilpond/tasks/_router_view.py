"""Parts of a router that the operator API and the metrics read."""

from __future__ import annotations

from typing import Protocol

from ..core import EndpointTable
from ..settings import RouterSettings
from .budgets import BudgetTask
from .budgets import LedgerTask
from .callers import Gateway
from .configuration import ConfigTask
from .endpoints import Dispatcher
from .endpoints import EndpointTask
from .membership import GossipTask
from .membership import PeerServer
from .requests import RequestLog


class RouterView(Protocol):
    """Tasks and state of a router; implemented by `Router`."""

    settings: RouterSettings
    incarnation: str
    ready: bool
    draining: bool
    gossip: GossipTask
    ledger_task: LedgerTask
    config_task: ConfigTask
    budget: BudgetTask
    table: EndpointTable
    request_log: RequestLog
    gateway: Gateway
    dispatcher: Dispatcher
    endpoints: EndpointTask
    peer_server: PeerServer
