# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Checks of the soak test on refused submissions.

Each check takes the clients' jobs by id and the runners' spans, and returns a
list of messages, one for each violation.
"""

from portwharf.testing import soak_clients
from portwharf.testing import soak_runner
from portwharf.testing import soak_world

# Bounds of the wait that a refusal for lack of room asks for. An entry gives
# up a submission after 2 s, so that an earlier one is over by then.
MIN_RETRY_SECONDS = 2
MAX_RETRY_SECONDS = 30
# Time before a refusal in which a shortage must have been seen. The owner
# decides by the last 1 to 2 s, and learns of ended tasks 0.4 s late.
LOOK_BACK_SECONDS = 3.0
# Share of the runners' resources up to which there is no shortage. With half
# of them free, a gang of four of the soak's largest tasks has room.
_FREE_SHARE = 0.5


def list_checks():
    """Return the checks that need no more than jobs and spans."""
    return (
        check_runs_before_acceptance,
        check_refusals_after_acceptance,
        check_retry_after,
    )


def check_runs_before_acceptance(jobs, spans):
    """No task runs before a submission that was not refused was sent."""
    sent = {
        job.id: min(
            (
                reply.sent
                for reply in job.replies
                if reply.status not in soak_clients.REFUSAL_STATUSES
            ),
            default=float('inf'),
        )
        for job in jobs.values()
        if job.replies
    }
    return [
        f'{span.task}: ran after nothing but refusals of its job'
        for span in spans
        if span.began
        < sent.get(soak_runner.split_task_name(span.task)[0], 0.0)
    ]


def check_refusals_after_acceptance(jobs, spans):
    """A job that was accepted is not refused for lack of room later."""
    return [
        f'{job.id}: refused after it was accepted: {job.statuses}'
        for job in jobs.values()
        if 200 in job.statuses
        and soak_clients.NO_ROOM_STATUS
        in job.statuses[job.statuses.index(200) :]
    ]


def check_retry_after(jobs, spans):
    """A refusal for lack of room names a valid wait or none."""
    return [
        f'{job.id}: refused with Retry-After {reply.retry_after!r}'
        for job, reply in _list_refusals(jobs)
        if reply.retry_after is not None and not _is_valid(reply.retry_after)
    ]


def check_shortage(jobs, spans, calm, runner_count=soak_world.SIDE_COUNT):
    """Nothing is refused for lack of room while half of it is free.

    :param calm: list of (began, ended): periods without faults. With a fault,
        the owner may not be able to use runners that are free.
    """
    problems = []
    for job, reply in _list_refusals(jobs):
        began = reply.sent - LOOK_BACK_SECONDS
        is_calm = any(
            start <= began and reply.received <= end for start, end in calm
        )
        if not is_calm:
            continue
        peak = find_peak_use(spans, began, reply.received)
        share = peak / runner_count
        if share <= _FREE_SHARE:
            problems.append(
                f'{job.id}: refused while runners held at most {share:.0%}'
            )
    return problems


def find_peak_use(spans, began, ended):
    """Return the largest amount of resources held in a period.

    :returns: in runners' worth of processors or of memory, whichever is larger
    """
    rows = [
        (span, soak_runner.read_work(span.spec, span.task))
        for span in spans
        if span.began <= ended and (span.ended is None or span.ended >= began)
    ]
    peak = 0.0
    # The sum is largest at the beginning or when some run starts.
    for moment in [began, *(max(began, span.began) for span, _ in rows)]:
        held = [
            work
            for span, work in rows
            if span.began <= moment
            and (span.ended is None or span.ended >= moment)
        ]
        cpu = sum(work.cpu for work in held) / soak_runner.CPU_MILLI
        memory = sum(work.memory for work in held) / soak_runner.MEMORY_MB
        peak = max(peak, cpu, memory)
    return peak


def _list_refusals(jobs):
    """Return (job, reply) of each refusal for lack of room."""
    return [
        (job, reply)
        for job in jobs.values()
        for reply in job.replies
        if reply.status == soak_clients.NO_ROOM_STATUS
    ]


def _is_valid(text):
    """Return whether a ``Retry-After`` is in whole seconds and in bounds."""
    if not (text.isascii() and text.isdecimal()):
        return False
    return MIN_RETRY_SECONDS <= int(text) <= MAX_RETRY_SECONDS
