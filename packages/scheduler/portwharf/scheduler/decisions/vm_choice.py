# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Chooses the VM for one task: hard limits first, then the lowest score.

Every choice keeps the addends of its score, and the number of VMs that were
refused for each reason, for ``explain``.
"""

import collections
import dataclasses
import math

from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler.decisions import backlog
from portwharf.scheduler.decisions import scoring
from portwharf.scheduler import events
from portwharf.scheduler import suspects

REFUSED_SLOWS_SERVICE = 'would-slow-a-service'
REFUSED_QUARANTINED = 'quarantined'
REFUSED_POLICY = 'not-allowed-by-policy-yet'
REFUSED_SUSPECT = 'beside-a-suspect'
REASON_NO_ROOM = 'no-worker-has-room-now'
REASON_NO_WORKERS = 'no-worker-is-known'
# Penalty for a worker that is quarantined; it outweighs all other addends.
_QUARANTINE_PENALTY = 100.0
# Weight of interference with services against the fill of a VM.
_INTERFERENCE_WEIGHT = 6.0


@dataclasses.dataclass(slots=True)
class Choice:
    """The best VM for one task, and the reasons against the others.

    :param view: the chosen ``vmview.VmView``, or None if there is none
    :param parts: addends of its score, as ``events.Part``
    :param refusals: number of refused VMs by reason
    :param weight: the weight of the task's job, for a filling task
    :param declined: number of VMs that were refused only because the demand
        waits for a better pace than the usual one (``Demand.min_pace``)
    """

    view: object = None
    parts: list = dataclasses.field(default_factory=list)
    refusals: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    weight: float = 0.0
    declined: int = 0

    @property
    def reason(self):
        """Why no VM was chosen, if none was."""
        return REASON_NO_ROOM if self.refusals else REASON_NO_WORKERS

    def list_refusals(self):
        """Return the refusals as ``events.Count``, sorted by reason."""
        return [
            events.Count(name, number)
            for name, number in sorted(self.refusals.items())
        ]


class VmChooser:
    """Chooses the VMs of a demand's tasks, one after the other.

    The tasks of a demand are alike, so that placing one changes how well the
    next one fits on the VM of the first only. The assessments of the other
    VMs are kept. Nothing else may change the views in the meantime.
    """

    def __init__(self, demand, views, predict_effect):
        """Take a demand and the VMs.

        :param predict_effect: as for ``placement.place_demands``
        """
        self._demand = demand
        self._views = views
        self._predict_effect = predict_effect
        self._size = demand.record.workload.reserved
        # The pace of a filling task on the VM that is being assessed, once it
        # is known.
        self._pace = None
        # The next task's properties that the assessments depend on.
        self._properties = None
        # Of each VM: its score, infinite if it is refused, and its addends,
        # or the reason of the refusal. The VMs still to be assessed are in
        # ``_outdated``, by index.
        self._totals = [math.inf] * len(views)
        self._parts = [None] * len(views)
        self._reasons = [''] * len(views)
        self._declined = [False] * len(views)
        self._outdated = range(len(views))

    def choose(self):
        """Return the :class:`Choice` for the next task."""
        self._check_properties()
        if self._outdated:
            spread = scoring.count_spread(self._demand, self._views)
            for index in self._outdated:
                self._assess(index, spread)
            self._outdated = ()
        choice = Choice(weight=self._demand.weight)
        choice.refusals.update(filter(None, self._reasons))
        choice.declined = sum(self._declined)
        lowest = min(self._totals, default=math.inf)
        if lowest < math.inf:
            index = self._totals.index(lowest)
            choice.view = self._views[index]
            choice.parts = self._parts[index]
        return choice

    def record_placement(self, view):
        """Add the next task to the view that was chosen for it."""
        count_placement(self._demand, view)
        if _depends_on_spread(self._demand.record.workload):
            self._outdated = range(len(self._views))
        else:
            self._outdated = [
                index
                for index, other in enumerate(self._views)
                if other is view
            ]

    def _check_properties(self):
        """Assess all VMs again if the next task differs from the last one."""
        demand = self._demand
        properties = (
            demand.moved_from_vms,
            demand.crash_count,
            demand.is_starving,
        )
        if properties != self._properties:
            self._properties = properties
            self._outdated = range(len(self._views))

    def _assess(self, index, spread):
        """Compute one VM's score, or why it is refused."""
        view = self._views[index]
        parts = []
        self._pace = None
        reason = self._refuse(view)
        self._declined[index] = (
            reason == REFUSED_SLOWS_SERVICE
            and self._pace is not None
            and self._pace >= backlog.MIN_PACE
        )
        if not reason:
            parts, reason = self._score(view, spread)
        self._reasons[index] = reason
        self._parts[index] = parts
        self._totals[index] = (
            math.inf if reason else sum(part.value for part in parts)
        )

    def _refuse(self, view):
        """Return why a VM cannot take the next task, or ''."""
        demand = self._demand
        moved_from_vms, crash_count, _ = self._properties
        workload = demand.record.workload
        if view.closed and not _may_probe_early(demand, view):
            return view.closed
        reason = _refuse(self._size, view) or _refuse_step(demand, view)
        if reason:
            return reason
        if workload.fills and demand.is_selective:
            if self._predict_pace(view) < demand.min_pace:
                return REFUSED_SLOWS_SERVICE
        name = view.vm.name
        if workload.kind == data.Kind.SERVICE and demand.placed[name]:
            # A VM has one runner, so a second replica would add nothing.
            return 'replica-there-already'
        if name in demand.avoided:
            return 'failed-there-lately'
        if name in moved_from_vms:
            return 'was-moved-away-from-there'
        if _is_crash_risk(demand, crash_count, view):
            return REFUSED_SUSPECT
        return ''

    def _predict_pace(self, view):
        """Return the pace of a filling task on the VM that is assessed."""
        if self._pace is None:
            self._pace = view.predict_pace(
                self._demand.record.workload, self._demand.weight
            )
        return self._pace

    def _score(self, view, spread):
        """Return the addends of a VM's score, and a reason to refuse it."""
        demand = self._demand
        _, crash_count, _ = self._properties
        workload = demand.record.workload
        is_paced = workload.job and workload.fills
        pace = self._predict_pace(view) if is_paced else 1.0
        parts = scoring.score_vm(demand, view, spread, pace)
        parts += scoring.score_crash_risk(demand, crash_count, view)
        if view.closed:
            parts.append(events.Part('quarantined', _QUARANTINE_PENALTY))
        if (
            workload.kind != data.Kind.BATCH
            or self._predict_effect is None
            or not view.services
        ):
            return parts, ''
        targets_hold, cost = self._predict_effect(
            view.services,
            view.kinds,
            backlog.get_interference_kind(workload),
        )
        if not targets_hold:
            return [], REFUSED_SLOWS_SERVICE
        parts.append(events.Part('interference', _INTERFERENCE_WEIGHT * cost))
        return parts, ''


