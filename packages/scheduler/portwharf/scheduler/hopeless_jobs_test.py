# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Jobs that always fail must not keep sound ones from starting.

Several such jobs fail tasks on every worker, as workers that are broken do.
"""

from portwharf.core import data
from portwharf.scheduler import membership
from portwharf.testing import cluster

SMALL = data.Resources(100, 100)
# Longest time for which a job may wait while there is room for it.
MAX_WAIT_SECONDS = 3.0


def submit(made, number):
    """Submit a job of four small tasks; returns its id."""
    step = data.Workload(count=4, resources=SMALL, run_ms=500, max_failures=3)
    job = data.Job(f'{number:016x}', 'plans', 1, b'', [step], 2000)
    made.submit_job(job)
    return job.id


def list_running(made):
    """Return the tasks that run on any worker."""
    return [
        run.attempt.task
        for node in made.nodes
        for run in node.worker.runs
        if run.running
    ]


def fail_all(made, sound='none'):
    """Let all running tasks fail, except those of a sound job."""
    for node in made.nodes:
        for run in list(node.worker.runs):
            task = run.attempt.task
            if run.running and not task.startswith(sound):
                node.worker.finish(task, data.RunState.FAILED)


def make_cluster():
    """Return a cluster in which six jobs have failed tasks everywhere."""
    made = cluster.Cluster(3)
    made.run(3)
    for number in range(6):
        submit(made, number)
    for _ in range(8):
        made.tick(0.2)
        fail_all(made)
    return made


def test_sound_job_begins_though_others_fail_on_all_workers(case):
    made = make_cluster()
    sound = submit(made, 99)
    begun = set()
    for _ in range(int(MAX_WAIT_SECONDS / 0.5)):
        made.tick(0.5)
        begun.update(t for t in list_running(made) if t.startswith(sound))
        fail_all(made, sound)
    case.assertEqual(len(begun), 4)


def test_half_of_the_workers_at_most_are_quarantined(case):
    made = make_cluster()
    views = made.nodes[0].owner._members.view_vms()
    closed = [view.closed for view in views]
    case.assertEqual(closed.count(membership.CLOSED_QUARANTINED), 1)


def quarantine(made, names):
    """Quarantine workers by failures of several workloads."""
    tracker = made.nodes[0].owner._members._health
    now = made.nodes[0].owner.read_clock()
    for name in names:
        for number in range(4):
            tracker.record_failure(name, f'w.{number}', now)


def list_open(made):
    """Return the names of the workers that take tasks."""
    views = made.nodes[0].owner._members.view_vms()
    return [view.vm.name for view in views if not view.closed]


def test_half_of_the_workers_in_reach_at_most_are_quarantined(case):
    made = cluster.Cluster(4)
    made.run(3)
    for node in made.nodes[2:]:
        made.isolate(node)
    made.run(6)
    quarantine(made, ['vm-00', 'vm-01'])
    case.assertEqual(len(list_open(made)), 1)


def test_half_of_the_workers_of_a_pool_at_most_are_quarantined(case):
    made = cluster.Cluster(4)
    made.run(3)
    for link in made.nodes[0].owner.list_links()[:2]:
        link.view.pool = 'desk'
    quarantine(made, ['vm-00', 'vm-01'])
    case.assertEqual(len(list_open(made)), 3)


def test_half_of_the_workers_with_a_required_label_are_quarantined(case):
    """Guards against jobs that wait for the only workers with their label.

    All of them were barred by four hopeless jobs (incident 0036).
    """
    made = cluster.Cluster(5)
    for node in made.nodes[:2]:
        node.worker.labels = ['b']
    made.run(3)
    quarantine(made, ['vm-00', 'vm-01'])
    case.assertEqual(len(list_open(made)), 3)
    step = data.Workload(resources=SMALL, run_ms=500, label='b')
    made.submit_job(data.Job(f'{7:016x}', 'plans', 1, b'', [step], 2000))
    made.run(1)
    case.assertEqual(len(list_open(made)), 4)
    made.run(MAX_WAIT_SECONDS)
    running = list_running(made)
    case.assertEqual(running, [f'{7:016x}.0.0.0'])
