// Cactustrayd is the daemon: a balancer on an entry VM, or an agent beside a
// backend server, as its settings say.
package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"cactustray/agent"
	"cactustray/balancer"
	"cactustray/event"
	"cactustray/identity"
	"cactustray/packetagent"
	"cactustray/packetbalancer"
	"cactustray/platform"
	"cactustray/settings"
	"cactustray/steering"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

// heapGrowth is how far the heap of a packet role grows before it is collected,
// in percent: these processes hold some hundred KB, and their machines have
// memory that is billed and time to spare.
const heapGrowth = 20

// EventSettingsRefused is logged for changed settings that cannot be used.
var EventSettingsRefused = event.Define(3006, logrus.WarnLevel, "changed settings refused")

// exitFailed is the exit code of a daemon that could not start or go on.
const exitFailed = 1

type options struct {
	Settings string `arg:"" optional:"" help:"JSON file with the settings; without it the file that CACTUSTRAY_SETTINGS names."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("cactustrayd"), kong.Description(description), kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, cmp.Or(o.Settings, os.Getenv(settingsVariable))); err != nil {
		report(err)
		os.Exit(exitFailed)
	}
}

// settingsVariable names the settings file where no argument does.
const settingsVariable = "CACTUSTRAY_SETTINGS"

const description = `Layer-4 load balancer daemon. Its settings say whether it is a balancer or an agent.
SIGTERM stops it as planned. docs/OPERATIONS.md tells how to run it.`

// report writes why the daemon ended: plain lines for settings that an
// operator mends, else a log line with the stack of the failure.
func report(err error) {
	var check *settings.CheckError
	if errors.As(err, &check) {
		fmt.Fprintln(os.Stderr, check)
		return
	}
	logger := newLogger("", os.Stderr)
	logger.WithField("stack", eris.ToJSON(err, true)).Error(eris.Cause(err))
}

func run(ctx context.Context, file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return eris.Wrap(err, "settings")
	}
	queue := event.NewQueue(os.Stdout)
	defer queue.Close()
	log := event.NewLog(newLogger(s.LogLevel, queue), s.Node)
	if s.Role.Packets() {
		return eris.Wrap(runPackets(ctx, file, s, log), "packets")
	}
	id, err := identity.Load(identity.Files(s.TLS))
	if err != nil {
		return eris.Wrap(err, "identity")
	}
	sealer, err := newSealer(s.Keys)
	if err != nil {
		return eris.Wrap(err, "keys")
	}
	if s.Role == settings.Agent {
		return eris.Wrap(agent.Run(ctx, s, sealer, id, log), "agent")
	}
	return eris.Wrap(balancer.Run(ctx, s, sealer, id, log), "balancer")
}

// runPackets runs a role whose packets and registry are the platform's, and
// follows the settings file meanwhile.
func runPackets(ctx context.Context, file string, s *settings.Settings, log *event.Log) error {
	debug.SetGCPercent(heapGrowth)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	changes := make(chan *settings.Settings, 1)
	failed := func(err error) { log.Emit(EventSettingsRefused, event.Fields{"cause": err.Error()}) }
	followed, stop := context.WithCancel(ctx)
	defer stop()
	group, running := errgroup.WithContext(followed)
	changed := func(s *settings.Settings) {
		select {
		case changes <- s:
		case <-running.Done():
		}
	}
	group.Go(func() error { return settings.Follow(running, file, signals, changed, failed) })
	group.Go(func() error {
		defer stop()
		return runPacketRole(ctx, s, changes, log)
	})
	return group.Wait()
}

func runPacketRole(ctx context.Context, s *settings.Settings, changes <-chan *settings.Settings, log *event.Log) error {
	if s.Role == settings.PacketAgent {
		return packetagent.Run(ctx, s, changes, platform.Header{}, log)
	}
	refuse := func(key string, cause error) {
		log.Emit(packetbalancer.EventEntryRefused, event.Fields{"key": key, "cause": cause.Error()})
	}
	store := platform.NewStore(s.Packets.Registry, refuse)
	return packetbalancer.Run(ctx, s, changes, store, platform.Header{}, log)
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

func newLogger(level string, out io.Writer) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	if parsed, err := logrus.ParseLevel(level); err == nil {
		logger.SetLevel(parsed)
	}
	return logger
}
