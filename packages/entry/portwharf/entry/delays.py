# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Where the time of jobs went, cause by cause.

A job is followed back from its end: the task that ended a step last decided
when the next one could begin. Each second of that way has one cause, so that
the causes of a job add up to the time that it took.
"""

import collections
import dataclasses

from portwharf.core import data
from portwharf.entry import histories

# Causes, in the order in which they are shown.
ANSWER = 'answer'
OWNER = 'no owner'
ROOM = 'room'
REST = 'rest of step'
HELD = 'held back'
RUN = 'run'
PACED = 'paced'
SLOW = 'slow or told late'
FAILED = 'failed'
MOVED = 'moved'
LOST = 'lost'
REFUSED = 'refused'
UNTOLD = 'untold'
CAUSES = (
    ANSWER,
    OWNER,
    ROOM,
    REST,
    HELD,
    RUN,
    PACED,
    SLOW,
    FAILED,
    MOVED,
    LOST,
    REFUSED,
    UNTOLD,
)
_REASONS = {
    data.RunState.FAILED: FAILED,
    data.RunState.REFUSED: REFUSED,
    data.RunState.GONE: LOST,
    histories.LOST: LOST,
}
# Reasons to wait that are not a want of room.
_HOLDS = ('team-quota', 'beside-a-suspect', 'quarantined', 'availability-zone')


@dataclasses.dataclass(slots=True)
class Delay:
    """How long a job took, and why.

    :param seconds: by cause; they add up to ``took``
    :param tail: seconds at the ends of its steps in which at most a quarter
        of the tasks were left; part of the causes, not one more
    """

    job: object = None
    took: float = 0.0
    seconds: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    tail: float = 0.0

    @property
    def is_late(self):
        """Whether it ended after it was due, or not at all."""
        return not self.job.state or self.took > self.job.due


def measure_all(known):
    """Return the :class:`Delay` of each job that was not cancelled.

    Jobs that last have no time to be done in, and are left out.

    :param known: a ``histories.Histories``
    """
    return [
        measure(job, known)
        for job in known.jobs.values()
        if job.accepted is not None
        and job.due
        and job.state != histories.CANCELLED
    ]


def measure(job, known):
    """Return the :class:`Delay` of one job.

    :param known: the ``histories.Histories`` that it is of
    """
    begin = job.accepted if job.sent is None else min(job.sent, job.accepted)
    end = known.last if job.ended is None else job.ended
    delay = Delay(job, end - begin)
    delay.seconds[ANSWER] += job.accepted - begin
    ledger = _Ledger(delay, known.ownerless)
    steps = list(job.steps.values())
    while steps and end > job.accepted:
        step = max(steps, key=_find_end)
        steps.remove(step)
        ready = max(
            (_find_end(one) for one in steps if _precedes(one, step)),
            default=job.accepted,
        )
        ready = min(end, max(job.accepted, ready))
        ledger.take_step(step, ready, end)
        end = ready
    delay.seconds[UNTOLD] += max(0.0, end - job.accepted)
    return delay


class _Ledger:
    """Books the seconds of one job."""

    def __init__(self, delay, ownerless):
        self._delay = delay
        self._ownerless = ownerless

    def take_step(self, step, ready, end):
        """Book the time of a step, from when it could begin to its end."""
        task = _find_last(step)
        attempts = [task[number] for number in sorted(task)]
        self._delay.tail += _measure_tail(step, end)
        if not attempts:
            self._wait(step, ready, end)
            return
        self._wait(step, ready, min(end, attempts[0].placed))
        for number, one in enumerate(attempts):
            last = number + 1 == len(attempts)
            until = end if last else attempts[number + 1].placed
            begin = max(ready, one.placed)
            if one.reason:
                self._lose(one, begin, until)
            else:
                self._run(step, one, begin, until)

    def _wait(self, step, begin, end):
        """Book the time in which the task that ends last was not placed."""
        first = min(
            (
                one.placed
                for task in step.tasks.values()
                for one in task.values()
            ),
            default=end,
        )
        first = min(end, max(begin, first))
        held = any(
            begin <= moment <= end and any(h in reason for h in _HOLDS)
            for moment, reason in step.waits
        )
        self._book(HELD if held else ROOM, begin, first)
        self._book(HELD if held else REST, first, end)

    def _lose(self, attempt, begin, until):
        """Book an attempt that came to nothing, and the wait after it."""
        ended = until if attempt.ended is None else attempt.ended
        ended = min(until, max(begin, ended))
        paced = min(ended - begin, attempt.paced)
        self._delay.seconds[PACED] += paced
        self._book(_find_cause(attempt.reason), begin + paced, ended)
        self._book(REST, ended, until)

    def _run(self, step, attempt, begin, end):
        """Book an attempt that succeeded, or that still runs."""
        spent = max(0.0, end - begin)
        paced = min(spent, attempt.paced)
        rest = spent - paced
        usual = _find_run(step)
        self._delay.seconds[PACED] += paced
        if usual is None:
            self._delay.seconds[UNTOLD] += rest
            return
        self._delay.seconds[RUN] += min(rest, usual)
        self._delay.seconds[SLOW] += max(0.0, rest - usual)

    def _book(self, cause, begin, end):
        """Book a span, less what of it there was no owner in."""
        if end <= begin:
            return
        without = sum(
            max(0.0, min(end, last) - max(begin, first))
            for first, last in self._ownerless
        )
        without = min(without, end - begin)
        self._delay.seconds[OWNER] += without
        self._delay.seconds[cause] += end - begin - without


def _find_end(step):
    """Return when a step's last task succeeded; later than all if not."""
    ends = [_find_success(task) for task in step.tasks.values()]
    return max(ends, default=float('inf'))


def _find_success(task):
    """Return when a task succeeded; later than all if it did not."""
    return min(
        (one.ended for one in task.values() if one.succeeded),
        default=float('inf'),
    )


def _find_last(step):
    """Return the attempts of the task that a step's end waited for."""
    rows = list(step.tasks.values())
    return max(
        rows,
        key=lambda task: (_find_success(task), _find_begin(task)),
        default={},
    )


def _find_begin(task):
    return max((one.placed for one in task.values()), default=float('inf'))


def _precedes(former, step):
    """Tell whether a step had ended before another began."""
    begins = [
        one.placed for task in step.tasks.values() for one in task.values()
    ]
    return _find_end(former) <= min(begins, default=float('inf'))


def _find_run(step):
    """Return how long a task of a step runs at full pace, or None.

    Where no side measured it, as long as its quickest task took.
    """
    if step.run is not None:
        return step.run
    spans = [
        one.ended - one.placed - one.paced
        for task in step.tasks.values()
        for one in task.values()
        if one.succeeded
    ]
    return min(spans, default=None)


def _find_cause(reason):
    """Return the cause under which an attempt without a result counts."""
    return _REASONS.get(reason, MOVED)


def _measure_tail(step, end):
    """Return for how long at most a quarter of a step's tasks was left."""
    ends = sorted(min(end, _find_success(t)) for t in step.tasks.values())
    if not ends:
        return 0.0
    return max(0.0, end - ends[(3 * len(ends) - 1) // 4])
