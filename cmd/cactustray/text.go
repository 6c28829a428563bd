package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"cactustray/status"
	"cactustray/ticket"
)

const (
	// budgetBytesPerSecond is a node's budget for control traffic.
	budgetBytesPerSecond = 7000
	// budgetCoreShare is a node's CPU budget for control, as a share of one core.
	budgetCoreShare = 0.013
	columnGap       = 2
	absent          = "-"
	bytesPerKB      = 1000
	percent         = 100
)

func newTable(out io.Writer, header string) *tabwriter.Writer {
	table := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(table, header)
	return table
}

func writeJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// writeStatus writes one line for each node and service, then a summary.
func writeStatus(out io.Writer, lines []status.Line) error {
	table := newTable(out, "NODE\tROLE\tZONE\tSTATE\tSERVICE\tTICKET\tAGE\tACCEPTED\tCONTROL\tCORE\tNOTE")
	for _, line := range lines {
		fmt.Fprintln(table, strings.Join(statusColumns(line), "\t"))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(out, status.Summarise(lines))
	return err
}

func statusColumns(line status.Line) []string {
	report := line.Answer.Report
	if report == nil {
		role := cmp.Or(line.Answer.Known.Role, absent)
		return []string{line.Answer.Name(), role, absent, "unreachable", absent, absent, absent, absent, absent, absent, note(line)}
	}
	service, number, age, accepted := absent, absent, absent, absent
	if line.Service != "" {
		service = line.Service
		number = fmt.Sprint(line.Number)
		age = roundAge(line.Age).String()
		accepted = yesNo(line.Sealed)
	}
	return []string{
		report.Node, report.Role, report.Zone, report.State, service, number, age, accepted,
		controlText(report.Cost), coreText(report.Cost), note(line),
	}
}

func yesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}

// roundAge rounds an age to a precision useful to a reader.
func roundAge(age time.Duration) time.Duration {
	if age < time.Second {
		return age.Round(10 * time.Millisecond)
	}
	return age.Round(time.Second)
}

func controlText(c status.Cost) string {
	if c.BytesPerSecond == 0 {
		return absent
	}
	return fmt.Sprintf("%.1f/%d KB/s", c.BytesPerSecond/bytesPerKB, budgetBytesPerSecond/bytesPerKB)
}

func coreText(c status.Cost) string {
	if c.CoreShare == 0 {
		return absent
	}
	return fmt.Sprintf("%.2f/%.1f%%", c.CoreShare*percent, budgetCoreShare*percent)
}

func note(line status.Line) string {
	var notes []string
	add := func(ok bool, text string) {
		if ok {
			notes = append(notes, text)
		}
	}
	if line.Answer.Report == nil {
		return oneLine(fmt.Sprint(line.Answer.Failure))
	}
	cost := line.Answer.Report.Cost
	add(line.Service == "", "no ticket")
	add(line.Behind, "behind")
	add(line.Conflicting, "other content than elsewhere")
	add(line.Conflicts > 0, fmt.Sprintf("conflicts: %d", line.Conflicts))
	add(line.Refused != "", "refused: "+oneLine(line.Refused))
	add(cost.BytesPerSecond > budgetBytesPerSecond || cost.CoreShare > budgetCoreShare, "over budget")
	return cmp.Or(strings.Join(notes, "; "), absent)
}

func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

// writeFlows writes one line for each agent, then the totals.
func writeFlows(out io.Writer, answers []status.Answer) error {
	table := newTable(out, "NODE\tZONE\tSERVICE\tFLOWS\tREQUESTS\tQUEUED")
	var total status.Load
	for _, a := range answers {
		if a.Report == nil {
			fmt.Fprintf(table, "%s\t-\t%s\t-\t-\t-\n", a.Name(), a.Known.Service)
			continue
		}
		load := a.Report.Load
		total.Flows += load.Flows
		total.Requests += load.Requests
		total.Queued += load.Queued
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\n", a.Name(), a.Report.Zone, a.Service(), load.Flows, load.Requests, load.Queued)
	}
	fmt.Fprintf(table, "total\t\t\t%d\t%d\t%d\n", total.Flows, total.Requests, total.Queued)
	return table.Flush()
}

// writeCheckResult writes the result of a ticket check.
func writeCheckResult(out io.Writer, c checkResult, asJSON bool) error {
	if asJSON {
		return writeJSON(out, c)
	}
	for _, p := range c.Problems {
		fmt.Fprintf(out, "%s: %s\n", c.File, p)
	}
	if len(c.Problems) > 0 {
		return nil
	}
	fmt.Fprintf(out, "ticket %d for service %s: valid\n", c.Number, c.Service)
	if !c.Compared {
		return nil
	}
	if c.InForce == 0 {
		fmt.Fprintln(out, "no ticket is in force for the service")
	} else {
		fmt.Fprintf(out, "changes against ticket %d in force: %d\n", c.InForce, len(c.Changes))
	}
	return writeChanges(out, c.Changes)
}

func writeChanges(out io.Writer, changes []ticket.Change) error {
	table := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	for _, change := range changes {
		fmt.Fprintf(table, "  %s\t%s\t%s\n", change.Action, change.Part, transition(change))
	}
	return table.Flush()
}

func transition(c ticket.Change) string {
	switch c.Action {
	case ticket.Added:
		return c.After
	case ticket.Removed:
		return c.Before
	}
	return cmp.Or(c.Before, "none") + " -> " + cmp.Or(c.After, "none")
}

// writeSubmitResult writes the result of a submission.
func writeSubmitResult(out io.Writer, s submitResult, asJSON bool) error {
	if asJSON {
		return writeJSON(out, s)
	}
	if err := writeChanges(out, s.Changes); err != nil {
		return err
	}
	if s.Conflicts > 0 {
		fmt.Fprintf(out, "conflict: %d nodes saw other content under number %d; somebody else used it\n", s.Conflicts, s.Number)
	}
	if s.InForceAfter > 0 {
		fmt.Fprintf(out, "ticket %d for service %s: in force on %d of %d nodes after %s\n",
			s.Number, s.Service, s.Nodes, s.Nodes, s.InForceAfter.Round(time.Millisecond))
	}
	accepted := s.Nodes - len(s.Waiting)
	_, err := fmt.Fprintf(out, "ticket %d for service %s: %s, accepted on %d of %d nodes after %s\n",
		s.Number, s.Service, s.Verdict, accepted, s.Nodes, s.After.Round(10*time.Millisecond))
	return err
}
