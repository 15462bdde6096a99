# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""How fast services use up their error budgets.

Each entry counts its requests in buckets of a minute for a day, so that
the report needs no store; a new entry starts at zero. A request counts
against the budget when it was not answered, or answered later than the
service's target. Rates over several windows tell a short burst from a slow
leak.
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
    """Requests of one service in one minute.

    :param start: seconds on the counting process's wall clock
    :param bad: late, or not answered
    """

    start: int = 0
    total: int = 0
    bad: int = 0


@dataclasses.dataclass(slots=True)
class ServiceBuckets:
    """The buckets of one service, oldest first."""

    service: str = ''
    buckets: list[Bucket] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Window:
    """How a service did over a window."""

    seconds: int = 0
    total: int = 0
    bad: int = 0
    rate: float = 0.0


@dataclasses.dataclass(slots=True)
class Burn:
    """A service's burn.

    :param exhausted_in: seconds until no budget is left, 0 for never
    """

    service: str = ''
    target_ms: int = 0
    target_ratio: float = 0.0
    windows: list = dataclasses.field(default_factory=list)
    budget_left: float = 1.0
    exhausted_in: int = 0


class BurnCounter:
    """Counts requests by service and minute."""

    def __init__(self, clock, find_target):
        """Take a clock and a function from service to Target or None."""
        self._clock = clock
        self._find_target = find_target
        self._lock = threading.Lock()
        self._services = collections.defaultdict(collections.deque)

    def observe(self, service, outcome, seconds):
        """Count one request."""
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


def compute_burn(service, target, buckets, now):
    """Work out a service's burn.

    :param target: an object with ``ms`` and ``ratio``
    :param buckets: of all entries together
    :param now: wall time in seconds
    :returns: a :class:`Burn`
    """
    budget = 1 - target.ratio
    burn = Burn(service, target.ms, target.ratio)
    for seconds in WINDOWS_SECONDS:
        burn.windows.append(_sum_window(buckets, seconds, now, budget))
    period = burn.windows[-1]
    if period.total:
        allowed = period.total * budget
        burn.budget_left = max(0.0, 1 - period.bad / allowed)
    burn.exhausted_in = _predict_end(burn)
    return burn


def _sum_window(buckets, seconds, now, budget):
    window = Window(seconds)
    for bucket in buckets:
        if bucket.start + BUCKET_SECONDS > now - seconds:
            window.total += bucket.total
            window.bad += bucket.bad
    if window.total:
        window.rate = window.bad / window.total / budget
    return window


def _predict_end(burn):
    """Return seconds until the budget is gone at the latest rate."""
    rate = burn.windows[0].rate
    if rate <= 1:
        return 0
    return max(1, int(burn.budget_left * PERIOD_SECONDS / rate))
