# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What is enough to give up a task under which workers crashed."""

from portwharf.core import data
from portwharf.scheduler.decisions import backlog
from portwharf.scheduler.decisions import choosing
from portwharf.scheduler.decisions import gangs_test
from portwharf.scheduler import events
from portwharf.scheduler import faults_test
from portwharf.scheduler import jobs_test
from portwharf.scheduler import state
from portwharf.scheduler import suspects

TASK = f'{jobs_test.FIRST}.0'
OTHER = 'e' * 16
HOLD = suspects.Verdict.HOLD
TRY = suspects.Verdict.TRY
GIVE_UP = suspects.Verdict.GIVE_UP
PLACE = suspects.Verdict.PLACE


class Docket:
    """A state with two jobs of a task each, and the crashes told of."""

    def __init__(self):
        self.state = jobs_test.accept(jobs_test.make_step())
        step = jobs_test.make_step()
        other = data.Job(OTHER, 'plans', 1, b'', [step], 2000)
        self.state.apply(events.JobAccepted(jobs_test.NOW, other))
        self.times = suspects.CrashTimes(0.0)
        self.attempt = 0

    def crash(self, at, vm='vm-1', ran_ms=20, tasks=(TASK,)):
        """Have a VM's worker crash under some tasks, or under none."""
        self.attempt += 1
        name = suspects.make_crash_name(vm, f'life-{self.attempt}')
        self.times.record(name, at)
        for task in tasks:
            placed = events.TaskPlaced(task, self.attempt, vm)
            self.state.apply(placed)
            self.state.apply(
                events.TaskRequeued(
                    task, self.attempt, crash=name, ran_ms=ran_ms
                )
            )

    def judge(self, now, is_trial=False, task=TASK):
        """Return the verdict on a task."""
        found = self.state.tasks[task]
        return suspects.assess(self.state, found, self.times, is_trial, now)


def test_first_crash_changes_nothing(case):
    docket = Docket()
    docket.crash(50.0)
    case.assertIs(docket.judge(50.0), PLACE)


def test_two_crashes_at_the_start_are_enough_once_it_stays_calm(case):
    docket = Docket()
    docket.crash(50.0, 'vm-1')
    docket.crash(50.1, 'vm-2')
    case.assertIs(docket.judge(50.5), HOLD)
    case.assertIs(docket.judge(51.2), GIVE_UP)


def test_crash_of_another_worker_near_them_calls_for_a_trial(case):
    docket = Docket()
    docket.crash(50.0, 'vm-1')
    docket.crash(50.1, 'vm-2')
    docket.crash(50.2, 'vm-3', tasks=())
    case.assertIs(docket.judge(50.9), HOLD)
    case.assertIs(docket.judge(51.3), TRY)


def test_crash_at_a_trial_is_enough(case):
    docket = Docket()
    docket.crash(49.9, 'vm-3', tasks=())
    docket.crash(50.0, 'vm-1')
    docket.crash(50.1, 'vm-2')
    docket.crash(52.0, 'vm-4')
    case.assertIs(docket.judge(57.0, is_trial=True), GIVE_UP)
    case.assertIs(docket.judge(57.0), TRY)


def test_trial_waits_for_the_end_of_a_series(case):
    docket = Docket()
    for turn in range(4):
        docket.crash(50.0 + 2 * turn, f'vm-{turn}', tasks=())
    docket.crash(58.0, 'vm-8', ran_ms=1900)
    docket.crash(60.0, 'vm-9', ran_ms=1900)
    case.assertIs(docket.judge(63.9), HOLD)
    case.assertIs(docket.judge(64.1), TRY)


def test_crash_of_a_worker_that_crashed_before_shows_little(case):
    docket = Docket()
    docket.crash(40.0, 'vm-1', tasks=())
    docket.crash(50.0, 'vm-1')
    docket.crash(50.1, 'vm-2')
    case.assertIs(docket.judge(55.0), TRY)


def test_four_crashes_are_enough_in_any_case(case):
    docket = Docket()
    for turn in range(4):
        docket.crash(50.0 + turn, f'vm-{turn}', ran_ms=-1)
    case.assertIs(docket.judge(53.0), GIVE_UP)


def test_what_was_long_at_work_is_cleared_by_a_crash(case):
    docket = Docket()
    docket.crash(50.0, 'vm-1')
    docket.crash(60.0, 'vm-2', ran_ms=suspects.STARTUP_MS + 1)
    case.assertEqual(docket.state.tasks[TASK].crashes, [])
    case.assertEqual(docket.state.suspects, {})


