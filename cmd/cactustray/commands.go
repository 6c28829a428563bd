package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"text/tabwriter"
	"time"

	"cactustray/control/rpc"
	"cactustray/identity"
	"cactustray/settings"
	"cactustray/status/statuspb"
	"cactustray/status/statuspb/statuspbconnect"
	"cactustray/ticket"
)

type ticketCommands struct {
	Check ticketCheckCommand `cmd:"" help:"Check a ticket's JSON file."`
}

type ticketCheckCommand struct {
	File string `arg:"" type:"existingfile" help:"The ticket."`
}

// Run checks a ticket and shows what it says.
func (c *ticketCheckCommand) Run() error {
	document, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	t, err := ticket.Parse(document)
	if err != nil {
		return err
	}
	fmt.Printf("ticket %d for service %s: valid, %d endpoints\n", t.Number, t.Service, len(t.Endpoints))
	return nil
}

type settingsCommands struct {
	Check settingsCheckCommand `cmd:"" help:"Check a daemon's settings file."`
}

type settingsCheckCommand struct {
	File string `arg:"" type:"existingfile" help:"The settings."`
}

// Run checks settings as the daemon does before it starts.
func (c *settingsCheckCommand) Run() error {
	if _, err := settings.Load(c.File); err != nil {
		return err
	}
	fmt.Println("settings are valid")
	return nil
}

type versionCommand struct{}

// Run prints the version the binary was built from.
func (*versionCommand) Run() error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	fmt.Println("cactustray", version)
	return nil
}

// identityFlags name the operator's certificate.
type identityFlags struct {
	Cert string `required:"" type:"existingfile" help:"Certificate, PEM."`
	Key  string `required:"" type:"existingfile" help:"Private key, PEM."`
	CA   string `required:"" type:"existingfile" help:"Authority of the nodes' certificates, PEM."`
}

type statusCommand struct {
	identityFlags
	Nodes   []string      `arg:"" help:"Control addresses of nodes, IP:port."`
	Timeout time.Duration `default:"5s" help:"Bound on each call."`
}

// Run prints one line for each service on each node.
func (c *statusCommand) Run() error {
	id, err := identity.Load(identity.Files{Certificate: c.Cert, Key: c.Key, CA: c.CA})
	if err != nil {
		return err
	}
	client := rpc.NewClient(id)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NODE\tROLE\tZONE\tSTATE\tSERVICE\tTICKET\tAGE")
	for _, node := range c.Nodes {
		ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
		response, err := statuspbconnect.NewStatusServiceClient(client, rpc.Base(node)).Status(ctx, &statuspb.StatusRequest{})
		cancel()
		if err != nil {
			fmt.Fprintf(table, "%s\t-\t-\tunreachable\t-\t-\t-\n", node)
			continue
		}
		printNode(table, response)
	}
	return table.Flush()
}

func printNode(table *tabwriter.Writer, r *statuspb.StatusResponse) {
	for _, t := range r.Tickets {
		age := (time.Duration(t.AgeMillis) * time.Millisecond).Round(time.Second)
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", r.Node, r.Role, r.Zone, r.State, t.Service, t.Number, age)
	}
}
