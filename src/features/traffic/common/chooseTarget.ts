import {Route} from './trafficConfiguration.js';

/** Selects a service of the route at random, in proportion to the weights. `draw` is a random number in [0, 1). */
export function chooseTarget(route: Route, draw: number): string | undefined {
  const totalWeight = route.targets.reduce(
    (sum, target) => sum + target.weight,
    0,
  );
  let remaining = draw * totalWeight;
  for (const target of route.targets) {
    remaining -= target.weight;
    if (remaining < 0) {
      return target.service;
    }
  }
  return route.targets.at(-1)?.service;
}
