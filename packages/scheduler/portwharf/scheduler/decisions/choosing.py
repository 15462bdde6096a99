# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The VM for one task: hard limits first, then the lowest score.

Every choice keeps the addends of its score and the count of VMs refused by
each reason, for ``explain``.
"""

import collections
import dataclasses

from portwharf.core import data
from portwharf.scheduler.decisions import backlog
from portwharf.scheduler.decisions import scoring
from portwharf.scheduler import events
from portwharf.scheduler import suspects

REFUSED_SLOWS = 'would-slow-a-service'
REFUSED_PROBED = 'quarantined'
REFUSED_POLICY = 'not-allowed-by-policy-yet'
REFUSED_SUSPECT = 'beside-a-suspect'
REASON_NO_ROOM = 'no-worker-has-room-now'
REASON_NO_WORKERS = 'no-worker-is-known'
# Below this a filling task rather waits for another VM.
_LEAST_PACE = 0.35
# What slowing services a little counts against an even fill.
_INTERFERENCE = 6.0


@dataclasses.dataclass(slots=True)
class Choice:
    """The best VM for one task, and why not the others.

    :param weight: what the task's job counts, if it fills
    """

    view: object = None
    parts: list = dataclasses.field(default_factory=list)
    refusals: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    weight: float = 0.0

    @property
    def reason(self):
        """Why there is no VM, if there is none."""
        return REASON_NO_ROOM if self.refusals else REASON_NO_WORKERS

    def list_refusals(self):
        return [
            events.Count(name, number)
            for name, number in sorted(self.refusals.items())
        ]


def choose_vm(demand, views, judge):
    choice = Choice(weight=demand.weight)
    batch = demand.record.workload.kind == data.Kind.BATCH
    kind = backlog.find_kind(demand.record.workload)
    best = float('inf')
    spread = scoring.count_spread(demand, views)
    size = demand.record.workload.reserved
    shuns = demand.shuns
    suspected = demand.suspected
    lonely = demand.record.workload.kind == data.Kind.SERVICE
    for view in views:
        reason = _refuse(size, view) or _refuse_step(demand, view)
        if lonely and not reason and demand.placed[view.vm.name]:
            # One runner a VM: a second replica there would add nothing.
            reason = 'replica-there-already'
        elif not reason and view.vm.name in demand.avoided:
            reason = 'failed-there-lately'
        elif not reason and view.vm.name == shuns:
            reason = 'was-moved-away-from-there'
        elif not reason and _endangers(demand, suspected, view):
            reason = REFUSED_SUSPECT
        if reason:
            choice.refusals[reason] += 1
            continue
        parts = scoring.score_vm(demand, view, spread)
        parts += scoring.score_danger(demand, suspected, view)
        if batch and judge is not None and view.services:
            holds, cost = judge(view.services, view.kinds, kind)
            if not holds:
                choice.refusals[REFUSED_SLOWS] += 1
                continue
            parts.append(events.Part('interference', _INTERFERENCE * cost))
        total = sum(part.value for part in parts)
        if total < best:
            best = total
            choice.view = view
            choice.parts = parts
    return choice


def count_placed(demand, view):
    """Count one more task of a demand on a view."""
    workload = demand.record.workload
    if workload.kind == data.Kind.BATCH:
        view.kinds[backlog.find_kind(workload)] += 1
    if demand.suspected:
        view.note_suspect(demand.unit, demand.suspected)
    view.add_task(workload, demand.weight)
    if view.probe:
        view.closed = REFUSED_PROBED
    demand.placed[view.vm.name] += 1


def _endangers(demand, suspected, view):
    """Tell whether a crash there could not be blamed, or would cost much.

    Suspects are kept apart: what two of them have in common says nothing.
    That holds for the first crash as long as there are other VMs, and so
    does keeping from a suspect what serves.

    :param suspected: how many workers crashed under the task
    """
    others = [n for unit, n in view.suspects.items() if unit != demand.unit]
    tried = suspected >= suspects.SUSPICIOUS
    if not others:
        return tried and view.unsteady and demand.choosy
    if suspected and max(suspected, *others) >= suspects.SUSPICIOUS:
        return True
    serves = demand.record.workload.target_ms > 0
    return demand.choosy and (suspected > 0 or serves)


def _refuse(size, view):
    """Return why a VM cannot take a task of this size, or ''."""
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
    most = workload.most_per_vm
    if most and demand.placed[view.vm.name] >= most:
        return 'enough-of-them-there'
    if workload.ticket_ms and view.vm.name not in demand.tickets:
        return REFUSED_POLICY
    if workload.fills and not demand.starves:
        room = view.capacity.cpu_milli - view.busy_milli
        if workload.resources.cpu_milli > room:
            return 'processors'
        if (
            demand.choosy
            and view.predict_pace(workload, demand.weight) < _LEAST_PACE
        ):
            return REFUSED_SLOWS
    return ''
