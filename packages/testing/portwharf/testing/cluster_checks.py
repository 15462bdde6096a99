# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Invariants of a simulated cluster.

They are checked against the workers' records while the cluster runs, and
against the shard's log at the end. Each raises ``cluster_fakes.Violation``.
"""

import collections
import itertools

from portwharf.core import data
from portwharf.core import ids
from portwharf.scheduler import jobs
from portwharf.testing import cluster_fakes

# Failures after which a task of a walk's job is not retried.
MAX_FAILURES = 3
# Time after closing a zone for which tasks may still start there.
ZONE_CLOSE_SECONDS = 5.0
# Time after an acknowledged cancellation in which tasks may still start.
CANCEL_SECONDS = 3.0


def check_capacity(nodes):
    """Check that no VM runs more than its original capacity."""
    for node in nodes:
        used = data.Resources()
        for run in node.worker.runs:
            if run.running:
                used = used.add(run.attempt.resources)
        if not used.fits(cluster_fakes.CAPACITY):
            raise cluster_fakes.Violation(f'{node.vm.name} holds {used}')


def check_exclusive_tasks(nodes):
    """Check that no exclusive task runs twice at the same time."""
    vm_names = {}
    for node in nodes:
        for run in node.worker.runs:
            is_leased = run.running and run.attempt.lease_until_ms
            if not is_leased:
                continue
            task = run.attempt.task
            if task in vm_names:
                both_vms = f'{vm_names[task]} and {node.vm.name}'
                described = format_runs(nodes, task)
                raise cluster_fakes.Violation(
                    f'{task} runs on {both_vms}: {described}'
                )
            vm_names[task] = node.vm.name


def check_attempt_vms(nodes):
    """Check that no attempt was started on more than one VM."""
    attempts = [
        (node.vm.name, run.attempt.task, run.attempt.attempt)
        for node in nodes
        for run in node.worker.record
    ]
    vms_by_attempt = collections.defaultdict(set)
    for name, task, attempt in attempts:
        vms_by_attempt[(task, attempt)].add(name)
    for (task, attempt), names in vms_by_attempt.items():
        if len(names) > 1:
            raise cluster_fakes.Violation(
                f'attempt {attempt} of {task} ran on {names}'
            )


def check_zones(cluster):
    """Check that no task starts in a zone long after it was closed.

    Starts that a worker carried out late are not bound by a time.
    """
    for zone, since in cluster.closed.items():
        for node in cluster.nodes:
            if node.vm.availability_zone != zone:
                continue
            for run in node.worker.record:
                is_late = run.true_began - since > ZONE_CLOSE_SECONDS
                if is_late and not run.late:
                    raise cluster_fakes.Violation(
                        f'{run.attempt.task} started in closed zone {zone}'
                    )


def check_cancellations(cluster):
    """Check that no task starts long after its cancellation.

    Starts that a worker carried out late are not bound by a time.
    """
    for node in cluster.nodes:
        for run in node.worker.record:
            task = run.attempt.task
            name = ids.split_task_id(task)
            if is_job_task(task):
                name = jobs.split_step_id(name)[0]
            since = cluster.cancelled.get(name)
            if since is None or run.late:
                continue
            if run.true_began - since > CANCEL_SECONDS:
                raise cluster_fakes.Violation(
                    f'{task} started long after its cancellation'
                )


def check_record(nodes):
    """Check the starts and ends that the workers recorded."""
    check_no_overlaps(nodes)
    check_no_start_after_success(nodes)
    check_step_order(nodes)
    check_retry_limit(nodes)


def check_no_overlaps(nodes):
    """Check that no exclusive task ever ran twice at the same time."""
    for task, runs in _group_by_task(nodes).items():
        leased = [run for run in runs if run.attempt.lease_until_ms]
        leased.sort(key=lambda run: run.order)
        for run, other in itertools.combinations(leased, 2):
            if not run.end_order or run.end_order > other.order:
                raise cluster_fakes.Violation(
                    f'{task} ran twice at once: {format_runs(nodes, task)}'
                )


def format_runs(nodes, task):
    """Format the runs of a task for a message, in the order of their starts.

    Starts and ends have numbers in the order in which they came about.
    """
    rows = [
        (run, node.vm.name)
        for node in nodes
        for run in node.worker.record
        if run.attempt.task == task
    ]
    rows.sort(key=lambda row: row[0].order)
    return '; '.join(
        f'{run.attempt.attempt} on {name} at {run.true_began:.1f}, '
        f'{run.order}-{run.end_order or ""} {run.attempt.state.name}'
        f'{" acked" if run.noted else ""}{" lapsed" if run.lapsed else ""}'
        for run, name in rows
    )


def check_no_start_after_success(nodes):
    """Check that no task starts after an acknowledged success.

    The acknowledgement may come before or after the start.
    """
    for runs in _group_by_task(nodes).values():
        success_orders = [
            run.end_order
            for run in runs
            if run.noted and run.attempt.state == data.RunState.SUCCEEDED
        ]
        late_runs = [
            run
            for run in runs
            if success_orders and run.order > min(success_orders)
        ]
        if late_runs:
            task = late_runs[0].attempt.task
            raise cluster_fakes.Violation(
                f'{task} started after its success: {format_runs(nodes, task)}'
            )


def check_step_order(nodes):
    """Check that a job's step starts only after the one before succeeded."""
    runs_by_task = _group_by_task(nodes)
    for task, runs in runs_by_task.items():
        parts = task.split('.')
        if not is_job_task(task) or parts[2] == '0':
            continue
        previous_step = f'{parts[0]}.{parts[1]}.{int(parts[2]) - 1}.'
        first_start = min(run.order for run in runs)
        for other, other_runs in runs_by_task.items():
            if other.startswith(previous_step) and not _succeeded_before(
                other_runs, first_start
            ):
                raise cluster_fakes.Violation(
                    f'{task} started before {other} succeeded'
                )


