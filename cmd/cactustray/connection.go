package main

import (
	"strings"
	"time"

	"cactustray/control/rpc"
	"cactustray/identity"
	"cactustray/status/survey"
)

// connectionFlags are the flags with the nodes to query and the operator's
// certificate.
type connectionFlags struct {
	Nodes   []string      `short:"n" env:"CACTUSTRAY_NODES" placeholder:"IP:PORT" help:"Control addresses; one balancer is enough, it knows the other nodes."`
	Cert    string        `env:"CACTUSTRAY_CERT" placeholder:"FILE" help:"The operator's certificate, PEM."`
	Key     string        `env:"CACTUSTRAY_KEY" placeholder:"FILE" help:"The operator's private key, PEM."`
	CA      string        `name:"ca" env:"CACTUSTRAY_CA" placeholder:"FILE" help:"Authority of the nodes' certificates, PEM."`
	Timeout time.Duration `default:"5s" help:"Timeout of each call."`
}

// MissingFlagsError reports required flags that are not set.
type MissingFlagsError struct{ Flags []string }

func (e *MissingFlagsError) Error() string {
	return "missing: " + strings.Join(e.Flags, ", ") + " (flag, environment or client settings)"
}

// hasNodes reports whether any node is given.
func (c *connectionFlags) hasNodes() bool { return len(c.Nodes) > 0 }

// surveyor returns a client that queries the nodes with the operator's certificate.
// It fails with *MissingFlagsError or *identity.FileError.
func (c *connectionFlags) surveyor() (*survey.Surveyor, error) {
	if missing := c.missing(); len(missing) > 0 {
		return nil, &MissingFlagsError{Flags: missing}
	}
	id, err := identity.Load(identity.Files{Certificate: c.Cert, Key: c.Key, CA: c.CA})
	if err != nil {
		return nil, err
	}
	return &survey.Surveyor{Client: rpc.NewClient(id), Timeout: c.Timeout}, nil
}

func (c *connectionFlags) missing() []string {
	var missing []string
	require := func(given bool, flag string) {
		if !given {
			missing = append(missing, flag)
		}
	}
	require(len(c.Nodes) > 0, "--nodes")
	require(c.Cert != "", "--cert")
	require(c.Key != "", "--key")
	require(c.CA != "", "--ca")
	return missing
}
