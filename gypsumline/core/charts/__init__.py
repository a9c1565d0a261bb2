"""State charts in TOML, interpreted by `gypsumline.core.chart`."""
