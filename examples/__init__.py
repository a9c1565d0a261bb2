"""Programs that embed the library; `docs/library.md` shows them."""
