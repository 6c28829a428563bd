package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

// maxLogLine is the length limit of a log line, in bytes. A longer line ends the
// command with an error.
const maxLogLine = 1 << 20

type explainCommand struct {
	ID   string   `arg:"" help:"Request id, or a flow as written in the logs: CALLER->SERVICE."`
	Logs []string `arg:"" optional:"" help:"Files with the nodes' log lines; standard input if none is given."`
	JSON bool     `help:"Write JSON." name:"json"`
}

// logLine is one log line of a node.
type logLine struct {
	Time    time.Time      `json:"time"`
	Node    string         `json:"node"`
	Event   int            `json:"event"`
	Text    string         `json:"text"`
	Flow    string         `json:"flow,omitempty"`
	Request string         `json:"request,omitempty"`
	Fields  map[string]any `json:"fields,omitempty"`
}

// timeline holds the log lines of one request or flow, ordered by time.
type timeline struct {
	ID    string    `json:"id"`
	Flows []string  `json:"flows"`
	Lines []logLine `json:"lines"`
	// Skipped counts lines that are not log lines of a node.
	Skipped int `json:"unread"`
	// NoTime counts log lines whose time cannot be parsed; they come first.
	NoTime int `json:"unplaced"`
}

// UnknownIDError reports an id that no log line has as its request or flow.
type UnknownIDError struct {
	ID      string
	Read    int
	Skipped int
}

func (e *UnknownIDError) Error() string {
	return fmt.Sprintf("no log line names %s (%d log lines read, %d other lines skipped)", e.ID, e.Read, e.Skipped)
}

// Run prints the timeline of a request or flow over all nodes.
func (c *explainCommand) Run(stdout io.Writer) error {
	logs := &parsedLogs{}
	if len(c.Logs) == 0 {
		if err := logs.add(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range c.Logs {
		if err := logs.addFile(name); err != nil {
			return err
		}
	}
	t, err := logs.explain(c.ID)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(stdout).Encode(t)
	}
	t.print(stdout)
	return nil
}

// parsedLogs holds the log lines read so far, and counts of the lines that are not
// log lines of a node or have no time.
type parsedLogs struct {
	lines   []logLine
	skipped int
	noTime  int
}

func (p *parsedLogs) addFile(name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return p.add(file)
}

func (p *parsedLogs) add(in io.Reader) error {
	reader := bufio.NewReaderSize(in, maxLogLine)
	for {
		line, more, err := reader.ReadLine()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if !more {
			p.parseLine(line)
			continue
		}
		p.skipped++ // longer than maxLogLine
		for more && err == nil {
			_, more, err = reader.ReadLine()
		}
	}
}

// parseLine parses one line. Text before the JSON object, which log collectors add, is
// ignored.
func (p *parsedLogs) parseLine(raw []byte) {
	at := bytes.IndexByte(raw, '{')
	if at < 0 {
		p.skipped++
		return
	}
	var fields map[string]any
	if err := json.Unmarshal(raw[at:], &fields); err != nil {
		p.skipped++
		return
	}
	number, isEvent := fields["event"].(float64)
	node, hasNode := fields["node"].(string)
	if !isEvent || !hasNode {
		p.skipped++
		return
	}
	l := logLine{Node: node, Event: int(number)}
	l.Text, _ = fields["msg"].(string)
	l.Flow, _ = fields["flow"].(string)
	l.Request, _ = fields["request"].(string)
	timestamp, _ := fields["time"].(string)
	parsed, err := time.Parse(time.RFC3339Nano, timestamp)
	if err != nil {
		p.noTime++
	}
	l.Time = parsed
	for _, key := range []string{"event", "node", "msg", "time", "level", "flow", "request"} {
		delete(fields, key)
	}
	l.Fields = fields
	p.lines = append(p.lines, l)
}

// explain returns the timeline of a request or flow. The timeline of a request
// includes the lines of the flows that carried it, except lines about other
// requests. It fails with *UnknownIDError.
func (p *parsedLogs) explain(id string) (*timeline, error) {
	t := &timeline{ID: id, Skipped: p.skipped, NoTime: p.noTime}
	for _, l := range p.lines {
		if (l.Request == id || l.Flow == id) && l.Flow != "" && !slices.Contains(t.Flows, l.Flow) {
			t.Flows = append(t.Flows, l.Flow)
		}
	}
	for _, l := range p.lines {
		otherRequest := l.Request != "" && l.Request != id && !slices.Contains(t.Flows, id)
		if l.Request == id || slices.Contains(t.Flows, l.Flow) && !otherRequest {
			t.Lines = append(t.Lines, l)
		}
	}
	if len(t.Lines) == 0 {
		return nil, &UnknownIDError{ID: id, Read: len(p.lines), Skipped: p.skipped}
	}
	slices.SortStableFunc(t.Lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return t, nil
}

func (t *timeline) print(out io.Writer) {
	fmt.Fprintf(out, "%s, flow %s\n", t.ID, strings.Join(t.Flows, ", "))
	first := t.Lines[0].Time
	for _, l := range t.Lines {
		fmt.Fprintf(out, "%+9.1f ms  %-20s %d %s%s\n", float64(l.Time.Sub(first).Microseconds())/1000, l.Node, l.Event, l.Text, formatFields(l))
	}
	if t.Skipped > 0 || t.NoTime > 0 {
		fmt.Fprintf(out, "skipped: %d lines that are not log lines of a node; %d log lines without a valid time come first\n", t.Skipped, t.NoTime)
	}
	fmt.Fprintln(out, "times are those of each node's own clock")
}

// formatFields formats the request and the remaining fields of a line, in
// alphabetical order.
func formatFields(l logLine) string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(a, b) })
	var b strings.Builder
	if l.Request != "" {
		fmt.Fprintf(&b, " request=%s", l.Request)
	}
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}
