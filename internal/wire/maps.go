package wire

// MapAction is the action that a MapCall requests.
type MapAction string

// Actions of a map change, in the order in which they are sent.
const (
	// MapState claims an epoch and requests the rank's state.
	MapState MapAction = "state"
	// MapPrepare loads the weights for a new map.
	MapPrepare MapAction = "prepare"
	// MapHold stops the engine before a given step.
	MapHold MapAction = "hold"
	// MapSwitch announces whether the new map is committed.
	MapSwitch MapAction = "switch"
)

// MapCall requests one action of a map change from the agent of a rank. It is
// the second message on a request stream. The agent forwards it to its engine
// and answers with MapAnswer.
type MapCall struct {
	Action MapAction `cbor:"1,keyasint" json:"-"`
	// Epoch and Owner identify the coordinator's claim. Owner is the start
	// identifier of the coordinating agent and distinguishes claims with the
	// same epoch.
	Epoch uint64 `cbor:"2,keyasint" json:"epoch"`
	Owner string `cbor:"3,keyasint" json:"owner"`
	// Number is the number of the map, which is the revision of the group's
	// document.
	Number uint64 `cbor:"4,keyasint,omitempty" json:"number,omitempty"`
	// Placement holds the rank of each expert, indexed by expert.
	Placement []int `cbor:"5,keyasint,omitempty" json:"placement,omitempty"`
	// Step is the first step that the engine must not begin before MapSwitch.
	Step   uint64 `cbor:"6,keyasint,omitempty" json:"step,omitempty"`
	Commit bool   `cbor:"7,keyasint,omitempty" json:"commit,omitempty"`
}

// MapAnswer is an engine's answer to a MapCall, with its state after the
// action.
type MapAnswer struct {
	OK     bool   `cbor:"1,keyasint" json:"ok"`
	Reason string `cbor:"2,keyasint,omitempty" json:"reason,omitempty"`
	// Epoch and Owner identify the claim that the engine currently obeys.
	Epoch uint64 `cbor:"3,keyasint" json:"epoch"`
	Owner string `cbor:"4,keyasint,omitempty" json:"owner,omitempty"`
	// Step is the next step that the engine will run.
	Step uint64 `cbor:"5,keyasint" json:"step"`
	// Current is the number of the last committed map. Prepared is the number
	// of the prepared map, or zero if there is none.
	Current  uint64 `cbor:"6,keyasint" json:"current"`
	Prepared uint64 `cbor:"7,keyasint,omitempty" json:"prepared,omitempty"`
	Held     bool   `cbor:"8,keyasint,omitempty" json:"held,omitempty"`
}
