package frontend

import (
	"net/http"
	"strings"

	"cactustray/admission"
	"cactustray/ticket"
)

const (
	// witnessHeader names an agent that passed a keyed request on, and what
	// it knew of the key before.
	witnessHeader = "Cactustray-Witness"
	knownMark     = ";known"
	freshMark     = ";fresh"
)

// witness is an agent that passed a keyed request on.
type witness struct {
	name   string
	memory admission.Memory
}

func formatWitness(w witness) string {
	text := w.name
	if w.memory.Known {
		text += knownMark
	}
	if w.memory.Fresh {
		text += freshMark
	}
	return text
}

// takeWitnesses reads the witnesses of a request and takes them off it.
func takeWitnesses(r *http.Request, service string) map[ticket.EndpointKey]admission.Memory {
	witnesses := make(map[ticket.EndpointKey]admission.Memory)
	for _, text := range r.Header.Values(witnessHeader) {
		name, marks, _ := strings.Cut(text, ";")
		marks = ";" + marks
		witnesses[ticket.EndpointKeyOf(service, name)] = admission.Memory{
			Known: strings.Contains(marks, knownMark),
			Fresh: strings.Contains(marks, freshMark),
		}
	}
	r.Header.Del(witnessHeader)
	return witnesses
}
