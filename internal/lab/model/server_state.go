package model

// State is what discovery says of a server.
type State int

// States.
const (
	Serving State = iota
	Draining
	Deleted
)

func (s State) String() string { return [...]string{"SERVING", "DRAINING", "DELETED"}[s] }
