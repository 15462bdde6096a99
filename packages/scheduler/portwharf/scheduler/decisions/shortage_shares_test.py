# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Groups that a shortage serves too little get a job promoted."""

import hypothesis
from hypothesis import strategies

from portwharf.core import data
from portwharf.scheduler.decisions import backlog
from portwharf.scheduler.decisions import pass_inputs
from portwharf.scheduler.decisions import precedence
from portwharf.scheduler.decisions import shortage_shares
from portwharf.scheduler import events
from portwharf.scheduler import state

START_MS = 1_000_000
RATE_MILLI = 4000


class World:
    """A queue whose tasks run one after the other, least work first."""

    def __init__(self, short=True, stretch=10.0):
        self.state = state.ShardState()
        self.shares = shortage_shares.ShortageShares(self.state)
        self.now = 0.0
        self.wall_ms = START_MS
        self.short = short
        self._stretch = stretch

    @property
    def weigher(self):
        return precedence.Weigher(self.state, self.wall_ms, shares=self.shares)

    def submit(self, name, caller, count, fills=True, zone='', run_ms=1000):
        """Submit a job of one step with tasks of one core."""
        step = data.Workload(
            count=count,
            resources=data.Resources(1000, 100),
            run_ms=run_ms,
            fills=fills,
        )
        job = data.Job(
            name,
            'plans',
            2,
            steps=[step],
            stretch=self._stretch,
            caller=caller,
            zone=zone,
        )
        self.state.apply(events.JobAccepted(self.wall_ms, job))

    def advance(self, seconds):
        """Let time pass, and update."""
        self.now += seconds
        self.wall_ms += int(1000 * seconds)
        self.update()

    def update(self):
        # Forgets ended workloads, as each pass does.
        self.state.list_active()
        self.shares.update(
            self.weigher,
            self.now,
            self.wall_ms,
            lambda _: self.short,
            lambda _: RATE_MILLI,
        )

    def order(self):
        """Return the ids of the waiting jobs in the order of service."""
        demands = pass_inputs.list_demands(
            self.state, lambda _: frozenset(), self.wall_ms, self.weigher
        )
        ordered = backlog.order_demands(demands, self.wall_ms)
        return [demand.record.workload.job for demand in ordered]

    def run_task(self, job):
        """Place the next task of a job and let it succeed."""
        (name,) = self.state.jobs[job].steps
        task = f'{name}.{self.state.workloads[name].begun}'
        self.state.apply(events.TaskPlaced(task, 1, 'vm-1'))
        self.state.apply(events.TaskEnded(task, 1, data.TaskState.SUCCEEDED))

    def is_owed(self, job):
        (name,) = self.state.jobs[job].steps
        return self.shares.is_owed(self.state.workloads[name])

    def run_greedy(self, seconds):
        """Let a caller with small jobs displace one with a large job."""
        self.submit('large-0', 'modest', 8)
        for second in range(seconds):
            for number in range(2):
                name = f'small-{second}-{number}'
                self.submit(name, 'greedy', 2)
                self.advance(0.5)
                self.run_task(name)
                self.run_task(name)


def test_job_of_a_displaced_caller_goes_first_and_weighs_a_fifth(case):
    """Guards against a caller that splits its work displacing all others."""
    world = World()
    world.run_greedy(7)
    world.submit('small', 'greedy', 2)
    case.assertEqual(world.order()[0], 'large-0')
    (owed,) = world.shares.list_owed()
    case.assertEqual((owed.name, owed.promoted), ('modest', 'large-0'))
    (name,) = world.state.jobs['large-0'].steps
    record = world.state.workloads[name]
    claim = world.weigher.make_claim(record)
    case.assertAlmostEqual(claim.left, 8 * precedence.PROMOTED_FACTOR)
    job = data.Job('new', 'plans', caller='modest')
    share, ids = world.shares.find_owed(job)
    case.assertEqual(share, owed.submitted)
    case.assertIn(owed.promoted, ids)


def test_without_a_shortage_the_order_is_the_same(case):
    """Guards against decisions that change while there is capacity."""
    world = World(short=False)
    world.run_greedy(7)
    world.submit('small', 'greedy', 2)
    case.assertEqual(world.order(), ['small', 'large-0'])
    case.assertEqual(world.shares.list_owed(), [])


