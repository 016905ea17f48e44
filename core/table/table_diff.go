package table

import (
	"fmt"
	"strings"
)

// Change is the difference of one row between two tables.
type Change struct {
	// Row identifies the row, such as "allow acme chat@v2".
	Row string
	// Cells lists the cells that differ; it is empty if the row was added or
	// removed.
	Cells []CellChange
	// Added and Removed are set if the row is in only one of the tables.
	Added   bool
	Removed bool
}

// CellChange is one cell that differs.
type CellChange struct {
	Column string
	Old    string
	New    string
}

// String formats the change on one line, as `ladderridge table diff` prints it.
func (c Change) String() string {
	switch {
	case c.Added:
		return "+ " + c.Row
	case c.Removed:
		return "- " + c.Row
	}
	parts := make([]string, 0, len(c.Cells))
	for _, cell := range c.Cells {
		parts = append(parts, fmt.Sprintf("%s %q -> %q", cell.Column, cell.Old, cell.New))
	}
	return "~ " + c.Row + ": " + strings.Join(parts, ", ")
}

// Diff returns the changes that lead from table a to table b.
func Diff(a, b *Table) []Change {
	old := map[string]row{}
	for _, r := range a.rows() {
		old[r.key] = r
	}
	var changes []Change
	for _, r := range b.rows() {
		was, ok := old[r.key]
		delete(old, r.key)
		if !ok {
			changes = append(changes, Change{Row: r.key, Added: true})
			continue
		}
		if cells := diffCells(was, r); len(cells) > 0 {
			changes = append(changes, Change{Row: r.key, Cells: cells})
		}
	}
	for _, r := range a.rows() {
		if _, gone := old[r.key]; gone {
			changes = append(changes, Change{Row: r.key, Removed: true})
		}
	}
	return changes
}

func diffCells(a, b row) []CellChange {
	var cells []CellChange
	for i := range columnCount {
		if a.cells[i] != b.cells[i] {
			cells = append(cells, CellChange{Column: columnNames[i], Old: a.cells[i], New: b.cells[i]})
		}
	}
	return cells
}
