"""Model engines over HTTP, in the OpenAI shape."""
