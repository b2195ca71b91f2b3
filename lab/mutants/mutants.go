// Package mutants builds proxies in which one mended fault is back, by replacing a piece of the source at build time. The deployed
// program has no trace of it.
package mutants

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Mutant is a proxy with one fault.
type Mutant struct {
	Name  string
	Fault string // the file under docs/incidents that describes it
	File  string // the source file, from the module's root
	Old   string // the piece that is replaced; it stands in the file once
	New   string
}

// Mutants are the known ones.
var Mutants = []Mutant{
	{"turned-away-watch", "watch-turned-away.md", "internal/proxy/freshness.go", "		f.freshUntil = min(f.freshUntil, limit)\n", "		_ = limit\n"},
	{"list-used-again", "outdated-list-used-again.md", "internal/proxy/freshness.go", "return f.mayHaveMissedChanges() || now < f.usedAgainFrom()", "return now < f.usedAgainFrom()"},
	{"orders-one-way", "orders-at-a-successor.md", "internal/proxy/evacuation.go", "		p.sendLastOrder(h.predecessor)\n		p.sendLastOrder(h.successor)\n", "		p.sendLastOrder(h.successor)\n"},
	{"list-not-handed-on", "drains-unknown-to-a-successor.md", "internal/proxy/handover.go", "	p.sendWholeList(c)\n", ""},
	{"reset-registered", "descriptors-lost-to-resets.md", "internal/proxy/register.go", "if conn.RemoteAddr() == nil {", "if false {"},
	{"peek-for-close", "sent-for-a-client-behind-unread-bytes.md", "internal/proxy/attempt.go", "	case err != nil || n == 0:\n", "	case err != nil || n == 0 || fds[0].Revents&unix.POLLIN != 0:\n"},
	{"ids-forgotten", "an-id-ran-twice.md", "internal/proxy/client.go", "	case p.sentIDs.contains(now, c.parser.ID) && c.parser.ResumeServer == \"\":", "	case false:"},
	{"no-sum", "output-without-a-sum.md", "internal/proxy/unsent.go", "if u.limit == 0 || u.total <= u.limit {", "if true {"},
	{"line-by-line", "one-client-held-up-all.md", "internal/proxy/relay.go", "		if fed < len(data) && c.pendingMove == nil {\n", "		if false {\n"},
}

// Build builds the proxy of a mutant from the module at root, and writes it to program. It fails if the source no longer has the piece
// that the mutant replaces.
func (m Mutant) Build(ctx context.Context, root, program string) error {
	source := filepath.Join(root, m.File)
	text, err := os.ReadFile(source)
	if err != nil {
		return err
	}
	if n := strings.Count(string(text), m.Old); n != 1 {
		return fmt.Errorf("mutant %s: %s has the piece to replace %d times, 1 is wanted", m.Name, m.File, n)
	}
	folder, err := os.MkdirTemp("", "mutant")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	mutated, overlay := filepath.Join(folder, "mutated.go"), filepath.Join(folder, "overlay.json")
	replacements, err := json.Marshal(map[string]map[string]string{"Replace": {source: mutated}})
	if err != nil {
		return err
	}
	if err := os.WriteFile(mutated, []byte(strings.Replace(string(text), m.Old, m.New, 1)), 0o600); err != nil {
		return err
	}
	if err := os.WriteFile(overlay, replacements, 0o600); err != nil {
		return err
	}
	build := exec.CommandContext(ctx, "go", "build", "-overlay", overlay, "-o", program, "./cmd/hatchproxy")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("mutant %s: %w\n%s", m.Name, err, out)
	}
	return nil
}
