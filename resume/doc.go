// Package resume knows at which software version of its service a stream began, so that a stream that broke off is
// continued only there: what replicas of two versions write does not fit together, and replicas do not check it.
//
// The versions that may have open streams are recorded in the store, and no caller gets an event of a version before its instance
// knows that it is recorded. So a record that is read after a caller has come back has the version that began its stream. While it
// has one version, nothing need be known of single streams. Otherwise, or while it does not hear from the store, each instance
// tells a few others of its zone, its homes for that stream, when the first event of a stream arrives, and an instance where the
// stream is taken up asks them. A stream that nobody knows is not continued.
package resume
