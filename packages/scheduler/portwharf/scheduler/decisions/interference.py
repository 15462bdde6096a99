# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Learns how much each kind of batch work slows each service down.

The logarithm of a service's response time is modelled as a sum: a base, a term
proportional to the service's own load, and for each kind of batch work on its
VM a term proportional to the number of tasks and growing with the load. The
mean and variance of each coefficient are kept by a Kalman filter with a
diagonal covariance, which needs little memory and time. Coefficients start
from a prior; variance is added with each measurement, so that a coefficient
that changes is learnt anew.

Measurements arrive late. Each is joined to what ran on its VM when it was
taken, from a timeline of the last minutes.
"""

import collections
import dataclasses
import math

# Priors: mean and variance of each coefficient, in natural logarithms.
PRIOR_PAIR_MEAN = 0.04
PRIOR_PAIR_VARIANCE = 0.06**2
_PRIOR_BASE_VARIANCE = 4.0
_PRIOR_LOAD_MEAN = 0.5
_PRIOR_LOAD_VARIANCE = 0.5
# Variance of a measurement, and the variance that each measurement adds to the
# coefficients involved.
_NOISE_VARIANCE = 0.15**2
_DRIFT_VARIANCE = 2e-6
# Weight of a neighbour while the service has no load; the load is added to it.
_IDLE_WEIGHT = 0.25
# Length of the timeline that measurements are joined to.
HISTORY_SECONDS = 120.0
_BASE = ('base', '')
_LOAD = ('load', '')
# Coefficients kept for each service; kinds beyond them share one.
MAX_COEFFICIENTS = 64


@dataclasses.dataclass(slots=True)
class Estimate:
    """A predicted time and its standard deviation, in natural logarithms."""

    log_seconds: float = 0.0
    deviation: float = 0.0

    def bound(self, caution):
        """Return an upper bound of the time, in seconds.

        :param caution: how many deviations above the mean
        """
        return math.exp(self.log_seconds + caution * self.deviation)


@dataclasses.dataclass(slots=True)
class _Coefficient:
    """The estimate of one coefficient of a service's model."""

    mean: float = 0.0
    variance: float = 0.0


class Timeline:
    """Batch work that ran on each VM in the last minutes."""

    def __init__(self):
        self._rows = collections.defaultdict(collections.deque)

    def record(self, vm, kinds, now):
        """Record what runs on a VM from now on.

        :param kinds: Counter of kinds of batch work, where throttled tasks
            count less
        """
        rows = self._rows[vm]
        if rows and rows[-1][1] == kinds:
            return
        rows.append((now, dict(kinds)))
        while len(rows) > 1 and rows[1][0] < now - HISTORY_SECONDS:
            rows.popleft()

    def find_kinds(self, vm, when):
        """Return what ran on a VM at a time, or None if that is unknown."""
        found = None
        for began, kinds in self._rows[vm]:
            if began > when:
                break
            found = kinds
        return found


class Model:
    """The models of all services."""

    def __init__(self):
        self._coefficients = collections.defaultdict(dict)

    def observe(self, service, load, kinds, seconds):
        """Update a service's model with one measurement.

        :param load: used share of the service's slots, which may exceed 1
        :param kinds: what ran on its VM, as :meth:`Timeline.find_kinds`
            returns it
        :param seconds: its measured mean response time
        """
        coefficients = self._coefficients[service]
        terms = self._list_terms(service, load, kinds)
        expected = sum(
            coefficients[key].mean * weight for key, weight in terms
        )
        spread = _NOISE_VARIANCE + sum(
            coefficients[key].variance * weight**2 for key, weight in terms
        )
        error = math.log(max(1e-6, seconds)) - expected
        for key, weight in terms:
            coefficient = coefficients[key]
            gain = coefficient.variance * weight / spread
            coefficient.mean += gain * error
            coefficient.variance *= 1 - gain * weight
            coefficient.variance += _DRIFT_VARIANCE
            if key not in (_BASE, _LOAD):
                coefficient.mean = max(0.0, coefficient.mean)

    def predict(self, service, load, kinds):
        """Return the :class:`Estimate` of a service's response time."""
        coefficients = self._coefficients[service]
        estimate = Estimate()
        variance = 0.0
        for key, weight in self._list_terms(service, load, kinds):
            coefficient = coefficients[key]
            estimate.log_seconds += coefficient.mean * weight
            variance += coefficient.variance * weight**2
        estimate.deviation = math.sqrt(variance)
        return estimate

    def get_weight(self, service, kind, load):
        """Return what one task of a kind adds to a service's log time.

        :param load: as for :meth:`observe`
        """
        self._list_terms(service, load, {kind: 1.0})
        coefficients = self._coefficients[service]
        coefficient = coefficients[_find_coefficient(coefficients, kind)]
        return coefficient.mean * (_IDLE_WEIGHT + load)

    def _list_terms(self, service, load, kinds):
        """Return keys and weights of the coefficients that apply now."""
        coefficients = self._coefficients[service]
        if not coefficients:
            coefficients[_BASE] = _Coefficient(
                math.log(0.05), _PRIOR_BASE_VARIANCE
            )
            coefficients[_LOAD] = _Coefficient(
                _PRIOR_LOAD_MEAN, _PRIOR_LOAD_VARIANCE
            )
        terms = [(_BASE, 1.0), (_LOAD, load)]
        for kind, count in kinds.items():
            key = _find_coefficient(coefficients, kind)
            if key not in coefficients:
                coefficients[key] = _Coefficient(
                    PRIOR_PAIR_MEAN, PRIOR_PAIR_VARIANCE
                )
            terms.append((key, count * (_IDLE_WEIGHT + load)))
        return terms


def _find_coefficient(coefficients, kind):
    """Return the key of a kind's coefficient, shared beyond the limit."""
    key = ('kind', kind)
    if key in coefficients or len(coefficients) < MAX_COEFFICIENTS:
        return key
    return ('kind', '')
