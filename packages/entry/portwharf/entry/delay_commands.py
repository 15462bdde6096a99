# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The command that tells from logs where the time of jobs went."""

import collections
import dataclasses
import json
import typing

import cappa

from portwharf.core import data
from portwharf.entry import calling
from portwharf.entry import delays
from portwharf.entry import histories
from portwharf.entry import tables

# Jobs that are listed one by one.
MOST_JOBS = 10


@cappa.command(name='delays')
@dataclasses.dataclass
class Delays:
    """Tell from logs why jobs were late, or were not done.

    Takes the logs of all processes, as files. For each queue, the seconds
    that its late jobs took are shown by cause, and those of the slowest.

    Example: portwharf report delays owner.log side-*.log entry-*.log
    """

    logs: list[str]
    all: typing.Annotated[
        bool, cappa.Arg(long='--all', help='Count jobs in time as well.')
    ] = False
    json: calling.Json = False

    def __call__(self):
        lines = []
        for path in self.logs:
            lines += _read_file(path)
        found = delays.measure_all(histories.read_lines(lines))
        counted = [one for one in found if self.all or one.is_late]
        if self.json:
            print(json.dumps([_describe(one) for one in counted]))
            return
        _print_queues(found, counted)
        print()
        _print_jobs(counted)


def _read_file(path):
    """Return the lines of a file, or say what is wrong and exit."""
    try:
        with open(path, encoding='utf-8', errors='replace') as source:
            return source.readlines()
    except OSError as exc:
        problem = data.Problem(
            'unreadable-file',
            'logs',
            path,
            str(exc),
            'name files that hold the logs of the processes',
        )
        return calling.fail_with_problems([problem])


def _print_queues(found, counted):
    """Print the mean seconds of each queue's jobs, by cause."""
    rows = []
    for queue in sorted({one.job.queue for one in found}):
        mine = [one for one in counted if one.job.queue == queue]
        total = sum(one.job.queue == queue for one in found)
        late = sum(one.is_late for one in found if one.job.queue == queue)
        seconds = collections.Counter()
        for one in mine:
            seconds.update(one.seconds)
        count = max(1, len(mine))
        took = sum(one.took for one in mine) / count
        tail = sum(one.tail for one in mine) / count
        rows.append(
            (queue, total, late, f'{took:.2f}', f'{tail:.2f}')
            + _list_cells(seconds, count)
        )
    heads = ('QUEUE', 'JOBS', 'LATE', 'MEAN S', 'TAIL')
    tables.print_table(heads + _list_heads(), rows)


def _print_jobs(counted):
    """Print the jobs that took the longest."""
    slowest = sorted(counted, key=lambda one: -one.took)[:MOST_JOBS]
    rows = [
        (
            one.job.id,
            one.job.queue,
            one.job.state or 'not done',
            f'{one.job.due:.1f}',
            f'{one.took:.2f}',
        )
        + _list_cells(one.seconds, 1)
        for one in slowest
    ]
    heads = ('JOB', 'QUEUE', 'STATE', 'DUE', 'TOOK')
    tables.print_table(heads + _list_heads(), rows)


def _list_heads():
    return tuple(cause.upper() for cause in delays.CAUSES)


def _list_cells(seconds, count):
    return tuple(f'{seconds[cause] / count:.2f}' for cause in delays.CAUSES)


def _describe(one):
    """Return a delay as a value for JSON."""
    return {
        'job': one.job.id,
        'queue': one.job.queue,
        'state': one.job.state,
        'accepted': one.job.accepted,
        'due': one.job.due,
        'took': one.took,
        'late': one.is_late,
        'tail': one.tail,
        'seconds': dict(one.seconds),
    }
