#!/bin/sh
# Lays what the bench wants beside the site files: the names on the sockets, the simulator's wire and the unlocked
# days, from the folder given or the kit's own. git ignores them.
set -eu
cd "$(dirname "$0")"
from=${1:-../../../given/kit/sites}
for name in real.json wire.json unlock.txt; do
    cp "$from/$name" "$name"
done
