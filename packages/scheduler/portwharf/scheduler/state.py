# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A shard's state, computed by applying the events of its log in order.

Tasks that were never placed have no records: a workload stores only the
number of the first of them, so that waiting work needs almost no memory.
Ended batch tasks keep their results until their workload is dropped.
"""

import collections
import dataclasses

import msgpack

from portwharf.core import codec
from portwharf.core import data
from portwharf.core import ids
from portwharf.scheduler import events
from portwharf.scheduler import history
from portwharf.scheduler import jobs
from portwharf.scheduler import suspects

# Requests that name a roster older than all of these are not run.
MAX_ROSTERS = 16

# Ids of withdrawn jobs that are remembered; a submission that is overtaken by
# its cancellation comes within seconds.
MAX_WITHDRAWN = 1000


@dataclasses.dataclass(slots=True)
class TaskRecord:
    """One task that has been placed at least once.

    :param crashes: crashes of its workers since it last ran past its startup
    :param has_survived: whether one of its attempts is known to have run on
        after its start
    :param throttle_percent: the share that an owner has set for its current
        attempt, which may have been released since; 0 for none
    """

    id: str = ''
    number: int = 0
    state: str = data.TaskState.WAITING
    attempt: int = 0
    vm: str = ''
    checkpoint: str = ''
    result: bytes = b''
    evictions: int = 0
    failures: int = 0
    crashes: list[suspects.CrashRecord] = dataclasses.field(
        default_factory=list
    )
    has_survived: bool = False
    throttle_percent: int = 0


@dataclasses.dataclass(slots=True)
class WorkloadRecord:
    """One accepted workload.

    :param begun: number of the first task that was never placed
    :param succeeded: how many of its tasks have succeeded
    :param not_before_ms: wall time before which none of its tasks starts
    :param checkpoint: of a gang, the latest checkpoint of any member
    :param failures: of a gang, how many of its attempts have failed
    :param failed_attempt: of a gang, the last attempt that failed
    """

    id: str = ''
    key: str = ''
    unix_ms: int = 0
    workload: data.Workload = dataclasses.field(default_factory=data.Workload)
    begun: int = 0
    cancelled: bool = False
    tasks: list[TaskRecord] = dataclasses.field(default_factory=list)
    succeeded: int = 0
    not_before_ms: int = 0
    checkpoint: str = ''
    failures: int = 0
    failed_attempt: int = 0


@dataclasses.dataclass(slots=True)
class JobRecord:
    """One accepted job; each of its steps is a workload.

    A recurring job has workloads for those of its occurrences that are due
    and have not succeeded.

    :param steps: ids of its workloads, in order of occurrence and step
    :param failed: whether one of its tasks has failed permanently
    :param expanded: of a recurring job, number of the first occurrence that
        has not had workloads yet
    :param succeeded: of a recurring job, how many of its occurrences have
        succeeded and been dropped
    """

    unix_ms: int = 0
    job: data.Job = dataclasses.field(default_factory=data.Job)
    steps: list[str] = dataclasses.field(default_factory=list)
    cancelled: bool = False
    failed: bool = False
    expanded: int = 0
    succeeded: int = 0

    @property
    def asked_ms(self):
        """Wall time of its first submission, which may have been refused.

        Its objective and late limit count from this time.
        """
        return self.job.asked_ms or self.unix_ms

    @property
    def may_expand(self):
        """Whether more occurrences of the job will get workloads."""
        return not self.cancelled and self.expanded < self.job.times

    def list_occurrence(self, number):
        """Return the ids of the workloads of one occurrence."""
        return [
            jobs.make_step_id(self.job.id, number, step)
            for step in range(len(self.job.steps))
        ]


@dataclasses.dataclass(slots=True)
class Snapshot:
    """A shard's state as it is stored.

    :param history: encoded decisions; stored in a snapshot of its own
    """

    epoch: int = 0
    owner: str = ''
    members: list[data.Vm] = dataclasses.field(default_factory=list)
    workloads: list[WorkloadRecord] = dataclasses.field(default_factory=list)
    history: list[bytes] = dataclasses.field(default_factory=list)
    rosters: list[data.Roster] = dataclasses.field(default_factory=list)
    jobs: list[JobRecord] = dataclasses.field(default_factory=list)
    withdrawn: list[str] = dataclasses.field(default_factory=list)
    nonvoters: list[str] = dataclasses.field(default_factory=list)


class ShardState:
    """The state of one shard, changed only by :meth:`apply`."""

    def __init__(self):
        self.epoch = 0
        self.owner = ''
        self.members = {}
        # Names of the members whose acknowledgements do not confirm owners.
        self.nonvoters = set()
        self.workloads = {}
        self.jobs = {}
        # Estimated memory of the jobs, in bytes.
        self.job_bytes = 0
        # Workloads that may still have tasks to run, by id.
        self.unended = {}
        # Services that were not dropped, by id.
        self.services = {}
        self.tasks = {}
        # Resources reserved by placed tasks, placed tasks by id, and prepared
        # tasks by id, each for every VM.
        self.reserved = collections.defaultdict(data.Resources)
        self.held = collections.defaultdict(dict)
        self.prepared = collections.defaultdict(dict)
        self.history = history.History()
        self.rosters = []
        # Tasks whose workers crashed and that are not cleared, by id.
        self.suspects = {}
        # Placed tasks whose current attempt was throttled by an owner, by id.
        self.throttled = {}
        # Ids of jobs that were cancelled before they were submitted, the
        # oldest first.
        self.withdrawn = {}
        self._by_key = {}

    def apply(self, event):
        """Apply an event to the state.

        :raises KeyError: the event names an unknown object; the log is
            inconsistent
        :raises RuntimeError: the event contradicts the state of a task
        """
        _APPLIERS[type(event)](self, event)

    def find_by_key(self, key):
        """Return the workload that was created with a key, or None."""
        return self.workloads.get(self._by_key.get(key))

    def find_workload(self, task_id):
        """Return the workload that a task's id belongs to, or None."""
        return self.workloads.get(ids.split_task_id(task_id))

    def list_tasks(self, record):
        """Return all tasks of a workload, also those never placed."""
        initial_state = (
            data.TaskState.CANCELLED
            if record.cancelled
            else data.TaskState.WAITING
        )
        tasks = list(record.tasks)
        for number in range(record.begun, record.workload.count):
            task_id = ids.make_task_id(record.id, number)
            tasks.append(TaskRecord(task_id, number, initial_state))
        return tasks

    def count_states(self, record):
        """Return the number of a workload's tasks by state, as a Counter."""
        counts = collections.Counter(task.state for task in record.tasks)
        unplaced = max(0, record.workload.count - record.begun)
        if record.cancelled:
            counts[data.TaskState.CANCELLED] += unplaced
        else:
            counts[data.TaskState.WAITING] += unplaced
        return counts

    def list_active(self):
        """Return the workloads that may still have tasks to run."""
        for workload_id, record in list(self.unended.items()):
            if self.has_ended(record):
                del self.unended[workload_id]
        return list(self.unended.values())

    def is_ready(self, record):
        """Return whether all steps that a workload depends on are done."""
        return all(
            self.is_done(self.workloads[name])
            for name in record.workload.after
        )

    def is_done(self, record):
        """Return whether all tasks of a workload have succeeded."""
        return record.succeeded >= record.workload.count

    def find_job_state(self, job_id):
        """Return a job's ``data.JobState``, or None if it is unknown."""
        job = self.jobs.get(job_id)
        if job is None:
            return None
        if job.failed:
            return data.JobState.FAILED
        if job.cancelled:
            return data.JobState.CANCELLED
        steps = [self.workloads[name] for name in job.steps]
        if not job.may_expand and all(self.is_done(step) for step in steps):
            return data.JobState.COMPLETED
        if job.succeeded or any(step.begun for step in steps):
            return data.JobState.RUNNING
        return data.JobState.QUEUED

    def has_ended(self, record):
        """Return whether no task of a workload runs or will run again."""
        if not record.cancelled:
            if record.workload.kind != data.Kind.BATCH:
                return False
            if record.begun < record.workload.count:
                return False
        return all(task.state in data.ENDED_STATES for task in record.tasks)

    def pack(self):
        """Return the state as bytes, without the decision history.

        Tasks of ended jobs are left out to keep snapshots small. The records
        of their steps and jobs suffice to tell how they ended.
        """
        ended_jobs = {name for name in self.jobs if self._has_job_ended(name)}
        workloads = [
            dataclasses.replace(record, tasks=[])
            if record.workload.job in ended_jobs
            else record
            for record in self.workloads.values()
        ]
        snapshot = Snapshot(
            self.epoch,
            self.owner,
            list(self.members.values()),
            workloads,
            [],
            self.rosters,
            list(self.jobs.values()),
            list(self.withdrawn),
            sorted(self.nonvoters),
        )
        return codec.pack(snapshot)

    def pack_history(self):
        """Return the decision history as bytes."""
        return codec.pack(Snapshot(history=self.history.pack()))

    def load_history(self, raw):
        """Load a history that was returned by :meth:`pack_history`."""
        self.history.load(codec.unpack(Snapshot, raw).history)

    def _has_job_ended(self, job_id):
        """Return whether a job has ended and none of its tasks runs."""
        if self.find_job_state(job_id) not in data.ENDED_JOB_STATES:
            return False
        steps = self.jobs[job_id].steps
        return all(self.has_ended(self.workloads[name]) for name in steps)

    @classmethod
    def unpack(cls, raw):
        """Return the state that :meth:`pack` has encoded.

        :raises ValueError: the bytes are not an encoded state
        """
        snapshot = codec.unpack(Snapshot, raw)
        state = cls()
        state.epoch = snapshot.epoch
        state.owner = snapshot.owner
        state.members = {vm.name: vm for vm in snapshot.members}
        state.nonvoters = set(snapshot.nonvoters)
        state.jobs = {record.job.id: record for record in snapshot.jobs}
        state.job_bytes = sum(
            jobs.estimate_job_bytes(record.job) for record in snapshot.jobs
        )
        _collapse_occurrences(snapshot)
        for record in snapshot.workloads:
            state._add_workload(record)
            for task in record.tasks:
                state.tasks[task.id] = task
                if task.crashes:
                    state.suspects[task.id] = task
                if task.throttle_percent:
                    state.throttled[task.id] = task
                if task.state in data.RESERVING_STATES:
                    state._reserve(record, task)
                elif task.state == data.TaskState.PREPARED:
                    state.prepared[task.vm][task.id] = task
        state.history.load(snapshot.history)
        state.rosters = snapshot.rosters
        state.withdrawn = dict.fromkeys(snapshot.withdrawn)
        return state

    def _reserve(self, record, task):
        """Reserve a placed task's resources on its VM."""
        self.held[task.vm][task.id] = task
        size = record.workload.reserved
        self.reserved[task.vm] = self.reserved[task.vm].add(size)

    def _release(self, record, task):
        """Remove a placed or prepared task from its VM."""
        if self.prepared[task.vm].pop(task.id, None) is not None:
            task.vm = ''
            return
        del self.held[task.vm][task.id]
        size = record.workload.reserved
        self.reserved[task.vm] = self.reserved[task.vm].subtract(size)
        task.vm = ''
        task.throttle_percent = 0
        self.throttled.pop(task.id, None)

    def _change_owner(self, event):
        self.epoch = event.epoch
        self.owner = event.owner
        for vm in event.members:
            self.members[vm.name] = vm

    def list_voters(self):
        """Return the names of the members that have a vote."""
        return self.members.keys() - self.nonvoters

    def _add_member(self, event):
        self.members[event.vm.name] = event.vm
        if event.votes:
            self.nonvoters.discard(event.vm.name)
        else:
            self.nonvoters.add(event.vm.name)

    def _remove_member(self, event):
        self.members.pop(event.vm, None)
        self.nonvoters.discard(event.vm)

    def _grant_vote(self, event):
        self.nonvoters.discard(event.vm)

    def _accept_workload(self, event):
        record = WorkloadRecord(
            event.id, event.key, event.unix_ms, event.workload
        )
        self._add_workload(record)

    def _add_workload(self, record):
        self.workloads[record.id] = record
        self.unended[record.id] = record
        self._by_key[record.key] = record.id
        if record.workload.kind == data.Kind.SERVICE:
            self.services[record.id] = record

    def _accept_job(self, event):
        job = event.job
        record = JobRecord(event.unix_ms, job)
        self.jobs[job.id] = record
        self.job_bytes += jobs.estimate_job_bytes(job)
        if not job.times:
            self._add_occurrence(record, 0)

    def _add_occurrence(self, record, number):
        """Add the workloads of one occurrence of a job."""
        for step in jobs.make_steps(record.job, number, record.unix_ms):
            record.steps.append(step.id)
            self._add_workload(WorkloadRecord(**jobs.to_fields(step)))

    def _expand_job(self, event):
        self._expand_until(self.jobs[event.id], event.until)

    def _expand_until(self, record, until):
        """Add the workloads of all occurrences before a number."""
        while record.may_expand and record.expanded < until:
            self._add_occurrence(record, record.expanded)
            record.expanded += 1

    def _drop_occurrences(self, event):
        record = self.jobs[event.id]
        for number in event.numbers:
            for name in record.list_occurrence(number):
                record.steps.remove(name)
                self._drop_workload(events.WorkloadDropped(name))
            record.succeeded += 1

    def _cancel_job(self, event):
        record = self.jobs[event.id]
        record.cancelled = True
        for name in record.steps:
            self._cancel_workload(events.WorkloadCancelled(name))

    def _withdraw_job(self, event):
        self.withdrawn[event.id] = None
        if len(self.withdrawn) > MAX_WITHDRAWN:
            del self.withdrawn[next(iter(self.withdrawn))]

    def _drop_job(self, event):
        record = self.jobs.pop(event.id)
        self.job_bytes -= jobs.estimate_job_bytes(record.job)
        for name in record.steps:
            self._drop_workload(events.WorkloadDropped(name))

    def _change_workload(self, event):
        workload = self.workloads[event.id].workload
        workload.count = event.count
        workload.importance = event.importance

    def _cancel_workload(self, event):
        record = self.workloads[event.id]
        record.cancelled = True
        for task in record.tasks:
            if task.state == data.TaskState.WAITING:
                task.state = data.TaskState.CANCELLED
                self._clear_crashes(task)

    def _drop_workload(self, event):
        record = self.workloads.pop(event.id)
        self.unended.pop(event.id, None)
        self.services.pop(event.id, None)
        if self._by_key.get(record.key) == event.id:
            del self._by_key[record.key]
        for task in record.tasks:
            del self.tasks[task.id]
            self.suspects.pop(task.id, None)

    def _find_startable(self, task_id):
        """Return the workload of a task that is placed or prepared.

        Earlier versions log no :class:`events.OccurrencesDue`: the first
        start of an occurrence tells that it is due.
        """
        record = self.find_workload(task_id)
        if record is None:
            name = ids.split_task_id(task_id)
            job_id, occurrence, _ = jobs.split_step_id(name)
            self._expand_until(self.jobs[job_id], occurrence + 1)
            record = self.workloads[name]
        return record

    def _place_task(self, event):
        record = self._find_startable(event.task)
        task = self.tasks.get(event.task)
        if task is None:
            task = self._create_task(record, event.task)
        if task.state == data.TaskState.PREPARED:
            if (task.vm, task.attempt) != (event.vm, event.attempt):
                raise RuntimeError(
                    f'cannot place {task.id}: it is prepared on {task.vm}'
                )
            self._release(record, task)
        if task.vm:
            raise RuntimeError(
                f'cannot place {task.id}: it is on {task.vm} already'
            )
        task.state = data.TaskState.PLACED
        task.attempt = event.attempt
        task.vm = event.vm
        self._reserve(record, task)

    def _prepare_task(self, event):
        record = self._find_startable(event.task)
        task = self.tasks.get(event.task)
        if task is None:
            task = self._create_task(record, event.task)
        if task.vm:
            raise RuntimeError(
                f'cannot prepare {task.id}: it is on {task.vm} already'
            )
        task.state = data.TaskState.PREPARED
        task.attempt = event.attempt
        task.vm = event.vm
        self.prepared[event.vm][task.id] = task

    def _create_task(self, record, task_id):
        task = TaskRecord(task_id, record.begun)
        if task_id != ids.make_task_id(record.id, record.begun):
            raise RuntimeError(
                f'cannot place {task_id}: it is not the next task in order'
            )
        record.begun += 1
        record.tasks.append(task)
        self.tasks[task_id] = task
        return task

    def _save_checkpoint(self, event):
        task = self.tasks[event.task]
        record = self.find_workload(event.task)
        task.checkpoint = event.checkpoint
        if record.workload.gang:
            record.checkpoint = event.checkpoint

    def _throttle_task(self, event):
        task = self.tasks[event.task]
        task.throttle_percent = event.percent
        self.throttled[task.id] = task

    def _evict_task(self, event):
        task = self.tasks[event.task]
        task.state = data.TaskState.EVICTING

    def _requeue_task(self, event):
        task = self.tasks[event.task]
        record = self.find_workload(event.task)
        self._release(record, task)
        task.checkpoint = event.checkpoint or task.checkpoint
        task.evictions += event.evicted
        task.failures += event.failed
        if record.workload.gang:
            self._update_gang(record, event)
        if event.crash:
            self._record_crash(task, event)
        is_unwanted = record.cancelled or task.number >= record.workload.count
        task.state = (
            data.TaskState.CANCELLED if is_unwanted else data.TaskState.WAITING
        )
        if is_unwanted:
            self._clear_crashes(task)

    def _update_gang(self, record, event):
        """Record a gang member's checkpoint and failure."""
        record.checkpoint = event.checkpoint or record.checkpoint
        if event.failed and event.attempt > record.failed_attempt:
            record.failures += 1
            record.failed_attempt = event.attempt

    def _record_crash(self, task, event):
        """Record a crash, or clear a task that was past its startup."""
        if not suspects.is_in_startup(event.ran_ms):
            self._clear_suspect(event)
            return
        crash = suspects.make_crash_record(
            event.crash, event.ran_ms, event.listed_ms
        )
        task.crashes.append(crash)
        task.has_survived = task.has_survived or crash.survived
        self.suspects[task.id] = task

    def _clear_suspect(self, event):
        task = self.tasks[event.task]
        task.has_survived = True
        self._clear_crashes(task)

    def _clear_crashes(self, task):
        """Remove the crashes of a task; it is no suspect any more."""
        task.crashes = []
        self.suspects.pop(task.id, None)

    def _remove_shared_crashes(self, crasher):
        """Remove a given-up task's crashes from all other suspects."""
        names = {one.name for one in crasher.crashes}
        for task in list(self.suspects.values()):
            if task is crasher:
                continue
            task.crashes = [c for c in task.crashes if c.name not in names]
            if not task.crashes:
                del self.suspects[task.id]

    def _end_task(self, event):
        task = self.tasks[event.task]
        record = self.find_workload(event.task)
        if task.vm:
            self._release(record, task)
        if event.crasher:
            self._remove_shared_crashes(task)
        self._clear_crashes(task)
        task.state = event.state
        task.result = event.result
        if event.state == data.TaskState.SUCCEEDED:
            record.succeeded += 1
        job = self.jobs.get(record.workload.job)
        if job is not None and event.state == data.TaskState.FAILED:
            job.failed = job.failed or not job.cancelled

    def _change_roster(self, event):
        self.rosters.append(event.roster)
        del self.rosters[:-MAX_ROSTERS]

    def _add_decision(self, event):
        self.history.add(event.decision)


