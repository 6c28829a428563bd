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

// maxLogLine bounds one log line, in bytes; longer ones are passed over.
const maxLogLine = 1 << 20

type explainCommand struct {
	ID   string   `arg:"" help:"Request id, or a flow as the logs write it: CALLER->SERVICE."`
	Logs []string `arg:"" optional:"" help:"Files with the nodes' log lines; standard input without any."`
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

// story is what the logs tell of one request or flow.
type story struct {
	ID    string    `json:"id"`
	Flows []string  `json:"flows"`
	Lines []logLine `json:"lines"`
	// Unread counts lines that are no log line of a node.
	Unread int `json:"unread"`
	// Unplaced counts log lines whose time cannot be read.
	Unplaced int `json:"unplaced"`
}

// UnknownIDError reports an id that no log line names.
type UnknownIDError struct {
	ID     string
	Read   int
	Unread int
}

func (e *UnknownIDError) Error() string {
	return fmt.Sprintf("no log line names %s (%d log lines read, %d others passed over)", e.ID, e.Read, e.Unread)
}

// Run prints the timeline of a request or flow over all nodes.
func (c *explainCommand) Run(stdout io.Writer) error {
	reading := &logReading{}
	if len(c.Logs) == 0 {
		if err := reading.add(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range c.Logs {
		if err := reading.addFile(name); err != nil {
			return err
		}
	}
	s, err := reading.explain(c.ID)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(stdout).Encode(s)
	}
	s.print(stdout)
	return nil
}

// logReading is what was read of the logs.
type logReading struct {
	lines    []logLine
	unread   int
	unplaced int
}

func (r *logReading) addFile(name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return r.add(file)
}

func (r *logReading) add(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLogLine)
	for scanner.Scan() {
		r.line(scanner.Bytes())
	}
	return scanner.Err()
}

// line reads one line; whatever a collector wrote before the JSON is passed over.
func (r *logReading) line(raw []byte) {
	at := bytes.IndexByte(raw, '{')
	if at < 0 {
		r.unread++
		return
	}
	var fields map[string]any
	if err := json.Unmarshal(raw[at:], &fields); err != nil {
		r.unread++
		return
	}
	number, isEvent := fields["event"].(float64)
	node, hasNode := fields["node"].(string)
	if !isEvent || !hasNode {
		r.unread++
		return
	}
	l := logLine{Node: node, Event: int(number)}
	l.Text, _ = fields["msg"].(string)
	l.Flow, _ = fields["flow"].(string)
	l.Request, _ = fields["request"].(string)
	written, _ := fields["time"].(string)
	stamp, err := time.Parse(time.RFC3339Nano, written)
	if err != nil {
		r.unplaced++
	}
	l.Time = stamp
	for _, shown := range []string{"event", "node", "msg", "time", "level", "flow", "request"} {
		delete(fields, shown)
	}
	l.Fields = fields
	r.lines = append(r.lines, l)
}

// explain returns the lines of a request or flow, with those of the flows that
// carried it, by time.
func (r *logReading) explain(id string) (*story, error) {
	s := &story{ID: id, Unread: r.unread, Unplaced: r.unplaced}
	for _, l := range r.lines {
		if (l.Request == id || l.Flow == id) && l.Flow != "" && !slices.Contains(s.Flows, l.Flow) {
			s.Flows = append(s.Flows, l.Flow)
		}
	}
	for _, l := range r.lines {
		other := l.Request != "" && l.Request != id && !slices.Contains(s.Flows, id)
		if l.Request == id || slices.Contains(s.Flows, l.Flow) && !other {
			s.Lines = append(s.Lines, l)
		}
	}
	if len(s.Lines) == 0 {
		return nil, &UnknownIDError{ID: id, Read: len(r.lines), Unread: r.unread}
	}
	slices.SortStableFunc(s.Lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return s, nil
}

func (s *story) print(out io.Writer) {
	fmt.Fprintf(out, "%s, flow %s\n", s.ID, strings.Join(s.Flows, ", "))
	first := s.Lines[0].Time
	for _, l := range s.Lines {
		fmt.Fprintf(out, "%+9.1f ms  %-20s %d %s%s\n", float64(l.Time.Sub(first).Microseconds())/1000, l.Node, l.Event, l.Text, inputs(l))
	}
	if s.Unread > 0 || s.Unplaced > 0 {
		fmt.Fprintf(out, "passed over: %d lines that are no log lines of a node; %d have no time and stand first\n", s.Unread, s.Unplaced)
	}
	fmt.Fprintln(out, "times are those of each node's own clock")
}

// inputs writes what decided, in a fixed order.
func inputs(l logLine) string {
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
