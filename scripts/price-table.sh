#!/usr/bin/env bash
# Prints what each day loses, from the bench's reports of single days (the output of `fleetbench
# run`, one file per day): worth, the parts of credit, and the prices that are not zero.
# Usage: scripts/price-table.sh REPORT...
set -euo pipefail
for report in "$@"; do
  awk '
    /own\/srv/ { getline; printf "%s\n  worth %s, score %s, served %s\n", $1, $4, $3, $5 }
    /^worth / { sub(/ less prices/, ""); sub(/^worth [0-9.-]+ = /, ""); printf "  credit: %s\n", $0 }
    /^  -+[0-9]/ && $2 ~ /^-?[0-9.]+$/ && $1 + 0 != 0 { price = $1; $1 = $2 = ""; sub(/^ +/, ""); printf "  %8s %s\n", price, $0 }
    /^class / { classes = 1; next }
    classes && NF == 0 { classes = 0 }
    classes { printf "  %-14s credit %s, in aim %s of %s\n", $1, $8, $3, $2 }
  ' "$report"
done
