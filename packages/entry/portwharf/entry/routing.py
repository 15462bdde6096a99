# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Routes requests to endpoints, with retries.

Of two random endpoints the one with the shorter expected response time gets
the request (power of two choices): nearly as good as comparing all, and
entries with the same outdated loads do not all choose the same endpoint. A
request that did not run is retried on another endpoint within a retry
budget. A request that may have run is retried only if its caller declared
it repeatable. A request that is not repeatable goes only to its home, the
endpoint that the roster assigns to its id.
"""

import logging
import random
import threading

from portwharf import callers
from portwharf.core import data
from portwharf.core import logs
from portwharf.entry import limiter
from portwharf.entry import ratings
from portwharf.peers import messages

LOG = logging.getLogger(__name__)

MAX_ATTEMPTS = 4
# Each first attempt earns one token of the retry budget.
TOKENS_PER_RETRY = 5
# Upper bound of the budget, for bursts of failures.
MAX_SAVED_RETRIES = 20
# Penalty on the estimate of an endpoint in another availability zone: the
# round trip, and a factor that prefers the own zone at similar load.
OTHER_ZONE_SECONDS = 0.003
OTHER_ZONE_FACTOR = 1.15
# Retry-after for callers when no endpoint serves the service.
NO_ENDPOINT_RETRY_AFTER_MS = 500

REASON_NO_ENDPOINT = 'no-endpoint-serves-it'
REASON_DEADLINE = 'deadline'
REASON_RETRY_BUDGET = 'too-many-retries'
REASON_OVERLOAD = 'service-is-overloaded'
# Attempts of a request that is not repeatable while its home changes.
MAX_HOME_ATTEMPTS = 4
HOME_RETRY_DELAY_SECONDS = 0.3
_HOME_CHANGED_REASONS = frozenset(
    ('not-the-home-of-this-id', 'home-is-not-confirmed')
)
_MS_PER_SECOND = 1000


class RetryBudget:
    """Token bucket that limits retries to a share of the requests."""

    def __init__(self):
        self._lock = threading.Lock()
        self._tokens = MAX_SAVED_RETRIES * TOKENS_PER_RETRY

    def earn(self):
        """Add a token for a first attempt."""
        with self._lock:
            most = MAX_SAVED_RETRIES * TOKENS_PER_RETRY
            self._tokens = min(most, self._tokens + 1)

    def spend(self):
        """Pay for a retry; returns False if the tokens do not suffice."""
        with self._lock:
            if self._tokens < TOKENS_PER_RETRY:
                return False
            self._tokens -= TOKENS_PER_RETRY
            return True


class EndpointRouter(callers.Router):
    """Routes requests over an entry's links to sides."""

    def __init__(self, links, clock, zone, observe):
        """Create a router.

        :param links: the entry's ``side_links.LinkTable``
        :param zone: availability zone of this entry
        :param observe: called with service, outcome and seconds
        """
        self._links = links
        self._clock = clock
        self._zone = zone
        self._observe = observe
        self._budget = RetryBudget()
        self._ratings = ratings.EndpointRatings(clock)
        self._limiter = limiter.ConcurrencyLimiter(clock)
        self._random = random.Random()
        self._pause = threading.Event()

    def route(self, call):
        began = self._clock.read_monotonic()
        deadline = began + call.deadline_ms / _MS_PER_SECOND
        done = self._route_admitted(call, deadline)
        if done.outcome == data.Outcome.NOT_RUN:
            _mark_unknown_if_unproved(call, done)
        spent = self._clock.read_monotonic() - began
        self._observe(call.service, done.outcome, spent)
        return done

    def _route_admitted(self, call, deadline):
        """Route a request unless the concurrency limit refuses it."""
        admitted = self._limiter.admit(call.service, call.caller)
        call.excess = admitted is limiter.AdmissionDecision.EXCESS
        if admitted is limiter.AdmissionDecision.REFUSED:
            return callers.CallResult(
                data.Outcome.NOT_RUN,
                reason=REASON_OVERLOAD,
                retry_after_ms=limiter.RETRY_AFTER_MS,
            )
        try:
            self._budget.earn()
            if call.repeatable:
                return self._try_endpoints(call, deadline)
            return self._try_home(call, deadline)
        finally:
            self._limiter.release(call.service, call.caller)

    def _try_endpoints(self, call, deadline):
        done = callers.CallResult(
            data.Outcome.NOT_RUN, reason=REASON_NO_ENDPOINT
        )
        done.retry_after_ms = NO_ENDPOINT_RETRY_AFTER_MS
        tried = set()
        maybe_ran = False
        for attempt in range(MAX_ATTEMPTS):
            link = self._select_endpoint(call.service, tried)
            if link is None:
                return done
            if attempt and not self._budget.spend():
                done.reason = done.reason or REASON_RETRY_BUDGET
                return done
            tried.add(link.name)
            done = self._send(link, call, deadline)
            maybe_ran = maybe_ran or done.outcome == data.Outcome.UNKNOWN
            done.maybe_ran = maybe_ran
            if not _is_retryable(call, done):
                return done
            if self._clock.read_monotonic() >= deadline:
                return done
        return done

    def _try_home(self, call, deadline):
        """Send a request that is not repeatable to its home only."""
        done = callers.CallResult(
            data.Outcome.NOT_RUN, reason=REASON_NO_ENDPOINT
        )
        done.retry_after_ms = NO_ENDPOINT_RETRY_AFTER_MS
        for _ in range(MAX_HOME_ATTEMPTS):
            link = self._links.find_home(call.id, call.service)
            if link is None or not link.view.up:
                return done
            done = self._send(link, call, deadline)
            if done.reason not in _HOME_CHANGED_REASONS:
                return done
            # The roster is changing: wait for the next one.
            self._pause.wait(HOME_RETRY_DELAY_SECONDS)
            if self._clock.read_monotonic() >= deadline:
                return done
        return done

    def _select_endpoint(self, service, tried):
        """Return the link to the better of two random endpoints, or None.

        Ejected endpoints are used only if no other is left.
        """
        serving = self._links.list_serving(service)
        usable = self._ratings.list_usable(serving)
        fresh = [link for link in usable if link.name not in tried]
        if not fresh:
            fresh = [link for link in serving if link.name not in tried]
        if not fresh:
            return None
        if len(fresh) == 1:
            return fresh[0]
        pair = self._random.sample(fresh, 2)
        return min(pair, key=self._estimate_seconds)

    def _estimate_seconds(self, link):
        seconds = self._ratings.estimate_seconds(link)
        if link.view.vm.availability_zone != self._zone:
            seconds = seconds * OTHER_ZONE_FACTOR + OTHER_ZONE_SECONDS
        return seconds

    def _send(self, link, call, deadline):
        """Make one attempt and record its result."""
        left = deadline - self._clock.read_monotonic()
        if left <= 0:
            return callers.CallResult(
                data.Outcome.NOT_RUN, reason=REASON_DEADLINE
            )
        sent = self._clock.read_monotonic()
        done = self._exchange(link, call, left)
        spent = self._clock.read_monotonic() - sent
        self._ratings.record_result(
            link.name, done.outcome, done.reason, spent
        )
        view = link.view
        self._limiter.record_load(
            call.service, view.state.in_flight, view.state.slots
        )
        return done

    def _exchange(self, link, call, left):
        message = messages.Request(
            0,
            call.id,
            call.service,
            call.repeatable,
            int(left * _MS_PER_SECOND),
            call.sent_before,
            call.excess,
        )
        exchange = link.send_request(message, call.payload)
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
        return _make_result(exchange, call, link.name)


def _make_result(exchange, call, endpoint):
    """Return the :class:`CallResult` of an exchange that has ended."""
    if exchange.failure:
        return callers.CallResult(
            data.Outcome.UNKNOWN, reason=exchange.failure, endpoint=endpoint
        )
    answer = exchange.answer
    if answer.request != call.id:
        extra = logs.fields(request=call.id, peer=endpoint)
        LOG.error('answer for another request', extra=extra)
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
        # A home answers for all attempts of an id.
        proved=not call.repeatable,
    )


def _mark_unknown_if_unproved(call, done):
    """Turn NOT_RUN into UNKNOWN if an earlier attempt may have run."""
    before = call.sent_before and not done.proved
    if done.maybe_ran or before:
        done.outcome = data.Outcome.UNKNOWN


def _is_retryable(call, done):
    """Tell whether another endpoint may get the request."""
    if done.outcome == data.Outcome.NOT_RUN:
        return True
    lost = done.outcome == data.Outcome.UNKNOWN
    return lost and call.repeatable and done.reason != REASON_DEADLINE
