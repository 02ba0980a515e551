"""Guarantees through entries, agents and control replicas under faults."""

import asyncio
import json
import time

import pytest
from tests.whole_path import (
    KEY,
    SMALL_BURST,
    SMALL_KEY,
    SMALL_RATE,
    eventually,
    expected_text,
    gather_in_time,
    outcome_of,
    text_of,
    whole_path,
)

from kumquatrun_standins.engine_core import CRASH_MARK


async def test_each_request_runs_on_its_adapter_and_version():
    # 24 adapter versions compete for 8 slots, so adapters are loaded and
    # evicted while requests run.
    async with whole_path() as path:
        models = [
            f'a{number}@{version}' for number in range(12) for version in '12'
        ]
        answers = await gather_in_time(
            path.complete(model, tokens=3, entry=number % 2)
            for number, model in enumerate(models * 2)
        )
        for model, answer in zip(models * 2, answers, strict=True):
            status, _, body = answer
            if status == 200:
                assert text_of(body) == expected_text(model, 3)
            else:
                assert outcome_of(answer) == 'not_run'
        served = sum(status == 200 for status, _, _ in answers)
        assert served == len(answers)


@pytest.mark.parametrize(
    'fault', ['kill_leader', 'silence_links', 'stop_agent', 'restart_engine']
)
async def test_idempotent_requests_survive_one_fault(fault):
    # Guards against a fault that causes errors although another backend
    # server could answer.
    async with whole_path() as path:
        await gather_in_time(path.complete(f'a{n}@1') for n in range(4))

        async def inject():
            await asyncio.sleep(0.1)
            if fault == 'kill_leader':
                leader = path.cluster.leader()
                await path.cluster.kill_replica(leader)
            if fault == 'silence_links':
                path.links['agent-1'].silence()
            if fault == 'stop_agent':
                await path.agents['agent-1'].stop()
                await path.sessions['agent-1'].stop()
            if fault == 'restart_engine':
                path.engines[0].crash()

        async def request(number):
            await asyncio.sleep(number * 0.01)
            model = f'a{number % 4}@1'
            answer = await path.complete(model, tokens=8, entry=number % 2)
            return model, answer

        results = await gather_in_time(
            [*(request(number) for number in range(40)), inject()]
        )
        for model, answer in results[:-1]:
            assert answer[0] == 200, answer
            assert text_of(answer[2]) == expected_text(model, 8)


FAULTS = (
    'none',
    'kill_leader',
    'silence_link',
    'drop_answer',
    'drop_answer_and_kill_leader',
    'stop_entry',
)


@pytest.mark.parametrize('fault', FAULTS)
async def test_booking_with_a_key_is_executed_at_most_once(fault):
    # The caller repeats the call through the other entry until it succeeds; a
    # fault hits the first attempt.
    async with whole_path(engines=1) as path:
        path.ledger._delay_s = 0.2
        if 'drop_answer' in fault:
            path.ledger.drop_answers = 1

        async def book(entry):
            return await path.post(
                '/bookings',
                {'id': 'b1'},
                entry=entry,
                Idempotency_Key='order-1',
            )

        first = asyncio.create_task(book(0))
        await asyncio.sleep(0.1)
        if 'kill_leader' in fault:
            await path.cluster.kill_replica(path.cluster.leader())
        if fault == 'silence_link':
            path.links['ledger-1'].silence()
        if fault == 'stop_entry':
            await path.entries[0].stop()
            await path.sessions['entry-1'].stop()
        answers = [await first]
        for _ in range(8):
            answers.append(await book(1))
            if answers[-1][0] == 201:
                break
            await asyncio.sleep(0.5)
        executed = path.ledger.executions['b1']
        assert executed <= 1
        for answer in answers:
            if answer[0] == 201:
                assert executed == 1
            elif outcome_of(answer) == 'not_run':
                continue
            else:
                assert outcome_of(answer) in {'unknown', 'ran', 'cut'}
        if fault == 'none':
            assert answers[0][2] == answers[1][2]


