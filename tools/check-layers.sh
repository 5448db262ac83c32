#!/usr/bin/env bash
# Fails if a layer includes a higher layer, or if state or coordination include networking or RPC headers.
set -euo pipefail
cd "$(dirname "$0")/.."
status=0
forbid() {
    local folder=$1 pattern=$2
    if grep -rnE "#include [<\"]($pattern)" "src/guavafield/$folder" --include='*.hpp' --include='*.cpp'; then
        echo "layers: $folder must not include $pattern" >&2
        status=1
    fi
}
forbid state 'guavafield/(coordination|protocol|transport)/'
forbid state 'boost/(asio|beast)|capnp/|kj/'
forbid coordination 'guavafield/(protocol|transport)/'
forbid coordination 'boost/(asio|beast)|capnp/|kj/'
forbid protocol 'guavafield/transport/'
[ "$status" = 0 ] && echo "layers: clean"
exit "$status"
