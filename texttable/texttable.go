// Package texttable writes aligned tables of text, for reports on a terminal.
package texttable

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// columnGap is the spaces between two columns.
const columnGap = 2

// Write adds a table to the text. It calls rows once, with what adds one row.
func Write(text *strings.Builder, rows func(row func(columns ...any))) {
	writer := tabwriter.NewWriter(text, 0, 0, columnGap, ' ', 0)
	rows(func(columns ...any) {
		for _, column := range columns {
			_, _ = fmt.Fprintf(writer, "%v\t", column)
		}
		_, _ = fmt.Fprintln(writer)
	})
	_ = writer.Flush()
}
