package measure

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Row holds the results of every policy in one scenario of one service.
type Row struct {
	Service  string   `json:"service"`
	Scenario string   `json:"scenario"`
	Results  []Result `json:"results"`
}

// Report holds the results of one run of all measurements.
type Report struct {
	// Label describes the version that was measured.
	Label string `json:"label,omitempty"`
	Seed  uint64 `json:"seed"`
	// Seconds is the virtual length of the steady scenarios.
	Seconds float64       `json:"seconds"`
	Rows    []Row         `json:"rows"`
	Flows   []BrokenCount `json:"flows"`
	// Previous holds the reports loaded from the file, oldest first.
	Previous []Report `json:"-"`
}

// FileError reports a file of stored reports that could not be read or written.
type FileError struct {
	File  string
	Cause error
}

func (e *FileError) Error() string { return "stored reports " + e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// RunServices measures the named services, or all services if none is named.
func RunServices(seed uint64, length time.Duration, services []string) Report {
	r := Report{Seed: seed, Seconds: length.Seconds()}
	scenarios := []Scenario{Steady("steady", false, length), Steady("stragglers", true, length), PeakLoad()}
	for _, d := range Deployments() {
		if len(services) > 0 && !slices.Contains(services, d.Name) {
			continue
		}
		for _, s := range scenarios {
			r.Rows = append(r.Rows, Row{Service: d.Name, Scenario: s.Name, Results: Run(s, d, Policies(), seed)})
		}
		r.Flows = append(r.Flows, CountBrokenFlows(d)...)
	}
	return r
}

// Load reads the stored reports. It returns none if the file does not exist.
func Load(file string) ([]Report, error) {
	raw, err := os.ReadFile(file)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	var reports []Report
	if err := json.Unmarshal(raw, &reports); err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	return reports, nil
}

// Save writes the earlier reports and this one, under a label, to a file.
func (r Report) Save(file, label string) error {
	r.Label = label
	raw, err := json.MarshalIndent(append(r.Previous, r), "", " ")
	if err != nil {
		return &FileError{File: file, Cause: err}
	}
	if err := os.WriteFile(file, append(raw, '\n'), 0o644); err != nil {
		return &FileError{File: file, Cause: err}
	}
	return nil
}

// Text returns the report as aligned text.
func (r Report) Text() string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(&text, "seed %d, steady scenarios %.0f s\n", r.Seed, r.Seconds)
	fmt.Fprintln(w, "service\tscenario\tpolicy\tjobs\tin deadline\trefused\tlate\tfalse not-run\tmax/mean\tvariation\tp50 ms\tp99 ms\tp99.9 ms\thanded over\tmessages\t")
	for _, row := range r.Rows {
		for _, x := range row.Results {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.4f\t%.4f\t%d\t%d\t%.3f\t%.3f\t%.1f\t%.1f\t%.1f\t%d\t%d\t\n",
				row.Service, row.Scenario, x.Policy, x.Jobs, share(x.InDeadline, x.Jobs), share(x.Refused, x.Jobs), x.Late,
				x.FalseRefusals+x.Violations+x.Unanswered, x.MaxOverMean, x.Variation, x.ShortP50, x.ShortP99, x.ShortP999, x.HandedOver, x.Messages)
		}
	}
	_ = w.Flush()
	r.flowsText(&text)
	r.compareText(&text)
	return text.String()
}

func (r Report) flowsText(text *strings.Builder) {
	w := tabwriter.NewWriter(text, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\nservice\tplanned change\tflows\tbroken, hash only\tbroken, ours\tbroken, ideal\t")
	for _, b := range r.Flows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t0\t\n", b.Service, b.Change, b.Flows, b.Baseline, b.Ours)
	}
	_ = w.Flush()
}

// compareText appends the system's results beside those of the last stored report.
func (r Report) compareText(text *strings.Builder) {
	if len(r.Previous) == 0 {
		return
	}
	last := r.Previous[len(r.Previous)-1]
	w := tabwriter.NewWriter(text, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "\nours against %q\tscenario\tin deadline\tbefore\tmax/mean\tbefore\tp99 ms\tbefore\t\n", last.Label)
	for _, row := range r.Rows {
		before, ok := last.ours(row.Service, row.Scenario)
		if !ok {
			continue
		}
		now := row.ours()
		fmt.Fprintf(w, "%s\t%s\t%.4f\t%.4f\t%.3f\t%.3f\t%.1f\t%.1f\t\n", row.Service, row.Scenario,
			share(now.InDeadline, now.Jobs), share(before.InDeadline, before.Jobs),
			now.MaxOverMean, before.MaxOverMean, now.ShortP99, before.ShortP99)
	}
	_ = w.Flush()
}

// ours returns the result of the system's own policy: the third from the end, before the
// shared queue and the ideal bound.
func (r Row) ours() Result { return r.Results[len(r.Results)-3] }

func (r Report) ours(service, scenario string) (Result, bool) {
	for _, row := range r.Rows {
		if row.Service == service && row.Scenario == scenario {
			return row.ours(), true
		}
	}
	return Result{}, false
}

func share(part, whole int) float64 { return float64(part) / float64(max(1, whole)) }
