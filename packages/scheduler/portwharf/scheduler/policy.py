# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Asks a policy which workers may run a step, and keeps its tickets.

A queue's policy allows only some workers to run a step; a start there
brings the ticket that the policy gave. Answers take long and are given one
at a time, so that a thread asks while the owner goes on deciding. What the
policy has refused stays refused; a ticket is asked for again once its time
is over.
"""

import abc
import collections
import dataclasses
import logging
import threading

from portwharf.core import data
from portwharf.core import logs

LOG = logging.getLogger(__name__)

# Workers named in one question: what a step's chain is reckoned with.
MOST_ASKED = 30
# Steps whose answers are kept.
MAX_STEPS = 2000
# After a question without an answer.
_RETRY_SECONDS = 0.2
# A ticket is not used in the last tenth of its time: the start has to
# arrive while it is valid.
_USABLE = 0.9
_MS = 1000


@dataclasses.dataclass(slots=True)
class Permit:
    """A worker that may run a step.

    :param life: the ``data.LifeId`` that was asked about
    """

    life: data.LifeId = data.LifeId()
    ticket: str = ''


class Policy(abc.ABC):
    """The service that knows which workers may run which step."""

    @abc.abstractmethod
    def ask(self, step, lives):
        """Ask which of some workers may run a step.

        :param lives: a ``data.LifeId`` for each worker
        :returns: Ok(list of Permit), or Err(text)
        """


@dataclasses.dataclass(slots=True)
class _Known:
    """What the policy has said of one worker for one step.

    :param until: when the ticket ends, by the owner's clock
    """

    ticket: str = ''
    until: float = 0.0


@dataclasses.dataclass(slots=True)
class _Question:
    step: str = ''
    lives: list = dataclasses.field(default_factory=list)
    valid_seconds: float = 0.0


class Advisor:
    """One owner's questions and the answers; a context manager."""

    def __init__(self, policy, clock, on_answer):
        """Take a :class:`Policy`, or None where no queue has one.

        :param on_answer: called when there is something new to place by
        """
        self._policy = policy
        self._clock = clock
        self._on_answer = on_answer
        self._lock = threading.Condition()
        self._known = collections.OrderedDict()
        # The questions to ask, by step: one at a time for each.
        self._asked = collections.OrderedDict()
        self._stopping = False
        self._thread = threading.Thread(
            target=self._run, name='policy', daemon=True
        )

    def __enter__(self):
        if self._policy is not None:
            self._thread.start()
        return self

    def __exit__(self, *exc_info):
        # The thread may wait for an answer; it changes nothing after this.
        with self._lock:
            self._stopping = True
            self._lock.notify()

    def want(self, step, lives, ticket_ms):
        """Have the policy asked about workers that it has not answered for.

        :param lives: lives of workers, the most wanted first
        :param ticket_ms: how long its tickets are valid
        """
        now = self._clock.read_monotonic()
        with self._lock:
            if step in self._asked:
                return
            known = self._known.get(step, {})
            unknown = [life for life in lives if _is_due(known, life, now)]
            if not unknown:
                return
            self._asked[step] = _Question(
                step, unknown[:MOST_ASKED], ticket_ms / _MS
            )
            self._lock.notify()

    def find_ticket(self, step, life):
        """Return a ticket that is valid now, or ''."""
        now = self._clock.read_monotonic()
        with self._lock:
            known = self._known.get(step, {}).get(life)
            if known is None or now >= known.until:
                return ''
            return known.ticket

    def ask_next(self):
        """Ask the oldest question; called by the thread, or by a test.

        :returns: False if there was no answer
        """
        with self._lock:
            if not self._asked:
                return True
            question = next(iter(self._asked.values()))
        sent = self._clock.read_monotonic()
        answer = self._policy.ask(question.step, question.lives)
        if answer.is_err():
            extra = logs.fields(workload=question.step)
            LOG.warning('no advice: %s', answer.err_value, extra=extra)
            return False
        self._take(question, answer.ok_value, sent)
        self._on_answer()
        return True

    def _take(self, question, permits, sent):
        until = sent + question.valid_seconds * _USABLE
        with self._lock:
            del self._asked[question.step]
            known = self._known.setdefault(question.step, {})
            known.update((life, _Known()) for life in question.lives)
            for one in permits:
                known[one.life] = _Known(one.ticket, until)
            if len(self._known) > MAX_STEPS:
                self._known.popitem(last=False)
        extra = logs.fields(workload=question.step, count=len(permits))
        LOG.info('advice on %d workers', len(question.lives), extra=extra)

    def _run(self):
        while not self._stopping:
            with self._lock:
                while not self._asked and not self._stopping:
                    self._lock.wait()
            if not self._stopping and not self.ask_next():
                threading.Event().wait(_RETRY_SECONDS)


def find_tickets(advisor, demands, views):
    """Give demands their tickets, and have the missing ones asked for.

    :param demands: list of ``backlog.Demand``
    :param views: list of ``vmview.VmView``
    """
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
        advisor.want(step, lives, workload.ticket_ms)
        found = {
            view.vm.name: advisor.find_ticket(step, view.life)
            for view in usable
        }
        demand.tickets = {name: one for name, one in found.items() if one}


def _is_due(known, life, now):
    """Tell whether to ask about a worker: never asked, or run out."""
    one = known.get(life)
    if one is None:
        return True
    return bool(one.ticket) and now >= one.until
