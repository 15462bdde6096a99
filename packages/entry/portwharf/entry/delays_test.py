# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Played logs: every second of a job has one cause, and the right one."""

import json

from portwharf.entry import delays
from portwharf.entry import histories

JOB = 'aa00'
STEP = f'{JOB}.0.0'
NEXT = f'{JOB}.0.1'


def make_line(second, message, **fields):
    """Return a line of a log, some seconds after noon."""
    whole, part = divmod(round(second * 1000), 1000)
    clock = f'12:{whole // 60:02d}:{whole % 60:02d},{part:03d}'
    row = {
        'asctime': f'2026-03-03 {clock}',
        'name': 'portwharf.scheduler.decisionlog',
        'message': message,
        **fields,
    }
    # Collectors put their own words first.
    return f'  {second} side-1 {json.dumps(row)}\n'


def accept(second, due_ms=10_000):
    """Return the line of the job's acceptance."""
    return make_line(
        second, 'job accepted', request=JOB, queue='plans', due_ms=due_ms
    )


def place(second, tasks, step=STEP, vm='vm-1'):
    """Return the line of tasks that were placed."""
    return make_line(second, 'placed', workload=step, vm=vm, tasks=tasks)


def succeed(second, tasks, run_ms=None, step=STEP):
    """Return the line of attempts that ended well."""
    return make_line(
        second, 'succeeded', workload=step, tasks=tasks, run_ms=run_ms
    )


def end(second, state='completed'):
    """Return the line of the job's end."""
    return make_line(second, 'job ended', request=JOB, state=state)


def measure(case, *lines):
    """Return the delay of the one job, whose causes add up."""
    found = delays.measure_all(histories.read_lines(lines))
    case.assertEqual(len(found), 1)
    case.assertAlmostEqual(sum(found[0].seconds.values()), found[0].took)
    return found[0]


def check(case, delay, **wanted):
    """Check the seconds of a delay, by cause; others have none."""
    got = {
        cause: round(seconds, 3)
        for cause, seconds in delay.seconds.items()
        if round(seconds, 3)
    }
    named = {getattr(delays, name): n for name, n in wanted.items()}
    case.assertEqual(got, named)


def test_job_of_two_steps_is_followed_back_from_its_end(case):
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
    check(case, delay, ANSWER=0.25, ROOM=1.25, RUN=5.0, SLOW=1.0)
    case.assertFalse(delay.is_late)


def test_time_at_a_share_is_told_apart(case):
    delay = measure(
        case,
        accept(0),
        place(0, '0.1'),
        make_line(
            7,
            'worked at a share',
            task=f'{STEP}.0',
            attempt=1,
            ran_ms=7000,
            paced_ms=4500,
        ),
        succeed(7, '0.1', 2000),
        end(7),
    )
    check(case, delay, PACED=4.5, RUN=2.0, SLOW=0.5)


def test_attempts_that_came_to_nothing_count_by_their_reason(case):
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
    wanted = {'MOVED': 1.0, 'REST': 1.0, 'FAILED': 3.0, 'LOST': 1.0}
    check(case, delay, RUN=3.0, **wanted)


def test_task_that_is_placed_after_its_fellows_waits_for_the_rest(case):
    delay = measure(
        case,
        accept(0),
        place(1, '0.1'),
        place(4, '1.1'),
        succeed(3, '0.1', 2000),
        succeed(6, '1.1', 2000),
        end(6),
    )
    check(case, delay, ROOM=1.0, REST=3.0, RUN=2.0)


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


def test_time_without_an_owner_is_nobody_elses(case):
    delay = measure(
        case,
        make_line(0, 'owner begins'),
        accept(1),
        make_line(4, 'owner begins'),
        place(5, '0.1'),
        succeed(7, '0.1', 2000),
        end(7),
    )
    check(case, delay, OWNER=3.0, ROOM=1.0, RUN=2.0)


def test_wait_for_something_else_than_room_is_held_back(case):
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
    check(case, delay, HELD=2.0, RUN=2.0)


def test_job_without_an_end_is_late_up_to_the_last_line(case):
    delay = measure(case, accept(0), place(2, '0.1'), make_line(9, 'else'))
    check(case, delay, ROOM=2.0, UNTOLD=7.0)
    case.assertTrue(delay.is_late)


def cancel(second, status):
    """Return the line of what a client was told of its cancelling."""
    return make_line(second, 'cancel answered', request=JOB, status=status)


def test_cancelled_and_lasting_jobs_are_left_out(case):
    lines = [accept(0), end(1, 'cancelled')]
    case.assertEqual(delays.measure_all(histories.read_lines(lines)), [])
    lines = [accept(0), cancel(1, 200), end(3, 'failed')]
    case.assertEqual(delays.measure_all(histories.read_lines(lines)), [])
    lines = [accept(0, None), end(1)]
    case.assertEqual(delays.measure_all(histories.read_lines(lines)), [])


def test_cancelling_that_was_not_carried_out_cancels_nothing(case):
    delay = measure(case, accept(0), cancel(1, 504), end(4))
    case.assertEqual(delay.took, 4)


def test_lines_that_are_no_log_are_passed_over(case):
    lines = ['no json', '{"asctime": 3}', '{broken', '["a"]', accept(0)]
    case.assertEqual(len(histories.read_lines(lines).jobs), 1)
