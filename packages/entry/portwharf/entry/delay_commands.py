# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The command ``report delays``, which reads logs of all processes."""

import collections
import dataclasses
import json
import typing

import cappa

from portwharf.core import data
from portwharf.entry import cli
from portwharf.entry import delays
from portwharf.entry import job_history
from portwharf.entry import tables

# Slowest jobs listed individually.
MAX_LISTED_JOBS = 10


@cappa.command(name='delays')
@dataclasses.dataclass
class Delays:
    """Explain from logs why jobs were late or did not end.

    Takes the log files of all processes. Prints, for each queue, the mean
    seconds of its late jobs by cause, and those that throttling cost by what
    limited the shares, and then the slowest jobs.

    Example: portwharf report delays owner.log side-*.log entry-*.log
    """

    logs: list[str]
    all: typing.Annotated[
        bool, cappa.Arg(long='--all', help='Count jobs in time as well.')
    ] = False
    json: cli.JsonOption = False

    def __call__(self):
        lines = []
        for path in self.logs:
            lines += _read_file(path)
        measured = delays.measure_delays(job_history.read_lines(lines))
        counted = [delay for delay in measured if self.all or delay.is_late]
        if self.json:
            print(json.dumps([_describe(delay) for delay in counted]))
            return
        _print_queues(measured, counted)
        print()
        _print_limits(counted)
        print()
        _print_jobs(counted)


def _read_file(path):
    """Return the lines of a file, or print the problem and exit."""
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
        return cli.exit_with_problems([problem])


def _print_queues(measured, counted):
    """Print the mean seconds of each queue's jobs, by cause."""
    rows = []
    for queue in sorted({delay.job.queue for delay in measured}):
        queue_delays = [delay for delay in counted if delay.job.queue == queue]
        total = sum(delay.job.queue == queue for delay in measured)
        late = sum(
            delay.is_late for delay in measured if delay.job.queue == queue
        )
        seconds = collections.Counter()
        for delay in queue_delays:
            seconds.update(delay.seconds)
        count = max(1, len(queue_delays))
        took = sum(delay.took for delay in queue_delays) / count
        tail = sum(delay.tail for delay in queue_delays) / count
        rows.append(
            (queue, total, late, f'{took:.2f}', f'{tail:.2f}')
            + _list_cells(seconds, count)
        )
    headers = ('QUEUE', 'JOBS', 'LATE', 'MEAN S', 'TAIL')
    tables.print_table(headers + _list_headers(), rows)


def _print_limits(counted):
    """Print the mean paced seconds of each queue, by what limited shares."""
    rows = []
    for queue in sorted({delay.job.queue for delay in counted}):
        paced = [d.paced_by for d in counted if d.job.queue == queue]
        seconds = collections.Counter()
        for one in paced:
            seconds.update(one)
        for limit, total in seconds.most_common():
            rows.append((queue, limit, f'{total / len(paced):.2f}'))
    tables.print_table(('QUEUE', 'PACED BY', 'MEAN S'), rows)


def _print_jobs(counted):
    """Print the slowest jobs, with their seconds by cause."""
    slowest = sorted(counted, key=lambda delay: -delay.took)[:MAX_LISTED_JOBS]
    rows = [
        (
            delay.job.id,
            delay.job.queue,
            delay.job.state or 'not done',
            f'{delay.job.due:.1f}',
            f'{delay.took:.2f}',
        )
        + _list_cells(delay.seconds, 1)
        for delay in slowest
    ]
    headers = ('JOB', 'QUEUE', 'STATE', 'DUE', 'TOOK')
    tables.print_table(headers + _list_headers(), rows)


def _list_headers():
    """Return a column header for each cause."""
    return tuple(cause.upper() for cause in delays.CAUSES)


def _list_cells(seconds, count):
    """Return the mean seconds of each cause, as table cells."""
    return tuple(f'{seconds[cause] / count:.2f}' for cause in delays.CAUSES)


def _describe(delay):
    """Return a delay as a JSON object."""
    return {
        'job': delay.job.id,
        'queue': delay.job.queue,
        'state': delay.job.state,
        'accepted': delay.job.accepted,
        'due': delay.job.due,
        'took': delay.took,
        'late': delay.is_late,
        'tail': delay.tail,
        'seconds': dict(delay.seconds),
        'paced_by': dict(delay.paced_by),
    }
