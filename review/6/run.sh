#!/usr/bin/env bash
exec "$(dirname "$0")/../common/run-case.sh" "$(dirname "$0")"
