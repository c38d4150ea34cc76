"""An entry that speaks to the endpoints directly."""
