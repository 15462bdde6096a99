# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""``make bench-requests``: routing and limits under an open load.

The real router, ratings, gate and admission in one process, with runners
that sleep instead of computing, so that the machine's own speed matters
little. Requests arrive on a seeded schedule whatever became of those
before, and count from their scheduled arrival. Our own simpler policies
are run beside ours on the same schedule. Bounds are on ratios.
"""

import concurrent.futures
import dataclasses
import itertools
import random
import sys
import threading
import time

from hdrh import histogram
import xxhash

from portwharf import callers
from portwharf.core import clock
from portwharf.core import data
from portwharf.core import ids
from portwharf import endpoints
from portwharf.entry import routing
from portwharf.entry import sides
from portwharf.peers import messages
from portwharf.side import admission
from portwharf.testing import fixtures

ENDPOINTS = 11
SLOTS = 8
QUEUE = 32
ENTRIES = 3
MEDIAN_SECONDS = 0.08
SPREAD = 0.5
SLOW_FACTOR = 10
SECONDS = 12.0
WARM_SECONDS = 4.0
DEADLINE_MS = 3000
_THREADS = 900
_SERVICE = 'lens/fit-check'
# Mean of the lognormal service time.
_MEAN_SECONDS = MEDIAN_SECONDS * 2.718281828 ** (SPREAD**2 / 2)
CAPACITY = ENDPOINTS * SLOTS / _MEAN_SECONDS


class SleepingRunner(endpoints.Runner):
    """A runner that takes a while."""

    def __init__(self, seed, factor):
        self._random = random.Random(seed)
        self._factor = factor
        self._lock = threading.Lock()

    def run(self, request, service, payload, timeout):
        with self._lock:
            seconds = self._random.lognormvariate(0, SPREAD)
        time.sleep(seconds * MEDIAN_SECONDS * self._factor)
        return endpoints.RunnerAnswer(whole=True, payload=payload)


class DirectLink(sides.SideLink):
    """A link that hands requests to an admission in this process."""

    def __init__(self, vm, made, now):
        super().__init__(vm, None, None, now)
        self._admission = made
        self.view.up = True
        self.view.state.slots = SLOTS

    def begin(self, message, payload=b''):
        """Offer a request to the admission."""
        exchange = sides.Exchange(self._clock.read_monotonic())
        with self._lock:
            message.id = next(self._numbers)
            self._exchanges[message.id] = exchange
            self.view.sent += 1
        deadline = self._clock.read_monotonic() + message.left_ms / 1000
        job = admission.Job(
            message.request,
            message.service,
            message.excess,
            deadline,
            payload,
        )
        job.finish = lambda verdict: self._take_verdict(message, verdict)
        self._admission.offer(job)
        return exchange

    def withdraw(self, message):
        """Forget a request."""
        self._forget(message.id)

    def _take_verdict(self, message, verdict):
        payload = verdict.payload
        self._take(
            messages.Answer(
                id=message.id,
                request=message.request,
                outcome=verdict.outcome,
                reason=verdict.reason,
                retry_after_ms=verdict.retry_after_ms,
                size=len(payload),
                checksum=xxhash.xxh64_intdigest(payload),
                in_flight=self._admission.in_flight,
                payload=payload,
            )
        )


class Table:
    """Links that all serve the service."""

    def __init__(self, made):
        self._links = made

    def list_serving(self, service):
        """Return all links."""
        return self._links


class RandomRouter(routing.EndpointRouter):
    """Baseline: any endpoint, no limit at the entry."""

    def _pass_gate(self, call, deadline):
        return self._try_endpoints(call, deadline)

    def _choose(self, service, tried):
        serving = self._list_fresh(service, tried)
        return self._random.choice(serving) if serving else None

    def _list_fresh(self, service, tried):
        serving = self._links.list_serving(service)
        return [link for link in serving if link.name not in tried]


class RoundRobinRouter(RandomRouter):
    """Baseline: each endpoint in its turn."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._turns = itertools.count()

    def _choose(self, service, tried):
        serving = self._list_fresh(service, tried)
        return serving[next(self._turns) % len(serving)] if serving else None


