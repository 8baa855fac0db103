"""Development tools: test runner and build steps."""
