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

// Repeat says what a second run of a product would do.
type Repeat uint8

const (
	Harmless Repeat = iota
	Stamped
	OneShot
)

// Reach is the set of servers that drops the repeats of a stamped product.
type Reach uint8

const (
	ReachAll Reach = iota
	ReachZone
	ReachCell
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
	Moot
)

var outcomeNames = [...]string{"ok", "failure", "full", "timed-out", "no-connection", "reset", "cancelled", "moot"}

func (o Outcome) String() string { return outcomeNames[o] }

// NeverRan tells the outcomes that prove that a dispatch had no effect.
func (o Outcome) NeverRan() bool { return o == Full || o == NoConnection || o == Moot }

// Weighing says what a weight in the list stands for.
type Weighing uint8

const (
	Unweighed Weighing = iota
	ByNominalSize
	ByRoughSize
	ByLiveShare
)

// Listing says how the server list is followed. Silence for the span Within counts as being informed.
type Listing struct {
	Subscribe bool
	Within    Micros
	Unproven  bool // only draining binds: a server that is listed as gone, or left out, may be up all the same
}

// ColdRule is the rule on servers that have just started: their capacity then, as a share, when they are
// warm, and that they fall over where sent more than Multiple times what they can do for the span Window.
type ColdRule struct {
	Start, Multiple float64
	Warm, Window    Micros
}

// Leave is what the deployment permits.
type Leave struct {
	Dispatches int    // for each product that says nothing else
	Advice     Micros // a push back may ask the client to stay away for up to this
	Through    bool   // packets pass through: connections outlive their proxy
	Probes     bool   // servers may be probed; they are while nothing else tells of late messages
}

// Memory is what an instance knows, for the one that takes its place on the same clock.
type Memory struct {
	Servers []ServerMemory
	Setup   Follow     `json:"Setup"`
	Unit    Follow     `json:"Unit"`
	Crowd   float64    `json:"Crowd"`
	Home    float64    `json:"Home"`
	Rate    float64    `json:"Rate"`
	Stood   Micros     `json:"Stood"`
	Failing []ServerID `json:"Failing"`
}

// Follow is a followed quantity's mean and mean deviation; Seen is false where there is none yet.
type Follow struct {
	Mean   float64
	Spread float64 `json:"Spread"`
	Seen   bool    `json:"Seen"`
}

// ServerMemory is the account of one server as an instance sees it.
type ServerMemory struct {
	ID        ServerID
	Launched  Micros    `json:"Launched"`
	Tries     float64   `json:"Tries"`
	Fails     float64   `json:"Fails"`
	Shunned   Micros    `json:"Shunned"` // passed over until then, for its failures or what it dropped
	Pace      float64   `json:"Pace"`    // what it is seen to do against its weight; 1 at first
	Delay     Micros    `json:"Delay"`
	DelayAt   Micros    `json:"DelayAt"`
	Falling   bool      `json:"Falling"`
	ProbeAt   Micros    `json:"ProbeAt"`
	Quick     Micros    `json:"Quick"`
	Probed    Micros    `json:"Probed"`    // its next probe; its quickest and its last answer to one
	Chance    float64   `json:"Chance"`    // settles fractions of a connection in the cold budget
	Drawn     Micros    `json:"Drawn"`     // when that was drawn
	SentAt    []Micros  `json:"SentAt"`    // sends while cold
	SentUnits []float64 `json:"SentUnits"` // their loads
}

// Verdict is what is to be done with an attachment.
type Verdict uint8

const (
	Nothing  Verdict = iota
	Send             // to Answer.Server, for at most Answer.For
	NotYet           // ask again in Answer.For
	PushBack         // tell the client that trying again is harmless, in Answer.For if that is not 0
	GiveUp
)

// Answer is a verdict with its plain values.
type Answer struct {
	Verdict Verdict
	Server  ServerID
	For     Micros
}

// Errand is a periodic piece of work for the host.
type Errand struct {
	Task       Task
	Attachment AttachmentID
	Server     ServerID
	Words      string
}

type Task uint8

const (
	Subscribe Task = iota
	Move
	Probe
	Log
)

// Product is one row of the table of products.
type Product struct {
	Quoted  Micros // a set-up within this earns the full gain
	Repeat  Repeat
	Reach   Reach
	Memory  Micros // how long a stamp is remembered
	Message Micros // quoted time of a message on a standing connection
	Gain    float64
	ByWork  bool // the gain is for each unit of load, not for each attachment

	Dispatches int // the most for an attachment
}

// Attachment is a client's connection. The host keeps it; the fields below the gap are the module's notes.
type Attachment struct {
	ID      AttachmentID
	Product ProductID
	Group   GroupID
	Key     ClientKey
	Hint    float64 // expected load in microseconds of work a second; 0 if none
	MidFlow bool    // packets of an open connection
	Back    bool    // the client comes again after a break or a move
	Came    Micros
	Limit   Micros // the hard limit

	on       *server // where the dispatch is out or the connection stands
	last     *server // where it was sent last
	sentAt   Micros
	stands   bool
	sends    int
	units    float64 // its load in mean connections, as counted on its server
	level    float64 // its load as last told, microseconds a second
	ran      *server // the first server on which it may have run
	ranSince Micros
}

// Stands tells whether the connection is set up.
func (a *Attachment) Stands() bool { return a.stands }

// Out tells whether a dispatch is on its way.
func (a *Attachment) Out() bool { return a.on != nil && !a.stands }
