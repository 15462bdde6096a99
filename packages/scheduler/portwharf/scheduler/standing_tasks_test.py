# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Standing tasks that wait although VMs that are heard have room for them.

Callers expect one that has ended to run again within seconds once faults are
over. What an owner concluded from the faults may keep it waiting for longer.
"""

from portwharf.core import data
from portwharf.scheduler import jobs_test
from portwharf.testing import cluster
from portwharf.testing import standing_walk

# Longest time from the end of the faults until every standing task runs.
MAX_WAIT_SECONDS = 4.0
# The same if the only workers with room had failed all that they were given.
MAX_RECOVERY_SECONDS = 6.0
# Longest time without a run that callers accept while there is room.
MAX_AWAY_SECONDS = 9.0
# The same for a suspect whose worker has crashed three times, 1 s apart: twice
# as long without a crash, and the time until it is noticed and placed.
MAX_HOLD_WAIT_SECONDS = 3.0
_STEP_SECONDS = 0.1


def submit(made, number, count=1, size=1000, **fields):
    """Submit a job of standing tasks; returns the id of the first one."""
    step = jobs_test.make_step(
        count,
        kind=data.Kind.STANDING,
        resources=data.Resources(size, size),
        **fields,
    )
    job = data.Job(f'{number:016x}', 'watch', 1, b'', [step], 2000)
    made.submit_job(job)
    return f'{job.id}.0.0.0'


def find_running(made):
    """Return the node that runs each task, by task id."""
    return {
        run.attempt.task: node
        for node in made.nodes
        for run in node.worker.runs
        if run.running
    }


def fail_all(worker):
    """Let all running tasks of a worker fail."""
    for run in list(worker.runs):
        if run.running:
            worker.finish(run.attempt.task, data.RunState.FAILED)


def measure_wait(made, count):
    """Run the cluster until some number of tasks run.

    :returns: how long that took, in seconds, at most 30
    """
    began = made.time.read_monotonic()
    while len(find_running(made)) < count:
        made.tick(_STEP_SECONDS)
        if made.time.read_monotonic() - began > 30:
            break
    return made.time.read_monotonic() - began


def test_earlier_refusals_do_not_keep_a_standing_task_waiting(case):
    """The only VM with room refused it three times, until just now."""
    made = cluster.Cluster(2)
    made.run(3)
    submit(made, 1, 2, 1500)
    made.run(2)
    worker = made.nodes[1].worker
    worker.broken = True
    fail_all(worker)
    made.run(6.6, _STEP_SECONDS)
    worker.broken = False
    case.assertLessEqual(measure_wait(made, 2), MAX_WAIT_SECONDS)


def test_standing_probe_that_works_lets_others_follow(case):
    """The only worker with room was quarantined, and works since.

    A standing task never succeeds. Each was followed by the next one only
    after the time that a probe without a result takes.
    """
    made = cluster.Cluster(2)
    made.run(3)
    for number in range(8):
        submit(made, number, size=500)
    made.run(2)
    worker = made.nodes[1].worker
    for _ in range(2):
        fail_all(worker)
        made.run(0.4, _STEP_SECONDS)
    while made.nodes[0].owner._members._health.is_quarantined(
        made.nodes[1].vm.name, made.nodes[0].clock.read_monotonic()
    ):
        made.tick(_STEP_SECONDS)
    case.assertLessEqual(measure_wait(made, 8), MAX_WAIT_SECONDS)


def test_quarantined_worker_that_has_recovered_takes_standing_tasks(case):
    """It is the only one with room, and failed all until just now."""
    for seconds in (1.0, 3.0, 5.5, 7.0, 11.0):
        with case.subTest(seconds=seconds):
            made = cluster.Cluster(2)
            made.run(3)
            for number in range(4):
                submit(made, number)
            made.run(2)
            worker = made.nodes[1].worker
            for _ in range(round(seconds / _STEP_SECONDS / 2)):
                fail_all(worker)
                made.run(2 * _STEP_SECONDS, _STEP_SECONDS)
            case.assertLessEqual(measure_wait(made, 4), MAX_RECOVERY_SECONDS)


def advance(made, seconds):
    """Run the cluster while all running tasks are at work."""
    for _ in range(round(seconds / _STEP_SECONDS)):
        made.tick(_STEP_SECONDS)
        for node in made.nodes:
            for run in node.worker.runs:
                run.attempt.percent = 100


def crash_under(made, task):
    """Crash the worker that runs a task."""
    find_running(made)[task].worker.crash()


def flap(made, worker, down_seconds, interval_seconds):
    """Crash a worker three times, at an interval."""
    for _ in range(2):
        worker.crash(down_seconds)
        advance(made, interval_seconds)
    worker.crash(down_seconds)


def test_crashes_do_not_keep_a_standing_task_waiting(case):
    """Two workers crash under it soon after another one had."""
    made = cluster.Cluster(4)
    advance(made, 3)
    task, other = submit(made, 1), submit(made, 2, size=1500)
    advance(made, 5)
    crash_under(made, other)
    advance(made, 4.5)
    for _ in range(2):
        crash_under(made, task)
        advance(made, 0.8)
    crash_under(made, task)
    began = made.time.read_monotonic()
    while task not in find_running(made):
        advance(made, _STEP_SECONDS)
    away = made.time.read_monotonic() - began
    case.assertLessEqual(away, MAX_AWAY_SECONDS)


def test_hold_of_a_suspect_is_not_followed_by_a_wait_for_a_better_vm(case):
    """Only its worker, which flaps, has room for it."""
    made = cluster.Cluster(2)
    advance(made, 3)
    for number in range(2):
        submit(made, number, size=2000)
    advance(made, 5)
    flap(made, made.nodes[1].worker, 0.2, 1.0)
    case.assertLessEqual(measure_wait(made, 2), MAX_HOLD_WAIT_SECONDS)


def test_crashes_of_one_worker_do_not_keep_its_standing_tasks_apart(case):
    """It flaps, and is the only one with room for tasks of four jobs."""
    made = cluster.Cluster(3)
    advance(made, 3)
    tasks = {submit(made, number, size=500) for number in range(12)}
    advance(made, 5)
    case.assertEqual(find_running(made).keys(), tasks)
    flap(made, made.nodes[2].worker, 1.4, 2.8)
    case.assertLessEqual(measure_wait(made, 12), MAX_AWAY_SECONDS)


def lose_vm_and_owner(made, seconds):
    """Lose the VM of a standing task for good, and then the owner's process.

    :param seconds: time between the two
    :returns: seconds until the task runs again
    """
    advance(made, 3)
    task = submit(made, 1)
    advance(made, 5)
    node = find_running(made)[task]
    if node.owner:
        made.restart_side(node)
        next(one for one in made.nodes if one is not node).claim()
        advance(made, 8)
        node = find_running(made)[task]
    made.fail_vm(node)
    began = made.time.read_monotonic()
    advance(made, seconds)
    (former,) = made.list_owners()
    made.restart_side(former)
    advance(made, standing_walk.TAKEOVER_SECONDS)
    others = [one for one in made.nodes if one not in (node, former)]
    others[0].claim()
    while task not in find_running(made):
        advance(made, _STEP_SECONDS)
    return made.time.read_monotonic() - began


def test_loss_of_the_owner_does_not_keep_tasks_of_a_lost_vm_waiting(case):
    """The new owner waits anew for the leases of the silent VM to end."""
    late = {}
    for seconds in (0.5, 1.0, 2.0, 3.0, 4.0, 5.0):
        made = cluster.Cluster(5, cluster_limits=standing_walk.LIMITS)
        wait = lose_vm_and_owner(made, seconds)
        calm = max(
            seconds + standing_walk.CALM_SECONDS, standing_walk.AWAY_SECONDS
        )
        if wait > calm + standing_walk.LOST_SECONDS:
            late[seconds] = round(wait, 1)
    case.assertEqual(late, {})
