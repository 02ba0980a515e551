"""What a gateway needs to know of requests and answers, in its own names.

``WireFormat`` is implemented by a platform, which knows the header names.
"""

from dataclasses import dataclass
from typing import Protocol

from kumquatrun.gateway.backends.backend_connection import (
    RawHeaders,
    ResponseHead,
)
from kumquatrun.gateway.routing.configuration import Configuration


@dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """One attempt of a caller.

    Attributes
    ----------
    request_id
        Id of the attempt; a retry of the caller has another one.
    target
        Path and query, byte for byte as they were sent.
    max_wait_ms
        How long the caller waits; None if it did not say.
    prompt_tokens, output_tokens
        Size of the prompt and largest size of the output; None for a request
        that states none.
    last_event_id
        Last event that the caller has, if it resumes a stream.
    """

    request_id: str
    method: str
    host: str
    target: str
    headers: RawHeaders
    body: bytes = b''
    max_wait_ms: float | None = None
    key: str = ''
    model: str = ''
    adapter: str = ''
    prompt_tokens: int | None = None
    output_tokens: int | None = None
    last_event_id: str = ''

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition('?')[0]


@dataclass(frozen=True, kw_only=True)
class ForwardingFields:
    """What a gateway adds to a request for one backend server.

    Attributes
    ----------
    backend_id
        The only backend server that may run the request.
    remaining_ms
        Time after which the backend server stops work.
    account
        Client account of the key; empty on a public route.
    priority
        Urgency, 0 first; None leaves it to the backend server.
    adapter_version
        The only adapter version that will do; 0 for any.
    last_event_id
        Event after which a stream continues.
    """

    backend_id: str
    remaining_ms: int
    account: str = ''
    priority: int | None = None
    adapter_version: int = 0
    last_event_id: str = ''


@dataclass(frozen=True, kw_only=True)
class AnswerInfo:
    """What an answer says about the request.

    ``answered_id`` names the request that it answers, empty if it does not
    say. ``is_not_run`` is true if the backend server did not run the request
    and never will.
    """

    answered_id: str
    is_not_run: bool


class WireFormat(Protocol):
    """Reads and writes requests in a platform's format."""

    def read_request(
        self,
        method: str,
        target: str,
        headers: RawHeaders,
    ) -> CallerRequest:
        """Return the request without its body.

        Raises
        ------
        InvalidRequestError
            If a header cannot be read.
        """
        ...

    def write_request(
        self,
        request: CallerRequest,
        forwarding: ForwardingFields,
    ) -> bytes:
        """Return the head of the request to a backend server."""
        ...

    def read_answer(self, head: ResponseHead) -> AnswerInfo:
        """Return what the head of an answer says."""
        ...

    def answer_headers(self, head: ResponseHead) -> list[tuple[str, str]]:
        """Return the headers that go back to the caller."""
        ...

    def read_configuration(self, content: bytes) -> Configuration:
        """Return a checked configuration.

        Raises
        ------
        DocumentError
            If it cannot be read in full or breaks a rule.
        """
        ...
