"""Assembles feed items that are sent in parts."""

from kumquatrun.peer.node_messages import FeedItem, FeedPart
from kumquatrun.peer.parts import PartCollector

# Limit on the size of a feed item that is received in parts.
MAX_ITEM_BYTES = 64 * 1024 * 1024


def assemble_item(
    received: FeedItem | FeedPart,
    parts: PartCollector,
) -> FeedItem | None:
    """Return a whole feed item, or None if parts of it are missing."""
    if isinstance(received, FeedItem):
        return received
    key = (received.index, received.kind)
    body = parts.add(key, received.number, received.count, received.content)
    if body is None:
        return None
    return FeedItem(index=received.index, kind=received.kind, body=body)
