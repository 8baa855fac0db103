"""Measurements."""

import os

# grpcio reads this when it is imported; it would log each closed connection.
os.environ.setdefault("GRPC_VERBOSITY", "ERROR")
