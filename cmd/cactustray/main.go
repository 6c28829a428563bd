// Cactustray is the operators' client.
package main

import (
	"github.com/alecthomas/kong"
)

type cli struct {
	Ticket   ticketCommands   `cmd:"" help:"Check and follow tickets."`
	Status   statusCommand    `cmd:"" help:"Show which ticket is in force where."`
	Settings settingsCommands `cmd:"" help:"Check a daemon's settings."`
	Version  versionCommand   `cmd:"" help:"Show the version."`
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("cactustray"), kong.Description("Operators' client of the cactustray load balancer."))
	ctx.FatalIfErrorf(ctx.Run())
}
