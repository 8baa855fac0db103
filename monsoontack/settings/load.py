"""Reading of a settings file: every fault in it is reported at once."""

import difflib
import json
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ValidationError
from returns.result import Failure, Result, Success

from monsoontack.core.errors import FieldError, FieldErrors

M = TypeVar("M", bound=BaseModel)


def load_settings(path: Path, model: type[M]) -> Result[M, FieldErrors]:
    """Read a JSON file into `model`.

    Returns the model, or all faults found: an unreadable file, malformed JSON
    with its line and column, and every field that is unknown, missing or wrong.
    """
    try:
        document = json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        return _failure(path, "", f"cannot read the file: {error.strerror}")
    except UnicodeDecodeError:
        return _failure(path, "", "the file is not UTF-8 text")
    except json.JSONDecodeError as error:
        where = f"line {error.lineno} column {error.colno}"
        return _failure(path, "", f"malformed JSON at {where}: {error.msg}")
    return validate(str(path), document, model)


def validate(source: str, document: object, model: type[M]) -> Result[M, FieldErrors]:
    """Validate a decoded JSON document; `source` names it in errors."""
    try:
        return Success(model.model_validate(document))
    except ValidationError as error:
        return Failure(
            FieldErrors(tuple(_field_error(source, e, model) for e in error.errors()))
        )


def _failure(path: Path, field: str, message: str) -> Failure:
    return Failure(FieldErrors((FieldError(str(path), field, message),)))


def _field_error(source: str, detail: dict, model: type[BaseModel]) -> FieldError:
    path = ".".join(str(part) for part in detail["loc"])
    if detail["type"] == "extra_forbidden":
        return FieldError(source, path, _unknown_field(detail["loc"], model))
    if detail["type"] == "missing":
        return FieldError(source, path, "required field is missing")
    message = detail["msg"].removeprefix("Value error, ")
    return FieldError(source, path, f"{message} (got {detail['input']!r})")


def _unknown_field(location: tuple, model: type[BaseModel]) -> str:
    known = _known_fields(location[:-1], model)
    near = difflib.get_close_matches(str(location[-1]), known, n=1)
    if near:
        return f"unknown field; did you mean {near[0]!r}?"
    return f"unknown field; known fields are {', '.join(sorted(known))}"


def _known_fields(location: tuple, model: type[BaseModel]) -> list[str]:
    current = model
    for part in location:
        field = current.model_fields.get(str(part))
        inner = field.annotation if field else None
        if not (isinstance(inner, type) and issubclass(inner, BaseModel)):
            break
        current = inner
    return list(current.model_fields)
