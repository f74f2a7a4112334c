package belief

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// Print writes a page as tables.
func Print(w io.Writer, p Page) error {
	var b strings.Builder
	fmt.Fprintf(&b, "VM %s at %s\n", p.VM, p.At.UTC().Format(time.RFC3339Nano))
	fmt.Fprintf(&b, "store: era %d, revision %d, configuration %d, complete %v ago, watching %v, holding %v\n", p.Store.Era, p.Store.Revision,
		p.Store.ConfigVersion, millis(p.Store.AgeMs), p.Store.Watching, p.Store.Holding)
	if r := p.Store.Refused; r != nil {
		fmt.Fprintf(&b, "%s at revision %d is not used: %s\n", r.Key, r.Revision, r.Reason)
	}
	fmt.Fprintln(&b)
	fmt.Fprintln(&b, "SERVER\tSERVICE\tDOMAIN\tADDRESS\tREVISION\tIN FLIGHT\tLOAD\tGETS NO REQUESTS, OR ONLY THE LAST")
	for _, s := range p.Servers {
		fmt.Fprintf(&b, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", s.Server, s.Service, s.Domain, s.Address, s.Revision, s.InFlight, load(s.Load),
			reasons(s.Reasons))
	}
	fmt.Fprintln(&b, "\nTEAM\tRATE\tBURST\tTOKENS")
	for _, m := range p.Teams {
		fmt.Fprintf(&b, "%s\t%g\t%g\t%.1f\n", m.Team, m.Rate, m.Burst, m.Tokens)
	}
	fmt.Fprintln(&b, "\nVM\tDOMAIN\tPHASE\tALIVE\tCORE\tHEARD AGO\tERA\tREVISION\tWATCHING")
	for _, v := range p.VMs {
		fmt.Fprintf(&b, "%s\t%s\t%s\t%v\t%v\t%v\t%d\t%d\t%v\n", v.VM, v.Domain, v.Phase, v.Alive, v.Core, millis(v.AgeMs), v.Era, v.Revision, v.Watching)
	}
	if p.LeftOut > 0 {
		fmt.Fprintf(&b, "\n%d rows are left out; ask for one service or with a higher limit\n", p.LeftOut)
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, err := io.WriteString(t, b.String())
	if err := errors.Join(err, t.Flush()); err != nil {
		return errors.Errorf("print beliefs: %w", err)
	}
	return nil
}

func load(l *Load) string {
	if l == nil {
		return "-"
	}
	text := fmt.Sprint(l.Requests)
	if l.Stalled {
		text = "stalled"
	}
	if l.Pace > 0 {
		text += fmt.Sprintf(" at pace %g", l.Pace)
	}
	return fmt.Sprintf("%s (%v, %v ago)", text, l.Source, millis(l.AgeMs))
}

func reasons(all []Reason) string {
	var out []string
	for _, r := range all {
		text := fmt.Sprintf("%v (%v", r.What, r.Source)
		if r.AgeMs > 0 {
			text += fmt.Sprintf(", since %v", millis(r.AgeMs))
		}
		if r.ForMs > 0 {
			text += fmt.Sprintf(", for %v", millis(r.ForMs))
		}
		out = append(out, text+")")
	}
	return strings.Join(out, ", ")
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
