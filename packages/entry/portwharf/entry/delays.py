# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Attributes the time that jobs took to causes.

A job is traced backwards from its end along its critical path: the last task
of a step to end determines when the next step could begin. Each second of
that path is attributed to one cause, so that the causes of a job add up to
the time that it took.
"""

import collections
import dataclasses

from portwharf.core import data
from portwharf.entry import job_history

# Causes, in the order of the report's columns; the values are its headings.

# Time from the client's first attempt to the acceptance of the job.
SUBMIT = 'answer'
# No owner made decisions.
NO_OWNER = 'no owner'
# No task of the step was placed yet.
CAPACITY = 'room'
# The last task waited after others of its step, or for a new attempt.
REST_OF_STEP = 'rest of step'
# The step waited for a reason other than capacity: see _HOLD_REASONS.
HELD_BACK = 'held back'
# Run time of the last attempt at full pace.
RUN = 'run'
# Run time lost because the side slowed the task down.
PACED = 'paced'
# Run time of the last attempt beyond RUN and PACED, or a late report.
SLOW = 'slow or told late'
# Attempts that ended without a result, by reason.
FAILED = 'failed'
MOVED = 'moved'
LOST = 'lost'
REFUSED = 'refused'
# Time that the logs do not explain.
UNEXPLAINED = 'untold'
CAUSES = (
    SUBMIT,
    NO_OWNER,
    CAPACITY,
    REST_OF_STEP,
    HELD_BACK,
    RUN,
    PACED,
    SLOW,
    FAILED,
    MOVED,
    LOST,
    REFUSED,
    UNEXPLAINED,
)
_CAUSES_BY_REASON = {
    data.RunState.FAILED: FAILED,
    data.RunState.REFUSED: REFUSED,
    data.RunState.GONE: LOST,
    job_history.LOST: LOST,
}
# Reasons of waiting steps, as logged by the owner, other than capacity.
_HOLD_REASONS = (
    'team-quota',
    'beside-a-suspect',
    'quarantined',
    'availability-zone',
)


@dataclasses.dataclass(slots=True)
class Delay:
    """Time that a job took, by cause.

    :param job: a ``job_history.JobHistory``
    :param took: seconds from the client's first attempt to the end
    :param seconds: map of cause to seconds, which add up to ``took``
    :param tail: seconds at the ends of the steps in which at most a quarter
        of the tasks were unfinished; included in the causes
    :param paced_by: the seconds of PACED by what limited the shares
    """

    job: object = None
    took: float = 0.0
    seconds: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    tail: float = 0.0
    paced_by: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def is_late(self):
        """Whether the job ended after it was due, or did not end."""
        return not self.job.state or self.took > self.job.due


def measure_delays(histories):
    """Return the :class:`Delay` of each job that was not cancelled.

    Jobs without a due time are left out.

    :param histories: a ``job_history.Histories``
    """
    return [
        measure_delay(job, histories)
        for job in histories.jobs.values()
        if job.accepted is not None
        and job.due
        and job.state != job_history.CANCELLED
    ]


def measure_delay(job, histories):
    """Return the :class:`Delay` of one job.

    :param histories: the ``job_history.Histories`` with the job
    """
    begin = job.accepted if job.sent is None else min(job.sent, job.accepted)
    end = histories.last if job.ended is None else job.ended
    delay = Delay(job, end - begin)
    delay.seconds[SUBMIT] += job.accepted - begin
    builder = _DelayBuilder(delay, histories.ownerless)
    steps = list(job.steps.values())
    while steps and end > job.accepted:
        step = max(steps, key=_find_step_end)
        steps.remove(step)
        ready = max(
            (
                _find_step_end(former)
                for former in steps
                if _precedes(former, step)
            ),
            default=job.accepted,
        )
        ready = min(end, max(job.accepted, ready))
        builder.add_step(step, ready, end)
        end = ready
    delay.seconds[UNEXPLAINED] += max(0.0, end - job.accepted)
    return delay


class _DelayBuilder:
    """Adds up the seconds of one job by cause."""

    def __init__(self, delay, ownerless):
        self._delay = delay
        self._ownerless = ownerless

    def add_step(self, step, ready, end):
        """Attribute the time of a step.

        :param ready: when the step could begin
        :param end: when its last task ended
        """
        task = _find_last_task(step)
        attempts = [task[number] for number in sorted(task)]
        self._delay.tail += _measure_tail_seconds(step, end)
        if not attempts:
            self._add_wait(step, ready, end)
            return
        self._add_wait(step, ready, min(end, attempts[0].placed))
        for number, attempt in enumerate(attempts):
            last = number + 1 == len(attempts)
            until = end if last else attempts[number + 1].placed
            begin = max(ready, attempt.placed)
            if attempt.reason:
                self._add_unsuccessful(attempt, begin, until)
            else:
                self._add_final(step, attempt, begin, until)

    def _add_wait(self, step, begin, end):
        """Attribute the time until the last task of a step was placed."""
        first = min(
            (
                attempt.placed
                for task in step.tasks.values()
                for attempt in task.values()
            ),
            default=end,
        )
        first = min(end, max(begin, first))
        held = any(
            begin <= moment <= end and any(h in reason for h in _HOLD_REASONS)
            for moment, reason in step.waits
        )
        self._add_span(HELD_BACK if held else CAPACITY, begin, first)
        self._add_span(HELD_BACK if held else REST_OF_STEP, first, end)

    def _add_unsuccessful(self, attempt, begin, until):
        """Attribute an unsuccessful attempt and the wait after it."""
        ended = until if attempt.ended is None else attempt.ended
        ended = min(until, max(begin, ended))
        paced = min(ended - begin, attempt.paced)
        self._add_paced(attempt, paced)
        self._add_span(
            _find_attempt_cause(attempt.reason), begin + paced, ended
        )
        self._add_span(REST_OF_STEP, ended, until)

    def _add_final(self, step, attempt, begin, end):
        """Attribute an attempt that succeeded, or that still runs."""
        spent = max(0.0, end - begin)
        paced = min(spent, attempt.paced)
        rest = spent - paced
        run_seconds = _estimate_run_seconds(step)
        self._add_paced(attempt, paced)
        if run_seconds is None:
            self._delay.seconds[UNEXPLAINED] += rest
            return
        self._delay.seconds[RUN] += min(rest, run_seconds)
        self._delay.seconds[SLOW] += max(0.0, rest - run_seconds)

    def _add_paced(self, attempt, seconds):
        """Attribute paced seconds, in proportion to the attempt's limits."""
        self._delay.seconds[PACED] += seconds
        total = sum(attempt.paced_by.values())
        for limit, lost in attempt.paced_by.items():
            if lost:
                self._delay.paced_by[limit] += seconds * lost / total

    def _add_span(self, cause, begin, end):
        """Attribute a span, and the part without an owner to NO_OWNER."""
        if end <= begin:
            return
        ownerless = sum(
            max(0.0, min(end, last) - max(begin, first))
            for first, last in self._ownerless
        )
        ownerless = min(ownerless, end - begin)
        self._delay.seconds[NO_OWNER] += ownerless
        self._delay.seconds[cause] += end - begin - ownerless


