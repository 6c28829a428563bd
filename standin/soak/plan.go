// Package soak runs the real programs of the packet roles as separate processes and injects
// faults from outside: signals to processes; loss, delay, duplication, cuts and silence of
// datagrams and streams, which it forwards on the loopback; faults of the store and the
// endpoints, which are stand-ins. It checks what callers and endpoints observe.
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

// Kinds of faults; Host and Peer of a Fault are the machines that it hits.
const (
	// KillProcess ends a daemon by SIGKILL; it starts again after the fault's duration.
	KillProcess Kind = "kill-process"
	// StopProcess ends a daemon by SIGTERM, as a planned restart does.
	StopProcess Kind = "stop-process"
	// PauseProcess suspends a daemon by SIGSTOP and resumes it by SIGCONT.
	PauseProcess Kind = "pause-process"
	// KillAll ends all daemons by SIGKILL at once.
	KillAll Kind = "kill-all"
	// CutLink drops all datagrams between two machines, CutOneWay those from Host to Peer.
	CutLink   Kind = "cut-link"
	CutOneWay Kind = "cut-one-way"
	// NoisyLink drops, duplicates and delays some datagrams between two machines.
	NoisyLink Kind = "noisy-link"
	// CutCallers drops all datagrams from the callers to a balancer.
	CutCallers Kind = "cut-callers"
	// SilenceStore, ResetStore and SlowStore silence, reset or delay the streams between
	// a balancer and the store, or those of all balancers if Host is 0.
	SilenceStore Kind = "silence-store"
	ResetStore   Kind = "reset-store"
	SlowStore    Kind = "slow-store"
	// SilenceControl and ResetControl silence or reset the streams to a balancer's control
	// address, over which others fetch its directory.
	SilenceControl Kind = "silence-control"
	ResetControl   Kind = "reset-control"
	// ForgetHistory drops the store's history of changes, as a compaction does.
	ForgetHistory Kind = "forget-history"
	// RestoreStore restores the store from a copy that is as old as the fault's duration. What
	// it lost is written again soon after. Plans have it only if Size.Restores is set.
	RestoreStore Kind = "restore-store"
	// LapseEntry removes the entry of a running endpoint for the fault's duration.
	LapseEntry Kind = "lapse-entry"
	// CrashEndpoint ends an endpoint, which loses its flows; a new one starts at once.
	CrashEndpoint Kind = "crash-endpoint"
	// DarkenEndpoint makes an endpoint answer nothing, FillEndpoint makes it refuse new
	// flows.
	DarkenEndpoint Kind = "darken-endpoint"
	FillEndpoint   Kind = "fill-endpoint"
	// ReplaceEndpoint drains an endpoint and starts a new one at its address.
	ReplaceEndpoint Kind = "replace-endpoint"
	// ReuseAddress ends an endpoint and its agent; the address goes to another service, or
	// to a new endpoint of the same service if that would have too few left.
	ReuseAddress Kind = "reuse-address"
	// AddRoute and RemoveRoute add and remove the extra route in the desired state.
	AddRoute    Kind = "add-route"
	RemoveRoute Kind = "remove-route"
	// MoveRoute moves the moving route to the other service, KillBalancers ends all balancers
	// by SIGKILL at once. Plans have them only if Size.Moves is set.
	MoveRoute     Kind = "move-route"
	KillBalancers Kind = "kill-balancers"
	// EvacuateZone evacuates the remote failure domain and returns it to service after the
	// fault's duration. Plans have it only if Size.Evacuations is set.
	EvacuateZone Kind = "evacuate-zone"
)

// target is what a kind of fault hits.
type target int

const (
	noTarget target = iota
	anyDaemon
	balancer
	balancerOrAll
	endpoint
	balancerAndEndpoint
)

// kindProperties describe a kind of fault: what it hits, whether it is planned work, and its
// relative frequency in drawn plans.
type kindProperties struct {
	target  target
	planned bool
	weight  int
}

