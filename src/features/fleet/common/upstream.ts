/** Upstreams as listed by the platform. */

/** The layers that an upstream holds. */
export interface LayerRange {
  readonly from: number;
  /** Exclusive. */
  readonly to: number;
}

/** A run of an upstream, from one start to its end. */
export interface Upstream {
  /**
   * Identifies the run; each restart under the same name has a new identifier. State stored under it therefore
   * does not outlast the run, just as the state of the upstream itself.
   */
  readonly id: string;
  /** The name under which the platform lists it and which it has in its own settings; kept over restarts. */
  readonly name: string;
  /** Start of the run in Unix milliseconds; undefined if the platform does not provide it. */
  readonly startedAt: number | undefined;
  readonly service: string;
  /** `IP:port`; may be reused by another upstream after this one has ended. */
  readonly address: string;
  readonly dataCentre: string;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Whether it is shutting down, so that it gets no new work. */
  readonly isLeaving: boolean;
  /** Remaining milliseconds of its slow phase after the start. */
  readonly coldMilliseconds: number;
  /** Name of its accelerator kind; undefined for plain services. */
  readonly acceleratorKind: string | undefined;
  /** The layers that it holds; undefined while it holds none. */
  readonly layers: LayerRange | undefined;
  /** Models that it has loaded. */
  readonly models: readonly string[];
}

/**
 * Whether an upstream may serve a model: it holds none of its layers, or no layers beyond it. A row that names others was
 * written by somebody else, or is one of another model.
 */
export function isWithinModel(
  {layers}: Pick<Upstream, 'layers'>,
  layerCount: number,
): boolean {
  return layers === undefined || layers.to <= layerCount;
}

export function layerCountOf(range: LayerRange): number {
  return range.to - range.from;
}
