package where

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/tier/place"
)

// Print writes a page as a table.
func Print(w io.Writer, p Page) error {
	var b strings.Builder
	fmt.Fprintf(&b, "VM %s at %s, configuration %d\n", p.VM, p.At.UTC().Format(time.RFC3339Nano), p.ConfigVersion)
	fmt.Fprintf(&b, "route %s, priority %d, due in %.1f ms, ends in %.1f ms\n", p.Route, p.Priority, p.DueMs, p.EndMs)
	if p.Team != "" {
		fmt.Fprintf(&b, "team %s", p.Team)
		if p.Tokens != nil {
			fmt.Fprintf(&b, ", %.1f tokens of its rate are left", *p.Tokens)
		}
		fmt.Fprintln(&b)
	}
	fmt.Fprintf(&b, "a part takes %.1f ms and may wait %.1f ms at a server; %d of %d parts are needed\n", p.TypicalMs, p.MaxWaitMs, p.MinParts, len(p.Parts))
	switch {
	case p.Refused == "":
		fmt.Fprintln(&b, "it would be sent")
	case p.AgainMs > 0:
		fmt.Fprintf(&b, "it would be refused: %s; servers want requests again in %.1f ms\n", p.Refused, p.AgainMs)
	default:
		fmt.Fprintf(&b, "it would be refused: %s\n", p.Refused)
	}
	fmt.Fprintln(&b, "\nSERVICE\tGOES TO\tSERVER\tDOMAIN\tIN FLIGHT\tWAIT MS\tCOST MS\tPASSED OVER")
	for _, part := range p.Parts {
		goesTo := string(part.Server)
		if goesTo == "" {
			goesTo = "(" + part.Capacity.String() + ")"
		}
		fmt.Fprintf(&b, "%s\t%s\t\t\t\t\t\t\n", part.Service, goesTo)
		for _, s := range part.Servers {
			why := s.PassedOver.String()
			if s.PassedOver == place.ReasonNone {
				why = ""
			}
			fmt.Fprintf(&b, "\t\t%s\t%s\t%d\t%.1f\t%.1f\t%s\n", s.Server, s.Domain, s.InFlight, s.WaitMs, s.CostMs, why)
		}
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, err := io.WriteString(t, b.String())
	if err := errors.Join(err, t.Flush()); err != nil {
		return errors.Errorf("print where a request goes: %w", err)
	}
	return nil
}
