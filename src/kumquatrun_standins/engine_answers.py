"""Answers in the form of the OpenAI-compatible API."""

from typing import Any

from kumquatrun_standins.engine_core import Generation

CHAT_OBJECT = 'chat.completion'


class Answer:
    """Renders one generation in the form of the OpenAI-compatible API."""

    def __init__(
        self,
        generation: Generation,
        incarnation: str,
        is_chat: bool,
    ) -> None:
        self.generation = generation
        self.incarnation = incarnation
        self._is_chat = is_chat
        self._sent = 0

    def usage(self) -> dict[str, int]:
        """Return the tokens used so far."""
        prompt_tokens = len(self.generation.prompt.split())
        output_tokens = self.generation.produced
        return {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': output_tokens,
            'total_tokens': prompt_tokens + output_tokens,
        }

    def chunk(self, piece: str) -> dict[str, Any]:
        """Return the next event of a stream."""
        self._sent += 1
        is_last = self._sent >= self.generation.max_tokens
        choice: dict[str, Any] = {
            'index': 0,
            'finish_reason': 'length' if is_last else None,
        }
        if self._is_chat:
            choice['delta'] = {'content': piece}
        else:
            choice['text'] = piece
        content = self._head('.chunk') | {'choices': [choice]}
        return content | self._served_by() if self._sent == 1 else content

    def usage_chunk(self) -> dict[str, Any]:
        """Return the last event, which carries the usage."""
        return self._head('.chunk') | {'choices': [], 'usage': self.usage()}

    def full_answer(self, text: str) -> dict[str, Any]:
        """Return the answer of a call that is not streamed."""
        choice: dict[str, Any] = {'index': 0, 'finish_reason': 'length'}
        if self._is_chat:
            choice['message'] = {'role': 'assistant', 'content': text}
        else:
            choice['text'] = text
        content = {'choices': [choice], 'usage': self.usage()}
        return self._head('') | content | self._served_by()

    def _served_by(self) -> dict[str, Any]:
        return {
            'served_by': {
                'adapter': self.generation.adapter,
                'version': self.generation.version,
                'incarnation': self.incarnation,
            },
        }

    def _head(self, suffix: str) -> dict[str, Any]:
        return {
            'id': f'cmpl-{self.generation.request_id}',
            'object': CHAT_OBJECT + suffix
            if self._is_chat
            else 'text_completion',
            'model': f'{self.generation.adapter}@{self.generation.version}',
        }
