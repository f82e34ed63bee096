/** Cuts of the links between a router instance and upstreams. */

/** What happens to connections to the cut ports; new ones always fail or hang. */
export type CutMode =
  /** None is cut. */
  | 'none'
  /** Open connections are reset, new ones refused. */
  | 'reset'
  /** Open and new connections hang. */
  | 'hang'
  /** Open connections live on, new ones are refused. */
  | 'refuseNew';

/** Content of the file that describes a cut. */
export interface CutDescription {
  readonly mode: CutMode;
  readonly ports: readonly number[];
}
