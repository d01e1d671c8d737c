package topo

// ReportedPoint is the end of an upstream's log as the upstream reports it with an answer.
// An upstream may report none, which tells nothing about its log: the zero value is no
// point, unlike the zero Point, which is before the first entry of a log.
type ReportedPoint struct {
	Term     Term     `msgpack:"t"`
	Position Position `msgpack:"p"`
	// Known is false if the upstream reported no point.
	Known bool `msgpack:"k"`
}

// Reported returns the report of a point.
func Reported(p Point) ReportedPoint {
	return ReportedPoint{Term: p.Term, Position: p.Position, Known: true}
}

// Point returns the point. known is false if the upstream reported none.
func (r ReportedPoint) Point() (p Point, known bool) {
	if !r.Known {
		return Point{}, false
	}
	return Point{Term: r.Term, Position: r.Position}, true
}

// Or returns the report, or the other one if the upstream reported no point with it.
func (r ReportedPoint) Or(other ReportedPoint) ReportedPoint {
	if r.Known {
		return r
	}
	return other
}
