# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What must always hold in a cluster that is stepped by hand.

By the workers' own record while it runs, and by the log at its end.
"""

import collections

from portwharf.core import data
from portwharf.testing import cluster_fakes


def check_capacity(nodes):
    """No VM holds more than it can."""
    for node in nodes:
        used = data.Resources()
        for run in node.worker.runs:
            if run.running:
                used = used.add(run.attempt.resources)
        if not used.fits(cluster_fakes.CAPACITY):
            raise cluster_fakes.Violation(f'{node.vm.name} holds {used}')


def check_places(nodes):
    """No exclusive task runs in two places, nor after its end."""
    seen = {}
    for node in nodes:
        for run in node.worker.runs:
            leased = run.running and run.attempt.lease_until_ms
            if not leased:
                continue
            task = run.attempt.task
            if task in seen:
                where = f'{seen[task]} and {node.vm.name}'
                raise cluster_fakes.Violation(f'{task} runs on {where}')
            seen[task] = node.vm.name


def check_checkpoints(nodes):
    """Each checkpoint is resumed from at most once at a time."""
    rows = [
        (node.vm.name, run.attempt.task, run.attempt.attempt)
        for node in nodes
        for run in node.worker.record
    ]
    places = collections.defaultdict(set)
    for name, task, attempt in rows:
        places[(task, attempt)].add(name)
    for (task, attempt), names in places.items():
        if len(names) > 1:
            raise cluster_fakes.Violation(
                f'attempt {attempt} of {task} on {names}'
            )


def check_end(made):
    """Nothing accepted is lost, and all has come to its right end.

    :param made: a ``cluster.Cluster`` that has settled
    """
    state = made.read_state()
    cancelled = made.list_cancelled()
    for job in made.list_accepted():
        if job not in state.workloads:
            raise cluster_fakes.Violation(f'accepted job {job} is lost')
        tasks = state.list_tasks(state.workloads[job])
        # What is given up is a job, whichever of its tasks stands for it.
        crasher = any(task.id in made.crashers for task in tasks)
        for task in tasks:
            _check_ending(task, job in cancelled, crasher)


def _check_ending(task, cancelled, crasher):
    allowed = {data.TaskState.SUCCEEDED}
    if cancelled:
        allowed.add(data.TaskState.CANCELLED)
    if crasher:
        allowed.add(data.TaskState.FAILED)
    if task.state not in allowed:
        raise cluster_fakes.Violation(f'{task.id} ended as {task.state}')
    right = f'result of {task.id}'.encode()
    if task.state == data.TaskState.SUCCEEDED and task.result != right:
        raise cluster_fakes.Violation(
            f'{task.id} has the result {task.result}'
        )
