// Package soak runs the real programs of the packet roles as separate processes and
// breaks them from outside: processes by signals, datagrams and streams by links on
// the loopback that lose, delay, double, cut and silence them, the store and the
// endpoints by what their stand-ins do. It checks what callers and endpoints see.
package soak

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"cactustray/standin/packets"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults; Host and Peer of a Fault are those they hit.
const (
	// KillProcess ends a daemon by SIGKILL; it starts again after the fault's time.
	KillProcess Kind = "kill-process"
	// StopProcess ends it by SIGTERM, as planned.
	StopProcess Kind = "stop-process"
	// PauseProcess stops it by SIGSTOP.
	PauseProcess Kind = "pause-process"
	// KillAll ends all daemons by SIGKILL.
	KillAll Kind = "kill-all"
	// CutLink cuts all datagrams between two machines, CutOneWay those from Host.
	CutLink   Kind = "cut-link"
	CutOneWay Kind = "cut-one-way"
	// NoisyLink loses, doubles and delays datagrams between two machines.
	NoisyLink Kind = "noisy-link"
	// CutCallers cuts the callers from a balancer.
	CutCallers Kind = "cut-callers"
	// SilenceStore, ResetStore and SlowStore hit the streams between a balancer and
	// the store, or those of all balancers when Host is 0.
	SilenceStore Kind = "silence-store"
	ResetStore   Kind = "reset-store"
	SlowStore    Kind = "slow-store"
	// SilenceControl and ResetControl hit the streams that fetch a balancer's
	// directory.
	SilenceControl Kind = "silence-control"
	ResetControl   Kind = "reset-control"
	// ForgetHistory drops the store's history.
	ForgetHistory Kind = "forget-history"
	// LapseEntry removes the entry of an endpoint that lives.
	LapseEntry Kind = "lapse-entry"
	// CrashEndpoint loses an endpoint's flows; it starts again at once.
	CrashEndpoint Kind = "crash-endpoint"
	// DarkenEndpoint makes it silent, FillEndpoint makes it refuse new flows.
	DarkenEndpoint Kind = "darken-endpoint"
	FillEndpoint   Kind = "fill-endpoint"
	// ReplaceEndpoint drains an endpoint and starts a new one at its address.
	ReplaceEndpoint Kind = "replace-endpoint"
	// ReuseAddress ends an endpoint; its address goes to another service.
	ReuseAddress Kind = "reuse-address"
	// AddRoute and RemoveRoute change the desired state.
	AddRoute    Kind = "add-route"
	RemoveRoute Kind = "remove-route"
)

// target is what a kind hits.
type target int

const (
	nothing target = iota
	anyDaemon
	balancer
	balancerOrAll
	endpoint
	balancerAndEndpoint
)

// traits of a kind: what it hits, whether it is planned work, how likely it is.
type traits struct {
	target  target
	planned bool
	weight  int
}

var kinds = map[Kind]traits{
	KillProcess: {anyDaemon, false, 4}, StopProcess: {anyDaemon, true, 4}, PauseProcess: {anyDaemon, false, 3},
	KillAll: {nothing, false, 1},
	CutLink: {balancerAndEndpoint, false, 3}, CutOneWay: {balancerAndEndpoint, false, 3},
	NoisyLink: {balancerAndEndpoint, false, 3}, CutCallers: {balancer, false, 2},
	SilenceStore: {balancerOrAll, false, 2}, ResetStore: {balancerOrAll, false, 2}, SlowStore: {balancerOrAll, false, 1},
	SilenceControl: {balancer, false, 1}, ResetControl: {balancer, false, 1},
	ForgetHistory: {nothing, false, 2}, LapseEntry: {endpoint, false, 2},
	CrashEndpoint: {endpoint, false, 2}, DarkenEndpoint: {endpoint, false, 2}, FillEndpoint: {endpoint, false, 1},
	ReplaceEndpoint: {endpoint, true, 3}, ReuseAddress: {endpoint, false, 1},
	AddRoute: {nothing, true, 2}, RemoveRoute: {nothing, true, 2},
}

// Planned tells whether the kind is planned work.
func (k Kind) Planned() bool { return kinds[k].planned }

