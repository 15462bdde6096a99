# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Open-loop benchmarks of request routing (``make bench-requests``).

Runs the production router, ratings, gate and admission in one process, with
runners that sleep instead of computing, so that results depend little on the
machine's speed. Requests follow a seeded schedule that does not wait for
earlier ones, and latency counts from the scheduled arrival. Simpler baseline
policies run on the same schedule. Bounds are on ratios.
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
from portwharf.entry import side_links
from portwharf.peers import messages
from portwharf.side import admission
from portwharf.testing import fixtures

ENDPOINT_COUNT = 11
SLOTS = 8
QUEUE_LENGTH = 32
ENTRY_COUNT = 3
MEDIAN_SERVICE_SECONDS = 0.08
LOG_SIGMA = 0.5
SLOW_FACTOR = 10
DURATION_SECONDS = 12.0
WARM_UP_SECONDS = 4.0
DEADLINE_MS = 3000
_CLIENT_THREADS = 900
_SERVICE = 'lens/fit-check'
# Mean of the lognormal service time.
_MEAN_SERVICE_SECONDS = MEDIAN_SERVICE_SECONDS * 2.718281828 ** (
    LOG_SIGMA**2 / 2
)
CAPACITY_PER_SECOND = ENDPOINT_COUNT * SLOTS / _MEAN_SERVICE_SECONDS


class SleepingRunner(endpoints.Runner):
    """A runner that sleeps for a random service time."""

    def __init__(self, seed, factor):
        self._random = random.Random(seed)
        self._factor = factor
        self._lock = threading.Lock()

    def run(self, request, service, payload, timeout):
        with self._lock:
            seconds = self._random.lognormvariate(0, LOG_SIGMA)
        time.sleep(seconds * MEDIAN_SERVICE_SECONDS * self._factor)
        return endpoints.RunnerAnswer(whole=True, payload=payload)


