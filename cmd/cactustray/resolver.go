package main

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/alecthomas/kong"
)

// loadClientSettings returns a resolver for a file of flag values in which
// environment variables take precedence; by default kong prefers the file.
func loadClientSettings(file io.Reader) (kong.Resolver, error) {
	text, err := io.ReadAll(file)
	if err != nil {
		return nil, err
	}
	resolver, err := kong.JSON(bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	var values map[string]json.RawMessage
	if err := json.Unmarshal(text, &values); err != nil {
		return nil, err
	}
	return &environmentFirst{Resolver: resolver, keys: slices.Sorted(maps.Keys(values))}, nil
}

// UnknownKeysError reports keys of the client settings that are not a flag of any
// command.
type UnknownKeysError struct{ Keys []string }

func (e *UnknownKeysError) Error() string {
	return "client settings: no such flag: " + strings.Join(e.Keys, ", ")
}

// environmentFirst resolves flags from a file, except those that the environment
// sets.
type environmentFirst struct {
	kong.Resolver
	keys []string
}

// Validate fails with *UnknownKeysError, which lists all unknown keys.
func (r *environmentFirst) Validate(app *kong.Application) error {
	known := make(map[string]bool)
	for _, leaf := range app.Leaves(false) {
		for _, group := range leaf.AllFlags(false) {
			for _, flag := range group {
				known[strings.ReplaceAll(flag.Name, "-", "_")] = true
			}
		}
	}
	unknown := slices.DeleteFunc(slices.Clone(r.keys), func(key string) bool { return known[key] })
	if len(unknown) > 0 {
		return &UnknownKeysError{Keys: unknown}
	}
	return nil
}

// Resolve returns the file's value of a flag, or nil if the environment sets the
// flag.
func (r *environmentFirst) Resolve(ctx *kong.Context, parent *kong.Path, flag *kong.Flag) (any, error) {
	inEnvironment := func(name string) bool {
		_, set := os.LookupEnv(name)
		return set
	}
	if slices.ContainsFunc(flag.Envs, inEnvironment) {
		return nil, nil
	}
	return r.Resolver.Resolve(ctx, parent, flag)
}
