# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The side's hand on its worker: starts, watches and stops attempts.

One thread does everything that touches the worker: commands of the owner
in the order they came, and at a steady beat the listing, the renewal of
leases, heartbeats and reports. What an attempt has come to stays in the
worker's own listing until the owner says that it is in the log, so that a
side that restarts has lost nothing.
"""

import dataclasses
import logging
import queue
import threading

from portwharf.core import data
from portwharf.core import logs
from portwharf.core import recent
from portwharf.peers import messages
from portwharf.side import doubts
from portwharf.side import leases
from portwharf.side import losses
from portwharf.side import paces
from portwharf.side import reports
from portwharf.side import saves
from portwharf.side import sight
from portwharf.side import slowed
from portwharf.side import worktimes
from portwharf import workers

LOG = logging.getLogger(__name__)

_POLL_SECONDS = 0.4
# So that the thread never runs on without a pause.
_LEAST_WAIT_SECONDS = 0.01
# Half of the wait before a grant that was not valid is asked for again.
_AGAIN_SECONDS = 0.02
_MS = 1000

# Refused attempts that are remembered. A copy of a command arrives within
# the life of its connection, so that old ones can go.
MAX_BURNT = 10_000
REFUSED_CAPACITY = 'no-room-on-the-vm'
REFUSED_EPOCH = 'command-of-a-former-owner'
REFUSED_GRANT = messages.REFUSED_GRANT
REFUSED_ZONE = messages.REFUSED_ZONE
REFUSED_ATTEMPT = 'older-than-a-known-attempt'
REFUSED_LEAVING = 'the-worker-is-leaving'
REFUSED_SILENT = 'the-worker-does-not-answer'
REFUSED_ABSENT = 'the-worker-is-not-there'


@dataclasses.dataclass(slots=True)
class _Command:
    """An owner's command and the connection that it came on.

    :param granted_until: when the grant that it came under ends, on our
        clock
    """

    conn: object = None
    message: object = None
    granted_until: float = 0.0


class Agent:
    """Runs the worker as the owner says; a context manager.

    Without a worker it only sends heartbeats, with no capacity.
    """

    def __init__(self, worker, guard, limits, clock, on_change):
        """Take the worker or None, and the side's guard.

        :param on_change: called when the services that run have changed
        """
        self._worker = worker
        self._guard = guard
        self._limits = limits
        self._clock = clock
        self._on_change = on_change
        self._commands = queue.SimpleQueue()
        self._command_until = 0.0
        self._conn = None
        self._sent = {}
        # Tasks with the highest attempt that was refused, latest last.
        self._burnt = recent.Recent(MAX_BURNT)
        self._whole = False
        self._listing = workers.Listing()
        began = clock.read_monotonic()
        self._leases = leases.LeaseKeeper(worker, guard, limits, began)
        self._sight = sight.Sight(worker)
        self._doubts = doubts.Doubts()
        self._losses = losses.LossTeller(clock, self._send)
        self._paces = paces.PaceKeeper(worker)
        self._pacer = self._paces.pacer
        self._saves = saves.SaveTeller()
        self._meter = worktimes.WorkMeter()
        self._slowed = slowed.SlowedLog()
        self._owner_ms = 0
        self._again = _AGAIN_SECONDS
        # The last grant was not valid, and another is asked for soon.
        self._asks_again = False
        self._listed_at = 0.0
        self._next_beat = 0.0
        self._next_poll = 0.0
        self._services = frozenset()
        self._stop = threading.Event()
        self.draining = False
        self.config_revision = 0
        self.read_roster_seq = lambda: 0
        # Whether an operator has closed this VM's availability zone.
        self.is_zone_closed = lambda: False
        self.take_measures = list
        self._thread = threading.Thread(
            target=self._run, name='agent', daemon=True
        )

    def __enter__(self):
        if self._worker is not None:
            self._worker.follow(self._look_soon)
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stop.set()
        self._commands.put(None)
        self._thread.join()

    @property
    def services(self):
        """The services that run here, as a set of "team/name"."""
        return self._services

    def take_owner(self, conn):
        """Follow the owner at the other end of a connection from now on."""
        former = self._conn
        self._owner_ms = 0
        self._conn = conn
        self._commands.put(_Command(conn, None))
        if former is not None:
            former.close()

    def lose_owner(self, conn):
        """Stop following the owner of a connection that has ended."""
        if self._conn is conn:
            self._conn = None
            self._guard.note_lost()

    def command(self, conn, message):
        """Queue a command that came on a connection."""
        self._commands.put(_Command(conn, message, self._guard.granted_until))

    def take_grant(self, grant):
        """Take the owner's time from a grant, for the next heartbeat.

        The first of an owner is answered at once, and one that is not
        valid soon, so that a new owner has its majority without delay.
        """
        first = self._owner_ms == 0
        self._owner_ms = grant.owner_ms
        if first:
            self._again = _AGAIN_SECONDS
            self._next_beat = 0.0
            self._commands.put(None)
        self._asks_again = not grant.valid
        if not first and not grant.valid:
            self._ask_again()

    def _ask_again(self):
        """Send the next heartbeat soon: the owner has no majority yet.

        Later each time, as it may not have one for long.
        """
        self._again = min(_POLL_SECONDS, 2 * self._again)
        soon = self._clock.read_monotonic() + self._again
        self._next_beat = min(self._next_beat, soon)
        self._commands.put(None)

    def _look_soon(self):
        """Have the listing read now instead of at the next poll."""
        self._next_poll = 0.0
        self._commands.put(None)

    def _run(self):
        while not self._stop.is_set():
            self.step(self._find_wait())

    def _find_wait(self):
        """Return for how many seconds to wait for a command at the most."""
        if not self._asks_again or self._conn is None:
            return _POLL_SECONDS
        left = self._next_beat - self._clock.read_monotonic()
        return min(_POLL_SECONDS, max(_LEAST_WAIT_SECONDS, left))

    def step(self, timeout=0.0):
        """Carry out one command, then poll and beat if it is time.

        Called by the agent's thread alone, or by a test in its place.

        :param timeout: seconds to wait for a command
        """
        try:
            self._obey(self._commands.get(timeout > 0, timeout))
        except queue.Empty:
            pass
        now = self._clock.read_monotonic()
        if now >= self._next_poll:
            self._next_poll = now + _POLL_SECONDS
            self._poll()
        self._beat()

    def _obey(self, command):
        """Carry out a command, unless its connection has ended."""
        if command is None or command.conn is not self._conn:
            return
        message = command.message
        self._command_until = command.granted_until
        if message is None:
            self._greet_owner()
        elif isinstance(message, messages.ForgetTasks):
            self._forget(message.tasks)
        elif isinstance(message, messages.PressUpdate):
            self._pacer.presses.take_told(message.presses)
        elif isinstance(message, messages.HeldTasks):
            self._take_held(message)
        elif not self._sight.knows_all:
            # It may be about what our former life began. The whole report
            # that is still to come has the owner send it again.
            return
        elif not self._guard.accepts(message.epoch):
            self._refuse(message, REFUSED_EPOCH)
        elif isinstance(message, messages.StartTask):
            self._start(message)
        elif isinstance(message, messages.StopTask):
            self._end(message)
        elif isinstance(message, messages.ThrottleTask):
            self._paces.throttle(message)

    def _greet_owner(self):
        """Begin with a new owner connection: everything is told again."""
        self._sent = {}
        self._whole = True
        self._pacer.note_owner()
        self._saves.forget_told()
        self._next_beat = 0.0
        self._next_poll = 0.0

    def _take_held(self, message):
        """Learn what runs here, and act on it and tell of it at once."""
        self._paces.take_held(message)
        self._next_poll = 0.0
        self._next_beat = 0.0

    def _start(self, message):
        """Begin an attempt, if all that must hold does."""
        self._pacer.note_start(message)
        known = reports.find_latest(self._listing.attempts, message.task)
        if known is not None and known.attempt == message.attempt:
            return
        if self._doubts.is_doubtful(message.task, message.attempt):
            return
        begun = self._doubts.has_begun(message.task, message.attempt)
        if begun and known is None:
            # It ran in a former life of the worker.
            name = (message.task, message.attempt)
            self._losses.tell_gone([name], losses.GONE_UNLISTED)
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
            self._leases.compute_end() if message.exclusive else 0,
            message.resources,
            message.ticket,
            self._listing.life,
        )
        self._try_start(message, start)

    def _try_start(self, message, start):
        """Send a start, and once more if it is not answered."""
        self._doubts.note_begun(start.task, start.attempt)
        first = self._worker.start(start)
        answer = self._worker.start(start) if first.is_err() else first
        self._next_poll = 0.0
        if answer.is_ok() and not answer.ok_value:
            self._listing.attempts.append(reports.make_attempt(start))
            self._meter.note_start(start, self._clock.read_monotonic())
            self._losses.note_start(start.task, start.attempt)
            return
        unclear = first.is_err() or answer.ok_value == workers.REFUSED_OLD
        if unclear:
            self._doubts.doubt_start(
                start.task, start.attempt, start.resources
            )
            return
        sound = answer.ok_value in workers.SOUND_REFUSALS
        self._refuse(message, answer.ok_value, at_worker=not sound)

    def _check_start(self, message, known):
        """Return why an attempt must not begin here, or ''."""
        if self._worker is None:
            return REFUSED_CAPACITY
        if self._listing.draining:
            return REFUSED_LEAVING
        if self.is_zone_closed():
            return REFUSED_ZONE
        if self._sight.is_silent(self._clock.read_monotonic()):
            return REFUSED_SILENT
        if self._listing.absent:
            return REFUSED_ABSENT
        if message.attempt <= self._burnt.get(message.task, 0):
            return REFUSED_ATTEMPT
        if known is not None and known.attempt > message.attempt:
            return REFUSED_ATTEMPT
        if known is not None and known.state == data.RunState.RUNNING:
            return REFUSED_ATTEMPT
        if message.exclusive and not self._is_granted():
            return REFUSED_GRANT
        room = self._listing.capacity.subtract(self._sum_running())
        # A stranger's size is not known until it is stopped.
        if self._pacer.runs_strangers or not message.resources.fits(room):
            return REFUSED_CAPACITY
        return ''

    def _is_granted(self):
        """Tell whether the command may be obeyed under a grant.

        Grants overtake commands, which wait for this thread: once the one
        that a command came under is over, its task may run elsewhere.
        """
        now = self._clock.read_monotonic()
        return self._guard.is_granted() and now < self._command_until

    def _sum_running(self):
        """Return what runs, or may run, takes of the worker's room."""
        used = self._doubts.sum_sizes()
        for attempt in self._listing.attempts:
            if attempt.state == data.RunState.RUNNING:
                used = used.add(attempt.resources)
        return used

    def _refuse(self, message, reason, at_worker=False):
        """Report that an attempt was not begun, and why.

        It never will be: the owner, once it has heard this, begins the
        next attempt elsewhere, and a second copy of this command may be
        under way.
        """
        if not isinstance(message, messages.StartTask):
            return
        self._burn(message)
        LOG.warning('not started: %s', reason, extra=_name(message))
        report = messages.TaskReport(
            message.task,
            message.attempt,
            data.RunState.REFUSED,
            reason=reason,
            at_worker=at_worker,
        )
        self._send(messages.Reports(reports=[report]))

    def _burn(self, message):
        """Remember that an attempt must not begin any more."""
        attempt = max(message.attempt, self._burnt.get(message.task, 0))
        self._burnt.put(message.task, attempt)

    def _end(self, message):
        """End an attempt; one that is not known is reported as gone."""
        known = [
            a
            for a in self._listing.attempts
            if (a.task, a.attempt) == (message.task, message.attempt)
        ]
        if self._doubts.is_doubtful(message.task, message.attempt):
            return
        if not known:
            self._burn(message)
            name = (message.task, message.attempt)
            self._losses.tell_gone([name], losses.GONE_UNKNOWN)
            return
        self._doubts.want_stop(
            message.task, message.attempt, message.checkpoint
        )
        now = self._clock.read_monotonic()
        self._doubts.repeat_stops(self._worker, self._listing, now)
        self._next_poll = 0.0

    def _forget(self, refs):
        for ref in refs:
            self._worker.forget(ref.task, ref.attempt)
            self._sent.pop((ref.task, ref.attempt), None)
        gone = {(ref.task, ref.attempt) for ref in refs}
        self._listing.attempts = [
            a
            for a in self._listing.attempts
            if (a.task, a.attempt) not in gone
        ]

    def _poll(self):
        """Read the listing, keep leases, and report what has changed."""
        if self._worker is None:
            self._report(self._whole)
            return
        asked = self._worker.read_listing()
        if asked.is_err():
            self._note_silent(asked.err_value)
            return
        self._sight.note_answer()
        former = self._listing
        self._listing = asked.ok_value
        self._listed_at = self._clock.read_monotonic()
        if self._listing.absent or self._listing.life != former.life:
            self._leases.begin_anew()
        self._tell_room(former)
        self._losses.note_listing(
            former, self._listing, self._doubts.list_starts()
        )
        self._tell_vanished(former, losses.GONE_UNLISTED)
        self._leases.take_listing(self._listing, self._listed_at)
        self._leases.keep()
        self._settle_orders()
        now = self._clock.read_monotonic()
        now_ms = self._clock.read_unix_ms()
        paced = self._pacer.list_paced()
        self._meter.note_listing(self._listing.attempts, paced, now)
        self._slowed.note_listing(self._listing.attempts, paced, now)
        self._paces.keep(self._listing, now, now_ms)
        self._note_services()
        self._report(self._whole)

    def _note_silent(self, text):
        """Count the worker as silent, and as lapsed once that is sure."""
        now = self._clock.read_monotonic()
        self._sight.note_silence(text, now)
        if not self._sight.is_silent(now):
            return
        former = self._listing
        lapsed = self._leases.have_lapsed(now)
        self._listing = sight.make_silent(former, lapsed)
        self._tell_vanished(former, losses.GONE_LAPSED)
        if lapsed:
            self._tell_lapsed()

    def _tell_lapsed(self):
        """Tell what is left: nobody waits for a worker that is silent."""
        self._sight.note_lapse()
        gone = self._doubts.give_up_starts()
        self._losses.tell_gone(gone, losses.GONE_LAPSED)
        self._report(self._whole)

    def _tell_room(self, former):
        """Tell at once what the worker can hold, if that has changed.

        Before the end of what ran there is told: an owner that places that
        again would take the VM for one with room. 153 starts were refused in
        4 s for want of this.
        """
        room, before = self._listing.capacity, former.capacity
        if room == before:
            return
        if room.cpu_milli and before.cpu_milli:
            LOG.info('room %s, was %s', _describe(room), _describe(before))
        self._next_beat = 0.0
        self._beat()

    def _tell_vanished(self, former, reason):
        """Tell of what ran and is not listed, and forget what was sent."""
        for name in self._losses.tell_vanished(former, self._listing, reason):
            self._sent.pop(name, None)

    def _settle_orders(self):
        """Follow up starts and stops that got no clear answer."""
        now = self._clock.read_monotonic()
        self._doubts.repeat_stops(self._worker, self._listing, now)
        gone = self._doubts.settle_starts(self._worker, self._listing)
        self._losses.tell_gone(gone, losses.GONE_STOPPED)

    def _note_services(self):
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
        """Report attempts that changed, or all of them."""
        if self._conn is None or self._guard.forgetful:
            return
        changed = []
        for attempt in self._listing.attempts:
            name = (attempt.task, attempt.attempt)
            if whole or self._sent.get(name) != attempt.state:
                changed.append(reports.make_report(attempt))
                self._sent[name] = attempt.state
        if not changed and not whole:
            return
        self._whole = False
        self._send(messages.Reports(whole, changed))

    def _beat(self):
        now = self._clock.read_monotonic()
        if self._conn is None or now < self._next_beat:
            return
        self._next_beat = now + self._limits.heartbeat
        epoch = 0 if self._guard.forgetful else self._guard.epoch
        self._send(
            messages.Heartbeat(
                int(now * _MS),
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
                self._pacer.take_observed(),
                self._pacer.list_headrooms(),
                self._pacer.list_paced(),
                self._listing.rack,
                self._listing.life.instance,
                self._pacer.take_known(),
                self._saves.list_due(self._listing.attempts, now),
                self._listing.life.born_ms,
                self._meter.take(),
            )
        )

    def _send(self, message):
        conn = self._conn
        if conn is not None:
            conn.try_send(message)


def _describe(room):
    return f'{room.cpu_milli} milliprocessors, {room.memory_mb} MB'


def _name(item):
    return logs.fields(task=item.task, attempt=item.attempt)
