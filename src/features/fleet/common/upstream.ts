/** An upstream as the platform lists it. */

/** The layers that an upstream holds. */
export interface LayerRange {
  readonly from: number;
  /** Exclusive. */
  readonly to: number;
}

/** One run of an upstream. */
export interface Upstream {
  /**
   * Identifies the run: another start under the same name has another one. What is known by it therefore
   * ends with the run, as what the upstream itself held does.
   */
  readonly id: string;
  /** The name under which the platform lists it, and by which it knows itself; kept over restarts. */
  readonly name: string;
  /** Start of the run in Unix milliseconds; undefined where the platform does not say. */
  readonly startedAt: number | undefined;
  readonly service: string;
  /** `IP:port`; may be given to another upstream after this one has ended. */
  readonly address: string;
  readonly dataCentre: string;
  /** Requests that it works on at once. */
  readonly slots: number;
  /** Leaving: gets no new work. */
  readonly isLeaving: boolean;
  /** Milliseconds for which it is still slow after its start. */
  readonly coldMilliseconds: number;
  /** The kind of accelerator; undefined for plain services. */
  readonly acceleratorKind: string | undefined;
  /** The layers that it holds; undefined while it holds none. */
  readonly layers: LayerRange | undefined;
  /** Models that it has loaded. */
  readonly models: readonly string[];
}

/** The number of layers in a range. */
export function layerCountOf(range: LayerRange): number {
  return range.to - range.from;
}
