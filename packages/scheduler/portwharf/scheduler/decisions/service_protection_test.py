# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""More important work and services get room, with real owner and sides."""

import result

from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler.decisions import service_protection
from portwharf.scheduler import jobs_test
from portwharf.testing import cluster

WHOLE = data.Resources(2000, 2000)


def fill_with_batch_work(sim, **fields):
    """Fill all VMs with batch work and return the workload's id."""
    fut = sim.submit(6, checkpointable=True, **fields)
    sim.run(4)
    return fut.value.id


def list_running(sim, job):
    """Return (task, attempt) of the running tasks of a workload."""
    return [
        (run.attempt.task, run.attempt.attempt)
        for node in sim.nodes
        for run in node.worker.runs
        if run.running and run.attempt.task.startswith(job)
    ]


def test_urgent_work_starts_within_seconds(case):
    sim = cluster.Cluster(3)
    batch = fill_with_batch_work(sim, importance=900)
    began = sim.time.read_monotonic()
    urgent = sim.submit(1, urgent=True)
    while not list_running(sim, urgent.value.id if urgent.value else '-'):
        sim.tick(0.5)
        took = sim.time.read_monotonic() - began
        case.assertLess(took, 5.7)
    case.assertEqual(len(list_running(sim, batch)), 5)
    sim.settle()
    sim.check_end()


def test_only_as_many_tasks_as_needed_are_evicted(case):
    sim = cluster.Cluster(3)
    batch = fill_with_batch_work(sim)
    urgent = sim.submit(1, urgent=True, resources=WHOLE)
    sim.run(8)
    case.assertEqual(len(list_running(sim, urgent.value.id)), 1)
    case.assertEqual(len(list_running(sim, batch)), 4)


def test_work_of_similar_importance_is_not_evicted(case):
    sim = cluster.Cluster(3)
    batch = fill_with_batch_work(sim, importance=100)
    sim.submit(3, importance=250)
    sim.run(8)
    case.assertEqual(len(list_running(sim, batch)), 6)
    runs = sum(len(node.worker.record) for node in sim.nodes)
    case.assertEqual(runs, 6)


def test_more_important_work_evicts_less_important(case):
    sim = cluster.Cluster(3)
    fill_with_batch_work(sim, importance=0)
    more = sim.submit(1, importance=800)
    sim.run(8)
    case.assertEqual(len(list_running(sim, more.value.id)), 1)
    sim.settle()
    sim.check_end()


def test_no_room_is_sought_where_nothing_is_less_important(case):
    sim = cluster.Cluster(3)
    fill_with_batch_work(sim, importance=100)
    protection = sim.nodes[0].owner._decider.service_protection
    make_room, sought = protection._make_room, []

    def make_room_and_count(demand, *args):
        sought.append(demand.record.workload.importance)
        return make_room(demand, *args)

    protection._make_room = make_room_and_count
    sim.submit(3, importance=300)
    sim.run(2)
    case.assertEqual(sought, [])
    sim.submit(3, importance=301)
    sim.run(2)
    case.assertEqual(set(sought), {301})


def test_replicas_evict_batch_work(case):
    sim = cluster.Cluster(3)
    fill_with_batch_work(sim)
    service = sim.submit(2, kind=data.Kind.SERVICE)
    sim.run(30)
    case.assertEqual(len(list_running(sim, service.value.id)), 2)


def test_room_is_made_only_where_the_work_may_run(case):
    sim = cluster.Cluster(3)
    sim.nodes[2].worker.labels = ['a']
    batch = fill_with_batch_work(sim)
    step = jobs_test.make_step(1, kind=data.Kind.STANDING, label='a')
    job = jobs_test.make_job(step)
    job.rank = 0
    sim.submit_job(job)
    sim.run(8)
    case.assertEqual(len(list_running(sim, jobs_test.ID)), 1)
    case.assertEqual(len(list_running(sim, batch)), 5)


