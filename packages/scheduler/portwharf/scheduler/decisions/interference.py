# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""How much batch work slows services down, learnt from late measurements.

For each service the logarithm of its time is taken as a sum: a base, a part
that grows with the service's own load, and for each kind of batch work
beside it a part that grows with the number of its tasks and the load. Each
part has a mean and a variance, kept by a Kalman filter without cross terms:
a few numbers a pair, one short pass a measurement. Unknown pairs begin with
a prior; variance is added with time, so that a pair that shifts is learnt
anew.

A measurement tells of the past. It is joined to what ran on its VM when it
was taken, from a record of the last minutes.
"""

import collections
import dataclasses
import math

# Priors: mean and variance of each part, in natural logarithms.
PRIOR_PAIR = 0.04
PRIOR_PAIR_VARIANCE = 0.06**2
_PRIOR_BASE_VARIANCE = 4.0
_PRIOR_LOAD = 0.5
_PRIOR_LOAD_VARIANCE = 0.5
# Variance of a measurement, and what a part gains by each measurement.
_NOISE = 0.15**2
_DRIFT = 2e-6
# A pair weighs this much with no load, and more with it.
_IDLE_WEIGHT = 0.25
# Seconds of what ran that are kept, for measurements to be joined to.
RECORD_SECONDS = 120.0
_BASE = ('base', '')
_LOAD = ('load', '')
# The highest share of all kinds that are told apart, for bounded memory.
MAX_KINDS = 64


@dataclasses.dataclass(slots=True)
class Estimate:
    """A predicted time and how sure it is, in natural logarithms."""

    log_seconds: float = 0.0
    deviation: float = 0.0

    def bound(self, caution):
        """Return the time, with some deviations more, in seconds."""
        return math.exp(self.log_seconds + caution * self.deviation)


@dataclasses.dataclass(slots=True)
class _Part:
    """One part of a service's time."""

    mean: float = 0.0
    variance: float = 0.0


class Timeline:
    """What ran on each VM, lately."""

    def __init__(self):
        self._rows = collections.defaultdict(collections.deque)

    def note(self, vm, kinds, now):
        """Note what runs on a VM from now on.

        :param kinds: Counter of kinds of batch work, throttled tasks
            counting less
        """
        rows = self._rows[vm]
        if rows and rows[-1][1] == kinds:
            return
        rows.append((now, dict(kinds)))
        while len(rows) > 1 and rows[1][0] < now - RECORD_SECONDS:
            rows.popleft()

    def find(self, vm, when):
        """Return what ran on a VM at a time, or None if it is not known."""
        found = None
        for began, kinds in self._rows[vm]:
            if began > when:
                break
            found = kinds
        return found


class Model:
    """What has been learnt of all services."""

    def __init__(self):
        self._parts = collections.defaultdict(dict)

    def observe(self, service, load, kinds, seconds):
        """Learn from one measurement.

        :param load: the service's share of its slots in use, 0 to 1 and
            more
        :param kinds: what ran beside it, as :meth:`Timeline.find` gives
        """
        parts = self._parts[service]
        rows = self._list_weights(service, load, kinds)
        expected = sum(parts[name].mean * weight for name, weight in rows)
        spread = _NOISE + sum(
            parts[name].variance * weight**2 for name, weight in rows
        )
        error = math.log(max(1e-6, seconds)) - expected
        for name, weight in rows:
            part = parts[name]
            gain = part.variance * weight / spread
            part.mean += gain * error
            part.variance *= 1 - gain * weight
            part.variance += _DRIFT
            if name not in (_BASE, _LOAD):
                part.mean = max(0.0, part.mean)

    def predict(self, service, load, kinds):
        """Return the :class:`Estimate` of a service's time."""
        parts = self._parts[service]
        estimate = Estimate()
        variance = 0.0
        for name, weight in self._list_weights(service, load, kinds):
            part = parts[name]
            estimate.log_seconds += part.mean * weight
            variance += part.variance * weight**2
        estimate.deviation = math.sqrt(variance)
        return estimate

    def get_weight(self, service, kind, load):
        """Return what one task of a kind adds to a service's log time."""
        self._list_weights(service, load, {kind: 1.0})
        parts = self._parts[service]
        part = parts[_find_part(parts, kind)]
        return part.mean * (_IDLE_WEIGHT + load)

    def _list_weights(self, service, load, kinds):
        """Return names and weights of the parts that count now."""
        parts = self._parts[service]
        if not parts:
            parts[_BASE] = _Part(math.log(0.05), _PRIOR_BASE_VARIANCE)
            parts[_LOAD] = _Part(_PRIOR_LOAD, _PRIOR_LOAD_VARIANCE)
        rows = [(_BASE, 1.0), (_LOAD, load)]
        for kind, count in kinds.items():
            name = _find_part(parts, kind)
            if name not in parts:
                parts[name] = _Part(PRIOR_PAIR, PRIOR_PAIR_VARIANCE)
            rows.append((name, count * (_IDLE_WEIGHT + load)))
        return rows


def _find_part(parts, kind):
    """Return the name of a kind's part; kinds beyond the most share one."""
    name = ('kind', kind)
    if name in parts or len(parts) < MAX_KINDS:
        return name
    return ('kind', '')
