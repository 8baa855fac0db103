"""Start of the single-file binary: imports from the archive that it stands in.

The binary is a zip archive that the VM's own Python runs, so it starts as one
process, unpacks nothing and needs no disk. Python's zip importer cannot load
extension modules; `ArchiveExtensionFinder` copies each one from the archive
into an anonymous memory file and lets the usual loader map that file.
"""

import os
import sys
import zipfile
from importlib.machinery import EXTENSION_SUFFIXES, ExtensionFileLoader, ModuleSpec


class ArchiveExtensionFinder:
    """Meta path finder for extension modules inside a zip archive."""

    def __init__(self, archive_path: str) -> None:
        self.archive_path = archive_path
        with zipfile.ZipFile(archive_path) as archive:
            self.names = {n for n in archive.namelist() if n.endswith(".so")}
        self.loaded = 0

    def find_spec(self, fullname, path=None, target=None) -> ModuleSpec | None:
        """Return a spec for `fullname` if the archive has an extension for it."""
        stem = fullname.replace(".", "/")
        for suffix in EXTENSION_SUFFIXES:
            if stem + suffix in self.names:
                return self._make_spec(fullname, stem + suffix)
        return None

    def _make_spec(self, fullname: str, member: str) -> ModuleSpec:
        with zipfile.ZipFile(self.archive_path) as archive:
            data = archive.read(member)
        handle = os.memfd_create(fullname)
        with os.fdopen(os.dup(handle), "wb") as memory_file:
            memory_file.write(data)
        # dlopen returns an earlier library when a path repeats, and descriptor
        # numbers do repeat; the added "./" keeps each path different.
        self.loaded += 1
        location = f"/proc/self/fd/{'./' * self.loaded}{handle}"
        loader = ClosingExtensionLoader(fullname, location, handle)
        return ModuleSpec(fullname, loader, origin=location)


class ClosingExtensionLoader(ExtensionFileLoader):
    """Closes the memory file once the module is mapped."""

    def __init__(self, name: str, path: str, handle: int) -> None:
        super().__init__(name, path)
        self.handle = handle

    def exec_module(self, module) -> None:
        """Initialise the module, then close its memory file."""
        super().exec_module(module)
        os.close(self.handle)


def run() -> int:
    """Install the finder and run the command line."""
    if sys.version_info[:2] != (3, 11):
        found = ".".join(map(str, sys.version_info[:2]))
        print(f"error: monsoontack needs Python 3.11, not {found}", file=sys.stderr)
        return 2
    sys.meta_path.insert(0, ArchiveExtensionFinder(sys.path[0]))
    from monsoontack.cli.main import main

    return main()


if __name__ == "__main__":
    sys.exit(run())
