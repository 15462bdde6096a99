# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Gangs: tasks that work only all together, and steps that share a rack.

A gang is placed whole or not at all, under one number of an attempt: a part
of it would hold room and do nothing. When one member is over, so are all:
with a success the whole gang has succeeded; otherwise the others are
stopped, and all begin again from what any of them saved.
"""

import collections

from portwharf.core import data
from portwharf.scheduler.decisions import choosing
from portwharf.scheduler import events


def choose_all(demand, views, judge):
    """Choose a VM for each task of a gang.

    :returns: list of ``choosing.Choice``, on copies of the views; the last
        one has no view if the gang does not fit
    """
    trial = [view.copy() for view in views]
    chosen = []
    for _ in demand.tasks:
        choice = choosing.choose_vm(demand, trial, judge)
        chosen.append(choice)
        if choice.view is None:
            break
        choosing.count_placed(demand, choice.view)
    # What was tried has left its trace on the demand.
    for choice in chosen:
        if choice.view is not None:
            demand.placed[choice.view.vm.name] -= 1
    return chosen


def sum_sizes(workload):
    """Return what a whole gang reserves."""
    size = workload.resources
    count = workload.count
    return data.Resources(
        size.cpu_milli * count,
        size.memory_mb * count,
        size.accelerators * count,
    )


def pick_rack(demand, views):
    """Return the rack that a step's waiting tasks should go to, or ''.

    The one where most of its tasks are, or else could be.
    """
    size = demand.record.workload.reserved
    placed = collections.Counter()
    could = collections.Counter()
    for view in views:
        if not view.rack:
            continue
        placed[view.rack] += demand.placed[view.vm.name]
        if not view.closed and view.suits(demand.record.workload):
            could[view.rack] += _count_fitting(size, view.room)
    needed = len(demand.tasks)
    return max(
        sorted(could),
        key=lambda rack: (placed[rack], min(needed, could[rack])),
        default='',
    )


def end_others(record, event):
    """Return the events that end a gang whose member has succeeded.

    :param record: the gang's ``state.WorkloadRecord``
    :param event: the member's ``events.TaskEnded``
    """
    return [
        events.TaskEnded(task.id, task.attempt, event.state, event.result)
        for task in record.tasks
        if task.id != event.task
        and task.attempt == event.attempt
        and task.state not in data.ENDED_STATES
    ]


def list_broken(record):
    """Return the members of a broken gang that have to be stopped."""
    return [
        task
        for task in record.tasks
        if task.vm and task.state == data.TaskState.PLACED
    ]


def _count_fitting(size, room):
    """Return how many tasks of a size fit into some room."""
    axes = (
        (size.cpu_milli, room.cpu_milli),
        (size.memory_mb, room.memory_mb),
        (size.accelerators, room.accelerators),
    )
    return max(0, min((r // s for s, r in axes if s), default=0))