def test_room_lent_beyond_a_quota_is_reclaimed(case):
    sim = cluster.Cluster(3)
    text = '[teams.lens]\nquota = {cpu_milli = 2000, memory_mb = 90000}\n'
    sim.nodes[0].keeper.update(5, text)
    lent = fill_with_batch_work(sim)
    case.assertEqual(len(list_running(sim, lent)), 6)
    other = sim.submit(1, team='desk')
    sim.run(8)
    case.assertEqual(len(list_running(sim, other.value.id)), 1)


def test_late_service_has_its_neighbour_throttled(case):
    """A neighbour of a service that misses its target is throttled."""
    sim = cluster.Cluster(3)
    node = sim.nodes[0]
    text = '[services."lens/fit"]\ntarget_ms = 100\ntarget_ratio = 0.99\n'
    node.keeper.update(5, text)
    fill_with_batch_work(sim)
    throttled = []

    def throttle(task, _, percent):
        throttled.append((task, percent))
        return result.Ok(None)

    for one in sim.nodes:
        one.worker.throttle = throttle
    measure = messages.ServiceMeasure('lens/fit', 50, 90_000, 0.5, 500)
    for _ in range(8):
        node.owner.take_measures('vm-01', [measure])
        sim.run(1)
    case.assertEqual({percent for _, percent in throttled}, {50})
    held = node.owner._state.held['vm-01']
    case.assertEqual({task for task, _ in throttled} - set(held), set())


def throttle_neighbour(sim):
    """Have a late service's neighbour throttled and return its attempt."""
    text = '[services."lens/fit"]\ntarget_ms = 100\ntarget_ratio = 0.99\n'
    for node in sim.nodes:
        node.keeper.update(5, text)
    fill_with_batch_work(sim)
    report_measurements(sim, sim.nodes[0], 90_000, 8)
    (name,) = list_throttled(sim)
    return name


def report_measurements(sim, node, mean_us, times):
    """Report a service's time on vm-01 to the owner on a node, repeatedly."""
    one = messages.ServiceMeasure('lens/fit', 50, mean_us, 0.5, 500)
    for _ in range(times):
        node.owner.take_measures('vm-01', [one])
        sim.run(1)


def list_throttled(sim):
    """Return the attempts that are throttled."""
    return [
        name
        for node in sim.nodes
        for name, percent in node.worker.paces.items()
        if percent < 100
    ]


def test_throttled_task_is_released_when_the_service_recovers(case):
    sim = cluster.Cluster(3)
    throttle_neighbour(sim)
    report_measurements(sim, sim.nodes[0], 5_000, 60)
    case.assertEqual(list_throttled(sim), [])


def test_task_throttled_by_a_former_owner_is_released(case):
    """A new owner does not know what a former one has throttled.

    Order of events: a service is late, its neighbour is throttled; the owner's
    process ends, another VM takes over; the service meets its target for a
    minute. The neighbour used to stay throttled until it ended.
    """
    sim = cluster.Cluster(3)
    throttle_neighbour(sim)
    sim.restart_side(sim.nodes[0])
    sim.run(1)
    sim.nodes[2].claim()
    sim.run(3)
    report_measurements(sim, sim.nodes[2], 5_000, 60)
    case.assertEqual(list_throttled(sim), [])


def test_release_lost_with_its_connection_is_repeated(case):
    """A release counts as done when it is sent, even if it gets lost.

    Order of events: the neighbour is throttled, the service recovers; the
    owner's connection to that VM closes just before the release is sent.
    """
    sim = cluster.Cluster(3)
    throttle_neighbour(sim)
    owner = sim.nodes[0].owner
    link = owner._members.get_link('vm-01')
    lost = []
    send_on = link.send_on

    def lose(connection, message):
        if isinstance(message, messages.ThrottleTask) and not lost:
            lost.append(message)
            link.pipe.closed = True
        send_on(connection, message)

    link.send_on = lose
    report_measurements(sim, sim.nodes[0], 5_000, 60)
    case.assertEqual([one.percent for one in lost], [100])
    case.assertEqual(list_throttled(sim), [])


