"""Parses requests and lists the models of the OpenAI-compatible API.

Prompt tokens are estimated, because the entry has no tokenizer: four ASCII
characters count as one token, every other character counts as one token, a
token id counts as one token, and each chat message adds four tokens.
"""

import hashlib
import json
import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from kumquatrun.document.document import AdapterSpec
from kumquatrun.errors import InvalidRequestError

ASCII_PER_TOKEN = 4
TOKENS_PER_MESSAGE = 4
MAX_SEQUENCES = 16
MAX_OUTPUT_TOKENS = 1_000_000
PRIORITY_LIMIT = 10

_BACKSLASH = 0x5C
_SURROGATE_ESCAPE = bytes((_BACKSLASH,)) + b'ud'


class Endpoint(StrEnum):
    """Endpoints of the API, by the end of their path."""

    CHAT = '/chat/completions'
    COMPLETIONS = '/completions'
    MODELS = '/models'


@dataclass(frozen=True, kw_only=True)
class CompletionRequest:
    """A parsed completion or chat request.

    Attributes
    ----------
    adapter, version
        Parts of ``model``; an empty version stands for the default version.
    prompt_tokens
        Estimated prompt tokens, by the rule of this module.
    max_tokens
        Output limit of one sequence, in tokens; None if not given.
    sequences
        Number of sequences that the engine generates.
    prompt_digest
        BLAKE2b digest of the prompt.
    """

    adapter: str
    version: str
    prompt_tokens: int
    max_tokens: int | None
    sequences: int
    stream: bool
    priority: int
    prompt_digest: bytes
    fields: dict[str, Any] = field(repr=False)

    def output_tokens(self, default_max_tokens: int) -> int:
        """Return the maximum number of output tokens."""
        limit = self.max_tokens
        if limit is None:
            limit = default_max_tokens
        return limit * self.sequences

    def body_with_limit(self, default_max_tokens: int) -> bytes:
        """Return the JSON body with ``max_tokens`` filled in."""
        return json.dumps(
            self.fields | {'max_tokens': default_max_tokens},
            separators=(',', ':'),
        ).encode()


class _ContentPart(BaseModel):
    model_config = ConfigDict(strict=True, extra='ignore')

    type: str
    text: str = ''


class _Message(BaseModel):
    model_config = ConfigDict(strict=True, extra='ignore')

    role: str
    content: str | list[_ContentPart] | None = None


class _BaseFields(BaseModel):
    model_config = ConfigDict(strict=True, extra='ignore')

    model: Annotated[str, Field(min_length=1, max_length=256)]
    max_tokens: Annotated[int, Field(ge=1, le=MAX_OUTPUT_TOKENS)] | None = None
    stream: bool | None = None
    n: Annotated[int, Field(ge=1, le=MAX_SEQUENCES)] | None = None
    best_of: Annotated[int, Field(ge=1, le=MAX_SEQUENCES)] | None = None
    priority: (
        Annotated[int, Field(ge=-PRIORITY_LIMIT, le=PRIORITY_LIMIT)] | None
    ) = None

    def sequences(self) -> int:
        return max(self.n or 1, self.best_of or 1)


class _CompletionFields(_BaseFields):
    prompt: str | list[str] | list[int] | list[list[int]]

    def prompt_tokens(self) -> int:
        return _count_prompt(self.prompt)

    def sequences(self) -> int:
        prompts = 1
        if isinstance(self.prompt, list) and self.prompt:
            prompts = 1 if isinstance(self.prompt[0], int) else len(self.prompt)
        return prompts * super().sequences()


class _ChatFields(_BaseFields):
    messages: Annotated[list[_Message], Field(min_length=1)]
    max_completion_tokens: (
        Annotated[int, Field(ge=1, le=MAX_OUTPUT_TOKENS)] | None
    ) = None

    def prompt_tokens(self) -> int:
        return sum(_count_message(message) for message in self.messages)


_FIELDS = {
    Endpoint.CHAT: (_ChatFields, 'messages'),
    Endpoint.COMPLETIONS: (_CompletionFields, 'prompt'),
}


