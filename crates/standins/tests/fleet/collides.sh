#!/bin/sh
# Stands in for a node whose port is in use by another process.
echo "Address already in use (os error 98)" >&2
exit 1
