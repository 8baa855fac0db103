"""Loading of JSON settings files; all errors in a file are reported together."""

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

    Return the model, or all errors found: an unreadable file, malformed JSON with its
    line and column, and every field that is unknown, missing or invalid.
    """
    try:
        document = json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        return _file_failure(path, "", f"cannot read the file: {error.strerror}")
    except UnicodeDecodeError:
        return _file_failure(path, "", "the file is not UTF-8 text")
    except json.JSONDecodeError as error:
        where = f"line {error.lineno} column {error.colno}"
        return _file_failure(path, "", f"malformed JSON at {where}: {error.msg}")
    return validate(str(path), document, model)


def validate(source: str, document: object, model: type[M]) -> Result[M, FieldErrors]:
    """Validate a decoded JSON document; `source` names it in error messages."""
    try:
        return Success(model.model_validate(document))
    except ValidationError as error:
        return Failure(
            FieldErrors(tuple(_field_error(source, e, model) for e in error.errors()))
        )


def _file_failure(path: Path, field: str, message: str) -> Failure:
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
    known_fields = _known_fields(location[:-1], model)
    suggestions = difflib.get_close_matches(str(location[-1]), known_fields, n=1)
    if suggestions:
        return f"unknown field; did you mean {suggestions[0]!r}?"
    return f"unknown field; known fields are {', '.join(sorted(known_fields))}"


def _known_fields(location: tuple, model: type[BaseModel]) -> list[str]:
    current_model = model
    for part in location:
        field = current_model.model_fields.get(str(part))
        annotation = field.annotation if field else None
        if not (isinstance(annotation, type) and issubclass(annotation, BaseModel)):
            break
        current_model = annotation
    return list(current_model.model_fields)
