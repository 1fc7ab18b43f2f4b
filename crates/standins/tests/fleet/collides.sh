#!/bin/sh
# Stands for a node whose port another process has taken.
echo "Address already in use (os error 98)" >&2
exit 1
