# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Gang scheduling, and the choice of a rack for steps that share one.

A gang's tasks can only work together. It is placed whole or not at all, under
one attempt number, as a part of it would hold room and do nothing. When one
member ends, all do: a success counts for the whole gang; otherwise the other
members are stopped, and all start again from the gang's last checkpoint.
"""

import collections

from portwharf.core import data
from portwharf.scheduler.decisions import vm_choice
from portwharf.scheduler import events


def choose_vms(demand, views, predict_effect):
    """Choose a VM for each task of a gang.

    :returns: list of ``vm_choice.Choice``, whose views are copies; the last
        one has no view if the gang does not fit
    """
    copies = [view.copy() for view in views]
    chosen = []
    for _ in demand.tasks:
        choice = vm_choice.choose_vm(demand, copies, predict_effect)
        chosen.append(choice)
        if choice.view is None:
            break
        vm_choice.count_placement(demand, choice.view)
    # Undo what count_placement added to the demand itself.
    for choice in chosen:
        if choice.view is not None:
            demand.placed[choice.view.vm.name] -= 1
    return chosen


def sum_sizes(workload):
    """Return the resources that a whole gang reserves."""
    size = workload.resources
    count = workload.count
    return data.Resources(
        size.cpu_milli * count,
        size.memory_mb * count,
        size.accelerators * count,
    )


def pick_rack(demand, views):
    """Return the rack for a step's waiting tasks, or '' if there is none.

    This is the rack with most of its placed tasks; among equals, the one with
    room for most of the waiting ones.
    """
    size = demand.record.workload.reserved
    placed = collections.Counter()
    fitting = collections.Counter()
    for view in views:
        if not view.rack:
            continue
        placed[view.rack] += demand.placed[view.vm.name]
        if not view.closed and view.suits(demand.record.workload):
            fitting[view.rack] += _count_fitting(size, view.room)
    needed = len(demand.tasks)
    return max(
        sorted(fitting),
        key=lambda rack: (placed[rack], min(needed, fitting[rack])),
        default='',
    )


def end_other_members(record, event):
    """Return the events that end the other members of a gang.

    :param record: the gang's ``state.WorkloadRecord``
    :param event: the ``events.TaskEnded`` of the member that succeeded
    """
    return [
        events.TaskEnded(task.id, task.attempt, event.state, event.result)
        for task in record.tasks
        if task.id != event.task
        and task.attempt >= event.attempt
        and task.state not in data.ENDED_STATES
    ]


def list_members_to_stop(record):
    """Return the members of a broken gang that must be stopped."""
    return [
        task
        for task in record.tasks
        if task.vm and task.state == data.TaskState.PLACED
    ]


def _count_fitting(size, room):
    """Return how many tasks of a size fit into free resources."""
    axes = (
        (size.cpu_milli, room.cpu_milli),
        (size.memory_mb, room.memory_mb),
        (size.accelerators, room.accelerators),
    )
    return max(0, min((r // s for s, r in axes if s), default=0))
