package edge

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/setup"
	"kumquatreel.example/kumquatreel/internal/limit/escrow"
	"kumquatreel.example/kumquatreel/internal/limit/quota"
	"kumquatreel.example/kumquatreel/internal/tier/peers"
)

// newFleetMember returns a VM of the core group that has heard from n other VMs, without listeners.
func newFleetMember(tb testing.TB, n int) *Edge {
	tb.Helper()
	settings, faults := setup.New(setup.Text{
		Name: "vm0", Domain: "d0", Address: "127.0.0.1", Clients: "127.0.0.1:7001", Ready: "127.0.0.1:7002", Peers: "127.0.0.1:7003",
		Directory: "127.0.0.1:7004", Metrics: "127.0.0.1:7005", GossipPort: 7006, Store: "127.0.0.1:7000", CPUShare: 0.8,
	})
	if len(faults) > 0 {
		tb.Fatal(faults)
	}
	codec, err := peers.NewCodec()
	if err != nil {
		tb.Fatal(err)
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = conn.Close() })
	rng := rand.New(rand.NewPCG(1, 1))
	e := &Edge{
		dispatch: newDispatch(time.Now(), settings, rng), metrics: newMeter(), traffic: newTraffic(), quota: quota.New(time.Now(), quota.Bounds{}),
		started: time.Now(), tokensGiven: make(chan struct{}),
		fleet: &fleet{
			peers: peers.New("vm0"), ledger: escrow.New(time.Now(), "vm0", true), rng: rng, codec: codec, conn: conn,
			client: newUpdateClient(), fetches: make(map[ident.VM]time.Time),
		},
	}
	e.settings.Store(&settings)
	for i := range n {
		e.handleHeartbeat(heartbeatOf(i+1, 1))
	}
	return e
}

// heartbeatOf returns a heartbeat of a VM in one of six domains.
func heartbeatOf(vm int, serial int64) peers.Message {
	return peers.Message{From: peers.Digest{
		VM: ident.VM(fmt.Sprintf("vm%d", vm)), Address: fmt.Sprintf("127.0.%d.%d", vm/200, 2+vm%200), Domain: ident.Domain(fmt.Sprintf("d%d", vm%6)),
		Boot: 1, Serial: serial, Phase: peers.PhaseReady, CPUShare: 0.2,
	}}
}

// BenchmarkHeartbeat measures what a VM of the core group spends on a heartbeat that requests a reply, as it gets them from the VMs outside
// the core, by the size of the fleet.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{9, 81, 195} {
		b.Run(fmt.Sprintf("%d VMs", n), func(b *testing.B) {
			e := newFleetMember(b, n)
			serial := int64(1)
			for b.Loop() {
				serial++
				m := heartbeatOf(1+int(serial)%n, serial)
				m.RequestReply = true
				e.handleHeartbeat(m)
			}
		})
	}
}

// BenchmarkTick measures the periodic work of a VM by the size of the fleet.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{9, 81, 195} {
		b.Run(fmt.Sprintf("%d VMs", n), func(b *testing.B) {
			e := newFleetMember(b, n)
			for b.Loop() {
				e.tickMembership()
				e.sendHeartbeats(false)
				e.turn(time.Now())
			}
		})
	}
}
