/** An upstream as the platform lists it. */

/** The layers that an upstream holds. */
export interface LayerRange {
  readonly from: number;
  /** Exclusive. */
  readonly to: number;
}

/** One start of an upstream; a restart has a new identifier. */
export interface Upstream {
  readonly id: string;
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
