# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Moves filling tasks that hardly work to VMs where they would.

A task that presses on what serves beside it is paced down to almost
nothing. It holds its memory, its job waits for it, and it would have been
done elsewhere. Once another VM would have it end sooner, with what the move
costs, it is saved and stopped, and placed anew like any other but not where
it came from. One that saves nothing begins again from nothing.
"""

import dataclasses

from portwharf.core import data
from portwharf.scheduler.decisions import precedence

REASON_STUCK = 'hardly-works-there'
# A task paced to this percent or less is worth moving.
STUCK_PERCENT = 30
# It has to be at work for so long: it may just have begun, and what it is
# paced by may be a swing of the load.
LEAST_SECONDS = 1.2
# Where it goes it has to work at this share at least.
WORTH_PACE = 0.8
# What a move takes, in ms: the stop (0.2 to 0.9 s on the platforms known),
# the log, and going on from what was saved (0.1 to 0.25 s).
MOVE_MS = 1200
# It has to end there in this share of the time that it would take here: what
# it is paced by here changes within seconds, either way.
WORTH_SHARE = 0.6
# What a task without an estimate is taken to run, in ms: the mean of what
# fills on the platforms known.
UNKNOWN_RUN_MS = 4500
# How long a task that was moved keeps away from where it came from.
SHUN_SECONDS = 10.0
# Moves in one pass: what they show is seen before the next.
MAX_MOVES = 4


@dataclasses.dataclass(slots=True)
class Stuck:
    """A task that hardly works, and its workload.

    :param percent: the share that it is told to work at
    :param done: how much of it is done, in percent
    :param weight: what its job counts, by ``precedence``
    """

    task: object = None
    workload: object = None
    percent: int = 0
    done: int = 0
    weight: float = precedence.LAST

    @property
    def run_ms(self):
        """How long it runs in all, as far as that is known."""
        return self.workload.run_ms or UNKNOWN_RUN_MS

    @property
    def left_here_ms(self):
        """How long it would still take where it is."""
        left = (100 - self.done) / max(1, self.percent)
        return left * self.run_ms

    def measure_there(self, pace):
        """Return how long it would take elsewhere, in ms.

        :param pace: the share, 0 to 1, that it would work at there
        """
        kept = self.done if self.workload.checkpointable else 0
        left = (100 - kept) / 100 / pace
        return MOVE_MS + left * self.run_ms


class Shunned:
    """Where tasks were moved from, for as long as they keep away."""

    def __init__(self):
        self._moved = {}

    def note(self, task, vm, now):
        """Note that a task is moved away from a VM."""
        self._moved[task] = (vm, now + SHUN_SECONDS)

    def find(self, now):
        """Return the names of the VMs that tasks shun, by task id."""
        self._moved = {
            task: one for task, one in self._moved.items() if now < one[1]
        }
        return {task: vm for task, (vm, _) in self._moved.items()}


def find_stuck(state, links, read_begun, now, weigher=None):
    """Return the filling tasks that hardly work, the worst first.

    :param links: list of ``members.MemberLink``
    :param read_begun: gives when an attempt began, by (task, attempt)
    :param weigher: a ``precedence.Weigher``, or None if nothing yields
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
            record = state.find_workload(task.id)
            if record.workload.gang:
                # To move one is to stop all the others.
                continue
            weight = weigher.weigh(record) if weigher else precedence.LAST
            found.append(
                Stuck(task, record.workload, paced.percent, paced.done, weight)
            )
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
            best.add_task(one.workload, one.weight)
            chosen.append(one.task)
    return chosen


def _find_better(one, views):
    """Return the view where a stuck task would work best, or None."""
    workload = one.workload
    best, most = None, 0.0
    for view in views:
        room = view.capacity.cpu_milli - view.busy_milli
        if view.closed or view.suspects or view.vm.name == one.task.vm:
            continue
        if not workload.reserved.fits(view.room):
            continue
        if workload.resources.cpu_milli > room or not view.suits(workload):
            continue
        pace = view.predict_pace(workload, one.weight)
        if pace >= WORTH_PACE and pace > most and _is_worth(one, pace):
            best, most = view, pace
    return best


def _is_worth(one, pace):
    """Tell whether a stuck task ends enough sooner elsewhere."""
    return one.measure_there(pace) < WORTH_SHARE * one.left_here_ms
