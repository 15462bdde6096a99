# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Operators' calls: submitting, changing, cancelling and reading."""

from portwharf.core import data
from portwharf.scheduler.decisions import placement
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler import events
from portwharf.scheduler import operations
from portwharf.scheduler import state
from portwharf.testing import fixtures

VIEWS = [vmview.VmView(fixtures.make_vm(0), data.Resources(4000, 8000))]
NOW_MS = 1000


def submit(made, key='', **fields):
    """Submit a workload; returns its Ok or Err."""
    submission = operations.Submission(key, fixtures.make_workload(**fields))
    return operations.submit(made, submission, VIEWS, 0, NOW_MS)


def accept(made, **fields):
    """Submit a valid workload; returns its id."""
    return submit(made, **fields).ok_value.answer.id


def test_same_submission_makes_one_workload(case):
    made = state.ShardState()
    first = submit(made).ok_value.answer
    second = submit(made).ok_value
    case.assertTrue(first.created)
    case.assertEqual(second.answer, operations.Accepted(first.id, False))
    case.assertEqual(second.events, [])


def test_key_of_a_different_workload_is_a_conflict(case):
    made = state.ShardState()
    accept(made)
    outcome = submit(made, program='other')
    case.assertEqual(outcome.err_value.code, 'key-in-use')


def test_operators_key_distinguishes_submissions(case):
    made = state.ShardState()
    first = submit(made, 'monday').ok_value.answer
    second = submit(made, 'tuesday').ok_value.answer
    case.assertNotEqual(first.id, second.id)


def test_workload_id_contains_its_shard(case):
    made = operations.make_workload_id(17)
    case.assertEqual(operations.read_shard(made), 17)
    case.assertIsNone(operations.read_shard('lens/plans'))
    case.assertIsNone(operations.read_shard('\xb2-plans'))


def test_unplaceable_workload_is_refused_and_explained(case):
    made = state.ShardState()
    step = submit(made, resources=data.Resources(9000, 1)).ok_value
    case.assertEqual(step.answer.code, placement.REASON_NEVER)
    case.assertEqual(made.workloads, {})
    found = operations.explain(made, operations.Query('lens/plans'), {}, 9)
    case.assertEqual(found.ok_value.state, 'refused')
    case.assertIn('4 processors', found.ok_value.decisions[0].advice)


def test_cancel_counts_tasks_that_had_not_ended(case):
    made = state.ShardState()
    job = accept(made, count=3)
    made.apply(events.TaskPlaced(f'{job}.0', 1, 'vm-00'))
    step = operations.cancel(made, operations.Query(job)).ok_value
    case.assertEqual(step.answer.tasks, 3)
    case.assertEqual([task.id for task in step.stop], [f'{job}.0'])


def test_cancel_again_changes_nothing(case):
    made = state.ShardState()
    job = accept(made, count=3)
    operations.cancel(made, operations.Query(job))
    step = operations.cancel(made, operations.Query(job)).ok_value
    case.assertEqual((step.events, step.answer.tasks), ([], 0))


def test_unknown_id_is_an_error(case):
    made = state.ShardState()
    query = operations.Query('0-none')
    for outcome in (
        operations.cancel(made, query),
        operations.list_tasks(made, query),
        operations.explain(made, query, {}, 9),
        operations.change(made, operations.Change('0-none')),
    ):
        case.assertEqual(outcome.err_value.code, 'unknown-id')


def test_only_count_and_importance_change(case):
    made = state.ShardState()
    job = accept(made, count=3)
    good = fixtures.make_workload(count=5, importance=9)
    case.assertTrue(
        operations.change(made, operations.Change(job, good)).is_ok()
    )
    case.assertEqual(made.workloads[job].workload.count, 5)
    bad = fixtures.make_workload(program='other')
    outcome = operations.change(made, operations.Change(job, bad))
    case.assertEqual(outcome.err_value.code, 'fixed-field')


def test_shrinking_stops_the_last_tasks(case):
    made = state.ShardState()
    job = accept(made, count=3, kind=data.Kind.SERVICE)
    for number in range(3):
        task = f'{job}.{number}'
        made.apply(events.TaskPlaced(task, 1, f'vm-0{number}'))
    less = fixtures.make_workload(count=1, kind=data.Kind.SERVICE)
    step = operations.change(made, operations.Change(job, less)).ok_value
    case.assertEqual([task.id for task in step.stop], [f'{job}.1', f'{job}.2'])


def test_list_is_filtered_by_kind_and_team(case):
    made = state.ShardState()
    accept(made)
    accept(made, name='fit', kind=data.Kind.SERVICE)
    accept(made, name='stock', team='desk')
    for query, count in (
        (operations.Query(), 3),
        (operations.Query(kind=data.Kind.SERVICE), 1),
        (operations.Query(team='desk'), 1),
        (operations.Query(kind=data.Kind.BATCH, team='lens'), 1),
    ):
        listed = operations.list_workloads(made, query, VIEWS)
        case.assertEqual(len(listed.workloads), count)


def test_refused_job_is_explained(case):
    made = state.ShardState()
    refusals = {'a': events.Decision(5, 'cannot-end-in-time', 'a')}
    query = operations.Query('a')
    found = operations.explain(made, query, {}, 9, refusals.get).ok_value
    case.assertEqual(found.decisions, [refusals['a']])
    case.assertEqual(found.state, 'refused')


def test_explain_includes_why_a_job_waits(case):
    made = state.ShardState()
    job = accept(made)
    reason = placement.UnplacedWorkload(
        made.workloads[job], placement.REASON_QUOTA
    )
    found = operations.explain(
        made, operations.Query(job), {job: reason}, 9
    ).ok_value
    case.assertEqual(found.state, '1 waiting')
    (decision,) = found.decisions
    case.assertEqual(decision.reason, placement.REASON_QUOTA)
    case.assertIn('team lens', decision.detail)
