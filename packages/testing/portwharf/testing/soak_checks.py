# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What must hold after a soak, by what clients and runners have seen.

Each check takes the clients' notes and the runners' records and returns a
list of sentences, one for each promise that was broken.
"""

import collections
import dataclasses

from portwharf.testing import soak_world

# A start that was sent before an end was acknowledged may arrive later.
ACK_SECONDS = 1.0
# How long a cancelled task may run on, in calm, after its acknowledgement.
CANCEL_SECONDS = 3.0
# Starts of a task that crashes its runners that users allow; and those whose
# crash nobody told, as their side was down, cut off or had just begun, too.
CRASHER_STARTS = 5
UNTOLD_STARTS = 3


# How long after it was closed something may begin in a zone; and how much
# later runners carry orders out that they have left unanswered.
ZONE_SECONDS = 5.0
LATE_SECONDS = 2.5


@dataclasses.dataclass(slots=True)
class Closure:
    """A time for which an availability zone was closed to new starts."""

    zone: str = ''
    began: float = 0.0
    ended: float = float('inf')


def check_zones(closures, zones):
    """Nothing begins in an availability zone that has long been closed.

    :param closures: list of :class:`Closure`
    :param zones: pairs of a zone and a span of a runner there
    """
    limit = ZONE_SECONDS + LATE_SECONDS
    return [
        f'{span.task} began {span.began - one.began:.1f} s after {zone} closed'
        for zone, span in zones
        for one in closures
        if one.zone == zone and one.began + limit < span.began < one.ended
    ]


def list_checks():
    """Return all checks, in the order in which they are reported."""
    return (
        check_runs_overlap,
        check_runs_after_done,
        check_order,
        check_attempts,
        check_what_was_asked,
        check_refused,
        check_gangs,
        check_ends,
        check_cancelled,
        check_crashers,
    )


def check_all(told, spans):
    """Return what every check has found.

    :param told: list of ``soak_clients.Told``
    :param spans: list of ``soak_runner.Span``
    """
    by_id = {one.id: one for one in told}
    return [
        problem for check in list_checks() for problem in check(by_id, spans)
    ]


def check_runs_overlap(told, spans):
    """No task runs in two places at once."""
    found = []
    for task, runs in _sort_by_task(spans).items():
        for one, other in zip(runs, runs[1:], strict=False):
            if one.ended is None or one.ended > other.began:
                rows = describe_runs(runs)
                found.append(f'{task}: two runs at once: {rows}')
    return found


def check_runs_after_done(told, spans):
    """Nothing begins after an end that has been acknowledged."""
    found = []
    for task, runs in _sort_by_task(spans).items():
        done = [one for one in runs if one.how == 'done' and one.acked]
        for one in done:
            late = [r for r in runs if r.began > one.acked + ACK_SECONDS]
            if late:
                rows = describe_runs(runs)
                found.append(f'{task}: begun again after its end: {rows}')
    return found


def check_order(told, spans):
    """A step begins only after all tasks of the step before it are done."""
    done = collections.defaultdict(dict)
    for span in spans:
        if span.how == 'done':
            job, step, number = _split(span.task)
            done[(job, step)][number] = span.ended
    found = []
    for span in spans:
        job, step, _ = _split(span.task)
        rows = told[job].steps if job in told else []
        if step >= len(rows) or 'watchRev' not in rows[step]:
            continue
        before = done[(job, step - 1)]
        needed = 1 if rows[step - 1]['gang'] else rows[step - 1]['count']
        early = [when for when in before.values() if when <= span.began]
        if len(early) < needed:
            found.append(f'{span.task}: begun before its turn')
    return found


def check_attempts(told, spans):
    """No task begins after it has failed as often as it may.

    Only ends that were acknowledged count: others were lost with a runner.
    """
    found = []
    for task, runs in _sort_by_task(spans).items():
        acked = sorted(
            one.acked for one in runs if one.how == 'failed' and one.acked
        )
        if len(acked) < soak_world.MAX_FAILURES:
            continue
        last = acked[soak_world.MAX_FAILURES - 1] + ACK_SECONDS
        if any(one.began > last for one in runs):
            found.append(f'{task}: begun after its last attempt')
    return found


def check_what_was_asked(told, spans):
    """Only what clients sent runs, and it resumes from its own work."""
    found = []
    for span in spans:
        job, step, _ = _split(span.task)
        if job not in told or told[job].spec != span.spec:
            found.append(f'{span.task}: not what a client sent')
            continue
        owner = span.saved.partition('|')[0]
        gang = told[job].steps[step]['gang']
        if span.saved and owner != span.task and not gang:
            found.append(f'{span.task}: begun from what {owner} saved')
    return found


def check_refused(told, spans):
    """What every attempt was refused for never runs."""
    begun = {_split(span.task)[0] for span in spans}
    return [
        f'{one.id}: refused {one.statuses}, and yet it ran'
        for one in told.values()
        if one.statuses
        and all(status in (429, 503) for status in one.statuses)
        and one.id in begun
    ]


def check_gangs(told, spans):
    """No member of a gang runs beside a member of another attempt."""
    found = []
    gangs = collections.defaultdict(list)
    for span in spans:
        job, step, _ = _split(span.task)
        if job in told and told[job].steps[step]['gang']:
            gangs[(job, step)].append(span)
    for (job, _), members in gangs.items():
        members.sort(key=lambda one: one.began)
        for one, other in zip(members, members[1:], strict=False):
            beside = one.ended is None or one.ended > other.began
            if beside and one.run != other.run:
                found.append(f'{job}: attempts of a gang side by side')
    return found


def check_ends(told, spans):
    """Every accepted job has come to the end that it had to come to."""
    found = []
    for one in told.values():
        if not one.accepted or one.cancel_sent:
            continue
        last = one.states[-1] if one.states else 'never shown'
        fails = one.hopeless or one.crashes
        wanted = 'failed' if fails else 'completed'
        if last != wanted:
            found.append(f'{one.id}: {last}, not {wanted}')
    return found


def check_cancelled(told, spans):
    """Nothing of a cancelled job is left running at the end."""
    return [
        f'{span.task}: runs on although its job was cancelled'
        for span in spans
        if span.ended is None and told[_split(span.task)[0]].cancelled
    ]


def check_crashers(told, spans):
    """A task that crashes its runners is given up in time."""
    found = []
    for task, runs in _sort_by_task(spans).items():
        job, step, number = _split(task)
        crasher = job in told and told[job].crashes
        if not crasher or (step, number) != (0, 0):
            continue
        if len(runs) > CRASHER_STARTS + UNTOLD_STARTS:
            rows = describe_runs(runs)
            found.append(f'{task}: crashes on and on: {rows}')
    return found


def describe_runs(runs):
    """Return a task's runs as text for people."""
    rows = []
    for one in runs:
        ended = f'{one.ended:.2f}' if one.ended else ''
        acked = f' acked {one.acked:.2f}' if one.acked else ''
        times = f'{one.began:.2f}-{ended}'
        rows.append(f'{one.run} on {one.life} {times} {one.how}{acked}')
    return '; '.join(rows)


def _sort_by_task(spans):
    runs = collections.defaultdict(list)
    for span in spans:
        runs[span.task].append(span)
    for rows in runs.values():
        rows.sort(key=lambda one: one.began)
    return runs


def _split(task):
    """Return job, step and number of a task named ID.TIME.STEP.NUMBER."""
    job, _, step, number = task.split('.')
    return job, int(step), int(number)
