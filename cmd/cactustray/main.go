// Cactustray is the operators' client. It checks tickets and settings, publishes
// tickets and waits until they are in force, and shows the status of the nodes.
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

Flags can also be set in a JSON file of flag names and values (/etc/cactustray/client.json,
~/.config/cactustray/client.json or the file named by --config) and in environment
variables. The command line takes precedence, then the environment, then the files.

Exit codes: 0 done or in force, 1 failure, 2 refused, 3 not yet in force.`

type cli struct {
	Config kong.ConfigFlag `help:"JSON file with values of flags." placeholder:"FILE"`
	Debug  bool            `help:"Show the stack of a failure."`

	Check       checkCommand                 `cmd:"" help:"Check a ticket or a desired state offline."`
	Ticket      ticketCommands               `cmd:"" help:"Check and submit tickets."`
	Status      statusCommand                `cmd:"" help:"Show the tickets in force on each node."`
	Flows       flowsCommand                 `cmd:"" help:"Show open flows and requests of each node."`
	Nodes       nodesCommand                 `cmd:"" help:"Show the status of nodes in the packet roles."`
	Explain     explainCommand               `cmd:"" help:"Show the timeline of one request or flow from the nodes' logs."`
	Settings    settingsCommands             `cmd:"" help:"Check a daemon's settings."`
	Version     versionCommand               `cmd:"" help:"Show the version."`
	Completions kongplete.InstallCompletions `cmd:"" help:"Print the commands that install shell completion."`
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

// helpWidth is the maximum line length of a help page, in characters.
const helpWidth = 100

// describe returns the text of an error, with its stack for --debug.
func describe(err error, debug bool) string {
	if debug {
		return eris.ToString(err, true)
	}
	return eris.Cause(err).Error()
}

// exitCodeOf returns the exit code that the error specifies, else exitFailure.
func exitCodeOf(err error) int {
	var coder interface{ ExitCode() int }
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	return exitFailure
}
