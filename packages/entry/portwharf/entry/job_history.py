# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Reads job histories from the logs of all processes.

Each log line holds a JSON object, possibly after a prefix added by a log
collector. Lines of several processes may be in one file or in many, and in
any order: they are sorted by their timestamps.
"""

import collections
import dataclasses
import datetime
import json

_MS_PER_SECOND = 1000
# Reasons of unsuccessful attempts besides the states reported by sides.
MOVED = 'moved'
LOST = 'lost'
# State of a job that its client cancelled.
CANCELLED = 'cancelled'
# HTTP status of a successful call.
_OK = 200


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a task; times are in seconds since 1970.

    :param placed: when the owner placed it
    :param ended: when its end was reported to the owner, or None
    :param reason: why it was unsuccessful: MOVED, LOST or the state reported
        by its side; '' if it succeeded or still runs
    :param paced: seconds lost because the side slowed it down
    :param paced_by: these seconds by what limited its share
    """

    placed: float = 0.0
    vm: str = ''
    ended: float = None
    reason: str = ''
    paced: float = 0.0
    succeeded: bool = False
    paced_by: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class StepHistory:
    """Attempts and waits of the tasks of a step.

    :param tasks: map of task number to a map of attempts by number
    :param run: run time in seconds of a task at full pace, or None
    :param waits: list of (time, reason) at which it was logged as waiting
    """

    tasks: dict = dataclasses.field(
        default_factory=lambda: collections.defaultdict(dict)
    )
    run: float = None
    waits: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class JobHistory:
    """Times, steps and final state of a job; times as in Attempt.

    :param sent: when its client first sent it, or None if no entry logged it
    :param due: seconds that it may add, 0 for no limit
    :param state: final state, '' if it has not ended
    :param steps: map of (time, number) to StepHistory
    """

    id: str = ''
    queue: str = ''
    sent: float = None
    accepted: float = None
    due: float = 0.0
    ended: float = None
    state: str = ''
    steps: dict = dataclasses.field(
        default_factory=lambda: collections.defaultdict(StepHistory)
    )


@dataclasses.dataclass(slots=True)
class Histories:
    """Histories of all jobs in the logs.

    :param jobs: map of job id to JobHistory
    :param ownerless: list of (begin, end) without an owner
    :param last: time of the last line
    """

    jobs: dict = dataclasses.field(
        default_factory=lambda: collections.defaultdict(JobHistory)
    )
    ownerless: list = dataclasses.field(default_factory=list)
    last: float = 0.0


def read_lines(lines):
    """Return the :class:`Histories` in log lines.

    :param lines: lines of any processes; lines that are no logs are skipped
    """
    rows = [row for row in map(_read_line, lines) if row is not None]
    rows.sort(key=lambda row: row[0])
    histories = Histories()
    reader = _Reader(histories)
    for moment, fields in rows:
        histories.last = moment
        reader.add(moment, fields)
    histories.ownerless = reader.list_ownerless()
    return histories


