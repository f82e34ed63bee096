import {Route} from './trafficConfiguration.js';

/** Picks the service of a request by the weights of its route. `draw` lies in [0, 1). */
export function chooseTarget(route: Route, draw: number): string | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let left = draw * total;
  for (const target of route.targets) {
    left -= target.weight;
    if (left < 0) {
      return target.service;
    }
  }
  return route.targets.at(-1)?.service;
}
