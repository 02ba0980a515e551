"""Fair queue: weights, priorities, size limit and deadlines."""

import random
from collections import Counter

import pytest

from kumquatrun.agent.fair_queue import FairQueue, Share

# Weight of each account and cost of each of its requests.
SHARE_CASES = {
    'equal': {'a': (1, 10), 'b': (1, 10)},
    'weights': {'a': (3, 10), 'b': (1, 10), 'c': (2, 10)},
    'unequal_costs': {'a': (1, 100), 'b': (1, 5)},
    'weights_and_costs': {'a': (2, 50), 'b': (1, 7), 'c': (5, 120)},
}
SERVED_TOKENS = 20_000


def push(queue, name, account='a', **fields):
    fields = {'cost_tokens': 10} | fields
    return queue.push(name, Share(account=account, **fields))


def served_tokens(queue, accounts, min_tokens):
    """Keep all accounts backlogged and count the cost served for each."""
    served = Counter()
    for account, (weight, cost) in accounts.items():
        for _ in range(2):
            push(queue, account, account, weight=weight, cost_tokens=cost)
    while sum(served.values()) < min_tokens:
        account = queue.pop()
        weight, cost = accounts[account]
        served[account] += cost
        push(queue, account, account, weight=weight, cost_tokens=cost)
    return served


def unfairness(served, accounts):
    """Return the largest difference of service per weight, in tokens."""
    shares = [served[name] / accounts[name][0] for name in accounts]
    return max(shares) - min(shares)


def fair_bound(accounts):
    # Bound of start-time fair queuing for two flows: the sum of their largest
    # charges; ``fair_queue`` names the source.
    charges = sorted(cost / weight for weight, cost in accounts.values())
    return charges[-1] + charges[-2]


@pytest.mark.parametrize('name', SHARE_CASES)
def test_backlogged_accounts_get_their_weights(name):
    # Guards against an account that takes more than its share of the service.
    accounts = SHARE_CASES[name]
    served = served_tokens(FairQueue(100), accounts, SERVED_TOKENS)
    assert unfairness(served, accounts) <= fair_bound(accounts)


class FirstComeQueue(FairQueue):
    """Broken variant: all items belong to one account."""

    def push(self, item, share):
        shared = Share(account='all', cost_tokens=share.cost_tokens)
        return super().push(item, shared)


def test_queue_without_accounts_is_detected():
    accounts = SHARE_CASES['weights']
    served = served_tokens(FirstComeQueue(100), accounts, SERVED_TOKENS)
    assert unfairness(served, accounts) > fair_bound(accounts)


def test_idle_account_gains_no_credit():
    # Guards against an account that starves others with a burst after a pause.
    queue = FairQueue(1000)
    for _ in range(50):
        push(queue, 'a')
        assert queue.pop() == 'a'
    for _ in range(20):
        push(queue, 'a')
        push(queue, 'b', 'b')
    first_served = Counter(queue.pop() for _ in range(20))
    assert first_served == {'a': 10, 'b': 10}


def test_priority_orders_one_account_only():
    queue = FairQueue(10)
    push(queue, 'a-low')
    push(queue, 'a-high', priority=5)
    push(queue, 'b-low', 'b')
    order = [queue.pop() for _ in range(3)]
    assert order == ['a-high', 'b-low', 'a-low']


def test_unready_item_keeps_its_position():
    # Guards against a request that waits for an adapter load and blocks others.
    queue = FairQueue(10)
    push(queue, 'loading')
    for name in ('b1', 'b2', 'b3'):
        push(queue, name, 'b')
    assert queue.pop(lambda item: item != 'loading') == 'b1'
    assert queue.pop(lambda item: item != 'loading') == 'b2'
    assert queue.pop() == 'loading'


def test_full_queue_displaces_the_heaviest_account():
    # Guards against refusals for accounts that stay within their share.
    queue = FairQueue(4)
    for number in range(4):
        assert push(queue, f'a{number}').unwrap() is None
    assert push(queue, 'b0', 'b').unwrap() == 'a3'
    refusal = push(queue, 'a4').unwrap_err()
    assert refusal.outcome == 'not_run'
    assert len(queue) == 4


def test_expired_items_leave_the_queue():
    queue = FairQueue(10)
    push(queue, 'late', deadline_s=5)
    push(queue, 'later', 'b', deadline_s=6)
    assert queue.expire(4.9) == []
    assert queue.expire(5) == ['late']
    assert queue.remove('later')
    assert not queue.remove('later')
    assert queue.pop() is None


def test_random_operations_keep_all_items():
    rng = random.Random(7)
    queue = FairQueue(30)
    waiting = set()
    for number in range(3000):
        if rng.random() < 0.55:
            name = f'i{number}'
            share = Share(
                account=rng.choice('abcde'),
                cost_tokens=rng.randrange(100),
                weight=rng.choice([1, 2]),
                priority=rng.randrange(3),
            )
            pushed = queue.push(name, share)
            if pushed.is_ok():
                waiting.add(name)
                waiting.discard(pushed.unwrap())
        else:
            item = queue.pop(lambda item: hash(item) % 5)
            assert item is None or item in waiting
            waiting.discard(item)
        assert len(queue) == len(waiting) <= 30
        assert set(queue.in_order()) == waiting
