package e2e

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"cactustray/standin/layout"
	"cactustray/standin/testcluster"
	"cactustray/ticket"

	"github.com/shoenig/test/must"
)

// The client's exit codes.
const (
	exitDone    = 0
	exitRefused = 2
	exitNotYet  = 3
)

// client runs the operators' client against one deployment.
type client struct {
	t       *testing.T
	cluster *testcluster.Cluster
	binary  string
}

func newClient(t *testing.T, cluster *testcluster.Cluster) *client {
	binary := filepath.Join(t.TempDir(), "cactustray")
	output, err := exec.Command("go", "build", "-o", binary, "cactustray/cmd/cactustray").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(output)))
	return &client{t: t, cluster: cluster, binary: binary}
}

// run runs the client with the address of one balancer only, from which it discovers
// the other nodes, and returns its output and exit code.
func (c *client) run(args ...string) (output string, code int) {
	command := exec.Command(c.binary, args...)
	command.Env = append(os.Environ(),
		"CACTUSTRAY_NODES="+c.cluster.Balancers[0].Control.String(),
		"CACTUSTRAY_CERT="+c.cluster.Operator.Certificate,
		"CACTUSTRAY_KEY="+c.cluster.Operator.Key,
		"CACTUSTRAY_CA="+c.cluster.Operator.CA,
		"CACTUSTRAY_PUBLISH=http://"+c.cluster.Deployment.Platform.String()+"/v1/kv/"+layout.Prefix+"tickets/{service}")
	raw, _ := command.CombinedOutput()
	return string(raw), command.ProcessState.ExitCode()
}

// writeTicket writes the ticket of the service orders, with a change, to a new file.
func (c *client) writeTicket(change func(*ticket.Ticket)) (file string) {
	next := *c.cluster.Tickets["orders"]
	change(&next)
	raw, err := json.Marshal(next)
	must.NoError(c.t, err)
	file = filepath.Join(c.t.TempDir(), "ticket.json")
	must.NoError(c.t, os.WriteFile(file, raw, 0o600))
	return file
}

// The client checks and submits a ticket, waits until all nodes have accepted it, and
// refuses conflicting and older tickets.
func TestClientSubmitsTicketAndReportsProgress(t *testing.T) {
	cluster := testcluster.Start(t, layout.Size{Balancers: 2, Services: []string{"orders"}, Backends: 2})
	c := newClient(t, cluster)
	second := c.writeTicket(func(tk *ticket.Ticket) {
		tk.Number = 2
		tk.Limits.Slots = 3
	})
	output, code := c.run("ticket", "check", second)
	must.EqOp(t, exitDone, code, must.Sprint(output))
	must.StrContains(t, output, "limits.slots  4 -> 3")
	output, code = c.run("ticket", "submit", "--deadline", testcluster.WaitTimeout.String(), second)
	must.EqOp(t, exitDone, code, must.Sprint(output))
	must.StrContains(t, output, "ticket 2 for service orders: in_force, accepted on 4 of 4 nodes")

	conflicting := c.writeTicket(func(tk *ticket.Ticket) {
		tk.Number = 2
		tk.Limits.Slots = 5
	})
	output, code = c.run("ticket", "submit", conflicting)
	must.EqOp(t, exitRefused, code, must.Sprint(output))
	must.StrContains(t, output, "in force with other content")
	older := c.writeTicket(func(*ticket.Ticket) {})
	output, code = c.run("ticket", "submit", older)
	must.EqOp(t, exitRefused, code, must.Sprint(output))

	output, code = c.run("status")
	must.EqOp(t, exitDone, code, must.Sprint(output))
	must.StrContains(t, output, "nodes: 4, unreachable: 0, behind: 0")
	output, code = c.run("flows")
	must.EqOp(t, exitDone, code, must.Sprint(output))
	must.StrContains(t, output, "orders-2")
}

// While one balancer is frozen, the client names it as unreachable and exits with
// exitNotYet, unless unreachable nodes are ignored.
func TestClientReportsUnreachableNodes(t *testing.T) {
	cluster := testcluster.Start(t, layout.Size{Balancers: 2, Services: []string{"orders"}, Backends: 1})
	c := newClient(t, cluster)
	cluster.Signal("entry-2", syscall.SIGSTOP)
	defer cluster.Signal("entry-2", syscall.SIGCONT)
	second := c.writeTicket(func(tk *ticket.Ticket) { tk.Number = 2 })
	output, code := c.run("ticket", "submit", "--timeout", "300ms", "--deadline", "1s", second)
	must.EqOp(t, exitNotYet, code, must.Sprint(output))
	must.StrContains(t, output, "entry-2: unreachable")
	output, code = c.run("status", "--timeout", "300ms", "--json")
	must.EqOp(t, exitDone, code, must.Sprint(output))
	must.EqOp(t, 1, strings.Count(output, `"state": "unreachable"`))
	output, code = c.run("ticket", "submit", "--timeout", "300ms", "--ignore-unreachable", "--deadline", testcluster.WaitTimeout.String(), second)
	must.EqOp(t, exitDone, code, must.Sprint(output))
}
