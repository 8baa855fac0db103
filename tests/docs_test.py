"""Tests that the documentation for operators agrees with the code."""

import ast
import json
import re
import tempfile
import unittest
from collections.abc import Iterator
from functools import cache
from pathlib import Path

from prometheus_client import Counter

from monsoontack.agent.core import METRICS_PREFIX as AGENT_PREFIX
from monsoontack.config import objects
from monsoontack.config.operator import check_files
from monsoontack.entry.daemon import METRICS_PREFIX as ENTRY_PREFIX
from monsoontack.gateway.metrics import GatewayMetrics
from monsoontack.ledger.answers import FOUND_RECORD_ERRORS, NOT_RUN_MESSAGES
from monsoontack.settings import models

ROOT = Path(__file__).resolve().parent.parent
OPERATOR_PAGES = ROOT / "docs" / "operators"
# Index of the error code among the arguments of each function that takes one.
CODE_ARGUMENT = {
    "RequestError": 1,
    "refuse": 1,
    "refuse_not_run": 0,
    "refuse_unknown": 0,
    "refuse_found": 0,
    "end_rest": 0,
    "_abandon": 1,
    "_end": 1,
    "Refusal": 0,
    "BackendFailure": 0,
    "OrderOutcome": 1,
    "_refusal": 2,
    "_attach_end": 2,
    "StreamEnd": 2,
    "DispatchResult": 2,
    "fail": 1,
}
ERROR_CODE_PATTERN = re.compile(r"^[a-z]+(_[a-z]+)*$")


@cache
def syntax_nodes() -> list[tuple[Path, ast.AST]]:
    return list(parse_source_files())


def parse_source_files() -> Iterator[tuple[Path, ast.AST]]:
    for path in sorted((ROOT / "monsoontack").rglob("*.py")):
        if not path.name.endswith("_test.py") and "proto" not in path.parts:
            for node in ast.walk(ast.parse(path.read_text())):
                yield path.relative_to(ROOT / "monsoontack"), node


def identifier_of(node: ast.AST) -> str:
    return getattr(node, "attr", getattr(node, "id", ""))


def possible_strings(node: ast.AST | None) -> list[str]:
    """Return the string constants to which an expression may evaluate.

    For example, `a or "b"` may evaluate to "b".
    """
    match node:
        case ast.Constant(value=str(text)):
            return [text]
        case ast.IfExp(body=first, orelse=second):
            return possible_strings(first) + possible_strings(second)
        case ast.BoolOp(values=parts):
            return [text for part in parts for text in possible_strings(part)]
    return []


def code_expressions(node: ast.AST) -> list[ast.AST]:
    if isinstance(node, ast.Assign) and identifier_of(node.targets[0]) == "code":
        return [node.value]
    if not isinstance(node, ast.Call):
        return []
    expressions = [keyword.value for keyword in node.keywords if keyword.arg == "code"]
    position = CODE_ARGUMENT.get(identifier_of(node.func))
    if position is not None:
        expressions += node.args[position : position + 1]
    return expressions


def error_codes_in_code() -> set[str]:
    codes = {
        c
        for _, n in syntax_nodes()
        for e in code_expressions(n)
        for c in possible_strings(e)
    }
    golden = (ROOT / "tests" / "golden" / "errors.txt").read_text()
    codes |= set(re.findall(r'"code": "(\w+)"', golden))
    return {
        c
        for c in codes | set(FOUND_RECORD_ERRORS) | set(NOT_RUN_MESSAGES)
        if ERROR_CODE_PATTERN.match(c)
    }


def statsd_pattern(prefix: str, argument: ast.AST) -> str:
    """Return a pattern for a metric's name on the page.

    The page has `<word>` in place of each variable part of the name.
    """
    parts = argument.values if isinstance(argument, ast.JoinedStr) else [argument]
    texts = [
        re.escape(p.value) if isinstance(p, ast.Constant) else r"<\w+>" for p in parts
    ]
    return f"`{re.escape(prefix)}\\.{''.join(texts)}`"


