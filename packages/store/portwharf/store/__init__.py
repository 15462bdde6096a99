# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Access to the platform's key-value service."""

from portwharf.store.base import Entry
from portwharf.store.base import find_prefix_end
from portwharf.store.base import KeyList
from portwharf.store.base import LeaseStore
from portwharf.store.base import MAX_VALUE_BYTES
from portwharf.store.base import Store
from portwharf.store.base import StoreError
from portwharf.store.base import WriteResult
from portwharf.store.etcd import EtcdStore
from portwharf.store.etcd import open_etcd
from portwharf.store.rate_limit import RateLimitedStore

__all__ = (
    'RateLimitedStore',
    'Entry',
    'EtcdStore',
    'LeaseStore',
    'MAX_VALUE_BYTES',
    'KeyList',
    'Store',
    'StoreError',
    'WriteResult',
    'find_prefix_end',
    'open_etcd',
)
