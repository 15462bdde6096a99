# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The metrics of the register of VMs."""

import prometheus_client

SKIPPED = prometheus_client.Counter(
    'portwharf_register_skipped',
    'Looks at entries of the register that could not be read.',
)
