# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Throttles and evicts batch tasks that put services' targets at risk.

The remedies escalate: nothing more is placed beside the service (placement
asks :meth:`Remedies.predict_effect`); then the task that slows it most,
relative to the cost of stopping that task, is throttled; then it is evicted.
After each action measurements get time to show its effect. Evictions are
rate-limited for the whole shard.
"""

import collections
import dataclasses

from portwharf.core import data

# A service's mean time is kept below its target by this factor, so that its
# slow requests meet the target as well. The operators' weights shift it: up
# for evictions and tail latency, down for batch throughput.
HEADROOM_FACTOR = 2.5
_HEADROOM_PER_WEIGHT = 0.02
_DEFAULT_TAIL_WEIGHT = 5.0
# Standard deviations that are added to a predicted time.
CAUTION_DEVIATIONS = 1.5
# Number of late measurements since the last good one before a task is
# throttled.
LATE_BEFORE_ACTION = 3
# Number of late measurements since the last good one before a throttled task
# is evicted. The operators' weight of evictions, if above 1, multiplies it.
LATE_BEFORE_EVICTION = 5
# Share of the target over the headroom factor below which a service has
# recovered.
RECOVERED_SHARE = 0.93
# Least time between two actions on one VM.
ACTION_INTERVAL_SECONDS = 24.0
THROTTLE_PERCENT = 50
# Token bucket of the shard's evictions: its size, and the time to refill one.
EVICTION_BURST = 4.0
EVICTION_REFILL_SECONDS = 10.0
PEAK_HALF_LIFE_SECONDS = 900.0
# Cost of an eviction beside the lost work: seconds of work for each earlier
# eviction of the task, and a factor for a task without checkpoints.
_PAST_EVICTION_SECONDS = 120.0
_NO_CHECKPOINT_FACTOR = 4.0


@dataclasses.dataclass(slots=True)
class Neighbour:
    """A batch task on a VM.

    :param kind: the key by which its interference is learnt
    :param seconds: how long this attempt has run
    :param evictions: how often it was evicted
    :param throttled: this owner has throttled it
    :param unsure: it may be throttled, by a former owner or because its
        release was lost
    """

    task: str = ''
    kind: str = ''
    seconds: float = 0.0
    importance: int = 0
    evictions: int = 0
    checkpointable: bool = False
    throttled: bool = False
    unsure: bool = False
    resources: data.Resources = dataclasses.field(
        default_factory=data.Resources
    )


@dataclasses.dataclass(slots=True)
class ServiceView:
    """A service's replica on a VM, as it was measured last.

    :param load: used share of its slots, which may exceed 1
    :param peak: its recent peak load, since placed tasks outlast a lull
    :param target: target of the response time in seconds, 0 for none
    """

    service: str = ''
    load: float = 0.0
    peak: float = 0.0
    target: float = 0.0


@dataclasses.dataclass(slots=True)
class Action:
    """A throttling, release or eviction of one task.

    :param percent: the pace to set, 0 to evict
    """

    task: str = ''
    vm: str = ''
    reason: str = ''
    percent: int = 0


class EvictionBudget:
    """Limits the rate of the shard's evictions by a token bucket.

    Without it, trouble on many VMs at once would cause a wave of evictions.
    """

    def __init__(self):
        self._tokens = EVICTION_BURST
        self._refilled_at = 0.0

    def take(self, now):
        """Take one eviction from the budget; return False if it is empty."""
        refill = max(0.0, now - self._refilled_at) / EVICTION_REFILL_SECONDS
        self._tokens = min(EVICTION_BURST, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class PeakLoadTracker:
    """Tracks peak loads, which decay with time."""

    def __init__(self):
        self._peaks = {}

    def record_load(self, name, load, now):
        """Record a load and return the peak.

        :param name: key of the service on its VM
        """
        peak, noted_at = self._peaks.get(name, (0.0, now))
        decayed = peak * 0.5 ** ((now - noted_at) / PEAK_HALF_LIFE_SECONDS)
        peak = max(load, decayed)
        self._peaks[name] = (peak, now)
        return peak


class Remedies:
    """Decides on remedies for all VMs of a shard."""

    def __init__(self, model):
        """Take an ``interference.Model``, or one with its interface."""
        self.model = model
        self.headroom = HEADROOM_FACTOR
        self.late_before_eviction = LATE_BEFORE_EVICTION
        self.eviction_budget = EvictionBudget()
        # Late measurements since the last good one, by VM and service.
        self._late = collections.Counter()
        # Time before which a VM gets no further action.
        self._next_action = collections.defaultdict(float)

    def set_weights(self, weights):
        """Adapt headroom and evictions to ``configuration.Weights``."""
        balance = weights.evictions - weights.batch_throughput
        balance += (weights.tail_latency - _DEFAULT_TAIL_WEIGHT) / 2
        self.headroom = HEADROOM_FACTOR * (1 + _HEADROOM_PER_WEIGHT * balance)
        self.late_before_eviction = LATE_BEFORE_EVICTION * max(
            1.0, weights.evictions
        )

    def predict_effect(self, services, kinds, kind):
        """Predict the effect of placing one more task beside services.

        :param services: list of :class:`ServiceView` on the VM
        :param kinds: Counter of kinds of batch work on the VM
        :param kind: kind of the task
        :returns: (whether all targets hold, growth of the services' log times)
        """
        cost = 0.0
        more = dict(kinds)
        more[kind] = more.get(kind, 0) + 1.0
        for view in services:
            load = max(view.load, view.peak)
            added = self.model.get_weight(view.service, kind, load)
            cost += added
            if not view.target or added <= 0.002:
                continue
            estimate = self.model.predict(view.service, load, more)
            if (
                estimate.bound(CAUTION_DEVIATIONS) * self.headroom
                > view.target
            ):
                return False, cost
        return True, cost

    def record_measured(self, vm, service, seconds, target):
        """Compare a measurement with a service's target.

        :param seconds: the measured mean response time
        :param target: the target in seconds, 0 for none
        """
        name = (vm, service)
        if not target:
            return
        if seconds * self.headroom > target:
            self._late[name] += 1
        elif seconds * self.headroom < target * RECOVERED_SHARE:
            self._late[name] = 0

    def find_action(self, vm, services, neighbours, now):
        """Return the next remedy on a VM, or None.

        :param services: list of :class:`ServiceView`
        :param neighbours: list of :class:`Neighbour`
        """
        at_risk = [
            view
            for view in services
            if self._late[(vm, view.service)] >= LATE_BEFORE_ACTION
        ]
        if not at_risk or now < self._next_action[vm]:
            return None
        victim = self._pick_victim(at_risk, neighbours)
        if victim is None:
            return None
        most_late = max(self._late[(vm, view.service)] for view in at_risk)
        if victim.throttled and most_late < self.late_before_eviction:
            return None
        self._next_action[vm] = now + ACTION_INTERVAL_SECONDS
        for view in at_risk:
            self._late[(vm, view.service)] = 0
        if not victim.throttled:
            reason = 'throttled-beside-a-service'
            return Action(victim.task, vm, reason, THROTTLE_PERCENT)
        if not self.eviction_budget.take(now):
            return None
        return Action(victim.task, vm, 'slows-a-service')

    def find_release(self, vm, services, neighbours, now):
        """Return the release of a throttled task, or None."""
        if now < self._next_action[vm]:
            return None
        throttled = [
            neighbour
            for neighbour in neighbours
            if neighbour.throttled or neighbour.unsure
        ]
        if not throttled:
            return None
        kinds = count_kinds(neighbours)
        for neighbour in throttled:
            # A task that may be throttled is counted in full already.
            more = 1 - THROTTLE_PERCENT / 100 if neighbour.throttled else 0.0
            kinds[neighbour.kind] += more
            targets_hold = all(
                not view.target
                or self.model.predict(view.service, view.load, kinds).bound(
                    CAUTION_DEVIATIONS
                )
                * self.headroom
                < view.target * RECOVERED_SHARE
                for view in services
            )
            if targets_hold:
                self._next_action[vm] = now + ACTION_INTERVAL_SECONDS
                return Action(neighbour.task, vm, 'released', 100)
            kinds[neighbour.kind] -= more
        return None

    def _pick_victim(self, services, neighbours):
        """Return the task with the most effect for its cost, or None."""
        best = None
        best_ratio = 0.0
        for neighbour in neighbours:
            gain = sum(
                self.model.get_weight(view.service, neighbour.kind, view.load)
                for view in services
            )
            if neighbour.throttled:
                gain *= 1 - THROTTLE_PERCENT / 100
            ratio = gain / compute_cost(neighbour)
            if gain > 0.005 and ratio > best_ratio:
                best, best_ratio = neighbour, ratio
        return best


def compute_cost(neighbour):
    """Return the cost of evicting a task, in seconds of work.

    :param neighbour: a :class:`Neighbour`
    """
    cost = 10.0 if neighbour.checkpointable else 30.0 + neighbour.seconds
    if not neighbour.checkpointable:
        cost *= _NO_CHECKPOINT_FACTOR
    cost += _PAST_EVICTION_SECONDS * neighbour.evictions
    return cost * (1 + neighbour.importance / 200)


def count_kinds(neighbours):
    """Return a Counter of neighbours' kinds; throttled tasks count less."""
    kinds = collections.Counter()
    for neighbour in neighbours:
        share = THROTTLE_PERCENT / 100 if neighbour.throttled else 1.0
        kinds[neighbour.kind] += share
    return kinds


def pick_to_make_room(size, room, neighbours, below):
    """Return the cheapest tasks to evict so that a size fits, or [].

    :param size: the resources that have to fit
    :param room: the free resources
    :param neighbours: the VM's batch tasks
    :param below: only tasks of less importance than this are evicted
    """
    chosen = []
    order = sorted(
        (
            neighbour
            for neighbour in neighbours
            if neighbour.importance < below
        ),
        key=compute_cost,
    )
    for neighbour in order:
        if size.fits(room):
            break
        if not _reduces_shortage(size, room, neighbour.resources):
            continue
        chosen.append(neighbour)
        room = room.add(neighbour.resources)
    return chosen if size.fits(room) else []


def _reduces_shortage(size, room, freed):
    """Return whether freeing an amount reduces the shortage of a size."""
    short = size.subtract(room)
    return any(
        getattr(short, axis) > 0 and getattr(freed, axis) > 0
        for axis in ('cpu_milli', 'memory_mb', 'accelerators')
    )
