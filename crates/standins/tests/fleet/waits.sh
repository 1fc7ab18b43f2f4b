#!/bin/sh
# Stands in for a node that never becomes ready.
echo "started $1 $2" >&2
exec sleep 60
