# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""Metrics of the VM registry."""

import prometheus_client

SKIPPED_ENTRIES = prometheus_client.Counter(
    'portwharf_register_skipped',
    'Looks at entries of the register that could not be read.',
)
