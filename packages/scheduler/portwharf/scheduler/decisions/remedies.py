# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What is done when a service is at risk, and who makes room.

In this order: nothing more is placed beside it (placement asks
:meth:`Remedies.judge`); the task that slows it most for what it costs is
throttled; then it is saved and moved. After each step the measurements are
given time to show what it did. Evictions have a brake for the whole shard.
"""

import collections
import dataclasses

from portwharf.core import data

# A service's mean time is kept below its target by this factor, so that
# its slow requests are in the target as well; more where evictions weigh
# more, less where batch throughput does.
HEADROOM = 2.5
_HEADROOM_A_WEIGHT = 0.02
_USUAL_TAIL_WEIGHT = 5.0
# Deviations that a prediction is taken worse by: placing beside a service
# near its target, and elsewhere.
CAUTION = 1.5
# Measurements in a row over the mark before anything is done, and how far
# below it all is well again.
PATIENCE = 3
# The same before a throttled task is evicted, times the evictions' weight.
EVICT_PATIENCE = 5
CALM = 0.93
# Seconds between two steps on one VM.
STEP_SECONDS = 24.0
THROTTLE_PERCENT = 50
# Evictions of the whole shard: so many at once, and one more each so many
# seconds.
EVICTION_BURST = 4.0
EVICTION_SECONDS = 10.0
PEAK_HALF_LIFE_SECONDS = 900.0
# What an eviction costs, beside the work that is lost: each former one of
# the task weighs as much as so many seconds of work.
_EVICTED_BEFORE_SECONDS = 120.0
_NO_CHECKPOINT_FACTOR = 4.0


@dataclasses.dataclass(slots=True)
class Neighbour:
    """A batch task on a VM.

    :param kind: what its interference is learnt by
    :param seconds: how long this attempt has run
    :param throttled: it was told to work at less
    :param unsure: it may be at less, by an order that this owner does not
        know of or that was lost
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

    :param peak: the highest load lately; what is placed now stays on
    :param target: seconds, 0 for none
    """

    service: str = ''
    load: float = 0.0
    peak: float = 0.0
    target: float = 0.0


@dataclasses.dataclass(slots=True)
class Action:
    """One remedy."""

    task: str = ''
    vm: str = ''
    reason: str = ''
    percent: int = 0


class Brake:
    """Bounds evictions, so that trouble everywhere is no storm."""

    def __init__(self):
        self._free = EVICTION_BURST
        self._counted = 0.0

    def take(self, now):
        """Take one eviction out of the budget; False if there is none."""
        earned = max(0.0, now - self._counted) / EVICTION_SECONDS
        self._free = min(EVICTION_BURST, self._free + earned)
        self._counted = now
        if self._free < 1:
            return False
        self._free -= 1
        return True


class Peaks:
    """The highest loads lately, which fade with time."""

    def __init__(self):
        self._peaks = {}

    def note(self, name, load, now):
        """Take a load and return the peak.

        :param name: of a service on a VM, any key
        """
        peak, when = self._peaks.get(name, (0.0, now))
        faded = peak * 0.5 ** ((now - when) / PEAK_HALF_LIFE_SECONDS)
        peak = max(load, faded)
        self._peaks[name] = (peak, now)
        return peak


class Remedies:
    """The state of remedies on all VMs of a shard."""

    def __init__(self, model):
        """Take an ``interference.Model`` or what predicts like one."""
        self.model = model
        self.headroom = HEADROOM
        self.evict_patience = EVICT_PATIENCE
        self.brake = Brake()
        self._over = collections.Counter()
        self._next = collections.defaultdict(float)

    def set_weights(self, weights):
        """Follow the operators' weights of the three measures."""
        lean = weights.evictions - weights.batch_throughput
        lean += (weights.tail_latency - _USUAL_TAIL_WEIGHT) / 2
        self.headroom = HEADROOM * (1 + _HEADROOM_A_WEIGHT * lean)
        self.evict_patience = EVICT_PATIENCE * max(1.0, weights.evictions)

    def judge(self, services, kinds, kind):
        """Tell what placing one more task of a kind beside services does.

        :param services: list of :class:`ServiceView` on the VM
        :param kinds: Counter of kinds on the VM
        :returns: (whether all targets hold, what it costs them)
        """
        cost = 0.0
        more = dict(kinds)
        more[kind] = more.get(kind, 0) + 1.0
        for one in services:
            load = max(one.load, one.peak)
            added = self.model.get_weight(one.service, kind, load)
            cost += added
            if not one.target or added <= 0.002:
                continue
            estimate = self.model.predict(one.service, load, more)
            if estimate.bound(CAUTION) * self.headroom > one.target:
                return False, cost
        return True, cost

    def note_measured(self, vm, service, seconds, target):
        """Count a measurement against a service's target."""
        name = (vm, service)
        if not target:
            return
        if seconds * self.headroom > target:
            self._over[name] += 1
        elif seconds * self.headroom < target * CALM:
            self._over[name] = 0

    def find_action(self, vm, services, neighbours, now):
        """Return the next remedy on a VM, or None.

        :param services: list of :class:`ServiceView`
        :param neighbours: list of :class:`Neighbour`
        """
        at_risk = [
            one
            for one in services
            if self._over[(vm, one.service)] >= PATIENCE
        ]
        if not at_risk or now < self._next[vm]:
            return None
        victim = self._pick_victim(at_risk, neighbours)
        if victim is None:
            return None
        longest = max(self._over[(vm, one.service)] for one in at_risk)
        if victim.throttled and longest < self.evict_patience:
            return None
        self._next[vm] = now + STEP_SECONDS
        for one in at_risk:
            self._over[(vm, one.service)] = 0
        if not victim.throttled:
            reason = 'throttled-beside-a-service'
            return Action(victim.task, vm, reason, THROTTLE_PERCENT)
        if not self.brake.take(now):
            return None
        return Action(victim.task, vm, 'slows-a-service')

    def find_release(self, vm, services, neighbours, now):
        """Return a throttled task that may run in full again, or None."""
        if now < self._next[vm]:
            return None
        slowed = [
            one
            for one in neighbours
            if one.throttled or (one.unsure and services)
        ]
        if not slowed:
            return None
        kinds = count_kinds(neighbours)
        for one in slowed:
            # What may be at less counts in full already.
            more = 1 - THROTTLE_PERCENT / 100 if one.throttled else 0.0
            kinds[one.kind] += more
            holds = all(
                not view.target
                or self.model.predict(view.service, view.load, kinds).bound(
                    CAUTION
                )
                * self.headroom
                < view.target * CALM
                for view in services
            )
            if holds:
                self._next[vm] = now + STEP_SECONDS
                return Action(one.task, vm, 'released', 100)
            kinds[one.kind] -= more
        return None

    def _pick_victim(self, services, neighbours):
        """Return the task that helps most for what stopping it costs."""
        best = None
        most = 0.0
        for one in neighbours:
            gain = sum(
                self.model.get_weight(view.service, one.kind, view.load)
                for view in services
            )
            if one.throttled:
                gain *= 1 - THROTTLE_PERCENT / 100
            worth = gain / compute_cost(one)
            if gain > 0.005 and worth > most:
                best, most = one, worth
        return best


