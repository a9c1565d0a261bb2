"""Dispatcher for sub-second tasks and library of its state machines.

The public names are those in `gypsumline.public`, described in
`docs/library.md`. They are imported when one of them is first accessed,
because each command of the command line imports this package as well and would
otherwise load the whole core at startup.
"""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING

__version__ = "0.1.0"

if TYPE_CHECKING:
    from gypsumline.public import *  # noqa: F403
    from gypsumline.public import __all__ as __all__
else:

    def __getattr__(name: str) -> object:
        """Imports the public names when one of them is first accessed."""
        # The import system accesses dunder names other than `__all__`.
        if name.startswith("_") and name != "__all__":
            raise AttributeError(f"module {__name__!r} has no {name!r}")
        public = importlib.import_module("gypsumline.public")
        if name != "__all__" and name not in public.__all__:
            raise AttributeError(f"module {__name__!r} has no {name!r}")
        value = globals()[name] = getattr(public, name)
        return value

    def __dir__() -> list[str]:
        """Includes the public names, even before they are imported."""
        return sorted({*globals(), *__getattr__("__all__")})
