#!/usr/bin/env bash
# Fails if a layer includes a higher layer, if state or coordination include networking or RPC headers, or if a folder of decisions
# or of connections includes one that is built on it.
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
request=guavafield/coordination/request
forbid coordination/request/limits "$request/(admission|health|placement|scheduler)/"
forbid coordination/request/placement "$request/(admission|scheduler)/"
forbid coordination/request/health "$request/(admission|scheduler)/"
forbid transport/http/upstreams 'guavafield/transport/http/(callers|forwarding|operators)/'
[ "$status" = 0 ] && echo "layers: clean"
exit "$status"