_APPLIERS = {
    events.OwnerChanged: ShardState._change_owner,
    events.MemberAdded: ShardState._add_member,
    events.MemberRemoved: ShardState._remove_member,
    events.VoteGranted: ShardState._grant_vote,
    events.WorkloadAccepted: ShardState._accept_workload,
    events.WorkloadChanged: ShardState._change_workload,
    events.WorkloadCancelled: ShardState._cancel_workload,
    events.WorkloadDropped: ShardState._drop_workload,
    events.JobAccepted: ShardState._accept_job,
    events.OccurrencesDue: ShardState._expand_job,
    events.OccurrencesDropped: ShardState._drop_occurrences,
    events.JobCancelled: ShardState._cancel_job,
    events.JobWithdrawn: ShardState._withdraw_job,
    events.JobDropped: ShardState._drop_job,
    events.TaskPlaced: ShardState._place_task,
    events.TaskPrepared: ShardState._prepare_task,
    events.TaskSaved: ShardState._save_checkpoint,
    events.TaskThrottled: ShardState._throttle_task,
    events.TaskEvicting: ShardState._evict_task,
    events.TaskRequeued: ShardState._requeue_task,
    events.TaskCleared: ShardState._clear_suspect,
    events.TaskEnded: ShardState._end_task,
    events.RosterChanged: ShardState._change_roster,
    events.DecisionMade: ShardState._add_decision,
}