var kinds = map[Kind]kindProperties{
	KillProcess: {anyDaemon, false, 4}, StopProcess: {anyDaemon, true, 4}, PauseProcess: {anyDaemon, false, 3},
	KillAll: {noTarget, false, 1},
	CutLink: {balancerAndEndpoint, false, 3}, CutOneWay: {balancerAndEndpoint, false, 3},
	NoisyLink: {balancerAndEndpoint, false, 3}, CutCallers: {balancer, false, 2},
	SilenceStore: {balancerOrAll, false, 2}, ResetStore: {balancerOrAll, false, 2}, SlowStore: {balancerOrAll, false, 1},
	SilenceControl: {balancer, false, 1}, ResetControl: {balancer, false, 1},
	ForgetHistory: {noTarget, false, 2}, RestoreStore: {noTarget, false, 0}, LapseEntry: {endpoint, false, 2},
	CrashEndpoint: {endpoint, false, 2}, DarkenEndpoint: {endpoint, false, 2}, FillEndpoint: {endpoint, false, 1},
	ReplaceEndpoint: {endpoint, true, 3}, ReuseAddress: {endpoint, false, 1},
	AddRoute: {noTarget, true, 2}, RemoveRoute: {noTarget, true, 2},
	MoveRoute: {noTarget, true, 0}, KillBalancers: {noTarget, false, 0},
	EvacuateZone: {noTarget, true, 0},
}

// Planned reports whether the kind is planned work.
func (k Kind) Planned() bool { return kinds[k].planned }

// Fault is one fault of a plan. At counts from the start of the load, For is its duration;
// Host and Peer are 0 where the kind has none.
type Fault struct {
	Kind Kind          `json:"kind"`
	At   time.Duration `json:"at"`
	For  time.Duration `json:"for"`
	Host int           `json:"host,omitempty"`
	Peer int           `json:"peer,omitempty"`
}

// Plan is the deployment's size and the faults of a run. The same plan hits the same machines
// at the same times. Length is the time during which faults begin.
type Plan struct {
	Seed      uint64        `json:"seed"`
	Balancers int           `json:"balancers"`
	Endpoints int           `json:"endpoints"`
	Length    time.Duration `json:"length"`
	Faults    []Fault       `json:"faults"`
}

// Size is the size of a deployment and the length of its run.
type Size struct {
	Balancers, Endpoints int
	Length               time.Duration
	// PlannedOnly restricts the plan to planned work.
	PlannedOnly bool
	// Restores adds restores of the store to the plan, whose other faults stay as they are.
	Restores bool
	// Moves adds moves of a route to the plan, and restarts of balancers in turn and of agents;
	// unless PlannedOnly is set, also kills of all balancers.
	Moves bool
	// Evacuations moves two endpoints of each service to another failure domain, which the plan
	// evacuates now and then.
	Evacuations bool
}

const (
	// meanFaultInterval is the mean time between two faults or series, repeatPause the time
	// between two faults of a series.
	meanFaultInterval = 1200 * time.Millisecond
	repeatPause       = 700 * time.Millisecond
	// firstFaultAt leaves the feeds time to open.
	firstFaultAt = 500 * time.Millisecond
	// minFaultDuration and maxFaultDuration limit how long a fault lasts. drainTime is how
	// long an endpoint drains: longer than the maxDrainDelay in which it may get new flows.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
	drainTime        = maxDrainDelay + 2*time.Second
	restoreInterval  = 4 * time.Second
	// moveInterval is the mean time between two moves of the route, killBalancersInterval that
	// between two kills of all balancers, rollInterval that between two rounds of restarts of
	// all balancers, and rollPause the time between two restarts of a round.
	moveInterval          = 3 * time.Second
	killBalancersInterval = 6 * time.Second
	rollInterval          = 4 * time.Second
	rollPause             = 1200 * time.Millisecond
	// evacuationInterval is the time between the begins of two evacuations, evacuationTime how
	// long each lasts: longer than it may take to be in force.
	evacuationInterval = 12 * time.Second
	evacuationTime     = maxEvacuationDelay + 3*time.Second
	// seriesShare is the share of the faults that are repeated, as a series of two or three.
	seriesShare     = 0.3
	maxSeriesLength = 3
)

