# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""How a job's steps become workloads, and how long their chains take.

A job is a graph: a step begins when all tasks of the steps before it have
succeeded. Each step is a workload of its own, so that placement, limits,
recovery and ``explain`` treat it as any other; a job that is run several
times has a workload for each step and time.
"""

import dataclasses

from portwharf.core import data

# A job that takes this many times its objective is too late to matter.
LATE_FACTOR = 3
# Importance of the first rank; each next one counts this much less.
_FIRST_IMPORTANCE = 900
_RANK_STEP = 100


@dataclasses.dataclass(slots=True)
class Step:
    """One step at one time, as the fields of a workload's record."""

    id: str = ''
    key: str = ''
    unix_ms: int = 0
    workload: data.Workload = None
    not_before_ms: int = 0


def list_fields(step):
    """Return a step's fields by their names."""
    return {
        field.name: getattr(step, field.name)
        for field in dataclasses.fields(step)
    }


def make_step_id(job_id, time, number):
    """Return the id of the workload of a step at one time."""
    return f'{job_id}.{time}.{number}'


def split_step_id(name):
    """Return job, time and number of a step's workload, by its id."""
    job_id, time, number = name.rsplit('.', 2)
    return job_id, int(time), int(number)


def make_steps(job, time, unix_ms):
    """Return the :class:`Step` values of one of a job's times.

    :param unix_ms: when the job was accepted
    """
    begins = unix_ms
    if job.times:
        begins = job.first_ms + time * job.interval_ms
    made = []
    for number, step in enumerate(job.steps):
        name = make_step_id(job.id, time, number)
        after = [make_step_id(job.id, time, int(n)) for n in step.after]
        importance = max(0, _FIRST_IMPORTANCE - _RANK_STEP * job.rank)
        workload = dataclasses.replace(
            step, name=name, job=job.id, after=after, importance=importance
        )
        made.append(
            Step(
                name,
                name,
                unix_ms,
                workload,
                begins if job.times else 0,
            )
        )
    return made


def measure_chains(steps, run_ms=None):
    """Return for each step how long it and what comes after it takes.

    :param run_ms: how long a task of each step runs; by default as estimated
    :returns: list of milliseconds
    """
    run_ms = run_ms or [step.run_ms for step in steps]
    chains = list(run_ms)
    for number in reversed(range(len(steps))):
        for before in steps[number].after:
            longest = run_ms[int(before)] + chains[number]
            chains[int(before)] = max(chains[int(before)], longest)
    return chains


def find_objective(job, chain_ms):
    """Return within how many ms a job should end.

    :param chain_ms: how long its longest chain of work takes
    """
    if not job.stretch:
        return job.objective_ms
    return job.stretch * chain_ms + job.allowance_ms


def find_problem(job):
    """Return the ``data.Problem`` of a job that cannot be accepted."""
    if not job.id or not job.steps:
        return _describe(job, 'id', job.id, 'a job needs an id and steps')
    for number, step in enumerate(job.steps):
        field = f'steps.{number}'
        if step.count < 1:
            text = 'must be at least 1'
            return _describe(job, f'{field}.count', str(step.count), text)
        for before in step.after:
            if not before.isdigit() or int(before) >= number:
                text = 'must be the number of an earlier step'
                return _describe(job, f'{field}.after', before, text)
    return None


def _describe(job, field, value, text):
    return data.Problem(
        'bad-job', field, value, text, f'mend it and submit {job.id} again'
    )
