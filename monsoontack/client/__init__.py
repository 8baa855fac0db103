"""Python client that reconnects until the answer is whole."""
