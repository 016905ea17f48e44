package quarantine

import "time"

// Bounds on the crashes of servers during requests for one content, or with one part.
const (
	// CrashThreshold is the number of crashes without a complete answer from which a request is
	// quarantined. A single server may crash on its own, and two during one request may be coincidence;
	// the platform's pages count from the third.
	CrashThreshold = 3
	// PartCrashThreshold is the number of crashes without a complete answer from which requests with a
	// part get no server. It is higher than CrashThreshold, since callers share parts.
	PartCrashThreshold = 5
	// Duration is how long a request gets no server after its last crash. By then the request or
	// the servers may have been fixed; a further crash starts the quarantine again.
	Duration = 10 * time.Minute
	// rememberFor is how long a crash counts.
	rememberFor = 30 * time.Minute
	// sameCrash is the time within which reports of several daemons about one server concern the
	// same crash. A server takes longer to restart under its id.
	sameCrash = 1500 * time.Millisecond
	// maxRecords bounds the records of a registry, since the other requests in flight at a crashed server
	// are counted as well, and maxCrashes the crashes of a record.
	maxRecords = 4096
	maxCrashes = 32
	// maxAnswered is how many parts that were answered completely are remembered at least.
	maxAnswered = 4096
	// maxGroups bounds the groups of servers whose last answers a record holds, maxRecentAnswers the answers
	// whose servers may yet turn out to have crashed.
	maxGroups        = 8
	maxRecentAnswers = 32
	// reportDelay is how long the report of a crash takes to reach all daemons.
	reportDelay = 3 * time.Second
	// minUnexplained is how many crashes of a part that was never answered must have no other cause for
	// it to be a cause, too. One may be a server that crashed on its own.
	minUnexplained = 2
	// evidenceWindow is how long after the last crash of a part the crashes are sent again, evidenceExits
	// how many of them.
	evidenceWindow = time.Minute
	evidenceExits  = 8
	// maxEvidence bounds the parts whose crashes Evidence returns, maxEvidenceAnswers the answers.
	maxEvidence        = 8
	maxEvidenceAnswers = 32
)

// policy holds what differs between whole contents and parts.
type policy struct {
	// threshold is the number of crashes from which requests are confined.
	threshold int
	// announceFrom is how many crashes make the answers known to other daemons: they count towards the
	// threshold at those that have not answered.
	announceFrom int
	// afterAnswer counts crashes right after a complete answer. Requests that share a part are answered at
	// most servers at most times, so that such a crash says little of the part.
	afterAnswer bool
	// joint confines parts that were in flight at the very same crashes together: requests that have one
	// of them tell which is the cause. A request has a single content, so that contents cannot be joint.
	joint bool
	// maxConfinements bounds how many confinements are in force.
	maxConfinements int
	// simultaneousExits servers that crash within moment of each other crash for one reason, which is none of
	// the requests that were answered before.
	simultaneousExits int
	moment            time.Duration
	// knownTrialDelay is when a request may first pass as a trial after the last crash of a part that
	// was answered before, or whose crashes other parts may have caused; newTrialDelay is that of others.
	knownTrialDelay time.Duration
	newTrialDelay   time.Duration
}

var (
	contentPolicy = policy{
		threshold: CrashThreshold, announceFrom: CrashThreshold - 1, afterAnswer: true, maxConfinements: 1024,
		simultaneousExits: 4, moment: 400 * time.Millisecond,
		knownTrialDelay: 15 * time.Second, newTrialDelay: Duration,
	}
	partPolicy = policy{
		threshold: PartCrashThreshold, announceFrom: PartCrashThreshold - 2, joint: true, maxConfinements: 64,
		simultaneousExits: 4, moment: 150 * time.Millisecond,
		knownTrialDelay: 2 * time.Second, newTrialDelay: 30 * time.Second,
	}
)
