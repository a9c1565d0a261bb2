"""Models that validate the HTTP response bodies of an entry.

Unknown fields are retained, so that `--output json` shows the whole response of
an entry with a newer version.
"""

from __future__ import annotations

import typing

import pydantic

from gypsumline.cli.client import Response
from gypsumline.core.errors import GypsumlineError


class UnexpectedAnswerError(GypsumlineError):
    """The response of an entry does not have the documented form."""

    def __init__(self, url: str, status: int, reason: str) -> None:
        super().__init__(
            f"{url} answered with HTTP status {status} and an unexpected body: "
            f"{reason}"
        )


class AnswerModel(pydantic.BaseModel):
    """Base class of the response models."""

    model_config = pydantic.ConfigDict(extra="allow", frozen=True)


class ResultAnswer(AnswerModel):
    """Result of one task."""

    index: int
    value: typing.Any = None
    run_time: float = 0.0


class JobAnswer(AnswerModel):
    """Answer to the submission, query or cancellation of a job."""

    key: str
    outcome: str
    results: list[ResultAnswer] = []
    reason: str = ""
    detail: str = ""
    retry_after: float = 0.0


class VersionAnswer(AnswerModel):
    """Metadata of one version of the configuration."""

    version: int
    author: str = ""
    note: str = ""
    written_at: float = 0.0


class ConfigurationAnswer(VersionAnswer):
    """One version of the configuration with its text."""

    text: str
    write_token: str = ""


class HistoryAnswer(AnswerModel):
    """All versions of the configuration, newest first."""

    versions: list[VersionAnswer]


class ChangeAnswer(AnswerModel):
    """Outcome of a change of the configuration.

    Attributes:
      kind: Whether the change was accepted, was refused or has an unknown
        outcome.
      version: The accepted version, or the newest one after a refusal.
      detail: Human-readable description in one sentence.
      diff: Difference between the newest version and the submitted text.
      between: Versions accepted after the base version.
      write_token: Token to look up the change when the outcome is unknown.
    """

    kind: typing.Literal["accepted", "refused", "unknown"]
    version: int = 0
    detail: str = ""
    diff: str = ""
    between: list[VersionAnswer] = []
    write_token: str = ""


class EntryAnswer(AnswerModel):
    """Status of one entry."""

    member_id: str
    availability_zone: str = ""
    revision: int = 0
    alive: bool = True
    leaving: bool = False


class AgentAnswer(AnswerModel):
    """Status of one agent."""

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
    """Status of one availability zone."""

    name: str
    out: bool = False
    slots: int = 0
    agents: int = 0


class StatusAnswer(AnswerModel):
    """State of the system as seen by one entry."""

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
    """Returns the validated body of a response.

    Raises:
      UnexpectedAnswerError: The body does not match the model.
    """
    try:
        return model.model_validate(response.body)
    except pydantic.ValidationError as error:
        details = error.errors(include_url=False, include_input=False)[0]
        location = ".".join(str(item) for item in details["loc"])
        reason = f"{location}: {details['msg']}"
        raise UnexpectedAnswerError(
            response.url, response.status, reason
        ) from error
