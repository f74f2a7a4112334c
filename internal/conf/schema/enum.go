package schema

//go:generate go tool -modfile=../../../tools/go.mod enumer -type=DomainState,ServerState,VMState -text -transform=title-lower -trimprefix=Domain,Server,VM -output=enums.go

// DomainState is what operators want of a failure domain.
type DomainState int

// The states of a failure domain.
const (
	DomainIn DomainState = iota
	DomainOut
	// DomainReturning is in service again, with every backend server taken for cold.
	DomainReturning
)

// ServerState is what the platform says of a backend server.
type ServerState int

// The states of a backend server.
const (
	ServerLive ServerState = iota
	ServerLeaving
)

// VMState is what the platform says of an entry VM.
type VMState int

// The states of an entry VM.
const (
	VMLive VMState = iota
	VMLeaving
)