// Fault is one thing that goes wrong, at a time since the start of the load.
type Fault struct {
	Kind Kind          `json:"kind"`
	At   time.Duration `json:"at"`
	For  time.Duration `json:"for"`
	Host int           `json:"host,omitempty"`
	Peer int           `json:"peer,omitempty"`
}

// Plan is what a run does. The same plan hits the same machines at the same times.
type Plan struct {
	Seed      uint64        `json:"seed"`
	Balancers int           `json:"balancers"`
	Endpoints int           `json:"endpoints"`
	Length    time.Duration `json:"length"`
	Faults    []Fault       `json:"faults"`
}

// Size is how large a run is.
type Size struct {
	Balancers, Endpoints int
	Length               time.Duration
	// PlannedOnly leaves planned work alone.
	PlannedOnly bool
}

const (
	// faultEvery is the mean time between two faults, repeatPause that between those
	// of a series.
	faultEvery  = 1200 * time.Millisecond
	repeatPause = 700 * time.Millisecond
	// firstFault leaves time for feeds to open.
	firstFault = 500 * time.Millisecond
	// leastTime and mostTime bound how long a fault lasts, drainTime how long an
	// endpoint drains: longer than drained endpoints may get flows.
	leastTime = 300 * time.Millisecond
	mostTime  = 2500 * time.Millisecond
	drainTime = drainBound + 2*time.Second
	// seriesShare is the part of the faults that come in a series, of two or three.
	seriesShare = 0.3
	seriesMost  = 3
)

// Draw makes the plan of a seed.
func Draw(seed uint64, size Size) Plan {
	random := rand.New(rand.NewPCG(seed, seed))
	plan := Plan{Seed: seed, Balancers: size.Balancers, Endpoints: size.Endpoints, Length: size.Length}
	names := drawable(size.PlannedOnly)
	for at := firstFault; at < size.Length; at += time.Duration(random.ExpFloat64() * float64(faultEvery)) {
		fault := Fault{Kind: names[random.IntN(len(names))], At: at}
		fault.For = leastTime + time.Duration(random.Int64N(int64(mostTime-leastTime)))
		if fault.Kind == ReplaceEndpoint {
			fault.For = drainTime
		}
		plan.aim(&fault, random)
		times := 1
		if random.Float64() < seriesShare {
			times = 2 + random.IntN(seriesMost-1)
		}
		for i := range times {
			again := fault
			again.At += time.Duration(i) * repeatPause
			plan.Faults = append(plan.Faults, again)
		}
	}
	slices.SortStableFunc(plan.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

// drawable returns the kinds in a fixed order, each as often as its weight.
func drawable(plannedOnly bool) []Kind {
	var names []Kind
	for kind, t := range kinds {
		if t.planned || !plannedOnly {
			for range t.weight {
				names = append(names, kind)
			}
		}
	}
	slices.Sort(names)
	return names
}

func (p Plan) aim(fault *Fault, random *rand.Rand) {
	aBalancer := packets.BalancerHost + random.IntN(p.Balancers)
	anEndpoint := packets.EndpointHost + random.IntN(p.Endpoints)
	switch kinds[fault.Kind].target {
	case anyDaemon:
		fault.Host = aBalancer
		if random.IntN(2) == 0 {
			fault.Host = anEndpoint
		}
	case balancer:
		fault.Host = aBalancer
	case balancerOrAll:
		if random.IntN(2) == 0 {
			fault.Host = aBalancer
		}
	case endpoint:
		fault.Host = anEndpoint
	case balancerAndEndpoint:
		fault.Host, fault.Peer = aBalancer, anEndpoint
		if random.IntN(2) == 0 {
			fault.Host, fault.Peer = anEndpoint, aBalancer
		}
	}
}

// PlannedOnly tells whether the plan has nothing but planned work.
func (p Plan) PlannedOnly() bool {
	return !slices.ContainsFunc(p.Faults, func(f Fault) bool { return !f.Kind.Planned() })
}

// Save writes the plan to a file.
func (p Plan) Save(file string) error {
	raw, err := json.MarshalIndent(p, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, raw, 0o600)
}

// LoadPlan reads a plan from a file.
func LoadPlan(file string) (Plan, error) {
	var p Plan
	raw, err := os.ReadFile(file)
	if err != nil {
		return p, err
	}
	return p, json.Unmarshal(raw, &p)
}
