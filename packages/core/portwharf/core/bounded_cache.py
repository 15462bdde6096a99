# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""A bounded cache that never evicts entries in use."""

__all__ = ['BoundedCache']


class BoundedCache:
    """Maps keys to values and evicts the entry that was written first.

    Keys in use are never evicted, so that the size may exceed the limit
    while more keys than that are in use.
    """

    def __init__(self, max_entries):
        self._max_entries = max_entries
        self._values = {}
        self._in_use = frozenset()

    def __contains__(self, key):
        return key in self._values

    def __len__(self):
        return len(self._values)

    def set_in_use(self, keys):
        """Set the keys that are in use, replacing those set before."""
        self._in_use = frozenset(keys)

    def list_keys(self):
        """Return all keys, the one that was written first at the front."""
        return list(self._values)

    def get(self, key, default=None):
        """Return the value of a key, or the default."""
        return self._values.get(key, default)

    def put(self, key, value):
        """Set a value as the most recent one, evicting one if need be."""
        self._values.pop(key, None)
        self._values[key] = value
        if len(self._values) > self._max_entries:
            self._evict()

    def clear(self):
        """Remove all entries."""
        self._values.clear()

    def _evict(self):
        """Remove the oldest entry that is not in use.

        Entries in use that are found on the way become the most recent, so
        that later evictions need not skip them again.
        """
        for key in list(self._values):
            if key not in self._in_use:
                del self._values[key]
                return
            self._values[key] = self._values.pop(key)
