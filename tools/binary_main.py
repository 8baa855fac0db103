"""Entry point of the single-file binary; imports modules from its own archive.

The binary is a zip archive that the VM's own Python runs, so it starts as a single
process, unpacks nothing and needs no disk space. Python's zip importer cannot load
extension modules. `ArchiveExtensionFinder` therefore copies each extension module
from the archive into an anonymous memory file, which the standard loader maps.
"""

import os
import sys
import zipfile
from importlib.machinery import EXTENSION_SUFFIXES, ExtensionFileLoader, ModuleSpec


class ArchiveExtensionFinder:
    """Meta path finder for extension modules in a zip archive."""

    def __init__(self, archive_path: str) -> None:
        self.archive_path = archive_path
        with zipfile.ZipFile(archive_path) as archive:
            self.names = {n for n in archive.namelist() if n.endswith(".so")}
        self.load_count = 0

    def find_spec(self, fullname, path=None, target=None) -> ModuleSpec | None:
        """Return the spec of extension module `fullname`, or None if it has no file."""
        module_path = fullname.replace(".", "/")
        for suffix in EXTENSION_SUFFIXES:
            if module_path + suffix in self.names:
                return self._make_spec(fullname, module_path + suffix)
        return None

    def _make_spec(self, fullname: str, member: str) -> ModuleSpec:
        with zipfile.ZipFile(self.archive_path) as archive:
            data = archive.read(member)
        descriptor = os.memfd_create(fullname)
        with os.fdopen(os.dup(descriptor), "wb") as memory_file:
            memory_file.write(data)
        # dlopen returns the library it loaded earlier from an equal path, and
        # descriptor numbers are reused; the added "./" makes each path unique.
        self.load_count += 1
        location = f"/proc/self/fd/{'./' * self.load_count}{descriptor}"
        loader = ClosingExtensionLoader(fullname, location, descriptor)
        return ModuleSpec(fullname, loader, origin=location)


class ClosingExtensionLoader(ExtensionFileLoader):
    """Loads an extension module and closes its memory file once it is mapped."""

    def __init__(self, name: str, path: str, descriptor: int) -> None:
        super().__init__(name, path)
        self.descriptor = descriptor

    def exec_module(self, module) -> None:
        """Initialise the module, then close its memory file."""
        super().exec_module(module)
        os.close(self.descriptor)


def run_command_line() -> int:
    """Install the finder and run the command line."""
    if sys.version_info[:2] != (3, 11):
        found = ".".join(map(str, sys.version_info[:2]))
        print(f"error: monsoontack needs Python 3.11, not {found}", file=sys.stderr)
        return 2
    sys.meta_path.insert(0, ArchiveExtensionFinder(sys.path[0]))
    from monsoontack.cli.main import main

    return main()


if __name__ == "__main__":
    sys.exit(run_command_line())
