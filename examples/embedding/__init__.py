"""Example of a program that embeds the coordination components without the daemons."""
