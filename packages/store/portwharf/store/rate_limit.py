# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Client-side rate limit for calls to the store.

The platform's service limits the total rate of calls. Each process keeps to
a share of its own, so that a faulty process, or all processes together after
an outage, cannot exceed the total. A call over the limit is delayed; if the
delay would be too long, the call fails without having any effect.
"""

import threading

import result

from portwharf.store import base

CALLS_PER_SECOND = 15.0
BURST_CALLS = 60
MAX_WAIT_SECONDS = 3.0


class RateLimitedStore(base.LeaseStore):
    """Limits the rate of calls to another store with a token bucket."""

    def __init__(self, inner, clock, rate=CALLS_PER_SECOND, burst=BURST_CALLS):
        """Wrap a store.

        :param inner: the :class:`base.LeaseStore` that carries out the calls
        :param clock: a ``clock.Clock``
        :param rate: calls a second
        :param burst: the most calls that may be made at once
        """
        self._inner = inner
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._lock = threading.Lock()
        self._tokens = float(burst)
        self._refilled_at = clock.read_monotonic()
        self._delay = threading.Event()

    def __enter__(self):
        self._inner.__enter__()
        return self

    def __exit__(self, *exc_info):
        self._inner.__exit__(*exc_info)

    def read(self, key):
        return self._take() or self._inner.read(key)

    def read_range(self, first, last, limit=0, keys_only=False):
        return self._take() or self._inner.read_range(
            first, last, limit, keys_only
        )

    def swap(self, key, value, revision, guard=None):
        return self._take() or self._inner.swap(key, value, revision, guard)

    def delete_range(self, first, last):
        return self._take() or self._inner.delete_range(first, last)

    def wait_for_change(self, key, revision, timeout):
        return self._take() or self._inner.wait_for_change(
            key, revision, timeout
        )

    def list_keys(self, prefix):
        return self._take() or self._inner.list_keys(prefix)

    def wait_for_key_changes(self, prefix, revision, timeout):
        return self._take() or self._inner.wait_for_key_changes(
            prefix, revision, timeout
        )

    def put(self, key, value, lease):
        return self._take() or self._inner.put(key, value, lease)

    def grant_lease(self, seconds):
        return self._take() or self._inner.grant_lease(seconds)

    def renew_lease(self, lease):
        return self._take() or self._inner.renew_lease(lease)

    def _take(self):
        """Take a token for one call, waiting for it if necessary.

        :returns: None, or Err(StoreError) if the call must not be made
        """
        wait_seconds = self._reserve()
        if wait_seconds is None:
            return result.Err(
                base.StoreError(
                    "call not made: over this process's rate limit"
                )
            )
        if wait_seconds > 0:
            self._delay.wait(wait_seconds)
        return None

    def _reserve(self):
        """Reserve a token, which may become available later.

        :returns: the seconds to wait for it, or None if that exceeds
            ``MAX_WAIT_SECONDS``; no token is reserved then
        """
        with self._lock:
            now = self._clock.read_monotonic()
            refill = (now - self._refilled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + refill)
            self._refilled_at = now
            wait_seconds = max(0.0, (1 - self._tokens) / self._rate)
            if wait_seconds > MAX_WAIT_SECONDS:
                return None
            self._tokens -= 1
            return wait_seconds
