package cacheproxy.placement;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32;

/**
 * The ketama ring as nginx and Cache::Memcached::Fast build it: 160 points for each unit of weight, each the CRC-32 of
 * host, NUL, port and the previous point. Points are in ascending unsigned order; of equal points, only the first
 * target's is kept.
 */
final class KetamaRing {
    private static final int POINTS_PER_WEIGHT = 160;
    private static final String UNIX_PREFIX = "unix:";
    private static final String SEPARATOR = "\0";

    /** Bits of a sort key that hold the target's index, below those of the point. */
    private static final int INDEX_BITS = 31;

    private final int[] points;
    private final int[] targets;

    KetamaRing(List<PlacementTarget> targetList) {
        long[] sortKeys = sortKeys(targetList);
        int[] uniquePoints = new int[sortKeys.length];
        int[] uniqueTargets = new int[sortKeys.length];
        int count = 0;
        for (long sortKey : sortKeys) {
            int point = (int) (sortKey >>> INDEX_BITS);
            if (count == 0 || uniquePoints[count - 1] != point) {
                uniquePoints[count] = point;
                uniqueTargets[count] = (int) sortKey & Integer.MAX_VALUE;
                count++;
            }
        }
        points = Arrays.copyOf(uniquePoints, count);
        targets = Arrays.copyOf(uniqueTargets, count);
    }

    /** Returns all points of all targets, sorted: the point in the upper bits, the target's index in the lower bits. */
    private static long[] sortKeys(List<PlacementTarget> targetList) {
        int weightSum = targetList.stream().mapToInt(PlacementTarget::weight).sum();
        long[] sortKeys = new long[weightSum * POINTS_PER_WEIGHT];
        int count = 0;
        for (int target = 0; target < targetList.size(); target++) {
            byte[] base = hashBase(targetList.get(target).address());
            int point = 0;
            for (int remaining = targetList.get(target).weight() * POINTS_PER_WEIGHT; remaining > 0; remaining--) {
                point = nextPoint(base, point);
                sortKeys[count++] = Integer.toUnsignedLong(point) << INDEX_BITS | target;
            }
        }
        Arrays.sort(sortKeys);
        return sortKeys;
    }

    private static int nextPoint(byte[] base, int previousPoint) {
        CRC32 crc = new CRC32();
        crc.update(base, 0, base.length);
        for (int shift = 0; shift < Integer.SIZE; shift += Byte.SIZE) {
            crc.update(previousPoint >>> shift & 0xFF);
        }
        return (int) crc.getValue();
    }

    /**
     * Returns host, NUL and port of an address; without a port, or for a Unix socket, the whole address is the host.
     */
    private static byte[] hashBase(String address) {
        String host = address;
        String port = "";
        if (address.regionMatches(true, 0, UNIX_PREFIX, 0, UNIX_PREFIX.length())) {
            host = address.substring(UNIX_PREFIX.length());
        } else {
            int colon = portSeparator(address);
            if (colon >= 0) {
                host = address.substring(0, colon);
                port = address.substring(colon + 1);
            }
        }
        return (host + SEPARATOR + port).getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the index of the colon before trailing digits; -1 if there is none. */
    private static int portSeparator(String address) {
        int digits = address.length();
        while (digits > 0 && address.charAt(digits - 1) >= '0' && address.charAt(digits - 1) <= '9') {
            digits--;
        }
        return digits > 0 && address.charAt(digits - 1) == ':' ? digits - 1 : -1;
    }

    /** Returns the number of points. */
    int size() {
        return points.length;
    }

    /** Returns the index of the target that owns a point. */
    int target(int position) {
        return targets[position];
    }

    /** Returns the position of the first point that is not below a hash, unsigned; {@link #size} if there is none. */
    int firstAtOrAfter(int hash) {
        int low = 0;
        int high = points.length;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (Integer.compareUnsigned(points[middle], hash) < 0) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }
}
