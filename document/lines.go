package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// Lines returns the line in which the value of each JSON path ends or, if it is an object or
// a list, begins; paths are written as in Problem.Field. It returns what comes before the
// first syntax error.
func Lines(raw []byte) map[string]int {
	l := lines{raw: raw, in: json.NewDecoder(bytes.NewReader(raw)), at: make(map[string]int), line: 1}
	l.in.UseNumber()
	l.value("")
	return l.at
}

// LineAt returns the line of an offset in bytes.
func LineAt(raw []byte, offset int64) int {
	return 1 + bytes.Count(raw[:min(max(0, int(offset)), len(raw))], []byte("\n"))
}

// LineOf returns the line of a path, or of the nearest value around it that the document has.
func LineOf(at map[string]int, path string) int {
	for path != "" {
		if line, ok := at[path]; ok {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return max(1, at[""])
}

type lines struct {
	raw     []byte
	in      *json.Decoder
	at      map[string]int
	counted int64
	line    int
}

// value reads the value of a path and reports whether it is complete.
func (l *lines) value(path string) bool {
	token, err := l.in.Token()
	if err != nil {
		return false
	}
	offset := l.in.InputOffset()
	l.line += bytes.Count(l.raw[l.counted:offset], []byte("\n"))
	l.counted = offset
	l.at[path] = l.line
	switch token {
	case json.Delim('{'):
		for l.in.More() {
			name, err := l.in.Token()
			key, ok := name.(string)
			if err != nil || !ok || !l.value(joinLine(path, key)) {
				return false
			}
		}
		_, err = l.in.Token()
	case json.Delim('['):
		for i := 0; l.in.More(); i++ {
			if !l.value(fmt.Sprintf("%s[%d]", path, i)) {
				return false
			}
		}
		_, err = l.in.Token()
	}
	return err == nil
}

func joinLine(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
