"""Progress bar on standard error, shown only if that is a terminal."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

from rich.console import Console
from rich.progress import (
    BarColumn,
    MofNCompleteColumn,
    Progress,
    SpinnerColumn,
    TextColumn,
    TimeElapsedColumn,
)

Update = Callable[[int, int, str], None]


@contextlib.contextmanager
def show_progress(text: str) -> Iterator[Update]:
    """Shows a progress bar while the body of the `with` statement runs.

    Yields:
      A function that updates the bar. Its arguments are the completed count,
      the total (0 if unknown) and the description.
    """
    console = Console(stderr=True)
    progress = Progress(
        SpinnerColumn(),
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeElapsedColumn(),
        console=console,
        transient=True,
        disable=not console.is_terminal,
    )
    with progress:
        task = progress.add_task(text, total=None)

        def update(done: int, total: int, description: str) -> None:
            progress.update(
                task,
                completed=done,
                total=total or None,
                description=description,
            )

        yield update
