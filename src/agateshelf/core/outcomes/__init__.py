"""What is known of a request after each attempt."""
