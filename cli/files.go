package cli

import (
	"strconv"

	"github.com/integrii/flaggy"
)

// addFiles adds up to limit positional file arguments to a command, starting at
// position first. The first file is required.
func addFiles(sub *flaggy.Subcommand, first, limit int, description string) []string {
	files := make([]string, limit)
	for i := range files {
		name := "file"
		if i > 0 {
			name += strconv.Itoa(i + 1)
		}
		sub.AddPositionalValue(&files[i], name, first+i, i == 0, description)
		sub.PositionalFlags[len(sub.PositionalFlags)-1].Hidden = i > 1
	}
	return files
}

// givenFiles returns the files that the command line contains.
func givenFiles(files []string) []string {
	for i, file := range files {
		if file == "" {
			return files[:i]
		}
	}
	return files
}
