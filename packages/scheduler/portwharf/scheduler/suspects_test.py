# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""When a task whose workers crash is held back, tried and given up."""

from portwharf.core import data
from portwharf.scheduler.decisions import backlog
from portwharf.scheduler.decisions import gangs_test
from portwharf.scheduler.decisions import vm_choice
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


class Scenario:
    """A state with two jobs of one task each, and the observed crashes."""

    def __init__(self, **fields):
        """Take fields of the first job's step."""
        self.state = jobs_test.accept(jobs_test.make_step(**fields))
        step = jobs_test.make_step()
        other = data.Job(OTHER, 'plans', 1, b'', [step], 2000)
        self.state.apply(events.JobAccepted(jobs_test.NOW, other))
        self.times = suspects.CrashHistory(0.0)
        self.attempt = 0

    def crash(self, at, vm='vm-1', ran_ms=20, tasks=(TASK,), listed_ms=-1):
        """Record the crash of a worker that ran some tasks, or none.

        :returns: the crash's name
        """
        self.attempt += 1
        name = suspects.make_crash_name(vm, f'life-{self.attempt}')
        self.times.record(name, at)
        for task in tasks:
            placed = events.TaskPlaced(task, self.attempt, vm)
            self.state.apply(placed)
            self.state.apply(
                events.TaskRequeued(
                    task,
                    self.attempt,
                    crash=name,
                    ran_ms=ran_ms,
                    listed_ms=listed_ms,
                )
            )
        return name

    def crash_twice(self):
        """Record two crashes at the task's start, with a quiet time after."""
        self.crash(50.0, 'vm-1')
        self.crash(50.1, 'vm-2')

    def assess(self, now, is_trial=False, task=TASK):
        """Return the verdict on a task."""
        found = self.state.tasks[task]
        return suspects.assess(self.state, found, self.times, is_trial, now)


def test_first_crash_changes_nothing(case):
    scenario = Scenario()
    scenario.crash(50.0)
    case.assertIs(scenario.assess(50.0), PLACE)


def test_two_crashes_at_the_start_require_a_trial_in_a_quiet_period(case):
    """Two workers may crash by themselves under a healthy task."""
    scenario = Scenario()
    scenario.crash_twice()
    case.assertIs(scenario.assess(50.5), HOLD)
    case.assertIs(scenario.assess(51.2), TRY)
    scenario.crash(51.3, 'vm-3')
    case.assertIs(scenario.assess(51.4, is_trial=True), HOLD)
    case.assertIs(scenario.assess(53.9, is_trial=True), GIVE_UP)


def test_crash_of_another_worker_requires_a_trial(case):
    scenario = Scenario()
    scenario.crash(50.0, 'vm-1')
    scenario.crash(50.1, 'vm-2')
    scenario.crash(50.2, 'vm-3', tasks=())
    case.assertIs(scenario.assess(50.9), HOLD)
    case.assertIs(scenario.assess(51.3), TRY)


def test_crash_in_a_trial_is_conclusive(case):
    scenario = Scenario()
    scenario.crash(49.9, 'vm-3', tasks=())
    scenario.crash(50.0, 'vm-1')
    scenario.crash(50.1, 'vm-2')
    scenario.crash(52.0, 'vm-4')
    case.assertIs(scenario.assess(57.0, is_trial=True), GIVE_UP)
    case.assertIs(scenario.assess(57.0), TRY)


def test_crash_of_another_worker_near_a_trial_requires_another(case):
    scenario = Scenario()
    scenario.crash_twice()
    scenario.crash(51.7, 'vm-3', tasks=())
    scenario.crash(52.0, 'vm-4')
    case.assertIs(scenario.assess(57.0, is_trial=True), TRY)


def test_trial_on_an_unstable_worker_requires_another(case):
    scenario = Scenario()
    scenario.crash(40.0, 'vm-4', tasks=())
    scenario.crash_twice()
    scenario.crash(52.0, 'vm-4')
    case.assertIs(scenario.assess(57.0, is_trial=True), TRY)


def test_crash_long_after_the_start_of_a_trial_requires_another(case):
    """A listing showed the task at work before its worker crashed."""
    scenario = Scenario()
    scenario.crash_twice()
    scenario.crash(52.0, 'vm-4', ran_ms=900, listed_ms=600)
    case.assertIs(scenario.assess(57.0, is_trial=True), TRY)


