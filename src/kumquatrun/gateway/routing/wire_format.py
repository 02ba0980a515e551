"""Requests and responses as the gateway sees them, without header names.

A platform implements ``WireFormat`` and maps them to its headers.
"""

from dataclasses import dataclass
from typing import Protocol

from kumquatrun.gateway.backends.response_head import (
    RawHeaders,
    ResponseHead,
)
from kumquatrun.gateway.routing.configuration import Configuration


@dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """One request of a caller.

    Attributes
    ----------
    request_id
        Id of the request; a retry by the caller has another id.
    target
        Path and query, byte for byte as they were sent.
    max_wait_ms
        How long the caller waits; None if the request does not state it.
    prompt_tokens, output_tokens
        Size of the prompt and largest size of the output; None if the request
        does not state them.
    last_event_id
        Id of the last event that the caller received, if it resumes a stream.
    prompt_parts
        Ids of the parts of the prompt, in order. Other requests may share all
        but the last one.
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
    prompt_parts: tuple[str, ...] = ()

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition('?')[0]


@dataclass(frozen=True, kw_only=True)
class ForwardingFields:
    """Fields that the gateway adds to a request for a backend server.

    Attributes
    ----------
    backend_id
        The only backend server that may run the request.
    remaining_ms
        Time after which the backend server stops working on the request.
    account
        Client account of the request; empty on a public route.
    priority
        Priority, 0 is the highest; None leaves it to the backend server.
    adapter_version
        The only adapter version that may be used; 0 for any.
    last_event_id
        Id of the event after which a stream is resumed.
    """

    backend_id: str
    remaining_ms: int
    account: str = ''
    priority: int | None = None
    adapter_version: int = 0
    last_event_id: str = ''


@dataclass(frozen=True, kw_only=True)
class ResponseInfo:
    """What a response says about its request and its backend server.

    Attributes
    ----------
    answered_id
        Id of the request; empty if the response does not contain it.
    is_not_run
        Whether the backend server did not run the request and never will.
    is_leaving
        Whether the backend server is about to stop.
    quiet_s
        How long the backend server wants no requests from this host; 0 if it
        does not say so.
    unreadable_headers
        Names of headers about the backend server whose values are malformed;
        they count as absent.
    """

    answered_id: str
    is_not_run: bool
    is_leaving: bool = False
    quiet_s: float = 0.0
    unreadable_headers: tuple[str, ...] = ()


class WireFormat(Protocol):
    """Reads and writes the headers and documents of a platform."""

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

    def read_response(self, head: ResponseHead) -> ResponseInfo:
        """Return what the head of a response says."""
        ...

    def response_headers(self, head: ResponseHead) -> list[tuple[str, str]]:
        """Return the headers to relay to the caller."""
        ...

    def read_configuration(self, content: bytes) -> Configuration:
        """Return a checked configuration.

        Raises
        ------
        DocumentError
            If it cannot be parsed completely or breaks a rule.
        """
        ...
