package logic

// Micros is a point in time or a duration in whole microseconds.
type Micros int64

// Common durations.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
)

// Identifiers that the host passes in.
type (
	AttachmentID uint64 // a client's connection
	ServerID     uint64
	ProductID    uint16 // a row of the product table
	ZoneID       uint16 // a zone of servers and proxies: sending from one to another has a price
	ModelID      uint16 // a model of servers; those of one model are similarly fast
	CellID       uint16 // a set of servers that may share stamps, see DedupCell
	GroupID      uint64 // clients that are best served together; 0 for none
	ClientKey    uint64 // identifies a client over its connections; 0 if unknown
)

// Idempotency says what happens if a request of a product runs twice.
type Idempotency uint8

const (
	Harmless Idempotency = iota // running it again changes nothing
	Stamped                     // servers recognize a repeat by its stamp and drop it
	OneShot                     // it must not run twice
)

// DedupScope is the set of servers that recognize repeats of a stamped request.
type DedupScope uint8

const (
	DedupAll  DedupScope = iota // all servers
	DedupZone                   // those in the zone of the first server
	DedupCell                   // those in the cell of the first server
)

// State is a server's state in the server list.
type State uint8

const (
	Ready    State = iota
	Draining       // takes no new attachments
	Gone           // listed as gone, or missing from a full list
)

// Outcome says how a dispatch or an established connection ended.
type Outcome uint8

const (
	OK           Outcome = iota
	Failure              // the server answered with an error, or with something invalid
	Full                 // the server refused the attachment as it is full
	TimedOut             // no answer within the time-out
	NoConnection         // no connection to the server came up
	Reset                // the connection to the server was lost
	Cancelled            // it ended without a fault: the client left or was moved
	NotSent              // it was withdrawn before any of it was sent
)

var outcomeNames = [...]string{"ok", "failure", "full", "timed-out", "no-connection", "reset", "cancelled", "moot"}

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// NeverRan reports whether the outcome proves that the dispatch had no effect.
func (o Outcome) NeverRan() bool { return o == Full || o == NoConnection || o == NotSent }

// WeightKind says what the weights in the server list mean.
type WeightKind uint8

const (
	WeightNone    WeightKind = iota // weights are ignored
	WeightNominal                   // nominal size of the server
	WeightRough                     // rough size, which hides differences between models
	WeightLive                      // current share of the load, which follows the server's utilization
)

// ListConfig says how the server list is followed.
type ListConfig struct {
	Subscribe   bool   // Tick asks the host to request a subscription to the list, and again after a failure
	AskWithin   Micros // the list must be requested within this; a change of it counts as delivered after this, received or not
	GoneMayBeUp bool   // only draining is binding: a server that is listed as gone, or missing, may still be up
}

// ColdStart describes servers that have just started. They begin with InitialShare of their capacity and have all of it
// after WarmupTime. They fail if they get more than OverloadMultiple times their current capacity for OverloadWindow.
type ColdStart struct {
	InitialShare, OverloadMultiple float64
	WarmupTime, OverloadWindow     Micros
}

// Permissions is what the deployment lets the balancer do.
type Permissions struct {
	MaxDispatches int    // for an attachment, where its product sets no other limit
	MaxRetryAfter Micros // longest time for which a push back may ask the client to stay away
	PassThrough   bool   // packets pass through unchanged: connections outlive their proxy
	AllowProbes   bool   // servers may be probed for message delays, which is done while nothing else reports them
}

// Snapshot is what an instance has learned, for the one that replaces it; both must use the same clock. It is encoded as
// JSON and may be read by a process of another version, so the names in the tags are fixed. Balancer has fields of the
// same Go names, where they are explained.
type Snapshot struct {
	Servers         []ServerHistory
	SetupTime       Estimate   `json:"Setup"`
	ConnectionLoad  Estimate   `json:"Unit"`
	UnhealthyShare  float64    `json:"Crowd"`
	OwnZoneTrouble  float64    `json:"Home"`
	PlacementRate   float64    `json:"Rate"`
	LastEstablished Micros     `json:"Stood"`
	FailingServers  []ServerID `json:"Failing"`
}

