# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Delays computed from log lines: each second of a job has one cause."""

import json

from portwharf.entry import delays
from portwharf.entry import job_history

JOB = 'aa00'
STEP = f'{JOB}.0.0'
NEXT = f'{JOB}.0.1'


def make_line(second, message, **fields):
    """Return a log line that is some seconds after noon."""
    whole, part = divmod(round(second * 1000), 1000)
    clock = f'12:{whole // 60:02d}:{whole % 60:02d},{part:03d}'
    row = {
        'asctime': f'2026-03-03 {clock}',
        'name': 'portwharf.scheduler.decisionlog',
        'message': message,
        **fields,
    }
    # Log collectors add a prefix.
    return f'  {second} side-1 {json.dumps(row)}\n'


def accept(second, due_ms=10_000):
    """Return the line of the job's acceptance."""
    return make_line(
        second, 'job accepted', request=JOB, queue='plans', due_ms=due_ms
    )


def place(second, tasks, step=STEP, vm='vm-1'):
    """Return the line of placed tasks, as ``task.attempt`` numbers."""
    return make_line(second, 'placed', workload=step, vm=vm, tasks=tasks)


def succeed(second, tasks, run_ms=None, step=STEP):
    """Return the line of attempts that succeeded."""
    return make_line(
        second, 'succeeded', workload=step, tasks=tasks, run_ms=run_ms
    )


def slow(second, paced_ms, paced_by):
    """Return the line of the first task's loss by throttling."""
    return make_line(
        second,
        'worked at a share',
        task=f'{STEP}.0',
        attempt=1,
        ran_ms=1000 * second,
        paced_ms=paced_ms,
        paced_by=paced_by,
    )


def end(second, state='completed'):
    """Return the line of the job's end."""
    return make_line(second, 'job ended', request=JOB, state=state)


def measure(case, *lines):
    """Return the delay of the only job; its causes must add up."""
    found = delays.measure_delays(job_history.read_lines(lines))
    case.assertEqual(len(found), 1)
    case.assertAlmostEqual(sum(found[0].seconds.values()), found[0].took)
    return found[0]


def check(case, delay, **wanted):
    """Check the seconds of a delay by cause; all others must be 0."""
    got = {
        cause: round(seconds, 3)
        for cause, seconds in delay.seconds.items()
        if round(seconds, 3)
    }
    named = {getattr(delays, name): n for name, n in wanted.items()}
    case.assertEqual(got, named)


def test_job_of_two_steps_is_traced_back_from_its_end(case):
    delay = measure(
        case,
        make_line(1.5, 'submit answered', request=JOB, took_ms=500),
        accept(1.25),
        place(2.25, '0.1,1.1'),
        succeed(5.25, '0.1', 3000),
        succeed(6.25, '1.1', 3000),
        place(6.5, '0.1', NEXT),
        succeed(8.5, '0.1', 2000, NEXT),
        end(8.5),
    )
    check(case, delay, SUBMIT=0.25, CAPACITY=1.25, RUN=5.0, SLOW=1.0)
    case.assertFalse(delay.is_late)


def test_paced_time_is_counted_separately(case):
    delay = measure(
        case,
        accept(0),
        place(0, '0.1'),
        slow(7, 4500, {'least-share': 4000, 'throttle-factor': 500}),
        succeed(7, '0.1', 2000),
        end(7),
    )
    check(case, delay, PACED=4.5, RUN=2.0, SLOW=0.5)
    case.assertEqual(
        delay.paced_by, {'least-share': 4.0, 'throttle-factor': 0.5}
    )


def test_paced_time_under_a_millisecond_has_no_limit(case):
    delay = measure(
        case,
        accept(0),
        place(0, '0.1'),
        slow(2, 1, {'least-share': 0}),
        succeed(2, '0.1', 2000),
        end(2),
    )
    case.assertEqual(delay.paced_by, {})


