# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Steps with a policy start only on workers that have a ticket."""

import result

from portwharf.core import clock
from portwharf.core import data
from portwharf.scheduler.decisions import backlog
from portwharf.scheduler.decisions import gangs_test
from portwharf.scheduler.decisions import placement
from portwharf.scheduler.decisions import vm_choice
from portwharf.scheduler import faults_test
from portwharf.scheduler import jobs_test
from portwharf.scheduler import policy

STEP = jobs_test.FIRST
VALID_MS = 1000
FIRST = data.IncarnationId('i-0', 1)
SECOND = data.IncarnationId('i-1', 1)


class FakePolicy(policy.Policy):
    """Allows some incarnations and records the queries."""

    def __init__(self, allowed):
        self.allowed = allowed
        self.queries = []
        self.down = False

    def query(self, step, lives):
        self.queries.append(list(lives))
        if self.down:
            return result.Err('no answer')
        return result.Ok(
            [
                policy.Permit(one, f't-{one.instance}')
                for one in lives
                if one in self.allowed
            ]
        )


def open_advisor(*allowed):
    """Return an advisor without a thread, its policy and its clock."""
    service = FakePolicy(allowed)
    now = clock.ManualClock()
    return policy.TicketCache(service, now, lambda: None), service, now


def make_demand(count=2):
    """Return the demand of a step with a policy."""
    step = jobs_test.make_step(count, ticket_ms=VALID_MS)
    return backlog.Demand(jobs_test.accept(step).workloads[STEP])


def make_views():
    """Return two views with room, whose workers have an incarnation id."""
    views = gangs_test.make_views(4, 4)
    for number, view in enumerate(views):
        view.life = data.IncarnationId(f'i-{number}', 1)
    return views


def place(demand, views):
    """Run one placement pass."""
    quotas = backlog.Quotas({}, {})
    return placement.place_demands([demand], views, quotas, jobs_test.NOW)


def test_step_waits_for_the_policy_and_carries_its_ticket(case):
    advisor, _, _ = open_advisor(SECOND)
    demand, views = make_demand(), make_views()
    policy.assign_tickets(advisor, [demand], views)
    waiting = place(demand, views).waiting
    case.assertEqual(len(waiting), 1)
    refused = waiting[0].choice.refusals[vm_choice.REFUSED_POLICY]
    case.assertEqual(refused, 2)
    case.assertTrue(advisor.ask_next())
    policy.assign_tickets(advisor, [demand], views)
    placed = place(demand, views).placements
    rows = [(one.vm, one.ticket) for one in placed]
    case.assertEqual(rows, [('vm-1', 't-i-1')] * 2)


def test_refused_workers_are_asked_about_once(case):
    advisor, service, _ = open_advisor(SECOND)
    for _ in range(3):
        advisor.request(STEP, [FIRST, SECOND], VALID_MS)
        advisor.ask_next()
    case.assertEqual(service.queries, [[FIRST, SECOND]])


def test_ticket_is_requested_again_before_it_expires(case):
    advisor, service, now = open_advisor(SECOND)
    advisor.request(STEP, [FIRST, SECOND], VALID_MS)
    advisor.ask_next()
    now.advance(0.95)
    case.assertEqual(advisor.find_ticket(STEP, SECOND), '')
    advisor.request(STEP, [FIRST, SECOND], VALID_MS)
    advisor.ask_next()
    case.assertEqual(service.queries[-1], [SECOND])
    case.assertEqual(advisor.find_ticket(STEP, SECOND), 't-i-1')


def test_new_incarnation_of_a_worker_needs_a_new_ticket(case):
    advisor, _, _ = open_advisor(SECOND)
    advisor.request(STEP, [SECOND], VALID_MS)
    advisor.ask_next()
    restarted = data.IncarnationId(SECOND.instance, 2)
    for life in (data.IncarnationId('i-2', 1), restarted):
        case.assertEqual(advisor.find_ticket(STEP, life), '')


def test_query_without_an_answer_is_repeated(case):
    advisor, service, _ = open_advisor(SECOND)
    service.down = True
    advisor.request(STEP, [SECOND], VALID_MS)
    case.assertFalse(advisor.ask_next())
    service.down = False
    case.assertTrue(advisor.ask_next())
    case.assertEqual(advisor.find_ticket(STEP, SECOND), 't-i-1')


def test_many_workers_are_split_into_several_queries(case):
    advisor, service, _ = open_advisor()
    lives = [data.IncarnationId(f'i-{number}') for number in range(40)]
    for _ in range(2):
        advisor.request(STEP, lives, VALID_MS)
        advisor.ask_next()
    case.assertEqual([len(one) for one in service.queries], [30, 10])


def test_starts_without_a_ticket_are_caught(case):
    faults_test.check_fault_detected(
        case,
        test_step_waits_for_the_policy_and_carries_its_ticket,
        vm_choice,
        '_refuse_step',
        lambda demand, view: '',
    )


def test_size_of_a_demand_is_unchanged_by_its_policy(case):
    size = make_demand().record.workload.reserved
    case.assertEqual(size, data.Resources(1000, 1000))


def test_policy_is_not_asked_about_steps_that_wait_no_longer(case):
    advisor, service, _ = open_advisor(FIRST)
    policy.assign_tickets(advisor, [make_demand()], make_views())
    policy.assign_tickets(advisor, [], make_views())
    case.assertTrue(advisor.ask_next())
    case.assertEqual(service.queries, [])


def test_step_without_an_answer_does_not_hold_up_the_others(case):
    advisor, service, _ = open_advisor(FIRST)
    advisor.request('odd', [SECOND], VALID_MS)
    advisor.request(STEP, [FIRST], VALID_MS)
    service.down = True
    case.assertFalse(advisor.ask_next())
    service.down = False
    case.assertTrue(advisor.ask_next())
    case.assertEqual(service.queries, [[SECOND], [FIRST]])
    case.assertTrue(advisor.find_ticket(STEP, FIRST))