def test_crash_that_is_detected_late_is_conclusive(case):
    """No listing has shown the task at work."""
    scenario = Scenario()
    scenario.crash_twice()
    scenario.crash(52.0, 'vm-4', ran_ms=900, listed_ms=10)
    case.assertIs(scenario.assess(57.0, is_trial=True), GIVE_UP)


def test_trial_waits_for_the_end_of_a_series(case):
    scenario = Scenario()
    for turn in range(4):
        scenario.crash(50.0 + 2 * turn, f'vm-{turn}', tasks=())
    scenario.crash(58.0, 'vm-8', ran_ms=1900)
    scenario.crash(60.0, 'vm-9', ran_ms=1900)
    case.assertIs(scenario.assess(63.9), HOLD)
    case.assertIs(scenario.assess(64.1), TRY)


def test_standing_task_is_held_for_a_few_seconds_at_most(case):
    """Other workers go on crashing, with up to 4.8 s in between."""
    scenario = Scenario(kind=data.Kind.STANDING)
    scenario.crash(45.2, 'vm-3', tasks=())
    scenario.crash(50.0, 'vm-1', ran_ms=1900)
    scenario.crash(52.0, 'vm-2', ran_ms=1900)
    scenario.crash(54.5, 'vm-4', tasks=())
    limit = 52.0 + suspects.MAX_STANDING_HOLD_SECONDS
    case.assertIs(scenario.assess(limit - 0.1), HOLD)
    case.assertIs(scenario.assess(limit), TRY)


def test_trial_of_a_standing_task_in_a_series_is_inconclusive(case):
    scenario = Scenario(kind=data.Kind.STANDING)
    for turn in range(4):
        scenario.crash(33.0 + 4.9 * turn, f'vm-{turn}', tasks=())
    scenario.crash_twice()
    scenario.crash(55.1, 'vm-5')
    limit = 55.1 + suspects.MAX_STANDING_HOLD_SECONDS
    case.assertIs(scenario.assess(limit, is_trial=True), TRY)


def test_crash_of_an_unstable_worker_is_not_conclusive(case):
    scenario = Scenario()
    scenario.crash(40.0, 'vm-1', tasks=())
    scenario.crash(50.0, 'vm-1')
    scenario.crash(50.1, 'vm-2')
    case.assertIs(scenario.assess(55.0), TRY)


def test_four_crashes_are_conclusive(case):
    scenario = Scenario()
    for turn in range(4):
        scenario.crash(50.0 + turn, f'vm-{turn}', ran_ms=-1)
    case.assertIs(scenario.assess(53.0), GIVE_UP)


def test_four_crashes_that_a_task_survived_are_inconclusive(case):
    """They came under it, but not by its start; only the limit ends it."""
    scenario = Scenario()
    for turn in range(4):
        scenario.crash(50.0 + turn, f'vm-{turn}', 900, listed_ms=600)
    case.assertIs(scenario.assess(60.0), TRY)
    scenario.crash(61.0, 'vm-5', 900, listed_ms=600)
    case.assertIs(scenario.assess(61.0), GIVE_UP)


def test_task_that_survived_a_start_is_given_up_only_at_the_limit(case):
    """What crashes its workers does so at each start."""
    scenario = Scenario()
    scenario.crash(50.0, 'vm-1', 900, listed_ms=600)
    scenario.crash(51.0, 'vm-2')
    scenario.crash(55.0, 'vm-3')
    case.assertIs(scenario.assess(65.0, is_trial=True), TRY)
    scenario.crash(70.0, 'vm-4')
    case.assertIs(scenario.assess(85.0, is_trial=True), TRY)
    scenario.crash(90.0, 'vm-5')
    case.assertIs(scenario.assess(90.0, is_trial=True), GIVE_UP)


def test_task_that_runs_on_is_not_given_up_for_one_faulty_worker(case):
    """A lasting job failed with a worker that alone had its label."""
    for kind in (data.Kind.STANDING, data.Kind.BATCH):
        with case.subTest(kind=kind):
            scenario = Scenario(kind=kind)
            for turn in range(8):
                scenario.crash(50.0 + 6 * turn, 'vm-1', 2000, listed_ms=1800)
            case.assertIsNot(scenario.assess(92.0), GIVE_UP)
            case.assertIs(scenario.assess(120.0), TRY)


def test_task_that_runs_on_is_given_up_as_a_second_worker_crashes(case):
    scenario = Scenario()
    for turn in range(4):
        scenario.crash(50.0 + 6 * turn, 'vm-1', 2000, listed_ms=1800)
    scenario.crash(75.0, 'vm-2', 2000, listed_ms=1800)
    case.assertIs(scenario.assess(75.0), GIVE_UP)