class LeastRouter(RandomRouter):
    """Baseline: the endpoint with the fewest of our own requests."""

    def _choose(self, service, tried):
        serving = self._list_fresh(service, tried)
        return min(serving, key=lambda link: link.view.sent, default=None)


@dataclasses.dataclass(slots=True)
class Arrival:
    """One scheduled request."""

    when: float = 0.0
    caller: str = ''


@dataclasses.dataclass(slots=True)
class Figures:
    """What came of one run."""

    p50: float = 0.0
    p99: float = 0.0
    good: float = 0.0
    answered: int = 0
    refused: int = 0
    total: int = 0


class Run:
    """One policy under one schedule."""

    def __init__(self, policy, slow=0):
        self._clock = clock.SystemClock()
        self._admissions = []
        vms = [fixtures.make_vm(number) for number in range(ENDPOINTS)]
        for number in range(ENDPOINTS):
            factor = SLOW_FACTOR if number < slow else 1.0
            runner = SleepingRunner(number, factor)
            made = admission.Admission(runner, SLOTS, QUEUE, self._clock)
            self._admissions.append(made.__enter__())
        self._routers = [
            policy(
                Table(
                    [
                        DirectLink(vm, made, self._clock)
                        for vm, made in zip(vms, self._admissions, strict=True)
                    ]
                ),
                self._clock,
                f'zone-{number}',
                lambda *_: None,
            )
            for number in range(ENTRIES)
        ]
        self._lock = threading.Lock()
        self._rows = []

    def run(self, schedule):
        """Send the schedule; returns rows of arrival, result, seconds."""
        with concurrent.futures.ThreadPoolExecutor(_THREADS) as pool:
            began = time.monotonic()
            for number, arrival in enumerate(schedule):
                wait = began + arrival.when - time.monotonic()
                if wait > 0:
                    time.sleep(wait)
                pool.submit(self._send, number, arrival, began)
        for made in self._admissions:
            made.__exit__()
        return self._rows

    def _send(self, number, arrival, began):
        call = callers.Call(
            ids.make_id(), _SERVICE, True, DEADLINE_MS, b'x', arrival.caller
        )
        done = self._routers[number % ENTRIES].route(call)
        seconds = time.monotonic() - began - arrival.when
        with self._lock:
            self._rows.append((arrival, done, seconds))


def make_schedule(share, seed=1, parts=1, noisy=0.0):
    """Return arrivals at a share of the capacity.

    :param parts: callers that share the load equally
    :param noisy: a share of the capacity more, by one more caller
    """
    rnd = random.Random(seed)
    arrivals = []
    for rate, names in (
        (share * CAPACITY, [f'caller-{n}' for n in range(parts)]),
        (noisy * CAPACITY, ['noisy']),
    ):
        when = 0.0
        while rate and when < SECONDS:
            when += rnd.expovariate(rate)
            arrivals.append(Arrival(when, rnd.choice(names)))
    return sorted(arrivals, key=lambda arrival: arrival.when)


def measure(policy, schedule, slow=0, skip_caller=''):
    """Run a policy and return its :class:`Figures`, warm-up left out.

    A request that was not answered counts as one that took until the
    deadline, so that no policy looks fast by refusing.
    """
    made = histogram.HdrHistogram(1, 60_000_000, 3)
    figures = Figures()
    for arrival, done, seconds in Run(policy, slow).run(schedule):
        if arrival.when < WARM_SECONDS or arrival.caller == skip_caller:
            continue
        figures.total += 1
        if done.outcome != data.Outcome.ANSWERED:
            figures.refused += 1
            # Whoever got no answer waited in vain: the worst there is.
            made.record_value(DEADLINE_MS * 1000)
            continue
        figures.answered += 1
        figures.good += seconds * 1000 <= DEADLINE_MS
        made.record_value(max(1, int(seconds * 1e6)))
    figures.good /= SECONDS - WARM_SECONDS
    figures.p50 = made.get_value_at_percentile(50) / 1000
    figures.p99 = made.get_value_at_percentile(99) / 1000
    return figures


