# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Validation of declared workloads, one rule in each function.

Each function takes a ``data.Workload`` and returns a list of Problems. All
are run, so that an operator sees all problems at once. Whether the cluster
has the capacity for a workload is checked by the scheduler.
"""

from portwharf.core import data
from portwharf.core import settings

MAX_ARGUMENT_BYTES = 64 * 1024
MAX_COUNT = 100_000
MAX_IMPORTANCE = 1000
MAX_CPU_MILLI = 1_000_000
MAX_MEMORY_MB = 16_000_000
MAX_ACCELERATORS = 64
MAX_SECONDS = 30 * 24 * 3600
NAME_RULE = 'ASCII letters, digits, dots and dashes, at most 63'


def check_workload(workload):
    """Return all problems of a declared workload."""
    return [problem for check in CHECKS for problem in check(workload)]


def check_names(workload):
    """Check that names are valid as parts of ids."""
    problems = []
    for field in ('name', 'team', 'program'):
        value = getattr(workload, field)
        try:
            settings.name(value)
        except settings.Invalid:
            problems.append(
                _make_problem(
                    field, repr(value), f'must be {NAME_RULE}', 'rename it'
                )
            )
    return problems


def check_kind(workload):
    """Check that the kind is one of the three kinds."""
    if workload.kind in list(data.Kind):
        return []
    return [
        _make_problem(
            'kind',
            str(workload.kind),
            'must be KIND_SERVICE, KIND_BATCH or KIND_STANDING',
            'set one of these kinds',
        )
    ]


def check_resources(workload):
    """Check that each resource is within its range."""
    resources = workload.resources
    problems = []
    ranges = (
        ('cpu_milli', resources.cpu_milli, 1, MAX_CPU_MILLI),
        ('memory_mb', resources.memory_mb, 1, MAX_MEMORY_MB),
        ('accelerators', resources.accelerators, 0, MAX_ACCELERATORS),
    )
    for field, value, low, high in ranges:
        problems += _check_range(f'resources.{field}', value, low, high)
    return problems


def check_ranges(workload):
    """Check that count, importance and durations are within their ranges."""
    ranges = (
        ('count', workload.count, 1, MAX_COUNT),
        ('importance', workload.importance, 0, MAX_IMPORTANCE),
        ('run_seconds', workload.run_seconds, 0, MAX_SECONDS),
        ('deadline_seconds', workload.deadline_seconds, 0, MAX_SECONDS),
    )
    return [
        problem
        for field, value, low, high in ranges
        for problem in _check_range(field, value, low, high)
    ]


def check_batch_fields(workload):
    """Check that only batch jobs have a deadline or a run time."""
    if workload.kind == data.Kind.BATCH:
        return []
    return [
        _make_problem(
            field,
            str(getattr(workload, field)),
            'is allowed for batch jobs only',
            'remove it',
        )
        for field in ('run_seconds', 'deadline_seconds')
        if getattr(workload, field)
    ]


def check_deadline(workload):
    """Check that a deadline is not shorter than the run time."""
    is_too_short = 0 < workload.deadline_seconds < workload.run_seconds
    if not is_too_short:
        return []
    return [
        _make_problem(
            'deadline_seconds',
            str(workload.deadline_seconds),
            f'is shorter than run_seconds = {workload.run_seconds}',
            'set a longer deadline or a shorter run time',
        )
    ]


def check_argument(workload):
    """Check the size of the argument, which is stored in the shard log."""
    size = len(workload.argument)
    if size <= MAX_ARGUMENT_BYTES:
        return []
    return [
        _make_problem(
            'argument',
            f'{size} bytes',
            f'must be at most {MAX_ARGUMENT_BYTES} bytes',
            'pass a reference to the data instead',
        )
    ]


CHECKS = (
    check_names,
    check_kind,
    check_resources,
    check_ranges,
    check_batch_fields,
    check_deadline,
    check_argument,
)


def _check_range(field, value, low, high):
    if low <= value <= high:
        return []
    text = f'must be a whole number from {low:,} to {high:,}'
    return [_make_problem(field, str(value), text, 'change the value')]


def _make_problem(field, value, text, remedy):
    return data.Problem('bad-field', f'workload.{field}', value, text, remedy)