// Draw returns the random plan of a seed.
func Draw(seed uint64, size Size) Plan {
	random := rand.New(rand.NewPCG(seed, seed))
	plan := Plan{Seed: seed, Balancers: size.Balancers, Endpoints: size.Endpoints, Length: size.Length}
	choices := drawable(size.PlannedOnly)
	for at := firstFaultAt; at < size.Length; at += time.Duration(random.ExpFloat64() * float64(meanFaultInterval)) {
		fault := Fault{Kind: choices[random.IntN(len(choices))], At: at}
		fault.For = minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		if fault.Kind == ReplaceEndpoint {
			fault.For = drainTime
		}
		plan.chooseTargets(&fault, random)
		times := 1
		if random.Float64() < seriesShare {
			times = 2 + random.IntN(maxSeriesLength-1)
		}
		for i := range times {
			repeated := fault
			repeated.At += time.Duration(i) * repeatPause
			plan.Faults = append(plan.Faults, repeated)
		}
	}
	if size.Restores {
		plan.addRestores(seed)
	}
	if size.Moves {
		plan.addMoves(seed, size.PlannedOnly)
	}
	for at := firstFaultAt; size.Evacuations && at < size.Length; at += evacuationInterval {
		plan.Faults = append(plan.Faults, Fault{Kind: EvacuateZone, At: at, For: evacuationTime})
	}
	slices.SortStableFunc(plan.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

// addRestores adds a restore of the store in about every restoreInterval.
func (p *Plan) addRestores(seed uint64) {
	random := rand.New(rand.NewPCG(seed, uint64(len(p.Faults))))
	for at := firstFaultAt; at < p.Length; at += restoreInterval {
		begin := at + time.Duration(random.Int64N(int64(restoreInterval)))
		length := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		p.Faults = append(p.Faults, Fault{Kind: RestoreStore, At: begin, For: length})
	}
}

// addMoves adds moves of the moving route, and what may lose the balancers' knowledge of it:
// kills of all balancers, and restarts of balancers in turn, half of them while the route moves.
func (p *Plan) addMoves(seed uint64, plannedOnly bool) {
	random := rand.New(rand.NewPCG(seed, uint64(len(p.Faults))+1))
	each := func(interval time.Duration, add func(at time.Duration)) {
		for at := firstFaultAt; at < p.Length; at += interval {
			add(at + time.Duration(random.Int64N(int64(interval))))
		}
	}
	each(moveInterval, func(at time.Duration) { p.Faults = append(p.Faults, Fault{Kind: MoveRoute, At: at}) })
	each(rollInterval, func(at time.Duration) {
		for i, host := range random.Perm(p.Balancers) {
			stop := Fault{Kind: StopProcess, At: at + time.Duration(i)*rollPause, Host: packets.BalancerHost + host}
			p.Faults = append(p.Faults, stop)
			if random.IntN(2) == 0 {
				p.Faults = append(p.Faults, Fault{Kind: MoveRoute, At: stop.At + time.Duration(random.Int64N(int64(2*time.Second)))})
			}
		}
	})
	each(rollInterval/2, func(at time.Duration) {
		p.Faults = append(p.Faults, Fault{Kind: StopProcess, At: at, Host: packets.EndpointHost + random.IntN(p.Endpoints)})
	})
	if !plannedOnly {
		each(killBalancersInterval, func(at time.Duration) {
			p.Faults = append(p.Faults, Fault{Kind: KillBalancers, At: at, For: minFaultDuration})
		})
	}
}

// has reports whether the plan has faults of a kind.
func (p Plan) has(kind Kind) bool {
	return slices.ContainsFunc(p.Faults, func(f Fault) bool { return f.Kind == kind })
}

// moves reports whether the plan moves the moving route.
func (p Plan) moves() bool { return p.has(MoveRoute) }

// drawable returns the kinds that a plan may have, in a fixed order, each as often as its
// weight.
func drawable(plannedOnly bool) []Kind {
	var choices []Kind
	for kind, p := range kinds {
		if p.planned || !plannedOnly {
			for range p.weight {
				choices = append(choices, kind)
			}
		}
	}
	slices.Sort(choices)
	return choices
}

func (p Plan) chooseTargets(fault *Fault, random *rand.Rand) {
	balancerHost := packets.BalancerHost + random.IntN(p.Balancers)
	endpointHost := packets.EndpointHost + random.IntN(p.Endpoints)
	switch kinds[fault.Kind].target {
	case anyDaemon:
		fault.Host = balancerHost
		if random.IntN(2) == 0 {
			fault.Host = endpointHost
		}
	case balancer:
		fault.Host = balancerHost
	case balancerOrAll:
		if random.IntN(2) == 0 {
			fault.Host = balancerHost
		}
	case endpoint:
		fault.Host = endpointHost
	case balancerAndEndpoint:
		fault.Host, fault.Peer = balancerHost, endpointHost
		if random.IntN(2) == 0 {
			fault.Host, fault.Peer = endpointHost, balancerHost
		}
	}
}

// PlannedOnly reports whether the plan consists of planned work alone.
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