def _collapse_occurrences(snapshot):
    """Remove workloads of occurrences that may not be due from a snapshot.

    Earlier versions made the workloads of all occurrences at once. Those that
    no task has begun are made anew when they are due.
    """
    begun = {record.id for record in snapshot.workloads if record.begun}
    removed = set()
    for record in snapshot.jobs:
        if not record.job.times or record.expanded or not record.steps:
            continue
        record.expanded = len(record.steps) // len(record.job.steps)
        while record.expanded:
            names = record.list_occurrence(record.expanded - 1)
            if not begun.isdisjoint(names):
                break
            removed.update(names)
            record.expanded -= 1
        record.steps = [one for one in record.steps if one not in removed]
    snapshot.workloads = [
        record for record in snapshot.workloads if record.id not in removed
    ]


def restore_state(contents):
    """Return the state that results from a log's contents.

    :raises ValueError: the log is corrupt or was not written by portwharf
    """
    try:
        state = ShardState()
        if contents.snapshot:
            state = ShardState.unpack(contents.snapshot)
        if contents.aside:
            state.load_history(contents.aside)
        for batch in contents.batches:
            for event in batch:
                state.apply(event)
    except (msgpack.UnpackException, KeyError) as exc:
        raise ValueError(f'the shard log is not valid: {exc}') from exc
    return state
