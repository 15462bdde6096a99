# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A bound on the calls that one process makes to the store.

The platform's service takes so many calls a second from everybody. Each
process keeps to a share of its own, so that whatever goes wrong in it, or
in all of them together after an outage, stays inside the rates. A call
over the share waits for its turn; one that would wait too long is not made
at all, which is known to have had no effect.
"""

import threading

import result

from portwharf.store import base

CALLS_PER_SECOND = 15.0
BURST_CALLS = 60
MAX_WAIT_SECONDS = 3.0


class BudgetedStore(base.LeaseStore):
    """Another store, with a bounded rate of calls."""

    def __init__(self, inner, clock, rate=CALLS_PER_SECOND, burst=BURST_CALLS):
        """Take the store, a clock, and calls a second and at once."""
        self._inner = inner
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._lock = threading.Lock()
        self._free = float(burst)
        self._counted = clock.read_monotonic()
        self._pause = threading.Event()

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

    def list_names(self, prefix):
        return self._take() or self._inner.list_names(prefix)

    def wait_for_names(self, prefix, revision, timeout):
        return self._take() or self._inner.wait_for_names(
            prefix, revision, timeout
        )

    def put(self, key, value, lease):
        return self._take() or self._inner.put(key, value, lease)

    def open_lease(self, seconds):
        return self._take() or self._inner.open_lease(seconds)

    def keep_lease(self, lease):
        return self._take() or self._inner.keep_lease(lease)

    def _take(self):
        """Take one call out of the budget, waiting for it if need be.

        :returns: None, or Err(StoreError) if the call must not be made
        """
        wait = self._reserve()
        if wait is None:
            return result.Err(base.StoreError('over our own budget of calls'))
        if wait > 0:
            self._pause.wait(wait)
        return None

    def _reserve(self):
        """Return the seconds until our turn, or None if that is too far."""
        with self._lock:
            now = self._clock.read_monotonic()
            earned = (now - self._counted) * self._rate
            self._free = min(self._burst, self._free + earned)
            self._counted = now
            wait = max(0.0, (1 - self._free) / self._rate)
            if wait > MAX_WAIT_SECONDS:
                return None
            self._free -= 1
            return wait