// Estimate is the smoothed mean and mean deviation of a quantity. HasSamples is false before the first sample.
type Estimate struct {
	Mean       float64
	Deviation  float64 `json:"Spread"`
	HasSamples bool    `json:"Seen"`
}

// ServerHistory is what an instance has learned about one server. It is a part of Snapshot.
type ServerHistory struct {
	ID             ServerID
	LaunchedAt     Micros    `json:"Launched"` // when it started, from the server list; 0 if unknown
	Attempts       float64   `json:"Tries"`    // recent attempts, decaying
	Failures       float64   `json:"Fails"`    // recent failures, lost connections included, decaying
	AvoidUntil     Micros    `json:"Shunned"`  // avoided until then after failures or dropped connections
	SpeedFactor    float64   `json:"Pace"`     // observed speed relative to its weight; 1 at first
	MessageDelay   Micros    `json:"Delay"`    // last delay of its messages; 0 if they are not late
	MessageDelayAt Micros    `json:"DelayAt"`
	DelayFalling   bool      `json:"Falling"` // the last delay was shorter than the one before
	NextProbeAt    Micros    `json:"ProbeAt"`
	FastestProbe   Micros    `json:"Quick"`     // shortest time in which it answered a probe; 0 before the first answer
	LastProbe      Micros    `json:"Probed"`    // time that its last answer to a probe took
	ColdDraw       float64   `json:"Chance"`    // random number that decides whether a fraction of a connection left in the cold budget admits a whole one
	ColdDrawAt     Micros    `json:"Drawn"`     // when it was last drawn for a new window
	ColdSendTimes  []Micros  `json:"SentAt"`    // dispatches to it while it is cold
	ColdSendUnits  []float64 `json:"SentUnits"` // their load units
}

// Action is what the host is to do with an attachment.
type Action uint8

const (
	NoAction Action = iota
	Send            // to Decision.Server, with Decision.Duration as the time-out
	Hold            // ask again after Decision.Duration
	PushBack        // tell the client that a retry is harmless, after Decision.Duration if that is not 0
	GiveUp          // end the attachment without inviting a retry
)

// Decision is an action with its parameters, whose meaning depends on the action.
type Decision struct {
	Action   Action
	Server   ServerID
	Duration Micros
}

// Job is a piece of work for the host, queued by Tick. Attachment is set for Move, Server for Probe, Message for Log.
type Job struct {
	Kind       JobKind
	Attachment AttachmentID
	Server     ServerID
	Message    string
}

// JobKind is the kind of a job.
type JobKind uint8

const (
	Subscribe JobKind = iota // request the server list
	Move                     // move the attachment to another server
	Probe                    // probe the server
	Log                      // write the message to the log
)

// Product is one row of the product table: a class of requests.
type Product struct {
	QuotedTime        Micros // a set-up within this time earns the full gain
	Idempotency       Idempotency
	DedupScope        DedupScope
	DedupWindow       Micros // how long a stamp is remembered
	QuotedMessageTime Micros // quoted time of a message on an established connection; 0 if none
	Gain              float64
	GainPerLoad       bool // the gain is for each unit of load, not for each attachment

	MaxDispatches int // for an attachment
}

// Attachment is a client's connection. The host owns it and fills in the exported fields; the others are the balancer's.
type Attachment struct {
	ID        AttachmentID
	Product   ProductID
	Group     GroupID
	Key       ClientKey
	LoadHint  float64 // expected load in microseconds of work per second; 0 if none
	MidFlow   bool    // it consists of packets of an open connection
	Returning bool    // the client comes back after a lost connection or a move
	ArrivedAt Micros
	HardLimit Micros // when it must have its final answer

	server          *server // where its dispatch is pending or its connection is established; nil if neither
	lastServer      *server // where it was last sent
	sentAt          Micros  // when it was last sent
	established     bool
	dispatches      int
	loadUnits       float64 // its load in units, as counted on its server
	reportedLoad    float64 // last reported load in microseconds of work per second; 0 if none
	mayHaveRunOn    *server // the first server on which it may have run; nil if none
	mayHaveRunSince Micros  // when it was sent there
}

// IsEstablished reports whether the connection is set up.
func (a *Attachment) IsEstablished() bool { return a.established }

// IsPending reports whether a dispatch has no outcome yet.
func (a *Attachment) IsPending() bool { return a.server != nil && !a.established }
