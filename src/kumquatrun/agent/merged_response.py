"""Builds an unstreamed completion response from the events of a stream.

The agent asks engines for a stream even if the caller did not: a connection
without traffic is then detected within seconds instead of at the deadline of
the request.
"""

import json
from collections.abc import Mapping
from typing import Any

from kumquatrun.errors import BackendError

# Responses to requests with these fields have parts that are not merged here,
# so the engine renders the whole response itself.
UNMERGED_FIELDS = frozenset(
    ('audio', 'best_of', 'echo', 'functions', 'logprobs', 'tools'),
)
_CHUNK_SUFFIX = '.chunk'


def can_merge(request: Mapping[str, Any]) -> bool:
    """Return whether the response to a request can be built from events."""
    return not any(request.get(name) for name in UNMERGED_FIELDS)


# Size that is counted for each choice, in addition to its text.
CHOICE_BYTES = 64


class MergedResponse:
    """Collects the events of one completion.

    Attributes
    ----------
    size_bytes
        Approximate size of the response: the length of its texts and
        ``CHOICE_BYTES`` per choice.
    """

    def __init__(self) -> None:
        self.size_bytes = 0
        self._top_level_fields: dict[str, Any] = {}
        self._texts: dict[int, list[str]] = {}
        self._finish_reasons: dict[int, Any] = {}
        self._is_chat = False

    def add(self, event: Mapping[str, Any]) -> None:
        """Add the content of one event.

        Raises
        ------
        BackendError
            If the event reports an error.
        """
        if 'error' in event:
            raise BackendError(
                f'the engine reported an error: {event["error"]}'
            )
        for name, content in event.items():
            if name != 'choices' and content is not None:
                self._top_level_fields[name] = content
        for choice in event.get('choices', ()):
            self._add_choice(choice)

    def render(self) -> bytes:
        """Return the merged response as JSON."""
        choices = [
            self._choice(index, ''.join(texts))
            for index, texts in sorted(self._texts.items())
        ]
        content = self._top_level_fields | {'choices': choices}
        kind = str(content.get('object', ''))
        content['object'] = kind.removesuffix(_CHUNK_SUFFIX)
        return json.dumps(content).encode()

    def _add_choice(self, choice: Mapping[str, Any]) -> None:
        index = int(choice.get('index', 0))
        if index not in self._texts:
            self._texts[index] = []
            self.size_bytes += CHOICE_BYTES
        delta = choice.get('delta')
        if delta is None:
            text = choice.get('text') or ''
        else:
            self._is_chat = True
            text = delta.get('content') or ''
        if text:
            self._texts[index].append(text)
            self.size_bytes += len(text)
        if choice.get('finish_reason') is not None:
            self._finish_reasons[index] = choice['finish_reason']

    def _choice(self, index: int, text: str) -> dict[str, Any]:
        choice: dict[str, Any] = {
            'index': index,
            'finish_reason': self._finish_reasons.get(index),
        }
        if self._is_chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        return choice
