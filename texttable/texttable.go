// Package texttable formats aligned text tables for terminal reports.
package texttable

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// columnGapSpaces is the number of spaces between two columns.
const columnGapSpaces = 2

// Write appends a table to text. It calls rows once, with a function that adds one row.
func Write(text *strings.Builder, rows func(row func(columns ...any))) {
	writer := tabwriter.NewWriter(text, 0, 0, columnGapSpaces, ' ', 0)
	rows(func(columns ...any) {
		for _, column := range columns {
			_, _ = fmt.Fprintf(writer, "%v\t", column)
		}
		_, _ = fmt.Fprintln(writer)
	})
	_ = writer.Flush()
}
