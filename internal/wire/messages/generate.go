// Package messages holds the messages between the daemons and in their files. It is generated
// from bluebellgauge.proto; no logic may live here.
package messages

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative bluebellgauge.proto queue.proto
