# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Adaptive concurrency limits for the requests of each service at an entry.

The limit follows the average load that the endpoints report: it decreases
while they queue and grows while they have free slots, so that callers are
refused at once and back off instead of filling queues. Below the limit all
requests are admitted. Above it the limit is divided by max-min fairness: a
caller that needs less than an equal share gets all it needs, and the rest is
divided among the others. A noisy caller thus has its own requests refused,
and not those of others.
"""

import collections
import dataclasses
import enum
import threading

MIN_LIMIT = 4.0
MAX_LIMIT = 4096.0
# Target average load of the endpoints, in requests per slot: high enough to
# keep every slot busy, low enough to keep queues short.
TARGET_LOAD = 1.6
# Weight of the latest sample in the average load.
_LOAD_SMOOTHING = 0.05
_DECREASE_FACTOR = 0.98
# Minimum interval between two decreases.
_DECREASE_INTERVAL_SECONDS = 0.05
# Callers within their fair share may together exceed the limit by this factor.
OVERDRAFT_FACTOR = 2.0
RETRY_AFTER_MS = 200


@dataclasses.dataclass(slots=True)
class _ServiceState:
    """Limit and requests in flight of one service.

    :param total: requests in flight from this entry
    :param callers: requests in flight by caller
    :param shrunk: monotonic time of the last decrease
    :param load: smoothed load of the endpoints, in requests per slot
    """

    limit: float = 64.0
    total: int = 0
    callers: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    shrunk: float = 0.0
    load: float = 0.0


class AdmissionDecision(enum.Enum):
    """Decision on a request."""

    REFUSED = 0
    ADMITTED = 1
    # The request is admitted above the caller's share; sides queue it behind
    # the others.
    EXCESS = 2


class ConcurrencyLimiter:
    """Concurrency limits of all services at one entry."""

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._services = {}

    def admit(self, service, caller):
        """Admit or refuse a request.

        :returns: an :class:`AdmissionDecision`; unless it is REFUSED,
            :meth:`release` must follow when the request ends
        """
        with self._lock:
            state = self._services.setdefault(service, _ServiceState())
            if not self._admits(state, caller):
                return AdmissionDecision.REFUSED
            state.total += 1
            state.callers[caller] += 1
            share = state.limit / len(state.callers)
            if state.callers[caller] > share:
                return AdmissionDecision.EXCESS
            return AdmissionDecision.ADMITTED

    def release(self, service, caller):
        """Record the end of an admitted request."""
        with self._lock:
            state = self._services[service]
            state.total -= 1
            state.callers[caller] -= 1
            if state.callers[caller] <= 0:
                del state.callers[caller]

    def record_load(self, service, in_flight, slots):
        """Adjust a service's limit by the load that an endpoint reports."""
        now = self._clock.read_monotonic()
        with self._lock:
            state = self._services.setdefault(service, _ServiceState())
            state.load += _LOAD_SMOOTHING * (
                in_flight / max(1, slots) - state.load
            )
            if state.load <= TARGET_LOAD:
                if state.total >= state.limit / 2:
                    state.limit = min(MAX_LIMIT, state.limit + 1 / state.limit)
            elif now - state.shrunk >= _DECREASE_INTERVAL_SECONDS:
                state.shrunk = now
                state.limit = max(MIN_LIMIT, state.limit * _DECREASE_FACTOR)

    def _admits(self, state, caller):
        if state.total < state.limit:
            return True
        if state.total >= state.limit * OVERDRAFT_FACTOR:
            return False
        mine = state.callers.get(caller, 0) + 1
        others = [
            count for name, count in state.callers.items() if name != caller
        ]
        return mine <= compute_share([mine, *others], state.limit)


def compute_share(demands, limit):
    """Return the max-min fair share of a limit.

    Demands below the share are met in full. The others get the share each,
    and all together use up the limit.

    :param demands: non-empty list of numbers
    """
    left = limit
    rest = len(demands)
    for demand in sorted(demands):
        if demand * rest >= left:
            break
        left -= demand
        rest -= 1
    return left / max(1, rest)
