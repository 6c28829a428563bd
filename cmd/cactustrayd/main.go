// Cactustrayd is the daemon: a balancer on an entry VM, or an agent beside a
// backend server, as its settings say.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"cactustray/agent"
	"cactustray/balancer"
	"cactustray/event"
	"cactustray/identity"
	"cactustray/settings"
	"cactustray/steering"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"
)

// exitFailed is the exit code of a daemon that could not start or go on.
const exitFailed = 1

type options struct {
	Settings string `arg:"" type:"existingfile" help:"JSON file with the settings."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("cactustrayd"), kong.Description("Layer-4 load balancer daemon."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, o.Settings); err != nil {
		logrus.Error(err)
		os.Exit(exitFailed)
	}
}

func run(ctx context.Context, file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	id, err := identity.Load(identity.Files(s.TLS))
	if err != nil {
		return err
	}
	sealer, err := newSealer(s.Keys)
	if err != nil {
		return err
	}
	log := event.NewLog(newLogger(s.LogLevel), s.Node)
	if s.Role == settings.Agent {
		return agent.Run(ctx, s, sealer, id, log)
	}
	return balancer.Run(ctx, s, sealer, id, log)
}

func newSealer(keys []settings.Key) (*steering.Sealer, error) {
	var parsed []steering.Key
	for _, k := range keys {
		key, err := steering.ParseKey(k.ID, k.Secret)
		if err != nil {
			return nil, err
		}
		parsed = append(parsed, key)
	}
	return steering.NewSealer(parsed)
}

func newLogger(level string) *logrus.Logger {
	logger := logrus.New()
	logger.SetFormatter(&logrus.JSONFormatter{})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		logger.SetLevel(parsed)
	}
	return logger
}