def endpoint_of(path: str) -> Endpoint | None:
    """Return the endpoint of a path, None if there is none."""
    for endpoint in Endpoint:
        if path.endswith(endpoint.value):
            return endpoint
    return None


def estimate_tokens(text: str) -> int:
    """Return the estimated number of tokens of ``text``."""
    ascii_characters = len(text.encode('ascii', 'ignore'))
    other_characters = len(text) - ascii_characters
    return math.ceil(ascii_characters / ASCII_PER_TOKEN) + other_characters


def parse_completion(endpoint: Endpoint, body: bytes) -> CompletionRequest:
    """Parse the body of a completion or chat request.

    Raises
    ------
    InvalidRequestError
        If the body is not valid JSON or a field is missing or invalid.
    """
    fields = _parse_object(body)
    model_class, prompt_field = _FIELDS[endpoint]
    try:
        parsed = model_class.model_validate(fields)
    except ValidationError as error:
        raise InvalidRequestError(_first_problem(error)) from None
    adapter, _, version = parsed.model.partition('@')
    limits = [parsed.max_tokens, getattr(parsed, 'max_completion_tokens', None)]
    prompt = json.dumps(fields[prompt_field], sort_keys=True).encode()
    return CompletionRequest(
        adapter=adapter,
        version=version,
        prompt_tokens=parsed.prompt_tokens(),
        max_tokens=max((limit for limit in limits if limit), default=None),
        sequences=parsed.sequences(),
        stream=bool(parsed.stream),
        priority=parsed.priority or 0,
        prompt_digest=hashlib.blake2b(prompt, digest_size=16).digest(),
        fields=fields,
    )


def render_models(adapters: Sequence[AdapterSpec]) -> bytes:
    """Return the body of ``/v1/models``; one item per adapter."""
    models = [
        {
            'id': adapter.name,
            'object': 'model',
            'owned_by': adapter.service,
            'versions': list(adapter.versions),
        }
        for adapter in adapters
    ]
    return json.dumps({'object': 'list', 'data': models}).encode()


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        fields = _DECODER.decode(body.decode())
    except (ValueError, RecursionError) as error:
        raise InvalidRequestError(f'body is not valid JSON: {error}') from None
    if not isinstance(fields, dict):
        raise InvalidRequestError('body is not a JSON object')
    if _SURROGATE_ESCAPE in body.lower():
        _check_encodable(fields)
    return fields


def _check_encodable(fields: dict[str, Any]) -> None:
    # An unpaired surrogate cannot be encoded as UTF-8, so the log and the
    # engine would fail on it.
    try:
        json.dumps(fields, ensure_ascii=False).encode()
    except UnicodeEncodeError:
        raise InvalidRequestError(
            'body has an escape of an unpaired surrogate',
        ) from None


def _unique_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    # Of two fields with the same name, some parsers use the first and others
    # the last, so the engine could run a model that was not checked here.
    fields = dict(pairs)
    if len(fields) != len(pairs):
        raise ValueError('an object has the same field twice')
    return fields


def _refuse_constant(name: str) -> None:
    raise ValueError(f'{name} is not a JSON number')


_DECODER = json.JSONDecoder(
    object_pairs_hook=_unique_fields,
    parse_constant=_refuse_constant,
)


def _first_problem(error: ValidationError) -> str:
    problem = error.errors(include_input=False, include_url=False)[0]
    location = '.'.join(str(part) for part in problem['loc'])
    return f'field {location}: {problem["msg"]}'


def _count_prompt(prompt: str | list) -> int:
    if isinstance(prompt, str):
        return estimate_tokens(prompt)
    return sum(
        1 if isinstance(part, int) else _count_prompt(part) for part in prompt
    )


def _count_message(message: _Message) -> int:
    content = message.content or ''
    if not isinstance(content, str):
        content = ''.join(part.text for part in content)
    return TOKENS_PER_MESSAGE + estimate_tokens(content)
