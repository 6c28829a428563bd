package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cactustray/status"
	"cactustray/ticket"

	"github.com/shoenig/test/must"
)

func TestStatusText(t *testing.T) {
	balancer := status.Report{Node: "entry-1", Role: "balancer", Zone: "fd-1", State: "ready"}
	balancer.Cost = status.Cost{BytesPerSecond: 420, CoreShare: 0.002}
	balancer.Tickets = []status.InForce{{Service: "orders", Number: 7, Age: 3*time.Second + 1, Sealed: true}}
	agent := status.Report{Node: "orders-1", Role: "agent", Zone: "fd-2", State: "ready"}
	agent.Cost = status.Cost{BytesPerSecond: 9000, CoreShare: 0.001}
	agent.Tickets = []status.InForce{{Service: "orders", Number: 6, Conflicts: 2, Refused: "no\nJSON"}}
	fleet := status.Fleet{Answers: []status.Answer{
		{Address: "192.0.2.1:1", Report: &balancer},
		{Address: "192.0.2.2:1", Report: &agent},
		{Address: "192.0.2.3:1", Failure: &PublishError{Status: "x"}},
	}}
	var out bytes.Buffer
	must.NoError(t, writeStatus(&out, fleet.Lines()))
	must.EqOp(t, strings.TrimPrefix(`
NODE         ROLE      ZONE  STATE        SERVICE  TICKET  AGE  ACCEPTED  CONTROL     CORE       NOTE
entry-1      balancer  fd-1  ready        orders   7       3s   yes       0.4/7 KB/s  0.20/1.3%  -
orders-1     agent     fd-2  ready        orders   6       0s   no        9.0/7 KB/s  0.10/1.3%  behind; conflicts: 2; refused: no JSON; over budget
192.0.2.3:1  -         -     unreachable  -        -       -    -         -           -          publish to : the platform answered x
nodes: 3, unreachable: 1, behind: 1, conflicts: 1, refused: 1
`, "\n"), out.String())
}

func TestFlowsText(t *testing.T) {
	agent := &status.Report{Node: "orders-1", Role: "agent", Zone: "fd-2", Load: status.Load{Flows: 20, Requests: 3, Queued: 1}}
	var out bytes.Buffer
	known := status.KnownNode{Name: "orders-1", Service: "orders"}
	must.NoError(t, writeFlows(&out, []status.Answer{{Known: known, Report: agent}, {Known: status.KnownNode{Name: "orders-2", Service: "orders"}}}))
	must.EqOp(t, strings.TrimPrefix(`
NODE      ZONE  SERVICE  FLOWS  REQUESTS  QUEUED
orders-1  fd-2  orders   20     3         1
orders-2  -     orders   -      -         -
total                    20     3         1
`, "\n"), out.String())
}

func TestCheckResultText(t *testing.T) {
	var out bytes.Buffer
	result := checkResult{File: "t.json", Service: "orders", Number: 8, Compared: true, InForce: 7, Changes: []ticket.Change{
		{Action: ticket.Changed, Part: "limits.slots", Before: "2", After: "4"},
		{Action: ticket.Added, Part: "endpoint orders-9", After: "weight 50"},
	}}
	must.NoError(t, writeCheckResult(&out, result, false))
	must.EqOp(t, strings.TrimPrefix(`
ticket 8 for service orders: valid
changes against ticket 7 in force: 2
  changed  limits.slots       2 -> 4
  added    endpoint orders-9  weight 50
`, "\n"), out.String())
}

func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	invalid := filepath.Join(dir, "ticket.json")
	must.NoError(t, os.WriteFile(invalid, []byte(`{"number": 0}`), 0o600))
	cases := []struct {
		args []string
		code int
		text string
	}{
		{[]string{"ticket", "check", "../../docs/examples/ticket.json"}, exitDone, "ticket 42 for service orders: valid"},
		{[]string{"ticket", "check", invalid}, exitRefused, "service: \"\", allowed: a name"},
		{[]string{"ticket", "submit", invalid}, exitRefused, "refused"},
		{[]string{"settings", "check", invalid}, exitFailure, "number: "},
		{[]string{"status"}, exitFailure, "missing: --nodes, --cert, --key, --ca"},
		{[]string{"dance"}, exitFailure, "unexpected argument dance"},
		{[]string{"version"}, exitDone, "cactustray"},
	}
	for _, c := range cases {
		var out bytes.Buffer
		must.EqOp(t, c.code, run(c.args, &out, &out), must.Sprint(c.args, out.String()))
		must.StrContains(t, out.String(), c.text)
	}
}

// Flags come from the command line, else the environment, else a file.
func TestFlagSourcePrecedence(t *testing.T) {
	file := filepath.Join(t.TempDir(), "client.json")
	must.NoError(t, os.WriteFile(file, []byte(`{"nodes": ["192.0.2.1:1", "192.0.2.2:1"], "cert": "file.pem", "timeout": "7s"}`), 0o600))
	t.Setenv("CACTUSTRAY_CERT", "environment.pem")
	var c cli
	parser, err := newParser(&c, os.Stdout, os.Stderr)
	must.NoError(t, err)
	_, err = parser.Parse([]string{"status", "--config", file, "--key", "line.key"})
	must.NoError(t, err)
	must.Eq(t, []string{"192.0.2.1:1", "192.0.2.2:1"}, c.Status.Nodes)
	must.EqOp(t, "environment.pem", c.Status.Cert)
	must.EqOp(t, "line.key", c.Status.Key)
	must.EqOp(t, 7*time.Second, c.Status.Timeout)
}

func TestClientSettingsWithUnknownKeys(t *testing.T) {
	file := filepath.Join(t.TempDir(), "client.json")
	must.NoError(t, os.WriteFile(file, []byte(`{"certt": "a", "nodes": ["192.0.2.1:1"], "kee": "b", "ignore_unreachable": true}`), 0o600))
	var out bytes.Buffer
	must.EqOp(t, exitFailure, run([]string{"status", "--config", file}, &out, &out))
	must.StrContains(t, out.String(), "no such flag: certt, kee")
}
