import {Clock} from '../../../base/common/clock.js';
import {layerCountOf, Upstream} from '../../fleet/common/upstream.js';
import {EngineSettings} from '../../traffic/common/trafficConfiguration.js';
import {Path} from './path.js';
import {acceleratorKindOf} from './pathCost.js';

/**
 * Share of an upstream's time that is spent on prefill. The rest goes to decode steps of running requests: on 6
 * layers of a slow kind, a pass of 512 prompt tokens takes 2.1 ms and the two decode steps beside it take 1.9 ms.
 */
const PREFILL_TIME_SHARE = 0.5;

/**
 * Estimates how long the prompts sent to each upstream keep it busy with prefill. This balances the load right
 * after a loss: every instance independently restarts the streams of the lost upstream within milliseconds, long
 * before reports or peers show where the others sent theirs. All instances are assumed to send as much as this one.
 */
export class PrefillBacklog {
  /** Monotonic milliseconds until which each upstream is busy with prefill. */
  private readonly busyUntil = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    private readonly instanceCount: () => number,
    /** Factor by which an upstream is slower than its kind. */
    private readonly slownessOf: (upstream: string) => number,
  ) {}

  /** Records a prompt sent along a path. The upstreams in `cachedIds` still have it in their KV cache. */
  recordPrompt(
    engine: EngineSettings,
    path: Path,
    promptTokens: number,
    cachedIds: ReadonlySet<string>,
  ): void {
    const now = this.clock.monotonicMilliseconds();
    for (const {upstream} of path) {
      if (!cachedIds.has(upstream.id)) {
        const time =
          prefillMilliseconds(engine, upstream, promptTokens) *
          this.slownessOf(upstream.id);
        const from = Math.max(now, this.busyUntil.get(upstream.id) ?? now);
        const added = time * Math.max(1, this.instanceCount());
        this.busyUntil.set(upstream.id, from + added);
      }
    }
  }

  /** Milliseconds that another prompt would wait at an upstream. */
  waitOf(upstream: string): number {
    const until = this.busyUntil.get(upstream) ?? 0;
    return Math.max(0, until - this.clock.monotonicMilliseconds());
  }

  /** Removes the entries of upstreams that are no longer listed. */
  retain(isKept: (upstream: string) => boolean): void {
    for (const upstream of this.busyUntil.keys()) {
      if (!isKept(upstream)) {
        this.busyUntil.delete(upstream);
      }
    }
  }
}

/** Prefill time of a prompt in all layers that an upstream holds. */
function prefillMilliseconds(
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
  const promptTokensPerMillisecond =
    (engine.promptTokensPerSecond / 1000) * PREFILL_TIME_SHARE;
  return (
    (promptTokens / promptTokensPerMillisecond) *
    acceleratorKindOf(layers, upstream).readFactor *
    share
  );
}
