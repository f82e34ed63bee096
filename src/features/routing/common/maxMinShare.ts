/** Max-min fairness by water-filling. */

/** One who wants part of a capacity. */
export interface Claimant {
  readonly wanted: number;
  readonly weight: number;
}

/**
 * The level, per unit of weight, at which `capacity` is used up when each claimant gets the lesser
 * of its want and its weight times the level; Infinity if all wants fit.
 */
export function fairLevel(
  claimants: readonly Claimant[],
  capacity: number,
): number {
  const ascending = claimants
    .filter(one => one.weight > 0)
    .sort((a, b) => a.wanted / a.weight - b.wanted / b.weight);
  let weight = ascending.reduce((sum, one) => sum + one.weight, 0);
  let left = capacity;
  for (const one of ascending) {
    const level = left / weight;
    if (one.wanted / one.weight > level) {
      return Math.max(0, level);
    }
    left -= one.wanted;
    weight -= one.weight;
  }
  return Infinity;
}
