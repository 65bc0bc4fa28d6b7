"""TOML settings and their checks."""
