#!/bin/sh
exec sh "$(dirname "$0")/../support-2/run-case.sh" "$(dirname "$0")"
