"""The arithmetic of the engine stand-in's model.

Every token depends on the context and on each layer that ran, in order, so that a
skipped, repeated or misplaced layer changes the answer.
"""

import hashlib

_DIGEST_BYTES = 8
_WORDS = (
    "turf field yard load lorry club green chalk marker school order stock quote note"
    " board north south early late cut roll lay seed water frost dawn term pallet"
).split()


def start_activation(model: str, version: str, context: str) -> bytes:
    """Return the activation that enters the first layer.

    :param context: prompt and emitted tokens.
    """
    text = f"{model}@{version}:{context}"
    return hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()


def run_layers(activation: bytes, first_layer: int, last_layer: int) -> bytes:
    """Run the layers of a half-open range."""
    for layer in range(first_layer, last_layer):
        activation = hashlib.blake2b(
            activation + layer.to_bytes(4, "big"), digest_size=_DIGEST_BYTES
        ).digest()
    return activation


def pick_token(activation: bytes) -> str:
    """Return the token that the last layer's activation stands for."""
    word = _WORDS[activation[0] % len(_WORDS)]
    return f"{word}{activation[1]:02x}"


def join_context(prompt: str, tokens: list[str]) -> str:
    """Return the context after some tokens."""
    return " ".join([prompt, *tokens])


def compute_answer(
    model: str, version: str, layers: int, prompt: str, max_tokens: int
) -> list[str]:
    """Return the answer that a correct pipeline gives."""
    tokens: list[str] = []
    for _ in range(max_tokens):
        context = join_context(prompt, tokens)
        activation = start_activation(model, version, context)
        tokens.append(pick_token(run_layers(activation, 0, layers)))
    return tokens
