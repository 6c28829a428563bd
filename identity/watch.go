package identity

import (
	"context"
	"crypto/x509"
	"os"
	"time"

	"cactustray/event"

	"github.com/sirupsen/logrus"
)

// The events of identities; docs/EVENTS.md explains each.
var (
	EventReloaded     = event.Define(1701, logrus.InfoLevel, "identity reloaded")
	EventReloadFailed = event.Define(1702, logrus.WarnLevel, "identity reload failed")
	EventCertExpiring = event.Define(1703, logrus.WarnLevel, "certificate expires soon")
	EventCertExpired  = event.Define(1704, logrus.ErrorLevel, "certificate expired")
)

const (
	// watchInterval is how often the files are checked for changes.
	watchInterval = time.Second
	// expiringDivisor sets the last part of a certificate's validity period,
	// 1/expiringDivisor, in which it counts as expiring.
	expiringDivisor = 5
)

// Phase is the position of the current time in a certificate's validity period.
type Phase int

const (
	// Valid: the certificate is not close to its expiry.
	Valid Phase = iota
	// Expiring: it is in the last fifth of its validity period.
	Expiring
	// Expired: peers refuse it.
	Expired
)

// phaseOf returns the phase of a certificate at now.
func phaseOf(now time.Time, cert *x509.Certificate) Phase {
	left := cert.NotAfter.Sub(now)
	switch {
	case left <= 0:
		return Expired
	case left < cert.NotAfter.Sub(cert.NotBefore)/expiringDivisor:
		return Expiring
	}
	return Valid
}

// stamp holds the modification times and sizes, in bytes, of the three files, to
// detect changes. A file that cannot be read has zero values.
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

// Watch reloads the files when they change, until the context ends. It also logs when
// the certificate is about to expire and when it has expired. Existing connections
// stay open; new handshakes use what was loaded last. If the files cannot be loaded,
// the old identity stays in use.
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
			w.checkFiles()
		}
	}
}

type watcher struct {
	identity *Identity
	log      *event.Log
	seen     stamp
	phase    Phase
}

func (w *watcher) checkFiles() {
	current := w.identity.files.stamp()
	if current == w.seen {
		return
	}
	w.seen = current
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

// checkPhase logs once per certificate that it expires soon, and once that it has
// expired.
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
	w.log.Emit(EventCertExpiring, fields)
}