def test_unsuccessful_attempts_count_by_reason(case):
    task = f'{STEP}.0'
    delay = measure(
        case,
        accept(0),
        place(0, '0.1'),
        make_line(1, 'evicting', task=task, attempt=1, reason='stuck'),
        make_line(
            1.5,
            'attempt ended',
            task=task,
            attempt=1,
            state='checkpointed',
        ),
        place(2, '0.2'),
        make_line(5, 'attempt ended', task=task, attempt=2, state='failed'),
        place(5, '0.3'),
        make_line(6, 'lost with its VM', task=task, attempt=3),
        place(6, '0.4'),
        succeed(9, '0.4', 3000),
        end(9),
    )
    wanted = {'MOVED': 1.0, 'REST_OF_STEP': 1.0, 'FAILED': 3.0, 'LOST': 1.0}
    check(case, delay, RUN=3.0, **wanted)


def test_wait_for_a_later_placement_is_rest_of_step(case):
    delay = measure(
        case,
        accept(0),
        place(1, '0.1'),
        place(4, '1.1'),
        succeed(3, '0.1', 2000),
        succeed(6, '1.1', 2000),
        end(6),
    )
    check(case, delay, CAPACITY=1.0, REST_OF_STEP=3.0, RUN=2.0)


def test_tail_is_the_time_of_the_last_quarter_of_a_steps_tasks(case):
    delay = measure(
        case,
        accept(0),
        place(0, '0.1,1.1,2.1,3.1'),
        succeed(2, '0.1,1.1,2.1', 2000),
        succeed(6, '3.1', 2000),
        end(6),
    )
    check(case, delay, RUN=2.0, SLOW=4.0)
    case.assertEqual(delay.tail, 4.0)


def test_time_without_an_owner_has_its_own_cause(case):
    delay = measure(
        case,
        make_line(0, 'owner begins'),
        accept(1),
        make_line(4, 'owner begins'),
        place(5, '0.1'),
        succeed(7, '0.1', 2000),
        end(7),
    )
    check(case, delay, NO_OWNER=3.0, CAPACITY=1.0, RUN=2.0)


def test_wait_for_a_reason_other_than_capacity_is_held_back(case):
    delay = measure(
        case,
        accept(0),
        make_line(
            1,
            'waits for a place',
            workload=STEP,
            reason='no-worker-has-room-now, beside-a-suspect 3',
        ),
        place(2, '0.1'),
        succeed(4, '0.1', 2000),
        end(4),
    )
    check(case, delay, HELD_BACK=2.0, RUN=2.0)


def test_job_without_an_end_is_late_up_to_the_last_line(case):
    delay = measure(case, accept(0), place(2, '0.1'), make_line(9, 'else'))
    check(case, delay, CAPACITY=2.0, UNEXPLAINED=7.0)
    case.assertTrue(delay.is_late)


def cancel(second, status):
    """Return the line of the answer to a cancellation."""
    return make_line(second, 'cancel answered', request=JOB, status=status)


def test_cancelled_jobs_and_jobs_without_due_time_are_left_out(case):
    lines = [accept(0), end(1, 'cancelled')]
    case.assertEqual(delays.measure_delays(job_history.read_lines(lines)), [])
    lines = [accept(0), cancel(1, 200), end(3, 'failed')]
    case.assertEqual(delays.measure_delays(job_history.read_lines(lines)), [])
    lines = [accept(0, None), end(1)]
    case.assertEqual(delays.measure_delays(job_history.read_lines(lines)), [])


def test_failed_cancellation_does_not_cancel_a_job(case):
    delay = measure(case, accept(0), cancel(1, 504), end(4))
    case.assertEqual(delay.took, 4)


def test_refused_and_unconfirmed_calls_leave_a_job_as_it_is(case):
    delay = measure(
        case,
        make_line(
            0.5,
            'submit answered',
            request=JOB,
            status=503,
            reason='not-accepted',
            took_ms=500,
        ),
        accept(1.0),
        place(1.0, '0.1'),
        make_line(2, 'job cancelled', request=JOB, count=1),
        make_line(
            2.5,
            'cancel answered',
            request=JOB,
            status=504,
            reason='no-answer',
        ),
        succeed(3.0, '0.1', 2000),
        end(3.0),
    )
    check(case, delay, SUBMIT=1.0, RUN=2.0)


def test_lines_that_are_no_log_lines_are_skipped(case):
    lines = ['no json', '{"asctime": 3}', '{broken', '["a"]', accept(0)]
    case.assertEqual(len(job_history.read_lines(lines).jobs), 1)
