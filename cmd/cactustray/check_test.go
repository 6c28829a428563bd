package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cactustray/check"

	"github.com/shoenig/test/must"
)

// Scripts rely on the exit codes of the command: 0 clean, 1 findings, 2 unreadable.
func TestCheckCommand(t *testing.T) {
	good, err := os.ReadFile("../../docs/examples/ticket.json")
	must.NoError(t, err)
	write := func(text string) string {
		file := filepath.Join(t.TempDir(), "f.json")
		must.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		return file
	}
	clean := write(string(good))
	bad := write(strings.Replace(string(good), `"limits": {`, `"limits": {"slot": 1, `, 1))
	must.NotEq(t, clean, bad)
	cases := []struct {
		args []string
		code int
		text string
	}{
		{[]string{clean}, exitDone, "no findings"},
		{[]string{clean, "--in-force", clean}, exitDone, "no difference"},
		{[]string{bad}, exitFindings, "limits.slot: refused"},
		{[]string{clean + ".missing"}, exitUnreadable, "no such file"},
		{[]string{write("{")}, exitUnreadable, "no JSON object"},
		{[]string{clean, "--in-force", write("{")}, exitUnreadable, "no JSON object"},
	}
	for _, c := range cases {
		var out, failed strings.Builder
		code := run(append([]string{"check"}, c.args...), &out, &failed)
		must.EqOp(t, c.code, code, must.Sprint(c.args, out.String(), failed.String()))
		must.StrContains(t, out.String()+failed.String(), c.text)
	}
	var out strings.Builder
	must.EqOp(t, exitFindings, run([]string{"check", "--json", bad}, &out, new(strings.Builder)))
	var result check.Result
	must.NoError(t, json.Unmarshal([]byte(out.String()), &result))
	must.EqOp(t, check.Ticket, result.Kind)
	must.EqOp(t, "limits.slot", result.Findings[0].Field)
	must.Positive(t, result.Findings[0].Line)
}
