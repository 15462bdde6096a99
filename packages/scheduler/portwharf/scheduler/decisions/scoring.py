# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""How well a VM suits a task that fits on it: addends of a score.

The lowest sum wins. Ordinary batch work goes where most is free; services
are spread over racks and zones; what serves within a job is packed, and
what fills goes where it would be paced the least.
"""

import collections
import dataclasses

from portwharf.core import data
from portwharf.scheduler import events

# What a busy VM counts against one with a free processor.
_BUSY = 1.0
_FAR_RACK = 2.0
# What working at no pace counts against one with a free processor.
_PACE = 3.0
# What a VM that nothing serves on is worth: to what serves, and to other
# work that is better off beside what serves.
_KEEP_CLEAR = 3.0
_CLEAR = 0.4
_LARGEST_MILLI = 1_000_000
# What fills is gone within seconds; what serves stays.
_FILLED = 0.05
_STRANDED_ACCELERATOR = 4.0
_SAME_RACK = 0.5
_SAME_ZONE = 0.25
_SAME_VM = 4.0
# What may crash its worker is kept from what serves, and others from it: more
# than an even fill, less than what it takes to be placed at all.
_SUSPECT = 2.0


@dataclasses.dataclass(slots=True)
class Spread:
    """How many tasks of a workload are in each rack and zone."""

    racks: collections.Counter
    zones: collections.Counter


def count_spread(demand, views):
    spread = Spread(collections.Counter(), collections.Counter())
    if demand.record.workload.kind == data.Kind.BATCH:
        return spread
    for view in views:
        count = demand.placed[view.vm.name]
        if count:
            spread.racks[view.rack] += count
            spread.zones[view.vm.availability_zone] += count
    return spread


def score_vm(demand, view, spread):
    """Return the addends of a VM's score; the lowest sum wins."""
    workload = demand.record.workload
    size = workload.reserved
    after = view.reserved.add(size)
    parts = [events.Part('fill', _measure_imbalance(after, view.capacity))]
    if view.capacity.accelerators and not size.accelerators:
        free = view.capacity.accelerators - after.accelerators
        share = free / view.capacity.accelerators
        parts.append(events.Part('stranding', _STRANDED_ACCELERATOR * share))
    if workload.job:
        busy = view.busy_milli / max(1, view.capacity.cpu_milli)
        parts.append(events.Part('busy', _BUSY * busy))
        if workload.fills:
            slow = 1.0 - view.predict_pace(workload, demand.weight)
            parts.append(events.Part('paced', _PACE * slow))
        elif not workload.target_ms and not view.serving_milli:
            parts.append(events.Part('clear', _CLEAR))
        if workload.data_rack and workload.data_rack not in view.labels:
            parts.append(events.Part('far-from-data', _FAR_RACK))
        if demand.rack and demand.rack != view.rack:
            parts.append(events.Part('far-from-others', _FAR_RACK))
    if workload.target_ms:
        parts = _score_server(view, after)
    elif workload.kind != data.Kind.BATCH:
        alike = demand.placed[view.vm.name]
        parts.append(events.Part('same-vm', _SAME_VM * alike))
        rack = spread.racks[view.rack]
        parts.append(events.Part('same-rack', _SAME_RACK * rack))
        zone = spread.zones[view.vm.availability_zone]
        parts.append(events.Part('same-zone', _SAME_ZONE * zone))
    return parts


def score_danger(demand, suspected, view):
    """Return the addends for what a crash of the worker would cost.

    :param suspected: how many workers crashed under the task
    """
    if suspected and view.serving_milli:
        return [events.Part('suspect', _SUSPECT)]
    if any(unit != demand.unit for unit in view.suspects):
        return [events.Part('beside-suspect', _SUSPECT)]
    return []


def _score_server(view, after):
    """Return the addends for what serves: packed on as few VMs as it goes.

    The VMs that nothing serves on are left to what fills, which works there
    unpaced. Large ones are opened first, as fewer are needed then.
    """
    cores = max(1, view.capacity.cpu_milli)
    filled = events.Part('filled', _FILLED * view.filling_milli / cores)
    if view.serving_milli:
        return [
            events.Part('packed', -after.cpu_milli / cores),
            filled,
        ]
    size = events.Part('size', -cores / _LARGEST_MILLI)
    return [events.Part('opens', _KEEP_CLEAR), size, filled]


def _measure_imbalance(reserved, capacity):
    """Return how full a VM would be, by its fullest axis, 0 to 1.

    The emptiest VM wins: with interference unknown, spreading batch work
    costs services the least.
    """
    shares = [reserved.cpu_milli / max(1, capacity.cpu_milli)]
    shares.append(reserved.memory_mb / max(1, capacity.memory_mb))
    if capacity.accelerators:
        shares.append(reserved.accelerators / capacity.accelerators)
    return max(shares)
