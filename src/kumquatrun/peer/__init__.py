"""Connections between the project's processes: calls, streams and messages.

May import ``runtime``. The names below are its public API.
"""

from kumquatrun.peer.address import Address
from kumquatrun.peer.client import PeerClient, PeerStream
from kumquatrun.peer.errors import error_to_reply, reply_to_error
from kumquatrun.peer.link import sent_bytes
from kumquatrun.peer.server import CallContext, PeerHandler, PeerServer

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
