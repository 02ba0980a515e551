"""Register of claims: at most one execution per claim key.

A claim is granted once. Only the request that holds it can release it, with
proof that it was not run. A request that released its claim cannot claim again:
the second claim would be a resend that no caller waits for, and a resend of the
release would then end a claim that is in use. The status of a claim whose host
incarnation has expired is ``unknown``; a late ``FinishClaim`` of its holder
still records the outcome.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any, NamedTuple

import msgpack

from kumquatrun.errors import (
    InvalidRequestError,
    NoCapacityError,
    Outcome,
)
from kumquatrun.peer.request_messages import (
    ClaimReply,
    ClaimRequest,
    FinishClaim,
    StoredAnswer,
)
from kumquatrun.runtime.invariants import check_invariant

RETENTION_MS = 24 * 60 * 60 * 1000
MAX_ANSWER_BYTES = 4 * 1024
# A claim key holds account and route names and the caller's own key, whose
# length is not limited.
MAX_KEY_LENGTH = 1024
# About 160 MB at 317 bytes each. Dropping a claim before its retention ends
# would allow a second execution, so further claims are refused instead.
MAX_CLAIMS = 500_000
# Longer than a resent command can be in transit.
RELEASE_RETENTION_MS = 10 * 60 * 1000
MAX_RELEASED = 100_000
# Above this total the oldest answers are dropped; a repeated request then gets
# ``already_ran`` instead of the answer.
MAX_ANSWERS_BYTES = 64 * 1024 * 1024


class _Claim(NamedTuple):
    body_digest: bytes
    host_id: str
    incarnation: str
    request_id: str
    claimed_ms: int
    state: str = 'running'
    answer: tuple[int, str, bytes] | None = None

    def stored_answer(self) -> StoredAnswer | None:
        """Return the answer as a message."""
        if self.answer is None:
            return None
        status, content_type, body = self.answer
        return StoredAnswer(
            status=status,
            content_type=content_type,
            body=body,
        )


class ClaimRegister:
    """Claims by claim key, in the order of their creation."""

    def __init__(
        self,
        is_live: Callable[[str, str], bool],
        max_claims: int = MAX_CLAIMS,
        max_answers_bytes: int = MAX_ANSWERS_BYTES,
    ) -> None:
        self._is_live = is_live
        self._max_claims = max_claims
        self._max_answers_bytes = max_answers_bytes
        # Packed, so that a snapshot copies them without encoding each: encoding
        # 100,000 claims would block the replica for 0.5 s.
        self._claims: OrderedDict[str, bytes] = OrderedDict()
        # Sizes of the stored answers in bytes by claim key, oldest first.
        self._answers: OrderedDict[str, int] = OrderedDict()
        self._answers_bytes = 0
        # Release times by claim key and request id.
        self._released: OrderedDict[tuple[str, str], int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._claims)

    def claim(self, command: ClaimRequest, now_ms: int) -> ClaimReply:
        """Grant a claim or return the status of the request that holds it.

        A claim that the holder sends again while its request runs is granted
        again, because the first reply may have been lost.

        Raises
        ------
        NoCapacityError
            If the register is full.
        InvalidRequestError
            If the request already released this claim, or the key is too
            long.
        """
        if (command.claim_key, command.request_id) in self._released:
            raise InvalidRequestError(
                f'request {command.request_id!r} released this claim; claim '
                'again under a new request id',
            )
        claim = self._find(command.claim_key)
        if claim is None:
            self._add(command, now_ms)
            return ClaimReply(status='granted')
        if claim.body_digest != command.body_digest:
            return ClaimReply(status='mismatch')
        if claim.state == 'finished':
            return ClaimReply(status='finished', answer=claim.stored_answer())
        is_holder_live = self._is_live(claim.host_id, claim.incarnation)
        if claim.state == 'unknown' or not is_holder_live:
            return ClaimReply(status='unknown')
        requester = (command.request_id, command.host_id, command.incarnation)
        if requester == (claim.request_id, claim.host_id, claim.incarnation):
            return ClaimReply(status='granted')
        return ClaimReply(status='in_progress')

    def finish(self, command: FinishClaim, now_ms: int) -> None:
        """Record the outcome; ignored unless sent by the holder."""
        claim = self._find(command.claim_key)
        if claim is None or claim.request_id != command.request_id:
            return
        if claim.state == 'finished':
            return
        if command.outcome is Outcome.NOT_RUN:
            del self._claims[command.claim_key]
            self._released[command.claim_key, command.request_id] = now_ms
        elif command.outcome is Outcome.RAN:
            finished = claim._replace(state='finished')
            self._store_finished(command.claim_key, finished, command.answer)
        else:
            self._store(command.claim_key, claim._replace(state='unknown'))

    def expire(self, now_ms: int) -> None:
        """Drop claims and releases older than their retention times."""
        while self._released:
            released_ms = next(iter(self._released.values()))
            is_within_limit = len(self._released) <= MAX_RELEASED
            if is_within_limit and released_ms + RELEASE_RETENTION_MS > now_ms:
                break
            self._released.popitem(last=False)
        while self._claims:
            key = next(iter(self._claims))
            if self._find(key).claimed_ms + RETENTION_MS > now_ms:
                return
            self._answers_bytes -= self._answers.pop(key, 0)
            del self._claims[key]

    def snapshot(self) -> Any:
        """Return the register as plain values for msgpack."""
        return [
            list(self._claims.items()),
            list(self._answers.items()),
            list(self._released.items()),
        ]

    def restore(self, content: Any) -> None:
        """Replace the register with a snapshot."""
        claims, answers, released = content
        self._claims = OrderedDict(map(tuple, claims))
        self._answers = OrderedDict(map(tuple, answers))
        self._answers_bytes = sum(self._answers.values())
        self._released = OrderedDict(
            (tuple(key), released_ms) for key, released_ms in released
        )

    def _find(self, key: str) -> _Claim | None:
        packed = self._claims.get(key)
        return _Claim(*msgpack.unpackb(packed)) if packed else None

    def _store(self, key: str, claim: _Claim) -> None:
        self._claims[key] = msgpack.packb(claim)

    def _add(self, command: ClaimRequest, now_ms: int) -> None:
        check_invariant(
            command.claim_key not in self._claims,
            'claim_granted_once',
        )
        if len(command.claim_key) > MAX_KEY_LENGTH:
            raise InvalidRequestError(
                f'a claim key has at most {MAX_KEY_LENGTH} characters',
            )
        if len(self._claims) >= self._max_claims:
            raise NoCapacityError(
                f'{self._max_claims} claims are retained, which is the limit',
            )
        claim = _Claim(
            body_digest=command.body_digest,
            host_id=command.host_id,
            incarnation=command.incarnation,
            request_id=command.request_id,
            claimed_ms=now_ms,
        )
        self._store(command.claim_key, claim)

    def _store_finished(
        self,
        key: str,
        claim: _Claim,
        answer: StoredAnswer | None,
    ) -> None:
        if answer is not None and _answer_bytes(answer) <= MAX_ANSWER_BYTES:
            row = (answer.status, answer.content_type, answer.body)
            claim = claim._replace(answer=row)
            self._answers[key] = _answer_bytes(answer)
            self._answers_bytes += self._answers[key]
        self._store(key, claim)
        while self._answers_bytes > self._max_answers_bytes:
            self._drop_answer(next(iter(self._answers)))

    def _drop_answer(self, key: str) -> None:
        claim = self._find(key)
        self._answers_bytes -= self._answers.pop(key, 0)
        if claim is not None:
            self._store(key, claim._replace(answer=None))


def _answer_bytes(answer: StoredAnswer) -> int:
    return len(answer.content_type) + len(answer.body)
