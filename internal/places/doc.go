// Package places maps zones to regions, measures the proximity of two zones, and evaluates region
// constraints of requests. Everything follows from one table in the settings. A zone that is not in
// the table has no region: it is in another region than every other zone, and no constraint allows
// it.
package places
