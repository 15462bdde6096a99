# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Moves filling tasks that hardly work to VMs where they would.

A task that presses on what serves beside it is paced down to almost
nothing. It holds its memory, its job waits for it, and it would have been
done elsewhere. Once another VM would let it work nearly in full it is saved
and stopped, and placed anew like any other.
"""

import dataclasses

from portwharf.core import data

REASON_STUCK = 'hardly-works-there'
# A task paced to this percent or less is worth moving.
STUCK_PERCENT = 30
# It has to be at work for so long: it may just have begun, and what it is
# paced by may be a swing of the load.
LEAST_SECONDS = 1.2
# Where it goes it has to work at this share at least.
WORTH_PACE = 0.8
# Moves in one pass: what they show is seen before the next.
MAX_MOVES = 4


@dataclasses.dataclass(slots=True)
class Stuck:
    """A task that hardly works, and its workload."""

    task: object = None
    workload: object = None
    percent: int = 0


def find_stuck(state, links, read_begun, now):
    """Return the filling tasks that hardly work, the worst first.

    :param links: list of ``members.MemberLink``
    :param read_begun: gives when an attempt began, by (task, attempt)
    """
    found = []
    for link in links:
        held = state.held[link.name]
        for paced in link.view.paced:
            task = held.get(paced.task)
            if task is None or task.attempt != paced.attempt:
                continue
            if task.state != data.TaskState.PLACED:
                continue
            spent = now - read_begun((task.id, task.attempt))
            if paced.percent > STUCK_PERCENT or spent < LEAST_SECONDS:
                continue
            workload = state.find_workload(task.id).workload
            if workload.gang:
                # To move one is to stop all the others.
                continue
            found.append(Stuck(task, workload, paced.percent))
    found.sort(key=lambda one: one.percent)
    return found


def choose_moves(stuck, views):
    """Return the tasks that have somewhere better to go.

    :param stuck: list of :class:`Stuck`
    :param views: list of ``vmview.VmView`` after a pass; what is chosen
        is counted on them
    """
    chosen = []
    for one in stuck:
        if len(chosen) >= MAX_MOVES:
            break
        best = _find_better(one, views)
        if best is not None:
            best.add_task(one.workload)
            chosen.append(one.task)
    return chosen


def _find_better(one, views):
    """Return the view where a stuck task would work best, or None."""
    workload = one.workload
    best, most = None, 0.0
    for view in views:
        room = view.capacity.cpu_milli - view.busy_milli
        if view.closed or view.vm.name == one.task.vm:
            continue
        if not workload.reserved.fits(view.room):
            continue
        if workload.resources.cpu_milli > room or not view.suits(workload):
            continue
        pace = view.predict_pace(workload)
        if pace >= WORTH_PACE and pace > most:
            best, most = view, pace
    return best
