"""Size, parsing time and memory of the operators' document by its sections."""

from __future__ import annotations

import gc
import time
import tracemalloc

from processes import print_figure

from hibiscustiller.configuration import build_config, format_sections, parse_sections
from hibiscustiller.utils import hash_secret

ORGANISATIONS = 1400
SERVER_COUNTS = (300, 1200, 2400, 4800)
LAYERS = 80
STAGES = 8
KIB = 1024
# A document larger than this is refused.
LIMIT_BYTES = 900 * 1000


def make_sections(servers: int) -> dict[str, dict[str, str]]:
    """Return a document with the planned numbers of everything else."""
    sections = {
        "team platform": {"key_sha256": hash_secret("platform"), "owns": "*"},
        "class confirmations": {"rank": "0", "deadline": "5s"},
        "class quotes": {"rank": "1", "deadline": "15s"},
        "class overnight": {"rank": "2", "deadline": "1h", "preemptible": "true"},
    }
    for number in range(6):
        sections[f"model model-{number}"] = {"layers": str(LAYERS)}
    for number in range(ORGANISATIONS):
        sections[f"organisation organisation-{number}"] = {
            "key_sha256": hash_secret(f"key {number}"),
            "priority_class": ("confirmations", "quotes", "overnight")[number % 3],
            "weight": "1",
        }
    share = LAYERS // STAGES
    for number in range(servers):
        stage = number % STAGES
        sections[f"server server-{number}"] = {
            "address": f"10.0.{number // 250}.{number % 250}:8000",
            "failure_domain": f"domain-{number % 7}",
            "region": f"region-{number % 2}",
            "accelerator": f"kind-{number % 5}",
            "model": f"model-{number // STAGES % 6}",
            "first_layer": str(stage * share),
            "last_layer": str((stage + 1) * share),
            "token_time": "4ms",
        }
    return sections


def main() -> None:
    """Run the benchmark."""
    for servers in SERVER_COUNTS:
        text = format_sections(make_sections(servers))
        label = f"{servers} servers, {ORGANISATIONS} organisations"
        size = len(text.encode())
        print_figure(
            f"document, {label}",
            size / KIB,
            "KiB",
            LIMIT_BYTES / KIB,
            size / LIMIT_BYTES,
        )
        started = time.process_time()
        build_config(parse_sections(text, "benchmark"))
        seconds = time.process_time() - started
        print_figure(f"parsing, {label}", seconds * 1000, "ms")
        tracemalloc.start()
        sections = parse_sections(text, "benchmark")
        config = build_config(sections)
        _, peak = tracemalloc.get_traced_memory()
        gc.collect()
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        print_figure(f"memory held, {label}", held / KIB**2, "MiB")
        print_figure(f"memory while parsing, {label}", peak / KIB**2, "MiB")
        del sections, config


if __name__ == "__main__":
    main()
