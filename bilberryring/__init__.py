"""A serving layer for model endpoints whose prompts differ greatly in length."""
