"""Entry point of `python -m monsoontack`."""

import sys

from monsoontack.cli.main import main

sys.exit(main())
