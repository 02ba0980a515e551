"""Sends the changes of shared state to one follower."""

import msgpack

from kumquatrun.control.control_state import ControlState
from kumquatrun.control.feed_log import FeedLog
from kumquatrun.peer import CallContext
from kumquatrun.peer.node_messages import FeedItem, FeedPart, FollowFeed
from kumquatrun.peer.parts import PART_BYTES, split_parts


class FeedSender:
    """Sends the feed to one follower and tracks the follower's position.

    The configuration is sent as a delta from the version that the follower
    has; versions in between are skipped.
    """

    def __init__(
        self,
        feed: FeedLog,
        state: ControlState,
        request: FollowFeed,
        context: CallContext,
    ) -> None:
        self._feed = feed
        self._state = state
        self._context = context
        self._index = request.after_index
        self._configuration_version = request.configuration_version

    async def send_newer(self) -> bool:
        """Send the items that the follower lacks; False if there are none.

        Ends early if a row of the feed was replaced meanwhile.
        """
        replaced_row_count = self._feed.replaced_row_count
        newer = self._feed.after(self._index)
        if newer is None:
            known = self._configuration_version
            newer = [self._state.snapshot_feed(known)]
            self._configuration_version = self._state.configuration_version
        for feed_item in newer:
            await self._send(self._with_current_configuration(feed_item))
            self._index = feed_item.index
            if self._feed.replaced_row_count != replaced_row_count:
                break
        return bool(newer)

    def _with_current_configuration(self, feed_item: FeedItem) -> FeedItem:
        """Return the item with a delta from the follower's configuration."""
        if feed_item.kind == 'configuration':
            body = self._configuration_row()
        elif feed_item.kind == 'batch':
            body = [
                [kind, self._configuration_row()]
                if kind == 'configuration'
                else [kind, row]
                for kind, row in msgpack.unpackb(feed_item.body)
            ]
        else:
            return feed_item
        return FeedItem(
            index=feed_item.index,
            kind=feed_item.kind,
            body=msgpack.packb(body),
        )

    def _configuration_row(self) -> list:
        row = self._state.configuration_row(self._configuration_version)
        self._configuration_version = self._state.configuration_version
        return row

    async def _send(self, feed_item: FeedItem) -> None:
        if len(feed_item.body) <= PART_BYTES:
            await self._context.send_message(feed_item)
            return
        parts = split_parts(feed_item.body)
        for number, part in enumerate(parts):
            await self._context.send_message(
                FeedPart(
                    index=feed_item.index,
                    kind=feed_item.kind,
                    number=number,
                    count=len(parts),
                    content=part,
                ),
            )
