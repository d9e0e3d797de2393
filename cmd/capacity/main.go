// Command capacity measures the membership of fleets of several sizes and prints a table of comma-separated values.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"rhubarbpoint/internal/capacity"
)

// shapes are today's size, the steps in between and the size of two years.
var shapes = []capacity.FleetSize{
	{Instances: 3, Regions: 1, ZonesPerRegion: 1, Engines: 9, TCP: true},
	{Instances: 9, Regions: 3, ZonesPerRegion: 1, Engines: 12, TCP: true},
	{Instances: 30, Regions: 3, ZonesPerRegion: 1, Engines: 81, TCP: true},
	{Instances: 100, Regions: 2, ZonesPerRegion: 3, Engines: 269, TCP: true},
	{Instances: 320, Regions: 2, ZonesPerRegion: 3, Engines: 860},
}

func main() {
	warm := flag.Duration("warm", 20*time.Second, "time before the measurement")
	span := flag.Duration("span", 20*time.Second, "time of the measurement")
	only := flag.Int("instances", 0, "measure this size only")
	flag.Parse()
	fmt.Println(capacity.Header)
	for _, shape := range shapes {
		if *only != 0 && shape.Instances != *only {
			continue
		}
		result, err := capacity.Run(shape, *warm, *span)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Println(result)
	}
}
