package wire

// MapAction says what a MapCall asks of a rank.
type MapAction string

// Actions of a map change, in their order.
const (
	// MapState claims an epoch and asks for the rank's state.
	MapState MapAction = "state"
	// MapPrepare loads the weights of a map.
	MapPrepare MapAction = "prepare"
	// MapHold stops the engine before a step.
	MapHold MapAction = "hold"
	// MapSwitch tells the decision.
	MapSwitch MapAction = "switch"
)

// MapCall asks the agent of a rank for one action of a map change. It is the
// second message on a request stream; the agent passes it to its engine and
// answers with MapAnswer.
type MapCall struct {
	Action MapAction `cbor:"1,keyasint" json:"-"`
	// Epoch and Owner identify the coordinator's claim. The owner is the start
	// of the coordinating agent and tells equal epochs apart.
	Epoch uint64 `cbor:"2,keyasint" json:"epoch"`
	Owner string `cbor:"3,keyasint" json:"owner"`
	// Number is the map's number, the revision of the group's document.
	Number uint64 `cbor:"4,keyasint,omitempty" json:"number,omitempty"`
	// Placement holds the rank of each expert.
	Placement []int `cbor:"5,keyasint,omitempty" json:"placement,omitempty"`
	// Step is the step that the engine must not begin without a decision.
	Step   uint64 `cbor:"6,keyasint,omitempty" json:"step,omitempty"`
	Commit bool   `cbor:"7,keyasint,omitempty" json:"commit,omitempty"`
}

// MapAnswer is an engine's answer to a MapCall, with its state after it.
type MapAnswer struct {
	OK     bool   `cbor:"1,keyasint" json:"ok"`
	Reason string `cbor:"2,keyasint,omitempty" json:"reason,omitempty"`
	// Epoch and Owner are those of the claim that the engine follows.
	Epoch uint64 `cbor:"3,keyasint" json:"epoch"`
	Owner string `cbor:"4,keyasint,omitempty" json:"owner,omitempty"`
	// Step is the next step of the engine.
	Step uint64 `cbor:"5,keyasint" json:"step"`
	// Current is the number of the last committed map, Prepared the number of
	// the prepared one or zero.
	Current  uint64 `cbor:"6,keyasint" json:"current"`
	Prepared uint64 `cbor:"7,keyasint,omitempty" json:"prepared,omitempty"`
	Held     bool   `cbor:"8,keyasint,omitempty" json:"held,omitempty"`
}
