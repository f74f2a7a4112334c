package reader

import "time"

const (
	// NumWatchers is how many VMs watch the store.
	NumWatchers = 3
	// retryPause is the pause of a watcher after a failed call. The pause of the VM of rank r is r/NumWatchers times as long, up to maxPause,
	// which bounds how long a VM waits that is the only one to be served.
	retryPause = 250 * time.Millisecond
	maxPause   = 2 * time.Second
	// minStartDelay is how long a new VM waits for updates from other VMs if it is to read the store first or if clients wait for it.
	// startDelay is how long others wait, and maxStartDelay if they have heard from other VMs; up to startSpread is added, by VM.
	minStartDelay = 30 * time.Millisecond
	startDelay    = 300 * time.Millisecond
	maxStartDelay = 1200 * time.Millisecond
	startSpread   = 300 * time.Millisecond
	// minRankAge is the age of a VM from which it goes by its rank. A younger one knows few others, and all would take themselves for the first.
	minRankAge = 500 * time.Millisecond
	// maxUnconfirmed is how long a VM relies on the last answer of the store that another one had. Watchers have one each watchTime, and the
	// heartbeats that say so are some tenths of a second apart.
	maxUnconfirmed = 1900 * time.Millisecond
	// maxUnwatched is how long it waits when all others say that they don't watch the store: as long as a watcher needs to try again.
	maxUnwatched = 2 * retryPause
	// maxBehind is how long a VM tries to get changes from others that have them before it reads the store. The VMs that do so then are spread
	// over behindSpread.
	maxBehind, behindSpread = time.Second, 300 * time.Millisecond
	// turnPause is the time between the turns of VMs that follow one another by rank. Those whose turn comes after maxTurnPause take it within
	// as long again.
	turnPause, maxTurnPause = 60 * time.Millisecond, 750 * time.Millisecond
)

// Turn describes a VM that may call the store.
type Turn struct {
	// Rank is the place of the VM among those that are alive, from 0.
	Rank int
	// Alone says that the VM has not heard from any other VM.
	Alone bool
	// Watching says that the VM watches the store.
	Watching bool
	// Empty says that the VM has no complete copy of the store yet. Age is the time since its start.
	Empty bool
	Age   time.Duration
	// Demanded says that a request waits for the VM's first configuration.
	Demanded bool
	// First says that the VM is among those that read the store first when all start together.
	First bool
	// Spread is a number in [0,1) that differs by VM.
	Spread float64
	// SinceFailure is the time since the last failed call, and Failed says that there was one since the last that succeeded.
	SinceFailure time.Duration
	Failed       bool
	// Unconfirmed is the time since another VM last confirmed that the copy is complete, and Unwatched the time since one last said that it
	// watches the store. Behind is how long others have had changes that the copy lacks, 0 if it lacks none.
	Unconfirmed, Unwatched, Behind time.Duration
}

// Wait returns how long the VM waits before it may call the store, as far as it knows now, and 0 if it may call now. It returns false if the
// VM does not call as long as nothing changes.
func (t Turn) Wait() (time.Duration, bool) {
	wait := t.untilTurn()
	switch {
	case t.Watching && (t.Rank < NumWatchers || wait == 0):
		return 0, true
	case t.Failed:
		return max(0, t.pause()-t.SinceFailure), t.Empty || t.Rank < NumWatchers || wait == 0
	case t.Empty:
		return max(0, t.startDelay()-t.Age), true
	case t.Rank < NumWatchers:
		return max(0, minRankAge-t.Age), true
	}
	return wait, true
}

// untilTurn returns how long a VM that is no watcher can still rely on the others, 0 if it can't.
func (t Turn) untilTurn() time.Duration {
	turn := turnPause * time.Duration(max(1, t.Rank+1-NumWatchers))
	if turn > maxTurnPause {
		turn = maxTurnPause + time.Duration(t.Spread*float64(maxTurnPause))
	}
	wait := min(maxUnconfirmed-t.Unconfirmed, maxUnwatched-t.Unwatched) + turn
	if t.Behind > 0 {
		wait = min(wait, maxBehind+time.Duration(t.Spread*float64(behindSpread))-t.Behind)
	}
	return max(0, wait)
}

// pause returns the time between two calls of the VM while calls fail.
func (t Turn) pause() time.Duration {
	p := retryPause * time.Duration(max(NumWatchers, t.Rank+1)) / NumWatchers
	return min(p, maxPause) + time.Duration(t.Spread*float64(retryPause))
}

// startDelay returns the age at which a VM without a copy of the store calls it.
func (t Turn) startDelay() time.Duration {
	spread := time.Duration(t.Spread * float64(startSpread))
	switch {
	case t.First, t.Demanded:
		return minStartDelay
	case t.Alone, t.Rank < NumWatchers:
		return startDelay + spread
	}
	return maxStartDelay + spread
}
