# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Checks of the soak test on the records of clients and runners.

Each check takes the clients' jobs and the runners' spans, and returns a list
of messages, one for each violation.
"""

import collections
import dataclasses
import itertools

from portwharf.testing import soak_refusals
from portwharf.testing import soak_runner
from portwharf.testing import soak_world

# Longest time a cancelled task may run on after the confirmation, when no
# faults are active.
CANCEL_DELAY_SECONDS = 3.0
# Starts that the requirements allow for a crasher, and more starts whose crash
# was not reported because the side was down, cut off or just starting.
MAX_CRASHER_STARTS = 5
MAX_UNREPORTED_STARTS = 3
# Time after its closure in which runs may still start in a zone, and the delay
# of starts that runners left unanswered.
ZONE_CLOSURE_DELAY_SECONDS = 5.0
LATE_START_SECONDS = 2.5
# Longest time that a task runs on, whatever fails, after its cancellation was
# confirmed: its lease, and the delay of a start that was left unanswered.
LONGEST_LEASE_SECONDS = 6.0


@dataclasses.dataclass(slots=True)
class Closure:
    """A period in which an availability zone was closed to new starts."""

    zone: str = ''
    began: float = 0.0
    ended: float = float('inf')


def check_zones(closures, spans_by_zone):
    """No run starts in an availability zone well after its closure.

    Starts that a runner carried out very late are not bound by a time.

    :param closures: list of :class:`Closure`
    :param spans_by_zone: list of (zone, ``soak_runner.Span``) of all runners
    """
    limit = ZONE_CLOSURE_DELAY_SECONDS + LATE_START_SECONDS
    return [
        f'{span.task} began {span.began - closure.began:.1f} s after '
        f'{zone} closed'
        for zone, span in spans_by_zone
        for closure in closures
        if closure.zone == zone
        and closure.began + limit < span.began < closure.ended
        and not _is_very_late(span)
    ]


def list_checks():
    """Return all checks, in the order of their reports."""
    return (
        check_overlapping_runs,
        check_runs_after_completion,
        check_step_order,
        check_max_failures,
        check_specs,
        check_refused_jobs,
        check_gangs,
        check_final_states,
        check_cancelled_jobs,
        check_starts_after_cancellation,
        check_runs_after_cancellation,
        check_crashers,
        *soak_refusals.list_checks(),
    )


def check_all(jobs, spans):
    """Run all checks; returns the list of messages.

    :param jobs: list of ``soak_clients.ClientJob``
    :param spans: list of ``soak_runner.Span``
    """
    by_id = {job.id: job for job in jobs}
    return [
        problem for check in list_checks() for problem in check(by_id, spans)
    ]


def check_overlapping_runs(jobs, spans):
    """No task has two runs at once."""
    problems = []
    for task, runs in _group_by_task(spans).items():
        for run, other in itertools.combinations(runs, 2):
            if run.ended is None or run.ended > other.began:
                described = format_runs(runs)
                problems.append(f'{task}: two runs at once: {described}')
    return problems


def check_runs_after_completion(jobs, spans):
    """No task starts again after an end as done that is acknowledged.

    The acknowledgement may come before or after the start. An end that was
    acknowledged after its runner's lease had expired does not count, which
    ``Span.acked`` already leaves out.
    """
    problems = []
    for task, runs in _group_by_task(spans).items():
        completed = [run for run in runs if run.how == 'done' and run.acked]
        for run in completed:
            if any(_starts_after(other, run) for other in runs):
                described = format_runs(runs)
                problems.append(
                    f'{task}: started again after its acknowledged end: '
                    f'{described}'
                )
    return problems


def _starts_after(span, ended_span):
    """Return whether a run starts at or after the end of another."""
    return span is not ended_span and span.began >= ended_span.ended


def check_step_order(jobs, spans):
    """A step starts only when all tasks of the previous step are done."""
    ended_at = collections.defaultdict(dict)
    for span in spans:
        if span.how == 'done':
            job_id, step, number = soak_runner.split_task_name(span.task)
            ended_at[(job_id, step)][number] = span.ended
    problems = []
    for span in spans:
        job_id, step, _ = soak_runner.split_task_name(span.task)
        steps = jobs[job_id].steps if job_id in jobs else []
        if step >= len(steps) or 'watchRev' not in steps[step]:
            continue
        previous = ended_at[(job_id, step - 1)]
        required = 1 if steps[step - 1]['gang'] else steps[step - 1]['count']
        ended_before = [
            when for when in previous.values() if when <= span.began
        ]
        if len(ended_before) < required:
            problems.append(
                f'{span.task}: started before the previous step was done'
            )
    return problems


def check_max_failures(jobs, spans):
    """No task starts after its maximum number of failures.

    Only failures that are acknowledged count, before the start or after it;
    others may be lost with their runner.
    """
    problems = []
    for task, runs in _group_by_task(spans).items():
        failures = sorted(
            (run for run in runs if run.how == 'failed' and run.acked),
            key=lambda run: run.ended,
        )
        if len(failures) < soak_world.MAX_FAILURES:
            continue
        last = failures[soak_world.MAX_FAILURES - 1]
        if any(_starts_after(run, last) for run in runs):
            problems.append(
                f'{task}: started after its last allowed failure: '
                f'{format_runs(runs)}'
            )
    return problems


def check_specs(jobs, spans):
    """Tasks run with a submitted spec, and resume from own checkpoints."""
    problems = []
    for span in spans:
        job_id, step, _ = soak_runner.split_task_name(span.task)
        if job_id not in jobs or jobs[job_id].spec != span.spec:
            problems.append(
                f'{span.task}: spec is not one that a client submitted'
            )
            continue
        owner = span.saved.partition('|')[0]
        gang = jobs[job_id].steps[step]['gang']
        if span.saved and owner != span.task and not gang:
            problems.append(
                f'{span.task}: resumed from a checkpoint of {owner}'
            )
    return problems


def check_refused_jobs(jobs, spans):
    """A job does not run if every attempt to submit it was refused."""
    started = {soak_runner.split_task_name(span.task)[0] for span in spans}
    return [
        f'{job.id}: ran although refused with {job.statuses}'
        for job in jobs.values()
        if job.statuses
        and all(status in (429, 503) for status in job.statuses)
        and job.id in started
    ]


def check_gangs(jobs, spans):
    """Members of a gang run only beside members of the same attempt."""
    problems = []
    gangs = collections.defaultdict(list)
    for span in spans:
        job_id, step, _ = soak_runner.split_task_name(span.task)
        if job_id in jobs and jobs[job_id].steps[step]['gang']:
            gangs[(job_id, step)].append(span)
    for (job_id, _), members in gangs.items():
        members.sort(key=lambda span: span.began)
        for span, other in itertools.combinations(members, 2):
            overlaps = span.ended is None or span.ended > other.began
            if overlaps and span.run != other.run:
                problems.append(f'{job_id}: two attempts of a gang at once')
    return problems


def check_final_states(jobs, spans):
    """Every accepted job reaches its expected final state."""
    problems = []
    for job in jobs.values():
        if not job.accepted or job.cancel_sent:
            continue
        last_state = job.states[-1] if job.states else 'never shown'
        fails = job.hopeless or job.crashes
        expected = 'failed' if fails else 'completed'
        if last_state != expected:
            problems.append(
                f'{job.id}: final state is {last_state}, expected {expected}'
            )
    return problems


def check_cancelled_jobs(jobs, spans):
    """No task of a cancelled job is still running at the end."""
    return [
        f'{span.task}: still running although its job was cancelled'
        for span in spans
        if span.ended is None
        and jobs[soak_runner.split_task_name(span.task)[0]].cancelled
    ]


def check_starts_after_cancellation(jobs, spans):
    """No task starts well after the confirmation of its cancellation.

    Starts that a runner carried out very late are not bound by a time.
    """
    limit = CANCEL_DELAY_SECONDS + LATE_START_SECONDS
    return [
        f'{span.task}: started {late:.1f} s after its cancellation: '
        f'{format_runs([span])}'
        for span, late in _list_cancelled(jobs, spans, lambda one: one.began)
        if late > limit and not _is_very_late(span)
    ]


def check_runs_after_cancellation(jobs, spans):
    """No task outlasts the confirmation of its cancellation by a lease.

    Where its runner ignored stops, the time counts from the end of that: other
    tasks keep the runner's lease renewed. Where its start was carried out very
    late, the time counts from then.
    """
    limit = LONGEST_LEASE_SECONDS + LATE_START_SECONDS
    return [
        f'{span.task}: ran on for {late:.1f} s after its cancellation: '
        f'{format_runs([span])}'
        for span, late in _list_cancelled(jobs, spans, lambda one: one.ended)
        if min(late, span.ended - span.ignored_until) > limit
        and not (_is_very_late(span) and span.ended - span.began <= limit)
    ]


def _is_very_late(span):
    """Return whether a start was later than the limits of time allow for."""
    return span.late_seconds > LATE_START_SECONDS


def _list_cancelled(jobs, spans, read_time):
    """Return runs of cancelled jobs and how long after the confirmation.

    :param read_time: function of a span that returns a time, or None to leave
        the run out
    :returns: list of (span, seconds)
    """
    rows = []
    for span in spans:
        job = jobs.get(soak_runner.split_task_name(span.task)[0])
        moment = read_time(span)
        if job is not None and job.cancelled and moment is not None:
            rows.append((span, moment - job.cancelled))
    return rows


def check_crashers(jobs, spans):
    """A task that crashes its runners is given up after enough crashes."""
    problems = []
    for task, runs in _group_by_task(spans).items():
        job_id, step, number = soak_runner.split_task_name(task)
        is_crasher = job_id in jobs and jobs[job_id].crashes
        if not is_crasher or (step, number) != (0, 0):
            continue
        if len(runs) > MAX_CRASHER_STARTS + MAX_UNREPORTED_STARTS:
            described = format_runs(runs)
            problems.append(
                f'{task}: started too often after crashes: {described}'
            )
    return problems


def format_runs(runs):
    """Format a task's runs for a message."""
    rows = []
    for span in runs:
        ended = f'{span.ended:.2f}' if span.ended else ''
        acked = f' acked {span.acked:.2f}' if span.acked else ''
        times = f'{span.began:.2f}-{ended}'
        rows.append(f'{span.run} on {span.life} {times} {span.how}{acked}')
    return '; '.join(rows)


def _group_by_task(spans):
    runs = collections.defaultdict(list)
    for span in spans:
        runs[span.task].append(span)
    for rows in runs.values():
        rows.sort(key=lambda span: span.began)
    return runs
