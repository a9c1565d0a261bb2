"""Types of fields that several messages of the platform share."""

from __future__ import annotations

from typing import Annotated

import msgspec

# Times in milliseconds. The bound keeps sums of them within the integers that
# a message can carry.
Milliseconds = Annotated[float, msgspec.Meta(ge=0.0, le=2.0**53)]
# Amounts of a resource, in the unit of the field.
Amount = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
