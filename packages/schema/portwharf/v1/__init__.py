# Copyright the portwharf authors.
# SPDX-License-Identifier: Apache-2.0
"""The published schema as Python, generated from ``proto/portwharf/v1``."""
