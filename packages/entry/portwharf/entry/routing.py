# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Which endpoint a request goes to, and what becomes of it.

Two endpoints are drawn at random and the one with less to do gets the
request: nearly as good as asking all, and entries that know the same old
loads do not all rush to one. A request that did not run goes to another
endpoint while a budget for retries lasts. One that may have run is sent
again only if its caller declared it repeatable.
"""

import logging
import random
import threading

from portwharf import callers
from portwharf.core import data
from portwharf.core import logs
from portwharf.peers import messages

LOG = logging.getLogger(__name__)

MAX_ATTEMPTS = 4
# A retry costs what this many first sendings earn.
RETRY_COST = 5
# Retries that can be saved up for a bad moment.
RETRY_SAVINGS = 20
# A side in another availability zone counts as this much busier.
OTHER_ZONE_LOAD = 1.5
# How soon a caller may come back when nothing serves the service.
NO_ENDPOINT_MS = 500

REASON_NO_ENDPOINT = 'no-endpoint-serves-it'
REASON_DEADLINE = 'deadline'
REASON_BUDGET = 'too-many-retries'
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
        self._random = random.Random()

    def route(self, call):
        began = self._clock.read_monotonic()
        deadline = began + call.deadline_ms / _MS
        self._budget.earn()
        done = self._try_endpoints(call, deadline)
        if done.maybe_ran and done.outcome == data.Outcome.NOT_RUN:
            # The last endpoint did not run it, but an earlier one may have.
            done.outcome = data.Outcome.UNKNOWN
        spent = self._clock.read_monotonic() - began
        self._observe(call.service, done.outcome, spent)
        return done

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

    def _choose(self, service, tried):
        """Return the better of two random endpoints, or None."""
        serving = self._links.list_serving(service)
        fresh = [link for link in serving if link.name not in tried]
        if not fresh:
            return None
        if len(fresh) == 1:
            return fresh[0]
        pair = self._random.sample(fresh, 2)
        return min(pair, key=self._weigh)

    def _weigh(self, link):
        view = link.view
        load = max(view.sent, view.state.in_flight) + 1
        if view.vm.availability_zone != self._zone:
            load *= OTHER_ZONE_LOAD
        return load / max(1, view.state.slots)

    def _send(self, link, call, deadline):
        """Send a request to one side and wait for what becomes of it."""
        left = deadline - self._clock.read_monotonic()
        if left <= 0:
            return callers.CallResult(
                data.Outcome.NOT_RUN, reason=REASON_DEADLINE
            )
        message = messages.Request(
            0, call.id, call.service, call.repeatable, int(left * _MS)
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
    )


def _may_retry(call, done):
    if done.outcome == data.Outcome.NOT_RUN:
        return True
    lost = done.outcome == data.Outcome.UNKNOWN
    return lost and call.repeatable and done.reason != REASON_DEADLINE
