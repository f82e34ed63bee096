import {layerCountOf} from '../../fleet/common/upstream.js';
import {
  countCrossings,
  Path,
  PathPart,
  totalTokensOf,
  RequestSize,
  upstreamIdsOf,
} from '../../paths/common/path.js';
import {idleTokenMilliseconds} from '../../paths/common/pathCost.js';
import {EngineSettings} from '../../traffic/common/trafficConfiguration.js';
import {ForwardingServices} from './forwardingServices.js';

/** The services that count what streams put on upstreams and links. */
type LoadServices = Pick<
  ForwardingServices,
  'load' | 'linkLoad' | 'readingBacklog'
>;

/** The current path of one stream, counted as load on its upstreams and on the links between data centres. */
export class StreamPath {
  private held: Path = [];
  private gapMilliseconds = 0;

  constructor(
    private readonly services: LoadServices,
    private readonly engine: EngineSettings,
    private readonly size: RequestSize,
  ) {}

  get path(): Path {
    return this.held;
  }

  /** Milliseconds between two events on the path while it is idle. */
  get expectedGapMilliseconds(): number {
    return this.gapMilliseconds;
  }

  /** Replaces the path by one on which the prompt is read, except by upstreams that were on the path before. */
  moveTo(path: Path): void {
    this.use(path, new Set(upstreamIdsOf(this.held)));
  }

  /** Replaces the path by one on which all upstreams read the prompt. */
  startOn(path: Path): void {
    this.use(path, new Set());
  }

  /** Ends the load. */
  release(): void {
    this.replace([]);
  }

  /** @param cachedIds upstreams that already hold the stream's KV cache */
  private use(path: Path, cachedIds: ReadonlySet<string>): void {
    const {engine, services, size} = this;
    services.readingBacklog.recordPrompt(
      engine,
      path,
      size.promptTokens,
      cachedIds,
    );
    this.replace(path);
    const activationBytes = engine.layers?.activationBytes ?? 0;
    services.linkLoad.recordCrossing(
      countCrossings(path) * totalTokensOf(size) * activationBytes,
    );
    this.gapMilliseconds =
      engine.tokensPerEvent * idleTokenMilliseconds(engine, path);
  }

  private replace(path: Path): void {
    const {load} = this.services;
    this.held.forEach((part, index) =>
      load.remove(part.upstream.id, this.tokenLayersOf(part), index === 0),
    );
    path.forEach((part, index) =>
      load.add(part.upstream.id, this.tokenLayersOf(part), index === 0),
    );
    this.held = path;
  }

  private tokenLayersOf({range}: PathPart): number {
    return totalTokensOf(this.size) * layerCountOf(range);
  }
}
