/** Scenarios of fault tests: faults, their targets and times, random choice by seed, shrinking. No I/O, no clocks. */
package cacheproxy.faulttest.scenario;
