# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Sides are told the claims of their filling tasks again as they change."""

import dataclasses

from portwharf.core import data
from portwharf.scheduler import claim_updates
from portwharf.scheduler.decisions import precedence
from portwharf.scheduler import events
from portwharf.scheduler import jobs_test

NOW_MS = jobs_test.NOW


@dataclasses.dataclass(slots=True)
class FakeLink:
    """The part of a member's link that is read."""

    name: str = 'vm-1'
    connection: int = 0
    reported: bool = True

    @property
    def view(self):
        """The link itself, which has the number of its connection."""
        return self


def make_state(**fields):
    """Return a state in which three of ten tasks of a step are placed."""
    made = jobs_test.accept(jobs_test.make_step(10, fills=True, **fields))
    for number in range(3):
        task = f'{jobs_test.FIRST}.{number}'
        made.apply(events.TaskPlaced(task, 1, 'vm-1'))
    return made


def list_claims(notifier, made, link, now):
    """Return the ``messages.StepClaim`` that one side is told."""
    weigher = precedence.Weigher(made, NOW_MS)
    updates = notifier.make_due_updates([link], weigher, now)
    return [claim for _, update in updates for claim in update.claims]


def end_task(made, number):
    """End one of the step's tasks."""
    task = f'{jobs_test.FIRST}.{number}'
    made.apply(events.TaskEnded(task, 1, data.TaskState.SUCCEEDED))


def test_step_is_told_once_while_it_stays_the_same(case):
    made, link = make_state(), FakeLink()
    notifier = claim_updates.ClaimNotifier(made)
    (claim,) = list_claims(notifier, made, link, 0.0)
    case.assertEqual(claim.workload, jobs_test.FIRST)
    case.assertEqual(list_claims(notifier, made, link, 5.0), [])


def test_step_is_told_again_when_less_work_is_left(case):
    made, link = make_state(), FakeLink()
    notifier = claim_updates.ClaimNotifier(made)
    (first,) = list_claims(notifier, made, link, 0.0)
    end_task(made, 0)
    end_task(made, 1)
    (second,) = list_claims(notifier, made, link, 5.0)
    case.assertAlmostEqual(second.left, 0.8 * first.left)


def test_changes_between_two_intervals_are_told_together(case):
    made, link = make_state(), FakeLink()
    notifier = claim_updates.ClaimNotifier(made)
    list_claims(notifier, made, link, 0.0)
    end_task(made, 0)
    end_task(made, 1)
    early = claim_updates.UPDATE_INTERVAL_SECONDS / 2
    case.assertEqual(list_claims(notifier, made, link, early), [])
    case.assertEqual(len(list_claims(notifier, made, link, 5.0)), 1)


def test_new_connection_is_told_all_claims(case):
    made, link = make_state(), FakeLink()
    notifier = claim_updates.ClaimNotifier(made)
    list_claims(notifier, made, link, 0.0)
    link.connection += 1
    case.assertEqual(len(list_claims(notifier, made, link, 5.0)), 1)


def test_claims_are_told_once_the_side_can_be_reached(case):
    """What is sent between two connections is lost."""
    made, link = make_state(), FakeLink(reported=False)
    notifier = claim_updates.ClaimNotifier(made)
    case.assertEqual(list_claims(notifier, made, link, 0.0), [])
    link.reported = True
    case.assertEqual(len(list_claims(notifier, made, link, 5.0)), 1)


def test_steps_that_do_not_fill_are_not_told(case):
    made = jobs_test.accept(jobs_test.make_step(2))
    made.apply(events.TaskPlaced(f'{jobs_test.FIRST}.0', 1, 'vm-1'))
    notifier = claim_updates.ClaimNotifier(made)
    case.assertEqual(list_claims(notifier, made, FakeLink(), 0.0), [])
