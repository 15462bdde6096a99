# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What an entry has learnt of the endpoints from their answers.

An endpoint is rated by how long it takes and how often it fails. The time
counts as at least the age of its oldest unanswered request, so that one
that hangs is noticed before it answers; without news it drifts back to
what is usual, so that one that has recovered is found out by a request or
two. One that fails what others do not fail is left out for a while, longer
each time, but never more than half of them: when everything fails the
fault is elsewhere, and leaving all out would help nobody.
"""

import dataclasses
import random
import statistics
import threading

from portwharf.core import data

# Weight of the newest observation.
_NEWEST = 0.15
# Seconds after which half of an endpoint's difference is forgotten.
HALF_LIFE_SECONDS = 8.0
# Seconds in which a new endpoint comes to its full share.
SLOW_START_SECONDS = 8.0
_SLOW_START_WEIGHT = 4.0
# Failures in a row, and share of failures, for leaving an endpoint out.
EJECT_FAILURES = 5
EJECT_SHARE = 0.5
_EJECT_TIMES_USUAL = 3.0
EJECT_SECONDS = 4.0
LONGEST_EJECT_SECONDS = 60.0
MAX_EJECTED_SHARE = 0.5
# An endpoint is taken to need at least this long.
_FLOOR_SECONDS = 0.001
# What an endpoint says of its queue is no failure of its.
_NO_FAILURE = frozenset(('queue-is-full', 'endpoint-is-leaving'))


@dataclasses.dataclass(slots=True)
class Rating:
    """One endpoint, by its answers.

    :param seconds: how long it takes, smoothed; None before any answer
    :param failures: share of failures, smoothed
    :param row: failures in a row
    """

    joined: float = 0.0
    seconds: float = None
    observed: float = 0.0
    failures: float = 0.0
    row: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


class Ratings:
    """The ratings of all endpoints at one entry."""

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._ratings = {}
        self._usual = 0.05
        self._random = random.Random()

    def observe(self, name, outcome, reason, seconds):
        """Learn from what became of one sending."""
        now = self._clock.read_monotonic()
        with self._lock:
            rating = self._get(name, now)
            if outcome == data.Outcome.ANSWERED:
                self._note_time(rating, seconds, now)
            if outcome == data.Outcome.NOT_RUN and reason in _NO_FAILURE:
                return
            failed = outcome != data.Outcome.ANSWERED
            rating.failures += _NEWEST * (failed - rating.failures)
            rating.row = rating.row + 1 if failed else 0
            if failed:
                self._eject_if_due(rating, now)
            elif now >= rating.ejected_until:
                rating.ejections = 0

    def choose_usable(self, links):
        """Return the links whose endpoints are not left out.

        All of them, if too many would be left out.
        """
        now = self._clock.read_monotonic()
        with self._lock:
            usable = [
                link
                for link in links
                if self._get(link.name, now).ejected_until <= now
            ]
        if len(usable) < len(links) * (1 - MAX_EJECTED_SHARE):
            return links
        return usable or links

    def estimate(self, link):
        """Return how long a request sent now would take, in seconds."""
        now = self._clock.read_monotonic()
        with self._lock:
            rating = self._get(link.name, now)
            seconds = self._age(rating, now)
            joined = rating.joined
        seconds = max(seconds, link.measure_oldest(now), _FLOOR_SECONDS)
        view = link.view
        load = max(view.sent, view.state.in_flight) + 1
        wait = max(1.0, load / max(1, view.state.slots))
        crowd = load / max(1, view.state.slots)
        return seconds * (wait + crowd) * _slow_start(now - joined)

    def _get(self, name, now):
        rating = self._ratings.get(name)
        if rating is None:
            # What is there when the entry starts is not new.
            rating = Rating(joined=now if self._ratings else -1e9)
            self._ratings[name] = rating
        return rating

    def _note_time(self, rating, seconds, now):
        known = self._age(rating, now)
        if rating.seconds is None:
            known = seconds
        rating.seconds = known + _NEWEST * (seconds - known)
        rating.observed = now
        self._usual += 0.01 * (seconds - self._usual)

    def _age(self, rating, now):
        """Return an endpoint's time, drifting back to what is usual."""
        if rating.seconds is None:
            return self._usual
        kept = 0.5 ** ((now - rating.observed) / HALF_LIFE_SECONDS)
        return self._usual + (rating.seconds - self._usual) * kept

    def _eject_if_due(self, rating, now):
        if rating.row < EJECT_FAILURES or rating.failures < EJECT_SHARE:
            return
        usual = statistics.median(
            one.failures for one in self._ratings.values()
        )
        if rating.failures < _EJECT_TIMES_USUAL * usual:
            return
        seconds = EJECT_SECONDS * 2**rating.ejections
        seconds = min(seconds, LONGEST_EJECT_SECONDS)
        rating.ejected_until = now + seconds * self._random.uniform(0.8, 1.2)
        rating.ejections += 1
        # One more failure after that is enough.
        rating.row = EJECT_FAILURES - 1


def _slow_start(age):
    """Return how much dearer a new endpoint is made, 1 for an old one."""
    if age >= SLOW_START_SECONDS:
        return 1.0
    return 1.0 + _SLOW_START_WEIGHT * (1 - age / SLOW_START_SECONDS)
