package event

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// EventPanic is logged, at most once per panicLogInterval, when a panic was contained.
var EventPanic = Define(2, logrus.ErrorLevel, "panic contained")

const (
	// panicLogInterval bounds the log lines that a datagram or message sent again and again
	// can cause.
	panicLogInterval = time.Second
	// maxStack bounds the stack in a log line, in bytes.
	maxStack = 4 << 10
)

// lastPanicLog is when EventPanic was last logged, in nanoseconds of the process's clock.
var lastPanicLog atomic.Int64

var processStart = time.Now()

// Contain runs f, which handles one datagram or message, and reports whether it returned. A
// panic in it ends neither the goroutine nor the process: that datagram or message is given
// up, and the panic is logged. f must release its locks by defer.
func (l *Log) Contain(where string, f func()) (returned bool) {
	defer func() {
		if cause := recover(); cause != nil {
			l.logPanic(where, cause)
		}
	}()
	f()
	return true
}

func (l *Log) logPanic(where string, cause any) {
	now, last := int64(time.Since(processStart)), lastPanicLog.Load()
	if last != 0 && now-last < int64(panicLogInterval) || !lastPanicLog.CompareAndSwap(last, max(now, 1)) {
		l.counts[EventPanic.Number].Add(1)
		return
	}
	stack := debug.Stack()
	l.Emit(EventPanic, Fields{"where": where, "cause": fmt.Sprint(cause), "stack": string(stack[:min(len(stack), maxStack)])})
}
