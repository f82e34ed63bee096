import {LayerRange, Upstream} from '../../fleet/common/upstream.js';

/** One upstream of a path and the layers that it runs. */
export interface PathPart {
  readonly upstream: Upstream;
  readonly range: LayerRange;
}

/** The upstreams that run a request, in the order of the layers. */
export type Path = readonly PathPart[];

/** How much a request asks of each upstream on its path. */
export interface WorkSize {
  readonly promptTokens: number;
  /** Expected length of the answer. */
  readonly answerTokens: number;
}

/** The tokens that an upstream must remember for a request. */
export function tokensOf(size: WorkSize): number {
  return size.promptTokens + size.answerTokens;
}

/** The identifiers of a path's upstreams. */
export function upstreamIdsOf(path: Path): readonly string[] {
  return path.map(part => part.upstream.id);
}

/** One word for logs. */
export function formatPath(path: Path): string {
  return path
    .map(({upstream, range}) => `${upstream.id}=${range.from}-${range.to}`)
    .join(',');
}

/** How often a path passes from one data centre to another. */
export function crossingsOf(path: Path): number {
  let crossings = 0;
  path.forEach((part, index) => {
    const before = path[index - 1];
    if (before && before.upstream.dataCentre !== part.upstream.dataCentre) {
      crossings++;
    }
  });
  return crossings;
}