def test_with_one_group_the_order_is_the_same(case):
    """Guards against a group that is promoted over itself."""
    world = World()
    for number in range(15):
        world.submit(f'small-{number}', 'one', 2)
        world.submit(f'large-{number}', 'one', 8)
        world.advance(0.5)
        world.run_task(f'small-{number}')
    plain = pass_inputs.list_demands(
        world.state, lambda _: frozenset(), world.wall_ms
    )
    expected = [
        demand.record.workload.job
        for demand in backlog.order_demands(plain, world.wall_ms)
    ]
    case.assertEqual(world.order(), expected)
    case.assertEqual(world.shares.list_owed(), [])


def test_job_that_cannot_end_in_time_is_not_promoted(case):
    """Guards against capacity for steps that are wider than it."""
    world = World()
    world.submit('wide', 'modest', 10 * RATE_MILLI // 1000 * 2)
    world.run_greedy(7)
    case.assertFalse(world.is_owed('wide'))
    case.assertTrue(world.is_owed('large-0'))


def test_promotion_ends_once_the_job_is_late(case):
    """Guards against late jobs that displace others in time."""
    world = World()
    world.run_greedy(7)
    case.assertTrue(world.is_owed('large-0'))
    world.advance(4.0)
    case.assertFalse(world.is_owed('large-0'))


def test_new_owner_promotes_no_job_before_it_has_measured(case):
    """Guards against conclusions from empty sums after a takeover."""
    world = World()
    world.run_greedy(7)
    world.shares = shortage_shares.ShortageShares(world.state)
    world.update()
    case.assertFalse(world.is_owed('large-0'))
    case.assertEqual(world.shares.list_owed(), [])


def test_caller_that_disappears_is_forgotten(case):
    """Guards against state that grows with each caller ever seen."""
    world = World()
    world.run_greedy(7)
    world.state.apply(events.JobCancelled('large-0'))
    world.advance(0.5)
    case.assertFalse(world.is_owed('large-0'))
    case.assertEqual(world.shares.list_owed(), [])
    for _ in range(200):
        world.advance(2.0)
    case.assertEqual(world.shares.count_groups(), 0)


def test_clock_jump_leaves_sums_and_bounds_promotions(case):
    """Guards against a wall clock set back that keeps a job promoted."""
    world = World()
    world.run_greedy(7)
    (before,) = world.shares.list_owed()
    world.wall_ms -= 3_600_000
    world.advance(0.5)
    (after,) = world.shares.list_owed()
    case.assertAlmostEqual(before.submitted, after.submitted)
    world.advance(4.0)
    case.assertEqual(world.shares.list_promoted(), [])


def test_job_dropped_between_two_updates_counts_as_done(case):
    """Guards against reading steps that the state has dropped.

    An owner drops ended jobs in any pass, also in one without an update.
    """
    world = World()
    world.submit('large-0', 'modest', 8)
    for second in range(14):
        name = f'small-{second}'
        world.submit(name, 'greedy', 2)
        world.advance(0.5)
        world.run_task(name)
        world.run_task(name)
        world.state.apply(events.JobDropped(name))
    world.advance(0.5)
    (owed,) = world.shares.list_owed()
    case.assertEqual((owed.name, owed.done), ('modest', 0.0))


def test_id_that_is_accepted_again_is_a_new_job(case):
    """Guards against the objective of a dropped job of the same id."""
    world = World()
    world.run_greedy(7)
    case.assertTrue(world.is_owed('large-0'))
    world.state.apply(events.JobDropped('large-0'))
    world.submit('large-0', 'modest', 8)
    # The dropped job would be late.
    world.advance(4.0)
    case.assertTrue(world.is_owed('large-0'))


def test_cancellation_withdraws_no_more_than_is_left(case):
    """Guards against a division by zero after a cancellation.

    The work of the cancelled job has decayed since it was submitted. Without
    decay it would be more than the queue's whole sum.
    """
    world = World()
    world.submit('old', 'other', 100)
    world.run_greedy(7)
    (before,) = world.shares.list_owed()
    world.state.apply(events.JobCancelled('old'))
    world.advance(0.5)
    (after,) = world.shares.list_owed()
    case.assertLess(before.submitted, after.submitted)
    case.assertLess(after.submitted, 0.5)


ACTIONS = strategies.one_of(
    strategies.tuples(
        strategies.just('submit'),
        strategies.sampled_from(['', 'one', 'two']),
        strategies.sampled_from(['', 'zone-1', 'zone-2']),
        strategies.integers(1, 100),
        # 0 stands for a job without an estimate: it has no work.
        strategies.sampled_from([1000, 0, 30_000]),
    ),
    strategies.tuples(strategies.just('take over')),
    strategies.tuples(
        strategies.sampled_from(['run', 'end', 'cancel', 'drop', 'again']),
        strategies.integers(0, 9),
    ),
    strategies.tuples(
        strategies.just('advance'),
        strategies.sampled_from([0.5, 1.0, 3.0, 60.0]),
    ),
)


def apply_action(world, action):
    """Apply one of ``ACTIONS``; does nothing if it names no job."""
    kind, *arguments = action
    if kind == 'submit':
        caller, zone, count, run_ms = arguments
        name = f'job-{len(world.state.jobs)}-{world.now}'
        if name not in world.state.jobs:
            world.submit(name, caller, count, zone=zone, run_ms=run_ms)
        return
    if kind == 'take over':
        world.shares = shortage_shares.ShortageShares(world.state)
        return
    if kind == 'advance':
        world.advance(*arguments)
        return
    names = list(world.state.jobs)
    if not names:
        return
    name = names[arguments[0] % len(names)]
    record = world.state.jobs[name]
    (step,) = [world.state.workloads[one] for one in record.steps]
    left = step.workload.count - step.begun
    if kind in ('run', 'end') and not record.cancelled:
        for _ in range(left if kind == 'end' else min(1, left)):
            world.run_task(name)
    elif kind == 'cancel':
        world.state.apply(events.JobCancelled(name))
    elif kind in ('drop', 'again'):
        if world.state.has_ended(step):
            world.state.apply(events.JobDropped(name))
            if kind == 'again':
                world.submit(name, record.job.caller, step.workload.count)


@hypothesis.settings(max_examples=200, deadline=None)
@hypothesis.given(
    strategies.lists(ACTIONS, min_size=2, max_size=10),
    strategies.lists(ACTIONS, max_size=40),
)
def check_shares_stay_between_0_and_1(before, after):
    """Submit, run, end, cancel and drop jobs in any order.

    A greedy caller in between leaves a group owed in most examples.
    """
    world = World()
    for action in before:
        apply_action(world, action)
    world.run_greedy(7)
    for action in after:
        apply_action(world, action)
        for shares in world.shares.list_shares():
            assert all(0 <= share <= 1 for share in shares), shares


def test_shares_stay_between_0_and_1(case):
    """Guards against exceptions that end the owner, and against wrong sums."""
    check_shares_stay_between_0_and_1()


def test_step_that_has_waited_long_goes_before_others(case):
    """Guards against a job with much work left that never begins.

    A job that may wait for 9 s goes first after 4.5 s. Filling steps keep
    their order, as this rule costs their queue too much.
    """
    for fills in (False, True):
        world = World()
        world.submit('large', 'one', 8, fills)
        world.advance(0.0)
        world.advance(4.4)
        world.submit('small', 'one', 2, fills)
        case.assertEqual(world.order()[0], 'small')
        world.advance(0.6)
        case.assertEqual(world.order()[0], 'small' if fills else 'large')


@hypothesis.settings(max_examples=20, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(1, 4), strategies.integers(1, 6)
        ),
        min_size=2,
        max_size=5,
    )
)
def check_no_group_starves(callers):
    """Serve one task a step for a minute, under any mix of callers.

    Each caller submits jobs of a size of its own, at a rate of its own. The
    second half minute counts. Half of a group's share is the aim; jobs of
    whole tasks and late jobs leave it somewhat below.
    """
    world = World(stretch=12.0)
    submitted = dict.fromkeys(range(len(callers)), 0)
    done = dict.fromkeys(submitted, 0)
    for step in range(240):
        for number, (period, count) in enumerate(callers):
            if step % (4 * period) == 0:
                world.submit(f'{number}-{step}', str(number), count)
                submitted[number] += count
        world.advance(0.25)
        order = world.order()
        if order:
            world.run_task(order[0])
            if step >= 120:
                done[int(order[0].partition('-')[0])] += 1
        # Each caller has one at most.
        promoted = world.shares.list_promoted()
        assert len(promoted) <= len(callers), promoted
    whole, served = sum(submitted.values()), sum(done.values())
    for number, work in submitted.items():
        if work >= whole / 20:
            least = 0.25 * served * work / whole
            assert done[number] >= least, (number, submitted, done)


def test_no_group_starves(case):
    """Guards against any mix of callers that keeps one of them unserved."""
    check_no_group_starves()
