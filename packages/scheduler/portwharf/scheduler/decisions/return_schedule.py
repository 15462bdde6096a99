# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Schedules when refused jobs may return, and remembers who was refused.

During a shortage of capacity, a refused job gets a slot in which it goes
before new jobs. The slots of one capacity class (a pool, for filling tasks or
others) follow one another, each as long as the job's work takes at the rate
of the class, so that retries do not form the next burst. A time that was told
to a client is kept: slots are never moved.

The schedule lives in the owner's memory and is bounded; a new owner knows no
refused job and judges a retry as a new job. Times that order or expire
entries are monotonic; wall time is only reported.
"""

import dataclasses
import math

from portwharf.scheduler.decisions import return_slots
from portwharf.scheduler import events

# An older submission of the same id may be in progress for this long, as an
# entry waits for the owner for 2 s at most. It must not be accepted after the
# refusal of a later one.
MIN_DELAY_SECONDS = 2.0
# Clients that are told to wait for longer would find out late that the
# shortage is over.
MAX_DELAY_SECONDS = 30.0
# Clients are told whole seconds, rounded up, and early retries 2 s at least.
SLOT_EXPIRY_SECONDS = 3.0
# Clients return up to this much after the time of their slot.
ROUNDING_SECONDS = 1.0
MAX_IDS = 5000
MAX_IDS_PER_CALLER = 500
# How long a job without a late limit is kept: four retries of 30 s.
_KEEP_SECONDS = 120.0
_MS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True)
class Refusal:
    """What the schedule needs to know of one refusal by admission control.

    :param reason: its reason code
    :param detail: what the job waits for, for ``explain``
    :param capacity: the capacity class, as (pool, whether the job fills)
    :param wait_ms: time from now after which the job would be accepted, by
        the accepted work before it
    :param rate: processing rate of the class, in thousandths of a processor
    :param work: the job's work, in thousandths of a processor times ms
    :param chain_ms: its longest chain of run times
    :param limit_ms: its late limit, counted from its first submission; 0 for
        none
    :param is_permanent: whether no worker can ever hold it
    """

    reason: str = ''
    detail: str = ''
    capacity: tuple = ('', False)
    wait_ms: float = 0.0
    rate: float = 0.0
    work: float = 0.0
    chain_ms: float = 0.0
    limit_ms: float = 0.0
    is_permanent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnOffer:
    """When a refused job may return.

    :param at_ms: wall time from which a retry may help; 0 if none does
    :param useful: whether a retry may help
    :param retry_after_ms: the same as time from now, for ``data.Problem``; 0
        if no retry helps
    """

    at_ms: int = 0
    useful: bool = False
    retry_after_ms: int = 0


class ReturnSchedule:
    """The refused jobs of one owner and their slots; not thread-safe."""

    def __init__(self, clock):
        """Take the owner's ``clock.Clock``."""
        self._clock = clock
        self._entries = {}
        self._callers = return_slots.CallerIndex(MAX_IDS_PER_CALLER + 1)
        self._tables = {}
        self._swept_at = -math.inf

    def __len__(self):
        return len(self._entries)

    def find(self, job_id):
        """Return the ``return_slots.RefusedJob`` of an id, or None."""
        self._expire()
        entry = self._entries.get(job_id)
        if entry is not None and self._read_now() > entry.late_at:
            self._drop(entry)
            return None
        return entry

    def check(self, job_id, now_ms, is_short=True):
        """Return the refusal of an id that is not to be judged now, or None.

        A returned refusal has to be answered, as it is recorded. The id is
        refused for the first 2 s after a refusal by admission control, as an
        older submission of it may be in progress. During a shortage it is also
        refused before its time, or if it was told that no retry helps. It
        keeps its slot.

        :param now_ms: wall time
        :param is_short: whether its capacity class is short now
        :returns: a :class:`ReturnOffer`, or None
        """
        entry = self.find(job_id)
        if entry is None:
            return None
        now = self._read_now()
        is_unsafe = now < entry.refused_at + MIN_DELAY_SECONDS
        is_early = now < entry.return_at or not entry.useful
        if not is_unsafe and not (is_short and is_early):
            return None
        # The 2 s protect against submissions that were sent before the
        # refusal by admission control. Refusals of early retries do not renew
        # them: a client that retries more often would never be judged again.
        entry.refused_ms = now_ms
        entry.refusals += 1
        return self._make_offer(entry, now, now_ms)

    def is_due(self, job_id):
        """Return whether a job returns in its slot, and goes first."""
        entry = self.find(job_id)
        return entry is not None and entry.due_at <= self._read_now()

    def get_asked_ms(self, job_id, now_ms):
        """Return the wall time of a job's first submission, 0 if unknown.

        It counts back from the present wall time, which may have been set.
        """
        entry = self.find(job_id)
        if entry is None:
            return 0
        waited_seconds = self._read_now() - entry.asked_at
        return now_ms - int(waited_seconds * _MS_PER_SECOND)

    def offer(self, job, refusal, now_ms):
        """Return when a job that is refused now may return.

        :param job: the ``data.Job``
        :param refusal: a :class:`Refusal`
        :param now_ms: wall time
        :returns: a :class:`ReturnOffer`
        """
        return self.offer_all([(job, refusal)], now_ms)[0]

    def offer_all(self, refused, now_ms):
        """Return when the jobs that one pass refuses may return.

        The job that has waited longest, relative to its own chain, gets the
        first free slot.

        :param refused: list of (``data.Job``, :class:`Refusal`)
        :returns: list of :class:`ReturnOffer`, in the same order
        """
        now = self._read_now()
        offers = {}
        entries = {}
        for job, refusal in refused:
            standing = self.check(job.id, now_ms)
            if standing is not None:
                offers[job.id] = standing
            else:
                entries[job.id] = self._renew(job, refusal, now, now_ms)
        for entry in sorted(entries.values(), key=lambda e: e.rank_wait(now)):
            offers[entry.id] = self._schedule(entry, now, now_ms)
        return [offers[job.id] for job, _ in refused]

    def accept(self, job_id):
        """Drop an id whose job was accepted."""
        entry = self._entries.get(job_id)
        if entry is not None:
            self._drop(entry)

    def cancel(self, job_id):
        """Drop an id whose job was cancelled."""
        self.accept(job_id)

    def list_due(self, capacity, within_ms=0):
        """Return the jobs whose turn has come or comes within a time.

        :param capacity: a capacity class
        :returns: list of ``return_slots.RefusedJob``: first those that are
            due, by how long they have waited relative to their chains, and
            then the others by their slots
        """
        self._expire()
        table = self._tables.get(capacity)
        if table is None:
            return []
        now = self._read_now()
        names = table.list_until(now + within_ms / _MS_PER_SECOND)
        entries = [self._entries[name] for name in names]
        due = [entry for entry in entries if entry.due_at <= now]
        later = entries[len(due) :]
        return sorted(due, key=lambda entry: entry.rank_wait(now)) + later

    def sum_work(self, capacity, within_ms=0):
        """Return the work of the jobs that :meth:`list_due` lists."""
        return sum(entry.work for entry in self.list_due(capacity, within_ms))

    def count_waiting(self):
        """Return how many jobs have a slot, by capacity class."""
        self._expire()
        return {name: len(table.slots) for name, table in self._tables.items()}

    def explain(self, job_id):
        """Return the ``events.Decision`` of a refused id, or None."""
        entry = self.find(job_id)
        if entry is None:
            return None
        left_seconds = max(0.0, entry.return_at - self._read_now())
        if not entry.useful:
            advice = 'a retry does not help'
        elif left_seconds > 0:
            advice = f'submit it again in {math.ceil(left_seconds)} s'
        elif entry.due_at == math.inf:
            advice = 'submit it again now; it has no slot'
        else:
            advice = 'submit it again now; it goes before new jobs'
        detail = [entry.refusal.detail] if entry.refusal.detail else []
        detail.append(f'refusals so far: {entry.refusals}')
        if entry.due_at < math.inf:
            table = self._tables[entry.refusal.capacity]
            before = len(table.list_until(entry.due_at)) - 1
            detail.append(f'{before} refused jobs may return before it')
        return events.Decision(
            entry.refused_ms,
            entry.refusal.reason,
            job_id,
            detail='; '.join(detail),
            advice=advice,
        )

    def _read_now(self):
        return self._clock.read_monotonic()

    def _renew(self, job, refusal, now, now_ms):
        """Return a new entry for a refused job, without a slot.

        It keeps the time of its first submission if it is known.
        """
        asked_at, refusals = now, 0
        known = self._entries.get(job.id)
        if known is not None:
            asked_at, refusals = known.asked_at, known.refusals
            self._drop(known)
        limit_seconds = refusal.limit_ms / _MS_PER_SECOND or _KEEP_SECONDS
        late_at = asked_at + limit_seconds
        if refusal.is_permanent:
            late_at = now + MIN_DELAY_SECONDS
        entry = return_slots.RefusedJob(
            job.id,
            job.queue,
            job.rank,
            job.caller,
            asked_at,
            refused_at=now,
            refused_ms=now_ms,
            late_at=late_at,
            refusals=refusals + 1,
            refusal=refusal,
        )
        return entry

    def _schedule(self, entry, now, now_ms):
        """Give an entry a slot if that is of use, and return its offer.

        Slots begin within the longest delay, so that the time that is told is
        that of the slot. Without a free one, the job is told the longest
        delay and is then judged as a new job.
        """
        refusal = entry.refusal
        if not refusal.is_permanent:
            wait_seconds = refusal.wait_ms / _MS_PER_SECOND
            work_ms = refusal.work / max(1.0, refusal.rate)
            # A wrong estimate must not block the class for long.
            seconds = max(1.0, work_ms) / _MS_PER_SECOND
            seconds = min(MAX_DELAY_SECONDS, seconds)
            table = (
                self._tables.get(refusal.capacity) or return_slots.SlotTable()
            )
            begin = table.find_free(
                now + max(MIN_DELAY_SECONDS, wait_seconds), seconds
            )
            latest = now + MAX_DELAY_SECONDS
            entry.return_at = min(begin, latest)
            entry.useful = self._is_useful(entry, entry.return_at)
            if entry.useful and begin <= latest:
                entry.due_at = begin
                self._tables[refusal.capacity] = table
                table.add(begin, seconds, entry.id)
        self._keep(entry)
        if entry.id not in self._entries:
            # Without a slot, a flood of ids returns as spread as it came.
            entry.return_at = now + MAX_DELAY_SECONDS
            entry.useful = entry.useful and self._is_useful(
                entry, entry.return_at
            )
        return self._make_offer(entry, now, now_ms)

    def _is_useful(self, entry, begin):
        """Return whether a job that begins then can still be of use.

        Its late limit is a multiple of its chain, so that a wrong chain
        shifts both ends of the comparison.
        """
        chain_seconds = entry.refusal.chain_ms / _MS_PER_SECOND
        return begin + ROUNDING_SECONDS + chain_seconds <= entry.late_at

    def _make_offer(self, entry, now, now_ms):
        if not entry.useful:
            return ReturnOffer()
        seconds = max(MIN_DELAY_SECONDS, entry.return_at - now)
        delay_ms = math.ceil(seconds * _MS_PER_SECOND)
        return ReturnOffer(now_ms + delay_ms, True, delay_ms)

    def _keep(self, entry):
        """Add an entry, and evict one if there are too many."""
        self._entries[entry.id] = entry
        self._callers.add(entry)
        caller = entry.caller
        if self._callers.count(caller) <= MAX_IDS_PER_CALLER:
            if len(self._entries) <= MAX_IDS:
                return
            caller = self._callers.find_largest()
        self._drop(self._callers.find_furthest(caller))

    def _drop(self, entry):
        self._free_slot(entry)
        del self._entries[entry.id]
        self._callers.remove(entry)

    def _free_slot(self, entry):
        if entry.due_at == math.inf:
            return
        table = self._tables[entry.refusal.capacity]
        table.remove(entry.due_at)
        entry.due_at = math.inf
        if not table.slots:
            del self._tables[entry.refusal.capacity]

    def _expire(self):
        """Free the slots that were not used, and drop late entries."""
        now = self._read_now()
        for table in list(self._tables.values()):
            while table.slots:
                begin, _, job_id = table.slots[0]
                if begin + SLOT_EXPIRY_SECONDS >= now:
                    break
                self._free_slot(self._entries[job_id])
        if now - self._swept_at < 1.0:
            return
        self._swept_at = now
        for entry in list(self._entries.values()):
            if now > entry.late_at:
                self._drop(entry)