class _Reader:
    """Adds log lines, in order of time, to histories."""

    def __init__(self, histories):
        self._histories = histories
        # Pairs of the start of an owner and the time of its last decision.
        self._owners = []
        self._handlers = {
            'submit answered': self._add_submission,
            'cancel answered': self._add_cancellation,
            'job accepted': self._add_acceptance,
            'job ended': self._add_end,
            'placed': self._add_placements,
            'succeeded': self._add_successes,
            'attempt ended': self._add_failed_attempt,
            'evicting': self._add_eviction,
            'lost with its VM': self._add_loss,
            'worked at a share': self._add_paced_time,
            'waits for a place': self._add_wait,
        }

    def add(self, moment, fields):
        """Add the fields of one line."""
        handler = self._handlers.get(fields.get('message'))
        if handler is not None:
            handler(moment, fields)
        if fields.get('message') == 'owner begins':
            self._owners.append([moment, moment])
        elif fields.get('name', '').endswith('.decisionlog') and self._owners:
            self._owners[-1][1] = moment

    def list_ownerless(self):
        """Return (begin, end) of the gaps between owners."""
        pairs = zip(self._owners, self._owners[1:], strict=False)
        return [(former[1], later[0]) for former, later in pairs]

    def _add_submission(self, moment, fields):
        job = self._find_job(fields['request'])
        sent = moment - fields.get('took_ms', 0) / _MS_PER_SECOND
        job.sent = sent if job.sent is None else min(job.sent, sent)

    def _add_cancellation(self, moment, fields):
        """Record a cancellation that was confirmed to the client."""
        job = self._find_job(fields['request'])
        if fields.get('status') == _OK and job.ended is None:
            job.ended = moment
            job.state = CANCELLED

    def _add_acceptance(self, moment, fields):
        job = self._find_job(fields['request'])
        job.accepted = job.accepted or moment
        job.queue = fields.get('queue', '')
        job.due = (fields.get('due_ms') or 0) / _MS_PER_SECOND

    def _add_end(self, moment, fields):
        job = self._find_job(fields['request'])
        if job.state == CANCELLED:
            return
        job.ended = moment
        job.state = fields.get('state', '')

    def _add_placements(self, moment, fields):
        for task, number in _list_attempts(fields):
            step = self._find_step(fields['workload'])
            step.tasks[task][number] = Attempt(moment, fields.get('vm', ''))

    def _add_successes(self, moment, fields):
        step = self._find_step(fields['workload'])
        if fields.get('run_ms'):
            step.run = fields['run_ms'] / _MS_PER_SECOND
        for task, number in _list_attempts(fields):
            attempt = step.tasks[task].setdefault(number, Attempt(moment))
            attempt.ended = moment
            attempt.succeeded = True

    def _add_failed_attempt(self, moment, fields):
        self._end_attempt(moment, fields, fields.get('state', ''))

    def _add_eviction(self, moment, fields):
        self._end_attempt(moment, fields, MOVED)

    def _add_loss(self, moment, fields):
        self._end_attempt(moment, fields, LOST)

    def _end_attempt(self, moment, fields, reason):
        """End an attempt without success; the first reason counts."""
        attempt = self._find_attempt(fields)
        if attempt is None or attempt.succeeded or attempt.reason:
            return
        attempt.ended = moment
        attempt.reason = reason

    def _add_paced_time(self, moment, fields):
        attempt = self._find_attempt(fields)
        if attempt is not None:
            attempt.paced = fields.get('paced_ms', 0) / _MS_PER_SECOND
            attempt.paced_by = {
                limit: lost_ms / _MS_PER_SECOND
                for limit, lost_ms in (fields.get('paced_by') or {}).items()
            }

    def _add_wait(self, moment, fields):
        step = self._find_step(fields['workload'])
        step.waits.append((moment, fields.get('reason', '')))

    def _find_job(self, name):
        job = self._histories.jobs[name]
        job.id = name
        return job

    def _find_step(self, workload):
        """Return the step of a workload id, as in ``job.time.number``."""
        parts = workload.rsplit('.', 2)
        if len(parts) < 3:
            return self._find_job(workload).steps[0]
        job, time, number = parts
        return self._find_job(job).steps[(int(time), int(number))]

    def _find_attempt(self, fields):
        workload, _, task = fields.get('task', '').rpartition('.')
        if not workload or not task.isdigit():
            return None
        step = self._find_step(workload)
        return step.tasks[int(task)].get(fields.get('attempt'))


def _read_line(line):
    """Return (seconds since 1970, fields) of a log line, or None."""
    begin = line.find('{')
    if begin < 0:
        return None
    try:
        fields = json.loads(line[begin:])
        moment = datetime.datetime.strptime(
            fields['asctime'], '%Y-%m-%d %H:%M:%S,%f'
        )
    except (ValueError, KeyError, TypeError):
        return None
    moment = moment.replace(tzinfo=datetime.timezone.utc)
    return moment.timestamp(), fields


def _list_attempts(fields):
    """Yield (task, attempt) numbers of a text like ``0.1,3.2``."""
    for part in fields.get('tasks', '').split(','):
        task, _, attempt = part.partition('.')
        if task.isdigit() and attempt.isdigit():
            yield int(task), int(attempt)
