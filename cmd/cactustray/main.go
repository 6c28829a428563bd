// Cactustray is the operators' client: it checks tickets and settings, hands
// tickets over and follows them, and shows how the nodes stand.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"
	"github.com/willabides/kongplete"
)

const description = `Operators' client of the cactustray load balancer.

Flags may also stand in a JSON file of flag names and values, /etc/cactustray/client.json
or ~/.config/cactustray/client.json or the one named by --config, and in environment
variables. The command line goes first, then the environment, then the files.

Exit codes: 0 done or in force, 1 failure, 2 refused, 3 not yet in force.`

type cli struct {
	Config kong.ConfigFlag `help:"JSON file with values of flags." placeholder:"FILE"`
	Debug  bool            `help:"Show where a failure came from."`

	Ticket      ticketCommands               `cmd:"" help:"Check tickets, hand them over and follow them."`
	Status      statusCommand                `cmd:"" help:"Show which ticket is in force where."`
	Flows       flowsCommand                 `cmd:"" help:"Show open flows and requests of each node."`
	Nodes       nodesCommand                 `cmd:"" help:"Show how nodes of the packet roles stand."`
	Explain     explainCommand               `cmd:"" help:"Show what the nodes' logs tell of one request or flow."`
	Settings    settingsCommands             `cmd:"" help:"Check a daemon's settings."`
	Version     versionCommand               `cmd:"" help:"Show the version."`
	Completions kongplete.InstallCompletions `cmd:"" help:"Print the lines that install completion in the shell."`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run runs one command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var c cli
	parser, err := newParser(&c, stdout, stderr)
	if err != nil {
		fmt.Fprintln(stderr, "cactustray:", err)
		return exitFailure
	}
	kongplete.Complete(parser)
	command, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(stderr, "cactustray: %v (see cactustray --help)\n", err)
		return exitFailure
	}
	command.BindTo(ctx, (*context.Context)(nil))
	command.BindTo(stdout, (*io.Writer)(nil))
	if err := eris.Wrap(command.Run(), command.Command()); err != nil {
		fmt.Fprintln(stderr, "cactustray:", describe(err, c.Debug))
		return exitCodeOf(err)
	}
	return exitDone
}

func newParser(c *cli, stdout, stderr io.Writer) (*kong.Kong, error) {
	return kong.New(c,
		kong.Name("cactustray"),
		kong.Description(description),
		kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: helpWidth}),
		kong.Configuration(loadClientSettings, "/etc/cactustray/client.json", "~/.config/cactustray/client.json"),
		kong.Writers(stdout, stderr),
	)
}

// helpWidth is the widest line of a help page, in characters.
const helpWidth = 100

func describe(err error, debug bool) string {
	if debug {
		return eris.ToString(err, true)
	}
	return eris.Cause(err).Error()
}

func exitCodeOf(err error) int {
	var coder interface{ ExitCode() int }
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	return exitFailure
}
