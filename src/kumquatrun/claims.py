"""Register of claims: at most one execution per claim key.

A claim is granted once. Only the request that holds it can release it, with
proof that it was not run. A request that released its claim cannot claim again:
its claim would come from a resend that nobody waits for, and a resend of its
release would then end a claim that is in use. A claim whose host incarnation has expired answers
``unknown``; a late ``FinishClaim`` of its holder still records the outcome.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from kumquatrun.errors import (
    InvalidRequestError,
    NoCapacityError,
    Outcome,
)
from kumquatrun.invariants import check_invariant
from kumquatrun.messages import (
    ClaimReply,
    ClaimRequest,
    FinishClaim,
    StoredAnswer,
)

RETENTION_MS = 24 * 60 * 60 * 1000
MAX_ANSWER_BYTES = 4 * 1024
# About 250 MB of records; a claim that is still retained cannot be dropped
# without allowing a second execution, so further claims are refused instead.
MAX_CLAIMS = 500_000
# Longer than any resend of a command can be under way.
RELEASED_MS = 10 * 60 * 1000
MAX_RELEASED = 100_000
# Answers beyond this total are dropped oldest first; a repeat is then told
# ``already_ran`` instead of being given the answer.
MAX_ANSWERS_BYTES = 64 * 1024 * 1024


@dataclass(slots=True)
class _Claim:
    body_digest: bytes
    host_id: str
    incarnation: str
    request_id: str
    claimed_ms: int
    state: str = 'running'
    answer: StoredAnswer | None = None


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
        self._claims: OrderedDict[str, _Claim] = OrderedDict()
        # Keys of the claims with an answer, in the order they were stored.
        self._answers: OrderedDict[str, int] = OrderedDict()
        self._answers_bytes = 0
        # Claim key and request id of releases to the time of the release.
        self._released: OrderedDict[tuple[str, str], int] = OrderedDict()

    def __len__(self) -> int:
        return len(self._claims)

    def claim(self, command: ClaimRequest, now_ms: int) -> ClaimReply:
        """Grant a claim or return what is known about the first request.

        The holder's own request id is granted again while it runs, because
        the answer to its claim may have been lost.

        Raises
        ------
        NoCapacityError
            If the register is full.
        InvalidRequestError
            If the request released this claim before.
        """
        if (command.claim_key, command.request_id) in self._released:
            raise InvalidRequestError(
                f'request {command.request_id!r} released this claim; claim '
                'again under a new request id',
            )
        claim = self._claims.get(command.claim_key)
        if claim is None:
            self._add(command, now_ms)
            return ClaimReply(status='granted')
        if claim.body_digest != command.body_digest:
            return ClaimReply(status='mismatch')
        if claim.state == 'finished':
            return ClaimReply(status='finished', answer=claim.answer)
        live = self._is_live(claim.host_id, claim.incarnation)
        if claim.state == 'unknown' or not live:
            return ClaimReply(status='unknown')
        same = (command.request_id, command.host_id, command.incarnation)
        if same == (claim.request_id, claim.host_id, claim.incarnation):
            return ClaimReply(status='granted')
        return ClaimReply(status='in_progress')

    def finish(self, command: FinishClaim, now_ms: int) -> None:
        """Record the outcome; only the holder's request id has an effect."""
        claim = self._claims.get(command.claim_key)
        if claim is None or claim.request_id != command.request_id:
            return
        if claim.state == 'finished':
            return
        if command.outcome is Outcome.NOT_RUN:
            del self._claims[command.claim_key]
            self._released[command.claim_key, command.request_id] = now_ms
        elif command.outcome is Outcome.RAN:
            claim.state = 'finished'
            self._store_answer(command.claim_key, claim, command.answer)
        else:
            claim.state = 'unknown'

    def expire(self, now_ms: int) -> None:
        """Drop claims and releases older than their retention times."""
        while self._released:
            released_ms = next(iter(self._released.values()))
            few = len(self._released) <= MAX_RELEASED
            if few and released_ms + RELEASED_MS > now_ms:
                break
            self._released.popitem(last=False)
        while self._claims:
            key, claim = next(iter(self._claims.items()))
            if claim.claimed_ms + RETENTION_MS > now_ms:
                return
            self._drop_answer(key)
            del self._claims[key]

    def snapshot(self) -> Any:
        """Return the register as plain values for msgpack."""
        return [
            [
                [
                    key,
                    claim.body_digest,
                    claim.host_id,
                    claim.incarnation,
                    claim.request_id,
                    claim.claimed_ms,
                    claim.state,
                ]
                for key, claim in self._claims.items()
            ],
            [self._answer_row(key) for key in self._answers],
            list(self._released.items()),
        ]

    def restore(self, content: Any) -> None:
        """Replace the register with a snapshot."""
        claims, answers, released = content
        self._released = OrderedDict(
            (tuple(key), released_ms) for key, released_ms in released
        )
        self._claims = OrderedDict(
            (key, _Claim(*fields)) for key, *fields in claims
        )
        self._answers.clear()
        self._answers_bytes = 0
        for key, *fields in answers:
            answer = StoredAnswer(
                status=fields[0],
                content_type=fields[1],
                body=fields[2],
            )
            self._store_answer(key, self._claims[key], answer)

    def _add(self, command: ClaimRequest, now_ms: int) -> None:
        check_invariant(
            command.claim_key not in self._claims,
            'claim_granted_once',
        )
        if len(self._claims) >= self._max_claims:
            raise NoCapacityError(
                f'{self._max_claims} claims are retained already',
            )
        self._claims[command.claim_key] = _Claim(
            body_digest=command.body_digest,
            host_id=command.host_id,
            incarnation=command.incarnation,
            request_id=command.request_id,
            claimed_ms=now_ms,
        )

    def _store_answer(
        self,
        key: str,
        claim: _Claim,
        answer: StoredAnswer | None,
    ) -> None:
        if answer is None or len(answer.body) > MAX_ANSWER_BYTES:
            return
        claim.answer = answer
        self._answers[key] = len(answer.body)
        self._answers_bytes += len(answer.body)
        while self._answers_bytes > self._max_answers_bytes:
            self._drop_answer(next(iter(self._answers)))

    def _drop_answer(self, key: str) -> None:
        self._answers_bytes -= self._answers.pop(key, 0)
        self._claims[key].answer = None

    def _answer_row(self, key: str) -> list[Any]:
        answer = self._claims[key].answer
        assert answer is not None
        return [key, answer.status, answer.content_type, answer.body]
