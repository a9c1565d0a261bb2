"""Answers of an entry, checked where they enter the command line.

Fields that this version does not know are kept, so that `--output json` shows
what a newer entry answers.
"""

from __future__ import annotations

import typing

import pydantic

from gypsumline.cli.client import Response
from gypsumline.core.errors import GypsumlineError


class UnexpectedAnswerError(GypsumlineError):
    """An entry's answer does not have the documented form."""

    def __init__(self, url: str, status: int, reason: str) -> None:
        super().__init__(
            f"{url} answered with HTTP status {status} and an unexpected body: "
            f"{reason}"
        )


class AnswerModel(pydantic.BaseModel):
    """Base of the answers."""

    model_config = pydantic.ConfigDict(extra="allow", frozen=True)


class ResultAnswer(AnswerModel):
    """Result of one task."""

    index: int
    value: typing.Any = None
    run_time: float = 0.0


class JobAnswer(AnswerModel):
    """Answer to a submission, an inquiry or a cancellation."""

    key: str
    outcome: str
    results: list[ResultAnswer] = []
    reason: str = ""
    detail: str = ""
    retry_after: float = 0.0


class VersionAnswer(AnswerModel):
    """One version of the configuration, without its text."""

    version: int
    author: str = ""
    note: str = ""
    written_at: float = 0.0


class ConfigurationAnswer(VersionAnswer):
    """One version of the configuration."""

    text: str
    write_token: str = ""


class HistoryAnswer(AnswerModel):
    """All versions, newest first."""

    versions: list[VersionAnswer]


class ChangeAnswer(AnswerModel):
    """Outcome of a change of the configuration.

    Attributes:
      kind: Whether the change is in force.
      version: The accepted version, or the newest one after a refusal.
      detail: One sentence for people.
      diff: Difference between the newest version and the given text.
      between: Versions accepted after the base version.
      write_token: Token to ask by when the outcome is unknown.
    """

    kind: typing.Literal["accepted", "refused", "unknown"]
    version: int = 0
    detail: str = ""
    diff: str = ""
    between: list[VersionAnswer] = []
    write_token: str = ""


class EntryAnswer(AnswerModel):
    """One entry in the status."""

    member_id: str
    availability_zone: str = ""
    revision: int = 0
    alive: bool = True
    leaving: bool = False


class AgentAnswer(AnswerModel):
    """One agent in the status."""

    agent_id: str
    availability_zone: str = ""
    upstream_id: str = ""
    service: str = ""
    slots: int = 0
    free: int = 0
    queued: int = 0
    revision: int = 0
    state: str = ""
    out: bool = False


class ZoneAnswer(AnswerModel):
    """One availability zone in the status."""

    name: str
    out: bool = False
    slots: int = 0
    agents: int = 0


class StatusAnswer(AnswerModel):
    """State of the system as one entry knows it."""

    entry: str
    revision: int
    configuration_version: int
    fresh: bool
    entries: list[EntryAnswer] = []
    voters: list[str] = []
    agents: list[AgentAnswer] = []
    availability_zones: list[ZoneAnswer] = []


_ModelType = typing.TypeVar("_ModelType", bound=AnswerModel)


def parse_answer(model: type[_ModelType], response: Response) -> _ModelType:
    """Returns the checked answer.

    Raises:
      UnexpectedAnswerError: The body does not fit the model.
    """
    try:
        return model.model_validate(response.body)
    except pydantic.ValidationError as error:
        details = error.errors(include_url=False, include_input=False)[0]
        place = ".".join(str(item) for item in details["loc"])
        reason = f"{place}: {details['msg']}"
        raise UnexpectedAnswerError(
            response.url, response.status, reason
        ) from error