def statsd_patterns_in_code() -> set[str]:
    prefixes = {"agent": AGENT_PREFIX}
    return {
        statsd_pattern(prefixes.get(path.parts[0], ENTRY_PREFIX), n.args[0])
        for path, n in syntax_nodes()
        if isinstance(n, ast.Call)
        and identifier_of(n.func) in ("add", "gauge")
        and identifier_of(getattr(n.func, "value", None)) == "counters"
    }


def metrics_page_parts() -> tuple[str, str]:
    """Return the sections of the metrics page on statsd and on gateways."""
    page = (ROOT / "docs" / "metrics.md").read_text()
    statsd, _, gateway = page.partition("## Gateway")
    return statsd, gateway


def gateway_metric_names() -> set[str]:
    """Return the names and labels of all metrics that a gateway registers."""
    created = GatewayMetrics.create()
    names = set()
    for name in GatewayMetrics.__dataclass_fields__:
        metric = getattr(created, name)
        if name == "registry":
            continue
        base_name = next(iter(metric.describe())).name
        suffix = "_total" if isinstance(metric, Counter) else ""
        labels = ",".join(metric._labelnames)
        names.add(base_name + suffix + (f"{{{labels}}}" if labels else ""))
    return names


def json_blocks(page: str) -> list[str]:
    return re.findall(
        r"```json\n(.*?)```", (OPERATOR_PAGES / page).read_text(), re.DOTALL
    )


def format_default(field) -> str:
    if field.is_required():
        return "-"
    return f"`{json.dumps(field.get_default(call_default_factory=True))}`"


class DocsTest(unittest.TestCase):
    def test_scan_finds_known_names(self):
        """Guards against a scan that finds nothing, so that no other test can fail."""
        known = {"missing_key", "superseded", "write_budget", "late", "timeout"}
        self.assertLessEqual(known, error_codes_in_code())
        self.assertGreaterEqual(len(statsd_patterns_in_code()), 15)

    def test_every_error_code_is_explained(self):
        """Guards against an error code that the page does not explain."""
        page = (OPERATOR_PAGES / "errors.md").read_text()
        listed = set(re.findall(r"^\| `(\w+)` \|", page, re.MULTILINE))
        self.assertEqual(set(), error_codes_in_code() - listed)
        self.assertEqual(set(), listed - error_codes_in_code())

    def test_every_metric_is_listed(self):
        """Guards against a statsd metric that the page lacks."""
        page, _ = metrics_page_parts()
        used = sorted(statsd_patterns_in_code())
        self.assertEqual([], [p for p in used if not re.search(p, page)])
        listed = re.findall(r"^\| (`[^`]+`) \|", page, re.MULTILINE)
        outdated = [n for n in listed if not any(re.fullmatch(p, n) for p in used)]
        self.assertEqual([], outdated)

    def test_every_metric_of_a_gateway_is_listed(self):
        """Guards against a Prometheus metric or label that the page lacks."""
        _, page = metrics_page_parts()
        listed = set(
            re.findall(r"^\| `([a-z_]+(?:\{[a-z,]+\})?)` \|", page, re.MULTILINE)
        )
        self.assertEqual(gateway_metric_names(), listed)

    def test_object_examples_are_accepted(self):
        """Guards against examples that the command `check` refuses."""
        blocks = json_blocks("objects.md")
        self.assertGreaterEqual(len(blocks), 4)
        with tempfile.TemporaryDirectory() as folder:
            paths = [Path(folder) / f"{i}.json" for i in range(len(blocks))]
            for path, block in zip(paths, blocks, strict=True):
                path.write_text(block)
            base, *changes = paths
            self.assertEqual((), check_files([base]))
            for change in changes:
                self.assertEqual((), check_files([change], [base]), change.read_text())

    def test_every_field_is_listed_with_its_default(self):
        """Guards against settings and object fields that the pages lack."""
        pages = {
            "settings.md": [("", m) for m in vars(models).values()],
            "objects.md": [
                (f"| {kind} ", model.model_fields["spec"].annotation)
                for kind, model in objects.MODELS.items()
            ],
        }
        for page, models_of_page in pages.items():
            text = (OPERATOR_PAGES / page).read_text()
            for row_start, model in models_of_page:
                for name, field in getattr(model, "model_fields", {}).items():
                    row = f"{row_start}| `{name}` | {format_default(field)} |"
                    self.assertIn(row, text, page)


if __name__ == "__main__":
    unittest.main()