async def test_account_never_gets_more_than_its_rate_and_burst():
    # Two entries serve one account that sends far more than its rate, while the
    # leader changes and one entry loses its control connection.
    async with whole_path(engines=2) as path:
        started_s = time.monotonic()
        received = []

        async def caller(entry):
            while time.monotonic() - started_s < 6:
                status, _, body = await path.complete(
                    tokens=20, entry=entry, key=SMALL_KEY
                )
                if status == 200:
                    usage = json.loads(body)['usage']
                    received.append((time.monotonic(), usage['total_tokens']))

        async def faults():
            await asyncio.sleep(1)
            await path.cluster.kill_replica(path.cluster.leader())
            await asyncio.sleep(2)
            await path.sessions['entry-1'].stop()

        await gather_in_time([*(caller(n % 2) for n in range(8)), faults()])
        total = sum(tokens for _, tokens in received)
        for index, (from_s, _) in enumerate(received):
            taken = 0
            for until_s, tokens in received[index:]:
                taken += tokens
                limit = SMALL_BURST + SMALL_RATE * (until_s - from_s)
                # A request is counted as a whole at its end.
                assert taken <= limit + tokens
        elapsed_s = time.monotonic() - started_s
        assert total <= SMALL_BURST + SMALL_RATE * elapsed_s
        assert total >= SMALL_BURST


async def test_account_within_its_rate_is_not_refused():
    # Demand is 60% of the rate, first at one entry only, then at both entries
    # in unequal parts.
    async with whole_path(engines=1) as path:
        answers = []
        for number in range(40):
            entry = 0 if number < 20 else int(number % 5 == 0)
            answers.append(
                await path.complete(tokens=4, entry=entry, key=SMALL_KEY)
            )
            await asyncio.sleep(0.05)
        assert [answer[0] for answer in answers] == [200] * 40


async def test_revoked_key_ends_open_streams():
    async with whole_path(engines=1, token_interval_s=0.05) as path:
        stream = asyncio.create_task(
            path.complete(tokens=200, stream=True, key=KEY)
        )
        await asyncio.sleep(0.5)
        started_s = time.monotonic()
        await path.cluster.operate('revoke_key', key_id='acme')
        status, _, body = await stream
        assert time.monotonic() - started_s < 4
        assert status in {0, 200}
        assert b'[DONE]' not in body
        status, _, _ = await path.complete(key=KEY)
        assert status == 401
        await eventually(lambda: not path.agents['agent-1'].open_requests, 2)


async def test_cut_off_entry_serves_open_routes_only():
    async with whole_path(engines=1) as path:
        assert (await path.complete())[0] == 200
        for link in path.cluster.links.values():
            link.cut()
        session = path.sessions['entry-1']
        await eventually(lambda: not session.lease_valid(), 4)
        answer = await path.complete()
        assert answer[0] == 503
        assert outcome_of(answer) == 'not_run'
        for link in path.cluster.links.values():
            link.heal()
        await eventually(session.lease_valid, 6)
        leases = path.leases()
        status, _, body = await path.complete()
        assert status == 200, (
            f'{body!r}, leases end in {leases} s at the request '
            f'and in {path.leases()} s at the answer'
        )


async def test_drain_cuts_no_stream_and_gets_no_new_work():
    # Guards against streams that a planned stop cuts, and against work that
    # still arrives 4 s after the drain began.
    async with whole_path(token_interval_s=0.02) as path:
        streams = [
            asyncio.create_task(
                path.complete(f'a{number}@1', tokens=60, stream=True)
            )
            for number in range(6)
        ]
        await asyncio.sleep(0.4)
        await path.cluster.operate('drain_host', host_id='agent-1')
        draining = asyncio.create_task(path.agents['agent-1'].drain(30))
        later = await gather_in_time(
            path.complete(f'a{number}@2', entry=number % 2)
            for number in range(8)
        )
        assert [answer[0] for answer in later] == [200] * 8
        for answer in await asyncio.gather(*streams):
            assert answer[2].rstrip().endswith(b'[DONE]')
        await asyncio.wait_for(draining, 10)
        entry_view = path.sessions['entry-1'].view
        await eventually(
            lambda: (
                'agent-1'
                not in {
                    row.host_id for row in entry_view.agents_of('assistant')
                }
            ),
            4,
        )


async def test_request_that_crashes_engines_is_quarantined_fleet_wide():
    # Guards against a request that crashes one engine after the other, and
    # against other requests that are refused with it.
    async with whole_path(engines=3) as path:
        for _ in range(6):
            answer = await path.complete(prompt=f'please {CRASH_MARK} now')
            assert answer[0] != 200
            if json.loads(answer[2])['error']['code'] == 'quarantined':
                break
            await asyncio.sleep(0.2)
        other = await path.complete(prompt=f'please {CRASH_MARK} now', entry=1)
        assert json.loads(other[2])['error']['code'] == 'quarantined'
        assert outcome_of(other) == 'not_run'
        # An incarnation ends with the number of starts.
        crashes = sum(
            int(engine.core.incarnation.rsplit('-', 1)[1]) - 1
            for engine in path.engines
        )
        assert crashes <= 2
        await asyncio.sleep(1)
        assert (await path.complete())[0] == 200