class DirectLink(side_links.SideLink):
    """A link that passes requests to an admission queue in this process."""

    def __init__(self, vm, admission_queue, system_clock):
        super().__init__(vm, None, None, system_clock)
        self._admission = admission_queue
        self.view.up = True
        self.view.state.slots = SLOTS

    def send_request(self, message, payload=b''):
        """Offer a request to the admission queue; returns its exchange."""
        exchange = side_links.Exchange(self._clock.read_monotonic())
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
        """Withdraw a request; its answer is ignored."""
        self._forget(message.id)

    def _take_verdict(self, message, verdict):
        payload = verdict.payload
        self._handle_message(
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


class StaticLinkTable:
    """A link table in which every link serves every service."""

    def __init__(self, links):
        self._links = links

    def list_serving(self, service):
        """Return all links."""
        return self._links


class RandomRouter(routing.EndpointRouter):
    """Baseline: a random endpoint, without a limit at the entry."""

    def _route_admitted(self, call, deadline):
        return self._try_endpoints(call, deadline)

    def _select_endpoint(self, service, tried):
        serving = self._list_untried(service, tried)
        return self._random.choice(serving) if serving else None

    def _list_untried(self, service, tried):
        serving = self._links.list_serving(service)
        return [link for link in serving if link.name not in tried]


class RoundRobinRouter(RandomRouter):
    """Baseline: the endpoints in turn."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._turns = itertools.count()

    def _select_endpoint(self, service, tried):
        serving = self._list_untried(service, tried)
        return serving[next(self._turns) % len(serving)] if serving else None


class LeastConnectionsRouter(RandomRouter):
    """Baseline: the endpoint with the fewest requests of this entry."""

    def _select_endpoint(self, service, tried):
        serving = self._list_untried(service, tried)
        return min(serving, key=lambda link: link.view.sent, default=None)


@dataclasses.dataclass(slots=True)
class Arrival:
    """One scheduled request."""

    when: float = 0.0
    caller: str = ''


@dataclasses.dataclass(slots=True)
class Figures:
    """Results of one run.

    :param p50: median latency, in ms
    :param good: requests answered before their deadline, a second
    """

    p50: float = 0.0
    p99: float = 0.0
    good: float = 0.0
    answered: int = 0
    refused: int = 0
    total: int = 0


class Run:
    """Runs one policy against one schedule."""

    def __init__(self, policy, slow_endpoints=0):
        self._clock = clock.SystemClock()
        self._admissions = []
        vms = [fixtures.make_vm(number) for number in range(ENDPOINT_COUNT)]
        for number in range(ENDPOINT_COUNT):
            factor = SLOW_FACTOR if number < slow_endpoints else 1.0
            runner = SleepingRunner(number, factor)
            admission_queue = admission.Admission(
                runner, SLOTS, QUEUE_LENGTH, self._clock
            )
            self._admissions.append(admission_queue.__enter__())
        self._routers = [
            policy(
                StaticLinkTable(
                    [
                        DirectLink(vm, admission_queue, self._clock)
                        for vm, admission_queue in zip(
                            vms, self._admissions, strict=True
                        )
                    ]
                ),
                self._clock,
                f'zone-{number}',
                lambda *_: None,
            )
            for number in range(ENTRY_COUNT)
        ]
        self._lock = threading.Lock()
        self._rows = []

    def run(self, schedule):
        """Send all requests.

        :returns: list of (arrival, result, latency in seconds)
        """
        with concurrent.futures.ThreadPoolExecutor(_CLIENT_THREADS) as pool:
            started = time.monotonic()
            for number, arrival in enumerate(schedule):
                wait_seconds = started + arrival.when - time.monotonic()
                if wait_seconds > 0:
                    time.sleep(wait_seconds)
                pool.submit(self._send, number, arrival, started)
        for admission_queue in self._admissions:
            admission_queue.__exit__()
        return self._rows

    def _send(self, number, arrival, started):
        call = callers.Call(
            ids.make_id(), _SERVICE, True, DEADLINE_MS, b'x', arrival.caller
        )
        result = self._routers[number % ENTRY_COUNT].route(call)
        latency_seconds = time.monotonic() - started - arrival.when
        with self._lock:
            self._rows.append((arrival, result, latency_seconds))


def make_schedule(load, seed=1, caller_count=1, noisy_load=0.0):
    """Return a list of :class:`Arrival`, sorted by time.

    :param load: offered load, as a share of the capacity
    :param caller_count: number of callers that share the load equally
    :param noisy_load: load of one more caller, as a share of the capacity
    """
    rnd = random.Random(seed)
    arrivals = []
    for rate, names in (
        (
            load * CAPACITY_PER_SECOND,
            [f'caller-{n}' for n in range(caller_count)],
        ),
        (noisy_load * CAPACITY_PER_SECOND, ['noisy']),
    ):
        when = 0.0
        while rate and when < DURATION_SECONDS:
            when += rnd.expovariate(rate)
            arrivals.append(Arrival(when, rnd.choice(names)))
    return sorted(arrivals, key=lambda arrival: arrival.when)


def measure(policy, schedule, slow_endpoints=0, skip_caller=''):
    """Run a policy and return its :class:`Figures` without the warm-up.

    A request without an answer counts with the deadline as its latency, so
    that refusing requests does not improve a policy's percentiles.

    :param slow_endpoints: number of slow endpoints
    :param skip_caller: name of a caller whose requests are not counted
    """
    latencies = histogram.HdrHistogram(1, 60_000_000, 3)
    figures = Figures()
    for arrival, result, latency_seconds in Run(policy, slow_endpoints).run(
        schedule
    ):
        if arrival.when < WARM_UP_SECONDS or arrival.caller == skip_caller:
            continue
        figures.total += 1
        if result.outcome != data.Outcome.ANSWERED:
            figures.refused += 1
            latencies.record_value(DEADLINE_MS * 1000)
            continue
        figures.answered += 1
        figures.good += latency_seconds * 1000 <= DEADLINE_MS
        latencies.record_value(max(1, int(latency_seconds * 1e6)))
    figures.good /= DURATION_SECONDS - WARM_UP_SECONDS
    figures.p50 = latencies.get_value_at_percentile(50) / 1000
    figures.p99 = latencies.get_value_at_percentile(99) / 1000
    return figures


POLICIES = {
    'random': RandomRouter,
    'round robin': RoundRobinRouter,
    'least connections': LeastConnectionsRouter,
    'portwharf': routing.EndpointRouter,
}


def _print_figures(name, figures):
    print(
        f'{name:34} p50 {figures.p50:7.1f} ms  p99 {figures.p99:8.1f} ms  '
        f'good {figures.good:6.0f}/s  not answered {figures.refused:5d} of '
        f'{figures.total}',
        flush=True,
    )


def _check_bound(name, value, maximum=None, minimum=None):
    holds = (maximum is None or value <= maximum) and (
        minimum is None or value >= minimum
    )
    bound = (
        f'at most {maximum}' if maximum is not None else f'at least {minimum}'
    )
    verdict = 'good' if holds else 'MISSED'
    print(f'  {name}: {value:.2f} ({bound}) {verdict}', flush=True)
    return holds


def bench_slow_endpoint():
    """Measure latency with one slow endpoint, at 60% load."""
    schedule = make_schedule(0.6)
    healthy = measure(routing.EndpointRouter, schedule)
    _print_figures('portwharf, all healthy', healthy)
    by_policy = {}
    for name, policy in POLICIES.items():
        by_policy[name] = measure(policy, schedule, slow_endpoints=1)
        _print_figures(f'{name}, one slow', by_policy[name])
    ours = by_policy['portwharf'].p99
    return [
        _check_bound('p99 to all healthy', ours / healthy.p99, maximum=1.3),
        _check_bound(
            'p99 to round robin',
            ours / by_policy['round robin'].p99,
            maximum=0.5,
        ),
    ]


def bench_overload():
    """Measure goodput at 1.5 times the capacity."""
    schedule = make_schedule(1.5)
    by_policy = {}
    for name in ('least connections', 'portwharf'):
        by_policy[name] = measure(POLICIES[name], schedule)
        _print_figures(f'{name}, 1.5 times capacity', by_policy[name])
    goodput = by_policy['portwharf'].good / CAPACITY_PER_SECOND
    return [_check_bound('goodput to capacity', goodput, minimum=0.9)]


def bench_noisy_caller():
    """Measure nine callers beside one that sends ten times its share."""
    alone = make_schedule(0.45, caller_count=9)
    with_noisy = make_schedule(0.45, caller_count=9, noisy_load=0.5)
    before = measure(routing.EndpointRouter, alone)
    _print_figures('nine callers', before)
    after = measure(routing.EndpointRouter, with_noisy, skip_caller='noisy')
    _print_figures('the same beside a noisy one', after)
    least_connections = measure(
        LeastConnectionsRouter, with_noisy, skip_caller='noisy'
    )
    _print_figures('the same, least connections', least_connections)
    return [
        _check_bound(
            'p99 to that without', after.p99 / before.p99, maximum=1.1
        ),
        _check_bound(
            'refused to sent', after.refused / after.total, maximum=0.01
        ),
    ]


def bench_decision():
    """Measure the processor time of choosing an endpoint."""
    system_clock = clock.SystemClock()
    links = [
        DirectLink(fixtures.make_vm(n), None, system_clock)
        for n in range(ENDPOINT_COUNT)
    ]
    router = routing.EndpointRouter(
        StaticLinkTable(links), system_clock, 'zone-0', lambda *_: None
    )
    count = 20_000
    began = time.process_time()
    for _ in range(count):
        router._limiter.admit(_SERVICE, 'x')
        link = router._select_endpoint(_SERVICE, set())
        router._ratings.record_result(
            link.name, data.Outcome.ANSWERED, '', 0.05
        )
        router._limiter.record_load(_SERVICE, 1, SLOTS)
        router._limiter.release(_SERVICE, 'x')
    microseconds = 1e6 * (time.process_time() - began) / count
    return [_check_bound('microseconds a decision', microseconds, maximum=60)]


def main():
    """Run all benchmarks, or those named by the arguments."""
    benches = {
        'slow': bench_slow_endpoint,
        'overload': bench_overload,
        'noisy': bench_noisy_caller,
        'decision': bench_decision,
    }
    passed = True
    for name in sys.argv[1:] or benches:
        passed = all(benches[name]()) and passed
    return 0 if passed else 1


if __name__ == '__main__':
    sys.exit(main())
