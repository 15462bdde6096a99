# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What a declared workload must satisfy, one check in each function.

Each takes a ``data.Workload`` and returns a list of Problems. All run, so
that an operator hears of everything at once. Whether the cluster can hold
the workload is the scheduler's question and not asked here.
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
NAME_RULE = 'letters, digits, dots and dashes, at most 63'


def check_workload(workload):
    """Return all that is wrong with a declared workload."""
    return [problem for check in CHECKS for problem in check(workload)]


def check_names(workload):
    """Names and teams are short and plain, so that they fit in ids."""
    problems = []
    for field in ('name', 'team', 'program'):
        value = getattr(workload, field)
        try:
            settings.name(value)
        except settings.Invalid:
            problems.append(
                _make(field, repr(value), f'must be {NAME_RULE}', 'rename it')
            )
    return problems


def check_kind(workload):
    """A workload is one of three kinds."""
    if workload.kind in list(data.Kind):
        return []
    return [
        _make(
            'kind',
            str(workload.kind),
            'must be KIND_SERVICE, KIND_BATCH or KIND_STANDING',
            'set it',
        )
    ]


def check_resources(workload):
    """A task takes some processor and memory, within what can be meant."""
    size = workload.resources
    problems = []
    rows = (
        ('cpu_milli', size.cpu_milli, 1, MAX_CPU_MILLI),
        ('memory_mb', size.memory_mb, 1, MAX_MEMORY_MB),
        ('accelerators', size.accelerators, 0, MAX_ACCELERATORS),
    )
    for field, value, least, most in rows:
        problems += _check_range(f'resources.{field}', value, least, most)
    return problems


def check_numbers(workload):
    """Count, importance and times lie in their ranges."""
    rows = (
        ('count', workload.count, 1, MAX_COUNT),
        ('importance', workload.importance, 0, MAX_IMPORTANCE),
        ('run_seconds', workload.run_seconds, 0, MAX_SECONDS),
        ('deadline_seconds', workload.deadline_seconds, 0, MAX_SECONDS),
    )
    return [
        problem
        for field, value, least, most in rows
        for problem in _check_range(field, value, least, most)
    ]


def check_batch_fields(workload):
    """Deadlines and run times are for batch jobs alone."""
    if workload.kind == data.Kind.BATCH:
        return []
    return [
        _make(
            field,
            str(getattr(workload, field)),
            'is for batch jobs only',
            'leave it out',
        )
        for field in ('run_seconds', 'deadline_seconds')
        if getattr(workload, field)
    ]


def check_deadline(workload):
    """A job that has to be done sooner than it can run is a mistake."""
    late = 0 < workload.deadline_seconds < workload.run_seconds
    if not late:
        return []
    return [
        _make(
            'deadline_seconds',
            str(workload.deadline_seconds),
            f'is shorter than run_seconds = {workload.run_seconds}',
            'allow more time, or declare a shorter run',
        )
    ]


def check_argument(workload):
    """The argument is logged, so it has to be small."""
    size = len(workload.argument)
    if size <= MAX_ARGUMENT_BYTES:
        return []
    return [
        _make(
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
    check_numbers,
    check_batch_fields,
    check_deadline,
    check_argument,
)


def _check_range(field, value, least, most):
    if least <= value <= most:
        return []
    text = f'must be a whole number from {least:,} to {most:,}'
    return [_make(field, str(value), text, 'change the value')]


def _make(field, value, text, remedy):
    return data.Problem('bad-field', f'workload.{field}', value, text, remedy)
