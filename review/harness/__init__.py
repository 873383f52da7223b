"""Small stand-ins for the scripts of the review, with the standard library only."""
