package identity

import (
	"context"
	"crypto/x509"
	"os"
	"time"

	"cactustray/event"

	"github.com/sirupsen/logrus"
)

// The identity's events; docs/EVENTS.md explains each.
var (
	EventReloaded     = event.Define(1701, logrus.InfoLevel, "identity reloaded")
	EventReloadFailed = event.Define(1702, logrus.WarnLevel, "identity not reloaded")
	EventCertEnding   = event.Define(1703, logrus.WarnLevel, "certificate near its end")
	EventCertExpired  = event.Define(1704, logrus.ErrorLevel, "certificate expired")
)

const (
	// watchInterval is how often the files are looked at for a change.
	watchInterval = time.Second
	// endingPart is the last part of a certificate's validity in which it
	// counts as near its end: one in endingPart.
	endingPart = 5
)

// Phase is where a certificate stands in its validity.
type Phase int

const (
	// Valid: the certificate is in use.
	Valid Phase = iota
	// Ending: it is in the last fifth of its validity.
	Ending
	// Expired: others refuse it.
	Expired
)

// phaseOf returns where a certificate stands.
func phaseOf(now time.Time, cert *x509.Certificate) Phase {
	left := cert.NotAfter.Sub(now)
	switch {
	case left <= 0:
		return Expired
	case left < cert.NotAfter.Sub(cert.NotBefore)/endingPart:
		return Ending
	}
	return Valid
}

// stamp tells one state of the files from another.
type stamp [3]struct {
	modified time.Time
	size     int64
}

func (f Files) stamp() stamp {
	var s stamp
	for i, file := range []string{f.Certificate, f.Key, f.CA} {
		if info, err := os.Stat(file); err == nil {
			s[i].modified = info.ModTime()
			s[i].size = info.Size()
		}
	}
	return s
}

// Watch reads the files anew when they change, until the context ends.
// Connections that stand go on; new handshakes use what was read last. Files
// that cannot be used leave the old identity in force.
func (i *Identity) Watch(ctx context.Context, log *event.Log) error {
	w := &watcher{identity: i, log: log, seen: i.files.stamp()}
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	w.reload() // the files may have changed since Load
	for {
		w.checkPhase(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			w.look()
		}
	}
}

type watcher struct {
	identity *Identity
	log      *event.Log
	seen     stamp
	phase    Phase
}

func (w *watcher) look() {
	now := w.identity.files.stamp()
	if now == w.seen {
		return
	}
	w.seen = now
	w.reload()
}

func (w *watcher) reload() {
	files := w.identity.files
	read, err := files.read()
	if err != nil {
		w.log.Emit(EventReloadFailed, event.Fields{"file": files.Certificate, "cause": err})
		return
	}
	before := w.identity.now.Swap(read)
	if before.cert.Leaf.Equal(read.cert.Leaf) && before.pool.Equal(read.pool) {
		return
	}
	w.phase = Valid
	w.log.Emit(EventReloaded, event.Fields{"file": files.Certificate, "until": read.cert.Leaf.NotAfter})
}

// checkPhase tells once a certificate that it is ending, and that it ended.
func (w *watcher) checkPhase(now time.Time) {
	leaf := w.identity.now.Load().cert.Leaf
	phase := phaseOf(now, leaf)
	if phase <= w.phase {
		return
	}
	w.phase = phase
	fields := event.Fields{"file": w.identity.files.Certificate, "until": leaf.NotAfter}
	if phase == Expired {
		w.log.Emit(EventCertExpired, fields)
		return
	}
	w.log.Emit(EventCertEnding, fields)
}
