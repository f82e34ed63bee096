/** Max-min fairness by water-filling. */

/** A party that demands part of a capacity. */
export interface Claimant {
  readonly demand: number;
  readonly weight: number;
}

/**
 * The level, per unit of weight, that uses up `capacity` if each claimant gets the lesser of its demand
 * and its weight times the level. Infinity if all demands fit.
 */
export function fairLevel(
  claimants: readonly Claimant[],
  capacity: number,
): number {
  const sorted = claimants
    .filter(claimant => claimant.weight > 0)
    .sort((a, b) => a.demand / a.weight - b.demand / b.weight);
  let remainingWeight = sorted.reduce(
    (sum, claimant) => sum + claimant.weight,
    0,
  );
  let remaining = capacity;
  for (const claimant of sorted) {
    const level = remaining / remainingWeight;
    if (claimant.demand / claimant.weight > level) {
      return Math.max(0, level);
    }
    remaining -= claimant.demand;
    remainingWeight -= claimant.weight;
  }
  return Infinity;
}
