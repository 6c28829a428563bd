package main

import (
	"io"
	"os"
	"slices"

	"github.com/alecthomas/kong"
)

// loadClientSettings reads a file of flag values; values of the environment
// replace it, where kong alone would let the file go first.
func loadClientSettings(file io.Reader) (kong.Resolver, error) {
	resolver, err := kong.JSON(file)
	if err != nil {
		return nil, err
	}
	return &environmentFirst{Resolver: resolver}, nil
}

type environmentFirst struct{ kong.Resolver }

// Resolve returns the file's value of a flag, or nothing when the environment
// has one.
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
