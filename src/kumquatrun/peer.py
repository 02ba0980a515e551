"""Peer connections: multiplexed calls and streams between own processes.

This module is the public face of ``peer_server``, ``peer_client`` and
``peer_link``.
"""

from kumquatrun.address import Address
from kumquatrun.peer_client import PeerClient, PeerStream
from kumquatrun.peer_errors import error_to_reply, reply_to_error
from kumquatrun.peer_link import sent_bytes
from kumquatrun.peer_server import CallContext, PeerHandler, PeerServer

__all__ = (
    'Address',
    'CallContext',
    'PeerClient',
    'PeerHandler',
    'PeerServer',
    'PeerStream',
    'error_to_reply',
    'reply_to_error',
    'sent_bytes',
)
