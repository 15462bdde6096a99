# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Burn rates of the services' error budgets.

Each entry counts its requests in one-minute buckets and keeps them in memory
for a day; a new entry starts at zero. A request counts against the budget if
it was not answered or was answered later than the service's target. Burn
rates over several windows distinguish a short burst from a slow leak.
"""

import collections
import dataclasses
import threading

from portwharf.core import data

BUCKET_SECONDS = 60
PERIOD_SECONDS = 24 * 3600
WINDOWS_SECONDS = (300, 3600, 6 * 3600, PERIOD_SECONDS)


@dataclasses.dataclass(slots=True)
class Bucket:
    """The number of requests to one service in one minute.

    :param start: the start of the minute in Unix seconds, on the clock of
        the entry that counts
    :param bad: requests that were answered late or not at all
    """

    start: int = 0
    total: int = 0
    bad: int = 0


@dataclasses.dataclass(slots=True)
class ServiceBuckets:
    """The buckets of one service, sorted from oldest to newest."""

    service: str = ''
    buckets: list[Bucket] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Window:
    """The requests to a service and its burn rate over a window.

    :param seconds: the length of the window
    :param bad: requests that were answered late or not at all
    :param rate: the burn rate; at 1, the budget lasts exactly its period
    """

    seconds: int = 0
    total: int = 0
    bad: int = 0
    rate: float = 0.0


@dataclasses.dataclass(slots=True)
class BurnRates:
    """The state of a service's error budget.

    :param target_ratio: the ratio of requests to be answered in time
    :param windows: a :class:`Window` for each of ``WINDOWS_SECONDS``
    :param budget_left: the remaining share of the budget, 0 to 1
    :param exhausted_in: seconds until no budget is left at the current rate,
        0 if the rate is sustainable
    """

    service: str = ''
    target_ms: int = 0
    target_ratio: float = 0.0
    windows: list = dataclasses.field(default_factory=list)
    budget_left: float = 1.0
    exhausted_in: int = 0


class BurnRateCounter:
    """Counts requests by service and minute; thread-safe."""

    def __init__(self, clock, find_target):
        """Create a counter without requests.

        :param clock: a ``clock.Clock``
        :param find_target: a function that returns the target of a service,
            an object with ``ms``, or None
        """
        self._clock = clock
        self._find_target = find_target
        self._lock = threading.Lock()
        self._services = collections.defaultdict(collections.deque)

    def observe(self, service, outcome, seconds):
        """Count one request.

        :param outcome: a ``data.Outcome``
        :param seconds: the time that the request took
        """
        target = self._find_target(service)
        bad = outcome != data.Outcome.ANSWERED
        if target is not None:
            bad = bad or seconds * 1000 > target.ms
        now = self._clock.read_unix_ms() // 1000
        start = now - now % BUCKET_SECONDS
        with self._lock:
            buckets = self._services[service]
            if not buckets or buckets[-1].start != start:
                buckets.append(Bucket(start))
            buckets[-1].total += 1
            buckets[-1].bad += bad
            while buckets[0].start < now - PERIOD_SECONDS:
                buckets.popleft()

    def list_services(self):
        """Return a :class:`ServiceBuckets` for each service."""
        with self._lock:
            return [
                ServiceBuckets(name, [dataclasses.replace(b) for b in buckets])
                for name, buckets in self._services.items()
            ]


def compute_burn_rates(service, target, buckets, now):
    """Compute the burn rates of a service.

    :param target: an object with ``ms`` and ``ratio``
    :param buckets: the buckets of all entries, in any order
    :param now: wall time, in Unix seconds
    :returns: a :class:`BurnRates`
    """
    budget = 1 - target.ratio
    burn = BurnRates(service, target.ms, target.ratio)
    for seconds in WINDOWS_SECONDS:
        burn.windows.append(_compute_window(buckets, seconds, now, budget))
    period = burn.windows[-1]
    if period.total:
        allowed = period.total * budget
        burn.budget_left = max(0.0, 1 - period.bad / allowed)
    burn.exhausted_in = _predict_exhaustion_seconds(burn)
    return burn


def _compute_window(buckets, seconds, now, budget):
    window = Window(seconds)
    for bucket in buckets:
        if bucket.start + BUCKET_SECONDS > now - seconds:
            window.total += bucket.total
            window.bad += bucket.bad
    if window.total:
        window.rate = window.bad / window.total / budget
    return window


def _predict_exhaustion_seconds(burn):
    """Return the seconds until the budget is used up, 0 for never.

    Assumes the burn rate of the shortest window.
    """
    rate = burn.windows[0].rate
    if rate <= 1:
        return 0
    return max(1, int(burn.budget_left * PERIOD_SECONDS / rate))
