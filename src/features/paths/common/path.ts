import {LayerRange, Upstream} from '../../fleet/common/upstream.js';

/** One upstream of a path and the layers that it computes. */
export interface PathPart {
  readonly upstream: Upstream;
  readonly range: LayerRange;
}

/** The upstreams that compute a request, in the order of their layers. */
export type Path = readonly PathPart[];

/** The size of a request in tokens, which determines its load on each upstream of the path. */
export interface RequestSize {
  readonly promptTokens: number;
  /** Expected number of output tokens. */
  readonly answerTokens: number;
}

/** Number of tokens that a request occupies in the KV cache of each upstream on its path. */
export function totalTokensOf(size: RequestSize): number {
  return size.promptTokens + size.answerTokens;
}

export function upstreamIdsOf(path: Path): readonly string[] {
  return path.map(part => part.upstream.id);
}

/** Formats a path for log lines, as a text without spaces. */
export function formatPath(path: Path): string {
  return path
    .map(({upstream, range}) => `${upstream.id}=${range.from}-${range.to}`)
    .join(',');
}

/** Number of times that a path crosses from one data centre to another. */
export function countCrossings(path: Path): number {
  let crossings = 0;
  path.forEach((part, index) => {
    const before = path[index - 1];
    if (before && before.upstream.dataCentre !== part.upstream.dataCentre) {
      crossings++;
    }
  });
  return crossings;
}
