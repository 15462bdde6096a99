# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Chooses the VM for one task: hard limits first, then the lowest score.

Every choice keeps the addends of its score, and the number of VMs that were
refused for each reason, for ``explain``.
"""

import collections
import dataclasses

from portwharf.core import data
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
# Pace, 0 to 1, below which a filling task waits for another VM.
_MIN_PACE = 0.35
# Weight of interference with services against the fill of a VM.
_INTERFERENCE_WEIGHT = 6.0


@dataclasses.dataclass(slots=True)
class Choice:
    """The best VM for one task, and the reasons against the others.

    :param view: the chosen ``vmview.VmView``, or None if there is none
    :param parts: addends of its score, as ``events.Part``
    :param refusals: number of refused VMs by reason
    :param weight: the weight of the task's job, for a filling task
    """

    view: object = None
    parts: list = dataclasses.field(default_factory=list)
    refusals: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    weight: float = 0.0

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


def choose_vm(demand, views, predict_effect):
    """Return the :class:`Choice` for a demand's next task.

    :param predict_effect: as for ``placement.place_demands``
    """
    choice = Choice(weight=demand.weight)
    is_batch = demand.record.workload.kind == data.Kind.BATCH
    kind = backlog.get_interference_kind(demand.record.workload)
    lowest = float('inf')
    spread = scoring.count_spread(demand, views)
    size = demand.record.workload.reserved
    moved_from_vm = demand.moved_from_vm
    crash_count = demand.crash_count
    is_service = demand.record.workload.kind == data.Kind.SERVICE
    for view in views:
        reason = _refuse(size, view) or _refuse_step(demand, view)
        if is_service and not reason and demand.placed[view.vm.name]:
            # A VM has one runner, so a second replica would add nothing.
            reason = 'replica-there-already'
        elif not reason and view.vm.name in demand.avoided:
            reason = 'failed-there-lately'
        elif not reason and view.vm.name == moved_from_vm:
            reason = 'was-moved-away-from-there'
        elif not reason and _is_crash_risk(demand, crash_count, view):
            reason = REFUSED_SUSPECT
        if reason:
            choice.refusals[reason] += 1
            continue
        parts = scoring.score_vm(demand, view, spread)
        parts += scoring.score_crash_risk(demand, crash_count, view)
        if is_batch and predict_effect is not None and view.services:
            targets_hold, cost = predict_effect(
                view.services, view.kinds, kind
            )
            if not targets_hold:
                choice.refusals[REFUSED_SLOWS_SERVICE] += 1
                continue
            parts.append(
                events.Part('interference', _INTERFERENCE_WEIGHT * cost)
            )
        total = sum(part.value for part in parts)
        if total < lowest:
            lowest = total
            choice.view = view
            choice.parts = parts
    return choice


def count_placement(demand, view):
    """Add a demand's next task to the view of its VM."""
    workload = demand.record.workload
    if workload.kind == data.Kind.BATCH:
        view.kinds[backlog.get_interference_kind(workload)] += 1
    if demand.crash_count:
        view.record_suspect(demand.unit, demand.crash_count)
    view.add_task(workload, demand.weight)
    if view.probe:
        view.closed = REFUSED_QUARANTINED
    demand.placed[view.vm.name] += 1


def _is_crash_risk(demand, crash_count, view):
    """Return whether a crash there would be ambiguous or costly.

    Crash suspects are placed on different VMs, as a crash under two of them
    would not tell which one caused it. Only while the demand is selective, a
    task with a single crash and a serving task are kept away from suspects,
    and a suspect from workers that crashed lately.

    :param crash_count: number of workers that crashed under the task
    """
    others = [n for unit, n in view.suspects.items() if unit != demand.unit]
    is_suspect = crash_count >= suspects.SUSPECT_CRASHES
    if not others:
        return is_suspect and view.unsteady and demand.is_selective
    if crash_count and max(crash_count, *others) >= suspects.SUSPECT_CRASHES:
        return True
    is_serving = demand.record.workload.target_ms > 0
    return demand.is_selective and (crash_count > 0 or is_serving)


def _refuse(size, view):
    """Return why a VM cannot take a task of a size, or ''."""
    if view.closed:
        return view.closed
    room = view.room
    if size.cpu_milli > room.cpu_milli:
        return 'processors'
    if size.memory_mb > room.memory_mb:
        return 'memory'
    if size.accelerators > room.accelerators:
        return 'accelerators'
    return ''


def _refuse_step(demand, view):
    """Return why a VM cannot take a task of a job's step, or ''."""
    workload = demand.record.workload
    if not view.suits(workload):
        return 'other-pool-or-label'
    limit = workload.most_per_vm
    if limit and demand.placed[view.vm.name] >= limit:
        return 'enough-of-them-there'
    if workload.ticket_ms and view.vm.name not in demand.tickets:
        return REFUSED_POLICY
    if workload.fills and not demand.is_starving:
        idle_milli = view.capacity.cpu_milli - view.busy_milli
        if workload.resources.cpu_milli > idle_milli:
            return 'processors'
        if (
            demand.is_selective
            and view.predict_pace(workload, demand.weight) < _MIN_PACE
        ):
            return REFUSED_SLOWS_SERVICE
    return ''
