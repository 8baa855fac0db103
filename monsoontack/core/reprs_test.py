"""Checks which objects of the product have a representation that lists their fields."""

import dataclasses
import importlib
import pkgutil
import re
import unittest

import monsoontack

LIVE_TYPES = {"Callable", "Future", "Task", "Handle", "TimerHandle"}


def dataclasses_of_product() -> dict[str, type]:
    """Return all data classes of the product by their full names."""
    found = {}
    for module in pkgutil.walk_packages(monsoontack.__path__, "monsoontack."):
        if module.name.endswith(("_test", "__main__")):
            continue
        for item in vars(importlib.import_module(module.name)).values():
            if isinstance(item, type) and item.__module__ == module.name:
                if dataclasses.is_dataclass(item):
                    found[f"{module.name}.{item.__qualname__}"] = item
    return found


class RepresentationTest(unittest.TestCase):
    def test_only_records_of_values_list_their_fields(self):
        """Guards against a failed callback that fills the memory: the event loop
        formats the object of a bound method, which leads to all state of the process.
        """
        classes = dataclasses_of_product()
        self.assertGreater(len(classes), 300)
        mutable = {
            item.__name__
            for item in classes.values()
            if not item.__dataclass_params__.frozen
        }
        wrong = []
        for name, item in classes.items():
            if not item.__dataclass_params__.repr:
                continue
            types = " ".join(str(f.type) for f in dataclasses.fields(item) if f.repr)
            words = set(re.findall(r"\w+", types))
            if item.__name__ in mutable or words & (LIVE_TYPES | mutable):
                wrong.append(name)
        self.assertEqual([], wrong)


if __name__ == "__main__":
    unittest.main()
