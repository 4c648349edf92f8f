package cacheproxy.policy;

import cacheproxy.placement.AdmissionControl;
import cacheproxy.placement.PlacementFactory;
import cacheproxy.siblings.Siblings;
import java.util.SplittableRandom;

/**
 * The dependencies of a policy. All its classes draw from the same random generators, in the order of events.
 *
 * @param settings the settings
 * @param random the seeded generator
 * @param roundingRandom a second generator, for draws that depend on how many servers start and not on requests
 * @param placements builds the placement of each endpoint list
 * @param admission limits that apply beyond this policy
 * @param siblings the sibling caches
 */
record PolicyEnvironment(
        PolicySettings settings,
        SplittableRandom random,
        SplittableRandom roundingRandom,
        PlacementFactory placements,
        AdmissionControl admission,
        Siblings siblings) {}
