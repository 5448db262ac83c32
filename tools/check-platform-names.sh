#!/usr/bin/env bash
# Fails if a name from the protocol of the machines platform occurs in src, apps, bench, standins or examples,
# or if the adapter in platform/ reaches 2500 lines.
set -euo pipefail
cd "$(dirname "$0")/.."
names='rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|kv-(events|list|move|handle|pin)|hold-(take|drop)|Kv-(Fetch|From)|expectedRev|apiKeys|maxAttempts"'
names+='|targetLatencyMs|gapAimMs|kvCapacity|tokenKvBytes|coldLeftMs|coldStartS"|coldPerS"|leaves_ms|zonePrices|spotPrice'
names+='|X-Guavafield-(Request-Id|Deadline-Ms|Model|Token-Counts|Prefix-Hash|Response-Seal|Tenant|Expect-Instance|Server-Load|Not-Executed'
names+='|Instance-Id|Cold-Ms|Request-Priority|Pin-Ms|Hold|Kv-Backup|Duty-Holder|Fencing-Token|Length-Hint|Expect-Version|Weights-Versions)'
if git ls-files --cached --others --exclude-standard src apps bench standins examples | grep -v '\.capnp\.' | xargs grep -nE "$names"; then
    echo "platform names: only platform/ may hold them" >&2
    exit 1
fi
lines=$(cat platform/*.cpp platform/*.hpp | wc -l)
if [ "$lines" -ge 2500 ]; then
    echo "platform names: the adapter has $lines lines, the limit is 2500" >&2
    exit 1
fi
echo "platform names: clean"
