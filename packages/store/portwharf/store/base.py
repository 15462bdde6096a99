# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Interface of the platform's key-value service.

Every call returns its outcome as a ``result`` value. If a call failed with
``StoreError.unknown`` set, it may have taken effect although no answer was
received; the caller has to read the key before it continues.
"""

import abc
import dataclasses

# The largest value that the service accepts.
MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass(slots=True)
class Entry:
    """A key with its value.

    :param revision: the revision of the key's last change; revisions
        increase with every change in the whole store
    """

    key: str = ''
    value: bytes = b''
    revision: int = 0


@dataclasses.dataclass(slots=True)
class StoreError:
    """The error of a failed call to the store.

    :param text: what failed
    :param unknown: the call may have taken effect all the same
    """

    text: str = ''
    unknown: bool = False


@dataclasses.dataclass(slots=True)
class WriteResult:
    """The result of a write.

    :param done: whether the value was written
    :param revision: the revision of the change, 0 if not written
    """

    done: bool = False
    revision: int = 0


@dataclasses.dataclass(slots=True)
class KeyList:
    """The keys with a common prefix at one revision of the store.

    A watch from that revision on reports every later change.
    """

    keys: list[str] = dataclasses.field(default_factory=list)
    revision: int = 0


class Store(abc.ABC):
    """The platform's key-value service."""

    @abc.abstractmethod
    def read(self, key):
        """Read one key.

        :returns: Ok(Entry or None), or Err(StoreError)
        """

    @abc.abstractmethod
    def read_range(self, first, last, limit=0, keys_only=False):
        """Read the keys from ``first`` up to ``last``, exclusive.

        :param limit: the most entries to return, 0 for all
        :param keys_only: leave the entries' values empty
        :returns: Ok(list of Entry, sorted by key), or Err(StoreError)
        """

    @abc.abstractmethod
    def swap(self, key, value, revision, guard=None):
        """Write a key if its revision is still ``revision``.

        :param revision: the expected revision; 0 if the key must not exist
        :param guard: an Entry whose key must be unchanged as well, or None
        :returns: Ok(WriteResult), or Err(StoreError)
        """

    @abc.abstractmethod
    def delete_range(self, first, last):
        """Delete the keys from ``first`` up to ``last``, exclusive.

        :returns: Ok(number of deleted keys), or Err(StoreError)
        """

    @abc.abstractmethod
    def wait_for_change(self, key, revision, timeout):
        """Wait until a key is changed after ``revision``.

        :param timeout: in seconds; a watch counts as one call to the store
            whatever its length
        :returns: Ok(Entry), Ok(None) on timeout or if the watch was closed,
            or Err(StoreError)
        """

    @abc.abstractmethod
    def list_keys(self, prefix):
        """List the keys that begin with a prefix.

        :returns: Ok(KeyList), or Err(StoreError)
        """

    @abc.abstractmethod
    def wait_for_key_changes(self, prefix, revision, timeout):
        """Wait until a key that begins with a prefix is written or deleted.

        :param revision: the revision of the last known ``KeyList``
        :param timeout: in seconds; a watch counts as one call to the store
            whatever its length
        :returns: Ok(KeyList) without keys, or Err(StoreError); the revision
            is one up to which no key changed, or 0 if one may have changed
        """


class LeaseStore(Store):
    """A store with leases: it deletes the keys of a lease that expires."""

    @abc.abstractmethod
    def put(self, key, value, lease):
        """Write a key unconditionally and attach it to a lease.

        :param lease: a lease from :meth:`grant_lease`, or 0 for none
        :returns: Ok(WriteResult), or Err(StoreError)
        """

    @abc.abstractmethod
    def grant_lease(self, seconds):
        """Grant a new lease.

        :param seconds: time after which it expires unless renewed
        :returns: Ok(id of the lease), or Err(StoreError)
        """

    @abc.abstractmethod
    def renew_lease(self, lease):
        """Renew a lease.

        :returns: Ok(whether it is still valid), or Err(StoreError)
        """


def find_prefix_end(prefix):
    """Return the first key after all keys that begin with ``prefix``."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)
