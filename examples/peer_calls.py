"""Calls between two processes with typed errors and outcomes.

Run it with ``python examples/peer_calls.py``. A server answers lookups and
refuses unknown items; the client prints each answer and, for each error, what
is known about the execution of its call.
"""

import asyncio
import secrets
from typing import Any

from kumquatrun import KumquatrunError, Outcome
from kumquatrun.errors import NotFoundError
from kumquatrun.peer import Address, CallContext, PeerClient, PeerServer
from kumquatrun.peer.messages import Hello
from kumquatrun.peer.operator_messages import OperatorCall, OperatorReply

STOCK = {'maize': 120, 'wheat': 0}


class StockServer:
    """Answers lookups of the stock."""

    async def handle(self, request: OperatorCall, context: CallContext) -> Any:
        """Return the stock of an item."""
        context.outcome = Outcome.NOT_RUN
        item = request.arguments['item']
        if item == 'rice':
            # The call has started and does not end, so its outcome is unknown
            # when it times out.
            context.outcome = Outcome.UNKNOWN
            await asyncio.sleep(60)
        if item not in STOCK:
            raise NotFoundError(f'no item {item}')
        return OperatorReply(result={'tons': STOCK[item]})


async def look_up(client: PeerClient, item: str) -> str:
    """Return one line about the stock of an item."""
    call = OperatorCall(
        action='look_up',
        operator='example',
        operation_id=item,
        arguments={'item': item},
    )
    try:
        reply = await client.call(call, timeout_s=0.5)
    except KumquatrunError as error:
        return f'{item}: {error.code}, outcome {error.outcome}'
    return f'{item}: {reply.result["tons"]} tons'


async def main() -> None:
    """Start a server, call it, stop it and call it again."""
    token = secrets.token_urlsafe()
    identity = Hello(node_id='stock', incarnation='1', cluster_token=token)
    server = PeerServer(identity, StockServer())
    address = await server.start(Address('127.0.0.1', 0))
    client = PeerClient(address, identity)
    for item in ('maize', 'wheat', 'gold', 'rice'):
        print(await look_up(client, item))
    await client.close()
    await server.stop()
    print(await look_up(PeerClient(address, identity), 'maize'))


if __name__ == '__main__':
    asyncio.run(main())
