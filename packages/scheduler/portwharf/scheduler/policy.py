# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Asks a policy service which workers may run a step; caches its tickets.

The policy of a queue allows only some workers to run a step, and each start
there must carry the ticket that the policy issued. The service is slow and
answers one query at a time, so a separate thread sends the queries while the
owner goes on deciding. A refusal is final; a ticket is requested again once it
has expired.
"""

import abc
import collections
import dataclasses
import logging
import threading

from portwharf.core import data
from portwharf.core import logs

LOG = logging.getLogger(__name__)

# The service computes the chain of a step from this many workers.
MAX_WORKERS_PER_QUERY = 30
# Maximum number of steps whose answers are cached.
MAX_STEPS = 2000
# Wait after a query that was not answered.
_RETRY_SECONDS = 0.2
# A ticket is used only during this fraction of its validity: the start has to
# arrive before it expires.
_USABLE_FRACTION = 0.9
_MS_PER_SECOND = 1000


@dataclasses.dataclass(slots=True)
class Permit:
    """A worker that may run a step, and its ticket.

    :param life: the ``data.IncarnationId`` that was asked about
    """

    life: data.IncarnationId = data.IncarnationId()
    ticket: str = ''


class Policy(abc.ABC):
    """The service that decides which workers may run which step."""

    @abc.abstractmethod
    def query(self, step, lives):
        """Ask which of some workers may run a step.

        :param step: the id of the step's workload
        :param lives: a ``data.IncarnationId`` for each worker
        :returns: Ok(list of Permit), or Err(text)
        """


@dataclasses.dataclass(slots=True)
class _Answer:
    """The policy's answer for one step and one worker.

    :param ticket: '' if the worker may not run the step
    :param until: when the ticket stops being used, by the owner's clock
    """

    ticket: str = ''
    until: float = 0.0


@dataclasses.dataclass(slots=True)
class _Query:
    step: str = ''
    lives: list = dataclasses.field(default_factory=list)
    valid_seconds: float = 0.0


class TicketCache:
    """Queries and cached answers of one owner; a context manager."""

    def __init__(self, policy, clock, on_answer):
        """Take a :class:`Policy`, or None if no queue has one.

        :param on_answer: called after each answer that was stored
        """
        self._policy = policy
        self._clock = clock
        self._on_answer = on_answer
        self._lock = threading.Condition()
        # Maps of IncarnationId to _Answer, by step.
        self._answers = collections.OrderedDict()
        # Queries to send, at most one for each step.
        self._pending = collections.OrderedDict()
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, name='policy', daemon=True
        )

    def __enter__(self):
        if self._policy is not None:
            self._thread.start()
        return self

    def __exit__(self, *exc_info):
        # The thread may still wait for an answer, so it is not joined.
        with self._lock:
            self._stopping = True
            self._lock.notify()

    def request(self, step, lives, ticket_ms):
        """Queue a query about workers that have no valid answer.

        Does nothing while another query about the step is pending.

        :param lives: the workers' ``data.IncarnationId``, most preferred first
        :param ticket_ms: how long the policy's tickets are valid
        """
        now = self._clock.read_monotonic()
        with self._lock:
            if step in self._pending:
                return
            known = self._answers.get(step, {})
            unknown = [
                life for life in lives if _needs_query(known, life, now)
            ]
            if not unknown:
                return
            self._pending[step] = _Query(
                step,
                unknown[:MAX_WORKERS_PER_QUERY],
                ticket_ms / _MS_PER_SECOND,
            )
            self._lock.notify()

    def retain(self, steps):
        """Drop the queries about other steps than these, which may be done."""
        with self._lock:
            for step in list(self._pending):
                if step not in steps:
                    del self._pending[step]

    def find_ticket(self, step, life):
        """Return a ticket that is valid now, or ''."""
        now = self._clock.read_monotonic()
        with self._lock:
            known = self._answers.get(step, {}).get(life)
            if known is None or now >= known.until:
                return ''
            return known.ticket

    def ask_next(self):
        """Send the oldest query; called by the thread, or by a test.

        :returns: False if there was no answer
        """
        with self._lock:
            if not self._pending:
                return True
            query = next(iter(self._pending.values()))
        sent = self._clock.read_monotonic()
        answer = self._policy.query(query.step, query.lives)
        if answer.is_err():
            extra = logs.fields(workload=query.step)
            LOG.warning(
                'policy query failed: %s', answer.err_value, extra=extra
            )
            with self._lock:
                if query.step in self._pending:
                    # The answer for one step may fail each time.
                    self._pending.move_to_end(query.step)
            return False
        self._store_answer(query, answer.ok_value, sent)
        self._on_answer()
        return True

    def _store_answer(self, query, permits, sent):
        until = sent + query.valid_seconds * _USABLE_FRACTION
        with self._lock:
            self._pending.pop(query.step, None)
            known = self._answers.setdefault(query.step, {})
            known.update((life, _Answer()) for life in query.lives)
            for one in permits:
                known[one.life] = _Answer(one.ticket, until)
            if len(self._answers) > MAX_STEPS:
                self._answers.popitem(last=False)
        extra = logs.fields(workload=query.step, count=len(permits))
        LOG.info(
            'policy answered for %d workers', len(query.lives), extra=extra
        )

    def _run(self):
        while not self._stopping:
            with self._lock:
                while not self._pending and not self._stopping:
                    self._lock.wait()
            if not self._stopping and not self.ask_next():
                threading.Event().wait(_RETRY_SECONDS)


def assign_tickets(advisor, demands, views):
    """Set the tickets of demands, and request the missing ones.

    :param advisor: an :class:`TicketCache`
    :param demands: list of ``backlog.Demand``
    :param views: list of ``vmview.VmView``
    """
    advisor.retain({demand.record.id for demand in demands})
    for demand in demands:
        workload = demand.record.workload
        if not workload.ticket_ms:
            continue
        step = demand.record.id
        usable = [
            view
            for view in views
            if view.life.instance and not view.closed and view.suits(workload)
        ]
        usable.sort(key=lambda view: -view.room.cpu_milli)
        lives = [view.life for view in usable]
        advisor.request(step, lives, workload.ticket_ms)
        found = {
            view.vm.name: advisor.find_ticket(step, view.life)
            for view in usable
        }
        demand.tickets = {name: one for name, one in found.items() if one}


def _needs_query(known, life, now):
    """Return whether a worker has no answer, or an expired ticket."""
    one = known.get(life)
    if one is None:
        return True
    return bool(one.ticket) and now >= one.until
