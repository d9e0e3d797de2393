// Package resume knows at which software version of its service a stream began, so that a stream that broke off is
// continued only there: what replicas of two versions write does not fit together, and replicas do not check it.
//
// While all replicas of a service have had one version for longer than a stream can last, nothing need be known of single
// streams. Otherwise each instance tells a few others of its zone, its homes for that stream, when the first event of a
// stream arrives, and an instance where the stream is taken up asks them. A stream that nobody knows is not continued.
//
// An instance that has just started does not know which versions served before. The versions that may have open streams are
// therefore recorded in the store, where they also survive a power failure of all instances.
package resume
