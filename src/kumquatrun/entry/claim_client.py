"""Claims the single execution of a request that has an Idempotency-Key."""

import asyncio
import hashlib
import random

from kumquatrun.entry.execution import RelayRequest
from kumquatrun.errors import (
    AlreadyRanError,
    ControlUnreachableError,
    IdempotencyMismatchError,
    KumquatrunError,
    Outcome,
    OutcomeUnknownError,
)
from kumquatrun.membership.control_api import NodeSession
from kumquatrun.peer.request_messages import (
    ClaimReply,
    ClaimRequest,
    FinishClaim,
    StoredAnswer,
)
from kumquatrun.runtime.clock import Clock
from kumquatrun.runtime.retry import Backoff

CLAIM_TIMEOUT_S = 2.0
MAX_STORED_BYTES = 4096
# Ending a claim is retried for longer than a leader election and a short
# network partition last. After that the claim stays, and later requests with
# the same key are refused.
FINISH_ATTEMPTS = 8


def claim_key(request: RelayRequest) -> str:
    """Return the digest of account, route and Idempotency-Key."""
    parts = (request.account, request.route.path, request.idempotency_key)
    return _digest([part.encode() for part in parts]).hex()


def body_digest(request: RelayRequest) -> bytes:
    """Return the digest of the method, path and body."""
    parts = (request.method.encode(), request.path.encode(), request.body)
    return _digest(parts)


class ClaimClient:
    """Claims executions at the control leader."""

    def __init__(
        self,
        session: NodeSession,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._session = session
        self._clock = clock
        self._rng = rng
        self._backoff = Backoff(base_s=0.2, max_s=2)

    async def claim(self, request: RelayRequest) -> StoredAnswer | None:
        """Claim the execution; returns the stored response if it has finished.

        Raises
        ------
        KumquatrunError
            If the request must not be run.
        """
        own_record = self._session.record
        message = ClaimRequest(
            claim_key=claim_key(request),
            body_digest=body_digest(request),
            host_id=own_record.host_id,
            incarnation=own_record.incarnation,
            request_id=request.request_id,
        )
        try:
            reply = await self._session.control.call(message, CLAIM_TIMEOUT_S)
        except KumquatrunError as error:
            # An earlier request with the same key may have run.
            raise ControlUnreachableError(
                f'the claim was not confirmed: {error.detail}',
                outcome=Outcome.UNKNOWN,
            ) from error
        return _interpret_reply(reply)

    async def finish(
        self,
        request: RelayRequest,
        outcome: Outcome,
        answer: StoredAnswer | None,
    ) -> bool:
        """End the claim; returns whether the leader confirmed it."""
        message = FinishClaim(
            claim_key=claim_key(request),
            request_id=request.request_id,
            outcome=outcome,
            answer=answer,
        )
        for attempt in range(FINISH_ATTEMPTS):
            try:
                await self._session.control.call(message, CLAIM_TIMEOUT_S)
            except KumquatrunError:
                delay_s = self._backoff.delay_s(attempt, self._rng)
                await asyncio.sleep(delay_s)
            else:
                return True
        return False


def _interpret_reply(reply: ClaimReply) -> StoredAnswer | None:
    if reply.status == 'granted':
        return None
    if reply.status == 'finished':
        if reply.answer is None:
            raise AlreadyRanError(
                'the request has run, but its response is not stored'
            )
        return reply.answer
    if reply.status == 'mismatch':
        raise IdempotencyMismatchError(
            'the Idempotency-Key was used for a different request',
        )
    raise OutcomeUnknownError(
        'an earlier request with this Idempotency-Key has no known outcome',
        cause=reply.status,
    )


def _digest(parts) -> bytes:
    digest = hashlib.blake2b(digest_size=32)
    for part in parts:
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.digest()
