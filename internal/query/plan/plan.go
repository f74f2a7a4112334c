package plan

import (
	"github.com/cespare/xxhash/v2"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/conf/schema"
)

// Part is the portion of a request that one shard answers.
type Part struct {
	service *schema.Service
	shard   int
}

// Service returns the part's service.
func (p Part) Service() *schema.Service { return p.service }

// Shard returns the number of the part's shard in the pinned layout.
func (p Part) Shard() int { return p.shard }

// Weight returns the number of documents in the part's shard.
func (p Part) Weight() int { return p.service.Shards()[p.shard].Weight() }

// Replicas returns the backend servers that hold the part's shard.
func (p Part) Replicas() []*schema.Server { return p.service.Shards()[p.shard].Servers() }

// Plan lists the parts of a request, all from one snapshot. It is immutable.
type Plan struct {
	catalog   *schema.Catalog
	route     *schema.Route
	parts     []Part
	forbidden []Part
}

// New plans a request of a team, which is nil on an open route. An idempotent request has a part for every shard of
// the route's services, any other request a single shard of each, chosen by the hash of record.
func New(c *schema.Catalog, r *schema.Route, team *schema.Team, record string) Plan {
	p := Plan{catalog: c, route: r}
	for _, s := range r.Services() {
		if !r.Idempotent() {
			shard := xxhash.Sum64String(record) % uint64(len(s.Shards()))
			p.add(team, Part{service: s, shard: int(shard)})
			continue
		}
		for i := range s.Shards() {
			p.add(team, Part{service: s, shard: i})
		}
	}
	return p
}

func (p *Plan) add(team *schema.Team, part Part) {
	if team != nil && !team.MayReach(part.service.Name()) {
		p.forbidden = append(p.forbidden, part)
		return
	}
	p.parts = append(p.parts, part)
}

// Catalog returns the snapshot of the configuration that the plan is pinned to.
func (p Plan) Catalog() *schema.Catalog { return p.catalog }

// Route returns the request's route.
func (p Plan) Route() *schema.Route { return p.route }

// Parts returns the parts to be sent. The caller must not modify the slice.
func (p Plan) Parts() []Part { return p.parts }

// Forbidden returns the parts of services that the team may not reach. They are not sent.
func (p Plan) Forbidden() []Part { return p.forbidden }

// Versions returns the index version of each of the route's services in the snapshot.
func (p Plan) Versions() map[ident.Service]int {
	out := make(map[ident.Service]int, len(p.route.Services()))
	for _, s := range p.route.Services() {
		out[s.Name()] = s.IndexVersion()
	}
	return out
}
