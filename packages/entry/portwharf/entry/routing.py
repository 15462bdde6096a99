# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Which endpoint a request goes to, and what becomes of it.

Two endpoints are drawn at random and the one that is expected to answer
sooner gets the request: nearly as good as asking all, and entries that know
the same old loads do not all rush to one. A request that did not run goes
to another endpoint while a budget for retries lasts. One that may have run
is sent again only if its caller declared it repeatable.
"""

import logging
import random
import threading

from portwharf import callers
from portwharf.core import data
from portwharf.core import logs
from portwharf.entry import gate
from portwharf.entry import ratings
from portwharf.peers import messages

LOG = logging.getLogger(__name__)

MAX_ATTEMPTS = 4
# A retry costs what this many first sendings earn.
RETRY_COST = 5
# Retries that can be saved up for a bad moment.
RETRY_SAVINGS = 20
# An endpoint in another availability zone is taken to need so much longer:
# two ways more, and a share, to keep requests near while that costs little.
OTHER_ZONE_SECONDS = 0.003
OTHER_ZONE_FACTOR = 1.15
# How soon a caller may come back when nothing serves the service.
NO_ENDPOINT_MS = 500

REASON_NO_ENDPOINT = 'no-endpoint-serves-it'
REASON_DEADLINE = 'deadline'
REASON_BUDGET = 'too-many-retries'
REASON_OVERLOAD = 'service-is-overloaded'
# Sendings of a not-repeatable request whose home is changing.
HOME_ATTEMPTS = 4
HOME_PAUSE_SECONDS = 0.3
_HOME_MOVED = frozenset(('not-the-home-of-this-id', 'home-is-not-confirmed'))
_MS = 1000


class RetryBudget:
    """Bounds retries to a share of the requests, with some savings."""

    def __init__(self):
        self._lock = threading.Lock()
        self._savings = RETRY_SAVINGS * RETRY_COST

    def earn(self):
        """Count a first sending."""
        with self._lock:
            most = RETRY_SAVINGS * RETRY_COST
            self._savings = min(most, self._savings + 1)

    def spend(self):
        """Take a retry out of the budget; False if there is none."""
        with self._lock:
            if self._savings < RETRY_COST:
                return False
            self._savings -= RETRY_COST
            return True


class EndpointRouter(callers.Router):
    """Routes requests over an entry's links."""

    def __init__(self, links, clock, zone, observe):
        """Take the ``LinkTable``, a clock and our availability zone.

        :param observe: called with service, outcome and seconds
        """
        self._links = links
        self._clock = clock
        self._zone = zone
        self._observe = observe
        self._budget = RetryBudget()
        self._ratings = ratings.Ratings(clock)
        self._gate = gate.Gate(clock)
        self._random = random.Random()
        self._pause = threading.Event()

    def route(self, call):
        began = self._clock.read_monotonic()
        deadline = began + call.deadline_ms / _MS
        done = self._pass_gate(call, deadline)
        if done.outcome == data.Outcome.NOT_RUN:
            _doubt(call, done)
        spent = self._clock.read_monotonic() - began
        self._observe(call.service, done.outcome, spent)
        return done

    def _pass_gate(self, call, deadline):
        """Carry a request out, unless there is too much under way."""
        admitted = self._gate.enter(call.service, call.caller)
        call.excess = admitted is gate.Admitted.EXCESS
        if admitted is gate.Admitted.NO:
            return callers.CallResult(
                data.Outcome.NOT_RUN,
                reason=REASON_OVERLOAD,
                retry_after_ms=gate.RETRY_MS,
            )
        try:
            self._budget.earn()
            if call.repeatable:
                return self._try_endpoints(call, deadline)
            return self._try_home(call, deadline)
        finally:
            self._gate.leave(call.service, call.caller)

    def _try_endpoints(self, call, deadline):
        done = callers.CallResult(
            data.Outcome.NOT_RUN, reason=REASON_NO_ENDPOINT
        )
        done.retry_after_ms = NO_ENDPOINT_MS
        tried = set()
        maybe_ran = False
        for attempt in range(MAX_ATTEMPTS):
            link = self._choose(call.service, tried)
            if link is None:
                return done
            if attempt and not self._budget.spend():
                done.reason = done.reason or REASON_BUDGET
                return done
            tried.add(link.name)
            done = self._send(link, call, deadline)
            maybe_ran = maybe_ran or done.outcome == data.Outcome.UNKNOWN
            done.maybe_ran = maybe_ran
            if not _may_retry(call, done):
                return done
            if self._clock.read_monotonic() >= deadline:
                return done
        return done

    def _try_home(self, call, deadline):
        """Send a not-repeatable request to its home, and nowhere else."""
        done = callers.CallResult(
            data.Outcome.NOT_RUN, reason=REASON_NO_ENDPOINT
        )
        done.retry_after_ms = NO_ENDPOINT_MS
        for _ in range(HOME_ATTEMPTS):
            link = self._links.find_home(call.id, call.service)
            if link is None or not link.view.up:
                return done
            done = self._send(link, call, deadline)
            if done.reason not in _HOME_MOVED:
                return done
            # The roster is changing under way: the next one will be here.
            self._pause.wait(HOME_PAUSE_SECONDS)
            if self._clock.read_monotonic() >= deadline:
                return done
        return done

    def _choose(self, service, tried):
        """Return the better of two random endpoints, or None."""
        serving = self._links.list_serving(service)
        usable = self._ratings.choose_usable(serving)
        fresh = [link for link in usable if link.name not in tried]
        if not fresh:
            fresh = [link for link in serving if link.name not in tried]
        if not fresh:
            return None
        if len(fresh) == 1:
            return fresh[0]
        pair = self._random.sample(fresh, 2)
        return min(pair, key=self._weigh)

    def _weigh(self, link):
        seconds = self._ratings.estimate(link)
        if link.view.vm.availability_zone != self._zone:
            seconds = seconds * OTHER_ZONE_FACTOR + OTHER_ZONE_SECONDS
        return seconds

    def _send(self, link, call, deadline):
        """Send a request to one side and wait for what becomes of it."""
        left = deadline - self._clock.read_monotonic()
        if left <= 0:
            return callers.CallResult(
                data.Outcome.NOT_RUN, reason=REASON_DEADLINE
            )
        sent = self._clock.read_monotonic()
        done = self._exchange(link, call, left)
        spent = self._clock.read_monotonic() - sent
        self._ratings.observe(link.name, done.outcome, done.reason, spent)
        view = link.view
        self._gate.note_load(
            call.service, view.state.in_flight, view.state.slots
        )
        return done

    def _exchange(self, link, call, left):
        message = messages.Request(
            0,
            call.id,
            call.service,
            call.repeatable,
            int(left * _MS),
            call.sent_before,
            call.excess,
        )
        exchange = link.begin(message, call.payload)
        if exchange is None:
            return callers.CallResult(
                data.Outcome.NOT_RUN,
                reason='connection-lost',
                endpoint=link.name,
            )
        if not exchange.wait(left):
            link.withdraw(message)
            return callers.CallResult(
                data.Outcome.UNKNOWN,
                reason=REASON_DEADLINE,
                endpoint=link.name,
            )
        return _read_exchange(exchange, call, link.name)


