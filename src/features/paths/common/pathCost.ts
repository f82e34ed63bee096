import {RequestLoad} from '../../fleet/common/upstreamLoadTracker.js';
import {layerCountOf, Upstream} from '../../fleet/common/upstream.js';
import {
  AcceleratorKind,
  EngineSettings,
  LayeredModel,
} from '../../traffic/common/trafficConfiguration.js';
import {Path, totalTokensOf, RequestSize} from './path.js';

/**
 * Delay of each token at an upstream: the rest of the pass in progress, and the network inside a data centre.
 * Lies between the 0.1 ms of the network and the 1 to 2 ms of a pass.
 */
const HOP_DELAY_MILLISECONDS = 0.3;

/**
 * Weight of the time for which a transfer occupies the link between data centres. Transfers use the link one
 * after another, so single tokens of running streams queue behind prompts. In the worst tenth, streams that
 * crossed paused for 110 to 165 ms and others for 54 ms. With this weight, a path crosses only if its data centre
 * has no capacity.
 */
const CROSSING_WEIGHT = 30;

/**
 * At full memory an upstream counts as five times as slow. As long as latency targets are met, an even
 * distribution matters more than speed: all requests of a lost upstream need capacity elsewhere.
 */
const MEMORY_PRESSURE_WEIGHT = 4;

/**
 * Weight of the time that a prompt waits for the prefill of others. An interrupted stream has about 60 ms left for
 * this wait of the pause that callers tolerate, while differences in speed cost it nothing. So a wait of 50 ms
 * outweighs a difference of a quarter in used capacity, which is about 1,000 ms of predicted time.
 */
const PREFILL_WAIT_WEIGHT = 20;

/**
 * Share of an upstream's KV-cache capacity that may be planned. Requests are planned at their full length but use
 * less until they end: a full upstream reported 908 tokens per stream where 995 were planned.
 */
const PLANNED_CAPACITY_SHARE = 1.1;

/** Stands in for kinds missing from the configuration: the engine's figures apply without a factor. */
const UNKNOWN_KIND: AcceleratorKind = {
  name: 'unknown',
  memoryMegabytes: 0,
  stepFactor: 1,
  readFactor: 1,
};

const BYTES_PER_MEGABYTE = 1_000_000;
const BITS_PER_BYTE = 8;

/** The accelerator kind of an upstream, or `UNKNOWN_KIND` if it is not configured. */
export function acceleratorKindOf(
  layers: LayeredModel | undefined,
  upstream: Upstream,
): AcceleratorKind {
  const kind = layers?.kinds.find(
    candidate => candidate.name === upstream.acceleratorKind,
  );
  return kind ?? UNKNOWN_KIND;
}

/** Number of tokens that fit into the KV cache of an accelerator beside a number of layers. */
export function kvCapacityTokens(
  engine: EngineSettings,
  layers: LayeredModel,
  memoryMegabytes: number,
  layerCount: number,
): number {
  const freeMegabytes = memoryMegabytes - layerCount * layers.layerMegabytes;
  const bytesPerToken = (engine.kvTokenBytes / layers.layerCount) * layerCount;
  return Math.max(0, (freeMegabytes * BYTES_PER_MEGABYTE) / bytesPerToken);
}

/** KV-cache capacity of an upstream beside its current layers, in tokens times layers. */
export function kvCapacityTokenLayers(
  engine: EngineSettings,
  upstream: Upstream,
): number {
  const {layers} = engine;
  if (layers === undefined || upstream.layers === undefined) {
    return engine.kvTokens;
  }
  const {memoryMegabytes} = acceleratorKindOf(layers, upstream);
  const count = layerCountOf(upstream.layers);
  const tokens =
    memoryMegabytes === 0
      ? engine.kvTokens
      : kvCapacityTokens(engine, layers, memoryMegabytes, count);
  return tokens * count;
}

/** Used share of an upstream's planned capacity with a request added to some of its layers; above 1 it is full. */
export function memoryPressureWith(
  engine: EngineSettings,
  upstream: Upstream,
  load: RequestLoad,
  size: RequestSize,
  layerCount: number,
): number {
  const capacity =
    kvCapacityTokenLayers(engine, upstream) * PLANNED_CAPACITY_SHARE;
  const used = load.tokenLayers + totalTokensOf(size) * layerCount;
  return used / Math.max(capacity, 1);
}

/** Predicted milliseconds that a request spends in a number of layers of an upstream. */
export function predictPartMilliseconds(
  engine: EngineSettings,
  upstream: Upstream,
  layerCount: number,
  size: RequestSize,
  pressure: number,
  slowness: number,
): number {
  const kind = acceleratorKindOf(engine.layers, upstream);
  const share = layerCount / (engine.layers?.layerCount ?? layerCount);
  const decodeMilliseconds =
    size.answerTokens * engine.stepMilliseconds * kind.stepFactor;
  const promptTokensPerMillisecond = engine.promptTokensPerSecond / 1000;
  const prefillMilliseconds =
    (size.promptTokens / promptTokensPerMillisecond) * kind.readFactor;
  const pressureFactor = 1 + MEMORY_PRESSURE_WEIGHT * pressure;
  const hopDelay = HOP_DELAY_MILLISECONDS * size.answerTokens;
  return (
    (decodeMilliseconds + prefillMilliseconds) *
      share *
      pressureFactor *
      slowness +
    hopDelay
  );
}

/** Cost of the wait until an upstream starts the prefill, in proportion to the share of layers that it computes. */
export function prefillWaitCost(
  engine: EngineSettings,
  layerCount: number,
  waitMilliseconds: number,
): number {
  const share = layerCount / (engine.layers?.layerCount ?? layerCount);
  return waitMilliseconds * share * PREFILL_WAIT_WEIGHT;
}

/** Milliseconds that one token takes on a path with idle upstreams, including delays between them. */
export function idleTokenMilliseconds(
  engine: EngineSettings,
  path: Path,
): number {
  const one = {promptTokens: 0, answerTokens: 1};
  return path.reduce((sum, {upstream, range}) => {
    const count = range.to - range.from;
    return sum + predictPartMilliseconds(engine, upstream, count, one, 0, 1);
  }, 0);
}

/** Weighted milliseconds for the transfer of all tokens of a request from one data centre to another. */
export function weightedCrossingMilliseconds(
  engine: EngineSettings,
  from: string,
  to: string,
  size: RequestSize,
): number {
  const {layers} = engine;
  if (from === to || layers === undefined) {
    return 0;
  }
  const bytes = totalTokensOf(size) * layers.activationBytes;
  const bitsPerMillisecond = layers.pipeMegabits * 1000;
  const transfer = (bytes * BITS_PER_BYTE) / Math.max(bitsPerMillisecond, 1);
  const delay = networkDelayBetween(engine, from, to) * size.answerTokens;
  return transfer * CROSSING_WEIGHT + delay;
}

function networkDelayBetween(
  engine: EngineSettings,
  from: string,
  to: string,
): number {
  const delay = engine.delays.find(
    entry =>
      (entry.from === from && entry.to === to) ||
      (entry.from === to && entry.to === from),
  );
  return delay?.milliseconds ?? 0;
}