def test_cleared_task_is_given_up_only_at_the_limit(case):
    scenario = Scenario()
    scenario.crash(50.0, 'vm-1')
    scenario.state.apply(events.TaskCleared(TASK))
    for turn in range(4):
        scenario.crash(60.0 + 5 * turn, f'vm-{turn}')
    case.assertIs(scenario.assess(85.0, is_trial=True), TRY)
    restored = state.ShardState.unpack(scenario.state.pack())
    case.assertTrue(restored.tasks[TASK].has_survived)
    scenario.crash(90.0, 'vm-5')
    case.assertIs(scenario.assess(90.0), GIVE_UP)


def crash_in_shared_trial():
    """Let a trial crash while a task of another job starts beside it.

    :returns: the :class:`Scenario`
    """
    scenario = Scenario()
    scenario.crash_twice()
    name = scenario.crash(52.0, 'vm-3')
    for task, unit in ((TASK, jobs_test.ID), ('o.0', OTHER)):
        scenario.times.record_cause(name, task, unit)
    return scenario


def test_crash_that_another_job_may_have_caused_requires_a_trial(case):
    scenario = crash_in_shared_trial()
    case.assertIs(scenario.assess(55.8, is_trial=True), HOLD)
    case.assertIs(scenario.assess(56.1, is_trial=True), TRY)


def test_crash_is_conclusive_once_the_other_task_is_cleared(case):
    scenario = crash_in_shared_trial()
    scenario.times.clear_task('o.0')
    case.assertIs(scenario.assess(55.8, is_trial=True), GIVE_UP)


def test_fourth_crash_that_another_job_may_have_caused_requires_a_trial(case):
    scenario = crash_in_shared_trial()
    name = scenario.crash(58.0, 'vm-4')
    scenario.times.record_cause(name, 'o.1', OTHER)
    case.assertIs(scenario.assess(63.0), TRY)
    scenario.crash(64.0, 'vm-5')
    case.assertIs(scenario.assess(64.0), GIVE_UP)


def test_crash_after_startup_clears_a_task(case):
    scenario = Scenario()
    scenario.crash(50.0, 'vm-1')
    scenario.crash(60.0, 'vm-2', ran_ms=suspects.STARTUP_MS + 1)
    case.assertEqual(scenario.state.tasks[TASK].crashes, [])
    case.assertEqual(scenario.state.suspects, {})


def test_two_jobs_with_the_same_crashes_require_a_trial(case):
    scenario = Scenario()
    both = (TASK, f'{OTHER}.0.0.0')
    scenario.crash(50.0, 'vm-1', tasks=both)
    scenario.crash(50.1, 'vm-2', tasks=both)
    case.assertIs(scenario.assess(55.0), TRY)
    scenario.crash(56.0, 'vm-3', tasks=both[:1])
    case.assertIs(scenario.assess(61.0, is_trial=True), GIVE_UP)


def test_trial_of_two_suspected_jobs_requires_another(case):
    scenario = Scenario()
    both = (TASK, f'{OTHER}.0.0.0')
    for turn in range(3):
        scenario.crash(50.0 + 2 * turn, f'vm-{turn}', tasks=both)
    case.assertIs(scenario.assess(60.0, is_trial=True), TRY)


def test_crashes_of_a_given_up_task_are_removed_from_others(case):
    scenario = Scenario()
    other = f'{OTHER}.0.0.0'
    scenario.crash(50.0, 'vm-1', tasks=(TASK, other))
    scenario.crash(50.1, 'vm-2')
    ended = events.TaskEnded(TASK, 2, data.TaskState.FAILED, crasher=True)
    scenario.state.apply(ended)
    case.assertEqual(scenario.state.tasks[other].crashes, [])
    case.assertEqual(scenario.state.suspects, {})
    case.assertEqual(
        scenario.state.find_job_state(jobs_test.ID), data.JobState.FAILED
    )


def test_crashes_are_restored_from_a_snapshot(case):
    scenario = Scenario()
    scenario.crash(50.0, 'vm-1')
    restored = state.ShardState.unpack(scenario.state.pack())
    case.assertEqual(
        restored.tasks[TASK].crashes, scenario.state.tasks[TASK].crashes
    )
    case.assertEqual(list(restored.suspects), [TASK])


