import {
  LayerRange,
  layerCountOf,
  Upstream,
} from '../../fleet/common/upstream.js';
import {kvCapacityTokens} from '../../paths/common/pathCost.js';
import {
  EngineSettings,
  LayeredModel,
  Service,
} from '../../traffic/common/trafficConfiguration.js';
import {
  maxLayersWithCapacity,
  REDUNDANCY_CAPACITY_SHARE,
} from './rangeSizes.js';

/** Services whose engines hold layers, and what their upstreams can hold. */

/** A service whose engines hold layers. */
export interface LayeredService {
  readonly name: string;
  readonly engine: EngineSettings;
  readonly layers: LayeredModel;
}

/** Returns a service as one with layers; nothing if its engines hold whole models. */
export function toLayeredServices({
  name,
  engine,
}: Service): readonly LayeredService[] {
  return engine?.layers === undefined
    ? []
    : [{name, engine, layers: engine.layers}];
}

/**
 * Maximum number of layers of an upstream that takes over from a lost one. Its present load is ignored: while a
 * data centre is out the others are full, and the data centre stays out unless its upstreams take over layers.
 */
export function takeOverLayerLimit(
  {engine, layers}: LayeredService,
  {acceleratorKind}: Upstream,
): number {
  const kind = layers.kinds.find(({name}) => name === acceleratorKind);
  const usualTokens = usualTokensOf(engine);
  const capacityTokens = REDUNDANCY_CAPACITY_SHARE * engine.slots * usualTokens;
  return kind === undefined
    ? 0
    : maxLayersWithCapacity(engine, layers, kind, capacityTokens);
}

/** KV-cache capacity beside a number of layers, as a share of what all slots need at the usual size, at most 1. */
export function capacityShareOf(
  {engine, layers}: LayeredService,
  {acceleratorKind}: Upstream,
  layerCount: number,
): number {
  const kind = layers.kinds.find(({name}) => name === acceleratorKind);
  const memory = kind?.memoryMegabytes ?? 0;
  const fullCapacity = engine.slots * usualTokensOf(engine);
  const capacity = kvCapacityTokens(engine, layers, memory, layerCount);
  return Math.min(1, Math.max(capacity / fullCapacity, Number.EPSILON));
}

/** Time that an upstream needs to load a range while it loads nothing else. */
export function loadMillisecondsOf(
  {engine, layers}: LayeredService,
  range: LayerRange,
): number {
  const [model] = engine.models;
  const share = layerCountOf(range) / layers.layerCount;
  return (model?.loadSeconds ?? 0) * 1000 * share;
}

/** Tokens of a request of the usual size. */
function usualTokensOf(engine: EngineSettings): number {
  return engine.usualPromptTokens + engine.usualAnswerTokens;
}
