"""Thrift structs of ``peer.thrift``, loaded without generated code."""

from __future__ import annotations

import pathlib

import thriftpy2

SCHEMA_PATH = pathlib.Path(__file__).with_name('peer.thrift')

_peer = thriftpy2.load(
    str(SCHEMA_PATH), module_name='basilpond.protocol.peer_thrift'
)

AskAllotment = _peer.AskAllotment
AskAllotmentReply = _peer.AskAllotmentReply
CrashNotice = _peer.CrashNotice
EndpointNotice = _peer.EndpointNotice
FetchAnswer = _peer.FetchAnswer
FetchAnswerReply = _peer.FetchAnswerReply
FetchManifest = _peer.FetchManifest
FetchManifestReply = _peer.FetchManifestReply
Frame = _peer.Frame
Gossip = _peer.Gossip
Heartbeat = _peer.Heartbeat
JournalAppend = _peer.JournalAppend
JournalReply = _peer.JournalReply
MemberUpdate = _peer.MemberUpdate