def _read_exchange(exchange, call, endpoint):
    """Return what an ended exchange says of its request."""
    if exchange.lost:
        return callers.CallResult(
            data.Outcome.UNKNOWN, reason=exchange.lost, endpoint=endpoint
        )
    answer = exchange.answer
    if answer.request != call.id:
        extra = logs.fields(request=call.id, peer=endpoint)
        LOG.error('answer of another request', extra=extra)
        return callers.CallResult(
            data.Outcome.UNKNOWN,
            reason='answer-of-another-request',
            endpoint=endpoint,
        )
    return callers.CallResult(
        data.Outcome(answer.outcome),
        exchange.payload,
        answer.reason,
        answer.retry_after_ms,
        endpoint,
        # A home answers for all sendings of an id.
        proved=not call.repeatable,
    )


def _doubt(call, done):
    """Say "unknown" where "not run" is not known of all sendings."""
    before = call.sent_before and not done.proved
    if done.maybe_ran or before:
        # This sending did not run, but an earlier one may have.
        done.outcome = data.Outcome.UNKNOWN


def _may_retry(call, done):
    if done.outcome == data.Outcome.NOT_RUN:
        return True
    lost = done.outcome == data.Outcome.UNKNOWN
    return lost and call.repeatable and done.reason != REASON_DEADLINE
