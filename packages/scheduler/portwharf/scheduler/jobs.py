# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Validates jobs, expands them into workloads and computes objectives.

The steps of a job form a directed acyclic graph: a step becomes ready when all
tasks of the steps that it depends on have succeeded. Each step is a workload,
so that placement, limits, recovery and ``explain`` need no special cases; a
recurring job has a workload for each step of the occurrences that are due.
"""

import dataclasses

from portwharf.core import codec
from portwharf.core import data

CODE_BAD_JOB = 'bad-job'
# A job that takes this many times its objective is of no use any more.
LATE_FACTOR = 3
# Importance of a job of rank 0, and how much less each further rank has.
_TOP_RANK_IMPORTANCE = 900
_IMPORTANCE_PER_RANK = 100
# Limit of an objective, some thousand years. Times that are computed from it
# fit into 64 bits.
_MAX_OBJECTIVE_MS = 2**48
# Size limit of a job in the log: several fit into one entry.
MAX_JOB_BYTES = 256 * 1024
# Memory that the workloads of one recurring job may take, in bytes.
MAX_RECURRING_BYTES = 2**20
# Estimated memory of an accepted job's parts, in bytes, in each process that
# reads the log.
_JOB_BYTES = 1000
_WORKLOAD_BYTES = 1000
_DEPENDENCY_BYTES = 75
_TASK_BYTES = 450


@dataclasses.dataclass(slots=True)
class StepRecord:
    """One step of one occurrence, with the fields of a workload record."""

    id: str = ''
    key: str = ''
    unix_ms: int = 0
    workload: data.Workload = None
    not_before_ms: int = 0


def to_fields(step):
    """Return the fields of a step record as a dict by name."""
    return {
        field.name: getattr(step, field.name)
        for field in dataclasses.fields(step)
    }


def make_step_id(job_id, occurrence, number):
    """Return the workload id of a step of one occurrence."""
    return f'{job_id}.{occurrence}.{number}'


def split_step_id(name):
    """Return the job id, occurrence and step number of a workload id."""
    job_id, occurrence, number = name.rsplit('.', 2)
    return job_id, int(occurrence), int(number)


def find_due_ms(job, occurrence):
    """Return the wall time at which an occurrence of a job is due.

    It may not fit into 64 bits.
    """
    return job.first_ms + occurrence * job.interval_ms


def count_due(job, now_ms):
    """Return how many occurrences of a recurring job are due at a time."""
    passed_ms = now_ms - job.first_ms
    if passed_ms < 0:
        return 0
    if not job.interval_ms:
        return job.times
    return min(job.times, passed_ms // job.interval_ms + 1)


def estimate_job_bytes(job):
    """Return the memory that a job takes with one occurrence, in bytes."""
    own = _JOB_BYTES + len(job.argument)
    own += sum(_estimate_step_bytes(step) for step in job.steps)
    return own + estimate_occurrence_bytes(job)


def estimate_occurrence_bytes(job):
    """Return the memory that one occurrence of a job takes, in bytes."""
    return sum(
        _estimate_step_bytes(step) + _TASK_BYTES * step.count
        for step in job.steps
    )


def make_steps(job, occurrence, unix_ms):
    """Return the :class:`StepRecord` values of one occurrence of a job.

    :param occurrence: number of the occurrence, from 0
    :param unix_ms: when the job was accepted
    """
    start_ms = unix_ms
    if job.times:
        start_ms = find_due_ms(job, occurrence)
    made = []
    for number, step in enumerate(job.steps):
        name = make_step_id(job.id, occurrence, number)
        after = [make_step_id(job.id, occurrence, int(n)) for n in step.after]
        importance = max(
            0, _TOP_RANK_IMPORTANCE - _IMPORTANCE_PER_RANK * job.rank
        )
        workload = dataclasses.replace(
            step, name=name, job=job.id, after=after, importance=importance
        )
        made.append(
            StepRecord(
                name,
                name,
                unix_ms,
                workload,
                start_ms if job.times else 0,
            )
        )
    return made


def compute_path_ms(steps, run_ms=None):
    """Return how long it takes from each step to the end of the job.

    :param run_ms: how long a task of each step runs; by default as estimated
    :returns: list of milliseconds: the longest path of dependent steps that
        begins with the step
    """
    run_ms = run_ms or [step.run_ms for step in steps]
    chains = list(run_ms)
    for number in reversed(range(len(steps))):
        for dependency in steps[number].after:
            longest = run_ms[int(dependency)] + chains[number]
            chains[int(dependency)] = max(chains[int(dependency)], longest)
    return chains


def compute_objective_ms(job, chain_ms):
    """Return the time in ms within which a job should end.

    :param chain_ms: length of the job's critical path
    """
    if not job.stretch:
        return limit_objective_ms(job.objective_ms)
    return limit_objective_ms(job.stretch * chain_ms + job.allowance_ms)


def limit_objective_ms(objective_ms):
    """Return an objective that calculations can use, in ms."""
    return min(objective_ms, _MAX_OBJECTIVE_MS)


def validate_job(job):
    """Return why a job is not valid, as ``data.Problem``, or None."""
    if not job.id or not job.steps:
        return _make_problem(job, 'id', job.id, 'a job needs an id and steps')
    for number, step in enumerate(job.steps):
        field = f'steps.{number}'
        if step.count < 1:
            text = 'must be at least 1'
            return _make_problem(job, f'{field}.count', str(step.count), text)
        for dependency in step.after:
            if not dependency.isdecimal() or int(dependency) >= number:
                text = 'must be the number of an earlier step'
                return _make_problem(job, f'{field}.after', dependency, text)
    return _find_endless_problem(job)


def check_size(job):
    """Return why a job is too large for the log, or None."""
    size = len(codec.pack(job))
    if size <= MAX_JOB_BYTES:
        return None
    text = f'must be at most {MAX_JOB_BYTES} bytes in the log'
    return _make_problem(job, 'job', f'{size} bytes', text)


def _estimate_step_bytes(step):
    """Return the memory of a workload without its tasks, in bytes."""
    texts = (step.label, step.image, step.program, step.data_rack)
    return (
        _WORKLOAD_BYTES
        + _DEPENDENCY_BYTES * len(step.after)
        + sum(map(len, texts))
    )


def _find_endless_problem(job):
    """Return why a job's lasting occurrences cannot be held, or None.

    They never end, so that later ones cannot wait for them.
    """
    if all(step.kind == data.Kind.BATCH for step in job.steps):
        return None
    if job.times * estimate_occurrence_bytes(job) <= MAX_RECURRING_BYTES:
        return None
    text = 'is too high for tasks that never end, as all would run at once'
    return _make_problem(job, 'times', str(job.times), text)


def _make_problem(job, field, value, text):
    return data.Problem(
        CODE_BAD_JOB, field, value, text, f'mend it and submit {job.id} again'
    )
