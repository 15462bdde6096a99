# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The histories of jobs, read from the logs of all processes.

A log is a file of lines that hold a JSON object each, whatever the collector
has put before it. Lines of several processes may be in one file or in many,
in any order: what counts is the time that each line gives.
"""

import collections
import dataclasses
import datetime
import json

_MS = 1000
# Why an attempt came to nothing, besides the states that sides tell.
MOVED = 'moved'
LOST = 'lost'
# How a job ended that its client gave up.
CANCELLED = 'cancelled'
# The status of a call that was carried out.
_DONE = 200


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a task, in seconds since 1970.

    :param placed: when the owner placed it
    :param ended: when the owner heard of its end, or None
    :param reason: why it came to nothing: MOVED, LOST or the state that its
        side told; '' if it succeeded or still runs
    :param paced: seconds that it lost to working at a share
    """

    placed: float = 0.0
    vm: str = ''
    ended: float = None
    reason: str = ''
    paced: float = 0.0
    succeeded: bool = False


@dataclasses.dataclass(slots=True)
class StepHistory:
    """What became of a step's tasks.

    :param tasks: by task number, its attempts by their numbers
    :param run: seconds that a task runs at full pace, or None
    :param waits: when it had waited for long, and what for
    """

    tasks: dict = dataclasses.field(
        default_factory=lambda: collections.defaultdict(dict)
    )
    run: float = None
    waits: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class JobHistory:
    """What became of a job.

    :param sent: when its client first sent it, as far as an entry told
    :param due: seconds that it should take at the most
    :param state: how it ended, '' if it did not
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
    """All that the logs tell of jobs.

    :param ownerless: spans without an owner, as (begin, end)
    :param last: the time of the last line
    """

    jobs: dict = dataclasses.field(
        default_factory=lambda: collections.defaultdict(JobHistory)
    )
    ownerless: list = dataclasses.field(default_factory=list)
    last: float = 0.0


def read_lines(lines):
    """Return the :class:`Histories` that log lines tell.

    :param lines: texts, of any number of processes; others are passed over
    """
    rows = [row for row in map(_read_line, lines) if row is not None]
    rows.sort(key=lambda row: row[0])
    made = Histories()
    reader = _Reader(made)
    for moment, fields in rows:
        made.last = moment
        reader.take(moment, fields)
    made.ownerless = reader.list_ownerless()
    return made


class _Reader:
    """Puts one line after the other, by time, into histories."""

    def __init__(self, made):
        self._made = made
        # When an owner was last heard of, and where owners changed.
        self._owners = []
        self._takers = {
            'submit answered': self._take_answer,
            'cancel answered': self._take_cancel,
            'job accepted': self._take_acceptance,
            'job ended': self._take_end,
            'placed': self._take_placements,
            'succeeded': self._take_successes,
            'attempt ended': self._take_bad_end,
            'evicting': self._take_move,
            'lost with its VM': self._take_loss,
            'worked at a share': self._take_share,
            'waits for a place': self._take_wait,
        }

    def take(self, moment, fields):
        """Take one line's fields."""
        taker = self._takers.get(fields.get('message'))
        if taker is not None:
            taker(moment, fields)
        if fields.get('message') == 'owner begins':
            self._owners.append([moment, moment])
        elif fields.get('name', '').endswith('.decisionlog') and self._owners:
            self._owners[-1][1] = moment

    def list_ownerless(self):
        """Return from when to when there was no owner that decided."""
        pairs = zip(self._owners, self._owners[1:], strict=False)
        return [(former[1], later[0]) for former, later in pairs]

    def _take_answer(self, moment, fields):
        job = self._find_job(fields['request'])
        sent = moment - fields.get('took_ms', 0) / _MS
        job.sent = sent if job.sent is None else min(job.sent, sent)

    def _take_cancel(self, moment, fields):
        """Take that a client was told that its job is cancelled."""
        job = self._find_job(fields['request'])
        if fields.get('status') == _DONE and job.ended is None:
            job.ended = moment
            job.state = CANCELLED

    def _take_acceptance(self, moment, fields):
        job = self._find_job(fields['request'])
        job.accepted = job.accepted or moment
        job.queue = fields.get('queue', '')
        job.due = (fields.get('due_ms') or 0) / _MS

    def _take_end(self, moment, fields):
        job = self._find_job(fields['request'])
        if job.state == CANCELLED:
            return
        job.ended = moment
        job.state = fields.get('state', '')

    def _take_placements(self, moment, fields):
        for task, number in _list_attempts(fields):
            step = self._find_step(fields['workload'])
            step.tasks[task][number] = Attempt(moment, fields.get('vm', ''))

    def _take_successes(self, moment, fields):
        step = self._find_step(fields['workload'])
        if fields.get('run_ms'):
            step.run = fields['run_ms'] / _MS
        for task, number in _list_attempts(fields):
            attempt = step.tasks[task].setdefault(number, Attempt(moment))
            attempt.ended = moment
            attempt.succeeded = True

    def _take_bad_end(self, moment, fields):
        self._end_attempt(moment, fields, fields.get('state', ''))

    def _take_move(self, moment, fields):
        self._end_attempt(moment, fields, MOVED)

    def _take_loss(self, moment, fields):
        self._end_attempt(moment, fields, LOST)

    def _end_attempt(self, moment, fields, reason):
        """Note that an attempt came to nothing; the first reason counts."""
        attempt = self._find_attempt(fields)
        if attempt is None or attempt.succeeded or attempt.reason:
            return
        attempt.ended = moment
        attempt.reason = reason

    def _take_share(self, moment, fields):
        attempt = self._find_attempt(fields)
        if attempt is not None:
            attempt.paced = fields.get('paced_ms', 0) / _MS

    def _take_wait(self, moment, fields):
        step = self._find_step(fields['workload'])
        step.waits.append((moment, fields.get('reason', '')))

    def _find_job(self, name):
        job = self._made.jobs[name]
        job.id = name
        return job

    def _find_step(self, workload):
        """Return a step by its workload's id, as in ``job.time.number``."""
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
    """Return (seconds since 1970, fields) of a line, or None."""
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
    """Return (task, attempt) numbers of a text as in ``0.1,3.2``."""
    for part in fields.get('tasks', '').split(','):
        task, _, attempt = part.partition('.')
        if task.isdigit() and attempt.isdigit():
            yield int(task), int(attempt)
