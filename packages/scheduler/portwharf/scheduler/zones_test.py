# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""No task starts in a closed availability zone, whatever the path.

Each VM of the stepped cluster is in a zone of its own. After every step, the
cluster checks that nothing started in a zone that has been closed for some
time.
"""

from unittest import mock

from portwharf.core import clock
from portwharf.core import data
from portwharf.peers import messages
from portwharf.scheduler import faults_test
from portwharf.scheduler import jobs_test
from portwharf.scheduler import membership
from portwharf.scheduler import zones
from portwharf.side import agent
from portwharf.store import etcd_test
from portwharf.testing import cluster
from portwharf.testing import fixtures

CLOSED = 'zone-1'
LONG_WAIT_SECONDS = 8.0


def make_cluster(size=3):
    """Return a cluster whose owner is not in the zone to be closed."""
    made = cluster.Cluster(size)
    made.run(4)
    return made


def list_running(made, number):
    """Return the tasks that run on a VM, given by its number."""
    runs = made.nodes[number].worker.runs
    return sorted(run.attempt.task for run in runs if run.running)


def count_running(made):
    """Return how many tasks run on each VM."""
    return [len(list_running(made, n)) for n in range(len(made.nodes))]


def explain(made, workload_id):
    """Return how many VMs were refused to a waiting workload, by reason."""
    owner = made.list_owners()[0].owner
    waiting = owner._decider.waiting.get(workload_id)
    if waiting is None:
        return {}
    return {one.name: one.number for one in waiting.choice.list_refusals()}


def test_work_goes_to_other_zones(case):
    made = make_cluster()
    made.close_zone(CLOSED)
    made.run(LONG_WAIT_SECONDS)
    made.submit(6)
    made.run(LONG_WAIT_SECONDS)
    case.assertEqual(count_running(made), [2, 0, 2])


def test_running_tasks_go_on(case):
    made = make_cluster()
    made.submit(6)
    made.run(4)
    before = list_running(made, 1)
    made.close_zone(CLOSED)
    made.run(LONG_WAIT_SECONDS)
    case.assertEqual(list_running(made, 1), before)
    case.assertEqual(len(before), 2)


def test_lasting_task_that_ends_is_not_restarted_there(case):
    made = make_cluster()
    lasting = jobs_test.make_step(3, kind=data.Kind.STANDING, most_per_vm=1)
    made.submit_job(jobs_test.make_job(lasting))
    made.run(4)
    made.close_zone(CLOSED)
    made.run(LONG_WAIT_SECONDS)
    case.assertEqual(count_running(made), [1, 1, 1])
    (task,) = list_running(made, 1)
    made.nodes[1].worker.finish(task, data.RunState.FAILED)
    made.run(LONG_WAIT_SECONDS)
    case.assertEqual(count_running(made), [1, 0, 1])
    made.open_zone(CLOSED)
    made.run(LONG_WAIT_SECONDS)
    case.assertEqual(count_running(made), [1, 1, 1])


def test_reopened_zone_is_used_at_once(case):
    made = make_cluster()
    made.close_zone(CLOSED)
    made.submit(6)
    made.run(LONG_WAIT_SECONDS)
    made.open_zone(CLOSED)
    made.run(3)
    case.assertEqual(count_running(made), [2, 2, 2])


def test_zone_closed_again_within_a_second_is_closed(case):
    made = make_cluster()
    made.close_zone(CLOSED)
    made.run(LONG_WAIT_SECONDS)
    made.open_zone(CLOSED)
    made.tick(0.2)
    made.close_zone(CLOSED)
    made.run(LONG_WAIT_SECONDS)
    made.submit(6)
    made.run(LONG_WAIT_SECONDS)
    case.assertEqual(count_running(made), [2, 0, 2])


def test_rewritten_key_changes_nothing(case):
    made = make_cluster()
    made.close_zone(CLOSED)
    made.run(LONG_WAIT_SECONDS)
    made.fake.put(zones.PREFIX + CLOSED, b'\xff not to be read')
    made.submit(6)
    made.run(LONG_WAIT_SECONDS)
    case.assertEqual(count_running(made), [2, 0, 2])


def test_unknown_zone_changes_nothing(case):
    made = make_cluster()
    made.close_zone('zone-of-nobody')
    made.close_zone('')
    made.run(LONG_WAIT_SECONDS)
    made.submit(6)
    made.run(4)
    case.assertEqual(count_running(made), [2, 2, 2])


def test_all_zones_may_be_closed(case):
    made = make_cluster()
    for number in range(3):
        made.close_zone(f'zone-{number}')
    made.run(LONG_WAIT_SECONDS)
    accepted = made.submit(3)
    made.run(LONG_WAIT_SECONDS)
    case.assertEqual(count_running(made), [0, 0, 0])
    reasons = explain(made, accepted.value.id)
    case.assertEqual(reasons, {messages.REFUSED_ZONE: 3})
    made.open_zone('zone-2')
    made.run(3)
    case.assertEqual(count_running(made), [0, 0, 2])


def test_step_that_needs_a_label_there_waits_with_a_reason(case):
    made = make_cluster()
    for number, node in enumerate(made.nodes):
        node.worker.labels = ['lens'] if number == 1 else []
    made.run(2)
    made.close_zone(CLOSED)
    made.run(LONG_WAIT_SECONDS)
    job = jobs_test.make_job(jobs_test.make_step(1, label='lens'))
    made.submit_job(job)
    made.run(4)
    case.assertEqual(count_running(made), [0, 0, 0])
    reasons = explain(made, jobs_test.FIRST)
    case.assertEqual(reasons[messages.REFUSED_ZONE], 1)
    made.open_zone(CLOSED)
    made.run(3)
    case.assertEqual(count_running(made), [0, 1, 0])


def test_gang_is_not_begun_in_part(case):
    made = make_cluster()
    made.close_zone(CLOSED)
    made.run(LONG_WAIT_SECONDS)
    gang = jobs_test.make_step(6, gang=True)
    made.submit_job(jobs_test.make_job(gang))
    made.run(LONG_WAIT_SECONDS)
    case.assertEqual(count_running(made), [0, 0, 0])
    made.open_zone(CLOSED)
    made.run(4)
    case.assertEqual(count_running(made), [2, 2, 2])


def test_start_in_flight_is_refused_by_the_side(case):
    """The start is decided and logged before the zone is closed.

    Its message is delivered after, when the side knows of the closed zone and
    the owner does not.
    """
    made = make_cluster()
    for node in (made.nodes[0], made.nodes[2]):
        node.worker.resize(0)
    made.run(2)
    made.submit(1)
    owner = made.nodes[0].owner
    owner.step(owner.take_items())
    link = owner._members.get_link('vm-01')
    case.assertTrue(
        any(isinstance(m, messages.StartTask) for m in link.pipe.to_side)
    )
    made.close_zone(CLOSED)
    made.nodes[1].zones.refresh(made.nodes[1].kv)
    made.run(LONG_WAIT_SECONDS)
    case.assertEqual(count_running(made), [0, 0, 0])
    made.nodes[2].worker.resize(2000)
    made.run(LONG_WAIT_SECONDS)
    case.assertEqual(count_running(made), [0, 0, 1])


def test_repeated_start_is_refused(case):
    made = make_cluster()
    made.nodes[0].worker.resize(0)
    made.nodes[2].worker.resize(0)
    made.run(2)
    made.submit(1)
    owner = made.nodes[0].owner
    owner.step(owner.take_items())
    owner._members.get_link('vm-01').pipe.to_side.clear()
    made.break_pipes(made.nodes[1])
    made.close_zone(CLOSED)
    made.run(LONG_WAIT_SECONDS)
    case.assertEqual(count_running(made), [0, 0, 0])


def test_new_owner_places_nothing_there(case):
    """The side of the new owner was not told before the takeover."""
    made = make_cluster()
    made.isolate(made.nodes[0])
    made.close_zone(CLOSED)
    made.submit(3)
    made.nodes[2].claim()
    case.assertFalse(made.nodes[2].zones.is_closed(CLOSED))
    made.submit(6)
    made.run(LONG_WAIT_SECONDS)
    case.assertEqual(list_running(made, 1), [])
    case.assertEqual(len(list_running(made, 2)), 2)


def test_new_owner_reads_the_zones_itself(case):
    made = make_cluster()
    node = made.nodes[2]
    node.zones.refresh(node.kv)
    made.close_zone(CLOSED)
    made.nodes[0].end_owner()
    made.time.advance(0.1)
    node.claim()
    case.assertFalse(
        node.owner._members.has_recent_zones(node.owner.read_clock())
    )


def test_restarted_side_reads_the_zones_itself(case):
    made = make_cluster()
    made.close_zone(CLOSED)
    made.run(LONG_WAIT_SECONDS)
    made.restart_side(made.nodes[1])
    made.submit(6)
    made.run(LONG_WAIT_SECONDS)
    case.assertEqual(count_running(made), [2, 0, 2])
    case.assertTrue(made.nodes[1].zones.is_closed(CLOSED))


def test_append_delayed_by_an_outage_starts_nothing_there(case):
    """The zone is closed at the moment that the store is back."""
    made = make_cluster()
    made.nodes[0].worker.resize(0)
    made.nodes[2].worker.resize(0)
    made.run(2)
    made.fake.faults.down = True
    made.submit(1)
    made.run(4)
    made.fake.faults.down = False
    made.fake.put(zones.PREFIX + CLOSED, b'')
    made.run(LONG_WAIT_SECONDS)
    case.assertEqual(count_running(made), [0, 0, 0])


def test_prepared_work_does_not_begin_there_in_an_outage(case):
    made = make_cluster()
    made.submit(10)
    made.run(4)
    case.assertTrue(made.read_state().prepared['vm-01'])
    made.close_zone(CLOSED)
    made.tick(0.1)
    for node in made.nodes:
        node.zones.refresh(node.kv)
    made.fake.faults.down = True
    made.run(6)
    made.finish_running()
    made.run(6)
    case.assertEqual(list_running(made, 1), [])
    case.assertTrue(list_running(made, 2))


def test_side_that_is_cut_from_the_store_is_told_by_its_owner(case):
    made = make_cluster()
    made.nodes[1].pool.cut = True
    made.close_zone(CLOSED)
    made.run(4)
    case.assertTrue(made.nodes[1].zones.is_closed(CLOSED))


def test_owner_that_cannot_read_the_keys_places_nothing(case):
    made = make_cluster()
    node = made.nodes[0]
    node.zones.refresh = lambda kv: False
    made.run(4)
    made.submit(1)
    made.run(LONG_WAIT_SECONDS)
    case.assertEqual(count_running(made), [0, 0, 0])


def test_refusal_counts_against_no_vm(case):
    made = make_cluster()
    made.nodes[0].worker.resize(0)
    made.nodes[2].worker.resize(0)
    made.run(2)
    made.submit(2)
    owner = made.nodes[0].owner
    owner.step(owner.take_items())
    made.close_zone(CLOSED)
    made.nodes[1].zones.refresh(made.nodes[1].kv)
    made.run(2)
    made.open_zone(CLOSED)
    made.run(4)
    case.assertEqual(count_running(made), [0, 2, 0])


def test_later_reading_holds_whoever_made_it(case):
    keeper = zones.ZoneKeeper(clock.ManualClock())
    keeper.update(7, [CLOSED])
    keeper.update(5, [])
    case.assertTrue(keeper.is_closed(CLOSED))
    keeper.update(8, [])
    case.assertFalse(keeper.is_closed(CLOSED))


def test_listeners_are_called_on_changes_only(case):
    keeper = zones.ZoneKeeper(clock.ManualClock())
    calls = []
    keeper.add_listener(lambda: calls.append(keeper.read().names))
    keeper.update(5, [])
    keeper.update(6, [CLOSED])
    keeper.update(9, [CLOSED])
    case.assertEqual(calls, [frozenset((CLOSED,))])


def test_watch_sees_created_and_deleted_keys(case):
    kv, fake = etcd_test.open_served(case)
    keeper = zones.ZoneKeeper(clock.ManualClock())
    case.assertTrue(keeper.refresh(kv))
    fake.put(zones.PREFIX + CLOSED, b'')
    case.assertTrue(keeper.wait_for_change(kv))
    case.assertTrue(keeper.is_closed(CLOSED))
    fake.remove(zones.PREFIX + CLOSED)
    case.assertTrue(keeper.wait_for_change(kv))
    case.assertFalse(keeper.is_closed(CLOSED))


def test_store_that_does_not_answer_changes_nothing(case):
    kv, fake = fixtures.make_store()
    now = clock.ManualClock()
    keeper = zones.ZoneKeeper(now)
    fake.put(zones.PREFIX + CLOSED, b'')
    keeper.refresh(kv)
    now.advance(3.0)
    fake.faults.down = True
    case.assertFalse(keeper.refresh(kv))
    case.assertTrue(keeper.is_closed(CLOSED))
    case.assertFalse(keeper.is_known_since(now.read_monotonic() - 1.0))


def test_slow_watch_does_not_lower_the_read_time(case):
    kv, fake = fixtures.make_store()
    now = clock.ManualClock()
    keeper = zones.ZoneKeeper(now)
    keeper.refresh(kv)

    def wait(prefix, revision, timeout):
        now.advance(5.0)
        keeper.refresh(kv)
        return kv.list_keys(prefix)

    slow = mock.Mock(wait_for_key_changes=wait)
    case.assertTrue(keeper.wait_for_change(slow))
    case.assertTrue(keeper.is_known_since(now.read_monotonic()))


def test_names_from_the_store_are_bounded(case):
    keeper = zones.ZoneKeeper(clock.ManualClock())
    keeper.update(1, ['x' * 1000] + [str(n) for n in range(5000)])
    names = keeper.read().names
    case.assertEqual(len(names), zones.MAX_ZONES)
    case.assertEqual(max(len(name) for name in names), zones.MAX_NAME_LENGTH)


def test_fault_side_ignores_the_zones(case):
    faults_test.check_fault_detected(
        case,
        test_start_in_flight_is_refused_by_the_side,
        agent.Agent,
        '_check_start',
        _ignore_zone(agent.Agent._check_start),
    )


def test_fault_owner_ignores_the_zones(case):
    faults_test.check_fault_detected(
        case,
        test_all_zones_may_be_closed,
        membership.Membership,
        '_find_zone_closed_reason',
        lambda self, link: '',
    )


def test_fault_new_owner_does_not_read_the_zones(case):
    faults_test.check_fault_detected(
        case,
        test_new_owner_reads_the_zones_itself,
        membership.Membership,
        'has_recent_zones',
        lambda self, now: True,
    )


def _ignore_zone(original):
    """Return a check of starts that skips the check of the zone."""

    def check_start(self, message, known):
        self.is_zone_closed = lambda: False
        return original(self, message, known)

    return check_start


def test_owner_that_cannot_read_the_keys_hands_over_before_it_appends(case):
    """Other VMs reach the store, and work waits with room for it."""
    made = make_cluster()
    for node in made.nodes:
        node.worker.resize(500)
    made.run(2)
    made.submit(2)
    made.run(2)
    case.assertEqual(len(made.list_accepted()), 1)
    made.nodes[0].pool.cut = True
    made.run(zones.MAX_AGE_SECONDS + 1)
    made.nodes[2].worker.resize(2000)
    made.run(LONG_WAIT_SECONDS)
    asked = [one for one in made.nodes if one.guard.take_takeover_request()]
    case.assertNotEqual(asked, [])
