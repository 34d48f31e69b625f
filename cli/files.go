package cli

import (
	"strconv"

	"github.com/integrii/flaggy"
)

// addFiles lets a command take up to most files from a position on; the first is required.
func addFiles(parsed *flaggy.Subcommand, first, most int, description string) []string {
	files := make([]string, most)
	for i := range files {
		name := "file"
		if i > 0 {
			name += strconv.Itoa(i + 1)
		}
		parsed.AddPositionalValue(&files[i], name, first+i, i == 0, description)
		parsed.PositionalFlags[len(parsed.PositionalFlags)-1].Hidden = i > 1
	}
	return files
}

// given returns the files that the command line named.
func given(files []string) []string {
	for i, file := range files {
		if file == "" {
			return files[:i]
		}
	}
	return files
}