def _find_step_end(step):
    """Return when the last task of a step succeeded; infinity if not."""
    ends = [_find_task_end(task) for task in step.tasks.values()]
    return max(ends, default=float('inf'))


def _find_task_end(task):
    """Return when a task succeeded, or infinity if it did not."""
    return min(
        (attempt.ended for attempt in task.values() if attempt.succeeded),
        default=float('inf'),
    )


def _find_last_task(step):
    """Return the attempts of the task that ended last in a step."""
    rows = list(step.tasks.values())
    return max(
        rows,
        key=lambda task: (_find_task_end(task), _find_last_placement(task)),
        default={},
    )


def _find_last_placement(task):
    """Return when the last attempt of a task was placed."""
    return max(
        (attempt.placed for attempt in task.values()), default=float('inf')
    )


def _precedes(former, step):
    """Tell whether a step ended before another one began."""
    begins = [
        attempt.placed
        for task in step.tasks.values()
        for attempt in task.values()
    ]
    return _find_step_end(former) <= min(begins, default=float('inf'))


def _estimate_run_seconds(step):
    """Return the run time of a step's tasks at full pace, or None.

    Without a measurement by a side, the shortest run time of its tasks.
    """
    if step.run is not None:
        return step.run
    spans = [
        attempt.ended - attempt.placed - attempt.paced
        for task in step.tasks.values()
        for attempt in task.values()
        if attempt.succeeded
    ]
    return min(spans, default=None)


def _find_attempt_cause(reason):
    """Return the cause for an unsuccessful attempt's reason."""
    return _CAUSES_BY_REASON.get(reason, MOVED)


def _measure_tail_seconds(step, end):
    """Return for how long at most a quarter of the tasks were left."""
    ends = sorted(min(end, _find_task_end(t)) for t in step.tasks.values())
    if not ends:
        return 0.0
    return max(0.0, end - ends[(3 * len(ends) - 1) // 4])
