import {ChosenStage} from '../../routing/common/routing.js';

/** Whether the stages cover layers 0 to `layerCount` once, in order, each on a different upstream. */
export function coversAllLayers(
  stages: readonly ChosenStage[],
  layerCount: number,
): boolean {
  let coveredTo = 0;
  for (const {layers} of stages) {
    if (layers.from !== coveredTo || layers.to <= layers.from) {
      return false;
    }
    coveredTo = layers.to;
  }
  const upstreams = new Set(stages.map(stage => stage.upstream));
  return coveredTo === layerCount && upstreams.size === stages.length;
}
