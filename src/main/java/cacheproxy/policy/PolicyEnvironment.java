package cacheproxy.policy;

import cacheproxy.placement.AdmissionControl;
import cacheproxy.placement.PlacementFactory;
import cacheproxy.siblings.Siblings;
import java.util.SplittableRandom;

/**
 * What a policy is created with. All parts of the policy draw from the one generator, in the order of events.
 *
 * @param settings the settings
 * @param random the seeded generator
 * @param placements builds the placement of each endpoint list
 * @param admission limits that reach further than this policy
 * @param siblings the sibling caches
 */
record PolicyEnvironment(
        PolicySettings settings,
        SplittableRandom random,
        PlacementFactory placements,
        AdmissionControl admission,
        Siblings siblings) {}
