package cli

import (
	"bytes"
	"fmt"
	"html/template"
	"slices"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// Dimensions of the picture, in pixels, and the number of sections of its axis.
const (
	pageWidth    = 1200
	laneHeight   = 44
	laneMargin   = 150
	axisHeight   = 40
	eventRadius  = 5
	rightMargin  = 20
	axisSections = 6
)

// eventColours are the colours of events, by the thousands of their number.
var eventColours = map[int32]string{1: "#1565c0", 2: "#2e7d32", 3: "#c62828", 4: "#6a1b9a", 5: "#546e7a"}

// A mark is one event in the picture.
type mark struct {
	X, Y   float64
	Colour string
	Title  string
}

// A lane is one daemon in the picture.
type lane struct {
	Y    float64
	Name string
}

// A tick is one time on the axis.
type tick struct {
	X    float64
	Text string
}

// A listedEvent is one row of the table below the picture.
type listedEvent struct {
	Time, Daemon, Name, Fields string
	Number                     int32
}

// A picture is the layout of a time line, for the page's template.
type picture struct {
	Width, Height, Right int
	Radius               int
	Filter               string
	Missing              []string
	Lanes                []lane
	Ticks                []tick
	Marks                []mark
	Events               []listedEvent
}

var pageTemplate = template.Must(template.New("timeline").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Time line</title>
<style>
body { font: 14px sans-serif; margin: 1em }
table { border-collapse: collapse } td, th { text-align: left; padding: 2px 10px; border-bottom: 1px solid #ddd }
</style></head><body>
<h1>Time line{{with .Filter}}: {{.}}{{end}}</h1>
{{with .Missing}}<p><strong>Incomplete:</strong> no answer from {{range .}}{{.}} {{end}}</p>{{end}}
<svg xmlns="http://www.w3.org/2000/svg" width="{{.Width}}" height="{{.Height}}" role="img">
{{$right := .Right}}{{range .Lanes}}<line x1="150" x2="{{$right}}" y1="{{.Y}}" y2="{{.Y}}" stroke="#ccc"/><text x="5" y="{{.Y}}" dy="4">{{.Name}}</text>
{{end}}{{range .Ticks}}<text x="{{.X}}" y="15" font-size="11" text-anchor="middle">{{.Text}}</text>
{{end}}{{$radius := .Radius}}{{range .Marks}}<circle cx="{{.X}}" cy="{{.Y}}" r="{{$radius}}" fill="{{.Colour}}" fill-opacity="0.7"><title>{{.Title}}</title></circle>
{{end}}</svg>
<table><tr><th>time</th><th>daemon</th><th>number</th><th>event</th><th>fields</th></tr>
{{range .Events}}<tr><td>{{.Time}}</td><td>{{.Daemon}}</td><td>{{.Number}}</td><td>{{.Name}}</td><td>{{.Fields}}</td></tr>
{{end}}</table></body></html>
`))

// timelinePage returns a time line as one self-contained HTML page with an SVG
// picture: a lane for each daemon, a mark for each event.
func timelinePage(timeline *kumquatv1.TimelineResponse, filter string) []byte {
	var page bytes.Buffer
	if err := pageTemplate.Execute(&page, layOut(timeline, filter)); err != nil {
		panic(err) // Can't happen: the template is constant and the buffer can't fail.
	}
	return page.Bytes()
}

func layOut(timeline *kumquatv1.TimelineResponse, filter string) picture {
	events := timeline.GetEvents()
	lanes := lanesOf(events)
	p := picture{
		Width:   pageWidth,
		Right:   pageWidth - rightMargin,
		Height:  axisHeight + laneHeight*len(lanes),
		Radius:  eventRadius,
		Filter:  filter,
		Missing: timeline.GetMissing(),
		Lanes:   lanes,
	}
	if len(events) == 0 {
		return p
	}
	first, last := events[0].GetClock(), events[len(events)-1].GetClock()
	for i := range axisSections + 1 {
		clock := first + (last-first)/axisSections*uint64(i)
		p.Ticks = append(p.Ticks, tick{X: position(clock, first, last), Text: formatClock(clock)})
	}
	for _, event := range events {
		p.Marks = append(p.Marks, mark{
			X:      position(event.GetClock(), first, last),
			Y:      laneOf(lanes, event.GetDaemon()),
			Colour: eventColours[event.GetNumber()/1000],
			Title:  fmt.Sprintf("%s %s %s", formatClock(event.GetClock()), event.GetName(), formatFields(event.GetFields())),
		})
		p.Events = append(p.Events, listedEvent{
			Time: formatClock(event.GetClock()), Daemon: event.GetDaemon(), Name: event.GetName(),
			Fields: formatFields(event.GetFields()), Number: event.GetNumber(),
		})
	}
	return p
}

// position returns the horizontal position of a clock reading, in pixels.
func position(clock, first, last uint64) float64 {
	const width = pageWidth - laneMargin - rightMargin
	if last == first {
		return laneMargin
	}
	return laneMargin + width*float64(clock-first)/float64(last-first)
}

func lanesOf(events []*kumquatv1.Event) []lane {
	var names []string
	for _, event := range events {
		names = append(names, event.GetDaemon())
	}
	slices.Sort(names)
	var lanes []lane
	for i, name := range slices.Compact(names) {
		lanes = append(lanes, lane{Name: name, Y: axisHeight + laneHeight*(float64(i)+0.5)})
	}
	return lanes
}

func laneOf(lanes []lane, daemon string) float64 {
	for _, l := range lanes {
		if l.Name == daemon {
			return l.Y
		}
	}
	return 0
}
