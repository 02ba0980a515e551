"""Stand-ins for the backend servers and stores around kumquatrun."""
