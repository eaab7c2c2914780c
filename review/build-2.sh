#!/bin/bash
# Builds the programs of the cases 4 to 8. Each holds its stand-ins: clients, backend servers and the
# platform's store.
set -e
cd "$(dirname "$0")/.."
for n in 4 5 6 7 8; do
	go build -o "target/review-2/case-$n" "./review/$n"
done
