package logic

// Micros is a time, or a span of it, in whole microseconds.
type Micros int64

const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
)

type (
	AttachmentID uint64
	ServerID     uint64
	ProductID    uint16
	ZoneID       uint16
	ModelID      uint16
	CellID       uint16
	GroupID      uint64
	ClientKey    uint64
)

// Idempotency says what a second run of a product would do.
type Idempotency uint8

const (
	Harmless Idempotency = iota
	Stamped
	OneShot
)

// DedupScope is the set of servers that drops the repeats of a stamped product.
type DedupScope uint8

const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// State is what the server list says of a server.
type State uint8

const (
	Ready State = iota
	Draining
	Gone
)

// Outcome is how a dispatch ended.
type Outcome uint8

const (
	OK Outcome = iota
	Failure
	Full
	TimedOut
	NoConnection
	Reset
	Cancelled
	NotSent
)

var outcomeNames = [...]string{"ok", "failure", "full", "timed-out", "no-connection", "reset", "cancelled", "moot"}

func (o Outcome) String() string { return outcomeNames[o] }

// NeverRan tells the outcomes that prove that a dispatch had no effect.
func (o Outcome) NeverRan() bool { return o == Full || o == NoConnection || o == NotSent }

// WeightKind says what a weight in the list stands for.
type WeightKind uint8

const (
	WeightNone WeightKind = iota
	WeightNominal
	WeightRough
	WeightLive
)

// ListConfig says how the server list is followed. Silence for the span Within counts as being informed.
type ListConfig struct {
	Subscribe   bool
	AskWithin   Micros
	GoneMayBeUp bool // only draining binds: a server that is listed as gone, or left out, may be up all the same
}

// ColdStart is the rule on servers that have just started: their capacity then, as a share, when they are
// warm, and that they fall over where sent more than Multiple times what they can do for the span Window.
type ColdStart struct {
	InitialShare, OverloadMultiple float64
	WarmupTime, OverloadWindow     Micros
}

// Permissions is what the deployment permits.
type Permissions struct {
	MaxDispatches int    // for each product that says nothing else
	MaxRetryAfter Micros // a push back may ask the client to stay away for up to this
	PassThrough   bool   // packets pass through: connections outlive their proxy
	AllowProbes   bool   // servers may be probed; they are while nothing else tells of late messages
}

// Snapshot is what an instance knows, for the one that takes its place on the same clock.
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

// Estimate is a followed quantity's mean and mean deviation; Seen is false where there is none yet.
type Estimate struct {
	Mean       float64
	Deviation  float64 `json:"Spread"`
	HasSamples bool    `json:"Seen"`
}

// ServerHistory is the account of one server as an instance sees it.
type ServerHistory struct {
	ID             ServerID
	LaunchedAt     Micros    `json:"Launched"`
	Attempts       float64   `json:"Tries"`
	Failures       float64   `json:"Fails"`
	AvoidUntil     Micros    `json:"Shunned"` // passed over until then, for its failures or what it dropped
	SpeedFactor    float64   `json:"Pace"`    // what it is seen to do against its weight; 1 at first
	MessageDelay   Micros    `json:"Delay"`
	MessageDelayAt Micros    `json:"DelayAt"`
	DelayFalling   bool      `json:"Falling"`
	NextProbeAt    Micros    `json:"ProbeAt"`
	FastestProbe   Micros    `json:"Quick"`
	LastProbe      Micros    `json:"Probed"`    // its next probe; its quickest and its last answer to one
	ColdDraw       float64   `json:"Chance"`    // settles fractions of a connection in the cold budget
	ColdDrawAt     Micros    `json:"Drawn"`     // when that was drawn
	ColdSendTimes  []Micros  `json:"SentAt"`    // sends while cold
	ColdSendUnits  []float64 `json:"SentUnits"` // their loads
}

// Action is what is to be done with an attachment.
type Action uint8

const (
	NoAction Action = iota
	Send            // to Answer.Server, for at most Answer.For
	Hold            // ask again in Answer.For
	PushBack        // tell the client that trying again is harmless, in Answer.For if that is not 0
	GiveUp
)

// Decision is a verdict with its plain values.
type Decision struct {
	Action   Action
	Server   ServerID
	Duration Micros
}

// Job is a periodic piece of work for the host.
type Job struct {
	Kind       JobKind
	Attachment AttachmentID
	Server     ServerID
	Message    string
}

type JobKind uint8

const (
	Subscribe JobKind = iota
	Move
	Probe
	Log
)

// Product is one row of the table of products.
type Product struct {
	QuotedTime        Micros // a set-up within this earns the full gain
	Idempotency       Idempotency
	DedupScope        DedupScope
	DedupWindow       Micros // how long a stamp is remembered
	QuotedMessageTime Micros // quoted time of a message on a standing connection
	Gain              float64
	GainPerLoad       bool // the gain is for each unit of load, not for each attachment

	MaxDispatches int // the most for an attachment
}

// Attachment is a client's connection. The host keeps it; the fields below the gap are the module's notes.
type Attachment struct {
	ID        AttachmentID
	Product   ProductID
	Group     GroupID
	Key       ClientKey
	LoadHint  float64 // expected load in microseconds of work a second; 0 if none
	MidFlow   bool    // packets of an open connection
	Returning bool    // the client comes again after a break or a move
	ArrivedAt Micros
	HardLimit Micros // the hard limit

	server          *server // where the dispatch is out or the connection stands
	lastServer      *server // where it was sent last
	sentAt          Micros
	established     bool
	dispatches      int
	loadUnits       float64 // its load in mean connections, as counted on its server
	reportedLoad    float64 // its load as last told, microseconds a second
	mayHaveRunOn    *server // the first server on which it may have run
	mayHaveRunSince Micros
}

// IsEstablished tells whether the connection is set up.
func (a *Attachment) IsEstablished() bool { return a.established }

// IsPending tells whether a dispatch is on its way.
func (a *Attachment) IsPending() bool { return a.server != nil && !a.established }
