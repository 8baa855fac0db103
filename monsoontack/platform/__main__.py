"""Entry point of `python -m monsoontack.platform`."""

import sys

from monsoontack.platform.app import main

sys.exit(main())
