#!/usr/bin/env bash
# Generates the Go code of the .proto files; needed only after one of them changes.
# Needs protoc; the plugins come from go.mod's tool list.
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin" google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
protoc --plugin="$bin/protoc-gen-go" --plugin="$bin/protoc-gen-connect-go" \
  --go_out=. --go_opt=paths=source_relative \
  --connect-go_out=. --connect-go_opt=paths=source_relative,simple \
  $(git ls-files -co --exclude-standard '*.proto')