POLICIES = {
    'random': RandomRouter,
    'round robin': RoundRobinRouter,
    'least connections': LeastRouter,
    'portwharf': routing.EndpointRouter,
}


def _show(name, figures):
    print(
        f'{name:34} p50 {figures.p50:7.1f} ms  p99 {figures.p99:8.1f} ms  '
        f'good {figures.good:6.0f}/s  not answered {figures.refused:5d} of '
        f'{figures.total}',
        flush=True,
    )


def _check(name, value, most=None, least=None):
    good = (most is None or value <= most) and (
        least is None or value >= least
    )
    bound = f'at most {most}' if most is not None else f'at least {least}'
    verdict = 'good' if good else 'MISSED'
    print(f'  {name}: {value:.2f} ({bound}) {verdict}', flush=True)
    return good


def bench_slow_endpoint():
    """One endpoint in eleven is ten times slower, at 60% load."""
    schedule = make_schedule(0.6)
    healthy = measure(routing.EndpointRouter, schedule)
    _show('portwharf, all healthy', healthy)
    found = {}
    for name, policy in POLICIES.items():
        found[name] = measure(policy, schedule, slow=1)
        _show(f'{name}, one slow', found[name])
    ours = found['portwharf'].p99
    return [
        _check('p99 to all healthy', ours / healthy.p99, most=1.3),
        _check(
            'p99 to round robin', ours / found['round robin'].p99, most=0.5
        ),
    ]


def bench_overload():
    """Half more arrives than can be done."""
    schedule = make_schedule(1.5)
    found = {}
    for name in ('least connections', 'portwharf'):
        found[name] = measure(POLICIES[name], schedule)
        _show(f'{name}, 1.5 times capacity', found[name])
    good = found['portwharf'].good / CAPACITY
    return [_check('goodput to capacity', good, least=0.9)]


def bench_noisy_caller():
    """One caller sends ten times its share beside nine modest ones."""
    alone = make_schedule(0.45, parts=9)
    noisy = make_schedule(0.45, parts=9, noisy=0.5)
    before = measure(routing.EndpointRouter, alone)
    _show('nine callers', before)
    after = measure(routing.EndpointRouter, noisy, skip_caller='noisy')
    _show('the same beside a noisy one', after)
    base = measure(LeastRouter, noisy, skip_caller='noisy')
    _show('the same, least connections', base)
    return [
        _check('p99 to that without', after.p99 / before.p99, most=1.1),
        _check('refused to sent', after.refused / after.total, most=0.01),
    ]


def bench_decision():
    """What choosing an endpoint costs."""
    now = clock.SystemClock()
    made = [
        DirectLink(fixtures.make_vm(n), None, now) for n in range(ENDPOINTS)
    ]
    router = routing.EndpointRouter(
        Table(made), now, 'zone-0', lambda *_: None
    )
    count = 20_000
    began = time.process_time()
    for _ in range(count):
        router._gate.enter(_SERVICE, 'x')
        link = router._choose(_SERVICE, set())
        router._ratings.observe(link.name, data.Outcome.ANSWERED, '', 0.05)
        router._gate.note_load(_SERVICE, 1, SLOTS)
        router._gate.leave(_SERVICE, 'x')
    spent = 1e6 * (time.process_time() - began) / count
    return [_check('microseconds a decision', spent, most=60)]


def main():
    """Run all benchmarks, or those that the arguments name."""
    benches = {
        'slow': bench_slow_endpoint,
        'overload': bench_overload,
        'noisy': bench_noisy_caller,
        'decision': bench_decision,
    }
    good = True
    for name in sys.argv[1:] or benches:
        good = all(benches[name]()) and good
    return 0 if good else 1


if __name__ == '__main__':
    sys.exit(main())