def choose_vm(demand, views, predict_effect):
    """Return the :class:`Choice` for a demand's next task.

    :param predict_effect: as for ``placement.place_demands``
    """
    return VmChooser(demand, views, predict_effect).choose()


def count_placement(demand, view):
    """Add a demand's next task to the view of its VM."""
    workload = demand.record.workload
    if workload.kind == data.Kind.BATCH:
        view.kinds[backlog.get_interference_kind(workload)] += 1
    if demand.crash_count:
        view.record_suspect(demand.unit, demand.crash_count)
    view.add_task(workload, demand.weight)
    if view.probe or view.early_probe:
        view.closed = REFUSED_QUARANTINED
        view.early_probe = False
    demand.placed[view.vm.name] += 1


def _depends_on_spread(workload):
    """Return whether a placement changes the scores of other VMs too."""
    return workload.kind != data.Kind.BATCH and not workload.target_ms


def _is_crash_risk(demand, crash_count, view):
    """Return whether a crash there would be ambiguous or costly.

    Crash suspects are placed on different VMs, as a crash under two of them
    would not tell which one caused it. Only while the demand is selective, a
    task with a single crash and a serving task are kept away from suspects,
    and a suspect from workers that crashed lately. A standing task that has
    waited is kept only from suspects that have just started.

    :param crash_count: number of workers that crashed under the task
    """
    known = view.suspects
    is_standing = demand.record.workload.kind == data.Kind.STANDING
    if is_standing and not demand.is_selective:
        known = view.starting_suspects
    others = [n for unit, n in known.items() if unit != demand.unit]
    is_suspect = crash_count >= suspects.SUSPECT_CRASHES
    if not others:
        return is_suspect and view.unsteady and demand.is_selective
    if crash_count and max(crash_count, *others) >= suspects.SUSPECT_CRASHES:
        return True
    is_serving = demand.record.workload.target_ms > 0
    return demand.is_selective and (crash_count > 0 or is_serving)


def _may_probe_early(demand, view):
    """Return whether a task may be the probe of a quarantined worker.

    A standing task that has waited for a while may: it is better started
    where it may fail than not at all.
    """
    is_standing = demand.record.workload.kind == data.Kind.STANDING
    return view.early_probe and is_standing and not demand.is_selective


def _refuse(size, view):
    """Return why a VM has no room for a task of a size, or ''."""
    capacity, reserved = view.capacity, view.reserved
    if size.cpu_milli > capacity.cpu_milli - reserved.cpu_milli:
        return 'processors'
    if size.memory_mb > capacity.memory_mb - reserved.memory_mb:
        return 'memory'
    if size.accelerators > capacity.accelerators - reserved.accelerators:
        return 'accelerators'
    return ''


def check_constraints(demand, view):
    """Return why a VM may not run a demand, however much room it has, or ''.

    :param demand: a ``backlog.Demand``
    """
    workload = demand.record.workload
    if not view.suits(workload):
        return messages.REFUSED_KIND
    limit = workload.most_per_vm
    if limit and demand.placed[view.vm.name] >= limit:
        return 'enough-of-them-there'
    if workload.ticket_ms and view.vm.name not in demand.tickets:
        return REFUSED_POLICY
    return ''


def _refuse_step(demand, view):
    """Return why a VM cannot take a task of a job's step, or ''."""
    reason = check_constraints(demand, view)
    if reason:
        return reason
    workload = demand.record.workload
    if workload.fills and not demand.is_starving:
        idle_milli = view.compute_idle_milli(demand.weight)
        if workload.resources.cpu_milli > idle_milli:
            return 'processors'
    return ''
