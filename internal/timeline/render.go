package timeline

import (
	"bufio"
	"fmt"
	"html"
	"io"
	"maps"
	"slices"
	"strings"
)

const timeFormat = "15:04:05.000000"

// WriteText writes one line for each event, then one for each unreachable
// process and for each process with overwritten events.
func (c Collection) WriteText(w io.Writer) error {
	b := bufio.NewWriter(w)
	for _, e := range c.Events {
		fmt.Fprintf(b, "%s  %-12s %-10s %-20s %s\n",
			e.At.Time().UTC().Format(timeFormat), e.Process, e.Part, e.Kind, e.format())
	}
	for _, u := range c.Unreached {
		fmt.Fprintf(b, "not reached: %s: %s\n", u.URL, u.Error)
	}
	for _, process := range slices.Sorted(maps.Keys(c.Overwritten)) {
		fmt.Fprintf(b, "overwritten: %s: %d older events\n", process, c.Overwritten[process])
	}
	return b.Flush()
}

// format returns the fields of an event as text.
func (f Fields) format() string {
	var parts []string
	for _, field := range []struct{ name, value string }{
		{"group", f.Group}, {"upstream", f.Upstream}, {"session", f.Session},
		{"request", f.Request}, {"service", f.Service},
	} {
		if field.value != "" {
			parts = append(parts, field.name+"="+field.value)
		}
	}
	if f.Text != "" {
		parts = append(parts, f.Text)
	}
	return strings.Join(parts, " ")
}

// Sizes of the drawing, in pixels.
const (
	laneWidth       = 260
	rowHeight       = 18
	topMargin       = 40
	timeColumnWidth = 120
	dotRadius       = 4
	textOffset      = 8
	baselineOffset  = 4
	maxLabelLength  = 34 // characters
)

var partColors = map[Part]string{
	PartEntry:     "#1f77b4",
	PartUpstream:  "#2ca02c",
	PartAgent:     "#9467bd",
	PartControl:   "#d62728",
	PartAdmission: "#ff7f0e",
	PartConfig:    "#17becf",
	PartAdmin:     "#8c564b",
	PartProcess:   "#7f7f7f",
}

// WriteSVG draws the events from top to bottom, one lane for each process.
func (c Collection) WriteSVG(w io.Writer) error {
	lanes := c.lanes()
	width := timeColumnWidth + laneWidth*max(1, len(lanes))
	height := topMargin + rowHeight*(len(c.Events)+len(c.Unreached)+1)
	b := bufio.NewWriter(w)
	fmt.Fprintf(b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="monospace" font-size="11">`+"\n", width, height)
	fmt.Fprintf(b, `<rect width="%d" height="%d" fill="white"/>`+"\n", width, height)
	for _, process := range slices.Sorted(maps.Keys(lanes)) {
		x := lanes[process]
		fmt.Fprintf(b, `<text x="%d" y="%d" font-weight="bold">%s</text>`+"\n", x, topMargin/2, html.EscapeString(process))
		fmt.Fprintf(b, `<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#ccc"/>`+"\n", x, topMargin, x, height)
	}
	y := topMargin + rowHeight
	for _, e := range c.Events {
		writeRow(b, e, lanes[e.Process], y)
		y += rowHeight
	}
	for _, u := range c.Unreached {
		fmt.Fprintf(b, `<text x="0" y="%d" fill="#d62728">not reached: %s</text>`+"\n", y, html.EscapeString(u.URL))
		y += rowHeight
	}
	fmt.Fprintln(b, "</svg>")
	return b.Flush()
}

func writeRow(b *bufio.Writer, e Event, x, y int) {
	color, ok := partColors[e.Part]
	if !ok {
		color = "black"
	}
	label := string(e.Kind) + " " + e.format()
	fmt.Fprintf(b, `<g><title>%s</title>`, html.EscapeString(label))
	fmt.Fprintf(b, `<text x="0" y="%d" fill="#666">%s</text>`, y+baselineOffset, e.At.Time().UTC().Format(timeFormat))
	fmt.Fprintf(b, `<circle cx="%d" cy="%d" r="%d" fill="%s"/>`, x, y, dotRadius, color)
	fmt.Fprintf(b, `<text x="%d" y="%d">%s</text></g>`+"\n", x+textOffset, y+baselineOffset, html.EscapeString(truncate(label)))
}

func truncate(s string) string {
	runes := []rune(s)
	if len(runes) <= maxLabelLength {
		return s
	}
	return string(runes[:maxLabelLength-1]) + "…"
}

// lanes returns the horizontal position of each process, in order of appearance.
func (c Collection) lanes() map[string]int {
	lanes := map[string]int{}
	for _, e := range c.Events {
		if _, ok := lanes[e.Process]; !ok {
			lanes[e.Process] = timeColumnWidth + laneWidth*len(lanes)
		}
	}
	return lanes
}