def check_retry_limit(nodes):
    """Check that no job's task starts after its last allowed failure."""
    for task, runs in _group_by_task(nodes).items():
        failure_orders = sorted(
            run.end_order
            for run in runs
            if run.noted and run.attempt.state == data.RunState.FAILED
        )
        if len(failure_orders) < MAX_FAILURES or not is_job_task(task):
            continue
        if any(run.order > failure_orders[MAX_FAILURES - 1] for run in runs):
            raise cluster_fakes.Violation(
                f'{task} started after its last allowed failure'
            )


def is_job_task(task):
    """Return whether a task id is a job's, which is JOB.TIME.STEP.NUMBER."""
    return task.count('.') == 3


def _group_by_task(nodes):
    """Return the runs that all workers recorded, by task."""
    runs_by_task = collections.defaultdict(list)
    for node in nodes:
        for run in node.worker.record:
            runs_by_task[run.attempt.task].append(run)
    return runs_by_task


def _succeeded_before(runs, order):
    """Return whether one of a task's runs succeeded before an order number.

    :param order: sequence number, as in ``cluster_fakes.Run.order``
    """
    return any(
        run.attempt.state == data.RunState.SUCCEEDED and run.end_order < order
        for run in runs
    )


def check_end(cluster):
    """Check that no accepted job is lost and each ended in an allowed state.

    :param cluster: a ``cluster.Cluster`` that has settled
    """
    state = cluster.read_state()
    cancelled = cluster.list_cancelled()
    for job in cluster.list_accepted():
        if job in state.jobs:
            _check_job_state(cluster, state, job, job in cancelled)
            continue
        if job not in state.workloads:
            raise cluster_fakes.Violation(f'accepted job {job} is lost')
        tasks = state.list_tasks(state.workloads[job])
        # A task that crashes workers may fail its whole job.
        has_crasher = any(task.id in cluster.crashers for task in tasks)
        for task in tasks:
            _check_task_end(task, job in cancelled, has_crasher)


def _check_job_state(cluster, state, job, cancelled):
    """Check that a job completed, unless it may fail or was cancelled."""
    job_state = state.find_job_state(job)
    has_crasher = any(task.startswith(job) for task in cluster.crashers)
    expected = {'completed'}
    if cancelled:
        expected.add('cancelled')
    if has_crasher or job in cluster.exhausted_jobs:
        expected.add('failed')
    if job_state not in expected:
        raise cluster_fakes.Violation(f'job {job} ended as {job_state}')


def _check_task_end(task, cancelled, has_crasher):
    allowed = {data.TaskState.SUCCEEDED}
    if cancelled:
        allowed.add(data.TaskState.CANCELLED)
    if has_crasher:
        allowed.add(data.TaskState.FAILED)
    if task.state not in allowed:
        raise cluster_fakes.Violation(f'{task.id} ended as {task.state}')
    expected = f'result of {task.id}'.encode()
    if task.state == data.TaskState.SUCCEEDED and task.result != expected:
        raise cluster_fakes.Violation(
            f'{task.id} has the result {task.result}'
        )