def test_new_owner_requires_a_trial(case):
    """It doesn't know whether other workers crashed at that time."""
    scenario = Scenario()
    scenario.crash(50.0, 'vm-1')
    scenario.crash(50.1, 'vm-2')
    scenario.times = suspects.CrashHistory(60.0)
    case.assertIs(scenario.assess(60.5), HOLD)
    case.assertIs(scenario.assess(61.5), TRY)


def choose(suspected, beside, is_selective=True, **fields):
    """Return the VM chosen for a task; the emptier one runs a suspect.

    :param suspected: number of crashes of the task
    :param beside: number of crashes of the suspect, which is of another job
    """
    scenario = Scenario()
    for turn in range(suspected):
        scenario.crash(50.0 + turn, 'vm-9')
    record = scenario.state.workloads[jobs_test.FIRST]
    for name, value in fields.items():
        setattr(record.workload, name, value)
    demand = backlog.Demand(record)
    demand.is_selective = is_selective
    views = gangs_test.make_views(8, 4)
    views[0].record_suspect('another', beside)
    choice = vm_choice.choose_vm(demand, views, None)
    return choice.view.vm.name if choice.view else ''


def test_suspects_are_placed_on_different_vms(case):
    case.assertEqual(choose(1, 1), 'vm-1')
    case.assertEqual(choose(2, 1), 'vm-1')


def test_other_tasks_avoid_vms_with_suspects(case):
    case.assertEqual(choose(0, 2), 'vm-1')


def choose_beside_settled(is_selective, **fields):
    """Return the VM for a suspect; the only one runs a settled suspect."""
    scenario = Scenario(**fields)
    scenario.crash_twice()
    demand = backlog.Demand(scenario.state.workloads[jobs_test.FIRST])
    demand.is_selective = is_selective
    views = gangs_test.make_views(8)
    views[0].record_suspect('another', 2, is_starting=False)
    return vm_choice.choose_vm(demand, views, None).view


def test_standing_suspect_that_has_waited_may_join_one_that_runs_on(case):
    standing = data.Kind.STANDING
    case.assertIsNotNone(choose_beside_settled(False, kind=standing))
    case.assertIsNone(choose_beside_settled(True, kind=standing))
    case.assertIsNone(choose_beside_settled(False))


def test_suspect_that_has_waited_prefers_a_steady_worker(case):
    """A trial on a worker that crashed lately proves little."""
    scenario = Scenario()
    scenario.crash_twice()
    demand = backlog.Demand(scenario.state.workloads[jobs_test.FIRST])
    demand.accept_any_vm()
    views = gangs_test.make_views(8, 4)
    views[0].unsteady = True
    choice = vm_choice.choose_vm(demand, views, None)
    case.assertEqual(choice.view.vm.name, 'vm-1')
    choice = vm_choice.choose_vm(demand, views[:1], None)
    case.assertEqual(choice.view.vm.name, 'vm-0')


def test_suspects_come_last_in_their_step(case):
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
    demand.held_tasks = {TASK}
    case.assertEqual(demand.tasks, [f'{jobs_test.FIRST}.1'])


def test_giving_up_without_a_quiet_period_is_caught(case):
    faults_test.check_fault_detected(
        case,
        test_two_crashes_at_the_start_require_a_trial_in_a_quiet_period,
        suspects.CrashHistory,
        'measure_quiet_seconds',
        lambda self: 0.0,
    )


def test_ignored_crashes_of_other_workers_are_caught(case):
    faults_test.check_fault_detected(
        case,
        test_crash_of_another_worker_near_a_trial_requires_another,
        suspects.CrashHistory,
        'is_quiet',
        lambda self, since, names=(): True,
    )


def test_ignored_unstable_worker_is_caught(case):
    faults_test.check_fault_detected(
        case,
        test_trial_on_an_unstable_worker_requires_another,
        suspects.CrashHistory,
        'was_worker_stable',
        lambda self, name: True,
    )


def test_giving_up_without_comparing_suspects_is_caught(case):
    faults_test.check_fault_detected(
        case,
        test_trial_of_two_suspected_jobs_requires_another,
        suspects,
        '_is_prime_suspect',
        lambda made, task: True,
    )


def test_ignored_causes_of_other_jobs_are_caught(case):
    faults_test.check_fault_detected(
        case,
        test_crash_that_another_job_may_have_caused_requires_a_trial,
        suspects.CrashHistory,
        'has_other_cause',
        lambda self, name, unit: False,
    )
