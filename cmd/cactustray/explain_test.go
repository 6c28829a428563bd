package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const explainLogs = `
some other program's line
{"event":3401,"flow":"a->s","level":"info","msg":"flow forwarded to another agent","node":"side-1","reason":"endpoint-busy","time":"2026-12-04T10:00:00.002Z"}
  12.5 front-1 {"event":3201,"flow":"a->s","level":"info","msg":"flow placed","node":"front-1","agent":"10.0.0.1:7","time":"2026-12-04T10:00:00.001Z"}
{"event":3501,"flow":"a->s","msg":"request answered","node":"side-2","request":"r1","took_ms":14,"time":"2026-12-04T10:00:00.020Z"}
{"event":3501,"flow":"a->s","msg":"request answered","node":"side-2","request":"r2","took_ms":15,"time":"2026-12-04T10:00:01Z"}
{"event":3201,"flow":"b->s","msg":"flow placed","node":"front-1","time":"2026-12-04T10:00:00Z"}
{"event":3501,"flow":"a->s","msg":"cut sho
`

// explainAll runs the command explain on explainLogs and returns its output and
// exit code.
func explainAll(t *testing.T, id string, flags ...string) (string, int) {
	file := filepath.Join(t.TempDir(), "nodes.log")
	must.NoError(t, os.WriteFile(file, []byte(explainLogs), 0o600))
	var out, failed strings.Builder
	code := run(append([]string{"explain", id, file}, flags...), &out, &failed)
	return out.String() + failed.String(), code
}

func TestExplain(t *testing.T) {
	t.Run("request", func(t *testing.T) {
		text, code := explainAll(t, "r1")
		must.EqOp(t, exitDone, code)
		placed, forwarded, answered := strings.Index(text, "3201"), strings.Index(text, "3401"), strings.Index(text, "3501")
		must.True(t, 0 < placed && placed < forwarded && forwarded < answered, must.Sprint(text))
		must.StrContains(t, text, "reason=endpoint-busy")
		must.StrNotContains(t, text, "r2")
		must.StrContains(t, text, "skipped: 3 lines")
	})
	t.Run("flow", func(t *testing.T) {
		text, _ := explainAll(t, "a->s", "--json")
		must.StrContains(t, text, `"request":"r2"`)
	})
	t.Run("unknown", func(t *testing.T) {
		text, code := explainAll(t, "r9")
		must.EqOp(t, exitFailure, code)
		must.StrContains(t, text, "no log line names r9")
		var unknown *UnknownIDError
		_, err := new(parsedLogs).explain("r9")
		must.True(t, errors.As(err, &unknown))
	})
}

// A line over the limit is skipped; those after it are read.
func TestExplainSkipsLinesOverTheLimit(t *testing.T) {
	logs := new(parsedLogs)
	in := `{"event":1,"node":"a","msg":"first"}` + "\n" + strings.Repeat("x", 3*maxLogLine) + "\n" + `{"event":2,"node":"a","msg":"last"}`
	must.NoError(t, logs.add(strings.NewReader(in)))
	must.Len(t, 2, logs.lines)
	must.EqOp(t, "last", logs.lines[1].Text)
	must.EqOp(t, 1, logs.skipped)
}
