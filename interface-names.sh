#!/usr/bin/env bash
# Lists the names that other processes, files, operators and their tools rely
# on, read from the code and from the built commands. docs/INTERFACE-NAMES.md
# holds its output: a renamed identifier must not change it.
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin" ./cmd/... ./standin/cmd/standin

sources() { git ls-files -co --exclude-standard -- "$@" | sort; }
in_folder() { grep -E "^$1/[^/]+$"; }
product() { sources '*.go' | grep -vE '_test\.go$|\.pb\.go$|\.connect\.go$|^standin/'; }

echo "# protobuf: packages, services, methods, messages, fields and their numbers"
for file in $(sources '*.proto'); do
  echo "$file"
  sed -E 's,//.*,,' "$file" |
    grep -oE '^package [a-z0-9_.]+|^ *(service|message|enum|oneof) +[A-Za-z0-9_]+|rpc +[A-Za-z0-9_]+|([A-Za-z0-9_.<>,]+ )*[A-Za-z0-9_]+ += +[0-9]+' |
    sed -E 's/^ +//; s/ +/ /g; s/^/  /'
done

echo "# JSON keys in struct tags"
for folder in $(product | xargs -n 1 dirname | sort -u); do
  keys=$(product | in_folder "$folder" | xargs grep -ohE 'json:"[^"]+"' | sed -E 's/json:"([^",]*).*/\1/' | sort -u | paste -sd ' ' || true)
  [ -z "$keys" ] || echo "  $folder: $keys"
done

echo "# commands, arguments and flags"
commands() { # binary, words of the command so far...
  local name=$1 line sub
  shift
  "$bin/$name" "$@" --help 2>&1 | sed -n 's/^Usage: */  /p'
  "$bin/$name" "$@" --help 2>&1 | grep -oE '(-[a-z], +)?--[a-z][a-z-]*(=[^ ]+)?|\(\$[A-Z_]+\)' | sort -u | sed 's/^/    /'
  while read -r line; do
    for sub in $line; do commands "$name" "$@" "$sub"; done
  done < <("$bin/$name" "$@" --help 2>&1 | sed -n '/^Commands:/,/^$/p; /^Commands:/,$p' |
    awk -v depth=$# '/^  [a-z]/ && $(depth+1) ~ /^[a-z]/ {print $(depth+1)}' | sort -u)
}
for name in cactustray cactustrayd standin; do commands "$name"; done

echo "# environment variables"
sources '*.go' demo.sh | xargs grep -ohE '\b(CACTUSTRAY|MEASURED)_[A-Z_]+' | sort -u | sed 's/^/  /'

echo "# events: number, level, title"
for file in $(product); do
  grep -ohE 'event\.Define\([0-9]+, logrus\.[A-Za-z]+, "[^"]+"' "$file" || true
done | sed -E 's/event\.Define\(([0-9]+), logrus\.([A-Za-z]+)Level, (.*)/  \1 \2 \3/' | sort -n

echo "# strings without a space: headers, paths, outcomes, metric names, keys of log lines, texts of enumerations, key labels"
for folder in $(product | xargs -n 1 dirname | sort -u); do
  names=$(product | in_folder "$folder" | xargs sed -E 's,(^|[[:space:]])//.*,,' | grep -vE '^(import )?[[:space:]]*([a-z0-9]+ )?"[^"]*"$' |
    sed -E 's/`[^`]*`//g' | grep -oE '"([^" \\]|\\.)+"' | grep -E '[A-Za-z]' | grep -vE '%' | sort -u | paste -sd ' ' || true)
  [ -z "$names" ] || echo "  $folder: $names"
done

echo "# deploy files: names and keys"
for file in $(sources 'deploy/*.toml' 'deploy/*.json'); do
  echo "  $file: $(grep -oE '^\[[^]]+\]|^ *"[^"]+"|^[a-z_]+ =|\{\{[^}]+\}\}' "$file" | tr -d ' =' | sort -u | paste -sd ' ')"
done
echo "# settings and tickets as documented: keys"
for file in $(sources 'docs/examples/*.json'); do
  echo "  $file: $(grep -oE '"[^"]+":' "$file" | tr -d '":' | sort -u | paste -sd ' ')"
done
