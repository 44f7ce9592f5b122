"""Arguments and options that several commands share."""

from __future__ import annotations

import os
from typing import Annotated

import typer

from ..config.loader import load_config
from ..config.model import Config, ConfigError
from .exit_codes import fail

ConfigPath = Annotated[str, typer.Argument(help="Path of the JSON configuration.")]
Seconds = Annotated[
    float, typer.Option(help="How long to wait for the registry, or to watch it, in seconds.")
]


def read_config(path: str) -> Config:
    """Return the configuration at `path`; if it is invalid, print one line and exit with code 2."""
    try:
        return load_config(os.environ | {"BALANCER_CONFIG": path})
    except ConfigError as error:
        fail(str(error))
