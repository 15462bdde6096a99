# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Placement constraints and preemption of steps, with mutation checks."""

from portwharf.core import data
from portwharf.scheduler import configuration
from portwharf.scheduler import configuration_test
from portwharf.scheduler.decisions import backlog
from portwharf.scheduler.decisions import gangs_test
from portwharf.scheduler.decisions import placement
from portwharf.scheduler.decisions import service_protection
from portwharf.scheduler.decisions import vm_choice
from portwharf.scheduler.decisions import vmview
from portwharf.scheduler import faults_test
from portwharf.scheduler import jobs_test
from portwharf.side import agent
from portwharf.side import agent_test
from portwharf.testing import cluster
from portwharf.vmlist import registry
from portwharf.vmlist import registry_test

check_fault_detected = faults_test.check_fault_detected


def place(views, count=4, **fields):
    """Place a step's tasks; returns the names of their VMs."""
    made = jobs_test.accept(jobs_test.make_step(count, **fields))
    demand = backlog.Demand(made.workloads[jobs_test.FIRST])
    quotas = backlog.Quotas({}, {})
    done = placement.place_demands([demand], views, quotas, jobs_test.NOW)
    return [one.vm for one in done.placements]


def test_step_runs_only_in_its_pool_and_under_its_label(case):
    views = gangs_test.make_views(4, 4, 4)
    views[0].pool, views[1].pool, views[2].pool = 'desk', 'other', 'desk'
    views[0].labels = ['a', 'r1']
    placed = place(views, pool='desk', label='a')
    case.assertEqual(set(placed), {'vm-0'})


def test_tasks_of_a_step_per_vm_are_limited(case):
    placed = place(gangs_test.make_views(8, 8), most_per_vm=1)
    case.assertEqual(sorted(placed), ['vm-0', 'vm-1'])


def test_standing_task_is_never_preempted(case):
    made = cluster.Cluster(1)
    standing = jobs_test.make_step(2, kind=data.Kind.STANDING)
    job = jobs_test.make_job(standing)
    job.rank = 4
    made.submit_job(job)
    made.run(4)
    made.submit(1, importance=900, resources=data.Resources(2000, 2000))
    made.run(6)
    running = [run for run in made.nodes[0].worker.runs if run.running]
    case.assertEqual(len(running), 2)


def test_placement_in_another_pool_is_caught(case):
    check_fault_detected(
        case,
        test_step_runs_only_in_its_pool_and_under_its_label,
        vmview.VmView,
        'suits',
        lambda self, workload: True,
    )


def test_too_many_tasks_of_a_step_on_one_vm_are_caught(case):
    check_fault_detected(
        case,
        test_tasks_of_a_step_per_vm_are_limited,
        vm_choice,
        '_refuse_step',
        lambda demand, view: '',
    )


def test_preempted_standing_task_is_caught(case):
    original = service_protection.ServiceProtection.list_neighbours

    def list_all(self, vm, now):
        for task in self._state.held[vm].values():
            record = self._state.find_workload(task.id)
            record.workload.kind = data.Kind.BATCH
        return original(self, vm, now)

    check_fault_detected(
        case,
        test_standing_task_is_never_preempted,
        service_protection.ServiceProtection,
        'list_neighbours',
        list_all,
    )


def test_start_beyond_a_vms_capacity_is_caught(case):
    check_fault_detected(
        case,
        agent_test.test_vm_is_never_given_more_than_it_holds,
        agent.Agent,
        '_sum_running',
        lambda self: data.Resources(),
    )


def test_older_configuration_revision_is_caught(case):
    original = configuration.ConfigKeeper.update

    def update(self, revision, text):
        self._current = configuration.Configuration()
        return original(self, revision, text)

    check_fault_detected(
        case,
        configuration_test.test_keeper_takes_only_higher_revisions,
        configuration.ConfigKeeper,
        'update',
        update,
    )


def test_token_of_a_previous_incarnation_is_caught(case):
    original = registry.Registration.renew

    def renew(self):
        if self._lease and self._renew_lease():
            found = self._kv.read(self._key).ok_value
            self.token = self.token or found.revision
            return True
        return original(self)

    check_fault_detected(
        case,
        registry_test.test_token_is_never_that_of_a_former_life,
        registry.Registration,
        'renew',
        renew,
    )
