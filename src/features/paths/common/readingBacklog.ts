import {Clock} from '../../../base/common/clock.js';
import {layerCountOf, Upstream} from '../../fleet/common/upstream.js';
import {EngineSettings} from '../../traffic/common/trafficConfiguration.js';
import {Path} from './path.js';
import {kindOf} from './pathCost.js';

/**
 * Part of an upstream's time in which it reads prompts. The rest goes to the tokens of running requests:
 * a pass of 512 prompt tokens takes 2.1 ms and two steps beside it 1.9 ms on 6 layers of a slow kind.
 */
const READING_SHARE = 0.5;

/**
 * How long prompts that were sent to an upstream keep it reading. It answers the load right after a loss:
 * all streams that ran through the lost upstream are begun again within some milliseconds, by every
 * instance on its own and long before any report or peer says where the others sent theirs. All instances
 * are taken to send as much as this one.
 */
export class ReadingBacklog {
  /** Monotonic milliseconds until which each upstream reads. */
  private readonly busyUntil = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly instanceCount: () => number,
    /** Factor by which an upstream is slower than its kind. */
    private readonly slownessOf: (upstream: string) => number,
  ) {}

  /** A prompt was sent along a path; the upstreams in `kept` have read it already. */
  note(
    engine: EngineSettings,
    path: Path,
    promptTokens: number,
    kept: ReadonlySet<string>,
  ): void {
    const now = this.clock.monotonicMilliseconds();
    for (const {upstream} of path) {
      if (!kept.has(upstream.id)) {
        const time =
          readingMilliseconds(engine, upstream, promptTokens) *
          this.slownessOf(upstream.id);
        const from = Math.max(now, this.busyUntil.get(upstream.id) ?? now);
        const added = time * Math.max(1, this.instanceCount());
        this.busyUntil.set(upstream.id, from + added);
      }
    }
  }

  /** Milliseconds that a further prompt would wait at an upstream. */
  waitOf(upstream: string): number {
    const until = this.busyUntil.get(upstream) ?? 0;
    return Math.max(0, until - this.clock.monotonicMilliseconds());
  }

  /** Forgets upstreams that are gone. */
  retain(isKept: (upstream: string) => boolean): void {
    for (const upstream of this.busyUntil.keys()) {
      if (!isKept(upstream)) {
        this.busyUntil.delete(upstream);
      }
    }
  }
}

/** Milliseconds in which an upstream reads a prompt through all layers that it holds. */
function readingMilliseconds(
  engine: EngineSettings,
  upstream: Upstream,
  promptTokens: number,
): number {
  const {layers} = engine;
  const held = upstream.layers;
  const share =
    layers === undefined || held === undefined
      ? 1
      : layerCountOf(held) / layers.layerCount;
  const rate = (engine.promptTokensPerSecond / 1000) * READING_SHARE;
  return (promptTokens / rate) * kindOf(layers, upstream).readFactor * share;
}
