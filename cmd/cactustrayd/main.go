// Cactustrayd is the daemon. Its settings select the role: a balancer on an entry
// VM or an agent on a backend server, each in the variant with TLS identities or
// the variant for the packet protocol.
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

// heapGrowthPercent is the garbage collector's target (GOGC) of the packet roles.
// These processes have a few hundred KB of live heap. Memory is billed on their
// machines, and CPU time is to spare.
const heapGrowthPercent = 20

// EventSettingsRefused is logged when the settings file has changed to invalid
// settings; the daemon continues with the previous ones.
var EventSettingsRefused = event.Define(3006, logrus.WarnLevel, "changed settings refused")

// exitFailed is the exit code of a daemon that failed to start or stopped on an
// error.
const exitFailed = 1

type options struct {
	Settings string `arg:"" optional:"" help:"JSON file with the settings; the default is the file named by CACTUSTRAY_SETTINGS."`
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

// settingsVariable is the environment variable with the path of the settings file,
// used if the command line has none.
const settingsVariable = "CACTUSTRAY_SETTINGS"

const description = `Layer-4 load balancer daemon. Its settings say whether it is a balancer or an agent.
SIGTERM starts a planned stop. docs/OPERATIONS.md describes how to run it.`

// report writes why the daemon ended to standard error: plain lines for invalid
// settings, which an operator can correct, else a log line with the error's stack.
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
	if s.Role.IsPacketRole() {
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

// runPackets runs a packet role, whose packet format and registry are the
// platform's, and applies changes of the settings file while it runs.
func runPackets(ctx context.Context, file string, s *settings.Settings, log *event.Log) error {
	debug.SetGCPercent(heapGrowthPercent)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	changes := make(chan *settings.Settings, 1)
	onError := func(err error) { log.Emit(EventSettingsRefused, event.Fields{"cause": err.Error()}) }
	running, stop := context.WithCancel(ctx)
	defer stop()
	group, groupCtx := errgroup.WithContext(running)
	onChange := func(s *settings.Settings) {
		select {
		case changes <- s:
		case <-groupCtx.Done():
		}
	}
	group.Go(func() error { return settings.Watch(groupCtx, file, signals, onChange, onError) })
	group.Go(func() error {
		defer stop()
		return runPacketRole(ctx, s, changes, log)
	})
	return group.Wait()
}

func runPacketRole(ctx context.Context, s *settings.Settings, changes <-chan *settings.Settings, log *event.Log) error {
	if s.Role == settings.PacketAgent {
		return packetagent.Run(ctx, s, changes, platform.PacketCodec{}, log)
	}
	onRefused := func(key string, cause error) {
		log.Emit(packetbalancer.EventEntryRefused, event.Fields{"key": key, "cause": cause.Error()})
	}
	store := platform.NewStore(s.Packets.Registry, onRefused)
	return packetbalancer.Run(ctx, s, changes, store, platform.PacketCodec{}, log)
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
