"""Documents that come from outside, checked before anything uses them."""
