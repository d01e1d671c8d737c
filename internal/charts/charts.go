// Package charts embeds the state charts that components load with package
// statechart.
package charts

import (
	"embed"
	"fmt"
)

//go:embed *.toml
var files embed.FS

// Read returns the chart file with the given name. It panics if the file is missing,
// since the names are fixed when the binary is built.
func Read(name string) []byte {
	data, err := files.ReadFile(name)
	if err != nil {
		panic(fmt.Sprintf("charts: %v", err))
	}
	return data
}
