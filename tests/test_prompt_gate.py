"""Tests of the prompt gate: limits, order, cancellation, lost messages."""

import asyncio

import pytest
from tests.gateway_fakes import FreezingClock

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


async def read_prompts(gate, pace_tokens_per_s, count=8, tokens=1400):
    for number in range(count):
        await gate.enter(f'read-{number}', tokens, 0)
        await asyncio.sleep(tokens / pace_tokens_per_s)
        gate.finish(f'read-{number}')


@pytest.mark.parametrize(
    ('pace_tokens_per_s', 'expected'),
    [(5000, 1), (12000, 2), (20000, 3), (1e9, 4)],
)
async def test_slow_engine_reads_fewer_prompts_at_once(
    pace_tokens_per_s, expected
):
    # Engines of one service differ in pace by 2.7 times. The same number of
    # tokens paused the streams of the slow ones for longer than their target.
    gate = PromptGate(LoopClock(), gap_target_s=lambda: 0.3)
    await read_prompts(gate, pace_tokens_per_s)
    tasks = [enter(gate, str(number), 1400) for number in range(5)]
    assert sum(await admitted(*tasks)) == expected


async def test_unknown_or_old_pace_keeps_the_constant_limit():
    gate = PromptGate(LoopClock(), gap_target_s=lambda: 0.3)
    await read_prompts(gate, 1000, count=2)
    tasks = [enter(gate, str(number), 1400) for number in range(3)]
    assert sum(await admitted(*tasks)) == 2
    for number in range(3):
        gate.leave(str(number))
    await read_prompts(gate, 1000)
    await asyncio.sleep(60)
    tasks = [enter(gate, str(number), 1400) for number in range(3)]
    assert sum(await admitted(*tasks)) == 2


async def test_absurd_sizes_do_not_change_the_pace():
    # Callers state the size of their prompts.
    gate = PromptGate(LoopClock(), gap_target_s=lambda: 0.3)
    await read_prompts(gate, 12000)
    for tokens in (0, -5, 10**9):
        await gate.enter('absurd', tokens, 0)
        gate.finish('absurd')
    estimate = gate.pace.estimate(LoopClock().now_s())
    assert estimate.tokens_per_s == pytest.approx(12000, rel=0.01)


async def test_freeze_of_the_agent_does_not_change_the_pace():
    # Guards against an agent that has stood still and takes its engine for a
    # slow one: it holds prompts back, and entries avoid the engine.
    clock = FreezingClock()
    gate = PromptGate(clock, gap_target_s=lambda: 0.3)
    await read_prompts(gate, 12000)
    tasks = [enter(gate, f'frozen-{number}', 1400) for number in range(2)]
    assert await admitted(*tasks) == [True, True]
    clock.freeze_s = 7.0
    gate.finish('frozen-0')
    gate.admit()
    await read_prompts(gate, 12000)
    estimate = gate.pace.estimate(clock.now_s())
    assert estimate.tokens_per_s == pytest.approx(12000, rel=0.01)


async def test_published_pace_does_not_follow_noise():
    # Each change moves adapters to other engines, which load them again.
    gate = PromptGate(LoopClock())
    clock = LoopClock()
    await read_prompts(gate, 10000)
    assert gate.pace.published_tokens_per_s(clock.now_s()) == 10000
    await read_prompts(gate, 9000)
    assert gate.pace.published_tokens_per_s(clock.now_s()) == 10000
    await read_prompts(gate, 5000, count=20)
    assert gate.pace.published_tokens_per_s(clock.now_s()) < 8000
