# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""What matters more gets room, through the real owner and sides."""

from portwharf.core import data
from portwharf.peers import messages
from portwharf.testing import cluster

WHOLE = data.Resources(2000, 2000)


def fill(made, **fields):
    """Fill all VMs with batch work; returns the job's id."""
    fut = made.submit(6, checkpointable=True, **fields)
    made.run(4)
    return fut.value.id


def list_running(made, job):
    """Return the running tasks of a job, with their attempts."""
    return [
        (run.attempt.task, run.attempt.attempt)
        for node in made.nodes
        for run in node.worker.runs
        if run.running and run.attempt.task.startswith(job)
    ]


def test_urgent_work_starts_within_seconds(case):
    made = cluster.Cluster(3)
    batch = fill(made, importance=900)
    began = made.time.read_monotonic()
    urgent = made.submit(1, urgent=True)
    while not list_running(made, urgent.value.id if urgent.value else '-'):
        made.tick(0.5)
        took = made.time.read_monotonic() - began
        case.assertLess(took, 5.7)
    case.assertEqual(len(list_running(made, batch)), 5)
    made.settle()
    made.check_end()


def test_only_what_is_needed_makes_room(case):
    made = cluster.Cluster(3)
    batch = fill(made)
    urgent = made.submit(1, urgent=True, resources=WHOLE)
    made.run(8)
    case.assertEqual(len(list_running(made, urgent.value.id)), 1)
    case.assertEqual(len(list_running(made, batch)), 4)


def test_like_work_does_not_push_like_work_out(case):
    made = cluster.Cluster(3)
    batch = fill(made, importance=100)
    made.submit(3, importance=250)
    made.run(8)
    case.assertEqual(len(list_running(made, batch)), 6)
    runs = sum(len(node.worker.record) for node in made.nodes)
    case.assertEqual(runs, 6)


def test_more_important_work_pushes_out_less(case):
    made = cluster.Cluster(3)
    fill(made, importance=0)
    more = made.submit(1, importance=800)
    made.run(8)
    case.assertEqual(len(list_running(made, more.value.id)), 1)
    made.settle()
    made.check_end()


def test_replicas_get_room_from_batch_work(case):
    made = cluster.Cluster(3)
    fill(made)
    service = made.submit(2, kind=data.Kind.SERVICE)
    made.run(30)
    case.assertEqual(len(list_running(made, service.value.id)), 2)


def test_lent_room_is_given_back(case):
    made = cluster.Cluster(3)
    text = '[teams.lens]\nquota = {cpu_milli = 2000, memory_mb = 90000}\n'
    made.nodes[0].keeper.offer(5, text)
    lent = fill(made)
    case.assertEqual(len(list_running(made, lent)), 6)
    other = made.submit(1, team='desk')
    made.run(8)
    case.assertEqual(len(list_running(made, other.value.id)), 1)


def test_measurements_reach_the_model_and_throttle(case):
    """A service that is measured late has its worst neighbour throttled."""
    made = cluster.Cluster(3)
    node = made.nodes[0]
    text = '[services."lens/fit"]\ntarget_ms = 100\ntarget_ratio = 0.99\n'
    node.keeper.offer(5, text)
    fill(made)
    throttled = []
    for one in made.nodes:
        one.worker.throttle = lambda task, attempt, percent: throttled.append(
            (task, percent)
        )
    measure = messages.ServiceMeasure('lens/fit', 50, 90_000, 0.5, 500)
    for _ in range(8):
        node.owner.take_measures('vm-01', [measure])
        made.run(1)
    case.assertEqual({percent for _, percent in throttled}, {50})
    held = node.owner._state.held['vm-01']
    case.assertEqual({task for task, _ in throttled} - set(held), set())


def throttle_one(made):
    """Have a late service's neighbour be throttled; returns its name."""
    text = '[services."lens/fit"]\ntarget_ms = 100\ntarget_ratio = 0.99\n'
    for node in made.nodes:
        node.keeper.offer(5, text)
    fill(made)
    measure(made, made.nodes[0], 90_000, 8)
    (name,) = find_throttled(made)
    return name


def measure(made, node, mean_us, times):
    """Have the owner on a node hear of a service on vm-01, some times."""
    one = messages.ServiceMeasure('lens/fit', 50, mean_us, 0.5, 500)
    for _ in range(times):
        node.owner.take_measures('vm-01', [one])
        made.run(1)


def find_throttled(made):
    """Return the attempts that do not work at full share."""
    return [
        name
        for node in made.nodes
        for name, percent in node.worker.paces.items()
        if percent < 100
    ]


def test_throttled_task_is_released_once_all_is_well(case):
    made = cluster.Cluster(3)
    throttle_one(made)
    measure(made, made.nodes[0], 5_000, 60)
    case.assertEqual(find_throttled(made), [])


def test_task_throttled_by_a_former_owner_is_released(case):
    """What one owner has throttled is known to nobody after it.

    Order of events: a service is late, its neighbour is throttled; the
    owner's process ends, another VM takes over; the service is well for a
    minute. The neighbour goes on at half its share until it ends.
    """
    made = cluster.Cluster(3)
    throttle_one(made)
    made.restart_side(made.nodes[0])
    made.run(1)
    made.nodes[2].claim()
    made.run(3)
    measure(made, made.nodes[2], 5_000, 60)
    case.assertEqual(find_throttled(made), [])


def test_release_that_was_lost_with_its_connection_is_made_again(case):
    """A release counts as made once it was sent, wherever it went.

    Order of events: the neighbour is throttled, the service is well again;
    the owner's connection to that VM ends just before the release goes out.
    """
    made = cluster.Cluster(3)
    throttle_one(made)
    owner = made.nodes[0].owner
    link = owner._members.get_link('vm-01')
    lost = []
    send = link.send

    def lose(message):
        if isinstance(message, messages.ThrottleTask) and not lost:
            lost.append(message)
            link.pipe.closed = True
        return send(message)

    link.send = lose
    measure(made, made.nodes[0], 5_000, 60)
    case.assertEqual([one.percent for one in lost], [100])
    case.assertEqual(find_throttled(made), [])
