#!/bin/sh
# Plays the case once; see claim.txt. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" && exec timeout -k 5 118 python3 case.py
