# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Scores how well a VM suits a task that fits on it.

A score is a sum of named addends, and the lowest sum wins. Batch work goes to
the emptiest VM, and services are spread over racks and zones. Jobs' serving
tasks (``Workload.target_ms``) are packed on few VMs, and their filling tasks
(``Workload.fills``) go where they would be slowed down the least.
"""

import collections
import dataclasses

from portwharf.core import data
from portwharf.scheduler import events
from portwharf.scheduler import suspects

# Weights and penalties, relative to the fill of a VM, which counts 0 to 1.
_BUSY_WEIGHT = 1.0
_FAR_RACK_PENALTY = 2.0
_SLOWDOWN_WEIGHT = 3.0
# Penalties for using a VM without serving tasks, which is best left to filling
# tasks: for a serving task, and for other work of jobs.
_OPEN_VM_PENALTY = 3.0
_CLEAR_VM_PENALTY = 0.4
_SIZE_SCALE_MILLI = 1_000_000
# Weight of the filling tasks on a VM for a serving task. It is small, as
# filling tasks end within seconds while serving tasks stay.
_FILLED_WEIGHT = 0.05
_STRANDED_WEIGHT = 4.0
_SAME_RACK_PENALTY = 0.5
_SAME_ZONE_PENALTY = 0.25
_SAME_VM_PENALTY = 4.0
# Penalty for a crash suspect beside serving tasks, and for other tasks beside
# a suspect. It outweighs an even fill of the VMs, but does not prevent a
# placement.
_SUSPECT_PENALTY = 2.0


@dataclasses.dataclass(slots=True)
class Spread:
    """Number of a workload's tasks in each rack and zone."""

    racks: collections.Counter
    zones: collections.Counter


def count_spread(demand, views):
    """Return the :class:`Spread` of a demand, left empty for batch work."""
    spread = Spread(collections.Counter(), collections.Counter())
    if demand.record.workload.kind == data.Kind.BATCH:
        return spread
    for view in views:
        count = demand.placed[view.vm.name]
        if count:
            spread.racks[view.rack] += count
            spread.zones[view.vm.availability_zone] += count
    return spread


def score_vm(demand, view, spread, pace=1.0):
    """Return the addends of a VM's score, as ``events.Part``.

    :param pace: of a filling task, as ``view.predict_pace`` returns it
    """
    workload = demand.record.workload
    size = workload.reserved
    after = view.reserved.add(size)
    parts = [events.Part('fill', _measure_imbalance(after, view.capacity))]
    if view.capacity.accelerators and not size.accelerators:
        free = view.capacity.accelerators - after.accelerators
        share = free / view.capacity.accelerators
        parts.append(events.Part('stranding', _STRANDED_WEIGHT * share))
    if workload.job:
        busy = view.busy_milli / max(1, view.capacity.cpu_milli)
        parts.append(events.Part('busy', _BUSY_WEIGHT * busy))
        if workload.fills:
            parts.append(events.Part('paced', _SLOWDOWN_WEIGHT * (1.0 - pace)))
        elif not workload.target_ms and not view.serving_milli:
            parts.append(events.Part('clear', _CLEAR_VM_PENALTY))
        if workload.data_rack and workload.data_rack not in view.labels:
            parts.append(events.Part('far-from-data', _FAR_RACK_PENALTY))
        if demand.rack and demand.rack != view.rack:
            parts.append(events.Part('far-from-others', _FAR_RACK_PENALTY))
    if workload.target_ms:
        parts = _score_serving_task(view, after)
    elif workload.kind != data.Kind.BATCH:
        replicas = demand.placed[view.vm.name]
        parts.append(events.Part('same-vm', _SAME_VM_PENALTY * replicas))
        in_rack = spread.racks[view.rack]
        parts.append(events.Part('same-rack', _SAME_RACK_PENALTY * in_rack))
        in_zone = spread.zones[view.vm.availability_zone]
        parts.append(events.Part('same-zone', _SAME_ZONE_PENALTY * in_zone))
    return parts


def score_crash_risk(demand, crash_count, view):
    """Return the addends for the cost of a crash of the worker.

    :param crash_count: number of workers that crashed under the task
    """
    parts = []
    if crash_count and view.serving_milli:
        parts.append(events.Part('suspect', _SUSPECT_PENALTY))
    elif any(unit != demand.unit for unit in view.suspects):
        parts.append(events.Part('beside-suspect', _SUSPECT_PENALTY))
    if crash_count >= suspects.SUSPECT_CRASHES and view.unsteady:
        # A trial there would prove little.
        parts.append(events.Part('unsteady', _SUSPECT_PENALTY))
    return parts


def _score_serving_task(view, after):
    """Return the addends that pack serving tasks on as few VMs as possible.

    VMs without serving tasks are left to filling tasks, which run at full pace
    there. When a further VM is needed, large ones go first.
    """
    capacity_milli = max(1, view.capacity.cpu_milli)
    filled = events.Part(
        'filled', _FILLED_WEIGHT * view.filling_milli / capacity_milli
    )
    if view.serving_milli:
        return [
            events.Part('packed', -after.cpu_milli / capacity_milli),
            filled,
        ]
    size = events.Part('size', -capacity_milli / _SIZE_SCALE_MILLI)
    return [events.Part('opens', _OPEN_VM_PENALTY), size, filled]


def _measure_imbalance(reserved, capacity):
    """Return how full a VM would be, 0 to 1, by its fullest resource.

    The emptiest VM then wins: while interference is unknown, spreading batch
    work slows services the least.
    """
    shares = [reserved.cpu_milli / max(1, capacity.cpu_milli)]
    shares.append(reserved.memory_mb / max(1, capacity.memory_mb))
    if capacity.accelerators:
        shares.append(reserved.accelerators / capacity.accelerators)
    return max(shares)
