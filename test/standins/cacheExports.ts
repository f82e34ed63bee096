import {randomUUID} from 'node:crypto';

import {request as httpRequest} from 'undici';

import {LayerRange} from '../../src/infrastructure/engine/common/engineConnection.js';
import {LayerCache} from './referenceModel.js';
import {Sequence} from './sequences.js';
import {evictOldest} from '../../src/base/common/evictOldest.js';

const EXPORT_LIMIT = 64;

/** An exported KV cache. */
export interface CacheExport {
  readonly requestId: string;
  readonly layers: LayerRange;
  readonly caches: ReadonlyArray<readonly [number, LayerCache]>;
  readonly tokens: readonly string[];
}

/** The newest exports of an engine, kept for other engines to fetch. */
export class CacheExports {
  private readonly exports = new Map<string, CacheExport>();

  /** Copies the positions that the sequence covers in all of these layers; returns the id of the copy. */
  add(sequence: Sequence, layers: LayerRange): string {
    const id = randomUUID();
    const end = sequence.coveredPositions(layers);
    this.exports.set(id, {
      requestId: sequence.requestId,
      layers,
      caches: [...sequence.caches].map(([layer, cache]) => [
        layer,
        cache.slice(0, end),
      ]),
      tokens: sequence.tokens.slice(0, end),
    });
    evictOldest(this.exports, EXPORT_LIMIT);
    return id;
  }

  get(id: string): CacheExport | undefined {
    return this.exports.get(id);
  }
}

/** Replaces the caches and tokens of a sequence by those of an export. */
export function restoreExport(sequence: Sequence, content: CacheExport): void {
  sequence.caches.clear();
  for (const [layer, cache] of content.caches) {
    sequence.caches.set(layer, [...cache]);
  }
  sequence.tokens.splice(0, sequence.tokens.length, ...content.tokens);
  sequence.plan = undefined;
}

/** Fetches an export from the engine that created it; undefined on any failure. */
export async function fetchExport(
  reference: string,
): Promise<CacheExport | undefined> {
  try {
    const answer = await httpRequest(`http://${reference}`, {
      headersTimeout: 1000,
      bodyTimeout: 1000,
    });
    const body = await answer.body.text();
    return answer.statusCode === 200
      ? (JSON.parse(body) as CacheExport)
      : undefined;
  } catch {
    return undefined;
  }
}
