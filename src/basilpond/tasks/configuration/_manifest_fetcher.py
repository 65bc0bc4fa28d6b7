"""Fetches manifests from peers, for data centres cut off from the log."""

from __future__ import annotations

import asyncio

from absl import logging

from ... import protocol
from ...core import BasilpondError
from ..budgets import Peers
from ..membership import GossipTask
from ._config_task import ConfigTask

CHECK_INTERVAL_S = 0.5
FETCH_TIMEOUT_S = 2.0


class ManifestFetcher:
    """Fetches the manifest from a peer that has announced a newer version.

    Parameters
    ----------
    config_task : ConfigTask
    gossip : GossipTask
    peers : Peers
    """

    def __init__(
        self, config_task: ConfigTask, gossip: GossipTask, peers: Peers
    ) -> None:
        self.config_task = config_task
        self.gossip = gossip
        self.peers = peers

    async def run(self) -> None:
        """Compare versions every `CHECK_INTERVAL_S` until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self._fetch_newer()

    async def _fetch_newer(self) -> None:
        version = self.config_task.version
        newer = [
            member
            for member in self.gossip.live()
            if member.manifest_version > version
        ]
        if not newer:
            return
        member = max(newer, key=lambda member: member.manifest_version)
        request = protocol.FetchManifest(newer_than_version=version)
        try:
            frame = await self.peers.call(
                member,
                protocol.Frame(fetch_manifest=request),
                timeout_s=FETCH_TIMEOUT_S,
            )
        except BasilpondError as error:
            logging.info('could not fetch a manifest from a peer: %s', error)
            return
        reply = frame.fetch_manifest_reply
        if reply is not None and reply.document is not None:
            self.config_task.apply_peer_manifest(reply.version, reply.document)
