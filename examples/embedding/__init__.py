"""Example of a program that embeds the coordination parts without the daemons."""
