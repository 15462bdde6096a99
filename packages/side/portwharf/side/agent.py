# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Starts, monitors and stops attempts on the VM's worker.

One thread makes all calls to the worker. It carries out the owner's commands,
stops first and the others in order of arrival, and periodically reads the
worker's listing, renews leases, and sends heartbeats and reports. The worker
lists an ended attempt until the owner confirms that the result is in the log,
so a restarted side loses nothing.
"""

import collections
import dataclasses
import logging
import queue
import threading

from portwharf.core import bounded_cache
from portwharf.core import data
from portwharf.core import logs
from portwharf.peers import messages
from portwharf.side import checkpoints
from portwharf.side import leases
from portwharf.side import loss_reporter
from portwharf.side import pace_controller
from portwharf.side import progress
from portwharf.side import reports
from portwharf.side import runtimes
from portwharf.side import slowdowns
from portwharf.side import unconfirmed
from portwharf.side import worker_monitor
from portwharf import workers

LOG = logging.getLogger(__name__)

_POLL_SECONDS = 0.4
# Shortest wait of the thread, which keeps it from spinning.
_MIN_WAIT_SECONDS = 0.01
# Half of the wait before the first retry of a grant request. The wait doubles
# before each retry.
_INITIAL_RETRY_SECONDS = 0.02
_MS_PER_SECOND = 1000

# Refused attempts that are remembered. A duplicate command arrives within the
# lifetime of its connection, so older entries can be dropped.
MAX_REFUSED = 10_000
REFUSED_CAPACITY = 'no-room-on-the-vm'
REFUSED_EPOCH = 'command-of-a-former-owner'
REFUSED_GRANT = messages.REFUSED_GRANT
REFUSED_ZONE = messages.REFUSED_ZONE
REFUSED_KIND = messages.REFUSED_KIND
REFUSED_ATTEMPT = 'older-than-a-known-attempt'
REFUSED_LEAVING = 'the-worker-is-leaving'
REFUSED_SILENT = 'the-worker-does-not-answer'
REFUSED_ABSENT = 'the-worker-is-not-there'


@dataclasses.dataclass(slots=True)
class _Command:
    """An owner's command and the connection that it arrived on.

    :param granted_until: end of the grant in force when the command arrived,
        on the side's monotonic clock
    """

    conn: object = None
    message: object = None
    granted_until: float = 0.0


class Agent:
    """Carries out the owner's commands on the worker; a context manager.

    Without a worker it sends only heartbeats, with no capacity.
    """

    def __init__(self, worker, guard, limits, clock, on_change):
        """Initialise the agent.

        :param worker: the ``workers.Worker``, or None
        :param guard: the side's ``GrantGuard``
        :param on_change: called when the set of running services changes
        """
        self._worker = worker
        self._guard = guard
        self._limits = limits
        self._clock = clock
        self._on_change = on_change
        self._commands = queue.SimpleQueue()
        # Stops, which do not wait for starts that the worker may not answer.
        # A start whose stop has overtaken it is refused.
        self._stop_commands = collections.deque()
        self._command_granted_until = 0.0
        self._conn = None
        self._reported_states = {}
        # The highest refused attempt of each task, most recent last.
        self._refused = bounded_cache.BoundedCache(MAX_REFUSED)
        self._full_report_due = False
        self._listing = workers.Listing()
        started_at = clock.read_monotonic()
        self._leases = leases.LeaseKeeper(worker, guard, limits, started_at)
        self._monitor = worker_monitor.WorkerMonitor(worker)
        self._unconfirmed = unconfirmed.UnconfirmedCommands(self._take_listing)
        self._losses = loss_reporter.LossReporter(clock, self._send)
        self._pace_controller = pace_controller.PaceController(worker)
        self._pacer = self._pace_controller.pacer
        self._checkpoints = checkpoints.CheckpointReporter()
        self._runtimes = runtimes.RuntimeEstimator()
        self._slowdowns = slowdowns.SlowdownLog()
        self._progress = progress.ProgressTracker()
        self._owner_ms = 0
        self._retry_seconds = _INITIAL_RETRY_SECONDS
        # The last grant was not valid, so the next heartbeat is sent early.
        self._retries_grant = False
        self._listed_at = 0.0
        self._next_heartbeat = 0.0
        self._next_poll = 0.0
        self._services = frozenset()
        self._stop = threading.Event()
        self.draining = False
        self.config_revision = 0
        self.read_roster_seq = lambda: 0
        # Tells whether an operator has closed this VM's availability zone.
        self.is_zone_closed = lambda: False
        self.take_measures = list
        self._thread = threading.Thread(
            target=self._run, name='agent', daemon=True
        )

    def __enter__(self):
        if self._worker is not None:
            self._worker.on_attempt_end(self._poll_soon)
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stop.set()
        self._commands.put(None)
        self._thread.join()

    @property
    def services(self):
        """The services that run on the worker, as a set of "team/name"."""
        return self._services

    def take_owner(self, conn):
        """Follow the owner at the other end of a connection from now on."""
        previous = self._conn
        self._owner_ms = 0
        self._conn = conn
        self._commands.put(_Command(conn, None))
        if previous is not None:
            previous.close()

    def lose_owner(self, conn):
        """Stop following the owner of a connection that has ended."""
        if self._conn is conn:
            self._conn = None
            self._guard.record_disconnect()

    def command(self, conn, message):
        """Queue a command that arrived on a connection."""
        command = _Command(conn, message, self._guard.granted_until)
        if isinstance(message, messages.StopTask):
            self._stop_commands.append(command)
            command = None
        self._commands.put(command)

    def take_grant(self, grant):
        """Take the owner's time from a grant, for the next heartbeat.

        The first grant of an owner is answered at once, and an invalid one
        soon, so that a new owner gets its majority without delay.
        """
        first = self._owner_ms == 0
        self._owner_ms = grant.owner_ms
        if first:
            self._retry_seconds = _INITIAL_RETRY_SECONDS
            self._next_heartbeat = 0.0
            self._commands.put(None)
        self._retries_grant = not grant.valid
        if not first and not grant.valid:
            self._schedule_retry()

    def _schedule_retry(self):
        """Schedule an early heartbeat: the owner has no majority yet.

        The delay doubles with each retry, up to the poll interval.
        """
        self._retry_seconds = min(_POLL_SECONDS, 2 * self._retry_seconds)
        retry_at = self._clock.read_monotonic() + self._retry_seconds
        self._next_heartbeat = min(self._next_heartbeat, retry_at)
        self._commands.put(None)

    def _poll_soon(self):
        """Read the worker's listing now instead of at the next poll."""
        self._next_poll = 0.0
        self._commands.put(None)

    def _run(self):
        while not self._stop.is_set():
            self.step(self._compute_wait())

    def _compute_wait(self):
        """Return the maximum time to wait for a command, in seconds."""
        if not self._retries_grant or self._conn is None:
            return _POLL_SECONDS
        left = self._next_heartbeat - self._clock.read_monotonic()
        return min(_POLL_SECONDS, max(_MIN_WAIT_SECONDS, left))

    def step(self, timeout=0.0):
        """Carry out one command, then poll and send a heartbeat if due.

        Called only by the agent's thread, or by a test in its place.

        :param timeout: seconds to wait for a command
        """
        self._execute(self._pop_command(timeout))
        now = self._clock.read_monotonic()
        if now >= self._next_poll:
            self._next_poll = now + _POLL_SECONDS
            self._poll()
        self._send_heartbeat()

    def _pop_command(self, timeout):
        """Return the next command, or None; waits if there is none."""
        if not self._stop_commands:
            try:
                command = self._commands.get(timeout > 0, timeout)
            except queue.Empty:
                return None
            if command is not None:
                return command
        return self._stop_commands.popleft() if self._stop_commands else None

    def _execute(self, command):
        """Carry out a command, unless its connection has ended."""
        if command is None or command.conn is not self._conn:
            return
        message = command.message
        self._command_granted_until = command.granted_until
        if message is None:
            self._reset_for_owner()
        elif isinstance(message, messages.ForgetTasks):
            self._forget_attempts(message.tasks)
        elif isinstance(message, messages.PressUpdate):
            self._pacer.presses.replace_estimates(message.presses)
        elif isinstance(message, messages.HeldTasks):
            self._record_held(message)
        elif isinstance(message, messages.ClaimUpdate):
            self._pacer.update_claims(message.claims)
        elif not self._monitor.knows_all:
            # The command may concern an attempt that was started before this
            # side restarted. The owner sends it again after the full report,
            # which is still due.
            return
        elif isinstance(message, messages.StartTask):
            self._start(message)
        elif not self._guard.accepts_epoch(message.epoch):
            return
        elif isinstance(message, messages.StopTask):
            self._stop_attempt(message)
        elif isinstance(message, messages.ThrottleTask):
            self._pace_controller.throttle(message)
            self._progress.record_throttle(message)

    def _reset_for_owner(self):
        """Prepare for a new owner connection; a full report is due."""
        self._reported_states = {}
        self._full_report_due = True
        self._pacer.record_new_owner()
        self._checkpoints.forget_reported()
        self._next_heartbeat = 0.0
        self._next_poll = 0.0

    def _record_held(self, message):
        """Record which tasks the VM holds, and poll and report at once."""
        self._pace_controller.record_held(message)
        self._next_poll = 0.0
        self._next_heartbeat = 0.0

    def _start(self, message):
        """Start an attempt if all conditions for it hold."""
        if self._guard.accepts_epoch(message.epoch):
            self._pacer.record_start(message)
        known = reports.find_latest(self._listing.attempts, message.task)
        if known is not None and known.attempt == message.attempt:
            return
        if self._unconfirmed.is_start_unconfirmed(
            message.task, message.attempt
        ):
            return
        started = self._unconfirmed.has_started(message.task, message.attempt)
        if started and (known is None or known.attempt < message.attempt):
            # The attempt is over, or ran in an earlier incarnation of the
            # worker.
            name = (message.task, message.attempt)
            self._losses.report_gone([name], loss_reporter.GONE_UNLISTED)
            return
        reason = self._check_start(message, known)
        if reason:
            self._refuse(message, reason)
            return
        start = workers.Start(
            message.task,
            message.attempt,
            message.program,
            message.argument,
            message.checkpoint,
            message.kind,
            message.workload,
            self._leases.compute_lease_end_ms() if message.exclusive else 0,
            message.resources,
            message.ticket,
            self._listing.life,
        )
        self._send_start(message, start)

    def _send_start(self, message, start):
        """Send a start to the worker; retry once if there is no answer."""
        self._unconfirmed.record_start(start.task, start.attempt)
        first = self._worker.start(start)
        answer = self._worker.start(start) if first.is_err() else first
        self._next_poll = 0.0
        if answer.is_ok() and not answer.ok_value:
            self._listing.attempts.append(reports.make_attempt(start))
            self._runtimes.record_start(start, self._clock.read_monotonic())
            self._losses.record_start(start.task, start.attempt)
            return
        unclear = (
            first.is_err() or answer.ok_value == workers.REFUSED_ATTEMPT_OVER
        )
        if unclear:
            self._unconfirmed.add_start(
                start.task,
                start.attempt,
                start.resources,
                start.lease_until_ms,
                start.life,
            )
            return
        sound = answer.ok_value in workers.EXPECTED_REFUSALS
        self._refuse(message, answer.ok_value, at_worker=not sound)

    def _check_start(self, message, known):
        """Return why an attempt must not start here, or ''."""
        if not self._guard.accepts_epoch(message.epoch):
            return REFUSED_EPOCH
        if self._worker is None:
            return REFUSED_CAPACITY
        if self._listing.draining:
            return REFUSED_LEAVING
        if self.is_zone_closed():
            return REFUSED_ZONE
        if self._monitor.is_silent(self._clock.read_monotonic()):
            return REFUSED_SILENT
        if self._listing.absent:
            return REFUSED_ABSENT
        if not self._is_of_kind(message):
            return REFUSED_KIND
        if message.attempt <= self._refused.get(message.task, 0):
            return REFUSED_ATTEMPT
        if known is not None and known.attempt > message.attempt:
            return REFUSED_ATTEMPT
        if known is not None and known.state == data.RunState.RUNNING:
            return REFUSED_ATTEMPT
        if message.exclusive and not self._is_granted():
            return REFUSED_GRANT
        free = self._listing.capacity.subtract(self._sum_running())
        # The size of an unknown attempt is not known, so no capacity is free
        # until it has been stopped.
        if self._pacer.has_unknown_attempts or not message.resources.fits(
            free
        ):
            return REFUSED_CAPACITY
        return ''

    def _is_of_kind(self, message):
        """Tell whether the worker has the pool and label of a task.

        It may have begun again as another kind since the owner chose it.
        """
        listing = self._listing
        return message.pool in ('', listing.pool) and (
            not message.label or message.label in listing.labels
        )

    def _is_granted(self):
        """Tell whether the command may be carried out under a grant.

        Grants can overtake queued commands. Once the grant that was in force
        when a command arrived has expired, the owner may already run the task
        elsewhere.
        """
        now = self._clock.read_monotonic()
        return self._guard.is_granted() and now < self._command_granted_until

    def _sum_running(self):
        """Return the resources of all attempts that run or may run."""
        used = self._unconfirmed.sum_resources()
        for attempt in self._listing.attempts:
            if attempt.state == data.RunState.RUNNING:
                used = used.add(attempt.resources)
        return used

    def _refuse(self, message, reason, at_worker=False):
        """Report that an attempt was not started, and why.

        The attempt must never start later: after this report the owner starts
        the next attempt elsewhere, and a duplicate of this command may still
        be in transit.
        """
        if not isinstance(message, messages.StartTask):
            return
        self._record_refusal(message)
        LOG.warning(
            'start refused: %s', reason, extra=_make_log_fields(message)
        )
        report = messages.TaskReport(
            message.task,
            message.attempt,
            data.RunState.REFUSED,
            reason=reason,
            at_worker=at_worker,
        )
        self._send(messages.Reports(reports=[report]))

    def _record_refusal(self, message):
        """Record that an attempt must never start."""
        attempt = max(message.attempt, self._refused.get(message.task, 0))
        self._refused.put(message.task, attempt)

    def _stop_attempt(self, message):
        """Stop an attempt, or report it as gone if it is not known."""
        known = [
            a
            for a in self._listing.attempts
            if (a.task, a.attempt) == (message.task, message.attempt)
        ]
        if self._unconfirmed.is_start_unconfirmed(
            message.task, message.attempt
        ):
            return
        if not known:
            self._record_refusal(message)
            name = (message.task, message.attempt)
            self._losses.report_gone([name], loss_reporter.GONE_UNKNOWN)
            return
        self._unconfirmed.add_stop(
            message.task, message.attempt, message.checkpoint
        )
        now = self._clock.read_monotonic()
        self._unconfirmed.resend_stops(self._worker, self._listing, now)
        if not self._stop_commands:
            self._next_poll = 0.0

    def _forget_attempts(self, refs):
        for ref in refs:
            self._worker.forget(ref.task, ref.attempt)
            self._reported_states.pop((ref.task, ref.attempt), None)
        gone = {(ref.task, ref.attempt) for ref in refs}
        self._listing.attempts = [
            a
            for a in self._listing.attempts
            if (a.task, a.attempt) not in gone
        ]

    def _poll(self):
        """Read the listing, renew leases, and report what has changed."""
        if self._worker is None:
            self._report(self._full_report_due)
            return
        polled = self._worker.read_listing()
        if polled.is_err():
            self._handle_silence(polled.err_value)
            return
        self._monitor.record_response(polled.ok_value)
        self._take_listing(polled.ok_value)
        self._leases.renew_or_stop()
        self._settle_unconfirmed()
        now = self._clock.read_monotonic()
        now_ms = self._clock.read_unix_ms()
        paced = self._pacer.list_paced()
        self._runtimes.update(self._listing.attempts, paced, now)
        self._slowdowns.update(
            self._listing.attempts, paced, self._pacer.get_limit, now
        )
        self._progress.update(
            self._listing.attempts, self._pacer.get_share, now
        )
        self._pace_controller.apply_plan(self._listing, now, now_ms)
        self._update_services()
        self._report(self._full_report_due)

    def _take_listing(self, listing):
        """Use a listing that was just read; report what it lacks as gone."""
        previous, previous_at = self._listing, self._listed_at
        listing = worker_monitor.keep_missing(previous, listing)
        self._listing = listing
        self._listed_at = self._clock.read_monotonic()
        if listing.absent or listing.life != previous.life:
            self._leases.reset()
        self._report_capacity(previous)
        self._losses.check_for_crash(
            previous, previous_at, listing, self._unconfirmed.list_starts()
        )
        self._losses.log_relisted(listing)
        self._report_vanished(previous, loss_reporter.GONE_UNLISTED)
        for attempt in listing.attempts:
            # It may have been started by a previous process of this side.
            self._unconfirmed.record_start(attempt.task, attempt.attempt)
        self._leases.update_listing(listing, self._listed_at)

    def _handle_silence(self, text):
        """Handle a failed poll, and expired leases on a silent worker."""
        now = self._clock.read_monotonic()
        self._monitor.record_silence(text, now)
        if not self._monitor.is_silent(now):
            return
        previous = self._listing
        lapsed = self._leases.have_all_expired(now)
        self._listing = worker_monitor.make_silent_listing(previous, lapsed)
        self._report_vanished(previous, loss_reporter.GONE_LAPSED)
        if lapsed:
            self._report_lapsed()

    def _report_lapsed(self):
        """Report the remaining attempts; no task may wait for them."""
        self._monitor.record_expiry()
        gone = self._unconfirmed.abandon_starts(self._worker)
        self._losses.report_gone(gone, loss_reporter.GONE_LAPSED)
        self._report(self._full_report_due)

    def _report_capacity(self, previous):
        """Report the worker's capacity and kind at once if they have changed.

        This must precede the report of attempts that ended with the old
        capacity or kind: otherwise the owner places their tasks on this VM
        again, where they are refused. Without this, 153 starts were refused in
        4 s.
        """
        capacity, before = self._listing.capacity, previous.capacity
        if capacity == before and self._has_same_kind(previous):
            return
        if capacity != before and capacity.cpu_milli and before.cpu_milli:
            LOG.info(
                'capacity changed: %s, was %s',
                _format_resources(capacity),
                _format_resources(before),
            )
        self._next_heartbeat = 0.0
        self._send_heartbeat()

    def _has_same_kind(self, previous):
        """Tell whether the worker has the pool and labels that it had."""
        listing = self._listing
        return (
            listing.pool == previous.pool and listing.labels == previous.labels
        )

    def _report_vanished(self, previous, reason):
        """Report vanished attempts as gone; drop their reported state."""
        for name in self._losses.report_vanished(
            previous, self._listing, reason
        ):
            self._reported_states.pop(name, None)

    def _settle_unconfirmed(self):
        """Follow up on starts and stops that the worker has not confirmed."""
        now = self._clock.read_monotonic()
        self._unconfirmed.resend_stops(self._worker, self._listing, now)
        gone = self._unconfirmed.settle_starts(self._worker, self._listing)
        self._losses.report_gone(gone, loss_reporter.GONE_STOPPED)
        revoked = self._unconfirmed.revoke_expired_starts(
            self._worker, self._listing
        )
        self._losses.report_gone(revoked, loss_reporter.GONE_REVOKED)

    def _update_services(self):
        running = frozenset(
            attempt.workload
            for attempt in self._listing.attempts
            if attempt.kind == data.Kind.SERVICE
            and attempt.state == data.RunState.RUNNING
        )
        if running != self._services:
            self._services = running
            self._on_change()

    def _report(self, whole):
        """Report attempts whose state has changed, or all of them."""
        if self._conn is None or self._guard.epoch_unknown:
            return
        # Without the results that a truncated listing lacks, a report would
        # tell the owner that these attempts do not run.
        whole = whole and self._monitor.knows_all
        changed = []
        for attempt in self._listing.attempts:
            name = (attempt.task, attempt.attempt)
            if whole or self._reported_states.get(name) != attempt.state:
                changed.append(reports.make_report(attempt))
                self._reported_states[name] = attempt.state
        if not changed and not whole:
            return
        if whole:
            self._full_report_due = False
        self._send(messages.Reports(whole, changed))

    def _send_heartbeat(self):
        now = self._clock.read_monotonic()
        if self._conn is None or now < self._next_heartbeat:
            return
        self._next_heartbeat = now + self._limits.heartbeat
        epoch = 0 if self._guard.epoch_unknown else self._guard.epoch
        self._send(
            messages.Heartbeat(
                int(now * _MS_PER_SECOND),
                self._owner_ms,
                epoch,
                self._listing.capacity,
                self.draining or self._listing.draining,
                self.config_revision,
                self.read_roster_seq(),
                self.take_measures(),
                self._listing.pool,
                self._listing.labels,
                self._listing.leaves_in_ms,
                self._pacer.record_presses_observed(),
                self._pacer.list_headrooms(),
                self._pacer.list_paced(),
                self._listing.rack,
                self._listing.life.instance,
                self._pacer.adopt_presses(),
                self._checkpoints.list_due(self._listing.attempts, now),
                self._listing.life.born_ms,
                self._runtimes.take_estimates(),
                self._progress.list_hung(),
            )
        )

    def _send(self, message):
        conn = self._conn
        if conn is not None:
            conn.try_post(message)


def _format_resources(resources):
    return f'{resources.cpu_milli} millicores, {resources.memory_mb} MB'


def _make_log_fields(item):
    return logs.fields(task=item.task, attempt=item.attempt)
