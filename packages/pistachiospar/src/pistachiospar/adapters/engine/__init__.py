"""Model engines over HTTP with an OpenAI-compatible API."""
