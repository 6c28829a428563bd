package platform

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"cactustray/control"
	"cactustray/membership"
	"cactustray/ticket"
)

const (
	// firstBackoff and lastBackoff bound the wait after a failed read.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 10 * time.Second
)

// Failed tells the control goroutine that the platform could not be read.
type Failed struct{ Cause error }

// Watch reads the platform until the context ends and brings what it reads to
// the control goroutine. Failed reads back off with jitter.
func Watch(ctx context.Context, reader *Reader, loop *control.Loop, random *rand.Rand) error {
	var after uint64
	backoff := firstBackoff
	for ctx.Err() == nil {
		pairs, index, err := reader.Read(ctx, after)
		if err != nil {
			after = 0
			loop.Offer(Failed{Cause: err})
			sleep(ctx, jitter(backoff, random))
			backoff = min(2*backoff, lastBackoff)
			continue
		}
		backoff = firstBackoff
		after = index
		if err := deliver(ctx, reader.Prefix(), pairs, loop); err != nil {
			return nil
		}
	}
	return nil
}

func deliver(ctx context.Context, prefix string, pairs []Pair, loop *control.Loop) error {
	offered := ticket.Offered{Source: ticket.FromPlatform}
	for _, pair := range pairs {
		key := strings.TrimPrefix(pair.Key, prefix)
		if key == VMKey {
			if err := loop.Send(ctx, members(pair.Value)); err != nil {
				return err
			}
			continue
		}
		service, ok := strings.CutPrefix(key, TicketPrefix)
		if !ok {
			continue
		}
		held, err := ticket.NewHeld(pair.Value, pair.ModifyIndex, false)
		if err != nil {
			offered.Refused = append(offered.Refused, ticket.Refused{Service: service, Cause: err})
			continue
		}
		offered.Held = append(offered.Held, held)
	}
	return loop.Send(ctx, offered)
}

func members(document []byte) membership.Listed {
	var vms []VM
	if err := json.Unmarshal(document, &vms); err != nil {
		return membership.Listed{Refused: err}
	}
	listed := membership.Listed{}
	for _, vm := range vms {
		listed.Nodes = append(listed.Nodes, membership.Node(vm))
	}
	return listed
}

func jitter(d time.Duration, random *rand.Rand) time.Duration {
	return d/2 + time.Duration(random.Int64N(int64(d)))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