def test_throttled_task_is_released_when_the_service_is_gone(case):
    sim = cluster.Cluster(3)
    throttle_neighbour(sim)
    sim.run(service_protection.STALE_SECONDS + 30, 1.0)
    case.assertEqual(list_throttled(sim), [])


def test_throttle_of_a_former_owner_is_released_without_its_service(case):
    """A new owner has no measurements of a service that has ended.

    Order of events: a service is late, its neighbour is throttled; the service
    ends, then the owner's process.
    """
    sim = cluster.Cluster(3)
    throttle_neighbour(sim)
    sim.restart_side(sim.nodes[0])
    sim.run(1)
    sim.nodes[2].claim()
    sim.run(service_protection.STALE_SECONDS + 30, 1.0)
    case.assertEqual(list_throttled(sim), [])


def count_paces(sim):
    """Return the number of attempts whose share was ever set."""
    return sum(len(node.worker.paces) for node in sim.nodes)


def test_throttle_is_kept_until_a_new_owner_can_know_the_service(case):
    """A new owner has no measurements yet of a service that is still late."""
    sim = cluster.Cluster(3)
    name = throttle_neighbour(sim)
    sim.restart_side(sim.nodes[0])
    sim.run(1)
    sim.nodes[2].claim()
    sim.run(service_protection.STALE_SECONDS - 10, 1.0)
    case.assertEqual(list_throttled(sim), [name])


def test_new_owner_releases_only_throttled_tasks(case):
    """Without services, commands to all attempts would be a flood."""
    sim = cluster.Cluster(3)
    throttle_neighbour(sim)
    case.assertEqual(count_paces(sim), 1)
    sim.restart_side(sim.nodes[0])
    sim.run(1)
    sim.nodes[2].claim()
    sim.run(service_protection.STALE_SECONDS + 90, 1.0)
    case.assertEqual(list_throttled(sim), [])
    case.assertEqual(count_paces(sim), 1)


def test_release_lost_with_its_owner_is_repeated(case):
    """A release that is in the log may never have been sent.

    Order of events: the service ends; the owner's process ends as it sends the
    release, and another VM takes over.
    """
    sim = cluster.Cluster(3)
    throttle_neighbour(sim)
    link = sim.nodes[0].owner._members.get_link('vm-01')
    send_on, lost = link.send_on, []

    def lose(connection, message):
        is_throttle = isinstance(message, messages.ThrottleTask)
        if is_throttle and message.percent == 100:
            lost.append((message.task, message.attempt))
        else:
            send_on(connection, message)

    link.send_on = lose
    sim.run(service_protection.STALE_SECONDS + 30, 1.0)
    sim.restart_side(sim.nodes[0])
    sim.run(1)
    case.assertTrue(lost)
    case.assertIn(lost[0], list_throttled(sim))
    sim.nodes[2].claim()
    sim.run(service_protection.STALE_SECONDS + 60, 1.0)
    case.assertEqual(list_throttled(sim), [])


def test_neighbours_are_not_listed_without_services(case):
    sim = cluster.Cluster(3)
    fill_with_batch_work(sim)
    protection = sim.nodes[0].owner._decider.service_protection
    listed = []
    protection.list_neighbours = lambda vm, now: listed.append(vm) or []
    sim.run(4)
    case.assertEqual(listed, [])


def test_first_measurement_of_a_service_is_learnt_from(case):
    """What runs beside a service is recorded from its acceptance on."""
    sim = cluster.Cluster(3)
    fill_with_batch_work(sim)
    sim.submit(1, kind=data.Kind.SERVICE)
    sim.run(4)
    owner = sim.nodes[0].owner
    (record,) = owner._state.services.values()
    (task,) = record.tasks
    service = record.workload.key
    model = owner._decider.service_protection.model
    before = model.predict(service, 0.5, {}).deviation
    one = messages.ServiceMeasure(service, 50, 90_000, 0.5, 500)
    owner.take_measures(task.vm, [one])
    sim.run(1)
    case.assertLess(model.predict(service, 0.5, {}).deviation, before / 2)
