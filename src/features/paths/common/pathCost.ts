import {LoadFigure} from '../../fleet/common/upstreamLoad.js';
import {layerCountOf, Upstream} from '../../fleet/common/upstream.js';
import {
  AcceleratorKind,
  EngineSettings,
  LayerModel,
} from '../../traffic/common/trafficConfiguration.js';
import {Path, tokensOf, WorkSize} from './path.js';

/**
 * Milliseconds that a token waits at each further upstream: part of a pass that is under way, and the
 * network inside a data centre. A guess between the 0.1 ms of the network and passes of 1 to 2 ms.
 */
const HOP_MILLISECONDS = 0.3;

/**
 * Weight of the time for which a transfer occupies the link between data centres. All transfers share
 * it one after another, prompts as well as the single tokens of running streams, which wait behind
 * them. Streams that crossed paused for 110 to 165 ms in the worst tenth, others for 54 ms; so a path
 * crosses only where its data centre has no room.
 */
const CROSSING_WEIGHT = 30;

/**
 * At full memory an upstream counts as five times as slow. Speed matters little as long as targets are
 * kept, an even spread much: what is lost with one upstream is what ran through it, and all of that
 * needs room elsewhere.
 */
const PRESSURE_WEIGHT = 4;

/**
 * Weight of the time that a prompt waits behind others. A broken stream has some 60 ms left for it of the
 * pause that callers allow, while differences in speed cost it nothing: so a wait of 50 ms outweighs a
 * difference of a quarter in the room taken, which is about 1,000 ms of predicted time.
 */
const READING_WAIT_WEIGHT = 20;

/**
 * Share of an upstream's room that may be planned. Requests are planned at their full length and hold less on
 * the way: 908 tokens a stream where 995 were planned, by a report of a full upstream. Share of what callers were owed that
 * they got in time, less costs, in the mean of five simulated days of losses at 0.95, 1.1 and 1.3: 0.696, 0.712 and 0.692.
 */
const PLANNED_ROOM_SHARE = 1.1;

/** A kind that the configuration does not describe counts like the engine's own figures. */
const UNKNOWN_KIND: AcceleratorKind = {
  name: 'unknown',
  memoryMegabytes: 0,
  stepFactor: 1,
  readFactor: 1,
};

const BYTES_PER_MEGABYTE = 1_000_000;
const BITS_PER_BYTE = 8;

/** The accelerator of an upstream. */
export function kindOf(
  layers: LayerModel | undefined,
  upstream: Upstream,
): AcceleratorKind {
  const kind = layers?.kinds.find(
    candidate => candidate.name === upstream.acceleratorKind,
  );
  return kind ?? UNKNOWN_KIND;
}

/** Tokens for which an accelerator has room beside a number of layers. */
export function roomTokens(
  engine: EngineSettings,
  layers: LayerModel,
  memoryMegabytes: number,
  layerCount: number,
): number {
  const free = memoryMegabytes - layerCount * layers.layerMegabytes;
  const bytesPerToken = (engine.kvTokenBytes / layers.layerCount) * layerCount;
  return Math.max(0, (free * BYTES_PER_MEGABYTE) / bytesPerToken);
}

/** Room of an upstream as it stands, in tokens times layers. */
export function roomOf(engine: EngineSettings, upstream: Upstream): number {
  const {layers} = engine;
  if (layers === undefined || upstream.layers === undefined) {
    return engine.kvTokens;
  }
  const {memoryMegabytes} = kindOf(layers, upstream);
  const count = layerCountOf(upstream.layers);
  const tokens =
    memoryMegabytes === 0
      ? engine.kvTokens
      : roomTokens(engine, layers, memoryMegabytes, count);
  return tokens * count;
}

/** The share of an upstream's room that is taken once a request runs through some of its layers too; above 1 it is full. */
export function pressureWith(
  engine: EngineSettings,
  upstream: Upstream,
  load: LoadFigure,
  size: WorkSize,
  layerCount: number,
): number {
  const room = roomOf(engine, upstream) * PLANNED_ROOM_SHARE;
  const taken = load.tokenLayers + tokensOf(size) * layerCount;
  return taken / Math.max(room, 1);
}

/** Predicted milliseconds that a request spends in a number of layers on one upstream. */
export function partMilliseconds(
  engine: EngineSettings,
  upstream: Upstream,
  layerCount: number,
  size: WorkSize,
  pressure: number,
  slowness: number,
): number {
  const kind = kindOf(engine.layers, upstream);
  const share = layerCount / (engine.layers?.layerCount ?? layerCount);
  const step = size.answerTokens * engine.stepMilliseconds * kind.stepFactor;
  const rate = engine.promptTokensPerSecond / 1000;
  const read = (size.promptTokens / rate) * kind.readFactor;
  const crowding = 1 + PRESSURE_WEIGHT * pressure;
  const hop = HOP_MILLISECONDS * size.answerTokens;
  return (step + read) * share * crowding * slowness + hop;
}

/** Cost of waiting on one upstream until it reads a prompt; parts of a path share the wait by their layers. */
export function readingWaitCost(
  engine: EngineSettings,
  layerCount: number,
  waitMilliseconds: number,
): number {
  const share = layerCount / (engine.layers?.layerCount ?? layerCount);
  return waitMilliseconds * share * READING_WAIT_WEIGHT;
}

/** Milliseconds that one token needs on a path whose upstreams are idle, waits between them included. */
export function tokenMilliseconds(engine: EngineSettings, path: Path): number {
  const one = {promptTokens: 0, answerTokens: 1};
  return path.reduce((sum, {upstream, range}) => {
    const count = range.to - range.from;
    return sum + partMilliseconds(engine, upstream, count, one, 0, 1);
  }, 0);
}

/** Predicted milliseconds for passing on all tokens of a request from one data centre to another. */
export function crossingMilliseconds(
  engine: EngineSettings,
  from: string,
  to: string,
  size: WorkSize,
): number {
  const {layers} = engine;
  if (from === to || layers === undefined) {
    return 0;
  }
  const bytes = tokensOf(size) * layers.activationBytes;
  const bitsPerMillisecond = layers.pipeMegabits * 1000;
  const transfer = (bytes * BITS_PER_BYTE) / Math.max(bitsPerMillisecond, 1);
  const delay = delayBetween(engine, from, to) * size.answerTokens;
  return transfer * CROSSING_WEIGHT + delay;
}

function delayBetween(
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
