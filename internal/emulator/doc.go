// Package emulator stands in for the systems around weldline: model engines,
// generic back ends, the weight store and the machine list, on TCP.
//
// It keeps their real vices, each settable: checkpoint tiers with a speed
// each, a store that admits few loads and slows beyond its limit, continuous
// batching with limited cache memory, load reports that lag, answers that are
// lost or crossed, an engine that dies while loading, a machine list that
// lags.
//
// It also audits what weldline does to it: memory asked for beyond what is
// there, work sent to machines that left, requests run twice, requests cut by
// an unload. An audit that finds nothing is only worth something because each
// of its checks can fail; the tests make each of them fail once.
package emulator
