"""Entry point of `python -m monsoontack.platform`."""

import signal

# The platform may send SIGHUP for changed settings while the libraries are still being
# imported, and the default action would end the process. The daemon installs its own
# handler later.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import sys  # noqa: E402

from monsoontack.platform.app import main  # noqa: E402

sys.exit(main())
