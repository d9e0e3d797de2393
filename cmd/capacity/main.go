// Command capacity measures the membership protocol of fleets of several sizes and prints a table in CSV format.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"rhubarbpoint/internal/capacity"
)

// sizes are today's size, the size expected in two years, and steps in between.
var sizes = []capacity.FleetSize{
	{Instances: 3, Regions: 1, ZonesPerRegion: 1, Engines: 9, TCP: true},
	{Instances: 9, Regions: 3, ZonesPerRegion: 1, Engines: 12, TCP: true},
	{Instances: 30, Regions: 3, ZonesPerRegion: 1, Engines: 81, TCP: true},
	{Instances: 100, Regions: 2, ZonesPerRegion: 3, Engines: 269, TCP: true},
	{Instances: 320, Regions: 2, ZonesPerRegion: 3, Engines: 860},
}

func main() {
	warm := flag.Duration("warm", 20*time.Second, "warm-up time before the measurement")
	span := flag.Duration("span", 20*time.Second, "duration of the measurement")
	only := flag.Int("instances", 0, "measure only the fleet with this number of instances")
	flag.Parse()
	fmt.Println(capacity.Header)
	for _, size := range sizes {
		if *only != 0 && size.Instances != *only {
			continue
		}
		result, err := capacity.Run(size, *warm, *span)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Println(result)
	}
}
