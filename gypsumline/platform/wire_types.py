"""Types of fields that several messages of the platform share."""

from __future__ import annotations

from typing import Annotated

import msgspec

# Times in milliseconds. The bound keeps sums of them within the integers that
# a message can carry.
Milliseconds = Annotated[float, msgspec.Meta(ge=0.0, le=2.0**53)]
# Amounts of a resource, in the unit of the field.
Amount = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
# Amounts that one task requests. A message can carry the sum over all tasks of
# a job.
TaskAmount = Annotated[int, msgspec.Meta(ge=0, le=2**40)]
# Unix times in whole milliseconds, up to the year 2248.
UnixMilliseconds = Annotated[
    float, msgspec.Meta(ge=0.0, le=2.0**43, multiple_of=1.0)
]
# Numbers that only rise: versions, ends, attempts. JSON carries whole numbers
# up to the bound exactly, and a message between processes carries them, too.
SEQUENCE_MAX = 2**53
Sequence = Annotated[int, msgspec.Meta(ge=0, le=SEQUENCE_MAX)]
# Incarnations, in nanoseconds, within the integers that a message can carry.
Incarnation = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
# Names, keys and labels; the platform's are texts of at most 200 bytes.
NAME_CHARACTERS_MAX = 200
Name = Annotated[str, msgspec.Meta(max_length=NAME_CHARACTERS_MAX)]
