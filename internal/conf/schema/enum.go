package schema

//go:generate go tool -modfile=../../../tools/go.mod enumer -type=DomainState,ServerState,VMState -text -transform=title-lower -trimprefix=Domain,Server,VM -output=enums.go

// DomainState is the state of a failure domain that operators have set.
type DomainState int

// States of a failure domain.
const (
	DomainIn DomainState = iota
	DomainOut
	// DomainReturning is a domain that is in service again; all its backend servers are treated as cold.
	DomainReturning
)

// ServerState is the state of a backend server that the platform publishes.
type ServerState int

// States of a backend server.
const (
	ServerLive ServerState = iota
	ServerLeaving
)

// VMState is the state of an entry VM that the platform publishes.
type VMState int

// States of an entry VM.
const (
	VMLive VMState = iota
	VMLeaving
)