def test_two_jobs_under_the_same_crashes_are_told_apart_first(case):
    docket = Docket()
    both = (TASK, f'{OTHER}.0.0.0')
    docket.crash(50.0, 'vm-1', tasks=both)
    docket.crash(50.1, 'vm-2', tasks=both)
    case.assertIs(docket.judge(55.0), TRY)
    docket.crash(56.0, 'vm-3', tasks=both[:1])
    case.assertIs(docket.judge(61.0, is_trial=True), GIVE_UP)


def test_crashes_of_what_is_given_up_are_taken_off_the_others(case):
    docket = Docket()
    other = f'{OTHER}.0.0.0'
    docket.crash(50.0, 'vm-1', tasks=(TASK, other))
    docket.crash(50.1, 'vm-2')
    ended = events.TaskEnded(TASK, 2, data.TaskState.FAILED, crasher=True)
    docket.state.apply(ended)
    case.assertEqual(docket.state.tasks[other].crashes, [])
    case.assertEqual(docket.state.suspects, {})
    case.assertEqual(
        docket.state.find_job_state(jobs_test.ID), data.JobState.FAILED
    )


def test_what_is_known_outlasts_every_process(case):
    docket = Docket()
    docket.crash(50.0, 'vm-1')
    again = state.ShardState.unpack(docket.state.pack())
    case.assertEqual(
        again.tasks[TASK].crashes, docket.state.tasks[TASK].crashes
    )
    case.assertEqual(list(again.suspects), [TASK])


def test_new_owner_tries_before_it_gives_up(case):
    """It has not heard whether others crashed at that time."""
    docket = Docket()
    docket.crash(50.0, 'vm-1')
    docket.crash(50.1, 'vm-2')
    docket.times = suspects.CrashTimes(60.0)
    case.assertIs(docket.judge(60.5), HOLD)
    case.assertIs(docket.judge(61.5), TRY)


def choose(suspected, beside, choosy=True, **fields):
    """Return the VM for a task, where the emptier one has a suspect.

    :param suspected: under how many crashes the task was
    :param beside: under how many a task of another job there was
    """
    docket = Docket()
    for turn in range(suspected):
        docket.crash(50.0 + turn, 'vm-9')
    record = docket.state.workloads[jobs_test.FIRST]
    for name, value in fields.items():
        setattr(record.workload, name, value)
    demand = backlog.Demand(record)
    demand.choosy = choosy
    views = gangs_test.make_views(8, 4)
    views[0].note_suspect('another', beside)
    choice = choosing.choose_vm(demand, views, None)
    return choice.view.vm.name if choice.view else ''


def test_suspects_are_kept_apart(case):
    case.assertEqual(choose(1, 1), 'vm-1')
    case.assertEqual(choose(2, 1), 'vm-1')


def test_clean_work_keeps_from_suspects_where_it_can(case):
    case.assertEqual(choose(0, 2), 'vm-1')


def test_suspects_go_to_the_end_of_their_step(case):
    made = jobs_test.accept(jobs_test.make_step(3))
    made.apply(events.TaskPlaced(TASK, 1, 'vm-1'))
    made.apply(events.TaskRequeued(TASK, 1, crash='vm-1/a', ran_ms=9))
    demand = backlog.Demand(made.workloads[jobs_test.FIRST])
    case.assertEqual(demand.tasks[-1], TASK)
    case.assertEqual(demand.attempts, [1, 1, 2])


def test_held_task_is_not_placed(case):
    made = jobs_test.accept(jobs_test.make_step(2))
    made.apply(events.TaskPlaced(TASK, 1, 'vm-1'))
    made.apply(events.TaskRequeued(TASK, 1, crash='vm-1/a', ran_ms=9))
    demand = backlog.Demand(made.workloads[jobs_test.FIRST])
    demand.held = {TASK}
    case.assertEqual(demand.tasks, [f'{jobs_test.FIRST}.1'])


def test_giving_up_at_once(case):
    faults_test.check(
        case,
        test_two_crashes_at_the_start_are_enough_once_it_stays_calm,
        suspects.CrashTimes,
        'measure_quiet_seconds',
        lambda self: 0.0,
    )


def test_crashes_of_others_left_out(case):
    faults_test.check(
        case,
        test_crash_of_another_worker_near_them_calls_for_a_trial,
        suspects.CrashTimes,
        'is_calm',
        lambda self, since, names=(): True,
    )


def test_workers_taken_for_steady(case):
    faults_test.check(
        case,
        test_crash_of_a_worker_that_crashed_before_shows_little,
        suspects.CrashTimes,
        'was_worker_stable',
        lambda self, name: True,
    )


def test_any_of_those_under_a_crash_given_up(case):
    faults_test.check(
        case,
        test_two_jobs_under_the_same_crashes_are_told_apart_first,
        suspects,
        '_is_prime_suspect',
        lambda made, task: True,
    )
