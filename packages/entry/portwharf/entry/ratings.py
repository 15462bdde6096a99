# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Response-time estimates and outlier ejection of endpoints.

An endpoint is rated by its response time and its failures. Its response
time counts as at least the age of its oldest unanswered request, so that an
endpoint that hangs is noticed before it answers. Without new samples the
estimate decays to the typical time, so that a recovered endpoint gets
requests again. An endpoint that fails more often than the others is ejected,
each time for longer. If more than half were to be ejected, all are used: the
cause is then unlikely to be the endpoints.
"""

import dataclasses
import random
import statistics
import threading

from portwharf.core import data

# Weight of the latest sample.
_SMOOTHING = 0.15
# Half-life of the difference from the typical response time.
HALF_LIFE_SECONDS = 8.0
# A new endpoint reaches its full share of requests in this time.
SLOW_START_SECONDS = 8.0
_SLOW_START_WEIGHT = 4.0
# Consecutive failures and failure ratio that eject an endpoint, if its ratio
# also exceeds the median of all endpoints by _EJECT_MEDIAN_FACTOR.
EJECT_FAILURES = 5
EJECT_FAILURE_RATIO = 0.5
_EJECT_MEDIAN_FACTOR = 3.0
EJECT_SECONDS = 4.0
MAX_EJECT_SECONDS = 60.0
MAX_EJECTED_RATIO = 0.5
# Lower bound of an estimate.
_MIN_SECONDS = 0.001
# Reasons for NOT_RUN that do not count as failures.
_OVERLOAD_REASONS = frozenset(('queue-is-full', 'endpoint-is-leaving'))


@dataclasses.dataclass(slots=True)
class Rating:
    """Response time and failures of one endpoint.

    :param joined: monotonic time when the entry first saw it
    :param seconds: smoothed response time; None before the first answer
    :param observed: monotonic time of the last answer
    :param failures: smoothed failure ratio
    :param row: consecutive failures
    :param ejections: ejections since it last recovered
    :param ejected_until: monotonic time
    """

    joined: float = 0.0
    seconds: float = None
    observed: float = 0.0
    failures: float = 0.0
    row: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


class EndpointRatings:
    """Ratings of all endpoints at one entry."""

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._ratings = {}
        self._typical_seconds = 0.05
        self._random = random.Random()

    def record_result(self, name, outcome, reason, seconds):
        """Update an endpoint's rating by the result of one attempt."""
        now = self._clock.read_monotonic()
        with self._lock:
            rating = self._get_rating(name, now)
            if outcome == data.Outcome.ANSWERED:
                self._record_seconds(rating, seconds, now)
            if outcome == data.Outcome.NOT_RUN and reason in _OVERLOAD_REASONS:
                return
            failed = outcome != data.Outcome.ANSWERED
            rating.failures += _SMOOTHING * (failed - rating.failures)
            rating.row = rating.row + 1 if failed else 0
            if failed:
                self._eject_if_due(rating, now)
            elif now >= rating.ejected_until:
                rating.ejections = 0

    def list_usable(self, links):
        """Return the links to endpoints that are not ejected.

        Returns all links if too many are ejected.
        """
        now = self._clock.read_monotonic()
        with self._lock:
            usable = [
                link
                for link in links
                if self._get_rating(link.name, now).ejected_until <= now
            ]
        if len(usable) < len(links) * (1 - MAX_EJECTED_RATIO):
            return links
        return usable or links

    def estimate_seconds(self, link):
        """Return the expected response time of a request sent now.

        It includes the expected queueing and a penalty for new endpoints.
        """
        now = self._clock.read_monotonic()
        with self._lock:
            rating = self._get_rating(link.name, now)
            seconds = self._compute_seconds(rating, now)
            joined = rating.joined
        seconds = max(seconds, link.measure_oldest_age(now), _MIN_SECONDS)
        view = link.view
        load = max(view.sent, view.state.in_flight) + 1
        wait = max(1.0, load / max(1, view.state.slots))
        crowding = load / max(1, view.state.slots)
        return (
            seconds
            * (wait + crowding)
            * _compute_slow_start_factor(now - joined)
        )

    def _get_rating(self, name, now):
        rating = self._ratings.get(name)
        if rating is None:
            # The first endpoint of an entry that starts gets no slow start.
            rating = Rating(joined=now if self._ratings else -1e9)
            self._ratings[name] = rating
        return rating

    def _record_seconds(self, rating, seconds, now):
        known = self._compute_seconds(rating, now)
        if rating.seconds is None:
            known = seconds
        rating.seconds = known + _SMOOTHING * (seconds - known)
        rating.observed = now
        self._typical_seconds += 0.01 * (seconds - self._typical_seconds)

    def _compute_seconds(self, rating, now):
        """Return an endpoint's response time, decayed to the typical one."""
        if rating.seconds is None:
            return self._typical_seconds
        kept = 0.5 ** ((now - rating.observed) / HALF_LIFE_SECONDS)
        return (
            self._typical_seconds
            + (rating.seconds - self._typical_seconds) * kept
        )

    def _eject_if_due(self, rating, now):
        if (
            rating.row < EJECT_FAILURES
            or rating.failures < EJECT_FAILURE_RATIO
        ):
            return
        typical = statistics.median(
            known.failures for known in self._ratings.values()
        )
        if rating.failures < _EJECT_MEDIAN_FACTOR * typical:
            return
        seconds = EJECT_SECONDS * 2**rating.ejections
        seconds = min(seconds, MAX_EJECT_SECONDS)
        rating.ejected_until = now + seconds * self._random.uniform(0.8, 1.2)
        rating.ejections += 1
        # After the ejection a single failure is enough to eject it again.
        rating.row = EJECT_FAILURES - 1


def _compute_slow_start_factor(age):
    """Return the factor on the estimate of an endpoint of some age."""
    if age >= SLOW_START_SECONDS:
        return 1.0
    return 1.0 + _SLOW_START_WEIGHT * (1 - age / SLOW_START_SECONDS)
