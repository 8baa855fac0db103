"""What shows that servers are lost or back, and how much restarted ones may get."""
