"""Tests of the prompt gate: limits, order, cancellation, lost messages."""

import asyncio

import pytest

from kumquatrun.gateway.engine.prompt_gate import PROMPT_EXPIRY_S, PromptGate
from kumquatrun.runtime.clock import LoopClock

pytestmark = pytest.mark.looptime


def enter(gate, name, tokens, priority=0):
    return asyncio.create_task(gate.enter(name, tokens, priority))


async def admitted(*tasks):
    await asyncio.sleep(0.01)
    return [task.done() for task in tasks]


async def test_concurrent_prompts_are_bounded():
    # Too many concurrent prompts pause every stream of a batch: they delayed
    # 129 of 596 streams during normal operation.
    gate = PromptGate(LoopClock(), 3000)
    tasks = [enter(gate, str(number), 1400) for number in range(3)]
    assert await admitted(*tasks) == [True, True, False]
    gate.leave('0')
    assert await admitted(tasks[2]) == [True]


async def test_oversized_prompt_is_admitted_alone():
    gate = PromptGate(LoopClock(), 3000)
    large = enter(gate, 'large', 9000)
    small = enter(gate, 'small', 10)
    assert await admitted(large, small) == [True, False]


async def test_urgent_prompt_goes_first():
    gate = PromptGate(LoopClock(), 100)
    first = enter(gate, 'first', 100)
    routine = enter(gate, 'routine', 100, priority=5)
    urgent = enter(gate, 'urgent', 100, priority=1)
    await admitted(first)
    gate.leave('first')
    assert await admitted(urgent, routine) == [True, False]


async def test_cancelled_prompt_frees_its_place():
    gate = PromptGate(LoopClock(), 100)
    first = enter(gate, 'first', 100)
    second = enter(gate, 'second', 100)
    third = enter(gate, 'third', 100)
    await admitted(first)
    second.cancel()
    gate.leave('first')
    assert await admitted(third) == [True]


async def test_unreported_prompt_expires():
    # Without the expiry, an engine gets no more requests after a lost message.
    gate = PromptGate(LoopClock(), 100)
    enter(gate, 'first', 100)
    second = enter(gate, 'second', 100)
    await asyncio.sleep(PROMPT_EXPIRY_S + 0.1)
    gate.admit()
    assert await admitted(second) == [True]
