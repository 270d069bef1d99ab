"""Control of engines by one lease holder."""