def compute_cost(one):
    """Return what evicting a task costs, in seconds of work."""
    lost = 10.0 if one.checkpointable else 30.0 + one.seconds
    if not one.checkpointable:
        lost *= _NO_CHECKPOINT_FACTOR
    lost += _EVICTED_BEFORE_SECONDS * one.evictions
    return lost * (1 + one.importance / 200)


def count_kinds(neighbours):
    """Return a Counter of kinds; throttled tasks count less."""
    kinds = collections.Counter()
    for one in neighbours:
        share = THROTTLE_PERCENT / 100 if one.throttled else 1.0
        kinds[one.kind] += share
    return kinds


def pick_to_make_room(size, room, neighbours, below):
    """Return the cheapest tasks to stop so that a size fits, or [].

    :param size: what has to fit
    :param room: what is free now
    :param neighbours: the VM's batch tasks
    :param below: only tasks of less importance than this
    """
    chosen = []
    order = sorted(
        (one for one in neighbours if one.importance < below),
        key=compute_cost,
    )
    for one in order:
        if size.fits(room):
            break
        if not _helps(size, room, one.resources):
            continue
        chosen.append(one)
        room = room.add(one.resources)
    return chosen if size.fits(room) else []


def _helps(size, room, freed):
    """Tell whether freeing an amount brings a size nearer to fitting."""
    short = size.subtract(room)
    return any(
        getattr(short, axis) > 0 and getattr(freed, axis) > 0
        for axis in ('cpu_milli', 'memory_mb', 'accelerators')
    )
