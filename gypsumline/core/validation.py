"""Converts pydantic validation errors to the errors of this package."""

from __future__ import annotations

import typing
from collections.abc import Callable, Iterable

import pydantic
from pydantic_core import ErrorDetails

from gypsumline.core.errors import InvalidInputError, InvalidInputGroup

NAME_PATTERN = r"^[a-z0-9-]{1,63}$"
NAME_ALLOWED = "1 to 63 characters of a-z, 0-9 and -"
REPORTED_ERRORS_MAX = 100

Name = typing.Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
Location = tuple[int | str, ...]


class StrictModel(pydantic.BaseModel):
    """Base of the models of external input: strict types, no unknown fields."""

    model_config = pydantic.ConfigDict(
        extra="forbid", strict=True, frozen=True, allow_inf_nan=False
    )


def invalid_inputs(
    model: type[pydantic.BaseModel],
    error: pydantic.ValidationError,
    line_of: Callable[[Location], int | None] | None = None,
) -> list[InvalidInputError]:
    """Converts a validation error to at most `REPORTED_ERRORS_MAX` errors.

    Args:
      model: Model that the input was validated against.
      error: Error that the validation raised.
      line_of: Function that returns the line of a location; None if the input
        has no lines.
    """
    found = []
    for details in error.errors(include_url=False)[:REPORTED_ERRORS_MAX]:
        location = details["loc"]
        found.append(
            InvalidInputError(
                field_path(location),
                None if details["type"] == "missing" else details["input"],
                _allowed_values(model, details),
                line_of(location) if line_of else None,
            )
        )
    return found


def raise_invalid_inputs(
    title: str, errors: Iterable[InvalidInputError]
) -> None:
    """Raises the errors as one group if there are any.

    Args:
      title: Message of the group.
      errors: Errors to raise; those over `REPORTED_ERRORS_MAX` are dropped.

    Raises:
      InvalidInputGroup: `errors` is not empty.
    """
    found = list(errors)
    if found:
        raise InvalidInputGroup(title, found[:REPORTED_ERRORS_MAX])


def field_path(location: Location) -> str:
    """Returns the dotted path of a location, or "text" for the root."""
    parts = [str(item)[:80] for item in location if item != "[key]"]
    return ".".join(parts) or "text"


_ALLOWED_BY_ERROR_TYPE = {
    "bool_type": "true or false",
    "dict_type": "a mapping of names to values",
    "float_parsing": "a number",
    "float_type": "a number",
    "int_from_float": "a whole number",
    "int_parsing": "a whole number",
    "int_parsing_size": "a whole number of fewer digits",
    "int_type": "a whole number",
    "list_type": "a list",
    "missing": "a value; the field is required",
    "model_type": "a mapping of names to values",
    "string_pattern_mismatch": NAME_ALLOWED,
    "string_type": "a string",
}


def _allowed_values(
    model: type[pydantic.BaseModel], details: ErrorDetails
) -> str:
    if details["type"] in _ALLOWED_BY_ERROR_TYPE:
        return _ALLOWED_BY_ERROR_TYPE[details["type"]]
    match details["type"]:
        case "extra_forbidden":
            names = _known_fields(model, details["loc"][:-1])
            return f"only the fields {', '.join(names)}"
        case "too_long" | "too_short":
            context = details["ctx"]
            limit = context.get("max_length", context.get("min_length"))
            word = "most" if details["type"] == "too_long" else "least"
            return f"at {word} {limit} items"
    text = details["msg"].removeprefix("Value error, ")
    return text.removeprefix("Input should be ").removeprefix("a valid ")


def _known_fields(
    model: type[pydantic.BaseModel], location: Location
) -> list[str]:
    current: typing.Any = model
    for item in location:
        current = _child_type(current, item)
    fields = getattr(current, "model_fields", {})
    return sorted(field.alias or name for name, field in fields.items())


def _child_type(current: typing.Any, item: int | str) -> typing.Any:
    if hasattr(current, "model_fields"):
        return current.model_fields[str(item)].annotation
    arguments = typing.get_args(current)
    return arguments[-1] if arguments else None
