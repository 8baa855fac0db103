"""Entry point of `python -m monsoontack.platform`."""

import signal

# The platform may say that the settings changed while the libraries are still being
# imported; the default action would end the process. The daemon takes SIGHUP over.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import sys  # noqa: E402

from monsoontack.platform.app import main  # noqa: E402

sys.exit(main())
